package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
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
