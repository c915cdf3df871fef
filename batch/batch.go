// Package batch turns the pieces of stages into calls. A worker of a stage service
// runs one call at a time, or a few, and a call has a fixed cost however few pieces it holds;
// so the pieces of many requests share calls. One node, the owner of a service, runs
// a Scheduler for the requests of all nodes.
//
// The scheduler decides which pieces go together, to which worker and when; what
// cannot be done in time it refuses at once. It keeps account of the memory that
// results take up at the workers, since a worker without room fails its pieces.
//
// The package is a reducer: Step takes the time and an event and returns effects.
package batch

import (
	"time"

	"teaselplank/queue"
)

// A Scheduler is the state of the reducer. The zero value knows no workers and is
// ready for use.
type Scheduler struct {
	pools map[string]*pool
	jobs  map[Ref]*job
	// calls holds the calls under way by their number.
	calls map[int]*call
	// coming holds the stages that admitted requests will need, and lapses when
	// they are forgotten.
	coming map[Ref]coming
	lapses queue.Timers[Ref]
	// fetched holds the jobs whose inputs are to be freed, and when.
	fetched queue.Timers[Ref]
	// freedLately are results that were freed, so that none is freed twice.
	freedLately queue.Recent[string, struct{}]
	// returns hands out the times for refused requests to come back.
	returns returns
	leaving bool
	number  int
	effects []Effect
	counts  Counts
}

// Counts are totals since the start.
type Counts struct {
	Submitted, Done, Refused, Withdrawn int64
	Calls, Items, Crossed               int64
	Full, Broken, Repeated              int64
	NoRoom, Gone, Errored, Expired      int64
}

type job struct {
	Job
	// pending are the pieces that wait to be sent.
	pending []int
	results []Result
	// open is the number of pieces that have no result yet.
	open  int
	tries int
	// sent is true once a piece was sent.
	sent bool
	// taken is when the job came, and expected how long it should take.
	taken    time.Time
	expected time.Duration
}

type call struct {
	worker *worker
	pieces []piece
	sent   time.Time
	// expect is the time that the call should take at full speed.
	expect time.Duration
}

type piece struct {
	job   *job
	index int
	bytes int64
}

// maxTries bounds how often the pieces of a job are sent again.
const maxTries = 3

// Step applies an event and returns its effects, which are valid until the next
// call.
func (s *Scheduler) Step(now time.Time, event Event) []Effect {
	if s.pools == nil {
		s.pools = make(map[string]*pool)
		s.jobs = make(map[Ref]*job)
		s.calls = make(map[int]*call)
		s.coming = make(map[Ref]coming)
	}
	s.effects = nil
	switch e := event.(type) {
	case Submit:
		s.submit(now, e.Job)
	case Withdraw:
		s.withdraw(e.Ref)
	case Release:
		s.release(e.Results)
	case Returned:
		s.returned(now, e)
	case Freed:
		s.freed(e)
	case Reported:
		s.reported(now, e)
	case Workers:
		s.update(e)
	case Leave:
		s.leave()
	case Tick:
	}
	s.freeFetched(now)
	s.lapse(now)
	for _, p := range s.pools {
		s.pump(now, p)
	}
	return s.effects
}

// Counts returns the totals.
func (s *Scheduler) Counts() Counts { return s.counts }

// A PoolState is what a scheduler knows of one service.
type PoolState struct {
	Service string
	// Waiting are the pieces that wait, Coming those that admitted requests will
	// bring.
	Waiting int
	Coming  int
	// Workers can be sent calls; Calls are under way.
	Workers int
	Calls   int
	// Used and Space are the bytes that results take up, and that they may.
	Used  int64
	Space int64
}

// Pools returns the state of the services.
func (s *Scheduler) Pools(now time.Time) []PoolState {
	var states []PoolState
	for name, p := range s.pools {
		state := PoolState{Service: name, Waiting: p.queued(""), Coming: p.coming, Workers: len(p.usable(now))}
		for _, w := range p.workers {
			state.Calls += len(w.calls)
			state.Used += w.used
			state.Space += w.batch.ResultSpace
		}
		states = append(states, state)
	}
	return states
}

// Len returns the number of jobs under way.
func (s *Scheduler) Len() int { return len(s.jobs) }

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Scheduler) submit(now time.Time, j Job) {
	s.counts.Submitted++
	if old := s.jobs[j.Ref]; old != nil {
		s.drop(old)
	}
	if s.leaving {
		s.refuse(&job{Job: j}, ReasonMoved, 0)
		return
	}
	p := s.pools[j.Service]
	if p == nil || len(p.usable(now)) == 0 {
		s.refuse(&job{Job: j}, ReasonNoWorker, noWorkerPause)
		return
	}
	s.expectNot(j.Ref)
	expected := p.arrive(now, 0, j.Pieces)
	done, retry, ok := s.admit(now, expected, j)
	if !ok {
		s.refuse(&job{Job: j}, ReasonLate, s.returns.next(now, retry, s.share(now, j)))
		return
	}
	s.askAll(now, p)
	s.emit(Admitted{Ref: j.Ref, Waiting: p.queued(""), Coming: p.coming, Workers: len(p.usable(now)), Done: done})
	s.expect(j)
	waiting := &job{Job: j, results: make([]Result, j.Pieces), open: j.Pieces, taken: now, expected: expected}
	for i := range j.Pieces {
		waiting.pending = append(waiting.pending, i)
	}
	s.jobs[j.Ref] = waiting
	p.waiting = append(p.waiting, waiting)
}

