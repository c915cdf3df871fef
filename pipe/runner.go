package pipe

import (
	"maps"
	"slices"
	"time"

	"teaselplank/route"
	"teaselplank/wire"
)

// submit takes a request, or refuses it before it costs anything.
func (r *Runner) submit(now time.Time, q Request) {
	r.counts.Submitted++
	run := &running{request: q, pools: r.poolsOf(q), status: queued, input: q.Input, arrived: now}
	for _, p := range run.pools {
		p.shares.arrive(now, q.Account)
	}
	if reason, wait := r.refusal(now, run); reason != "" {
		r.refuse(q, reason, wait)
		return
	}
	r.requests[q.ID] = run
	r.timers.Add(q.Deadline, timer{kind: timerDeadline, ref: Ref{Request: q.ID}})
	r.enter(now, run)
}

// refusal returns why a request is not taken, and when to come back.
func (r *Runner) refusal(now time.Time, run *running) (Reason, time.Duration) {
	q, first := run.request, run.pools[0]
	wait := first.expectedWait(now)
	if !now.Before(q.Deadline) {
		return ReasonDeadline, 0
	}
	for _, s := range q.Steps {
		if !r.table.Serves(s.Pool) {
			return ReasonNoWorker, noWorkerPause
		}
	}
	if first.fair.Len() >= r.config.MaxQueue {
		return ReasonFull, wait
	}
	if r.config.Admission && !r.admitted(now, run) {
		return ReasonShare, sharePause
	}
	if r.config.Early && now.Add(run.remaining(now)).After(q.Deadline) {
		return ReasonTooLate, wait
	}
	return "", 0
}

// admitted reports whether the request's account may use all of its pools now.
func (r *Runner) admitted(now time.Time, run *running) bool {
	for _, p := range run.pools {
		if !p.shares.admit(now, run.request.Account, r.weights) {
			return false
		}
	}
	return true
}

// What callers are told to wait where the queue does not tell, and the bounds
// of it where it does.
const (
	noWorkerPause = 2 * time.Second
	sharePause    = time.Second
	minPause      = 200 * time.Millisecond
	maxPause      = 10 * time.Second
)

func (r *Runner) refuse(q Request, reason Reason, wait time.Duration) {
	r.counts.Refused++
	r.counts.NotRun++
	switch reason {
	case ReasonShare:
		r.counts.RefusedShare++
	case ReasonTooLate:
		r.counts.RefusedLate++
	}
	pause := min(max(wait, minPause), maxPause)
	r.emit(Answer{Request: q.ID, Outcome: wire.NotRun, Reason: reason, RetryAfter: pause})
}

// poolsOf returns the pool of each step.
func (r *Runner) poolsOf(q Request) []*pool {
	pools := make([]*pool, len(q.Steps))
	for i, s := range q.Steps {
		pools[i] = r.pool(s.Pool)
	}
	return pools
}

// remaining estimates how long a request still takes from its stage on: what is
// usual of each stage, and the waiting.
func (run *running) remaining(now time.Time) time.Duration {
	total := run.usual()
	for _, p := range run.pools[run.stage:] {
		total += p.expectedWait(now)
	}
	return total
}

// usual is how long a request usually takes from its stage on without waiting.
func (run *running) usual() time.Duration {
	var total time.Duration
	tokens := run.tokens
	for i := run.stage; i < len(run.pools); i++ {
		p := run.pools[i]
		if !p.latency.known {
			continue
		}
		usual := p.latency.p50
		if run.request.Steps[i].Stream {
			usual = p.first.p50 + usual*time.Duration(max(run.request.Tokens-tokens, 0))
			tokens = 0
		}
		total += usual
	}
	return total
}

// expectedWait estimates how long a step that enters the queue stands in it.
func (p *pool) expectedWait(now time.Time) time.Duration {
	waiting := p.fair.Len() + len(p.urgent)
	if waiting == 0 {
		return 0
	}
	rate := p.rate.value(now)
	if rate <= 0 {
		return p.wait
	}
	return time.Duration(float64(waiting) / rate * float64(time.Second))
}

