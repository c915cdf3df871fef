package batch

import "time"

// release frees results, including those made for another owner, which this scheduler
// does not track.
func (s *Scheduler) release(results []Result) {
	for _, r := range results {
		for _, p := range s.pools {
			if w := p.byAddr[r.Addr]; w != nil {
				s.free(w, r.Handle)
			}
		}
	}
}

// free marks a result at a worker to be freed.
func (s *Scheduler) free(w *worker, handle string) {
	if handle == "" {
		return
	}
	if _, freed := s.recentlyFreed.Get(handle); freed {
		return
	}
	s.recentlyFreed.Put(handle, struct{}{})
	w.toFree = append(w.toFree, handle)
}

func (s *Scheduler) freeEnded(e FreeEnded) {
	if w := s.worker(e.Worker); w != nil && e.OK {
		w.removeResults(e.Handles)
	}
}

// spaceReported records the free memory that a worker reports. If it is less than
// computed here, results of another owner use the difference.
func (s *Scheduler) spaceReported(now time.Time, e SpaceReported) {
	if w := s.worker(e.Worker); w != nil {
		w.setOtherOwnerBytes(now, w.space(now)+w.held[otherOwnerResults].bytes-e.Space)
	}
}

// worker returns a worker by its id, or nil.
func (s *Scheduler) worker(id string) *worker {
	for _, p := range s.pools {
		for _, w := range p.workers {
			if w.upstream.ID == id {
				return w
			}
		}
	}
	return nil
}

// A fetchTime is how long a job's inputs are kept at least after its last call is sent, as
// workers fetch them at the start of a call. A piece that lacks an input shows that this was
// too short; the time falls again while none does. The zero value is minFetchTime.
type fetchTime struct {
	extra   time.Duration
	updated time.Time
}

const (
	// minFetchTime and maxFetchTime bound the time.
	minFetchTime = 60 * time.Millisecond
	maxFetchTime = 300 * time.Millisecond
	// fetchTimeStep is how much longer inputs are kept after one was gone, and
	// fetchTimeDecay how much shorter again per second.
	fetchTimeStep  = 20 * time.Millisecond
	fetchTimeDecay = 2 * time.Millisecond
)

// get returns the time for which inputs are kept.
func (f *fetchTime) get(now time.Time) time.Duration {
	decay := time.Duration(float64(fetchTimeDecay) * now.Sub(f.updated).Seconds())
	return minFetchTime + max(f.extra-decay, 0)
}

// tooShort records that an input was gone although it had been kept for that time.
func (f *fetchTime) tooShort(now time.Time) {
	f.extra = min(f.get(now)+fetchTimeStep, maxFetchTime) - minFetchTime
	f.updated = now
}

// fetchCheckInterval is how often fetched inputs are reconsidered until their job ends.
const fetchCheckInterval = 25 * time.Millisecond

// freeFetchedInputs frees the inputs of jobs whose workers have fetched them, at workers that are
// low on memory, which is the bottleneck at the highest load. All other inputs stay until the job
// ends, since it may have to fetch them again.
func (s *Scheduler) freeFetchedInputs(now time.Time) {
	for {
		ref, ok := s.inputTimers.Pop(now)
		if !ok {
			return
		}
		j := s.jobs[ref]
		if j == nil || len(j.pending) > 0 {
			continue
		}
		if j.holders == nil {
			j.holders = s.holdersOf(j.Inputs)
		}
		kept := false
		for i, w := range j.holders {
			switch {
			case w == nil:
			case w.lowOnSpace():
				s.free(w, j.Inputs[i])
				j.inputsFreed, j.holders[i] = true, nil
			default:
				kept = true
			}
		}
		if kept {
			s.inputTimers.Add(now.Add(fetchCheckInterval), ref)
		}
	}
}

// holdersOf returns the worker that holds each result, or nil if it is at none of this owner.
func (s *Scheduler) holdersOf(handles []string) []*worker {
	holders := make([]*worker, len(handles))
	for i, handle := range handles {
		for _, p := range s.pools {
			for _, w := range p.workers {
				if _, ok := w.held[handle]; ok {
					holders[i] = w
				}
			}
		}
	}
	return holders
}
