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

// inputFetchTime is how long a job's inputs are kept after its last call is sent:
// workers fetch them before they start work.
const inputFetchTime = 60 * time.Millisecond

// freeFetchedInputs frees the inputs of jobs whose workers have fetched them. It makes
// memory available before the job ends, since memory is the bottleneck at the highest load.
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
		for _, handle := range j.Inputs {
			if s.freeIfLowOnSpace(handle) {
				j.inputsFreed = true
			}
		}
	}
}

// freeIfLowOnSpace frees a result whose worker is low on memory. At any other worker
// the result stays until the job that uses it ends, since the job may have to fetch it
// again. It reports whether it freed the result.
func (s *Scheduler) freeIfLowOnSpace(handle string) bool {
	for _, p := range s.pools {
		for _, w := range p.workers {
			if _, ok := w.held[handle]; ok && w.lowOnSpace() {
				s.free(w, handle)
				return true
			}
		}
	}
	return false
}