// enter lets a request wait for its step's pool.
func (r *Runner) enter(now time.Time, run *running) {
	p := run.pool()
	run.waiting, run.entered = true, now
	account, weight := run.request.Account, run.request.Weight
	if !r.config.Fair {
		account, weight = "", 1
	}
	p.fair.Push(account, weight, run.request.ID)
	r.pump(now, p)
}

// enterAgain lets a request whose attempt failed go first.
func (r *Runner) enterAgain(now time.Time, run *running) {
	p := run.pool()
	run.waiting, run.entered = true, now
	p.urgent = append(p.urgent, run.request.ID)
	r.pump(now, p)
}

func (run *running) pool() *pool { return run.pools[run.stage] }

func (run *running) step() Step { return run.request.Steps[run.stage] }

// queueTick is how often a queue is looked at when nothing else happens.
const queueTick = 20 * time.Millisecond

// pump starts the steps that wait for a pool as long as it has room.
func (r *Runner) pump(now time.Time, p *pool) {
	if !r.table.Serves(p.name) {
		r.endWaiting(now, p)
		return
	}
	for p.waiting() > 0 && r.table.HasRoom(now, p.name) {
		id, ok := p.pop()
		run := r.requests[id]
		if !ok || run == nil || !run.waiting || run.pool() != p {
			continue
		}
		r.start(now, p, run)
	}
	if p.waiting() > 0 && !p.ticking {
		p.ticking = true
		r.timers.Add(now.Add(queueTick), timer{kind: timerQueue, pool: p.name})
	}
}

// endWaiting answers the requests that wait for a pool whose last worker has
// left: nothing is gained by letting them wait.
func (r *Runner) endWaiting(now time.Time, p *pool) {
	for p.waiting() > 0 {
		id, _ := p.pop()
		run := r.requests[id]
		if run == nil || !run.waiting || run.pool() != p {
			continue
		}
		answer := run.failure(ReasonNoWorker)
		answer.RetryAfter = noWorkerPause
		r.end(now, run, answer)
	}
}

func (p *pool) waiting() int { return p.fair.Len() + len(p.urgent) }

func (p *pool) pop() (string, bool) {
	if len(p.urgent) > 0 {
		id := p.urgent[0]
		p.urgent = p.urgent[1:]
		return id, true
	}
	return p.fair.Pop()
}

// waitWeight is the weight of the newest sample in a pool's mean wait.
const waitWeight = 8

func (r *Runner) start(now time.Time, p *pool, run *running) {
	if r.hopeless(now, run) {
		r.end(now, run, run.failure(ReasonTooLate))
		return
	}
	q := route.Query{Prefix: run.request.Prefix, Avoid: run.avoid}
	if !run.step().Stream {
		q.Prefix = ""
	}
	w := r.table.Begin(now, p.name, q)
	if w == nil {
		q.Avoid = nil
		w = r.table.Begin(now, p.name, q)
	}
	if w == nil {
		p.urgent = append(p.urgent, run.request.ID)
		return
	}
	run.waiting = false
	waited := now.Sub(run.entered)
	p.wait += (waited - p.wait) / waitWeight
	p.shares.waited(now, waited, run.request.Deadline.Sub(run.entered))
	if run.tries == 0 {
		p.refill(r.config.RetryPercent)
	}
	r.call(now, p, run, w.Host(), false)
}

// hopeless reports whether a step that may start now would usually end too late,
// so that its work would be wasted.
func (r *Runner) hopeless(now time.Time, run *running) bool {
	if !r.config.Early || run.step().Once {
		return false
	}
	need := run.usual()
	return now.Add(need).After(run.request.Deadline)
}

