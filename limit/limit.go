// Package limit keeps the requests to upstreams within the limits that these name. An
// upstream in need names in its responses how many requests a second it takes from all nodes
// together, for as long as it does so.
//
// A Table holds what the nodes know of limits, Divide gives some of the nodes shares of a
// limit, and a Bucket keeps a node to its share. The package has no clock and no I/O.
package limit

import (
	"math"
	"time"

	"teaselplank/queue"
)

// A Process identifies one run of an upstream.
type Process struct {
	ID string
	// Born is when the process started, in milliseconds of Unix time.
	Born int64
}

// A Statement is what a response says about the limit of its upstream. The zero value says
// that there is none.
type Statement struct {
	Named bool
	// Rate is in requests per second. It is neither negative nor infinite.
	Rate float64
	// Unreadable is true if the response names a limit that is no rate. It then neither sets
	// nor ends one.
	Unreadable bool
}

// rate returns the rate that a statement allows.
func (s Statement) rate() float64 {
	if !s.Named {
		return math.Inf(1)
	}
	return s.Rate
}

// A Limit is what is known of the limit of a process.
type Limit struct {
	Process Process
	// Rate is the number of requests per second that the process takes from all nodes
	// together. It is 0 if Ended is true.
	Rate float64
	// Ended is true if the process names no limit any more.
	Ended bool
	// Version rises with each change that a node sees.
	Version uint64
}

// Supersedes reports whether a limit is newer than another one of its process. Of two changes
// that nodes have seen at the same time, the one that allows less is the newer one.
func (l Limit) Supersedes(old Limit) bool {
	if l.Version != old.Version {
		return l.Version > old.Version
	}
	if l.Ended != old.Ended {
		return old.Ended
	}
	return !l.Ended && l.Rate < old.Rate
}

// isBelow reports whether the limit allows less than a statement does.
func (l Limit) isBelow(s Statement) bool { return !l.Ended && (!s.Named || s.Rate > l.Rate) }

// matches reports whether the limit is what a statement says.
func (l Limit) matches(s Statement) bool {
	return l.Ended != s.Named && (l.Ended || l.Rate == s.Rate)
}

// maxEntries bounds the processes of a Table; the oldest are forgotten.
const maxEntries = 1024

const (
	// riseDelay is how long a process must name a higher limit, or none, until it counts. A
	// process that names another limit in each response is thus held to the lowest.
	riseDelay = 500 * time.Millisecond
	// maxRise is the factor by which a limit rises at once, and minRise the rate that it may
	// always rise to. The higher it is, the sooner a response shows whether it may rise more.
	maxRise = 2
	minRise = 1 // requests per second
	// confirmRate is the rate at which a process that names a higher limit, or none, gets
	// requests at least until that counts. A limit of less would take many seconds to end.
	confirmRate = 1 // requests per second
)

// A Table holds the limits of processes. The zero value is empty.
type Table struct {
	entries queue.FIFOMap[Process, *entry]
	// offset is the position of the first limit that the next Window returns.
	offset int
}

type entry struct {
	limit Limit
	// since is when the table got the limit.
	since time.Time
	// higher is the lowest of the statements above the limit since higherSince, which is the
	// zero time if there are none.
	higher      Statement
	higherSince time.Time
}

// State records what a response to a request that was sent at sentAt says of its process. It
// returns the limit and reports whether it has changed.
func (t *Table) State(now, sentAt time.Time, p Process, s Statement) (Limit, bool) {
	e, known := t.entries.Get(p)
	if s.Unreadable || !known && !s.Named {
		return Limit{}, false
	}
	if !known {
		return t.set(now, Limit{Process: p, Rate: s.Rate, Version: 1}), true
	}
	if e.limit.matches(s) {
		e.higherSince = time.Time{}
		return e.limit, false
	}
	if e.limit.isBelow(s) {
		var confirmed bool
		if s, confirmed = e.rise(now, sentAt, s); !confirmed {
			return e.limit, false
		}
	}
	l := Limit{Process: p, Ended: !s.Named, Version: e.limit.Version + 1}
	if s.Named {
		l.Rate = s.Rate
	}
	return t.set(now, l), true
}

// rise takes a statement above the limit. It returns what holds instead of the limit, and
// whether the process has named a higher limit, or none, for long enough. Responses to
// requests that were sent before the limit was known say nothing.
func (e *entry) rise(now, sentAt time.Time, s Statement) (Statement, bool) {
	if sentAt.Before(e.since) {
		return s, false
	}
	if e.higherSince.IsZero() {
		e.higher, e.higherSince = s, now
		return s, false
	}
	if s.Named && (!e.higher.Named || s.Rate < e.higher.Rate) {
		e.higher = s
	}
	risen := e.higher
	if risen.Named {
		risen.Rate = min(risen.Rate, max(maxRise*e.limit.Rate, minRise))
	}
	return risen, now.Sub(e.higherSince) >= riseDelay
}

// Knows reports whether the table has an entry of a process.
func (t *Table) Knows(p Process) bool {
	_, known := t.entries.Get(p)
	return known
}

// Get returns the limit of a process.
func (t *Table) Get(p Process) (Limit, bool) {
	e, known := t.entries.Get(p)
	if !known {
		return Limit{}, false
	}
	return e.limit, true
}

// Usable returns the rate at which this node may help to use the limit of a process. It is
// above the limit while the process names a higher one, or none, that does not count yet.
func (t *Table) Usable(l Limit) float64 {
	e, known := t.entries.Get(l.Process)
	if known && !e.higherSince.IsZero() && e.limit == l {
		return max(l.Rate, min(confirmRate, e.higher.rate()))
	}
	return l.Rate
}

// Merge records what another node knows and reports whether it is newer.
func (t *Table) Merge(now time.Time, l Limit) bool {
	if e, known := t.entries.Get(l.Process); known && !l.Supersedes(e.limit) {
		return false
	}
	t.set(now, l)
	return true
}

func (t *Table) set(now time.Time, l Limit) Limit {
	t.entries.Limit = maxEntries
	t.entries.Put(l.Process, &entry{limit: l, since: now})
	return l
}

// Window returns up to count limits. Repeated calls return all limits in turn.
func (t *Table) Window(count int) []Limit {
	all := t.All()
	window := make([]Limit, 0, min(count, len(all)))
	for i := range cap(window) {
		window = append(window, all[(t.offset+i)%len(all)])
	}
	if len(all) > 0 {
		t.offset = (t.offset + count) % len(all)
	}
	return window
}

// All returns all limits, also those that have ended.
func (t *Table) All() []Limit {
	var all []Limit
	for _, p := range t.entries.Keys() {
		e, _ := t.entries.Get(p)
		all = append(all, e.limit)
	}
	return all
}
