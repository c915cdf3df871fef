package listen

import (
	"cmp"
	"net"
	"slices"
	"time"

	"teaselplank/memory"
)

// Bounds are what the clients of a listener may take up. The zero value bounds nothing.
type Bounds struct {
	// Account counts the memory, or is nil.
	Account *memory.Account
	// Conns is the number of connections, or 0 if there is no bound.
	Conns int
	// HeadBytes and Fields bound the head of a request, and HeadTime the time from its first
	// byte to its last. Those that are 0 bound nothing.
	HeadBytes int
	Fields    int
	HeadTime  time.Duration
	// ReceiveBytes bounds, but for a factor of 1.5, what the kernel holds of what a client has sent
	// and the server has not read. It is larger while a long body is read. If it is 0, the kernel
	// decides.
	ReceiveBytes int
	// IdleTime is how long an idle connection is kept although a new one needs its place.
	// SilentTime is the same for one whose request or response makes no progress.
	IdleTime, SilentTime time.Duration
	// Count is called with what was refused, or is nil. It must not block.
	Count func(Refusal)
}

// A Refusal says what was refused to a client, and why.
type Refusal string

// The refusals.
const (
	// RefusedConnection means that the bound of connections was reached.
	RefusedConnection Refusal = "connection"
	// RefusedHead means that there was no room for the head of a request, and LongHead that
	// it was too long.
	RefusedHead Refusal = "head"
	LongHead    Refusal = "long head"
	// RefusedBody means that there was no room for a body, LongBody that it was too long, and
	// SlowBody that it came too slowly.
	RefusedBody Refusal = "body"
	LongBody    Refusal = "long body"
	SlowBody    Refusal = "slow body"
	// Evicted means that a connection was closed for lack of room, and Replaced that it gave
	// its place to a newer one.
	Evicted  Refusal = "closed for room"
	Replaced Refusal = "closed for another"
)

// Refusals lists all refusals.
func Refusals() []Refusal {
	return []Refusal{RefusedConnection, RefusedHead, LongHead, RefusedBody, LongBody, SlowBody, Evicted, Replaced}
}

// Costs in bytes of what net/http and this program hold for a client.
const (
	// ConnCost is the cost of a connection: two buffers of 4 KiB, a stack and the state.
	ConnCost = 12 << 10
	// requestCost is the cost of a request in progress beside its head and body: the goroutines
	// that serve it, and its connection to an upstream.
	requestCost = 24 << 10
	// headCost and fieldCost are the costs of a parsed head and of each of its fields beside
	// its bytes. A parsed field takes 90 bytes, and as much again in the request to an
	// upstream. byteCost is the number of copies of the bytes.
	headCost  = 2 << 10
	fieldCost = 200
	byteCost  = 2
)

const (
	// maxWait is how long a client waits for memory before it is refused. It is longer than the
	// time after which stalled connections may be evicted for a small request (250 ms).
	maxWait = 400 * time.Millisecond
	// waitStep is the interval at which a waiting client tries again although no memory was
	// released: connections become eligible for eviction with time.
	waitStep = 20 * time.Millisecond
	// replaceShare is the divisor for the connections that may be closing for new ones at a
	// time: 1/16 of all.
	replaceShare = 16
	// replaceInterval is the time until the next search after one that found no connection to
	// replace. It bounds the cost of searches under attack.
	replaceInterval = 5 * time.Millisecond
)

// count reports a refusal to Bounds.Count.
func (l *Listener) count(r Refusal) {
	if l.bounds.Count != nil {
		l.bounds.Count(r)
	}
}

// SetHeadBounds sets the bounds of the heads of later requests. Those that are 0 bound nothing.
func (l *Listener) SetHeadBounds(bytes int, d time.Duration) {
	l.headBytes.Store(int64(bytes))
	l.headTime.Store(int64(d))
}

