package batch

import (
	"time"
)

// expect notes the stages that an admitted request will need.
func (s *Scheduler) expect(j Job) {
	for _, need := range j.Ahead {
		p := s.pools[need.Service]
		if p == nil {
			continue
		}
		ref := j.later(need)
		s.expectNot(ref)
		s.coming[ref] = coming{need, j.Finish}
		s.lapses.Add(j.Finish.Add(comeLate), ref)
		p.coming += need.Pieces
	}
}

// later names the job of a stage that the request will need.
func (j Job) later(need Need) Ref { return Ref{j.Ref.Request, need.Stage, j.Ref.Run} }

// A coming is a stage that an admitted request will need, which is due at a time.
type coming struct {
	Need
	due time.Time
}

// comeLate is how long after it is due a stage is still expected.
const comeLate = 200 * time.Millisecond

// lapse forgets the stages that have not come in time: their requests have ended,
// or have gone on with another owner.
func (s *Scheduler) lapse(now time.Time) {
	for {
		ref, ok := s.lapses.Pop(now)
		if !ok {
			return
		}
		if !now.Before(s.coming[ref].due.Add(comeLate)) {
			s.expectNot(ref)
		}
	}
}

// expectNot forgets a stage that has come, or will not come.
func (s *Scheduler) expectNot(ref Ref) {
	need, ok := s.coming[ref]
	if !ok {
		return
	}
	delete(s.coming, ref)
	if p := s.pools[need.Service]; p != nil {
		p.coming -= need.Pieces
	}
}

// admit estimates when all stages of a request are done, whose job is expected to be
// done after a time. It reports whether that is in time, and otherwise after which
// time a request like it would be. It answers load above what the workers of any one
// stage carry: a request that would wait too long at a later stage is refused before
// it costs the earlier ones anything.
func (s *Scheduler) admit(now time.Time, in time.Duration, j Job) (done, retry time.Duration, ok bool) {
	if j.Begun {
		return in, in, !now.Add(in).After(j.Deadline)
	}
	for _, need := range j.Ahead {
		if next := s.pools[need.Service]; next != nil {
			in = next.arrive(now, in, need.Pieces)
		}
	}
	in = time.Duration(optimism * float64(in))
	limit := j.Finish.Add(-time.Duration(j.Rank) * rankMargin)
	if finish := now.Add(in); finish.After(limit) {
		return in, finish.Sub(limit), false
	}
	return in, 0, true
}

const (
	// optimism is how many times longer than predicted a chain of stages takes:
	// the prediction takes every worker to be as good for a piece as the next.
	optimism = 1.3
	// rankMargin is how much earlier a request of the next lower urgency is
	// refused.
	rankMargin = 60 * time.Millisecond
)

// arrive estimates when pieces are done that come to the pool after a time, as a
// time from now. The pieces before them are those that wait already and those that
// admitted requests will bring; meanwhile the workers go on.
func (p *pool) arrive(now time.Time, in time.Duration, pieces int) time.Duration {
	workers := p.usable(now)
	if len(workers) == 0 {
		return time.Hour
	}
	before := p.queued("") + p.coming
	start := in + callTime(p.batch, p.batch.MaxItems/2)/time.Duration(2*slotsOf(workers))
	if in == 0 {
		start = p.wait(now, workers, 0)
	}
	drained := time.Duration(float64(before+pieces) / p.rate(workers) * float64(time.Second))
	start = max(start, drained-p.round())
	items := min((before+pieces)/slotsOf(workers)+1, p.batch.MaxItems)
	return start + callTime(p.batch, items)
}
