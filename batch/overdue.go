package batch

import (
	"slices"
	"time"
)

// attempts is the state of one piece at workers. The zero value is a piece that was never
// sent.
type attempts struct {
	// calls holds the calls in flight that may still return the piece's result: one, or
	// two if the first is overdue.
	calls []*call
	// repeated is true once the piece was to be sent again because its call was overdue.
	repeated bool
}

func (a *attempts) add(c *call) { a.calls = append(a.calls, c) }

func (a *attempts) remove(c *call) {
	a.calls = slices.DeleteFunc(a.calls, func(other *call) bool { return other == c })
}

// inTime reports whether a call that is not overdue has the piece.
func (a *attempts) inTime() bool {
	return slices.ContainsFunc(a.calls, func(c *call) bool { return !c.overdue })
}

// at reports whether a worker has the piece.
func (a *attempts) at(w *worker) bool {
	return slices.ContainsFunc(a.calls, func(c *call) bool { return c.worker == w })
}

func (p piece) attempts() *attempts { return &p.job.attempts[p.index] }

// needs reports whether the result of a piece is still needed. The first result of a piece
// is used, and any further one is freed.
func (s *Scheduler) needs(p piece) bool {
	return s.jobs[p.job.Ref] == p.job && p.job.results[p.index].Handle == ""
}

// checkCalls handles the calls that are due to be overdue, or lost if they are overdue.
func (s *Scheduler) checkCalls(now time.Time) {
	for {
		number, ok := s.callTimers.Pop(now)
		if !ok {
			return
		}
		switch c := s.calls[number]; {
		case c == nil:
		case c.overdue:
			s.giveUp(now, c)
		default:
			s.markOverdue(now, c)
		}
	}
}

// markOverdue handles a call that takes much longer than expected. A sound worker may be
// silent for a while and go on, so the call stays open.
func (s *Scheduler) markOverdue(now time.Time, c *call) {
	c.overdue = true
	s.counts.Overdue++
	if !c.worker.health.Suspect(now) { // Calls during one silence are one failure.
		c.worker.health.Fail(now, backoff)
	}
	repeated := s.repeat(now, c)
	s.emit(Overdue{
		Call: c.number, Worker: c.worker.upstream, Pieces: len(c.pieces), Repeated: repeated,
		First: c.pieces[0].job.Ref, Last: c.pieces[len(c.pieces)-1].job.Ref,
	})
}

// repeat queues the pieces of an overdue call for another worker, each once, and returns
// their number.
func (s *Scheduler) repeat(now time.Time, c *call) int {
	count := 0
	for _, p := range c.pieces {
		a := p.attempts()
		if !s.needs(p) || a.repeated || p.job.inputsFreed {
			continue
		}
		a.repeated = true
		count++
		s.requeue(now, p, false)
	}
	return count
}

// lostAfter is how long after the answer to a later call an overdue call is lost. The
// answers that a worker gives when it goes on arrive in any order.
const lostAfter = 40 * time.Millisecond

// passOver expects the overdue calls that a worker had before one that it has answered to
// be lost with their connections.
func (s *Scheduler) passOver(now time.Time, answered *call) {
	for _, c := range answered.worker.calls {
		if c.overdue && c.sentAt.Before(answered.sentAt) {
			s.callTimers.Add(now.Add(lostAfter), c.number)
		}
	}
}

// giveUp handles a call that is lost. It occupies the worker no longer, and its pieces are
// sent again. If results arrive nevertheless, they are used or freed like any others.
func (s *Scheduler) giveUp(now time.Time, c *call) {
	c.worker.remove(c)
	for _, p := range c.pieces {
		p.attempts().remove(c)
		if s.needs(p) {
			s.requeue(now, p, false)
		}
	}
}

// nextFor returns the position among the pending pieces of the first one that a worker does
// not have already, or -1.
func (j *job) nextFor(w *worker) int {
	return slices.IndexFunc(j.pending, func(index int) bool { return !j.attempts[index].at(w) })
}

// removePending removes a piece from the pending ones.
func (j *job) removePending(index int) {
	j.pending = slices.DeleteFunc(j.pending, func(other int) bool { return other == index })
}

// dropSecondAttempts removes the pending pieces that are still at a worker.
func (j *job) dropSecondAttempts() {
	j.pending = slices.DeleteFunc(j.pending, func(index int) bool { return len(j.attempts[index].calls) > 0 })
}
