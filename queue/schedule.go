package queue

import "time"

// maxScheduleWait bounds the time until a slot of a Schedule.
const maxScheduleWait = 8 * time.Second

// A Schedule assigns the times at which refused clients may return, so that they do not all
// return at once and are refused again. More urgent ones do not wait for others. The zero
// value is empty.
type Schedule struct {
	// ends has the time of the last slot by rank; 0 is the most urgent.
	ends map[int]time.Time
}

// Next returns the time until the slot of a client with the given rank: minWait at least, and
// the interval after the last slot of its rank or a more urgent one.
func (s *Schedule) Next(now time.Time, rank int, minWait, interval time.Duration) time.Duration {
	at := now.Add(minWait)
	for other, end := range s.ends {
		if next := end.Add(interval); other <= rank && next.After(at) {
			at = next
		}
	}
	if latest := now.Add(maxScheduleWait); at.After(latest) {
		at = latest
	}
	if s.ends == nil {
		s.ends = make(map[int]time.Time)
	}
	s.ends[rank] = at
	return at.Sub(now)
}