// call sends an attempt of the request's step to a worker.
func (r *Runner) call(now time.Time, p *pool, run *running, w wire.Host, hedge bool) {
	r.move(run, begin)
	run.count++
	run.tries++
	run.sent++
	r.counts.Calls++
	step := run.step()
	ref := Ref{run.request.ID, run.stage, run.count}
	run.attempts = append(run.attempts, attempt{ref: ref, worker: w, began: now, moved: now, hedge: hedge})
	call := Call{
		Ref: ref, Worker: w, Step: step, Input: run.input, Prefix: run.request.Prefix,
		Tokens: run.request.Tokens, Deadline: run.request.Deadline,
		Number: run.request.Number, Key: run.request.Key,
	}
	if step.Stream {
		call.ResumeFrom = run.tokens
	}
	r.emit(call)
	if step.Once {
		return
	}
	r.timers.Add(now.Add(r.patience(p, step, false)), timer{kind: timerAttempt, ref: ref})
	if r.config.Hedge && step.Hedge && !step.Stream && !hedge && p.latency.known {
		r.timers.Add(now.Add(p.latency.p95), timer{kind: timerHedge, ref: ref})
	}
}

// The bounds of how long an attempt may take before it counts as silent, and
// its relation to the pool's latency.
const (
	minPatience     = 100 * time.Millisecond
	patienceFactor  = 3
	firstTokenScale = 2
)

// patience returns how long an attempt may go without progress.
func (r *Runner) patience(p *pool, step Step, started bool) time.Duration {
	if step.Stream && started {
		return r.config.Silence
	}
	if step.Stream {
		usual := max(r.config.Silence*firstTokenScale, p.first.p99*patienceFactor)
		return min(usual, r.config.AttemptTimeout)
	}
	if !r.config.Early || !p.latency.known {
		return r.config.AttemptTimeout
	}
	return min(max(p.latency.p99*patienceFactor, minPatience), r.config.AttemptTimeout)
}

func (run *running) attempt(ref Ref) *attempt {
	for i := range run.attempts {
		if run.attempts[i].ref == ref {
			return &run.attempts[i]
		}
	}
	return nil
}

func (run *running) drop(ref Ref) {
	for i := range run.attempts {
		if run.attempts[i].ref == ref {
			run.attempts = append(run.attempts[:i], run.attempts[i+1:]...)
			return
		}
	}
}

func (r *Runner) progress(now time.Time, e Progress) {
	run := r.requests[e.Ref.Request]
	if run == nil {
		return
	}
	a := run.attempt(e.Ref)
	if a == nil || e.Tokens <= run.tokens {
		return
	}
	a.moved = now
	if a.first.IsZero() {
		a.first, a.from = now, e.Tokens
		r.timers.Add(now.Add(r.config.Silence), timer{kind: timerAttempt, ref: e.Ref})
		run.pool().first.record(now, now.Sub(a.began))
	}
	run.tokens = e.Tokens
}

// replied takes in a whole answer. An answer to an attempt that is not under
// way any more is dropped and counted.
func (r *Runner) replied(now time.Time, e Replied) {
	run := r.requests[e.Ref.Request]
	var a *attempt
	if run != nil {
		a = run.attempt(e.Ref)
	}
	if a == nil {
		r.counts.Late++
		return
	}
	p := run.pool()
	if run.step().Stream {
		run.tokens = e.Tokens
		p.recordPace(now, a, e.Tokens)
	} else {
		p.latency.record(now, now.Sub(a.began))
	}
	p.rate.add(now, 1)
	if a.hedge {
		r.counts.HedgeWins++
	}
	r.table.Finish(now, a.worker.ID, route.Answered)
	run.addWork(p.name, e.Work)
	run.drop(e.Ref)
	r.cancelAll(now, run)
	run.input = e.Output
	if run.stage+1 == len(run.request.Steps) {
		r.end(now, run, Answer{Outcome: wire.Done, Output: e.Output, Status: e.Status, Tokens: run.tokens})
	} else {
		r.advance(now, run)
	}
	r.pump(now, p)
}

// recordPace records the time that a token of a stream took after the first.
func (p *pool) recordPace(now time.Time, a *attempt, tokens int) {
	if a.first.IsZero() || tokens <= a.from {
		return
	}
	p.latency.record(now, now.Sub(a.first)/time.Duration(tokens-a.from))
}

