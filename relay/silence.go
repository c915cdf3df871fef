package relay

import "time"

// A silenceTimer measures how long an upstream has sent nothing. The zero value has not
// been started. Except for the function that it calls, one goroutine uses it.
type silenceTimer struct {
	timer *time.Timer
	// limit is the silence after which the timer expires, or 0 if it never does.
	limit time.Duration
	// since is when the upstream last sent something.
	since time.Time
	// reported is true if the timer has expired since then.
	reported bool
}

// start begins to measure. Whenever the limit has passed in silence, the function is
// called in a goroutine of its own; it must arrange a call of expired.
func (s *silenceTimer) start(limit time.Duration, f func()) {
	s.timer = time.AfterFunc(untilArmed, f)
	s.restart(limit)
}

// untilArmed is longer than it takes to arm a new timer.
const untilArmed = time.Hour

// restart starts the measurement again, with another limit.
func (s *silenceTimer) restart(limit time.Duration) {
	s.limit, s.since, s.reported = limit, time.Now(), false
	s.arm()
}

// arm sets the timer to the time at which the limit will have passed.
func (s *silenceTimer) arm() {
	if s.limit == 0 {
		s.timer.Stop()
		return
	}
	s.timer.Reset(s.limit)
}

// expired reports whether the limit has passed in silence. If so, the timer starts again,
// without forgetting the silence so far.
func (s *silenceTimer) expired() bool {
	if s.limit == 0 || s.length() < s.limit {
		return false
	}
	s.reported = true
	s.arm()
	return true
}

// end records that the upstream has sent something. It returns the length of the silence
// and whether the timer had expired.
func (s *silenceTimer) end() (length time.Duration, reported bool) {
	length, reported = s.length(), s.reported
	s.since, s.reported = time.Now(), false
	s.arm()
	return length, reported
}

// length returns the length of the silence.
func (s *silenceTimer) length() time.Duration { return time.Since(s.since) }

func (s *silenceTimer) stop() { s.timer.Stop() }
