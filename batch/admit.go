package batch

import (
	"time"
)

// addUpcoming records the downstream stages of an admitted request.
func (s *Scheduler) addUpcoming(j Job) {
	for _, stage := range j.Downstream {
		p := s.pools[stage.Service]
		if p == nil {
			continue
		}
		ref := j.downstreamRef(stage)
		s.removeUpcoming(ref)
		s.upcoming[ref] = upcomingStage{stage, j.StagesDue}
		s.upcomingExpiry.Add(j.StagesDue.Add(upcomingGrace), ref)
		p.upcoming += stage.Pieces
	}
}

// downstreamRef returns the reference of the job of a downstream stage.
func (j Job) downstreamRef(stage DownstreamStage) Ref {
	return Ref{j.Ref.Request, stage.Stage, j.Ref.Run}
}

// An upcomingStage is a downstream stage of an admitted request. due is the time by
// which the last stage of the request must end.
type upcomingStage struct {
	DownstreamStage
	due time.Time
}

// upcomingGrace is how long after its due time a stage still counts as upcoming.
const upcomingGrace = 200 * time.Millisecond

// expireUpcoming removes the stages that were not submitted in time: their requests
// have ended or continue with another owner.
func (s *Scheduler) expireUpcoming(now time.Time) {
	for {
		ref, ok := s.upcomingExpiry.Pop(now)
		if !ok {
			return
		}
		if !now.Before(s.upcoming[ref].due.Add(upcomingGrace)) {
			s.removeUpcoming(ref)
		}
	}
}

// removeUpcoming removes a stage that has been submitted or is no longer expected.
func (s *Scheduler) removeUpcoming(ref Ref) {
	stage, ok := s.upcoming[ref]
	if !ok {
		return
	}
	delete(s.upcoming, ref)
	if p := s.pools[stage.Service]; p != nil {
		p.upcoming -= stage.Pieces
	}
}

// admit estimates the time until all stages of a request are done, given the estimate
// for the stage of job j. It reports whether they end in time and, if not, the time after
// which a similar request would. When load exceeds the capacity of any one stage, a
// request that would wait too long there is refused before it costs the earlier stages
// anything.
func (s *Scheduler) admit(now time.Time, estimate time.Duration, j Job) (done, retryAfter time.Duration, ok bool) {
	if j.Started {
		return estimate, estimate, !now.Add(estimate).After(j.Deadline)
	}
	for _, stage := range j.Downstream {
		if next := s.pools[stage.Service]; next != nil {
			estimate = next.estimateFinish(now, estimate, stage.Pieces)
		}
	}
	estimate = time.Duration(estimateCorrection * float64(estimate))
	limit := j.StagesDue.Add(-time.Duration(j.Rank) * rankMargin)
	if finish := now.Add(estimate); finish.After(limit) {
		return estimate, finish.Sub(limit), false
	}
	return estimate, 0, true
}

const (
	// estimateCorrection is the ratio of the actual to the predicted duration of a
	// chain of stages: the prediction treats all workers as equally suited to a piece.
	estimateCorrection = 1.3
	// rankMargin is how much earlier the stages of a request must end for each step
	// of lower urgency.
	rankMargin = 60 * time.Millisecond
)

// estimateFinish estimates the time until a number of pieces are done. They reach the
// pool after the duration arrival. The queued and upcoming pieces go before them, and the
// workers process those in the meantime.
func (p *pool) estimateFinish(now time.Time, arrival time.Duration, pieces int) time.Duration {
	workers := p.usable(now)
	if len(workers) == 0 {
		return time.Hour
	}
	backlog := p.queued("") + p.upcoming
	start := arrival + callTime(p.batch, p.batch.MaxPieces/2)/time.Duration(2*totalSlots(workers))
	if arrival == 0 {
		start = p.estimateWait(now, workers, 0)
	}
	drained := time.Duration(float64(backlog+pieces) / p.rate(workers) * float64(time.Second))
	start = max(start, drained-p.fullCallTime())
	callPieces := min((backlog+pieces)/totalSlots(workers)+1, p.batch.MaxPieces)
	return start + callTime(p.batch, callPieces)
}
