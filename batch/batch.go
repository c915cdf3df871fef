// Package batch turns the pieces of stages into calls. A worker of a stage service
// runs one call at a time, and a call has a fixed cost however few pieces it holds;
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

	"teaselplank/fleet"
	"teaselplank/queue"
)

// A Ref names a job: one stage of one request.
type Ref struct {
	Request string
	Stage   int
}

// A Job is the work of one stage of one request.
type Job struct {
	Ref     Ref
	Service string
	// Pieces is the number of pieces; at least 1.
	Pieces int
	// ResultBytes is about the size of the result of one piece.
	ResultBytes int64
	// Key tells the workers what to work on, in a stage that needs no results
	// of others. In all others, Inputs are the results that each piece needs.
	Key    string
	Inputs []string
	// OnlyUser is true if no other stage needs the inputs.
	OnlyUser bool
	// Zone is where the job's inputs are, or where its results are needed.
	Zone string
	// Due is when the job has to be done for its request to be on time.
	Due time.Time
	// Deadline is when the result is of no use any more.
	Deadline time.Time
	// Rank is the request's urgency; 0 is the most urgent.
	Rank int
	// Begun is true if work was already spent on the request. Such a job is
	// not refused only because it will be late.
	Begun bool
	// Ahead lists the stages that the request needs once this one is done, in
	// their order. Finish is when the last of them has to be done.
	Ahead  []Need
	Finish time.Time
}

// A Need is a stage that a request will need later.
type Need struct {
	Stage   int
	Service string
	Pieces  int
}

// A Result is where the result of a piece lies.
type Result struct {
	Handle string
	// Addr and Zone are those of the worker that keeps it.
	Addr string
	Zone string
}

// A Reason says why a job was not done.
type Reason string

// The reasons of refusals.
const (
	// ReasonLate means that the job cannot be done in time.
	ReasonLate Reason = "stage cannot finish in time"
	// ReasonNoWorker means that no worker of the service can be used.
	ReasonNoWorker Reason = "stage has no worker"
	// ReasonGone means that an input is lost: the stages before must run again.
	ReasonGone Reason = "stage input is gone"
	// ReasonFailed means that workers failed the job too often.
	ReasonFailed Reason = "stage failed"
	// ReasonMoved means that another node owns the service now.
	ReasonMoved Reason = "stage is owned by another node"
)

// An Event is an input of the reducer.
type Event interface{ BatchEvent() }

type (
	// Submit brings a job. Done or Refused answers it, unless it is withdrawn.
	Submit struct{ Job Job }
	// Withdraw takes a job back.
	Withdraw struct{ Ref Ref }
	// Release gives results up.
	Release struct{ Results []Result }
	// Returned brings the end of a Call.
	Returned struct {
		Call int
		// Outcomes has one entry a piece; it is empty if the call failed.
		Outcomes []Outcome
		Failure  Failure
	}
	// Freed reports the end of a Free.
	Freed struct {
		Worker  string
		Handles []string
		OK      bool
	}
	// Reported brings the memory for results that a worker has left, in bytes.
	Reported struct {
		Worker string
		Space  int64
	}
	// Workers brings the configuration and the upstreams of stage services.
	Workers struct {
		Services  []fleet.Service
		Upstreams []fleet.Upstream
	}
	// Leave asks to take no more jobs, and to give those back that have not
	// begun. Calls under way are still finished.
	Leave struct{}
	// Tick lets the reducer act on the time.
	Tick struct{}
)

func (Submit) BatchEvent()   {}
func (Withdraw) BatchEvent() {}
func (Release) BatchEvent()  {}
func (Returned) BatchEvent() {}
func (Freed) BatchEvent()    {}
func (Reported) BatchEvent() {}
func (Workers) BatchEvent()  {}
func (Leave) BatchEvent()    {}
func (Tick) BatchEvent()     {}

// Failure says how a call as a whole failed.
type Failure string

// The failures of calls.
const (
	// NoFailure means that the worker has answered each piece.
	NoFailure Failure = ""
	// Full means that the worker had no room for the call and did not run it.
	Full Failure = "full"
	// Unreached means that the call did not reach the worker.
	Unreached Failure = "unreached"
	// Unanswered is the same for a worker that did not answer to a connection
	// at all: the way to its zone may be cut.
	Unanswered Failure = "unanswered"
	// Broken means that no whole answer came; the call may have run.
	Broken Failure = "broken"
)

// An Outcome is what became of a piece.
type Outcome struct {
	// Handle names the result if Trouble is NoTrouble.
	Handle  string
	Trouble Trouble
}

// Trouble says why a piece has no result.
type Trouble string

// The troubles of pieces.
const (
	NoTrouble Trouble = ""
	// Expired pieces came to their turn after their deadline.
	Expired Trouble = "late"
	// InputGone pieces lack an input.
	InputGone Trouble = "gone"
	// NoRoom pieces found no memory for their result.
	NoRoom Trouble = "room"
	// Errored pieces failed at the worker.
	Errored Trouble = "error"
)

// An Effect is an output of the reducer.
type Effect interface{ BatchEffect() }

