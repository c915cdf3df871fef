// Package listen holds the connections of clients. It lets a server close idle ones without
// losing a request, and bounds what clients make the server hold.
//
// The server of net/http closes a connection whose next request was already read but does
// not count as active yet. A Listener closes only connections from which nothing was read
// since they became idle.
//
// net/http parses a head as it arrives. A Conn hands it over only once it is whole and its
// cost was charged to the memory account, and reads the requests of a connection one at a time.
package listen

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"teaselplank/memory"
)

// A Listener tracks the connections of clients. Create it with New.
type Listener struct {
	net.Listener
	bounds Bounds
	// headBytes and headTime are the bounds of heads in force, in bytes and nanoseconds.
	headBytes, headTime atomic.Int64

	mu   sync.Mutex
	open map[*Conn]struct{}
	// closing is the number of open connections that are being closed for others.
	closing int
	// searched is when no connection was found that could be closed for another.
	searched time.Time
}

// A Conn is a connection of a client.
type Conn struct {
	net.Conn
	listener *Listener
	accepted time.Time
	holder   *memory.Holder
	// reader is used by one read of the server at a time.
	reader reader

	mu sync.Mutex
	// evicted is true once the connection is closed for lack of room, and cut once its
	// writes fail for that. replaced is true if it is closed for another connection; the
	// lock of the listener guards it.
	evicted, cut, replaced bool
	// deadline is the server's deadline for reads, and headBy that of the head being read.
	deadline, headBy time.Time
	// busy is true from the first bytes of a request until its answer was written. If the
	// request was read together with the one before, it is true from when it is served.
	busy bool
	// requests is the number of requests of which something was read.
	requests int
	// closing is true if the connection is to be closed unless a request arrives first.
	closing bool
	// early is true if the next request was begun before the answer to the last one was written.
	early bool
	// cancel cancels the request in progress, or is nil. ahead is true once something was read
	// of a later one. look then looks for a close of the connection.
	cancel context.CancelFunc
	ahead  bool
	look   *time.Timer
}

// New returns a listener that tracks the connections that another one accepts.
func New(l net.Listener) *Listener { return NewBounded(l, Bounds{}) }

// NewBounded is like New and bounds what the connections may hold.
func NewBounded(l net.Listener, b Bounds) *Listener {
	if b.Account == nil {
		b.Account = new(memory.Account)
	}
	bounded := &Listener{Listener: l, bounds: b, open: make(map[*Conn]struct{})}
	bounded.SetHeadBounds(b.HeadBytes, b.HeadTime)
	boundReceived(l, b.ReceiveBytes)
	return bounded
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
		c := ConnOf(r)
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		c.startRequest()
		if r.ContentLength == 0 {
			c.EndBody()
		}
		if c.reader.passes {
			w.Header().Set("Connection", "close")
		}
		c.serve(handler, w, r)
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
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err // net/http compares the error, so it must not be wrapped.
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		l.count(RefusedConnection)
		raw.Close()
	}
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

// setIdle records that an answer was written. The next request may have begun to arrive.
func (c *Conn) setIdle() {
	begun := c.reader.endRequest()
	c.holder.Keep(memory.Heads, int64(cap(c.reader.buffer)))
	c.holder.Keep(memory.Bodies, 0)
	c.holder.Keep(memory.Requests, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.early = begun
	if c.busy = begun; begun {
		c.requests++
		c.holder.Enter(memory.Receiving, time.Now())
		return
	}
	c.releaseBuffer()
	c.holder.Enter(memory.Idle, time.Now())
}

// Age returns the time since the connection was accepted.
func (c *Conn) Age() time.Duration { return time.Since(c.accepted) }

// Requests returns the number of requests that have arrived.
func (c *Conn) Requests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// startRequest records that a request arrives or is served. It cancels closing the
// connection.
func (c *Conn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.requests++
		c.holder.Enter(memory.Receiving, time.Now())
	}
	c.busy = true
	if c.closing {
		c.closing = false
		c.holder.Spare()
		c.listener.keep(c)
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// SetReadDeadline implements net.Conn. It has no effect while the connection is closing.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.closing || c.evicted {
		return nil
	}
	if !c.headBy.IsZero() && (t.IsZero() || c.headBy.Before(t)) {
		t = c.headBy
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
	c.listener.forget(c)
	c.holder.End()
	return c.Conn.Close()
}
