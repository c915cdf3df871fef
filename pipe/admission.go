package pipe

import (
	"time"

	"teaselplank/wire"
)

// submit admits a request to the queue of its first pool, or refuses it before any
// work is spent on it.
func (r *Runner) submit(now time.Time, q Request) {
	r.counts.Submitted++
	req := &activeRequest{spec: q, pools: r.poolsOf(q), status: queued, input: q.Input}
	for _, p := range req.pools {
		p.shares.recordArrival(now, q.Account)
	}
	if reason, wait := r.refusal(now, req); reason != "" {
		r.refuse(q, reason, wait)
		return
	}
	r.requests[q.ID] = req
	r.enqueue(now, req)
	r.scheduleCheck(req)
}

// refusal returns the reason for refusing a request and the delay before the caller
// may retry. The reason is empty if the request is admitted.
func (r *Runner) refusal(now time.Time, req *activeRequest) (Reason, time.Duration) {
	q, firstPool := req.spec, req.pools[0]
	expectedWait := firstPool.expectedWait(now)
	if !now.Before(q.Deadline) {
		return ReasonDeadline, 0
	}
	for _, s := range q.Steps {
		if !r.table.HasWorkers(s.Pool) {
			return ReasonNoWorker, noWorkerRetryAfter
		}
	}
	if firstPool.queue.Len() >= r.config.MaxQueue {
		return ReasonFull, expectedWait
	}
	if r.config.Admission && !r.withinShares(now, req) {
		return ReasonShare, shareRetryAfter
	}
	if r.config.EarlyRefusal && now.Add(req.expectedTimeLeft(now)).After(q.Deadline) {
		return ReasonTooLate, expectedWait
	}
	return "", 0
}

// withinShares reports whether the request's account is within its share of every
// pool that the request needs.
func (r *Runner) withinShares(now time.Time, req *activeRequest) bool {
	for _, p := range req.pools {
		if !p.shares.admit(now, req.spec.Account, r.weights) {
			return false
		}
	}
	return true
}

// Retry delays returned to callers. noWorkerRetryAfter and shareRetryAfter are used
// where the queue gives no estimate; the other two bound the estimates.
const (
	noWorkerRetryAfter = 2 * time.Second
	shareRetryAfter    = time.Second
	minRetryAfter      = 200 * time.Millisecond
	maxRetryAfter      = 10 * time.Second
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
	retryAfter := min(max(wait, minRetryAfter), maxRetryAfter)
	r.emit(Answer{Request: q.ID, Outcome: wire.NotRun, Reason: reason, RetryAfter: retryAfter})
}

// poolsOf returns the pool of each step.
func (r *Runner) poolsOf(q Request) []*pool {
	pools := make([]*pool, len(q.Steps))
	for i, s := range q.Steps {
		pools[i] = r.pool(s.Pool)
		pools[i].stream = s.Stream
	}
	return pools
}

// expectedTimeLeft estimates how long the request still takes from its current stage
// on: the median service time and the expected queueing time of each stage.
func (req *activeRequest) expectedTimeLeft(now time.Time) time.Duration {
	total := req.expectedServiceTime()
	for _, p := range req.pools[req.stage:] {
		total += p.expectedWait(now)
	}
	return total
}

// expectedServiceTime is expectedTimeLeft without the queueing time. A stage with too
// few latency samples counts as zero.
func (req *activeRequest) expectedServiceTime() time.Duration {
	var total time.Duration
	tokens := req.nextToken
	for i := req.stage; i < len(req.pools); i++ {
		p := req.pools[i]
		if !p.latency.known {
			continue
		}
		expected := p.latency.p50
		if req.spec.Steps[i].Stream {
			expected = p.firstTokenLatency.p50 + expected*time.Duration(max(req.spec.Tokens-tokens, 0))
			tokens = 0
		}
		total += expected
	}
	return total
}

// expectedWait estimates the queueing time of a step that enters the queue now.
func (p *pool) expectedWait(now time.Time) time.Duration {
	waiting := p.queue.Len() + len(p.retries)
	if waiting == 0 {
		return 0
	}
	rate := p.answerRate.value(now)
	if rate <= 0 {
		return p.meanWait
	}
	return time.Duration(float64(waiting) / rate * float64(time.Second))
}