type (
	// Call asks to send pieces to a worker. Returned answers it.
	Call struct {
		Number  int
		Worker  fleet.Upstream
		Items   []Item
		Timeout time.Duration
	}
	// Free asks to free results at a worker, once.
	Free struct {
		Worker  fleet.Upstream
		Handles []string
	}
	// Ask asks a worker how much memory for results it has left. Reported
	// answers it, or nothing does.
	Ask struct{ Worker fleet.Upstream }
	// Done brings the results of all pieces of a job, in their order.
	Done struct {
		Ref     Ref
		Results []Result
	}
	// Admitted tells on what a job was taken: the pieces before it, and when
	// it and all that its request needs after it should be done.
	Admitted struct {
		Ref     Ref
		Waiting int
		Coming  int
		Workers int
		Done    time.Duration
	}
	// Refused ends a job without results.
	Refused struct {
		Ref    Ref
		Reason Reason
		// RetryAfter is when there is likely to be room again.
		RetryAfter time.Duration
	}
)

func (Call) BatchEffect()     {}
func (Free) BatchEffect()     {}
func (Ask) BatchEffect()      {}
func (Done) BatchEffect()     {}
func (Admitted) BatchEffect() {}
func (Refused) BatchEffect()  {}

// An Item is one piece in a call.
type Item struct {
	Ref    Ref
	Piece  int
	Key    string
	Inputs []string
	// Left is the time until the piece is of no use.
	Left time.Duration
}

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
		s.withdraw(now, e.Ref)
	case Release:
		s.release(e.Results)
	case Returned:
		s.returned(now, e)
	case Freed:
		s.freed(e)
	case Reported:
		s.reported(now, e)
	case Workers:
		s.update(now, e)
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

// Len returns the number of jobs under way.
func (s *Scheduler) Len() int { return len(s.jobs) }

// Waiting returns the number of pieces that wait for a worker of a service.
func (s *Scheduler) Waiting(service string) int {
	if p := s.pools[service]; p != nil {
		return p.queued("")
	}
	return 0
}

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
	done, retry, ok := s.admit(now, p, j)
	if !ok {
		s.refuse(&job{Job: j}, ReasonLate, s.returns.next(now, retry, s.share(now, j)))
		return
	}
	s.askAll(now, p)
	s.emit(Admitted{Ref: j.Ref, Waiting: p.queued(""), Coming: p.coming, Workers: len(p.usable(now)), Done: done})
	s.expect(j)
	waiting := &job{Job: j, results: make([]Result, j.Pieces), open: j.Pieces}
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
		s.expectNot(Ref{j.Ref.Request, need.Stage})
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

func (s *Scheduler) withdraw(now time.Time, ref Ref) {
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

// release gives results up. Results that were made for another owner are not known
// here and are freed all the same.
func (s *Scheduler) release(results []Result) {
	for _, r := range results {
		if _, freed := s.freedLately.Get(r.Handle); freed {
			continue
		}
		for _, p := range s.pools {
			if w := p.byAddr[r.Addr]; w != nil {
				s.free(w, r.Handle)
			}
		}
	}
}

// free notes that a result at a worker is of no use any more.
func (s *Scheduler) free(w *worker, handle string) {
	if handle == "" {
		return
	}
	if _, freed := s.freedLately.Get(handle); freed {
		return
	}
	s.freedLately.Put(handle, struct{}{})
	w.unwanted = append(w.unwanted, handle)
}

func (s *Scheduler) freed(e Freed) {
	if w := s.worker(e.Worker); w != nil && e.OK {
		w.forget(e.Handles)
	}
}

// reported takes in the memory that a worker has left. What it has less than is
// known here is taken up by results of another owner.
func (s *Scheduler) reported(now time.Time, e Reported) {
	if w := s.worker(e.Worker); w != nil {
		w.setUnknown(now, w.space(now)+w.held[unknownResults].bytes-e.Space)
	}
}

// worker returns a worker by its id, or nil.
func (s *Scheduler) worker(id string) *worker {
	for _, p := range s.pools {
		for _, w := range p.workers {
			if w.upstream.ID == id {
				return w
			}
		}
	}
	return nil
}

// fetchTime is how long after the turn of its last call a job's inputs are kept:
// workers fetch them before they begin to work.
const fetchTime = 60 * time.Millisecond

// freeFetched frees the inputs of jobs that have fetched them. That makes room for
// results earlier than the end of the job, which is what binds at the highest load.
func (s *Scheduler) freeFetched(now time.Time) {
	for {
		ref, ok := s.fetched.Pop(now)
		if !ok {
			return
		}
		j := s.jobs[ref]
		if j == nil || len(j.pending) > 0 {
			continue
		}
		for _, handle := range j.Inputs {
			s.freeIfTight(handle)
		}
	}
}

// freeIfTight frees a result whose worker has little memory left. Elsewhere it
// stays until its user has ended, which may have to fetch it again.
func (s *Scheduler) freeIfTight(handle string) {
	for _, p := range s.pools {
		for _, w := range p.workers {
			if _, ok := w.held[handle]; ok && w.tight() {
				s.free(w, handle)
			}
		}
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
			s.emit(Done{Ref: j.Ref, Results: j.results})
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
