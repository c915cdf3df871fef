package proxy

import (
	"net/http"
	"time"

	"teaselplank/fleet"
	"teaselplank/picker"
	"teaselplank/trace"
)

const (
	// maxSends bounds the attempts of a request, also those that reach nobody.
	maxSends = 5
	// basePriority and maxPriority bound the priority class of requests at
	// engines.
	basePriority = 3
	maxPriority  = 9
	// patienceShare is the part of the time left that the first attempt of a
	// request which may be repeated has to begin its answer.
	patienceShare = 0.45
	// leastLeft is the time below which a request is not sent any more.
	leastLeft = 20 * time.Millisecond
)

// send gives a request to an upstream, or ends it.
func (n *Node) send(now time.Time, r *request) {
	p := n.pools[r.service]
	if p == nil {
		n.giveUp(now, r, ReasonNoUpstream, upstreamPause)
		return
	}
	if r.deadline.Sub(now) < leastLeft {
		n.timedOut(now, TimedOut{Number: r.Number})
		return
	}
	chosen, ok := n.pick(p.candidates(now, r.tried), r)
	if !ok {
		n.giveUp(now, r, ReasonNoUpstream, upstreamPause)
		return
	}
	if !r.move(send) {
		return
	}
	if r.attempt == 0 {
		p.meter.Request(n.config.Budget, now)
	}
	u := p.byID[chosen.ID]
	r.attempt++
	r.tried = append(r.tried, u.ID)
	r.upstream, r.sentAt, r.unread = u, now, r.PromptTokens
	u.flight++
	u.unread += r.unread
	n.counts.Sent++
	n.note(r, trace.Sent, "", "attempt", r.attempt, "upstream", u.ID, "zone", u.Zone, "service", r.service,
		"flight", u.flight, "others", int(chosen.Others), "left_ms", r.deadline.Sub(now).Milliseconds())
	n.emit(n.sendEffect(now, r))
}

func (n *Node) pick(candidates []picker.Candidate, r *request) (picker.Candidate, bool) {
	if n.isEngine(r.service) {
		return picker.Prefix{Zone: r.home, Shared: r.Shared}.Pick(n.weigh(candidates))
	}
	return picker.Soonest{Zone: n.config.Zone}.Pick(candidates)
}

func (n *Node) isEngine(service string) bool {
	s := n.table.Service(service)
	return s != nil && s.Engine
}

func (n *Node) sendEffect(now time.Time, r *request) Send {
	s := Send{
		Number: r.Number, Attempt: r.attempt, Upstream: r.upstream.Upstream, Route: r.route,
		Account: r.account, Engine: n.isEngine(r.service), Priority: min(basePriority+r.rank, maxPriority),
		LastEvent: r.lastEvent, Deadline: r.deadline,
	}
	for i := range r.stages {
		if len(r.users(i)) == 0 {
			for _, result := range r.stages[i].results {
				s.Inputs = append(s.Inputs, result.Handle)
			}
		}
	}
	if r.route.Repeatable() && r.reached+1 < r.route.Attempts {
		s.Patience = time.Duration(patienceShare * float64(r.deadline.Sub(now)))
	}
	return s
}

// answered decides what to do with an answer, by its head.
func (n *Node) answered(now time.Time, e Answered) {
	r := n.requests[e.Number]
	if !r.current(e.Attempt) {
		return
	}
	u := r.upstream
	u.answered = now
	if e.Answer.Load != nil {
		u.report(now, *e.Answer.Load)
	}
	switch {
	case e.Answer.NotRun:
		n.refusedBy(now, r, u, e.Answer.Status)
	case e.Answer.Status >= http.StatusInternalServerError:
		r.reached++
		u.failed()
		if n.mayRepeat(now, r) {
			n.settle(r)
			n.repeat(now, r, "upstream answered an error")
			return
		}
		n.deliver(r)
	default:
		r.reached++
		n.deliver(r)
	}
}

func (n *Node) deliver(r *request) {
	if r.move(deliver) || r.status == answering {
		n.emit(Deliver{Number: r.Number, Attempt: r.attempt})
	}
}

