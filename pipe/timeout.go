package pipe

import (
	"slices"
	"time"
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

// timeoutAt returns the time from which an attempt without further progress counts as
// silent.
func (r *Runner) timeoutAt(req *activeRequest, a *attempt) time.Time {
	since := a.lastProgress
	if a.keptAt.After(since) {
		since = a.keptAt
	}
	return since.Add(r.attemptTimeout(req.pool(), req.step(), !a.firstTokenAt.IsZero()))
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
// have timed out. It keeps an attempt that no other can replace, as its worker may be slow
// but sound, and asks again later.
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
		if len(req.attempts) == 1 && !r.mayRetry(req) {
			r.keep(now, req.findAttempt(a.ref))
			continue
		}
		if r.config.Cancel {
			r.emit(Cancel{Ref: a.ref, Worker: a.worker})
		}
		r.failed(now, Failed{Ref: a.ref, Failure: ResponseTimeout, Tokens: req.nextToken})
	}
	r.scheduleCheck(req)
}

// keep lets an attempt that has timed out go on. Its worker counts as suspect, so that
// others get the next calls.
func (r *Runner) keep(now time.Time, a *attempt) {
	a.keptAt = now
	r.table.MarkSilent(now, a.worker.ID)
}
