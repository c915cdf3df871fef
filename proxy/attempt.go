package proxy

import (
	"net/http"
	"slices"
	"time"

	"teaselplank/pace"
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
	// stallShare is the share of the remaining time after which an attempt without a
	// head is reported as stalled, while the request can still be retried.
	stallShare = 0.45
	// minTimeLeft is the minimum time before the deadline at which a request is still
	// sent.
	minTimeLeft = 20 * time.Millisecond
)

// An attempt is one try to get the response of a request from an upstream.
type attempt struct {
	// number counts the attempts of a request from 1.
	number   int
	upstream *upstream
	sentAt   time.Time
	// pendingTokens is what the attempt adds to those of its upstream.
	pendingTokens int
	// candidate is the upstream as it was picked. work is how long the part of the response by
	// which speeds are measured takes there at the usual speed, and slowness how much longer it
	// was expected to take when the request was sent. All are zero if speeds are not in use.
	candidate picker.Candidate
	work      time.Duration
	slowness  float64
	// executed is true if the executions of the request include the attempt.
	executed bool
	// responding is true once the response of the attempt is forwarded, and started once
	// its first event has arrived, at startedAt.
	responding bool
	started    bool
	startedAt  time.Time
	// sound is true once the attempt has shown that the parts of its prompt are sound.
	sound bool
}

// find returns the attempt with a number, or nil if it has ended.
func (r *request) find(number int) *attempt {
	if r == nil {
		return nil
	}
	for _, a := range []*attempt{r.current, r.stalled} {
		if a != nil && a.number == number {
			return a
		}
	}
	return nil
}

// setExecuted sets whether the executions of the request include an attempt.
func (r *request) setExecuted(a *attempt, executed bool) {
	if a.executed == executed {
		return
	}
	a.executed = executed
	if executed {
		r.executions++
	} else {
		r.executions--
	}
}

// endAttempt removes an attempt, which may be nil, from its request and from the load of
// its upstream.
func (n *Node) endAttempt(r *request, a *attempt) {
	if a == nil {
		return
	}
	a.stopWaiting()
	a.upstream.inFlight--
	a.upstream.pendingTokens -= a.pendingTokens
	a.pendingTokens = 0
	if a == r.stalled {
		r.stalled = nil
	} else {
		r.current = nil
	}
}

// send sends a request to an upstream, or ends it if it cannot be sent.
func (n *Node) send(now time.Time, r *request) {
	p := n.pools[r.service]
	if p == nil {
		n.fail(now, r, ReasonNoUpstream, upstreamRetryAfter)
		return
	}
	if r.deadline.Sub(now) < n.minResponseTime(r) {
		n.endLate(now, r)
		return
	}
	if n.holdsBack(now, r) {
		n.fail(now, r, ReasonPoison, heldBackRetryAfter)
		return
	}
	if r.isUntouched() && n.mayOutlastStop(now, r, n.responseTimes) {
		n.reply(now, r, http.StatusServiceUnavailable, ReasonStopping, busyRetryAfter)
		return
	}
	n.restrictVersion(now, r)
	candidates := n.weighted(now, p, r, p.dueForCheck(now, p.candidates(now, r)))
	chosen, ok := n.policy(r, r.homeZone).Pick(candidates)
	if !ok {
		n.failWithoutUpstream(now, r, p)
		return
	}
	if r.uncharged && !p.retryBudget.Spend(n.config.Budget, now, n.nodes) {
		n.fail(now, r, ReasonBudget, busyRetryAfter)
		return
	}
	r.uncharged = false
	if !r.apply(transitionSend) {
		return
	}
	if r.attempts == 0 {
		p.retryBudget.AddRequest(n.config.Budget, now)
	} else {
		n.countRetry(r)
	}
	u := p.byID[chosen.ID]
	r.attempts++
	r.tried = append(r.tried, u.ID)
	newConn := slices.Contains(r.asked, u.ID)
	r.asked = append(r.asked, u.ID)
	r.current = &attempt{number: r.attempts, upstream: u, sentAt: now, pendingTokens: r.PromptTokens}
	n.expect(now, p, r, chosen)
	u.limit.Take(now)
	u.inFlight++
	u.pendingTokens += r.current.pendingTokens
	n.counts.Sent++
	n.record(r, trace.Sent, "", append(slices.Concat(r.origin.attrs(now), n.stopAttrs(now, r), n.speedAttrs(now, p, r.current)), "attempt", r.attempts, "upstream", u.ID, "zone", u.Zone, "service", r.service,
		"software", u.Version, "flight", u.inFlight, "others", int(chosen.OthersInFlight), "left_ms", r.deadline.Sub(now).Milliseconds(), "limit_share", u.limit.Rate())...)
	n.recordOrigin(now, r, r.current)
	n.emit(n.sendEffect(now, r, newConn))
}

