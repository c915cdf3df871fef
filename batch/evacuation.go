package batch

import "time"

// evacuate sets the zones whose workers get no calls.
func (s *Scheduler) evacuate(now time.Time, zones []string) {
	s.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		s.evacuated[zone] = true
	}
	for _, p := range s.pools {
		s.markEvacuated(now, p)
	}
}

// markEvacuated marks the workers of a pool whose zones are evacuated.
func (s *Scheduler) markEvacuated(now time.Time, p *pool) {
	for _, w := range p.workers {
		evacuated := s.evacuated[w.upstream.Zone]
		if w.evacuated && !evacuated {
			w.awaitRate(now)
		}
		w.evacuated = evacuated
	}
}

// awaitRate keeps calls from a worker that may be cold until Limited says what it may get.
func (w *worker) awaitRate(now time.Time) {
	if w.warmsUp {
		w.limit.SetRate(now, 0)
	}
}
