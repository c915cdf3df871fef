package batch

import "time"

// release gives results up. Results that were made for another owner are not known
// here and are freed all the same.
func (s *Scheduler) release(results []Result) {
	for _, r := range results {
		for _, p := range s.pools {
			if w := p.byAddr[r.Addr]; w != nil {
				s.free(w, r.Handle)
			}
		}
	}
}

// free notes that a result at a worker is of no use any more.
func (s *Scheduler) free(w *worker, handle string) {
	if handle == "" {
		return
	}
	if _, freed := s.freedLately.Get(handle); freed {
		return
	}
	s.freedLately.Put(handle, struct{}{})
	w.unwanted = append(w.unwanted, handle)
}

func (s *Scheduler) freed(e Freed) {
	if w := s.worker(e.Worker); w != nil && e.OK {
		w.forget(e.Handles)
	}
}

// reported takes in the memory that a worker has left. What it has less than is
// known here is taken up by results of another owner.
func (s *Scheduler) reported(now time.Time, e Reported) {
	if w := s.worker(e.Worker); w != nil {
		w.setUnknown(now, w.space(now)+w.held[unknownResults].bytes-e.Space)
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

// fetchTime is how long after the turn of its last call a job's inputs are kept:
// workers fetch them before they begin to work.
const fetchTime = 60 * time.Millisecond

// freeFetched frees the inputs of jobs that have fetched them. That makes room for
// results earlier than the end of the job, which is what binds at the highest load.
func (s *Scheduler) freeFetched(now time.Time) {
	for {
		ref, ok := s.fetched.Pop(now)
		if !ok {
			return
		}
		j := s.jobs[ref]
		if j == nil || len(j.pending) > 0 {
			continue
		}
		for _, handle := range j.Inputs {
			s.freeIfTight(handle)
		}
	}
}

// freeIfTight frees a result whose worker has little memory left. Elsewhere it
// stays until its user has ended, which may have to fetch it again.
func (s *Scheduler) freeIfTight(handle string) {
	for _, p := range s.pools {
		for _, w := range p.workers {
			if _, ok := w.held[handle]; ok && w.tight() {
				s.free(w, handle)
			}
		}
	}
}