// alwaysSentShare divides the time of a request to give the time left with which it is sent
// after its stages in any case.
const alwaysSentShare = 2

// minResponseTime returns the time before its deadline at which a request is still sent. A
// response that is cut by the deadline costs its upstream as much as a whole one. After stages
// that took long, only a response that is likely to be in time is worth it. A request that has
// much of its time left is sent whatever is known, as that may have changed.
func (n *Node) minResponseTime(r *request) time.Duration {
	switch {
	case !r.isUntouched():
		return minTimeLeft
	case r.hasStages():
		available := r.deadline.Sub(r.arrived)
		return max(minTimeLeft, min(n.responseTimes.likelyBound(r)+minTimeLeft, available/alwaysSentShare))
	}
	return max(minTimeLeft, n.responseTimes.lowerBound(r))
}

// isUntouched reports whether no upstream may have executed the request, so that its
// client may send it again.
func (r *request) isUntouched() bool {
	return r.executions == 0 && r.stalled == nil && !r.responseStarted
}

func (n *Node) countRetry(r *request) {
	n.counts.Repeated++
	if r.lastEventID != "" {
		n.counts.Resumed++
	}
}

// endLate ends a request that is too late to be sent, unless a stalled attempt may still
// have a response.
func (n *Node) endLate(now time.Time, r *request) {
	if r.stalled != nil {
		n.returnToStalled(r, ReasonTimeout)
		return
	}
	n.timedOut(now, TimedOut{Number: r.Number})
}

func (n *Node) isEngine(service string) bool {
	s := n.table.Service(service)
	return s != nil && s.Engine
}

func (n *Node) sendEffect(now time.Time, r *request, newConn bool) Send {
	s := Send{
		Number: r.Number, Attempt: r.current.number, Upstream: r.current.upstream.Upstream, Route: r.route,
		Account: r.account, Engine: n.isEngine(r.service), Priority: min(basePriority+r.rank, maxPriority),
		LastEventID: r.lastEventID, AllowGap: n.pools[r.service].hasGaps, Deadline: r.deadline, NewConn: newConn,
	}
	for i := range r.stages {
		if len(r.consumers(i)) == 0 {
			for _, result := range r.stages[i].results {
				s.Inputs = append(s.Inputs, result.Handle)
			}
		}
	}
	if r.route.Retryable() && r.executions+1 < r.route.Attempts {
		s.StallAfter = time.Duration(stallShare * float64(r.deadline.Sub(now)))
	}
	return s
}

// headReceived decides what to do with a response after its head has arrived.
func (n *Node) headReceived(now time.Time, e HeadReceived) {
	r := n.requests[e.Number]
	a := r.find(e.Attempt)
	if a == nil {
		return
	}
	u := a.upstream
	u.lastResponse = now
	if e.Head.Load != nil {
		n.observeLoad(now, u, *e.Head.Load)
	}
	if e.Head.NotExecuted {
		if e.Head.Status == http.StatusServiceUnavailable {
			n.observe(now, a, pace.Failed)
		}
		n.refused(now, r, a, e.Head.Status)
		return
	}
	r.setExecuted(a, true)
	if !r.route.Retryable() && promisesNotExecuted(e.Head.Status) {
		n.refusedWithoutProof(now, r, a, e.Head.Status)
		return
	}
	if e.Head.Status >= http.StatusInternalServerError || r.responseStarted && e.Head.Status != http.StatusOK {
		u.recordFailure()
		n.observe(now, a, pace.Failed)
		n.errorReceived(now, r, a)
		return
	}
	n.deliver(r, a)
}