func (run *running) addWork(pool string, work int) {
	if work == 0 {
		return
	}
	if run.work == nil {
		run.work = make(map[string]int)
	}
	run.work[pool] += work
}

// lateFactor is the part of the usual time below which a request that is under
// way is given up, for then it can hardly make its deadline.
const lateFactor = 0.5

// advance lets a request go on to its next step.
func (r *Runner) advance(now time.Time, run *running) {
	r.move(run, pass)
	run.stage++
	run.tries, run.avoid, run.tokens = 0, nil, 0
	left := run.request.Deadline.Sub(now)
	need := run.remaining(now)
	if r.config.Early && float64(left) < lateFactor*float64(need) {
		r.end(now, run, Answer{Outcome: wire.Unknown, Reason: ReasonTooLate, RetryAfter: minPause})
		return
	}
	r.enter(now, run)
}

var endOf = map[Failure]route.End{
	Unsent:  route.Broken,
	Busy:    route.Overloaded,
	Stale:   route.Answered,
	Broken:  route.Broken,
	Faulty:  route.TimedOut,
	Silent:  route.TimedOut,
	Crossed: route.Broken,
}

func (r *Runner) failed(now time.Time, e Failed) {
	run := r.requests[e.Ref.Request]
	var a *attempt
	if run != nil {
		a = run.attempt(e.Ref)
	}
	if e.Failure == Crossed {
		r.counts.Crossed++
	}
	if a == nil {
		r.counts.Late++
		return
	}
	r.table.Finish(now, a.worker.ID, endOf[e.Failure])
	run.tokens = max(run.tokens, e.Tokens)
	p := run.pool()
	run.addWork(p.name, e.Work)
	if e.Failure != Busy {
		run.avoid = append(run.avoid, a.worker.ID)
	}
	run.drop(e.Ref)
	if e.Failure == Unsent {
		run.sent--
	}
	if len(run.attempts) == 0 {
		r.retry(now, p, run, e)
	}
	r.pump(now, p)
}

// retry lets a step be tried again, or ends the request.
func (r *Runner) retry(now time.Time, p *pool, run *running, e Failed) {
	step := run.step()
	if step.Once && e.Failure != Unsent {
		answer := Answer{Outcome: wire.Unknown, Reason: ReasonFailed, RetryAfter: minPause}
		if e.Failure == Stale {
			answer.Outcome = wire.NotRun
		}
		r.end(now, run, answer)
		return
	}
	if run.tries >= r.config.MaxAttempts || !p.spend(r.config.RetryPercent) {
		if run.tries < r.config.MaxAttempts {
			r.counts.RetriesDenied++
		}
		r.end(now, run, run.failure(ReasonFailed))
		return
	}
	r.counts.Retries++
	if step.Stream && run.tokens > 0 {
		r.counts.Resumed++
	}
	r.move(run, lose)
	r.enterAgain(now, run)
}

// failure returns the answer to a request that ends without a result.
func (run *running) failure(reason Reason) Answer {
	if run.sent > 0 {
		return Answer{Outcome: wire.Unknown, Reason: reason, RetryAfter: minPause}
	}
	return Answer{Outcome: wire.NotRun, Reason: reason, RetryAfter: minPause}
}

// maxBudget bounds the retries that a pool may save up. Hedges leave the last
// hedgeReserve of them to retries, without which a request fails.
const (
	maxBudget    = 10
	hedgeReserve = 6
)

func (p *pool) refill(percent int) {
	if percent > 0 {
		p.budget = min(p.budget+float64(percent)/100, maxBudget)
	}
}

// spend takes one retry from the budget, if there is one.
func (p *pool) spend(percent int) bool {
	if percent < 0 {
		return true
	}
	if p.budget < 1 {
		return false
	}
	p.budget--
	return true
}

// cancelAll ends the attempts that are no longer wanted.
func (r *Runner) cancelAll(now time.Time, run *running) {
	for _, a := range run.attempts {
		r.cancel(now, a, route.Cancelled)
	}
	run.attempts = run.attempts[:0]
}

