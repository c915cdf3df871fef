package proxy

import (
	"time"

	"teaselplank/pace"
	"teaselplank/trace"
)

// attemptStalled makes another attempt at a request whose upstream is silent, if the
// request may be retried. The upstream may be healthy and resume sending, so the stalled
// attempt stays open. The attempt whose response continues first is chosen. If the
// other attempt or its stages fail, the request returns to the stalled one.
func (n *Node) attemptStalled(now time.Time, e AttemptStalled) {
	r := n.requests[e.Number]
	a := r.find(e.Attempt)
	if a == nil || r.stalled != nil {
		return
	}
	r.setExecuted(a, true)
	n.observe(now, a, pace.Failed)
	r.noteProgress(e.LastEventID, e.ResponseStarted)
	retries := n.mayRetry(now, r) && n.pools[r.service].retryBudget.Remaining(n.config.Budget, now, n.nodes) >= 1
	n.recordSince(now, a.sentAt, r, trace.AttemptStalled, "", "attempt", e.Attempt, "upstream", a.upstream.ID,
		"silent_ms", e.Silence.Milliseconds(), "retries", retries, "last_event", r.lastEventID,
		"left_ms", r.deadline.Sub(now).Milliseconds(), "version", n.version())
	if !retries {
		return
	}
	r.stalled, r.current, r.uncharged = a, nil, true
	n.retry(now, r, "silent")
}

// attemptContinued handles the end of an upstream's silence.
func (n *Node) attemptContinued(now time.Time, e AttemptContinued) {
	r := n.requests[e.Number]
	a := r.find(e.Attempt)
	if a == nil {
		return
	}
	n.recordSince(now, a.sentAt, r, trace.AttemptContinued, "", "attempt", e.Attempt, "upstream", a.upstream.ID,
		"silent_ms", e.Silence.Milliseconds(), "replaces", r.stalled == a && r.current != nil)
	n.choose(r, a)
}

// choose keeps an attempt whose response continues, and cancels the other one, if any.
func (n *Node) choose(r *request, a *attempt) {
	if a == r.stalled {
		n.cancel(r, r.current)
		n.returnToStalled(r, "")
		return
	}
	if r.stalled != nil {
		r.stalled.upstream.recordFailure()
		n.cancel(r, r.stalled)
	}
}

// cancel ends an attempt, which may be nil, without waiting for its response. The upstream
// may have executed it.
func (n *Node) cancel(r *request, a *attempt) {
	if a == nil {
		return
	}
	r.setExecuted(a, true)
	n.emit(Cancel{Number: r.Number, Attempt: a.number})
	n.endAttempt(r, a)
}

// returnToStalled makes the stalled attempt the current one again. The reason says why no
// other attempt could replace it; it is empty if the stalled attempt has continued.
func (n *Node) returnToStalled(r *request, reason Reason) {
	n.withdraw(r)
	a := r.stalled
	if a.started {
		n.releaseAll(r)
	}
	r.current, r.stalled, r.uncharged = a, nil, false
	if reason != "" {
		n.record(r, trace.Awaited, reason, "attempt", a.number, "upstream", a.upstream.ID)
	}
	if a.responding {
		r.apply(transitionDeliver)
		return
	}
	r.apply(transitionSend)
}