// promisesNotExecuted reports whether a status tells a client that its request was not executed,
// and that it may send the request again.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refusedWithoutProof ends a request that must not be executed twice, after an upstream has
// returned a status that promises more than its response states: the upstream may have executed
// the request.
func (n *Node) refusedWithoutProof(now time.Time, r *request, a *attempt, status int) {
	outcome := pace.Answered
	if status >= http.StatusInternalServerError {
		a.upstream.recordFailure()
		outcome = pace.Failed
	}
	n.observe(now, a, outcome)
	n.showSound(now, r.whole)
	n.recordSince(now, a.sentAt, r, trace.AttemptFailed, "", "failure", string(RefusalUnproven), "attempt", a.number,
		"upstream", a.upstream.ID, "status", status)
	n.endAttempt(r, a)
	r.lastFailure = RefusalUnproven
	n.fail(now, r, ReasonRefusalUnproven, 0)
}

// errorReceived retries a request after an upstream has returned an error. If that is
// not possible, it forwards the error, unless a stalled attempt may still have a response
// or the client already has part of one.
func (n *Node) errorReceived(now time.Time, r *request, a *attempt) {
	n.showSound(now, r.whole)
	if a == r.stalled {
		n.endAttempt(r, a) // Another attempt is being made.
		return
	}
	if n.allowRetry(now, r) {
		n.endAttempt(r, a)
		n.retry(now, r, "upstream returned an error")
		return
	}
	if r.stalled != nil || r.responseStarted {
		n.endAttempt(r, a)
		n.fail(now, r, ReasonUpstreamFailed, 0)
		return
	}
	n.deliver(r, a)
}

// deliver forwards the response of an attempt. Its events, or the whole of a plain answer,
// decide whether it replaces a stalled attempt.
func (n *Node) deliver(r *request, a *attempt) {
	a.responding = true
	if a == r.current && !r.apply(transitionDeliver) {
		return
	}
	n.emit(Deliver{Number: r.Number, Attempt: a.number})
}

// refused handles a response which states that the upstream did not execute the
// request.
func (n *Node) refused(now time.Time, r *request, a *attempt, status int) {
	u := a.upstream
	wasStalled := a == r.stalled
	r.setExecuted(a, false)
	n.endAttempt(r, a)
	switch {
	case status == http.StatusMisdirectedRequest:
		u.markSuspect(now)
	case status != http.StatusConflict:
		u.health.Hold(now.Add(refusalHold))
	}
	if wasStalled {
		return // Another attempt is being made.
	}
	if status == http.StatusConflict {
		n.resultLost(now, r)
		return
	}
	p := n.pools[r.service]
	if p == nil {
		n.fail(now, r, ReasonNoUpstream, upstreamRetryAfter)
		return
	}
	if r.attempts >= maxAttempts || !p.retryBudget.Spend(n.config.Budget, now, n.nodes) {
		n.fail(now, r, ReasonFull, max(busyRetryAfter, p.pauseLeft(now, r)))
		return
	}
	n.retry(now, r, "upstream refused")
}

// resultLost runs the stages again after a result that an upstream needs was lost.
func (n *Node) resultLost(now time.Time, r *request) {
	if r.losses >= maxLosses {
		n.fail(now, r, ReasonStageFailed, busyRetryAfter)
		return
	}
	r.losses++
	r.tried = nil
	if r.stalled != nil {
		r.tried = []string{r.stalled.upstream.ID}
	}
	n.restart(now, r)
}

// mayRetry reports whether a request may be sent to another upstream after an attempt
// that may have been executed, apart from the budget.
func (n *Node) mayRetry(now time.Time, r *request) bool {
	p := n.pools[r.service]
	if !r.route.Retryable() || r.executions >= r.route.Attempts || r.attempts >= maxAttempts || p == nil {
		return false
	}
	return len(p.candidates(now, r)) > 0 && n.poisonIn(now, r) == nil
}

// allowRetry reports whether a request may be retried after an attempt that may have been
// executed. If so, it charges the retry to the budget.
func (n *Node) allowRetry(now time.Time, r *request) bool {
	return n.mayRetry(now, r) && n.pools[r.service].retryBudget.Spend(n.config.Budget, now, n.nodes)
}

func (n *Node) retry(now time.Time, r *request, cause string) {
	n.record(r, trace.Retried, "", append(r.origin.attrs(now), "cause", cause, "attempt", r.attempts, "last_event", r.lastEventID)...)
	if r.lacksResults() {
		n.restart(now, r)
		return
	}
	n.send(now, r)
}

// lacksResults reports whether results that an upstream needs were released or are not
// complete.
func (r *request) lacksResults() bool {
	for i, s := range r.stages {
		if r.pieces(i) > 0 && len(r.consumers(i)) == 0 && (s.released || !s.done) {
			return true
		}
	}
	return false
}