func (r *Runner) cancel(now time.Time, a attempt, end route.End) {
	r.table.Finish(now, a.worker.ID, end)
	r.counts.Cancelled++
	if r.config.Cancel {
		r.emit(Cancel{Ref: a.ref, Worker: a.worker})
	}
}

func (r *Runner) left(now time.Time, id string) {
	run := r.requests[id]
	if run == nil || run.step().Once {
		return
	}
	r.end(now, run, run.failure(ReasonLeft))
}

// end answers a request and frees what it holds.
func (r *Runner) end(now time.Time, run *running, answer Answer) {
	r.move(run, finish)
	answer.Request = run.request.ID
	answer.Dispatched = run.sent > 0
	answer.Work = run.work
	switch answer.Outcome {
	case wire.Done:
		r.counts.Done++
		for _, p := range run.pools {
			p.shares.serve(now)
		}
	case wire.NotRun:
		r.counts.NotRun++
	default:
		r.counts.Unknown++
	}
	delete(r.requests, run.request.ID)
	held := append([]attempt(nil), run.attempts...)
	r.cancelAll(now, run)
	r.emit(answer)
	for _, a := range held {
		r.pump(now, r.pool(a.worker.Pool))
	}
}

// move changes the state of a request. The table lists every move that the
// package makes, so an error is a fault of the package itself.
func (r *Runner) move(run *running, event input) {
	next, err := machine.Next(run.status, event)
	if err != nil {
		panic(err)
	}
	run.status = next
}

// expire acts on the timers that are due.
func (r *Runner) expire(now time.Time) {
	for {
		t, ok := r.timers.Pop(now)
		if !ok {
			return
		}
		if t.kind == timerQueue {
			p := r.pool(t.pool)
			p.ticking = false
			r.pump(now, p)
			continue
		}
		run := r.requests[t.ref.Request]
		if run == nil {
			continue
		}
		switch t.kind {
		case timerDeadline:
			r.counts.Expired++
			r.end(now, run, run.failure(ReasonDeadline))
		case timerAttempt:
			r.checkSilence(now, run, t.ref)
		case timerHedge:
			r.hedge(now, run, t.ref)
		}
	}
}

// checkSilence fails an attempt that has made no progress.
func (r *Runner) checkSilence(now time.Time, run *running, ref Ref) {
	a := run.attempt(ref)
	if a == nil {
		return
	}
	p := run.pool()
	due := a.moved.Add(r.patience(p, run.step(), !a.first.IsZero()))
	if now.Before(due) {
		r.timers.Add(due, timer{kind: timerAttempt, ref: ref})
		return
	}
	if r.config.Cancel {
		r.emit(Cancel{Ref: ref, Worker: a.worker})
	}
	r.failed(now, Failed{Ref: ref, Failure: Silent, Tokens: run.tokens})
}

// hedge starts a second attempt beside a slow one, if the budget allows.
func (r *Runner) hedge(now time.Time, run *running, ref Ref) {
	if run.attempt(ref) == nil || len(run.attempts) > 1 || run.tries >= r.config.MaxAttempts {
		return
	}
	p := run.pool()
	if p.waiting() > 0 || now.Add(p.latency.p50).After(run.request.Deadline) {
		return
	}
	avoid := append([]string{run.attempts[0].worker.ID}, run.avoid...)
	if !r.table.HasRoom(now, p.name) || p.budget < hedgeReserve {
		return
	}
	w := r.table.Begin(now, p.name, route.Query{Avoid: avoid})
	if w == nil {
		return
	}
	p.spend(r.config.RetryPercent)
	r.counts.Hedges++
	r.call(now, p, run, w.Host(), true)
}

// Refresh starts what waits after the workers or their loads have changed, and
// ends requests whose pool has no workers left. It returns effects like Step.
func (r *Runner) Refresh(now time.Time) []Effect {
	r.effects = r.effects[:0]
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		if p := r.pools[name]; p.waiting() > 0 {
			r.pump(now, p)
		}
	}
	return r.effects
}
