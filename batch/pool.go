package batch

import (
	"maps"
	"slices"
	"time"

	"teaselplank/fair"
	"teaselplank/fleet"
	"teaselplank/health"
)

// A pool is the workers of one stage service and the jobs queued for them.
type pool struct {
	name  string
	batch fleet.Batch
	// warmsUp is true if the service announces a warm-up.
	warmsUp bool
	// workers are sorted by id.
	workers []*worker
	byAddr  map[string]*worker
	// queue holds the jobs that have pending pieces.
	queue []*job
	// groups has the parts of the queue, as it was sorted last, of which each goes before the
	// next ones.
	groups [][]*job
	// upcoming is the number of pieces in downstream stages of admitted requests.
	upcoming int
	// upcomingByRank is the same by rank of the request.
	upcomingByRank [fair.MaxRank + 1]int
	fill           fillTracker
	// shares divides the part of the throughput that supply gives among flows of requests.
	shares fair.Shares
	supply supply
	// lastJobAt is when a job was last admitted, and lastRefusedAt when a request was last
	// refused that has a stage here.
	lastJobAt     time.Time
	lastRefusedAt time.Time
	// stageTime is a moving average of the duration of jobs, or 0.
	stageTime time.Duration
}

// update sets the services and upstreams. The results of removed workers are lost. A
// service that is no longer configured remains while it has workers or jobs, for the
// requests that were admitted before.
func (s *Scheduler) update(now time.Time, e SetWorkers) {
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
		p.batch, p.warmsUp = *service.Batch, service.WarmsUp()
	}
	for name, p := range s.pools {
		p.update(now, e.Upstreams)
		s.markEvacuated(now, p)
		if len(p.workers) == 0 && !kept[name] {
			delete(s.pools, name)
		}
	}
	s.services = slices.Sorted(maps.Keys(s.pools))
}

func (p *pool) update(now time.Time, upstreams []fleet.Upstream) {
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
			w = &worker{slowness: 1, held: make(map[string]heldResult), warmsUp: p.warmsUp}
			w.awaitRate(now)
		}
		w.upstream, w.batch, w.warmsUp = u, p.batch, p.warmsUp
		p.workers = append(p.workers, w)
		p.byAddr[u.Addr] = w
	}
}

// usable returns the workers that can be sent calls. It returns slow workers only if there
// are no others, or if the others have limits.
func (p *pool) usable(now time.Time) []*worker {
	var fast, slow []*worker
	unlimited := false
	for _, w := range p.workers {
		switch {
		case !w.usable(now):
		case w.slowness >= slowThreshold:
			slow = append(slow, w)
		default:
			fast = append(fast, w)
			unlimited = unlimited || !w.limit.Limited()
		}
	}
	if !unlimited {
		return append(fast, slow...)
	}
	return fast
}

// pauseLeft returns the time until the first pause of a worker ends, or 0 if a worker has
// no pause.
func (p *pool) pauseLeft(now time.Time) time.Duration {
	var pauses []health.Pause
	for _, w := range p.workers {
		if !w.upstream.Draining && !w.evacuated {
			pauses = append(pauses, w.pause)
		}
	}
	return health.FirstEnd(now, pauses)
}

// stageTimeWeight is the weight of the newest job in the average duration of jobs.
const stageTimeWeight = 1.0 / 32

// noteStage records the duration of a job.
func (p *pool) noteStage(d time.Duration) {
	d = min(d, 2*p.fullCallTime())
	if p.stageTime == 0 {
		p.stageTime = callTime(p.batch, p.batch.MaxPieces/2)
	}
	p.stageTime += time.Duration(stageTimeWeight * float64(d-p.stageTime))
}

// startDue returns the time by which a job should end so that its downstream stages, which
// take as long as others at present, end in time.
func (s *Scheduler) startDue(j Job) time.Time {
	due := j.StagesDue
	for _, stage := range j.Downstream {
		if p := s.pools[stage.Service]; p != nil {
			due = due.Add(-p.stageTime)
		}
	}
	if j.Due.Before(due) || j.StagesDue.IsZero() {
		return j.Due
	}
	return due
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

// roundTime returns the time in which workers run one full call for each of their slots. It
// is longer than a call if limits of workers keep them idle in between.
func (p *pool) roundTime(workers []*worker) time.Duration {
	rounds := 0.0 // per second and slot
	for _, w := range workers {
		rounds += float64(w.slots()) / w.callPeriod(p.fullCallTime()).Seconds()
	}
	return time.Duration(float64(totalSlots(workers)) / rounds * float64(time.Second))
}

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
	return wait + time.Duration(queued/room)*p.roundTime(workers)
}
