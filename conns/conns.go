// Package conns holds the connections to upstreams and bounds what is read from them.
//
// A Pool replaces http.Transport, which retries some requests by itself: it writes each
// request once, on a connection that was alive just before, and the caller learns whether
// writing has begun. A BodyPool bounds the memory for the bodies of answers.
package conns

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

	"github.com/cespare/xxhash/v2"

	"teaselplank/fleet"
	"teaselplank/wire"
)

// A Pool holds the connections to upstreams. Create it with NewPool.
type Pool struct {
	dialer net.Dialer
	// mu guards the fields below.
	mu sync.Mutex
	// idle holds the idle connections by upstream, the newest last. Each connection in a list
	// is monitored.
	idle map[endpoint][]*Conn
	// maxIdle bounds the idle connections to one upstream by service. Other services have
	// maxIdleConns.
	maxIdle map[string]int
	// made is the number of connections that were made.
	made int64
}

// An endpoint identifies the process at the other end of a connection.
type endpoint struct {
	id      string
	born    int64
	addr    string
	service string
}

const (
	// dialTimeout bounds making a connection.
	dialTimeout = 450 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed. On Linux it also replaces the number of keep-alive probes: a
	// connection ends when this time has passed since its last bytes. Like keepAlive, it
	// tolerates that nothing arrives from a healthy upstream for a few seconds.
	unackedTimeout = 6 * time.Second
	// defaultKeepAlive is how long an idle connection stays usable if its upstream
	// sends no Keep-Alive timeout. A timeout that it sends is shortened by
	// keepAliveMargin.
	defaultKeepAlive = 8 * time.Second
	keepAliveMargin  = 500 * time.Millisecond
	// maxIdleConns bounds the idle connections to one upstream of any service.
	maxIdleConns = 32
	// idleShare divides the connections that an upstream takes. What is left is for requests
	// in progress, also those of nodes that have no idle connection.
	idleShare = 2
	// maxTokens bounds what a connection keeps to recognise answers that are repeated.
	maxTokens = 4096
	// readBufferSize is the size of the buffer that answers are read through, in bytes.
	readBufferSize = 4 << 10
)

// keepAlive is the probing of connections to upstreams. A silence that begins just before
// the first of four probes, a second apart, is tolerated for 3 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 4}

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
const tcpUserTimeout = 18

func endpointOf(u fleet.Upstream) endpoint { return endpoint{u.ID, u.Born, u.Addr, u.Service} }

// NewPool returns a pool without connections.
func NewPool() *Pool {
	c := &Pool{idle: make(map[endpoint][]*Conn)}
	c.dialer = net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: keepAlive,
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

// A Conn is a connection to an upstream. At most one request uses it at a time: whoever gets
// it either puts it back or closes it.
type Conn struct {
	net.Conn
	pool     *Pool
	endpoint endpoint
	// reader reads from the connection through Read, which bounds heads.
	reader *bufio.Reader
	// tokens holds the hashes of what Repeats was given for the answers.
	tokens map[uint64]struct{}
	// inHead is true while the head of an answer is read. headLeft is then the number of
	// bytes that may still be read for it.
	inHead   bool
	headLeft int
	// expires is the time from which an idle connection is not reused.
	expires time.Time
	// peekResult receives the error of the read that monitors an idle connection. It holds
	// one, so that the read ends although nobody waits for it.
	peekResult chan error
}

// Get returns an idle connection that is still usable, or a new one.
func (c *Pool) Get(ctx context.Context, u fleet.Upstream) (*Conn, error) {
	dest := endpointOf(u)
	for {
		unused := c.popIdle(dest)
		if unused == nil {
			break
		}
		if unused.revalidate() {
			return unused, nil
		}
		unused.Close()
	}
	return c.Dial(ctx, u)
}

// Dial returns a new connection. Nothing that an upstream sent before can arrive on it.
func (c *Pool) Dial(ctx context.Context, u fleet.Upstream) (*Conn, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp", u.Addr)
	if err != nil {
		return nil, fmt.Errorf("connect to upstream %q: %w", u.ID, err)
	}
	c.mu.Lock()
	c.made++
	c.mu.Unlock()
	return newConn(raw, c, endpointOf(u)), nil
}

func newConn(raw net.Conn, pool *Pool, dest endpoint) *Conn {
	c := &Conn{Conn: raw, pool: pool, endpoint: dest}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// MaxHeadBytes bounds the head of an answer together with the interim responses that
// precede it.
const MaxHeadBytes = 32 << 10

// ErrTooLong means that a response exceeds a bound, as one without end does.
var ErrTooLong = errors.New("response is too long")

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(b)
	}
	if c.headLeft == 0 {
		return 0, ErrTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.headLeft)])
	c.headLeft -= n
	return n, err // bufio and net/http compare the error, so it must not be wrapped.
}

// ShareIdle divides the connections that each upstream of the services takes among a number of
// nodes, and bounds the idle ones of this node by its part.
func (c *Pool) ShareIdle(services []fleet.Service, nodes int) {
	maxIdle := make(map[string]int)
	for _, s := range services {
		if s.MaxConns > 0 {
			maxIdle[s.Name] = min(max(s.MaxConns/(idleShare*max(nodes, 1)), 1), maxIdleConns)
		}
	}
	c.mu.Lock()
	c.maxIdle = maxIdle
	c.mu.Unlock()
}