func (n *Node) firstEvent(now time.Time, e FirstEvent) {
	r := n.requests[e.Number]
	a := r.find(e.Attempt)
	if a == nil || a.started {
		return
	}
	n.choose(r, a)
	a.started, a.startedAt = true, now
	a.stopWaiting()
	if n.isEngine(r.service) {
		n.observeSpeed(now, r, a)
	}
	n.observe(now, a, pace.Answered)
	a.upstream.pendingTokens -= a.pendingTokens
	a.pendingTokens = 0
	n.setOrigin(now, r, a)
	n.firstEventTimes[r.route.Name] = movingAverage(n.firstEventTimes[r.route.Name], now.Sub(a.sentAt))
	n.observeBegin(now, r, a)
	n.recordSince(now, a.sentAt, r, trace.AnswerBegan, "", "attempt", e.Attempt,
		"due_ms", r.due.Sub(now).Milliseconds())
	n.releaseAll(r)
}

func (n *Node) finished(now time.Time, e Finished) {
	r := n.requests[e.Number]
	a := r.find(e.Attempt)
	if a == nil {
		return
	}
	n.choose(r, a)
	n.counts.Finished++
	if p := n.pools[r.service]; p != nil && e.HasGaps {
		p.hasGaps = true
	}
	n.completedParts(now, r, e.Status)
	if e.Status < http.StatusBadRequest {
		// Errors end sooner than answers.
		n.answerTimes.add(r, now.Sub(r.arrived))
		n.responseTimes.add(r, now.Sub(a.sentAt))
		if !n.isEngine(r.service) {
			n.observeSpeed(now, r, a)
		}
	}
	if e.Status < http.StatusInternalServerError {
		a.upstream.recordSuccess(now, now.Sub(a.sentAt))
		if !a.started {
			n.observe(now, a, pace.Answered)
		}
	}
	n.recordSince(now, r.arrived, r, trace.Answered, ReasonAnswered, "status", e.Status, "attempts", r.attempts,
		"upstream", a.upstream.ID, "due_ms", r.due.Sub(now).Milliseconds())
	n.end(r)
}

// attemptFailed retries or ends a request after an attempt without a complete
// response.
func (n *Node) attemptFailed(now time.Time, e AttemptFailed) {
	r := n.requests[e.Number]
	a := r.find(e.Attempt)
	if a == nil {
		return
	}
	wasStalled := a == r.stalled
	n.endAttempt(r, a)
	r.lastFailure = e.Failure
	r.noteProgress(e.LastEventID, e.ResponseStarted)
	n.recordSince(now, a.sentAt, r, trace.AttemptFailed, "", "failure", string(e.Failure), "attempt", e.Attempt,
		"upstream", a.upstream.ID, "born", a.upstream.Born, "silent_ms", e.Silence.Milliseconds(), "cause", e.Cause,
		"head", a.responding, "events", a.started, "last_event", r.lastEventID, "parts", r.PromptParts, "digest", r.Digest)
	if e.Failure.Unsent() {
		r.setExecuted(a, false)
		n.suspectUnreachable(now, a.upstream, e.Failure)
	} else {
		r.setExecuted(a, true)
		a.upstream.recordFailure()
	}
	n.observeFailure(now, a, e.Failure)
	n.suspectParts(now, r, a, e.Failure)
	switch {
	case wasStalled:
		// Another attempt is being made.
	case e.Failure.Unsent() && r.attempts < maxAttempts, !e.Failure.Unsent() && n.allowRetry(now, r):
		n.retry(now, r, string(e.Failure))
	default:
		n.fail(now, r, ReasonUpstreamFailed, busyRetryAfter)
	}
}

// suspectUnreachable marks an upstream that could not be reached, and its zone if that
// may be cut off.
func (n *Node) suspectUnreachable(now time.Time, u *upstream, f Failure) {
	if f != UpstreamUnusable {
		u.markSuspect(now)
	}
	if f == ConnectTimeout {
		n.markZoneSuspect(now, u.Zone)
	}
}

// noteProgress records what the client has of the response.
func (r *request) noteProgress(lastEventID string, responseStarted bool) {
	r.responseStarted = r.responseStarted || responseStarted
	if lastEventID != "" {
		r.lastEventID = lastEventID
	}
}
