// Package health tracks consecutive failures of a host and the time until which it is
// suspect, with an exponential backoff.
package health

import "time"

// A Backoff sets how long a host is suspect after a failure: Min after the first one,
// twice as long after each further one, and at most Max.
type Backoff struct {
	Min time.Duration
	Max time.Duration
}

// maxDoublings bounds the shift in delay so that it cannot overflow.
const maxDoublings = 10

// delay returns how long a host is suspect after a number of consecutive failures.
func (b Backoff) delay(failures int) time.Duration {
	return min(b.Min<<min(failures-1, maxDoublings), b.Max)
}

// A Record tracks the failures of a host since its last success. The zero value has no
// failures.
type Record struct {
	failures int
	// suspectUntil is the time from which the host is no longer suspect.
	suspectUntil time.Time
}

// Fail records a failure and makes the host suspect.
func (r *Record) Fail(now time.Time, b Backoff) {
	r.failures++
	r.suspectUntil = now.Add(b.delay(r.failures))
}

// Hold makes the host suspect until the given time, for example when it has no
// capacity. It does not record a failure.
func (r *Record) Hold(until time.Time) { r.suspectUntil = until }

// Clear resets the record after a success.
func (r *Record) Clear() { *r = Record{} }

// Suspect reports whether the host is suspect and should not be used.
func (r Record) Suspect(now time.Time) bool { return now.Before(r.suspectUntil) }

// HasFailed reports whether the host has failed since its last success.
func (r Record) HasFailed() bool { return r.failures > 0 }

// SuspectUntil returns the time from which the host is no longer suspect.
func (r Record) SuspectUntil() time.Time { return r.suspectUntil }
