// Package health remembers failures of a host and for how long it is passed over
// because of them: the longer, the more failures came in a row.
package health

import "time"

// A Backoff says how long a host is passed over: Least after the first failure,
// twice as long after each further one, Most at the most.
type Backoff struct {
	Least time.Duration
	Most  time.Duration
}

// maxDoublings bounds the shift, so that it cannot overflow.
const maxDoublings = 10

// pause returns how long a host is passed over after so many failures.
func (b Backoff) pause(failures int) time.Duration {
	return min(b.Least<<min(failures-1, maxDoublings), b.Most)
}

// A Record is the failures of a host since it last did well. The zero value has
// none.
type Record struct {
	failures int
	// until is when the host is no longer passed over.
	until time.Time
}

// Fail notes a failure.
func (r *Record) Fail(now time.Time, b Backoff) {
	r.failures++
	r.until = now.Add(b.pause(r.failures))
}

// Hold passes the host over until a time without a failure, such as for lack of
// room.
func (r *Record) Hold(until time.Time) { r.until = until }

// Clear forgets the failures, after the host has done well.
func (r *Record) Clear() { *r = Record{} }

// Suspect reports whether the host is to be passed over.
func (r Record) Suspect(now time.Time) bool { return now.Before(r.until) }

// Unsure reports whether the host has failed since it last did well.
func (r Record) Unsure() bool { return r.failures > 0 }

// Until returns when the host is no longer passed over.
func (r Record) Until() time.Time { return r.until }
