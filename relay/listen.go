package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"teaselplank/proxy"
)

// A clientListener tracks the connections of clients. It replaces the handling of idle
// connections of http.Server, which closes a connection whose next request was already
// read but does not count as active yet. A clientListener closes only connections from
// which nothing was read since they became idle.
type clientListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*clientConn]struct{}
}

// A clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	listener *clientListener
	accepted time.Time

	mu sync.Mutex
	// busy is true from the first bytes of a request until its answer was written. If the
	// request was read together with the one before, it is true from when it is served.
	busy bool
	// requests is the number of requests of which something was read.
	requests int
	// closing is true if the connection is to be closed unless a request arrives first.
	closing bool
}

func newClientListener(l net.Listener) *clientListener {
	return &clientListener{Listener: l, open: make(map[*clientConn]struct{})}
}

// clientConnKey is the key of a request's *clientConn in its context.
type clientConnKey struct{}

// withConn is the ConnContext hook of the server that serves the listener.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// clientConnOf returns the connection of a request that is being served, or nil if its
// listener is no clientListener.
func clientConnOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return c
}

// describe describes the connection for the request that is being served.
func (c *clientConn) describe() proxy.Connection {
	if c == nil {
		return proxy.Connection{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return proxy.Connection{Age: time.Since(c.accepted), Earlier: c.requests - 1}
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept client: %w", err)
	}
	c := &clientConn{Conn: raw, listener: l, accepted: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// track is the ConnState hook of the server that serves the listener.
func (l *clientListener) track(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*clientConn); ok && state == http.StateIdle {
		c.setIdle()
	}
}

// len returns the number of open connections.
func (l *clientListener) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// closeIdle makes the server close the connections that wait for a request. It spares new
// connections, whose first request is likely to arrive soon.
func (l *clientListener) closeIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.closeIfIdle(now)
	}
}

// firstRequestTime is how long a new connection may take to send its first request.
const firstRequestTime = time.Second

// expired is a read deadline in the past. It ends a read at once.
var expired = time.Unix(1, 0)

func (c *clientConn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.requests == 0 && now.Sub(c.accepted) < firstRequestTime {
		return
	}
	c.closing = true
	// Setting a deadline fails only on a closed connection.
	_ = c.Conn.SetReadDeadline(expired)
}

func (c *clientConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.startRequest()
	}
	return n, err // net/http compares the error, so it must not be wrapped.
}

// startRequest records that a request arrives or is served. It cancels closing the
// connection, which may be nil.
func (c *clientConn) startRequest() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.requests++
	}
	c.busy = true
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// SetReadDeadline implements net.Conn. It has no effect while the connection is closing.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn. It has no effect on reads while the connection is
// closing.
func (c *clientConn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
