package batch

import (
	"slices"
	"time"
)

// maxFailures bounds the failures of a job's pieces, as a multiple of their number.
const maxFailures = 3

// callEnded handles the end of a call.
func (s *Scheduler) callEnded(now time.Time, e CallEnded) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	delete(s.calls, e.Call)
	c.worker.finish(now, c, e.Failure)
	if e.Failure == NoFailure {
		s.passOver(now, c)
	}
	if e.Failure == ConnectTimeout {
		s.markZoneSuspect(now, c.worker.upstream.Zone)
	}
	switch e.Failure {
	case Full:
		s.counts.Full++
	case ConnectionFailed, Unreachable, ConnectTimeout:
		s.counts.Broken++
	}
	for i, piece := range c.pieces {
		c.worker.reservedBytes -= piece.bytes
		piece.attempts().remove(c)
		outcome := Outcome{}
		if e.Failure == NoFailure {
			outcome = e.Outcomes[i]
		}
		s.finishPiece(now, c.worker, piece, outcome, e.Failure)
	}
}

// markZoneSuspect marks the workers of a zone without a recent response as suspect,
// since a network partition makes all of them unreachable at once. It spares services
// that would be left without a worker: their zone may be reachable, and only one of its
// workers silent. (Package proxy marks all and falls back to them, since a request can
// wait for a connection, while calls here are planned ahead.)
func (s *Scheduler) markZoneSuspect(now time.Time, zone string) {
	for _, p := range s.pools {
		var suspects []*worker
		others := false
		for _, w := range p.workers {
			switch {
			case !w.usable(now):
			case w.upstream.Zone == zone && now.Sub(w.lastResponse) > recentResponseAge:
				suspects = append(suspects, w)
			default:
				others = true
			}
		}
		if !others {
			continue
		}
		for _, w := range suspects {
			w.health.Fail(now, backoff)
		}
	}
}

// finishPiece handles the outcome of one piece.
func (s *Scheduler) finishPiece(now time.Time, w *worker, p piece, o Outcome, failure Failure) {
	if failure == NoFailure && o.Failure == NoPieceFailure {
		w.addResult(now, o.Handle, p.bytes)
	}
	j := p.job
	if !s.needs(p) {
		// The job has been dropped or replaced, or another worker was first.
		s.free(w, o.Handle)
		return
	}
	switch {
	case failure == Full || failure == Unreachable || failure == ConnectTimeout:
		s.requeue(now, p, false)
	case failure == ConnectionFailed || o.Failure == Errored:
		s.counts.Errored++
		s.requeue(now, p, true)
	case o.Failure == NoRoom:
		s.counts.NoRoom++
		w.outOfSpace(now)
		s.queryWorker(now, w)
		s.requeue(now, p, false)
	case o.Failure == InputLost:
		s.counts.Gone++
		if j.inputsFreed {
			s.fetchTime.tooShort(now)
		}
		s.fail(p, ReasonInputLost, 0)
	case o.Failure == Expired:
		s.counts.Expired++
		s.fail(p, ReasonLate, s.pools[j.Service].fullCallTime())
	default:
		j.results[p.index] = Result{Handle: o.Handle, Addr: w.upstream.Addr, Zone: w.upstream.Zone}
		j.removePending(p.index)
		j.remaining--
		if j.remaining == 0 {
			s.counts.Done++
			s.pools[j.Service].noteStage(now.Sub(j.admittedAt))
			if len(j.Downstream) == 0 {
				s.learn(now, j.chain)
			}
			delete(s.jobs, j.Ref)
			s.emit(Done{Ref: j.Ref, Results: j.results, Service: j.Service, Took: now.Sub(j.admittedAt), Expected: j.expected})
		}
	}
}

// fail refuses the job of a piece that cannot be repeated, unless the piece is still at
// another worker.
func (s *Scheduler) fail(p piece, reason Reason, retryAfter time.Duration) {
	if len(p.attempts().calls) == 0 {
		s.refuse(p.job, reason, retryAfter)
	}
}

// requeue puts a piece back into the queue unless another worker is expected to do it, or
// refuses its job after too many failures.
func (s *Scheduler) requeue(now time.Time, p piece, failed bool) {
	j := p.job
	if failed {
		j.failures++
	}
	if j.failures > maxFailures*j.Pieces {
		s.fail(p, ReasonFailed, 0)
		return
	}
	if p.attempts().inTime() || slices.Contains(j.pending, p.index) {
		return
	}
	s.counts.Repeated++
	if pool := s.pools[j.Service]; !slices.Contains(pool.queue, j) {
		pool.queue = append(pool.queue, j)
	}
	j.pending = append(j.pending, p.index)
}
