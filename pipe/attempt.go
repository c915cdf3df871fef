package pipe

import (
	"slices"
	"time"

	"teaselplank/route"
	"teaselplank/wire"
)

// wouldMissDeadline reports whether a request whose step could start now is expected
// to miss its deadline, so that the work would be wasted.
func (r *Runner) wouldMissDeadline(now time.Time, req *activeRequest) bool {
	if !r.config.EarlyRefusal || req.step().AtMostOnce {
		return false
	}
	expected := req.expectedServiceTime()
	return now.Add(expected).After(req.spec.Deadline)
}

// sendAttempt sends an attempt of the request's current step to a worker.
func (r *Runner) sendAttempt(now time.Time, p *pool, req *activeRequest, w wire.Host, hedge bool) {
	r.transition(req, attemptStarted)
	req.attemptCount++
	req.stepAttempts++
	req.sentAttempts++
	r.counts.Calls++
	step := req.step()
	ref := Ref{req.spec.ID, req.stage, req.attemptCount}
	req.attempts = append(req.attempts, attempt{ref: ref, worker: w, startedAt: now, lastProgress: now, isHedge: hedge, stream: step.Stream})
	call := Call{
		Ref: ref, Worker: w, Step: step, Input: req.input, Prefix: req.spec.Prefix,
		Tokens: req.spec.Tokens, Deadline: req.spec.Deadline,
		FencingNumber: req.spec.FencingNumber, Key: req.spec.Key,
	}
	if step.Stream {
		call.ResumeFrom = req.nextToken
	}
	r.emit(call)
	if step.AtMostOnce {
		return
	}
	r.scheduleCheck(req)
	if r.config.Hedge && step.Hedge && !step.Stream && !hedge && p.latency.known {
		r.timers.Add(now.Add(p.latency.p95), timer{kind: timerHedge, ref: ref})
	}
}

const (
	// minAttemptTimeout is the shortest timeout that follows from the pool's latency.
	minAttemptTimeout = 100 * time.Millisecond
	// latencyTimeoutFactor times the pool's p99 latency is the timeout of an attempt.
	latencyTimeoutFactor = 3
	// firstTokenTimeoutFactor times Config.StreamIdleTimeout is the shortest timeout
	// of a first token.
	firstTokenTimeoutFactor = 2
)

// attemptTimeout returns how long an attempt may go without progress before it counts
// as silent.
func (r *Runner) attemptTimeout(p *pool, step Step, hasToken bool) time.Duration {
	if step.Stream && hasToken {
		return r.config.StreamIdleTimeout
	}
	if step.Stream {
		timeout := max(r.config.StreamIdleTimeout*firstTokenTimeoutFactor, p.firstTokenLatency.p99*latencyTimeoutFactor)
		return min(timeout, r.config.AttemptTimeout)
	}
	if !r.config.EarlyRefusal || !p.latency.known {
		return r.config.AttemptTimeout
	}
	return min(max(p.latency.p99*latencyTimeoutFactor, minAttemptTimeout), r.config.AttemptTimeout)
}

func (req *activeRequest) findAttempt(ref Ref) *attempt {
	for i := range req.attempts {
		if req.attempts[i].ref == ref {
			return &req.attempts[i]
		}
	}
	return nil
}

func (req *activeRequest) removeAttempt(ref Ref) {
	for i := range req.attempts {
		if req.attempts[i].ref == ref {
			req.attempts = append(req.attempts[:i], req.attempts[i+1:]...)
			return
		}
	}
}

func (r *Runner) progress(now time.Time, e Progress) {
	req := r.requests[e.Ref.Request]
	if req == nil {
		return
	}
	a := req.findAttempt(e.Ref)
	if a == nil || e.Tokens <= req.nextToken {
		return
	}
	a.lastProgress = now
	defer r.scheduleCheck(req)
	if a.firstTokenAt.IsZero() {
		a.firstTokenAt, a.firstTokenIndex = now, e.Tokens
		r.table.StreamStarted(a.worker.ID)
		req.pool().firstTokenLatency.record(now, now.Sub(a.startedAt))
	}
	req.nextToken = e.Tokens
}

