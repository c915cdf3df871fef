package proxy

import (
	"net/http"
	"time"

	"teaselplank/fleet"
	"teaselplank/picker"
	"teaselplank/trace"
)

const (
	// maxAttempts bounds the attempts of a request, including those that do not reach
	// an upstream.
	maxAttempts = 5
	// basePriority and maxPriority bound the priority class of requests to engines.
	basePriority = 3
	maxPriority  = 9
	// headerTimeoutShare is the share of the remaining time in which an attempt must
	// start its response while the request can still be retried.
	headerTimeoutShare = 0.45
	// minTimeLeft is the minimum time before the deadline at which a request is still
	// sent.
	minTimeLeft = 20 * time.Millisecond
)

// send sends a request to an upstream, or ends it if it cannot be sent.
func (n *Node) send(now time.Time, r *request) {
	p := n.pools[r.service]
	if p == nil {
		n.fail(now, r, ReasonNoUpstream, upstreamRetryAfter)
		return
	}
	if r.deadline.Sub(now) < minTimeLeft {
		n.timedOut(now, TimedOut{Number: r.Number})
		return
	}
	chosen, ok := n.pick(p.candidates(now, r), r)
	if !ok {
		n.fail(now, r, ReasonNoUpstream, max(upstreamRetryAfter, p.pauseLeft(now, r)))
		return
	}
	if !r.apply(transitionSend) {
		return
	}
	if r.attempt == 0 {
		p.retryBudget.AddRequest(n.config.Budget, now)
	}
	u := p.byID[chosen.ID]
	r.attempt++
	r.tried = append(r.tried, u.ID)
	r.upstream, r.sentAt, r.pendingTokens = u, now, r.PromptTokens
	u.inFlight++
	u.pendingTokens += r.pendingTokens
	n.counts.Sent++
	n.record(r, trace.Sent, "", append(r.origin.attrs(now), "attempt", r.attempt, "upstream", u.ID, "zone", u.Zone, "service", r.service,
		"software", u.Version, "flight", u.inFlight, "others", int(chosen.OthersInFlight), "left_ms", r.deadline.Sub(now).Milliseconds())...)
	n.recordOrigin(now, r)
	n.emit(n.sendEffect(now, r))
}

func (n *Node) pick(candidates []picker.Candidate, r *request) (picker.Candidate, bool) {
	if n.isEngine(r.service) {
		return picker.PrefixAffinity{Zone: r.homeZone, SharedPrefix: r.SharedPrefix}.Pick(n.setZoneWeights(candidates))
	}
	return picker.LowestLatency{Zone: n.config.Zone}.Pick(candidates)
}

func (n *Node) isEngine(service string) bool {
	s := n.table.Service(service)
	return s != nil && s.Engine
}

func (n *Node) sendEffect(now time.Time, r *request) Send {
	s := Send{
		Number: r.Number, Attempt: r.attempt, Upstream: r.upstream.Upstream, Route: r.route,
		Account: r.account, Engine: n.isEngine(r.service), Priority: min(basePriority+r.rank, maxPriority),
		LastEventID: r.lastEventID, Deadline: r.deadline,
	}
	for i := range r.stages {
		if len(r.consumers(i)) == 0 {
			for _, result := range r.stages[i].results {
				s.Inputs = append(s.Inputs, result.Handle)
			}
		}
	}
	if r.route.Retryable() && r.executions+1 < r.route.Attempts {
		s.HeaderTimeout = time.Duration(headerTimeoutShare * float64(r.deadline.Sub(now)))
	}
	return s
}

// headReceived decides what to do with a response after its head has arrived.
func (n *Node) headReceived(now time.Time, e HeadReceived) {
	r := n.requests[e.Number]
	if !r.isCurrent(e.Attempt) {
		return
	}
	u := r.upstream
	u.lastResponse = now
	if e.Head.Load != nil {
		u.setLoad(now, *e.Head.Load)
	}
	switch {
	case e.Head.NotExecuted:
		n.refused(now, r, u, e.Head.Status)
	case e.Head.Status >= http.StatusInternalServerError:
		r.executions++
		u.recordFailure()
		if n.allowRetry(now, r) {
			n.endAttempt(r)
			n.retry(now, r, "upstream returned an error")
			return
		}
		n.deliver(r)
	default:
		r.executions++
		n.deliver(r)
	}
}

func (n *Node) deliver(r *request) {
	if r.apply(transitionDeliver) || r.status == statusResponding {
		n.emit(Deliver{Number: r.Number, Attempt: r.attempt})
	}
}

// refused handles a response which states that the upstream did not execute the
// request.
func (n *Node) refused(now time.Time, r *request, u *upstream, status int) {
	switch status {
	case http.StatusMisdirectedRequest:
		u.markSuspect(now)
	case http.StatusConflict:
		// A stage result that the request needs is lost.
		n.endAttempt(r)
		if r.restarts < maxRestarts {
			r.tried = nil
			n.restart(now, r)
			return
		}
		n.fail(now, r, ReasonStageFailed, busyRetryAfter)
		return
	default:
		u.health.Hold(now.Add(refusalHold))
	}
	n.endAttempt(r)
	p := n.pools[r.service]
	if p == nil {
		n.fail(now, r, ReasonNoUpstream, upstreamRetryAfter)
		return
	}
	if r.attempt >= maxAttempts || !p.retryBudget.Spend(n.config.Budget, now, n.nodes) {
		n.fail(now, r, ReasonFull, max(busyRetryAfter, p.pauseLeft(now, r)))
		return
	}
	n.retry(now, r, "upstream refused")
}

