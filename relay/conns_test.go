package relay

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"
)

// A connection must not be given up because its upstream is silent for a second or two.
func TestConnectionEndsInSilence(t *testing.T) {
	const tolerated = 3 * time.Second
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := newConnPool().get(context.Background(), upstreamAt(l.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
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
