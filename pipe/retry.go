package pipe

import (
	"time"

	"teaselplank/route"
	"teaselplank/wire"
)

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
	if !r.mayRetry(req) {
		if req.stepAttempts < r.config.MaxAttempts {
			r.counts.RetriesDenied++
		}
		r.end(now, req, req.failureAnswer(ReasonFailed))
		return
	}
	p.takeRetry(r.config.RetryPercent)
	r.counts.Retries++
	if step.Stream && req.nextToken > 0 {
		r.counts.Resumed++
	}
	r.transition(req, attemptsFailed)
	r.enqueueRetry(now, req)
}

// mayRetry reports whether the request's step may have another attempt.
func (r *Runner) mayRetry(req *activeRequest) bool {
	if req.stepAttempts >= r.config.MaxAttempts {
		return false
	}
	return r.config.RetryPercent < 0 || req.pool().retryBudget >= 1
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

// takeRetry takes one retry from the budget, which is unlimited if percent is negative.
func (p *pool) takeRetry(percent int) {
	if percent >= 0 {
		p.retryBudget--
	}
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
