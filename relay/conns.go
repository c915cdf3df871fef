package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"teaselplank/fleet"
)

// connections holds the connections to upstreams. It is used in place of an
// http.Transport, which sends some requests again by itself: here, each request
// is written once, and its caller learns whether that has begun.
type connections struct {
	dialer net.Dialer
	mu     sync.Mutex
	// idle holds the unused connections by upstream, the newest last.
	idle  map[target][]*conn
	made  int64
	taken int64
}

// target names the process that a connection is to.
type target struct {
	id   string
	born int64
	addr string
}

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = 450 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay without a sign of the
	// other end before the connection is given up.
	unackedTimeout = 2500 * time.Millisecond
	// idleDefault is how long a connection stays usable if its upstream does
	// not say, and idleMargin what is left of what it says.
	idleDefault = 8 * time.Second
	idleMargin  = 500 * time.Millisecond
	// maxIdle bounds the unused connections to one upstream.
	maxIdle = 32
)

// tcpUserTimeout is the socket option of Linux for unackedTimeout.
const tcpUserTimeout = 18

func newConnections() *connections {
	c := &connections{idle: make(map[target][]*conn)}
	c.dialer = net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, failure)
		},
	}
	return c
}

// A conn is a connection to an upstream. At most one request uses it at a time.
type conn struct {
	net.Conn
	pool   *connections
	target target
	reader *bufio.Reader
	// expires is when an unused connection is not used again.
	expires time.Time
	// watched brings the end of the watch over an unused connection.
	watched chan error
}

// get returns a connection to an upstream: an unused one that is still good, or a
// new one.
func (c *connections) get(ctx context.Context, u fleet.Upstream) (*conn, error) {
	to := target{u.ID, u.Born, u.Addr}
	for {
		one := c.take(to)
		if one == nil {
			break
		}
		if one.wake() {
			return one, nil
		}
		one.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", u.Addr)
	if err != nil {
		return nil, fmt.Errorf("connect to upstream %q: %w", u.ID, err)
	}
	c.mu.Lock()
	c.made++
	c.mu.Unlock()
	return &conn{Conn: raw, pool: c, target: to, reader: bufio.NewReaderSize(raw, readSize)}, nil
}

// take takes the newest unused connection that has not expired.
func (c *connections) take(to target) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[to]
	if len(list) == 0 {
		return nil
	}
	one := list[len(list)-1]
	c.idle[to] = list[:len(list)-1]
	c.taken++
	return one
}

// sweep closes the unused connections that have expired, and those to upstreams
// that are gone.
func (c *connections) sweep(known func(id string, born int64) bool) {
	now := time.Now()
	var closed []*conn
	c.mu.Lock()
	for to, list := range c.idle {
		keep := list[:0]
		for _, one := range list {
			if now.Before(one.expires) && known(to.id, to.born) {
				keep = append(keep, one)
				continue
			}
			closed = append(closed, one)
		}
		if c.idle[to] = keep; len(keep) == 0 {
			delete(c.idle, to)
		}
	}
	c.mu.Unlock()
	for _, one := range closed {
		one.Close()
	}
}

// wake ends the watch over an unused connection and reports whether it is good:
// open, and without bytes that nobody asked for.
func (c *conn) wake() bool {
	if !time.Now().Before(c.expires) {
		return false
	}
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return false
	}
	err := <-c.watched
	if !isTimeout(err) || c.reader.Buffered() > 0 {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}

// finish gives the connection back after a whole answer with the given headers,
// or nil if it was not used.
func (c *conn) finish(h http.Header) {
	if c.reader.Buffered() > 0 {
		// Bytes after the answer belong to no request.
		c.Close()
		return
	}
	if c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	life := idleDefault
	if told, ok := keepAlive(h); ok {
		life = told - idleMargin
	}
	c.expires = time.Now().Add(life)
	c.watched = make(chan error, 1)
	go func() {
		_, err := c.reader.Peek(1)
		c.watched <- err
	}()
	c.pool.put(c)
}

func (c *connections) put(one *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[one.target]) >= maxIdle {
		one.Close()
		return
	}
	c.idle[one.target] = append(c.idle[one.target], one)
}

// keepAlive returns how long the upstream keeps the connection open.
func keepAlive(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// writeBuffer is the room for a request's head, in bytes.
const writeBuffer = 2 << 10

// exchange writes a request and reads the head of its answer. A patience of 0 is
// no bound.
func (c *conn) exchange(r *http.Request, body int, patience time.Duration) (*http.Response, error) {
	if patience > 0 {
		if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
			return nil, fmt.Errorf("set deadline: %w", err)
		}
	}
	w := bufio.NewWriterSize(c.Conn, writeBuffer+min(body, maxHeader))
	err := r.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		return nil, fmt.Errorf("write request: %w", err)
	}
	for {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, c.SetDeadline(time.Time{})
		}
	}
}

// patience bounds the wait for the next bytes, unless the context has ended.
func (c *conn) patience(ctx context.Context, d time.Duration) {
	if ctx.Err() == nil {
		// A connection that refuses a deadline is closed; the read will tell.
		_ = c.SetReadDeadline(time.Now().Add(d))
	}
}

// isTimeout reports whether an operation on a connection took too long.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
