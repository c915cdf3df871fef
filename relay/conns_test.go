package relay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"teaselplank/fleet"
)

func upstreamAt(addr string) fleet.Upstream { return fleet.Upstream{ID: "u", Addr: addr} }

// tolerated is the silence that must not end a connection.
const tolerated = 3 * time.Second

// connectUpstream returns a connection to an upstream and the upstream's end of it.
func connectUpstream(t *testing.T) (*conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := newConnPool().get(context.Background(), upstreamAt(l.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return c, peer.(*net.TCPConn)
}

// A connection must not be given up because its upstream is silent for a second or two.
func TestConnectionEndsInSilence(t *testing.T) {
	c, _ := connectUpstream(t)
	option := func(level, name int) int {
		t.Helper()
		raw, err := c.Conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		value := 0
		if err := raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), level, name) }); err != nil {
			t.Fatal(err)
		}
		return value
	}
	interval := time.Duration(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)) * time.Second
	probes := option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
	// The silence may begin just before the first probe.
	if silence := time.Duration(probes-1) * interval; option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE) == 1 && silence < tolerated {
		t.Errorf("keep-alive may end a connection after %s of silence, want %s or more", silence, tolerated)
	}
	if silence := time.Duration(option(syscall.IPPROTO_TCP, tcpUserTimeout)) * time.Millisecond; silence < tolerated {
		t.Errorf("unacknowledged bytes end a connection after %s of silence, want %s or more", silence, tolerated)
	}
}

// A connection must not end because its peer is not heard for a second or two from the
// moment of the first probe on, whatever the options of its socket say.
func TestConnectionEndsBetweenProbes(t *testing.T) {
	c, peer := connectUpstream(t)
	time.Sleep(keepAlive.Idle - 100*time.Millisecond)
	silence(t, peer)
	began := time.Now()
	_ = c.SetReadDeadline(began.Add(tolerated + 500*time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	if took := time.Since(began); took < tolerated {
		t.Errorf("connection ends after %s of silence (%v), want %s or more", took, err, tolerated)
	}
}

// silence makes a socket drop all packets that arrive, so that its peer hears nothing.
func silence(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	dropAll := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &dropAll)
	})
	if err := errors.Join(err, failure); err != nil {
		t.Fatal(err)
	}
}
