package batch

import (
	"cmp"
	"slices"
	"time"

	"teaselplank/fleet"
	"teaselplank/health"
)

// A pool is the workers of one stage service and the jobs queued for them.
type pool struct {
	name  string
	batch fleet.Batch
	// workers are sorted by id.
	workers []*worker
	byAddr  map[string]*worker
	// queue holds the jobs that have pending pieces.
	queue []*job
	// upcoming is the number of pieces in downstream stages of admitted requests.
	upcoming int
	fill     fillTracker
	// lastJobAt is when a job was last admitted.
	lastJobAt time.Time
}

// update sets the services and upstreams. The results of removed workers are lost. A
// service that is no longer configured remains while it has workers or jobs, for the
// requests that were admitted before.
func (s *Scheduler) update(e SetWorkers) {
	s.configured = true
	kept := make(map[string]bool)
	for _, j := range s.jobs {
		kept[j.Service] = true
	}
	for _, service := range e.Services {
		if service.Batch == nil {
			continue
		}
		kept[service.Name] = true
		p := s.pools[service.Name]
		if p == nil {
			p = &pool{name: service.Name}
			s.pools[service.Name] = p
		}
		p.batch = *service.Batch
	}
	for name, p := range s.pools {
		p.update(e.Upstreams)
		if len(p.workers) == 0 && !kept[name] {
			delete(s.pools, name)
		}
	}
}

func (p *pool) update(upstreams []fleet.Upstream) {
	old := make(map[string]*worker, len(p.workers))
	for _, w := range p.workers {
		old[w.upstream.ID] = w
	}
	p.workers = nil
	p.byAddr = make(map[string]*worker)
	for _, u := range upstreams {
		if u.Service != p.name {
			continue
		}
		w := old[u.ID]
		if w == nil || w.upstream.Born != u.Born || w.upstream.Addr != u.Addr {
			w = &worker{slowness: 1, held: make(map[string]heldResult)}
		}
		w.upstream, w.batch = u, p.batch
		p.workers = append(p.workers, w)
		p.byAddr[u.Addr] = w
	}
}

// usable returns the workers that can be sent calls. It returns slow workers only if
// there are no others.
func (p *pool) usable(now time.Time) []*worker {
	var fast, slow []*worker
	for _, w := range p.workers {
		switch {
		case !w.usable(now):
		case w.slowness >= slowThreshold:
			slow = append(slow, w)
		default:
			fast = append(fast, w)
		}
	}
	if len(fast) == 0 {
		return slow
	}
	return fast
}

// pauseLeft returns how long all workers want no calls, or 0 if one of them accepts some.
func (p *pool) pauseLeft(now time.Time) time.Duration {
	var pauses []health.Pause
	for _, w := range p.workers {
		if !w.upstream.Draining {
			pauses = append(pauses, w.pause)
		}
	}
	return health.FirstEnd(now, pauses)
}

// sweep removes the jobs without pending pieces from the queue.
func (p *pool) sweep() {
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return len(j.pending) == 0 })
}

// queued returns the number of pending pieces of jobs in a zone, or in all zones if zone
// is empty.
func (p *pool) queued(zone string) int {
	count := 0
	for _, j := range p.queue {
		if zone == "" || j.Zone == zone {
			count += len(j.pending)
		}
	}
	return count
}

// fullCallTime returns the duration of a call of MaxPieces pieces at full speed.
func (p *pool) fullCallTime() time.Duration { return callTime(p.batch, p.batch.MaxPieces) }

// estimateWait estimates how long pieces that arrive now wait for one of the workers,
// with queued pieces before them.
func (p *pool) estimateWait(now time.Time, workers []*worker, queued int) time.Duration {
	if len(workers) == 0 {
		return time.Hour
	}
	first := workers[0].nextFreeAt(now)
	for _, w := range workers[1:] {
		if at := w.nextFreeAt(now); at.Before(first) {
			first = at
		}
	}
	wait := first.Sub(now)
	// Pieces that do not fit into the next call of each slot wait for further full calls.
	room := p.batch.MaxPieces * totalSlots(workers)
	return wait + time.Duration(float64(queued/room)*float64(p.fullCallTime()))
}

// dispatch sends calls to idle workers, frees results, and refuses the jobs that can no
// longer be done in time.
func (s *Scheduler) dispatch(now time.Time, p *pool) {
	s.expireJobs(now, p)
	for _, w := range p.workers {
		if len(w.toFree) > 0 && !w.pause.Active(now) && now.Sub(w.lastFreeAt) >= freeInterval {
			s.emit(Free{Worker: w.upstream, Handles: w.toFree})
			w.toFree, w.lastFreeAt = nil, now
		}
	}
	if len(p.queue) == 0 {
		return
	}
	p.sort(now)
	for _, w := range p.candidates(now) {
		for w.idle(now) && s.dispatchTo(now, p, w) {
		}
	}
	p.sweep()
}

