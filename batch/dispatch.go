package batch

import (
	"cmp"
	"slices"
	"time"

	"teaselplank/fair"
)

// dispatch sends calls to idle workers, frees results, and refuses the jobs that can no
// longer be done in time.
func (s *Scheduler) dispatch(now time.Time, p *pool) {
	s.expireJobs(now, p)
	for _, w := range p.workers {
		if len(w.toFree) > 0 && p.mayFree(now, w) {
			w.limit.Take(now)
			s.emit(Free{Worker: w.upstream, Handles: w.toFree})
			w.toFree, w.lastFreeAt = nil, now
		}
	}
	if len(p.queue) > 0 {
		p.sort(now)
		for _, w := range p.candidates(now) {
			for w.idle(now) && s.dispatchTo(now, p, w) {
			}
		}
		p.sweep()
	}
	s.checkLimits(now, p)
}

// An urgency is the class of a queued job. Jobs of a lower one are sent first.
type urgency int

const (
	// urgent jobs have no time to spare: they miss their due times if they miss the next call.
	urgent urgency = iota
	// spare jobs are on time even if they miss the next call.
	spare
	// late jobs can no longer be on time. Under overload, they would otherwise make all jobs
	// after them late too.
	late
)

// urgencyOf returns the class of a job, given the time that the next call takes until it ends.
func (p *pool) urgencyOf(now time.Time, j *job, nextCall time.Duration) urgency {
	switch {
	case j.Due.Before(now.Add(callTime(p.batch, 1))):
		return late
	case j.startDue.Before(now.Add(nextCall)):
		return urgent
	}
	return spare
}

// nextCallTime returns the time until a full call ends that is the next but one to start.
func (p *pool) nextCallTime(now time.Time) time.Duration {
	return p.fullCallTime() + p.fullCallTime()/time.Duration(max(totalSlots(p.usable(now)), 1))
}

