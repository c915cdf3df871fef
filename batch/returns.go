package batch

import "time"

// returns hands out the times at which refused requests may come back. It answers
// bursts that last longer than requests wait: if all who are refused came back
// after the same short time, they would meet the burst again and be refused again.
// Each is given a place in a line that moves on with a part of what the workers
// do, so that there is likely to be room for it. The zero value is an empty line.
type returns struct {
	// last is the end of the line.
	last time.Time
}

const (
	// returnShare is the part of the workers' capacity for requests that come
	// back.
	returnShare = 0.15
	// maxReturn bounds the time that a request is told to wait.
	maxReturn = 8 * time.Second
)

// next returns how long a request waits that would be in time after least, and
// that takes up all workers for a time of share.
func (r *returns) next(now time.Time, least, share time.Duration) time.Duration {
	place := r.last.Add(time.Duration(float64(share) / returnShare))
	r.last = later(place, now.Add(least))
	if limit := now.Add(maxReturn); r.last.After(limit) {
		r.last = limit
	}
	return r.last.Sub(now)
}

// share returns how long the workers of the stage that binds are taken up by a
// request.
func (s *Scheduler) share(now time.Time, j Job) time.Duration {
	longest := s.pools[j.Service].taken(now, j.Pieces)
	for _, need := range j.Ahead {
		if p := s.pools[need.Service]; p != nil {
			longest = max(longest, p.taken(now, need.Pieces))
		}
	}
	return longest
}

// taken returns how long all workers together take for pieces in full calls.
func (p *pool) taken(now time.Time, pieces int) time.Duration {
	rate := p.rate(p.usable(now))
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(pieces) / rate * float64(time.Second))
}
