package batch

import (
	"cmp"
	"slices"
	"time"

	"teaselplank/fair"
)

// addUpcoming records the downstream stages of an admitted request, given its forecast.
func (s *Scheduler) addUpcoming(now time.Time, j Job, c chainForecast, chain *admittedChain) {
	for i, stage := range j.Downstream {
		p := s.pools[stage.Service]
		if p == nil {
			continue
		}
		ref := j.downstreamRef(stage)
		known := s.removeUpcoming(ref)
		next := upcomingStage{DownstreamStage: stage, rank: fair.ClampRank(j.Rank), due: j.StagesDue, inputsAt: now.Add(c.ends[i])}
		if i == len(j.Downstream)-1 {
			next.chain = cmp.Or(chain, known)
		}
		s.upcoming[ref] = next
		s.upcomingExpiry.Add(j.StagesDue.Add(upcomingGrace), ref)
		p.upcoming += stage.Pieces
		p.upcomingByRank[next.rank] += stage.Pieces
	}
}

// downstreamRef returns the reference of the job of a downstream stage.
func (j Job) downstreamRef(stage DownstreamStage) Ref {
	return Ref{j.Ref.Request, stage.Stage, j.Ref.Run}
}

// An upcomingStage is a downstream stage of an admitted request.
type upcomingStage struct {
	DownstreamStage
	// rank is that of the request, but MaxRank at most.
	rank int
	// due is the time by which the last stage of the request must end.
	due time.Time
	// inputsAt is when the stage before is expected to end.
	inputsAt time.Time
	// chain is set for the last stage of a request.
	chain *admittedChain
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

// removeUpcoming removes a stage that has been submitted or is no longer expected. It returns
// the chain that it is the last stage of, or nil.
func (s *Scheduler) removeUpcoming(ref Ref) *admittedChain {
	stage, ok := s.upcoming[ref]
	if !ok {
		return nil
	}
	delete(s.upcoming, ref)
	if p := s.pools[stage.Service]; p != nil {
		p.upcoming -= stage.Pieces
		p.upcomingByRank[stage.rank] -= stage.Pieces
	}
	return stage.chain
}

// A chainForecast holds the estimated times until the stage of a job and each of its
// downstream stages end. Without waiting, all of them would take the time unhindered.
type chainForecast struct {
	ends       []time.Duration
	unhindered time.Duration
	// correction is the factor for the waiting time.
	correction float64
}

// forecastChain estimates when the stages of a request end, from that of a job on. If
// prioritized is true, only what goes before it while capacity is short is counted.
func (s *Scheduler) forecastChain(now time.Time, j Job, prioritized bool) chainForecast {
	limited := s.meetsLimit(now, j)
	finish := func(p *pool, arrival time.Duration, pieces int) time.Duration {
		switch {
		case limited:
			return s.forecastFinish(p, now, arrival, pieces)
		case prioritized:
			due := j.StagesDue
			if arrival == 0 {
				due = s.startDue(j)
			}
			return p.estimatePrioritized(now, arrival, j.Rank, due, pieces)
		}
		return p.estimateFinish(now, arrival, p.queued("")+p.upcoming, pieces, p.rate(p.usable(now)))
	}
	p := s.pools[j.Service]
	end := finish(p, 0, j.Pieces)
	c := chainForecast{ends: append(make([]time.Duration, 0, 1+len(j.Downstream)), end), correction: s.correctionOf(now, j.chainKey())}
	c.unhindered = p.unhinderedTime(now, j.Pieces)
	for _, stage := range j.Downstream {
		if next := s.pools[stage.Service]; next != nil {
			end = finish(next, end, stage.Pieces)
			c.unhindered += next.unhinderedTime(now, stage.Pieces)
		}
		c.ends = append(c.ends, end)
	}
	if limited {
		// The forecast of calls with limits is not corrected.
		c.unhindered = end
	}
	return c
}

// unhinderedTime returns how long pieces take that do not wait for others.
func (p *pool) unhinderedTime(now time.Time, pieces int) time.Duration {
	slots := max(totalSlots(p.usable(now)), 1)
	return callTime(p.batch, min(pieces/slots+1, p.batch.MaxPieces)) + callTime(p.batch, p.batch.MaxPieces/2)/time.Duration(2*slots)
}

// meetsLimit reports whether a worker of a stage of a request has a limit.
func (s *Scheduler) meetsLimit(now time.Time, j Job) bool {
	if s.pools[j.Service].hasLimit(now) {
		return true
	}
	return slices.ContainsFunc(j.Downstream, func(stage DownstreamStage) bool {
		p := s.pools[stage.Service]
		return p != nil && p.hasLimit(now)
	})
}

// stage returns the estimated time until the stage of the job ends, and all that until the
// last stage does.
func (c chainForecast) stage() time.Duration { return c.ends[0] }

func (c chainForecast) all() time.Duration {
	end := c.ends[len(c.ends)-1]
	waiting := max(end-c.unhindered, 0)
	return time.Duration(firstCorrection*float64(end-waiting) + c.correction*float64(waiting))
}

// admit reports whether the stages of a request are expected to end in time and, if not, the
// time after which those of a similar request would. When load exceeds the capacity of any
// one stage, a request that would wait too long there is refused before it costs the earlier
// stages anything. It returns the forecast that it decided on.
func (s *Scheduler) admit(now time.Time, j Job) (c chainForecast, retryAfter time.Duration, ok bool) {
	c = s.forecastChain(now, j, false)
	finish, limit := now.Add(c.all()), j.StagesDue.Add(-time.Duration(j.Rank)*rankMargin)
	switch {
	case j.Started:
		finish, limit = now.Add(c.stage()), j.Deadline
	case !s.short(j):
	case s.withinShare(now, j):
		if c = s.forecastChain(now, j, true); !now.Add(c.all()).After(j.StagesDue) {
			return c, 0, true
		}
		s.noteShareRefused(now, j, c)
		finish, limit = now.Add(c.all()), j.StagesDue
	default:
		limit = now.Add(c.shareOf(s.borrowed(j), j.StagesDue.Sub(now)))
	}
	if finish.After(limit) {
		return c, finish.Sub(limit), false
	}
	return c, 0, true
}

// rankMargin is how much earlier the stages of a request must end for each step of lower urgency,
// so that less urgent requests are refused first as the queue grows.
const rankMargin = 60 * time.Millisecond

// estimateFinish estimates the time until a number of pieces are done. They reach the
// pool after the duration arrival. The pieces ahead go before them, and the workers process
// those in the meantime, at the given rate per second.
func (p *pool) estimateFinish(now time.Time, arrival time.Duration, ahead, pieces int, rate float64) time.Duration {
	workers := p.usable(now)
	if len(workers) == 0 {
		return maxForecast
	}
	start := arrival + callTime(p.batch, p.batch.MaxPieces/2)/time.Duration(2*totalSlots(workers))
	if arrival == 0 {
		start = p.estimateWait(now, workers, 0)
	}
	drained := time.Duration(float64(ahead+pieces) / rate * float64(time.Second))
	start = max(start, drained-p.fullCallTime())
	callPieces := min((ahead+pieces)/totalSlots(workers)+1, p.batch.MaxPieces)
	return start + callTime(p.batch, callPieces)
}

// forecastFinish is like estimateFinish. It takes account of when calls start.
func (s *Scheduler) forecastFinish(p *pool, now time.Time, arrival time.Duration, pieces int) time.Duration {
	workers := p.usable(now)
	if len(workers) == 0 {
		return maxForecast
	}
	return p.forecastCalls(now, workers, s.arrivals(now, p)).finish(arrival, pieces)
}

// arrivals returns the pieces that are upcoming in a pool.
func (s *Scheduler) arrivals(now time.Time, p *pool) []arrival {
	var list []arrival
	for _, stage := range s.upcoming {
		if stage.Service == p.name {
			list = append(list, arrival{max(stage.inputsAt.Sub(now), 0), stage.Pieces})
		}
	}
	return list
}