// replied handles a complete response. A response to an attempt that is no longer in
// flight is dropped and counted.
func (r *Runner) replied(now time.Time, e Replied) {
	req := r.requests[e.Ref.Request]
	var a *attempt
	if req != nil {
		a = req.findAttempt(e.Ref)
	}
	if a == nil {
		r.counts.Late++
		return
	}
	p := req.pool()
	if req.step().Stream {
		req.nextToken = e.Tokens
		p.recordTokenTime(now, a, e.Tokens)
	} else {
		p.latency.record(now, now.Sub(a.startedAt))
	}
	p.answerRate.add(now, 1)
	if a.isHedge {
		r.counts.HedgeWins++
	}
	r.finishCall(now, *a, route.Answered)
	req.addWork(p.name, e.Work)
	req.removeAttempt(e.Ref)
	r.cancelAttempts(now, req)
	req.input = e.Output
	if req.stage+1 == len(req.spec.Steps) {
		r.end(now, req, Answer{Outcome: wire.Done, Output: e.Output, Status: e.Status, Tokens: req.nextToken})
	} else {
		r.advance(now, req)
	}
	r.dispatch(now, p)
}

// recordTokenTime records the mean time per token of a stream after its first token.
func (p *pool) recordTokenTime(now time.Time, a *attempt, tokens int) {
	if a.firstTokenAt.IsZero() || tokens <= a.firstTokenIndex {
		return
	}
	p.latency.record(now, now.Sub(a.firstTokenAt)/time.Duration(tokens-a.firstTokenIndex))
}

func (req *activeRequest) addWork(pool string, work int) {
	if work == 0 {
		return
	}
	if req.work == nil {
		req.work = make(map[string]int)
	}
	req.work[pool] += work
}

var callEndOf = map[Failure]route.CallEnd{
	Unsent:           route.ConnectionFailed,
	Busy:             route.Overloaded,
	FencingRefused:   route.Answered,
	ConnectionFailed: route.ConnectionFailed,
	UpstreamError:    route.TimedOut,
	ResponseTimeout:  route.TimedOut,
	ResponseMismatch: route.ConnectionFailed,
}

func (r *Runner) failed(now time.Time, e Failed) {
	req := r.requests[e.Ref.Request]
	var a *attempt
	if req != nil {
		a = req.findAttempt(e.Ref)
	}
	if e.Failure == ResponseMismatch {
		r.counts.Crossed++
	}
	if a == nil {
		r.counts.Late++
		return
	}
	r.finishCall(now, *a, callEndOf[e.Failure])
	req.nextToken = max(req.nextToken, e.Tokens)
	p := req.pool()
	req.addWork(p.name, e.Work)
	if e.Failure != Busy {
		req.failedWorkers = append(req.failedWorkers, a.worker.ID)
	}
	req.removeAttempt(e.Ref)
	if e.Failure == Unsent {
		req.sentAttempts--
	}
	if len(req.attempts) == 0 {
		r.retry(now, p, req, e)
	}
	r.dispatch(now, p)
}

// retry queues the request's step for another attempt, or ends the request.
func (r *Runner) retry(now time.Time, p *pool, req *activeRequest, e Failed) {
	step := req.step()
	if step.AtMostOnce && e.Failure != Unsent {
		answer := Answer{Outcome: wire.Unknown, Reason: ReasonFailed, RetryAfter: minRetryAfter}
		if e.Failure == FencingRefused {
			answer.Outcome = wire.NotRun
		}
		r.end(now, req, answer)
		return
	}
	if req.stepAttempts >= r.config.MaxAttempts || !p.takeRetry(r.config.RetryPercent) {
		if req.stepAttempts < r.config.MaxAttempts {
			r.counts.RetriesDenied++
		}
		r.end(now, req, req.failureAnswer(ReasonFailed))
		return
	}
	r.counts.Retries++
	if step.Stream && req.nextToken > 0 {
		r.counts.Resumed++
	}
	r.transition(req, attemptsFailed)
	r.enqueueRetry(now, req)
}

// failureAnswer returns the answer to a request that ends without a result. The
// outcome is unknown if an attempt may have reached an upstream.
func (req *activeRequest) failureAnswer(reason Reason) Answer {
	if req.sentAttempts > 0 {
		return Answer{Outcome: wire.Unknown, Reason: reason, RetryAfter: minRetryAfter}
	}
	return Answer{Outcome: wire.NotRun, Reason: reason, RetryAfter: minRetryAfter}
}

// maxRetryBudget bounds a pool's retry budget. Hedges need a budget of at least
// hedgeReserve, because a request fails without its retry but not without its hedge.
const (
	maxRetryBudget = 10
	hedgeReserve   = 6
)

