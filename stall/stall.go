// Package stall tells when an upstream that is to send an answer has been silent for too
// long. Silence alone ends nothing: whoever uses a Timer decides what follows.
package stall

import "time"

// A Timer measures how long an upstream has sent nothing. The zero value has not
// been started. Except for the function that it calls, one goroutine uses it.
type Timer struct {
	// timer calls the function at the end of the limit. It is nil until Start.
	timer *time.Timer
	// limit is the silence after which the timer expires, or 0 if it never does.
	limit time.Duration
	// since is when the upstream last sent something.
	since time.Time
	// reported is true if the timer has expired since then.
	reported bool
}

// Start begins to measure. Whenever the limit has passed in silence, the function is
// called in a goroutine of its own; it must arrange a call of Expired.
func (s *Timer) Start(limit time.Duration, f func()) {
	s.timer = time.AfterFunc(untilArmed, f)
	s.Restart(limit)
}

// untilArmed is longer than it takes to arm a new timer.
const untilArmed = time.Hour

// Restart starts the measurement again, with another limit.
func (s *Timer) Restart(limit time.Duration) {
	s.limit, s.since, s.reported = limit, time.Now(), false
	s.arm()
}

// arm sets the timer to the time at which the limit will have passed.
func (s *Timer) arm() {
	if s.limit == 0 {
		s.timer.Stop()
		return
	}
	s.timer.Reset(s.limit)
}

// Expired reports whether the limit has passed in silence. If so, the timer starts again,
// without forgetting the silence so far.
func (s *Timer) Expired() bool {
	if s.limit == 0 || s.Length() < s.limit {
		return false
	}
	s.reported = true
	s.arm()
	return true
}

// End records that the upstream has sent something. It returns the length of the silence
// and whether the timer had expired.
func (s *Timer) End() (length time.Duration, reported bool) {
	length, reported = s.Length(), s.reported
	s.since, s.reported = time.Now(), false
	s.arm()
	return length, reported
}

// Length returns the length of the silence.
func (s *Timer) Length() time.Duration { return time.Since(s.since) }

// Stop ends the measurement. A call of the function that has begun still runs.
func (s *Timer) Stop() { s.timer.Stop() }
