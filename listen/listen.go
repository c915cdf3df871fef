// Package listen lets a server close the idle connections of its clients without losing a
// request.
//
// The server of net/http closes a connection whose next request was already read but does
// not count as active yet. A Listener closes only connections from which nothing was read
// since they became idle.
package listen

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// A Listener tracks the connections of clients. Create it with New.
type Listener struct {
	net.Listener
	mu   sync.Mutex
	open map[*Conn]struct{}
}

// A Conn is a connection of a client.
type Conn struct {
	net.Conn
	listener *Listener
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

// New returns a listener that tracks the connections that another one accepts.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, open: make(map[*Conn]struct{})}
}

// connKey is the key of a request's *Conn in its context.
type connKey struct{}

// Attach sets the hooks of a server that is to serve the listener.
func (l *Listener) Attach(s *http.Server) {
	s.ConnState = l.track
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ConnOf(r); c != nil {
			c.startRequest()
		}
		handler.ServeHTTP(w, r)
	})
}

// ConnOf returns the connection of a request that is being served, or nil if its server
// does not serve a Listener.
func ConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept client: %w", err)
	}
	c := &Conn{Conn: raw, listener: l, accepted: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// track is the ConnState hook of the server that serves the listener.
func (l *Listener) track(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.setIdle()
	}
}

// Len returns the number of open connections.
func (l *Listener) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// CloseIdle makes the server close the connections that wait for a request. It spares new
// connections, whose first request is likely to arrive soon.
func (l *Listener) CloseIdle(now time.Time) {
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

func (c *Conn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.requests == 0 && now.Sub(c.accepted) < firstRequestTime {
		return
	}
	c.closing = true
	// Setting a deadline fails only on a closed connection.
	_ = c.Conn.SetReadDeadline(expired)
}

func (c *Conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// Age returns the time since the connection was accepted.
func (c *Conn) Age() time.Duration { return time.Since(c.accepted) }

// Requests returns the number of requests that have arrived.
func (c *Conn) Requests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.startRequest()
	}
	return n, err // net/http compares the error, so it must not be wrapped.
}

// startRequest records that a request arrives or is served. It cancels closing the
// connection.
func (c *Conn) startRequest() {
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
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn. It has no effect on reads while the connection is
// closing.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