func (p *pool) addRetryBudget(percent int) {
	if percent > 0 {
		p.retryBudget = min(p.retryBudget+float64(percent)/100, maxRetryBudget)
	}
}

// takeRetry takes one retry from the budget and reports whether there was one. The
// budget is unlimited if percent is negative.
func (p *pool) takeRetry(percent int) bool {
	if percent < 0 {
		return true
	}
	if p.retryBudget < 1 {
		return false
	}
	p.retryBudget--
	return true
}

// cancelAttempts cancels all attempts of a request.
func (r *Runner) cancelAttempts(now time.Time, req *activeRequest) {
	for _, a := range req.attempts {
		r.cancelAttempt(now, a, route.Cancelled)
	}
	req.attempts = req.attempts[:0]
}

// finishCall records the end of an attempt in the table.
func (r *Runner) finishCall(now time.Time, a attempt, end route.CallEnd) {
	if a.stream && a.firstTokenAt.IsZero() {
		r.table.StreamStarted(a.worker.ID)
	}
	r.table.FinishCall(now, a.worker.ID, end)
}

func (r *Runner) cancelAttempt(now time.Time, a attempt, end route.CallEnd) {
	r.finishCall(now, a, end)
	r.counts.Cancelled++
	if r.config.Cancel {
		r.emit(Cancel{Ref: a.ref, Worker: a.worker})
	}
}

// timeoutAt returns the time from which an attempt without further progress counts as
// silent.
func (r *Runner) timeoutAt(req *activeRequest, a *attempt) time.Time {
	return a.lastProgress.Add(r.attemptTimeout(req.pool(), req.step(), !a.firstTokenAt.IsZero()))
}

// scheduleCheck sets the request's timer to its deadline or to the earliest timeout of
// its attempts, whichever is first. A timer that is already set for an earlier time
// stays.
func (r *Runner) scheduleCheck(req *activeRequest) {
	due := req.spec.Deadline
	for i := range req.attempts {
		if at := r.timeoutAt(req, &req.attempts[i]); !req.step().AtMostOnce && at.Before(due) {
			due = at
		}
	}
	if req.status == ended || !req.nextCheck.IsZero() && !due.Before(req.nextCheck) {
		return
	}
	req.nextCheck = due
	r.timers.Add(due, timer{kind: timerCheck, ref: Ref{Request: req.spec.ID}, due: due})
}

// checkTimeouts ends a request whose deadline has passed, and fails its attempts that
// have timed out.
func (r *Runner) checkTimeouts(now time.Time, req *activeRequest) {
	req.nextCheck = time.Time{}
	if !now.Before(req.spec.Deadline) {
		r.counts.Expired++
		r.end(now, req, req.failureAnswer(ReasonDeadline))
		return
	}
	for _, a := range slices.Clone(req.attempts) {
		if req.findAttempt(a.ref) == nil || req.step().AtMostOnce || now.Before(r.timeoutAt(req, &a)) {
			continue
		}
		if r.config.Cancel {
			r.emit(Cancel{Ref: a.ref, Worker: a.worker})
		}
		r.failed(now, Failed{Ref: a.ref, Failure: ResponseTimeout, Tokens: req.nextToken})
	}
	r.scheduleCheck(req)
}

// hedge starts a second attempt in parallel to a slow one if no step is queued, the
// hedge is likely to finish in time and the retry budget allows it.
func (r *Runner) hedge(now time.Time, req *activeRequest, ref Ref) {
	if req.findAttempt(ref) == nil || len(req.attempts) > 1 || req.stepAttempts >= r.config.MaxAttempts {
		return
	}
	p := req.pool()
	if p.queueLen() > 0 || now.Add(p.latency.p50).After(req.spec.Deadline) {
		return
	}
	avoid := append([]string{req.attempts[0].worker.ID}, req.failedWorkers...)
	if !r.table.HasCapacity(now, p.name, route.Query{Stream: p.stream}) || p.retryBudget < hedgeReserve {
		return
	}
	w := r.table.BeginCall(now, p.name, route.Query{Avoid: avoid})
	if w == nil {
		return
	}
	p.takeRetry(r.config.RetryPercent)
	r.counts.Hedges++
	r.sendAttempt(now, p, req, w.Host(), true)
}
