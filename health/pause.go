package health

import "time"

// A Pause is the time for which a host asked to get nothing. The zero value is no pause. A
// success of earlier work does not end it.
type Pause struct {
	until time.Time
}

// Extend makes the pause last until the given time, if it would end before.
func (p *Pause) Extend(until time.Time) {
	if until.After(p.until) {
		p.until = until
	}
}

// Active reports whether the pause is not over.
func (p Pause) Active(now time.Time) bool { return now.Before(p.until) }

// FirstEnd returns the time until the first of the pauses ends, or 0 if one of them is
// over or there are none.
func FirstEnd(now time.Time, pauses []Pause) time.Duration {
	var shortest time.Duration
	for _, p := range pauses {
		if !p.Active(now) {
			return 0
		}
		if left := p.until.Sub(now); shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}
