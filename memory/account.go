// Package memory accounts for the memory that clients make a host hold.
//
// An Account counts it from the first byte, by connection, by client address and in total.
// When memory is short it selects the connections to evict: those that hold most and progress
// least, such as an incomplete body or a client that does not read its response. In this package
// such a connection is called named. A request that was read and is in progress is never named.
//
// The package only counts. It has no clock and closes nothing; its callers do.
package memory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// A Kind says what memory is held for.
type Kind int

// The kinds of memory.
const (
	// Connections is what each open connection takes up.
	Connections Kind = iota
	// Heads are the heads of requests, as bytes and as parsed.
	Heads
	// Bodies are the bodies of requests.
	Bodies
	// Responses are responses that were read from upstreams and not yet by their clients.
	Responses
	// Results are replies of stage workers.
	Results
	// Requests is what each request in progress takes up beside its head and body.
	Requests
	// Buffers are receive buffers of the kernel that are larger than others, or may be full.
	Buffers
	kindCount
)

// Kinds lists all kinds.
func Kinds() []Kind { return []Kind{Connections, Heads, Bodies, Responses, Results, Requests, Buffers} }

func (k Kind) String() string {
	return [kindCount]string{"connections", "heads", "bodies", "responses", "results", "requests", "buffers"}[k]
}

// A Phase is what a connection is doing.
type Phase int32

// The phases of a connection.
const (
	// Receiving means that the connection waits for a request or reads one. It is the phase of a
	// new connection.
	Receiving Phase = iota
	// Idle means that the connection has been used and waits for its next request.
	Idle
	// Running means that a whole request is in progress.
	Running
	// Sending means that a write to the client is in progress.
	Sending
)

const (
	// minStall is how long a connection must have made no progress before it is named for a
	// small request. It is longer than the round trip of a distant client. largeStall is the
	// same for a large request. It is longer, so that hostile clients which evict each other
	// make the host parse few large heads.
	minStall   = 250 * time.Millisecond
	largeStall = time.Second
	// smallHolding is the largest total in bytes of a connection that may use the reserve. It
	// is enough for an ordinary request.
	smallHolding = 72 << 10
	// reserveShare is the divisor for the reserve: a fifth of the bound is for connections with
	// small holdings, so that ordinary requests find room while large ones are refused.
	reserveShare = 5
	// headShare is the divisor for heads: those of large requests may take a quarter of the
	// bound. A parsed head is many small objects, which cost the garbage collector more than a
	// body does.
	headShare = 4
	// batchShare is the divisor for the least amount to free when memory is short, 1/32 of the
	// bound, so that not each charge has to search for connections.
	batchShare = 32
	// searchInterval is the time until the next search after one that found no connection to
	// evict. It bounds the cost of searches under attack.
	searchInterval = 20 * time.Millisecond
)

// An Account is the memory accounting of a host. The zero value is empty and has no bound. It
// is safe for concurrent use.
type Account struct {
	mu    sync.Mutex
	limit int64
	used  int64
	// closing is what the named holders still hold.
	closing int64
	// awaited is the sum of the charges whose verdict was Wait, in bytes.
	awaited   int64
	byKind    [kindCount]int64
	byAddress map[string]int64
	holders   map[*Holder]struct{}
	// searched and searchedLarge are when a search for a small and for a large request last
	// found nothing.
	searched, searchedLarge time.Time
	// freed is closed when memory is released, if it is set.
	freed chan struct{}
}

// A Holder is the part of the account that one connection holds. Create it with Open.
type Holder struct {
	account *Account
	address string
	// close is called by the user of a Verdict.
	close func()
	phase atomic.Int32
	// progressed is when the connection last made progress, in nanoseconds of Unix time.
	progressed atomic.Int64

	// The account's lock guards the fields below.
	held   [kindCount]int64
	total  int64
	awaits int64
	named  bool
	closed bool
}

// A Verdict is the answer to a charge.
type Verdict struct {
	// Granted is true if the memory may be used.
	Granted bool
	// Close has the connections to close. It may be set only if the charge is not granted.
	Close []*Holder
	// Wait is true if there may be room soon.
	Wait bool
}

// SetLimit sets the bound in bytes, or none if it is 0.
func (a *Account) SetLimit(limit int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
}

// Limit returns the bound in bytes, or 0 if there is none.
func (a *Account) Limit() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit
}

// Open adds a connection that holds nothing. Holder.Close calls closeConn to evict it.
func (a *Account) Open(address string, now time.Time, closeConn func()) *Holder {
	h := &Holder{account: a, address: address, close: closeConn}
	h.progressed.Store(now.UnixNano())
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holders == nil {
		a.holders, a.byAddress = make(map[*Holder]struct{}), make(map[string]int64)
	}
	a.holders[h] = struct{}{}
	return h
}

// Close closes the connection of a holder that was named.
func (h *Holder) Close() { h.close() }

// Spare cancels the eviction of a named holder, as its connection has made progress meanwhile.
func (h *Holder) Spare() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.named {
		h.named = false
		a.closing -= h.total
	}
}

// Enter sets the phase and records progress.
func (h *Holder) Enter(p Phase, now time.Time) {
	h.progressed.Store(now.UnixNano())
	h.phase.Store(int32(p))
}

// Progress records progress.
func (h *Holder) Progress(now time.Time) { h.progressed.Store(now.UnixNano()) }

