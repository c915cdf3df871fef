package listen

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// leaveTime is the time in which a close must be noticed.
const leaveTime = 500 * time.Millisecond

// Guards against a request that goes on for a client that has left: the close was not seen behind
// requests that it had sent ahead, few or more than the buffers hold.
func TestCloseBehindRequestsSentAhead(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		name  string
		ahead int
		close func(c *net.TCPConn) error
		left  bool
	}{
		{"close, nothing ahead", 0, (*net.TCPConn).Close, true},
		{"close, one ahead", 1, (*net.TCPConn).Close, true},
		{"close, many ahead", 1000, (*net.TCPConn).Close, true},
		{"sending side, one ahead", 1, (*net.TCPConn).CloseWrite, true},
		{"stays, one ahead", 1, func(*net.TCPConn) error { return nil }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := listenWith(t, Bounds{})
			running, left := make(chan struct{}, 1), make(chan bool, 1)
			server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				running <- struct{}{}
				select {
				case <-r.Context().Done():
					left <- true
				case <-time.After(leaveTime):
					left <- false
				}
			})}
			s.start(t, server)
			client := s.dial(t)
			client.send(t, strings.Repeat(request, 1+c.ahead))
			<-running
			if err := c.close(client.Conn.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			if got := <-left; got != c.left {
				t.Errorf("the context of the request has ended: %v, want %v", got, c.left)
			}
			select {
			case <-running:
				if c.left {
					t.Error("a request that was sent ahead runs after the client has left")
				}
			case <-time.After(leaveTime):
				if !c.left {
					t.Error("the request that was sent ahead does not run")
				}
			}
		})
	}
}
