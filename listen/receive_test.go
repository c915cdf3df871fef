package listen

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"teaselplank/memory"
)

const (
	testReceiveBytes = 16 << 10
	maxUnread        = testReceiveBytes * kernelPercent / 100
)

// unread returns what the kernel holds of what the client of a connection has sent.
func unread(t *testing.T, c *Conn) int {
	t.Helper()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var bytes int32
	err = raw.Control(func(fd uintptr) {
		if _, _, e := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&bytes))); e != 0 {
			t.Error(e)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return int(bytes)
}

// serveHeld serves a listener, and returns a channel of the connections whose requests are in
// progress, which end once done is closed.
func serveHeld(t *testing.T, s *served, done <-chan struct{}) <-chan *Conn {
	t.Helper()
	running := make(chan *Conn, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			t.Error(err)
		}
		running <- ConnOf(r)
		<-done
		fmt.Fprint(w, n)
	})}
	s.start(t, server)
	return running
}

// Guards against a host that ends for lack of memory: what clients send ahead of an answer filled a
// receive buffer of any size, which nothing bounded.
func TestBytesAheadAreBounded(t *testing.T) {
	for _, c := range []struct {
		name string
		body int
		most int
	}{
		{"after a request without a body", 0, maxUnread},
		{"after a short body", 10_000, maxUnread},
		// What the kernel accepted while the buffer was large is charged until the end.
		{"after a long body", 900_000, longBodyBuffer * kernelPercent / 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := listenWith(t, Bounds{ReceiveBytes: testReceiveBytes})
			done := make(chan struct{})
			defer close(done)
			running := serveHeld(t, s, done)
			client := s.dial(t)
			client.send(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", c.body, strings.Repeat("b", c.body)))
			conn := <-running
			if err := client.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			sent, _ := io.WriteString(client, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1<<18)) // It ends with the time.
			if got := unread(t, conn); got > c.most {
				t.Errorf("the kernel holds %d of %d bytes that were sent ahead, want at most %d", got, sent, c.most)
			}
		})
	}
}

// A long body has a large buffer only if there is room for it, and its charge ends with the request.
func TestLongBodyBuffer(t *testing.T) {
	const body = 900_000
	for _, c := range []struct {
		name        string
		limit, want int64
	}{
		{"room", 4 << 20, bufferCost(longBodyBuffer)},
		{"no room", 64 << 10, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := listenWith(t, Bounds{ReceiveBytes: testReceiveBytes})
			s.account.SetLimit(c.limit)
			done := make(chan struct{})
			running := serveHeld(t, s, done)
			client := s.dial(t)
			client.send(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("b", body)))
			<-running
			if got := s.account.Used(memory.Buffers); got != c.want {
				t.Errorf("%d bytes are charged during the request, want %d", got, c.want)
			}
			close(done)
			client.wantAnswer(t, http.StatusOK, fmt.Sprint(body))
			awaitThat(t, "nothing is charged", func() bool { return s.account.Used(memory.Buffers) == 0 })
		})
	}
}