// refusedBy handles an upstream's word that it has not run the request.
func (n *Node) refusedBy(now time.Time, r *request, u *upstream, status int) {
	switch status {
	case http.StatusMisdirectedRequest:
		u.suspect(now)
	case http.StatusConflict:
		// A result that the request needs is lost.
		n.settle(r)
		if r.restarts < maxRestarts {
			r.tried = nil
			n.restart(now, r)
			return
		}
		n.giveUp(now, r, ReasonStage, fullPause)
		return
	default:
		u.health.Hold(now.Add(fullFor))
	}
	n.settle(r)
	p := n.pools[r.service]
	if r.attempt >= maxSends || p == nil || !p.meter.Spend(n.config.Budget, now, n.nodes) {
		n.giveUp(now, r, ReasonFull, fullPause)
		return
	}
	n.repeat(now, r, "upstream refused")
}

// mayRepeat reports whether a request may be sent to one more upstream after one
// that may have run it, and takes the repeat from the budget.
func (n *Node) mayRepeat(now time.Time, r *request) bool {
	p := n.pools[r.service]
	if !r.route.Repeatable() || r.reached >= r.route.Attempts || r.attempt >= maxSends || p == nil {
		return false
	}
	if len(p.candidates(now, r.tried)) == 0 {
		return false
	}
	return p.meter.Spend(n.config.Budget, now, n.nodes)
}

func (n *Node) repeat(now time.Time, r *request, why string) {
	n.counts.Repeated++
	if r.lastEvent != "" {
		n.counts.Resumed++
	}
	n.note(r, trace.Repeated, "", "cause", why, "attempt", r.attempt, "last_event", r.lastEvent)
	for _, s := range r.stages {
		if s.freed && r.route.Kind == fleet.Stream {
			n.restart(now, r)
			return
		}
	}
	n.send(now, r)
}

func (n *Node) began(now time.Time, e Began) {
	r := n.requests[e.Number]
	if !r.current(e.Attempt) {
		return
	}
	r.upstream.unread -= r.unread
	r.unread = 0
	n.first[r.route.Name] = mean(n.first[r.route.Name], now.Sub(r.sentAt))
	n.noteSince(now, r.sentAt, r, trace.Began, "", "attempt", e.Attempt,
		"due_ms", r.due.Sub(now).Milliseconds())
	n.freeAll(r)
}

func (n *Node) finished(now time.Time, e Finished) {
	r := n.requests[e.Number]
	if !r.current(e.Attempt) {
		return
	}
	n.counts.Finished++
	if e.Status < http.StatusInternalServerError {
		r.upstream.succeeded(now, now.Sub(r.sentAt))
	}
	n.noteSince(now, r.arrived, r, trace.Answered, ReasonAnswered, "status", e.Status, "attempts", r.attempt,
		"upstream", r.upstream.ID, "due_ms", r.due.Sub(now).Milliseconds())
	n.end(r)
}

// broke decides what follows an attempt without a whole answer.
func (n *Node) broke(now time.Time, e Broke) {
	r := n.requests[e.Number]
	if !r.current(e.Attempt) {
		return
	}
	u := r.upstream
	n.settle(r)
	r.opened = r.opened || e.Opened
	if e.LastEvent != "" {
		r.lastEvent = e.LastEvent
	}
	n.noteSince(now, r.sentAt, r, trace.FailedAttempt, "", "failure", string(e.Failure), "attempt", e.Attempt,
		"upstream", u.ID)
	if e.Failure == Unreached || e.Failure == Unanswered || e.Failure == Withheld {
		if e.Failure != Withheld {
			u.suspect(now)
		}
		if e.Failure == Unanswered {
			n.suspectZone(now, u.Zone)
		}
		if r.attempt < maxSends {
			n.repeat(now, r, string(e.Failure))
			return
		}
		n.giveUp(now, r, ReasonBroken, fullPause)
		return
	}
	r.ran = true
	if r.status == sending {
		r.reached++
	}
	u.failed()
	if n.mayRepeat(now, r) {
		n.repeat(now, r, string(e.Failure))
		return
	}
	n.giveUp(now, r, ReasonBroken, fullPause)
}