// sort puts the queued jobs into the order in which they are sent, the late ones last. While
// capacity is short, those that have no time to spare go first, by rank; otherwise the due time
// alone decides.
func (p *pool) sort(now time.Time) {
	if p.shares.Short() {
		p.sortByUrgency(now)
		return
	}
	soonest := now.Add(callTime(p.batch, 1))
	lateness := func(j *job) int {
		if j.Due.Before(soonest) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(p.queue, func(a, b *job) int {
		return cmp.Or(lateness(a)-lateness(b), a.Due.Compare(b.Due))
	})
	// A worker takes all jobs of its own zone before those of others.
	p.groups = append(p.groups[:0], p.queue)
}

// sortByUrgency puts those jobs first that have no time to spare, by rank, then those that do,
// then the late ones; each by due time. Each of these groups goes before the next in whatever
// zone its jobs are.
func (p *pool) sortByUrgency(now time.Time) {
	next := p.nextCallTime(now)
	for _, j := range p.queue {
		j.urgency = p.urgencyOf(now, j, next)
	}
	group := func(j *job) int {
		if j.urgency == urgent {
			return fair.ClampRank(j.Rank)
		}
		return fair.MaxRank + int(j.urgency)
	}
	slices.SortStableFunc(p.queue, func(a, b *job) int {
		return cmp.Or(group(a)-group(b), a.startDue.Compare(b.startDue))
	})
	p.groups = p.groups[:0]
	for i, j := range p.queue {
		if i == 0 || group(j) != group(p.queue[i-1]) {
			p.groups = append(p.groups, p.queue[i:i])
		}
		last := len(p.groups) - 1
		p.groups[last] = p.groups[last][:len(p.groups[last])+1]
	}
}

// mayFree reports whether a worker can be sent a call that frees results. A worker with a
// limit takes few calls, and its results expire by themselves: it gets one only if memory is
// short, or at times while others can run all pieces.
func (p *pool) mayFree(now time.Time, w *worker) bool {
	if w.evacuated || w.pause.Active(now) || now.Sub(w.lastFreeAt) < freeInterval || !w.limit.Allows(now) {
		return false
	}
	if !w.limit.Limited() || w.lowOnSpace() {
		return true
	}
	return now.Sub(w.lastFreeAt) >= limitedFreeInterval && len(p.queue) == 0 && !p.allLimited(now)
}

// allLimited reports whether all usable workers have limits.
func (p *pool) allLimited(now time.Time) bool {
	return !slices.ContainsFunc(p.usable(now), func(w *worker) bool { return !w.limit.Limited() })
}

// limitedFreeInterval is freeInterval for a worker with a limit.
const limitedFreeInterval = 2 * time.Second

// freeInterval is the minimum time between two calls that free results at a worker.
const freeInterval = 12 * time.Millisecond

// expireJobs refuses the jobs that can no longer be done in time.
func (s *Scheduler) expireJobs(now time.Time, p *pool) {
	wait := p.limitWait(now)
	earliest := now.Add(wait + callTime(p.batch, 1))
	for _, j := range slices.Clone(p.queue) {
		limit := j.Deadline
		if !j.Started && !j.sent {
			limit = j.Due
		}
		if !earliest.After(limit) && !s.isHopeless(now, j, wait) {
			continue
		}
		// A second worker would be too late, but the first one may still be in time.
		j.dropSecondAttempts()
		if len(j.pending) > 0 {
			s.refuse(j, ReasonLate, max(wait, p.fullCallTime()))
		}
	}
	p.sweep()
}

// hopelessGrace is how long after their due time the stages of a request may end without the
// request being hopeless. The due time is conservative: most requests need less time than
// estimated from the last stage to the first event.
const hopelessGrace = 100 * time.Millisecond

// isHopeless reports whether a job of which nothing was sent belongs to a request that cannot be in
// time even without waiting, while capacity is short. If capacity is left, such a request is
// served late.
func (s *Scheduler) isHopeless(now time.Time, j *job, wait time.Duration) bool {
	if !s.short(j.Job) || j.sent || j.StagesDue.IsZero() {
		return false
	}
	left := wait
	s.chainPools(j.Job, func(p *pool, _ int) { left += callTime(p.batch, 1) })
	return now.Add(left).After(j.StagesDue.Add(hopelessGrace))
}

// limitWait returns the time until the limit of a worker allows a call.
func (p *pool) limitWait(now time.Time) time.Duration {
	var waits []time.Duration
	for _, w := range p.usable(now) {
		waits = append(waits, w.limit.Wait(now))
	}
	if len(waits) == 0 {
		return 0
	}
	return slices.Min(waits)
}

// candidates returns the workers that can take a call or a probe now. The slow ones come
// first, as the others could leave no piece to probe them with. The others are ordered by
// the memory that results use at them, least first, after those whose limit may have ended.
func (p *pool) candidates(now time.Time) []*worker {
	usable := p.usable(now)
	var slow, idle []*worker
	for _, w := range p.workers {
		switch {
		case !w.idle(now):
		case slices.Contains(usable, w):
			idle = append(idle, w)
		case now.Sub(w.lastProbeAt) >= probeInterval:
			slow = append(slow, w)
		}
	}
	due := func(w *worker) int {
		if w.limit.NeedsCheck(now) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(idle, func(a, b *worker) int {
		return cmp.Or(due(a)-due(b), cmp.Compare(a.usedBytes, b.usedBytes))
	})
	return append(slow, idle...)
}

// dispatchTo sends a worker one call of the pieces that are best done there. It reports
// whether there may be more to send.
func (s *Scheduler) dispatchTo(now time.Time, p *pool, w *worker) bool {
	c := &call{worker: w, sentAt: now}
	if p.needsProbe(now, w) {
		s.probe(now, p, c)
		return false
	}
	if p.gathers(now) {
		return false
	}
	limit := p.maxPieces(now, w)
	space := w.space(now)
	spaceLimited := false
	for _, group := range p.groups {
		for _, local := range []bool{true, false} {
			for _, j := range group {
				if (j.Zone == w.upstream.Zone) != local || !local && !p.crossesZone(now, j, w) {
					continue
				}
				for len(c.pieces) < limit && j.ResultBytes <= space && c.add(j) {
					space -= j.ResultBytes
				}
				spaceLimited = spaceLimited || len(c.pieces) < limit && j.nextFor(w) >= 0
			}
		}
	}
	p.fill.record(now, len(c.pieces), p.batch.MaxPieces, spaceLimited)
	if len(c.pieces) == 0 {
		return false
	}
	s.send(now, p, c)
	return true
}

// gatherTime is how long a job waits for others to share a call if all workers have limits.
const gatherTime = 100 * time.Millisecond

// gathers reports whether calls wait for more pieces, as those that workers with limits take
// are few. Jobs that follow from one call arrive one after the other, and would each take one.
func (p *pool) gathers(now time.Time) bool {
	if !p.allLimited(now) || p.queued("") >= p.batch.MaxPieces {
		return false
	}
	return !slices.ContainsFunc(p.queue, func(j *job) bool { return now.Sub(j.admittedAt) >= gatherTime })
}

// add moves the next pending piece of a job that the call's worker may do into the call.
// It reports whether there was one.
func (c *call) add(j *job) bool {
	i := j.nextFor(c.worker)
	if i < 0 {
		return false
	}
	c.addPending(j, i)
	return true
}

// addPending moves the pending piece at position i into the call.
func (c *call) addPending(j *job, i int) {
	c.pieces = append(c.pieces, piece{job: j, index: j.pending[i], bytes: j.ResultBytes})
	j.pending = slices.Delete(j.pending, i, i+1)
}

// needsProbe reports whether the worker gets only a probe, since it has failed or is
// slow and may not have recovered.
func (p *pool) needsProbe(now time.Time, w *worker) bool {
	return w.health.HasFailed() || !slices.Contains(p.usable(now), w)
}

// probe sends one piece to a worker that failed or was slow. The piece is of the job
// that can wait longest. If there is no other worker and no other piece, it is one of an
// overdue call of this worker, since the call may have been lost with its connection.
func (s *Scheduler) probe(now time.Time, p *pool, c *call) {
	space := c.worker.space(now)
	for _, j := range slices.Backward(p.queue) {
		if j.ResultBytes <= space && c.add(j) {
			c.worker.lastProbeAt = now
			s.send(now, p, c)
			return
		}
	}
	if p.hasOther(now, c.worker) {
		return
	}
	for _, j := range slices.Backward(p.queue) {
		if j.ResultBytes <= space && len(j.pending) > 0 {
			c.worker.lastProbeAt = now
			c.addPending(j, 0)
			s.send(now, p, c)
			return
		}
	}
}

// hasOther reports whether there is a usable worker besides the given one.
func (p *pool) hasOther(now time.Time, w *worker) bool {
	return slices.ContainsFunc(p.workers, func(other *worker) bool { return other != w && other.usable(now) })
}

// maxPieces returns how many pieces the worker should take: as many as fit into a call,
// or a share of them if other workers in its zone are idle, since a call of fewer pieces
// ends sooner. The calls of a worker with a limit are too few to be split.
func (p *pool) maxPieces(now time.Time, w *worker) int {
	if w.limit.Limited() {
		return p.batch.MaxPieces
	}
	idleSlots := 0
	for _, other := range p.workers {
		if other.idle(now) && other.upstream.Zone == w.upstream.Zone {
			idleSlots += other.freeSlots()
		}
	}
	share := (p.queued(w.upstream.Zone) + idleSlots - 1) / max(idleSlots, 1)
	return min(max(share, p.batch.MaxPieces/minCallDivisor), p.batch.MaxPieces)
}

// minCallDivisor divides MaxPieces to give the lowest limit of a call, so that pieces are
// not spread over many small calls.
const minCallDivisor = 3

const (
	// crossZoneWait and crossZoneRate determine how long a job waits for a worker in
	// its own zone before its results may cross zones: a fixed time, plus the result
	// bytes divided by the rate.
	crossZoneWait = 80 * time.Millisecond
	crossZoneRate = 8 << 20 // bytes per second
)

// crossesZone reports whether a worker in another zone should do a job.
func (p *pool) crossesZone(now time.Time, j *job, w *worker) bool {
	var local []*worker
	for _, other := range p.usable(now) {
		if other.upstream.Zone == j.Zone {
			local = append(local, other)
		}
	}
	if len(local) == 0 {
		return true
	}
	wait := p.estimateWait(now, local, p.queued(j.Zone))
	bytes := float64(int64(j.Pieces) * j.ResultBytes)
	maxWait := crossZoneWait + time.Duration(bytes/crossZoneRate*float64(time.Second))
	if wait > maxWait {
		return true
	}
	done := now.Add(wait + callTime(p.batch, p.batch.MaxPieces/2))
	return done.After(j.Due)
}

// A call is overdue after overdueFactor times its expected duration plus overdueGrace, so
// that the first call of a slow worker is not.
const (
	overdueFactor = 5
	overdueGrace  = 250 * time.Millisecond
)

func (s *Scheduler) send(now time.Time, p *pool, c *call) {
	s.lastCallNumber++
	s.counts.Calls++
	s.counts.Items += int64(len(c.pieces))
	c.expected = callTime(p.batch, len(c.pieces))
	c.worker.limit.Take(now)
	c.worker.calls = append(c.worker.calls, c)
	c.number = s.lastCallNumber
	s.calls[c.number] = c
	effect := Call{Number: c.number, Worker: c.worker.upstream}
	overdueAt := now.Add(overdueFactor*c.expected + overdueGrace)
	s.callTimers.Add(overdueAt, c.number)
	timeoutAt := overdueAt
	for _, piece := range c.pieces {
		j := piece.job
		j.sent = true
		j.attempts[piece.index].add(c)
		timeoutAt = latest(timeoutAt, j.Deadline)
		if j.SoleConsumer && len(j.Inputs) > 0 && len(j.pending) == 0 {
			s.inputTimers.Add(now.Add(s.fetchTime.get(now)), j.Ref)
		}
		c.worker.reservedBytes += piece.bytes
		if j.Zone != c.worker.upstream.Zone {
			s.counts.Crossed++
			effect.Crossed++
		}
		effect.Items = append(effect.Items, Item{
			Ref: j.Ref, Piece: piece.index, Key: j.Key, Inputs: j.Inputs, TimeLeft: j.Deadline.Sub(now),
		})
	}
	effect.Timeout = timeoutAt.Sub(now)
	s.emit(effect)
}
