package batch

import (
	"slices"
	"time"
)

// demandTime is how long after a job or a refusal a pool is in demand.
const demandTime = 4 * time.Second

// checkLimits asks workers whose limits may have ended for their free memory, as only a
// response shows that. Jobs that wait or are on their way go first, and one worker is left for
// the next one, unless all are refused.
func (s *Scheduler) checkLimits(now time.Time, p *pool) {
	admits, refuses := now.Sub(p.lastJobAt) < demandTime, now.Sub(p.lastRefusedAt) < demandTime
	if len(p.queue) > 0 || p.upcoming > 0 || !admits && !refuses {
		return
	}
	for _, w := range p.workers {
		if w.usable(now) && w.limit.NeedsCheck(now) && (!admits || p.othersTakeCalls(now, w)) {
			w.limit.Take(now)
			s.emit(QueryMemory{Worker: w.upstream})
		}
	}
}

// othersTakeCalls reports whether a worker besides the given one can take a call now.
func (p *pool) othersTakeCalls(now time.Time, w *worker) bool {
	return slices.ContainsFunc(p.usable(now), func(other *worker) bool { return other != w && other.idle(now) })
}

// noteRefusal records that a request is refused that has a stage in a pool.
func (s *Scheduler) noteRefusal(now time.Time, j Job) {
	s.pools[j.Service].lastRefusedAt = now
	for _, stage := range j.Downstream {
		if p := s.pools[stage.Service]; p != nil {
			p.lastRefusedAt = now
		}
	}
}