// admit returns the connection of a client, or nil if there is no place for it.
func (l *Listener) admit(raw net.Conn) *Conn {
	now := time.Now()
	if !l.makePlace(now) {
		return nil
	}
	address, _, err := net.SplitHostPort(raw.RemoteAddr().String())
	if err != nil {
		address = raw.RemoteAddr().String()
	}
	c := &Conn{Conn: raw, listener: l, accepted: now}
	c.holder = l.bounds.Account.Open(address, now, c.evict)
	v := c.holder.Take(memory.Connections, ConnCost, now)
	closeAll(v.Close)
	if !v.Granted {
		if len(v.Close) == 0 {
			c.holder.End()
			return nil
		}
		c.holder.Add(memory.Connections, ConnCost)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c
}

func closeAll(holders []*memory.Holder) {
	for _, h := range holders {
		h.Close()
	}
}

// makePlace reports whether there is a place for another connection. It closes those that have
// waited longest for a request if there is none.
func (l *Listener) makePlace(now time.Time) bool {
	if l.bounds.Conns == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open)-l.closing < l.bounds.Conns {
		// Those that are closing still have their descriptors.
		return len(l.open) < l.bounds.Conns+max(l.bounds.Conns/replaceShare, 1)
	}
	if now.Sub(l.searched) < replaceInterval {
		return false
	}
	type candidate struct {
		conn   *Conn
		waited time.Duration
	}
	var candidates []candidate
	for c := range l.open {
		if waited, ok := c.waits(now); ok && !c.replaced {
			candidates = append(candidates, candidate{c, waited})
		}
	}
	if len(candidates) == 0 {
		l.searched = now
		return false
	}
	slices.SortFunc(candidates, func(x, y candidate) int { return cmp.Compare(y.waited, x.waited) })
	for _, v := range candidates[:min(max(l.bounds.Conns/replaceShare/2, 1), len(candidates))] {
		v.conn.replaced = true
		l.closing++
		// Counted before the new connection is served, so that the counters explain its place.
		l.count(Replaced)
		go v.conn.replace()
	}
	return true
}

// waits returns how long the connection has waited for a request or the rest of one, if that is
// so long that another one may take its place.
func (c *Conn) waits(now time.Time) (time.Duration, bool) {
	waited := now.Sub(c.holder.Progressed())
	switch c.holder.Phase() {
	case memory.Idle:
		return waited, waited >= c.listener.bounds.IdleTime
	case memory.Receiving, memory.Sending:
		return waited, waited >= c.listener.bounds.SilentTime
	}
	return 0, false
}

// replace closes the connection for another one, which needs its place at once: the server may
// be about to wait for the client.
func (c *Conn) replace() {
	c.mu.Lock()
	reading := c.busy && c.holder.Phase() != memory.Running
	c.evicted = c.evicted || reading
	c.mu.Unlock()
	if !reading {
		c.end()
		return
	}
	c.listener.forget(c)
	_ = c.Conn.Close() // The server closes it again.
}

// keep records that a connection that was to give up its place keeps it.
func (l *Listener) keep(c *Conn) {
	// The caller has the lock of the connection, which comes after that of the listener.
	go func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if c.replaced {
			c.replaced = false
			l.closing--
		}
	}()
}

// forget removes a closed connection.
func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	if c.replaced {
		c.replaced = false
		l.closing--
	}
}

// evict closes the connection for lack of room.
func (c *Conn) evict() {
	c.listener.count(Evicted)
	c.end()
}

// end closes the connection unless a request is in progress on it. A request that is being read
// is refused. A connection that waits for a request stays open if one has arrived.
func (c *Conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch phase := c.holder.Phase(); {
	case phase == memory.Running:
		c.holder.Spare()
		c.listener.keep(c)
	case !c.busy:
		c.closing = true
		_ = c.Conn.SetReadDeadline(expired)
	default:
		c.evicted = true
		_ = c.Conn.SetReadDeadline(expired)
		if phase == memory.Sending {
			c.cut = true
			_ = c.Conn.SetWriteDeadline(expired)
		}
	}
}

// EndBody records that a request was read as a whole, so that its connection is not closed for
// lack of room any more. It returns false if it is being closed already.
func (c *Conn) EndBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return false
	}
	c.holder.Enter(memory.Running, time.Now())
	return true
}

// Hold charges memory to the connection, and waits a moment for room. It returns false if there
// is none.
func (c *Conn) Hold(k memory.Kind, bytes int64) bool {
	now := time.Now()
	v := c.holder.Take(k, bytes, now)
	for giveUp := now.Add(maxWait); !v.Granted; v = c.holder.Take(k, bytes, now) {
		closeAll(v.Close)
		if !v.Wait || now.After(giveUp) || c.isEvicted() {
			c.holder.GiveUp()
			return false
		}
		select {
		case <-c.listener.bounds.Account.Freed():
		case <-time.After(waitStep):
		}
		now = time.Now()
	}
	return true
}

// DropBody releases the memory of the body.
func (c *Conn) DropBody() { c.holder.Keep(memory.Bodies, 0) }

// Drop releases memory of the connection.
func (c *Conn) Drop(k memory.Kind, bytes int64) { c.holder.Release(k, bytes) }

// HoldResponse charges memory for a response that is read for the client. With must it charges the
// memory even beyond the bound.
func (c *Conn) HoldResponse(bytes int64, must bool) bool {
	if must {
		c.holder.Add(memory.Responses, bytes)
		return true
	}
	return c.Hold(memory.Responses, bytes)
}

// DropResponse releases memory for a response.
func (c *Conn) DropResponse(bytes int64) { c.Drop(memory.Responses, bytes) }

func (c *Conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}