// popIdle removes and returns the newest idle connection, or nil if there is none.
func (c *Pool) popIdle(dest endpoint) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[dest]
	if len(list) == 0 {
		return nil
	}
	newest := list[len(list)-1]
	c.idle[dest] = list[:len(list)-1]
	return newest
}

// Made returns the number of connections that were made.
func (c *Pool) Made() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.made
}

// Idle returns the number of idle connections to an upstream.
func (c *Pool) Idle(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for dest, list := range c.idle {
		if dest.id == id {
			n += len(list)
		}
	}
	return n
}

// Sweep closes the idle connections that have expired and those to unknown
// upstreams. The function is called under the lock of the pool; it must not use the pool.
func (c *Pool) Sweep(known func(id string, born int64) bool) {
	now := time.Now()
	var stale []*Conn
	c.mu.Lock()
	for dest, list := range c.idle {
		keep := list[:0]
		for _, unused := range list {
			if now.Before(unused.expires) && known(dest.id, dest.born) {
				keep = append(keep, unused)
				continue
			}
			stale = append(stale, unused)
		}
		if c.idle[dest] = keep; len(keep) == 0 {
			delete(c.idle, dest)
		}
	}
	c.mu.Unlock()
	for _, unused := range stale {
		unused.Close()
	}
}

// CloseIdle closes the idle connections to an upstream.
func (c *Pool) CloseIdle(u fleet.Upstream) {
	dest := endpointOf(u)
	c.mu.Lock()
	list := c.idle[dest]
	delete(c.idle, dest)
	c.mu.Unlock()
	for _, unused := range list {
		unused.Close()
	}
}

// revalidate stops monitoring an idle connection and reports whether it is usable:
// not expired, open, and without unsolicited bytes.
func (c *Conn) revalidate() bool {
	if !time.Now().Before(c.expires) {
		return false
	}
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return false
	}
	err := <-c.peekResult
	if !isDeadline(err) || c.reader.Buffered() > 0 {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}

// PutBack returns the connection to the pool after a whole answer with the given
// headers. The headers are nil if the connection was not used.
func (c *Conn) PutBack(h http.Header) {
	if c.reader.Buffered() > 0 || len(c.tokens) > maxTokens {
		// Bytes after the answer belong to no request.
		c.Close()
		return
	}
	if c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	idleTime := defaultKeepAlive
	if timeout, ok := keepAliveTimeout(h); ok {
		idleTime = timeout - keepAliveMargin
	}
	c.expires = time.Now().Add(idleTime)
	c.peekResult = make(chan error, 1)
	go func() {
		_, err := c.reader.Peek(1)
		if !isDeadline(err) {
			// Bytes that belong to no request, or the end of the connection.
			c.Close()
		}
		c.peekResult <- err
	}()
	c.pool.put(c)
}

func (c *Pool) put(unused *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, limited := c.maxIdle[unused.endpoint.service]
	if !limited {
		limit = maxIdleConns
	}
	if len(c.idle[unused.endpoint]) >= limit {
		unused.Close()
		return
	}
	c.idle[unused.endpoint] = append(c.idle[unused.endpoint], unused)
}

// keepAliveTimeout returns how long the upstream keeps an idle connection open.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

const (
	// headBufferSize is the buffer size for a request's head, in bytes.
	headBufferSize = 2 << 10
	// maxBodyBuffer bounds the buffer size for a request's body, in bytes.
	maxBodyBuffer = 64 << 10
)

// RoundTrip writes a request and reads the head of its answer. A timeout of 0 means
// no timeout. After an error, the caller closes the connection.
func (c *Conn) RoundTrip(r *http.Request, bodySize int, timeout time.Duration) (*http.Response, error) {
	if timeout > 0 {
		if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
			return nil, fmt.Errorf("set deadline: %w", err)
		}
	}
	w := bufio.NewWriterSize(c.Conn, headBufferSize+min(bodySize, maxBodyBuffer))
	err := r.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		return nil, fmt.Errorf("write request: %w", err)
	}
	c.inHead, c.headLeft = true, MaxHeadBytes
	defer func() { c.inHead = false }()
	for {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if wire.IsInterim(response.StatusCode) {
			continue
		}
		if err := wire.CheckFinal(response.StatusCode); err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		return response, c.SetDeadline(time.Time{})
	}
}

// Repeats records tokens that are unique to an answer and reports whether an earlier answer
// had one of them.
func (c *Conn) Repeats(tokens []string) bool {
	if c.tokens == nil {
		c.tokens = make(map[uint64]struct{}, len(tokens))
	}
	repeated := false
	for _, token := range tokens {
		hash := xxhash.Sum64String(token)
		_, known := c.tokens[hash]
		repeated = repeated || known
		c.tokens[hash] = struct{}{}
	}
	return repeated
}

// SetReadTimeout bounds the time of all reads from now on.
func (c *Conn) SetReadTimeout(timeout time.Duration) {
	// Setting a deadline fails only on a closed connection; the next read returns that
	// error.
	_ = c.SetReadDeadline(time.Now().Add(timeout))
}

// isDeadline reports whether an operation ended at a deadline that this program set. A
// connection whose other end no longer answers has a timeout as well, but is dead.
func isDeadline(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
