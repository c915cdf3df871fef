// Package batch groups the pieces of stages into calls to workers. A worker of a stage
// service runs one call at a time, or a few. Each call has a fixed cost however few
// pieces it holds, so the pieces of many requests share calls. One node, the owner of
// the service, runs a Scheduler for the requests of all nodes.
//
// The scheduler decides which pieces share a call, which worker gets it and when. It
// refuses at once the jobs that cannot be done in time. It tracks the memory that
// results use at the workers, since a worker without free memory fails its pieces.
//
// The package is a reducer: Step takes the time and an event and returns effects.
package batch

import (
	"time"

	"teaselplank/fair"
	"teaselplank/queue"
)

// A Scheduler is the state of the reducer. The zero value is ready to use. Until the first
// SetWorkers, it refuses all jobs with ReasonNotOwner.
type Scheduler struct {
	// configured is true once the services and workers were set.
	configured bool
	pools      map[string]*pool
	// services has the names of the pools in order, so that equal events have equal effects.
	services []string
	jobs     map[Ref]*job
	// calls holds the calls in flight by number.
	calls map[int]*call
	// upcoming holds the downstream stages of admitted requests, and upcomingExpiry
	// when to remove them.
	upcoming       map[Ref]upcomingStage
	upcomingExpiry queue.Timers[Ref]
	// callTimers holds the numbers of calls, and when they are overdue or lost.
	callTimers queue.Timers[int]
	// inputTimers holds the jobs whose inputs are to be freed, and when.
	inputTimers queue.Timers[Ref]
	// fetchTime is how long they are kept at least.
	fetchTime fetchTime
	// recentlyFreed holds the handles of freed results, so that none is freed twice.
	recentlyFreed queue.FIFOMap[string, struct{}]
	// corrections has the corrections of forecasts.
	corrections map[chainKey]*correction
	// evacuated holds the zones that are evacuated.
	evacuated map[string]bool
	// recentlyRefused has the requests that were refused last, by request and run.
	recentlyRefused queue.FIFOMap[Ref, time.Time]
	// retries assigns the times at which refused requests may retry.
	retries retrySchedule
	// draining is true if only jobs that no other node runs are accepted, and closed if
	// none is.
	draining       bool
	closed         bool
	lastCallNumber int
	effects        []Effect
	counts         Counts
}

// Counts holds totals since the start. It is encoded as JSON under these field names.
type Counts struct {
	Submitted, Done, Refused, Withdrawn int64
	Calls, Items, Crossed               int64
	Full, Broken, Repeated, Overdue     int64
	NoRoom, Gone, Errored, Expired      int64
	// AdmittedByRank and RefusedByRank count jobs.
	AdmittedByRank, RefusedByRank [fair.MaxRank + 1]int64
}

type job struct {
	Job
	// pending holds the indexes of the pieces to be sent, each once. Among them are
	// pieces of overdue calls, which are sent a second time if a worker is free before
	// the first call ends.
	pending []int
	results []Result
	// attempts holds the state of each piece at workers.
	attempts []attempts
	// remaining is the number of pieces without a result.
	remaining int
	// failures counts the failures of the job's pieces at workers.
	failures int
	// sent is true once a piece has been sent.
	sent bool
	// inputsFreed is true if inputs may be gone, so that no piece can be repeated.
	inputsFreed bool
	// holders has the worker that holds each input, once they are known.
	holders []*worker
	// admittedAt is when the job was admitted, and expected the estimate of its
	// duration.
	admittedAt time.Time
	expected   time.Duration
	// startDue is the time by which the job should end, given how long the downstream stages
	// take at present. Jobs are sent in its order.
	startDue time.Time
	// urgency is the class of the job when the queue was sorted last.
	urgency urgency
	// chain is the forecast of the request's stages, or nil if it is not known.
	chain *admittedChain
}

type call struct {
	number int
	worker *worker
	pieces []piece
	sentAt time.Time
	// expected is the duration of the call at full speed.
	expected time.Duration
	// overdue is true once the call has taken much longer. It may still end.
	overdue bool
}

type piece struct {
	job   *job
	index int
	bytes int64
}

