package batch

import (
	"cmp"
	"slices"
	"time"

	"teaselplank/fleet"
)

// A pool is the workers of one stage service and the jobs that wait for them.
type pool struct {
	name  string
	batch fleet.Batch
	// workers are sorted by id.
	workers []*worker
	byAddr  map[string]*worker
	// waiting holds the jobs that have pending pieces.
	waiting []*job
	// coming is the number of pieces that admitted requests will bring.
	coming int
	pace   pace
	// usedAt is when a job last came.
	usedAt time.Time
}

// update takes in services and upstreams. Workers that go lose their results.
func (s *Scheduler) update(e Workers) {
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
		p.update(e.Upstreams)
	}
	for name := range s.pools {
		if !kept[name] {
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
			w = &worker{slow: 1, held: make(map[string]held)}
		}
		w.upstream, w.batch = u, p.batch
		p.workers = append(p.workers, w)
		p.byAddr[u.Addr] = w
	}
}

// usable returns the workers that calls can be sent to. Workers that seem slow
// are among them only if there are no others.
func (p *pool) usable(now time.Time) []*worker {
	var fast, slow []*worker
	for _, w := range p.workers {
		switch {
		case !w.usable(now):
		case w.slow >= slowFactor:
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

// sweep drops the jobs without pending pieces from the queue.
func (p *pool) sweep() {
	p.waiting = slices.DeleteFunc(p.waiting, func(j *job) bool { return len(j.pending) == 0 })
}

// queued returns the number of pending pieces for a zone, or for all.
func (p *pool) queued(zone string) int {
	count := 0
	for _, j := range p.waiting {
		if zone == "" || j.Zone == zone {
			count += len(j.pending)
		}
	}
	return count
}

// round is what a call of as many pieces as fit takes.
func (p *pool) round() time.Duration { return callTime(p.batch, p.batch.MaxItems) }

// wait estimates how long pieces that arrive now wait for one of the workers when
// so many are queued before them.
func (p *pool) wait(now time.Time, workers []*worker, queued int) time.Duration {
	if len(workers) == 0 {
		return time.Hour
	}
	first := workers[0].freeAt(now)
	for _, w := range workers[1:] {
		if at := w.freeAt(now); at.Before(first) {
			first = at
		}
	}
	wait := first.Sub(now)
	// A queue that does not fit into the calls that start next takes rounds.
	room := p.batch.MaxItems * slotsOf(workers)
	return wait + time.Duration(float64(queued/room)*float64(p.round()))
}

// pump sends calls to workers that are idle, frees results, and drops the jobs
// that have become hopeless.
func (s *Scheduler) pump(now time.Time, p *pool) {
	s.expire(now, p)
	for _, w := range p.workers {
		if len(w.unwanted) > 0 && now.Sub(w.freedAt) >= freePace {
			s.emit(Free{Worker: w.upstream, Handles: w.unwanted})
			w.unwanted, w.freedAt = nil, now
		}
	}
	if len(p.waiting) == 0 {
		return
	}
	p.sort(now)
	for _, w := range p.order(now) {
		for w.idle(now) && s.fill(now, p, w) {
		}
	}
	p.sweep()
}

// sort puts the waiting jobs into the order in which they are sent: the first due
// comes first, but for those that cannot be on time any more. Under too much load,
// work that is late already would otherwise make late all that comes after it.
func (p *pool) sort(now time.Time) {
	soonest := now.Add(callTime(p.batch, 1))
	late := func(j *job) int {
		if j.Due.Before(soonest) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(p.waiting, func(a, b *job) int {
		return cmp.Or(late(a)-late(b), a.Due.Compare(b.Due))
	})
}

// freePace is the least time between two calls that free results at a worker.
const freePace = 12 * time.Millisecond

// expire refuses the jobs that cannot be done in time any more.
func (s *Scheduler) expire(now time.Time, p *pool) {
	earliest := now.Add(callTime(p.batch, 1))
	for _, j := range slices.Clone(p.waiting) {
		limit := j.Deadline
		if !j.Begun && !j.sent {
			limit = j.Due
		}
		if earliest.After(limit) && len(j.pending) > 0 {
			s.refuse(j, ReasonLate, p.round())
		}
	}
	p.sweep()
}

// order returns the workers that can take a call now. Those with the least of
// their memory taken come first.
func (p *pool) order(now time.Time) []*worker {
	usable := p.usable(now)
	var idle []*worker
	for _, w := range p.workers {
		if !w.idle(now) {
			continue
		}
		if !slices.Contains(usable, w) && now.Sub(w.probedAt) < probeEvery {
			continue
		}
		idle = append(idle, w)
	}
	slices.SortStableFunc(idle, func(a, b *worker) int { return cmp.Compare(a.used, b.used) })
	return idle
}

// fill sends a worker one call of the pieces that are best done there. It reports
// whether there may be more to send.
func (s *Scheduler) fill(now time.Time, p *pool, w *worker) bool {
	c := &call{worker: w, sent: now}
	if p.trial(now, w) {
		s.try(now, p, c)
		return false
	}
	limit := p.share(now, w)
	space := w.space(now)
	limited := false
	for _, local := range []bool{true, false} {
		for _, j := range p.waiting {
			if (j.Zone == w.upstream.Zone) != local || !local && !p.crosses(now, j, w) {
				continue
			}
			for len(j.pending) > 0 && len(c.pieces) < limit && j.ResultBytes <= space {
				space -= j.ResultBytes
				c.add(j)
			}
			limited = limited || len(j.pending) > 0 && len(c.pieces) < limit
		}
	}
	p.pace.filled(now, len(c.pieces), p.batch.MaxItems, limited)
	if len(c.pieces) == 0 {
		return false
	}
	s.send(now, p, c)
	return true
}

// add takes the next piece of a job into the call.
func (c *call) add(j *job) {
	c.pieces = append(c.pieces, piece{job: j, index: j.pending[0], bytes: j.ResultBytes})
	j.pending = j.pending[1:]
}

// trial reports whether a call to the worker only shows whether it does well again.
func (p *pool) trial(now time.Time, w *worker) bool {
	return w.health.Unsure() || !slices.Contains(p.usable(now), w)
}

// try sends a worker that failed or was slow one piece, of the job that can wait
// longest.
func (s *Scheduler) try(now time.Time, p *pool, c *call) {
	c.worker.probedAt = now
	space := c.worker.space(now)
	for _, j := range slices.Backward(p.waiting) {
		if len(j.pending) > 0 && j.ResultBytes <= space {
			c.add(j)
			s.send(now, p, c)
			return
		}
	}
}

// share returns how many pieces the worker should take: all that fit, or a part if
// others are idle beside it, as a call of fewer pieces ends sooner.
func (p *pool) share(now time.Time, w *worker) int {
	idle := 0
	for _, other := range p.workers {
		if other.idle(now) && other.upstream.Zone == w.upstream.Zone {
			idle += other.free()
		}
	}
	part := (p.queued(w.upstream.Zone) + idle - 1) / max(idle, 1)
	return min(max(part, p.batch.MaxItems/minShare), p.batch.MaxItems)
}

// minShare divides the most pieces of a call: fewer than such a part are not
// spread over several calls.
const minShare = 3

const (
	// crossWait and crossRate say how long a job waits for a worker of its own
	// zone rather than having its results cross zones: a fixed time, and more
	// the more bytes would cross.
	crossWait = 80 * time.Millisecond
	crossRate = 8 << 20 // bytes a second
)

// crosses reports whether a job should be done by a worker of another zone.
func (p *pool) crosses(now time.Time, j *job, w *worker) bool {
	var home []*worker
	for _, h := range p.usable(now) {
		if h.upstream.Zone == j.Zone {
			home = append(home, h)
		}
	}
	if len(home) == 0 {
		return true
	}
	wait := p.wait(now, home, p.queued(j.Zone))
	bytes := float64(int64(j.Pieces) * j.ResultBytes)
	patience := crossWait + time.Duration(bytes/crossRate*float64(time.Second))
	if wait > patience {
		return true
	}
	done := now.Add(wait + callTime(p.batch, p.batch.MaxItems/2))
	return done.After(j.Due)
}

// A call is given up after callPatience times the time that it should take, and
// callGrace more: a slow worker's first call still ends.
const (
	callPatience = 5
	callGrace    = 250 * time.Millisecond
)

func (s *Scheduler) send(now time.Time, p *pool, c *call) {
	s.number++
	s.counts.Calls++
	s.counts.Items += int64(len(c.pieces))
	c.expect = callTime(p.batch, len(c.pieces))
	c.worker.calls = append(c.worker.calls, c)
	s.calls[s.number] = c
	out := Call{Number: s.number, Worker: c.worker.upstream, Timeout: callPatience*c.expect + callGrace}
	for _, one := range c.pieces {
		j := one.job
		j.sent = true
		if j.OnlyUser && len(j.Inputs) > 0 && len(j.pending) == 0 {
			s.fetched.Add(now.Add(fetchTime), j.Ref)
		}
		c.worker.reserved += one.bytes
		if j.Zone != c.worker.upstream.Zone {
			s.counts.Crossed++
		}
		out.Items = append(out.Items, Item{
			Ref: j.Ref, Piece: one.index, Key: j.Key, Inputs: j.Inputs, Left: j.Deadline.Sub(now),
		})
	}
	s.emit(out)
}
