package pipe

import (
	"time"

	"teaselplank/route"
	"teaselplank/wire"
)

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