// Step applies an event and returns its effects, which are valid until the next call.
func (s *Scheduler) Step(now time.Time, event Event) []Effect {
	if s.pools == nil {
		s.pools = make(map[string]*pool)
		s.jobs = make(map[Ref]*job)
		s.calls = make(map[int]*call)
		s.upcoming = make(map[Ref]upcomingStage)
	}
	s.effects = nil
	s.checkCalls(now)
	switch e := event.(type) {
	case Submit:
		s.submit(now, e.Job)
	case Withdraw:
		s.withdraw(now, e.Ref)
	case Release:
		s.release(e.Results)
	case CallEnded:
		s.callEnded(now, e)
	case FreeEnded:
		s.freeEnded(e)
	case SpaceReported:
		s.spaceReported(now, e)
	case SetWorkers:
		s.update(now, e)
	case Held:
		s.pauseWorker(e)
	case Limited:
		s.limitWorker(now, e)
	case ZonesEvacuated:
		s.evacuate(now, e.Zones)
	case Drain:
		s.drain(func(j *job) bool { return j.sent })
	case Close:
		s.closed = true
		s.drain(func(*job) bool { return false })
	case Tick:
	}
	s.freeFetchedInputs(now)
	s.expireUpcoming(now)
	for _, name := range s.services {
		if p := s.pools[name]; p != nil {
			s.dispatch(now, p)
		}
	}
	return s.effects
}

// Counts returns the totals.
func (s *Scheduler) Counts() Counts { return s.counts }

// A PoolState is the state of the workers and queue of one service.
type PoolState struct {
	Service string
	// Queued is the number of pending pieces, and Upcoming the number of pieces in
	// downstream stages of admitted requests.
	Queued   int
	Upcoming int
	// Workers is the number of usable workers, and Calls the number of calls in
	// flight.
	Workers int
	Calls   int
	// ResultBytes is the memory that results use, and ResultLimit the memory that
	// they may use.
	ResultBytes int64
	ResultLimit int64
	// Uses has the pieces per second of each rank, as asked for, allocated and admitted.
	Uses []fair.Use
}

// Pools returns the state of the services.
func (s *Scheduler) Pools(now time.Time) []PoolState {
	var states []PoolState
	for name, p := range s.pools {
		state := PoolState{Service: name, Queued: p.queued(""), Upcoming: p.upcoming, Workers: len(p.usable(now)), Uses: p.shares.Uses(now)}
		for _, w := range p.workers {
			state.Calls += len(w.calls)
			state.ResultBytes += w.usedBytes
			state.ResultLimit += w.batch.ResultMemory
		}
		states = append(states, state)
	}
	return states
}

// Len returns the number of jobs that have not ended.
func (s *Scheduler) Len() int { return len(s.jobs) }

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Scheduler) submit(now time.Time, j Job) {
	s.counts.Submitted++
	if old := s.jobs[j.Ref]; old != nil {
		s.drop(old)
	}
	if !s.accepts(j) {
		s.refuse(&job{Job: j}, ReasonNotOwner, 0)
		return
	}
	p := s.pools[j.Service]
	if p == nil {
		s.refuse(&job{Job: j}, ReasonUnknownService, noWorkerRetryAfter)
		return
	}
	if len(p.usable(now)) == 0 {
		s.refuse(&job{Job: j}, ReasonNoWorker, max(noWorkerRetryAfter, p.pauseLeft(now)))
		return
	}
	admittedChain := s.removeUpcoming(j.Ref)
	if s.siblingRefused(now, j.Ref) {
		s.refuse(&job{Job: j}, ReasonLate, noWorkerRetryAfter)
		return
	}
	if !j.Started {
		s.offer(now, j)
	}
	chain, retryAfter, ok := s.admit(now, j)
	if !ok {
		s.noteRefusal(now, j)
		s.recentlyRefused.Put(Ref{Request: j.Ref.Request, Run: j.Ref.Run}, now)
		s.refuseLate(now, j, chain, s.retries.next(now, j.Rank, retryAfter, s.bottleneckTime(now, j)))
		return
	}
	s.queryMemory(now, p)
	s.emit(Admitted{Ref: j.Ref, Queued: p.queued(""), Upcoming: p.upcoming, Workers: len(p.usable(now)), Estimate: chain.all()})
	s.counts.AdmittedByRank[fair.ClampRank(j.Rank)]++
	if !j.Started {
		s.take(now, j)
		admittedChain = newAdmittedChain(now, j, chain)
	}
	s.addUpcoming(now, j, chain, admittedChain)
	admitted := &job{Job: j, startDue: s.startDue(j), chain: admittedChain, results: make([]Result, j.Pieces), attempts: make([]attempts, j.Pieces), remaining: j.Pieces, admittedAt: now, expected: chain.stage()}
	for i := range j.Pieces {
		admitted.pending = append(admitted.pending, i)
	}
	s.jobs[j.Ref] = admitted
	p.queue = append(p.queue, admitted)
}