// askAll asks the workers of a pool for their memory when this node begins to own
// it: results that another owner has made may lie there.
func (s *Scheduler) askAll(now time.Time, p *pool) {
	if now.Sub(p.usedAt) > p.batch.ResultLife {
		for _, w := range p.workers {
			s.emit(Ask{Worker: w.upstream})
		}
	}
	p.usedAt = now
}

// noWorkerPause is what callers are told to wait while a service has no worker.
const noWorkerPause = time.Second

func (s *Scheduler) refuse(j *job, reason Reason, retry time.Duration) {
	s.counts.Refused++
	s.drop(j)
	s.emit(Refused{Ref: j.Ref, Reason: reason, RetryAfter: retry})
}

// drop ends a job and frees what it has.
func (s *Scheduler) drop(j *job) {
	delete(s.jobs, j.Ref)
	for _, need := range j.Ahead {
		s.expectNot(j.later(need))
	}
	j.pending = nil
	var made []Result
	for _, r := range j.results {
		if r.Handle != "" {
			made = append(made, r)
		}
	}
	s.release(made)
}

// leave gives the jobs back of which nothing was sent.
func (s *Scheduler) leave() {
	s.leaving = true
	for _, j := range s.jobs {
		if !j.sent {
			s.refuse(j, ReasonMoved, 0)
		}
	}
	for _, p := range s.pools {
		p.sweep()
	}
}

func (s *Scheduler) withdraw(ref Ref) {
	j := s.jobs[ref]
	if j == nil {
		return
	}
	s.counts.Withdrawn++
	s.drop(j)
	if p := s.pools[j.Service]; p != nil {
		p.sweep()
	}
}

// returned takes in the end of a call.
func (s *Scheduler) returned(now time.Time, e Returned) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	delete(s.calls, e.Call)
	c.worker.finish(now, c, e.Failure)
	if e.Failure == Unanswered {
		s.suspectZone(now, c.worker.upstream.Zone)
	}
	switch e.Failure {
	case Full:
		s.counts.Full++
	case Broken, Unreached, Unanswered:
		s.counts.Broken++
	}
	for i, piece := range c.pieces {
		c.worker.reserved -= piece.bytes
		outcome := Outcome{}
		if e.Failure == NoFailure {
			outcome = e.Outcomes[i]
		}
		s.settle(now, c.worker, piece, outcome, e.Failure)
	}
}

// suspectZone passes over the workers of a zone that have not answered lately, for
// a cut keeps all of them out of reach at once.
func (s *Scheduler) suspectZone(now time.Time, zone string) {
	for _, p := range s.pools {
		for _, w := range p.workers {
			if w.upstream.Zone == zone && now.Sub(w.heard) > heardLately {
				w.health.Fail(now, backoff)
			}
		}
	}
}

// settle takes in what became of one piece.
func (s *Scheduler) settle(now time.Time, w *worker, p piece, o Outcome, failure Failure) {
	if failure == NoFailure && o.Trouble == NoTrouble {
		w.keep(now, o.Handle, p.bytes)
	}
	j := p.job
	if s.jobs[j.Ref] != j {
		// The job was given up meanwhile; its result is of no use.
		s.free(w, o.Handle)
		return
	}
	switch {
	case failure == Full || failure == Unreached || failure == Unanswered:
		s.again(now, p, false)
	case failure == Broken || o.Trouble == Errored:
		s.counts.Errored++
		s.again(now, p, true)
	case o.Trouble == NoRoom:
		s.counts.NoRoom++
		w.outOfRoom(now)
		s.emit(Ask{Worker: w.upstream})
		s.again(now, p, false)
	case o.Trouble == InputGone:
		s.counts.Gone++
		s.refuse(j, ReasonGone, 0)
	case o.Trouble == Expired:
		s.counts.Expired++
		s.refuse(j, ReasonLate, s.pools[j.Service].round())
	default:
		j.results[p.index] = Result{Handle: o.Handle, Addr: w.upstream.Addr, Zone: w.upstream.Zone}
		j.open--
		if j.open == 0 {
			s.counts.Done++
			delete(s.jobs, j.Ref)
			s.emit(Done{Ref: j.Ref, Results: j.results, Service: j.Service, Took: now.Sub(j.taken), Expected: j.expected})
		}
	}
}

// again puts a piece back into the queue, or gives its job up.
func (s *Scheduler) again(now time.Time, p piece, failed bool) {
	j := p.job
	if failed {
		j.tries++
	}
	if j.tries > maxTries*j.Pieces {
		s.refuse(j, ReasonFailed, 0)
		return
	}
	s.counts.Repeated++
	if len(j.pending) == 0 {
		pool := s.pools[j.Service]
		pool.waiting = append(pool.waiting, j)
	}
	j.pending = append(j.pending, p.index)
}

// TickEvery is how often waiting jobs are looked at again, and freed results sent
// to their workers, if nothing else happens.
const TickEvery = 25 * time.Millisecond