// Progressed returns when the connection last made progress.
func (h *Holder) Progressed() time.Time { return time.Unix(0, h.progressed.Load()) }

// Phase returns the phase.
func (h *Holder) Phase() Phase { return Phase(h.phase.Load()) }

// Take charges bytes to the connection if there is room.
func (h *Holder) Take(k Kind, bytes int64, now time.Time) Verdict {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.await(0)
	small := h.total+bytes <= smallHolding
	room, over := a.limit, int64(0)
	if !small {
		room -= a.limit / reserveShare
		if k == Heads {
			over = a.byKind[Heads] + bytes - a.limit/headShare
		}
	}
	over = max(over, a.used+bytes-room)
	if a.limit == 0 || over <= 0 {
		h.add(k, bytes)
		return Verdict{Granted: true}
	}
	if h.named {
		return Verdict{}
	}
	missing := over + a.awaited - a.closing
	var v Verdict
	if missing > 0 {
		least := largeStall
		if small {
			least = minStall
		}
		v.Close = a.name(h, missing, least, now)
		missing = over + a.awaited - a.closing
	}
	switch {
	case small:
		// It waits also if nothing is being closed yet, as stalled connections become eligible
		// soon.
		v.Wait = true
	case missing <= 0:
		// The memory of connections being closed is reserved for holders that already wait, so
		// later requests are refused at once.
		v.Wait = true
		h.await(bytes)
	}
	return v
}

// TakeSpare charges bytes to the connection if there is room that is not reserved, and reports
// whether it did. It evicts nothing.
func (h *Holder) TakeSpare(k Kind, bytes int64) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit > 0 && a.used+a.awaited+bytes > a.limit-a.limit/reserveShare {
		return false
	}
	h.add(k, bytes)
	return true
}

// await records what the holder waits for. The lock must be held.
func (h *Holder) await(bytes int64) {
	h.account.awaited += bytes - h.awaits
	h.awaits = bytes
}

// GiveUp records that the holder does not wait for memory any more.
func (h *Holder) GiveUp() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.await(0)
}

// Add charges bytes that are held already, whether there is room or not.
func (h *Holder) Add(k Kind, bytes int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(k, bytes)
}

// add charges bytes. The lock must be held.
func (h *Holder) add(k Kind, bytes int64) {
	if h.closed {
		return
	}
	h.held[k] += bytes
	h.total += bytes
	a := h.account
	a.used += bytes
	a.byKind[k] += bytes
	if a.byAddress[h.address] += bytes; a.byAddress[h.address] == 0 {
		delete(a.byAddress, h.address)
	}
	if h.named {
		a.closing += bytes
	}
	if bytes < 0 && a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// Release releases bytes of a kind.
func (h *Holder) Release(k Kind, bytes int64) { h.Add(k, -bytes) }

// Keep releases all that is held of a kind but for some bytes.
func (h *Holder) Keep(k Kind, bytes int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.held[k] > bytes {
		h.add(k, bytes-h.held[k])
	}
}

// End releases all that the connection holds and removes it.
func (h *Holder) End() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	for k, bytes := range h.held {
		if bytes != 0 {
			h.add(Kind(k), -bytes)
		}
	}
	h.await(0)
	h.closed = true
	delete(a.holders, h)
}

// Held returns what the connection holds in bytes.
func (h *Holder) Held() int64 {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.total
}

// Freed returns a channel that is closed when memory is released next.
func (a *Account) Freed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	return a.freed
}

// Used returns what is held of a kind in bytes.
func (a *Account) Used(k Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byKind[k]
}

// Total returns what is held in bytes.
func (a *Account) Total() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// ByAddress returns what the clients of an address hold in bytes.
func (a *Account) ByAddress(address string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byAddress[address]
}

// stalledFor returns how long a connection has made no progress with a request or a response,
// or 0 if it must not be evicted.
func (h *Holder) stalledFor(now time.Time) time.Duration {
	switch h.Phase() {
	case Receiving, Sending:
		return now.Sub(h.Progressed())
	}
	return 0
}

// name selects the connections to evict, in the order of held bytes times stalled time, until
// they free the missing bytes. Only connections stalled for at least the least time are
// eligible. The lock must be held.
func (a *Account) name(except *Holder, missing int64, least time.Duration, now time.Time) []*Holder {
	searched := &a.searched
	if least > minStall {
		searched = &a.searchedLarge
	}
	if now.Sub(*searched) < searchInterval {
		return nil
	}
	type candidate struct {
		holder *Holder
		score  float64
	}
	var candidates []candidate
	for h := range a.holders {
		stall := h.stalledFor(now)
		if h == except || h.named || stall < least {
			continue
		}
		// The score of a connection is up to doubled by the share of its address in the total.
		share := float64(a.byAddress[h.address]) / float64(max(a.used, 1))
		candidates = append(candidates, candidate{h, float64(h.total) * stall.Seconds() * (1 + share)})
	}
	if len(candidates) == 0 {
		*searched = now
		return nil
	}
	slices.SortFunc(candidates, func(x, y candidate) int { return cmp.Compare(y.score, x.score) })
	missing = max(missing, a.limit/batchShare)
	var named []*Holder
	for _, c := range candidates {
		if missing <= 0 {
			break
		}
		c.holder.named = true
		a.closing += c.holder.total
		missing -= c.holder.total
		named = append(named, c.holder)
	}
	return named
}