// accepts reports whether the node runs a job, or leaves it to another one.
func (s *Scheduler) accepts(j Job) bool {
	if s.closed || !s.configured {
		return false
	}
	return !s.draining || j.LastResort
}

// queryMemory asks the workers of a pool for their free memory if no job was admitted for
// ResultTTL. This node may then be a new owner, and the workers may hold results of the
// previous one.
func (s *Scheduler) queryMemory(now time.Time, p *pool) {
	if now.Sub(p.lastJobAt) > p.batch.ResultTTL {
		for _, w := range p.workers {
			s.queryWorker(now, w)
		}
	}
	p.lastJobAt = now
}

// queryWorker asks a worker for its free memory. The calls of a worker with a limit are too
// few for that.
func (s *Scheduler) queryWorker(now time.Time, w *worker) {
	if !w.evacuated && !w.pause.Active(now) && !w.limit.Limited() {
		s.emit(QueryMemory{Worker: w.upstream})
	}
}

// noWorkerRetryAfter is the minimum retry time of jobs refused for lack of a worker.
const noWorkerRetryAfter = time.Second

func (s *Scheduler) refuse(j *job, reason Reason, retryAfter time.Duration) {
	s.emitRefused(j, Refused{Ref: j.Ref, Reason: reason, RetryAfter: retryAfter})
}

func (s *Scheduler) emitRefused(j *job, r Refused) {
	s.counts.Refused++
	s.counts.RefusedByRank[fair.ClampRank(j.Rank)]++
	s.drop(j)
	s.emit(r)
}

// refuseLate refuses a job that was not admitted, with what decided.
func (s *Scheduler) refuseLate(now time.Time, j Job, c chainForecast, retryAfter time.Duration) {
	p := s.pools[j.Service]
	r := Refused{Ref: j.Ref, Reason: ReasonLate, RetryAfter: retryAfter, Estimate: c.all(), TimeLeft: j.StagesDue.Sub(now)}
	r.Queued, r.Upcoming = p.queued(""), p.upcoming
	r.Short = s.short(j)
	r.Share, r.Used = p.shares.Share(now, j.flow())
	s.emitRefused(&job{Job: j}, r)
}

// drop removes a job and its upcoming stages, and releases its results.
func (s *Scheduler) drop(j *job) {
	delete(s.jobs, j.Ref)
	for _, stage := range j.Downstream {
		s.removeUpcoming(j.downstreamRef(stage))
	}
	j.pending = nil
	var finished []Result
	for _, r := range j.results {
		if r.Handle != "" {
			finished = append(finished, r)
		}
	}
	s.release(finished)
}

// drain refuses the jobs that the node does not keep, and those that arrive from now on, so
// that the next owner gets them.
func (s *Scheduler) drain(keep func(*job) bool) {
	s.draining = true
	for _, j := range s.jobs {
		if !keep(j) {
			s.refuse(j, ReasonNotOwner, 0)
		}
	}
	for _, p := range s.pools {
		p.sweep()
	}
}

func (s *Scheduler) withdraw(now time.Time, ref Ref) {
	j := s.jobs[ref]
	if j == nil {
		return
	}
	s.counts.Withdrawn++
	if !j.Started && !j.sent {
		s.giveBack(now, j.Job)
	}
	s.drop(j)
	if p := s.pools[j.Service]; p != nil {
		p.sweep()
	}
}

// TickInterval is the interval at which the scheduler reconsiders queued jobs and frees
// results at workers if no other event occurs.
const TickInterval = 25 * time.Millisecond
