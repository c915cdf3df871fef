package pipe

import (
	"slices"
	"time"

	"teaselplank/route"
	"teaselplank/wire"
)

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
	run.attempts = append(run.attempts, attempt{ref: ref, worker: w, began: now, moved: now, hedge: hedge, stream: step.Stream})
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
	r.arm(run)
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
	defer r.arm(run)
	if a.first.IsZero() {
		a.first, a.from = now, e.Tokens
		r.table.Started(a.worker.ID)
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
	r.finish(now, *a, route.Answered)
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
	r.finish(now, *a, endOf[e.Failure])
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

// finish tells the table that an attempt has ended.
func (r *Runner) finish(now time.Time, a attempt, end route.End) {
	if a.stream && a.first.IsZero() {
		r.table.Started(a.worker.ID)
	}
	r.table.Finish(now, a.worker.ID, end)
}

func (r *Runner) cancel(now time.Time, a attempt, end route.End) {
	r.finish(now, a, end)
	r.counts.Cancelled++
	if r.config.Cancel {
		r.emit(Cancel{Ref: a.ref, Worker: a.worker})
	}
}

// due returns when an attempt counts as silent unless it makes progress.
func (r *Runner) due(run *running, a *attempt) time.Time {
	return a.moved.Add(r.patience(run.pool(), run.step(), !a.first.IsZero()))
}

// arm sets the timer for what comes first: the request's deadline, or an attempt
// that falls silent. A timer that is set for earlier is left.
func (r *Runner) arm(run *running) {
	due := run.request.Deadline
	for i := range run.attempts {
		if at := r.due(run, &run.attempts[i]); !run.step().Once && at.Before(due) {
			due = at
		}
	}
	if run.status == ended || !run.armed.IsZero() && !due.Before(run.armed) {
		return
	}
	run.armed = due
	r.timers.Add(due, timer{kind: timerCheck, ref: Ref{Request: run.request.ID}, due: due})
}

// check ends a request whose deadline has come and fails attempts that have made
// no progress.
func (r *Runner) check(now time.Time, run *running) {
	run.armed = time.Time{}
	if !now.Before(run.request.Deadline) {
		r.counts.Expired++
		r.end(now, run, run.failure(ReasonDeadline))
		return
	}
	for _, a := range slices.Clone(run.attempts) {
		if run.attempt(a.ref) == nil || run.step().Once || now.Before(r.due(run, &a)) {
			continue
		}
		if r.config.Cancel {
			r.emit(Cancel{Ref: a.ref, Worker: a.worker})
		}
		r.failed(now, Failed{Ref: a.ref, Failure: Silent, Tokens: run.tokens})
	}
	r.arm(run)
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
	if !r.table.HasRoom(now, p.name, route.Query{Stream: p.stream}) || p.budget < hedgeReserve {
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