// allowRetry reports whether a request may be sent to another upstream after an
// attempt that may have been executed. If so, it charges the retry to the budget.
func (n *Node) allowRetry(now time.Time, r *request) bool {
	p := n.pools[r.service]
	if !r.route.Retryable() || r.executions >= r.route.Attempts || r.attempt >= maxAttempts || p == nil {
		return false
	}
	if len(p.candidates(now, r)) == 0 {
		return false
	}
	return p.retryBudget.Spend(n.config.Budget, now, n.nodes)
}

func (n *Node) retry(now time.Time, r *request, cause string) {
	n.counts.Repeated++
	if r.lastEventID != "" {
		n.counts.Resumed++
	}
	n.record(r, trace.Retried, "", append(r.origin.attrs(now), "cause", cause, "attempt", r.attempt, "last_event", r.lastEventID)...)
	for _, s := range r.stages {
		if s.released && r.route.Kind == fleet.Stream {
			n.restart(now, r)
			return
		}
	}
	n.send(now, r)
}

func (n *Node) firstEvent(now time.Time, e FirstEvent) {
	r := n.requests[e.Number]
	if !r.isCurrent(e.Attempt) {
		return
	}
	r.upstream.pendingTokens -= r.pendingTokens
	r.pendingTokens = 0
	if r.origin.source == OriginUnknown {
		r.origin = streamOrigin{version: r.upstream.Version, source: OriginAnswer, learned: now}
	}
	n.firstEventTimes[r.route.Name] = movingAverage(n.firstEventTimes[r.route.Name], now.Sub(r.sentAt))
	n.recordSince(now, r.sentAt, r, trace.AnswerBegan, "", "attempt", e.Attempt,
		"due_ms", r.due.Sub(now).Milliseconds())
	n.releaseAll(r)
}

// streamStalled ends an attempt whose stream has stalled if the stream may be resumed at
// another upstream. Otherwise the upstream may only be slow, and aborting the stream would
// lose what can still come.
func (n *Node) streamStalled(now time.Time, e StreamStalled) {
	r := n.requests[e.Number]
	if !r.isCurrent(e.Attempt) || r.interrupted {
		return
	}
	r.interrupted = n.allowRetry(now, r)
	n.recordSince(now, r.sentAt, r, trace.StreamStalled, "", "attempt", e.Attempt, "upstream", r.upstream.ID, "resumes", r.interrupted)
	if r.interrupted {
		n.emit(Interrupt{Number: r.Number, Attempt: e.Attempt})
	}
}

func (n *Node) finished(now time.Time, e Finished) {
	r := n.requests[e.Number]
	if !r.isCurrent(e.Attempt) {
		return
	}
	n.counts.Finished++
	n.answerTimes[r.route.Name] = movingAverage(n.answerTimes[r.route.Name], now.Sub(r.arrived))
	if e.Status < http.StatusInternalServerError {
		r.upstream.recordSuccess(now, now.Sub(r.sentAt))
	}
	n.recordSince(now, r.arrived, r, trace.Answered, ReasonAnswered, "status", e.Status, "attempts", r.attempt,
		"upstream", r.upstream.ID, "due_ms", r.due.Sub(now).Milliseconds())
	n.end(r)
}

// attemptFailed retries or ends a request after an attempt without a complete
// response.
func (n *Node) attemptFailed(now time.Time, e AttemptFailed) {
	r := n.requests[e.Number]
	if !r.isCurrent(e.Attempt) {
		return
	}
	u, interrupted := r.upstream, r.interrupted
	n.endAttempt(r)
	r.responseStarted = r.responseStarted || e.ResponseStarted
	if e.LastEventID != "" {
		r.lastEventID = e.LastEventID
	}
	n.recordSince(now, r.sentAt, r, trace.AttemptFailed, "", "failure", string(e.Failure), "attempt", e.Attempt,
		"upstream", u.ID)
	if e.Failure == Unreachable || e.Failure == ConnectTimeout || e.Failure == UpstreamUnusable {
		if e.Failure != UpstreamUnusable {
			u.markSuspect(now)
		}
		if e.Failure == ConnectTimeout {
			n.markZoneSuspect(now, u.Zone)
		}
		if r.attempt < maxAttempts {
			n.retry(now, r, string(e.Failure))
			return
		}
		n.fail(now, r, ReasonUpstreamFailed, busyRetryAfter)
		return
	}
	r.outcomeUnknown = true
	if r.status == statusSending {
		r.executions++
	}
	u.recordFailure()
	if interrupted || n.allowRetry(now, r) {
		n.retry(now, r, string(e.Failure))
		return
	}
	n.fail(now, r, ReasonUpstreamFailed, busyRetryAfter)
}
