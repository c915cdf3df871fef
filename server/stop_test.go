package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"teaselplank/wire"
)

// newStatusCall returns a call of the service of a test server.
func newStatusCall(t *testing.T, url string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+"/v1/services/status", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testToken)
	return r
}

// A call that is given up must not look as if it had succeeded without a result.
func TestGivenUpCallLooksDone(t *testing.T) {
	const latency = 400 * time.Millisecond
	wantNoSuccess := func(t *testing.T, response *http.Response, err error) {
		t.Helper()
		if err != nil {
			return // The connection was closed.
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err == nil && response.StatusCode == http.StatusOK && len(body) == 0 {
			t.Error("answer is 200 without a body")
		}
	}
	serve := func(t *testing.T) (*Server, string) {
		t.Helper()
		node := startTestServer(t, latency)
		s := httptest.NewServer(node.callerHandler())
		t.Cleanup(s.Close)
		return node, s.URL
	}
	t.Run("the node closes", func(t *testing.T) {
		node, url := serve(t)
		timer := time.AfterFunc(latency/4, node.Close)
		defer timer.Stop()
		response, err := http.DefaultClient.Do(newStatusCall(t, url))
		wantNoSuccess(t, response, err)
	})
	t.Run("the caller stops sending", func(t *testing.T) {
		_, url := serve(t)
		addr := strings.TrimPrefix(url, "http://")
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		r := newStatusCall(t, url)
		if err := r.Write(conn); err != nil {
			t.Fatal(fmt.Errorf("send call: %w", err))
		}
		time.Sleep(latency / 4)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), r)
		wantNoSuccess(t, response, err)
	})
}

// A call that arrives just after the node was drained must not be cut before the drain
// limit.
func TestLateCallCutByShutdown(t *testing.T) {
	now := time.Now()
	for _, left := range []time.Duration{-time.Second, shutdownTimeout, time.Minute} {
		if got := shutdownTime(now, now.Add(left)); got < max(left, shutdownTimeout) {
			t.Errorf("listener waits %s with %s left of the drain limit", got, left)
		}
	}
}

// serveNode serves a node until the context ends. It returns the address for callers and a
// channel that receives the result.
func serveNode(ctx context.Context, t *testing.T, node *Server) (addr string, ended chan error) {
	t.Helper()
	node.settings.DrainLag = 200 * time.Millisecond
	var listeners []net.Listener
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
	}
	ended = make(chan error, 1)
	go func() { ended <- node.serve(ctx, listeners) }()
	return listeners[0].Addr().String(), ended
}

// A keptCaller is a caller that keeps its connection open between calls.
type keptCaller struct {
	conn   net.Conn
	reader *bufio.Reader
	addr   string
}

func dialKept(t *testing.T, addr string) *keptCaller {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &keptCaller{conn, bufio.NewReader(conn), addr}
}

// call makes a call and reads the whole answer, which may also be that the call failed.
func (k *keptCaller) call(t *testing.T) error {
	r := newStatusCall(t, "http://"+k.addr)
	if err := r.Write(k.conn); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	response, err := http.ReadResponse(k.reader, r)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if response.Header.Get(wire.HeaderOutcome) == "" {
		return fmt.Errorf("answer is %d %q, which names no outcome", response.StatusCode, body)
	}
	return nil
}

// A call that arrives on a connection that was kept open must not be cut when the node
// begins to stop.
func TestKeptConnectionCutByStop(t *testing.T) {
	const (
		rounds      = 5
		connections = 200
		interval    = 20 * time.Microsecond
		stopAfter   = 2 * time.Millisecond
	)
	for range rounds {
		node := startTestServer(t, 0)
		ctx, stop := context.WithCancel(context.Background())
		addr, ended := serveNode(ctx, t, node)
		callers := make([]*keptCaller, connections)
		for i := range callers {
			callers[i] = dialKept(t, addr)
			if err := callers[i].call(t); err != nil {
				t.Fatal(err)
			}
		}
		start := time.Now()
		results := make(chan error, connections)
		for i, c := range callers {
			go func() {
				time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
				results <- c.call(t)
			}()
		}
		time.Sleep(time.Until(start.Add(stopAfter)))
		stop()
		for range callers {
			if err := <-results; err != nil {
				t.Errorf("call during the stop: %v", err)
			}
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
