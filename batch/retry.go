package batch

import (
	"time"

	"teaselplank/fair"
	"teaselplank/queue"
)

// A retrySchedule assigns the times at which refused requests may retry. In a burst that
// lasts longer than requests wait, requests that all retried after the same short time
// would meet the burst again and be refused again. Each request gets a slot in a schedule
// that advances with a share of the workers' throughput, so that capacity is likely to be
// available at its slot. The zero value is an empty schedule.
type retrySchedule struct{ slots queue.Schedule }

// retryShare is the share of the workers' capacity for retried requests.
const retryShare = 0.15

// next returns the time until the retry of a request of a rank that would be in time after
// minWait and that occupies all workers for workTime. More urgent ones do not wait for the
// slots of less urgent ones.
func (s *retrySchedule) next(now time.Time, rank int, minWait, workTime time.Duration) time.Duration {
	return s.slots.Next(now, fair.ClampRank(rank), minWait, time.Duration(float64(workTime)/retryShare))
}

// bottleneckTime returns how long a request occupies all workers of its bottleneck
// stage.
func (s *Scheduler) bottleneckTime(now time.Time, j Job) time.Duration {
	longest := s.pools[j.Service].workTime(now, j.Pieces)
	for _, stage := range j.Downstream {
		if p := s.pools[stage.Service]; p != nil {
			longest = max(longest, p.workTime(now, stage.Pieces))
		}
	}
	return longest
}

// workTime returns how long the pieces occupy all usable workers.
func (p *pool) workTime(now time.Time, pieces int) time.Duration {
	rate := p.rate(p.usable(now))
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(pieces) / rate * float64(time.Second))
}