// sort puts the queued jobs into the order in which they are sent: by due time, with the
// jobs that can no longer be on time last. Under overload, late jobs would otherwise make
// all jobs after them late too.
func (p *pool) sort(now time.Time) {
	soonest := now.Add(callTime(p.batch, 1))
	late := func(j *job) int {
		if j.Due.Before(soonest) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(p.queue, func(a, b *job) int {
		return cmp.Or(late(a)-late(b), a.Due.Compare(b.Due))
	})
}

// freeInterval is the minimum time between two calls that free results at a worker.
const freeInterval = 12 * time.Millisecond

// expireJobs refuses the jobs that can no longer be done in time.
func (s *Scheduler) expireJobs(now time.Time, p *pool) {
	earliest := now.Add(callTime(p.batch, 1))
	for _, j := range slices.Clone(p.queue) {
		limit := j.Deadline
		if !j.Started && !j.sent {
			limit = j.Due
		}
		if earliest.After(limit) && len(j.pending) > 0 {
			s.refuse(j, ReasonLate, p.fullCallTime())
		}
	}
	p.sweep()
}

// candidates returns the workers that can take a call or a probe now, ordered by the
// memory that results use at them, least first.
func (p *pool) candidates(now time.Time) []*worker {
	usable := p.usable(now)
	var idle []*worker
	for _, w := range p.workers {
		if !w.idle(now) {
			continue
		}
		if !slices.Contains(usable, w) && now.Sub(w.lastProbeAt) < probeInterval {
			continue
		}
		idle = append(idle, w)
	}
	slices.SortStableFunc(idle, func(a, b *worker) int { return cmp.Compare(a.usedBytes, b.usedBytes) })
	return idle
}

// dispatchTo sends a worker one call of the pieces that are best done there. It reports
// whether there may be more to send.
func (s *Scheduler) dispatchTo(now time.Time, p *pool, w *worker) bool {
	c := &call{worker: w, sentAt: now}
	if p.needsProbe(now, w) {
		s.probe(now, p, c)
		return false
	}
	limit := p.maxPieces(now, w)
	space := w.space(now)
	spaceLimited := false
	for _, local := range []bool{true, false} {
		for _, j := range p.queue {
			if (j.Zone == w.upstream.Zone) != local || !local && !p.crossesZone(now, j, w) {
				continue
			}
			for len(j.pending) > 0 && len(c.pieces) < limit && j.ResultBytes <= space {
				space -= j.ResultBytes
				c.add(j)
			}
			spaceLimited = spaceLimited || len(j.pending) > 0 && len(c.pieces) < limit
		}
	}
	p.fill.record(now, len(c.pieces), p.batch.MaxPieces, spaceLimited)
	if len(c.pieces) == 0 {
		return false
	}
	s.send(now, p, c)
	return true
}

// add moves the next pending piece of a job into the call.
func (c *call) add(j *job) {
	c.pieces = append(c.pieces, piece{job: j, index: j.pending[0], bytes: j.ResultBytes})
	j.pending = j.pending[1:]
}

// needsProbe reports whether the worker gets only a probe, since it has failed or is
// slow and may not have recovered.
func (p *pool) needsProbe(now time.Time, w *worker) bool {
	return w.health.HasFailed() || !slices.Contains(p.usable(now), w)
}

// probe sends one piece to a worker that failed or was slow. The piece is of the job
// that can wait longest.
func (s *Scheduler) probe(now time.Time, p *pool, c *call) {
	c.worker.lastProbeAt = now
	space := c.worker.space(now)
	for _, j := range slices.Backward(p.queue) {
		if len(j.pending) > 0 && j.ResultBytes <= space {
			c.add(j)
			s.send(now, p, c)
			return
		}
	}
}

// maxPieces returns how many pieces the worker should take: as many as fit into a call,
// or a share of them if other workers in its zone are idle, since a call of fewer pieces
// ends sooner.
func (p *pool) maxPieces(now time.Time, w *worker) int {
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

// A call times out after callTimeoutFactor times its expected duration plus
// callTimeoutGrace, so that the first call of a slow worker can still end.
const (
	callTimeoutFactor = 5
	callTimeoutGrace  = 250 * time.Millisecond
)

func (s *Scheduler) send(now time.Time, p *pool, c *call) {
	s.lastCallNumber++
	s.counts.Calls++
	s.counts.Items += int64(len(c.pieces))
	c.expected = callTime(p.batch, len(c.pieces))
	c.worker.calls = append(c.worker.calls, c)
	s.calls[s.lastCallNumber] = c
	effect := Call{Number: s.lastCallNumber, Worker: c.worker.upstream, Timeout: callTimeoutFactor*c.expected + callTimeoutGrace}
	for _, piece := range c.pieces {
		j := piece.job
		j.sent = true
		if j.SoleConsumer && len(j.Inputs) > 0 && len(j.pending) == 0 {
			s.inputTimers.Add(now.Add(inputFetchTime), j.Ref)
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
	s.emit(effect)
}
