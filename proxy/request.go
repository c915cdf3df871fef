package proxy

import (
	"net/http"
	"time"

	"teaselplank/batch"
	"teaselplank/fleet"
	"teaselplank/state"
	"teaselplank/trace"
)

// status is the state of a request, as far as its newest attempt goes: a stalled attempt
// may be responding while the stages run again.
type status string

const (
	// statusStaging means that the stages of the request are running.
	statusStaging status = "staging"
	// statusSending means that the request is at an upstream whose response has not
	// started.
	statusSending status = "sending"
	// statusResponding means that a response is being forwarded to the client.
	statusResponding status = "answering"
	statusEnded      status = "ended"
)

// transition is an input of the state machine of requests.
type transition string

const (
	transitionStage   transition = "stage"
	transitionSend    transition = "send"
	transitionDeliver transition = "deliver"
	transitionEnd     transition = "end"
)

var machine = state.New("request",
	state.Transition[status, transition]{Event: transitionStage, From: []status{statusStaging, statusSending, statusResponding}, To: statusStaging},
	state.Transition[status, transition]{Event: transitionSend, From: []status{statusStaging, statusSending, statusResponding}, To: statusSending},
	state.Transition[status, transition]{Event: transitionDeliver, From: []status{statusStaging, statusSending, statusResponding}, To: statusResponding},
	state.Transition[status, transition]{Event: transitionEnd, From: []status{statusStaging, statusSending, statusResponding}, To: statusEnded},
)

// A request is a client request in progress.
type request struct {
	Request
	// whole are the parts that stand for the request as a whole, or nothing if its digest is
	// not known.
	whole   []string
	route   *fleet.Route
	service string
	account string
	rank    int
	status  status
	arrived time.Time
	// due is the time by which the request must be answered to meet its objective.
	due      time.Time
	deadline time.Time
	stages   []stageState
	// stageOrder holds the stages that have pieces, in an order in which they can run.
	stageOrder []int
	// homeZone is the zone of the engine that the request is likely to go to. dataZone
	// is the zone that holds most bytes of its stage results, initially homeZone; its
	// stages run there if possible.
	homeZone string
	dataZone string
	// slowness is that of the engine that the request was likely to go to when it arrived, or 0
	// if it is not known. readyAt is when the last of its stages ended.
	slowness float64
	readyAt  time.Time
	// restarts is the number of times that the stages were run again, and losses the
	// number of those because a result was lost.
	restarts int
	losses   int
	// attempts is the number of attempts made, and executions the number of those that an
	// upstream may have executed.
	attempts   int
	executions int
	// tried lists the upstreams that attempts were made at since the stages were run last, and
	// asked those of all attempts.
	tried, asked []string
	// current is the newest attempt, or nil if it has ended or none was made.
	current *attempt
	// uncharged is true if the next attempt is a retry that the budget has not been
	// charged for, because it may turn out to be needless.
	uncharged bool
	// stalled is an attempt whose upstream is silent, or nil. It stays open until the
	// response of another attempt goes on, so that the request can return to it. No
	// response of another attempt goes on while it is set.
	stalled *attempt
	// responseStarted is true once the client has part of a response.
	responseStarted bool
	lastEventID     string
	// lastFailure is how the last failed attempt ended, or empty.
	lastFailure Failure
	// origin is the software version that began the stream. findingOrigin is true while
	// the request waits until the node has looked for it.
	origin        streamOrigin
	findingOrigin bool
	// records counts the records of the version, and sharedVersions has those that were to be
	// written to the store.
	records        int
	sharedVersions []string
	// onlyVersion is the version that the next attempt is restricted to, if restricted is true.
	onlyVersion string
	restricted  bool
}

// A stageState is the progress of one stage.
type stageState struct {
	started   bool
	startedAt time.Time
	done      bool
	released  bool
	results   []batch.Result
}

// apply applies a transition and reports whether the state machine allows it.
// Otherwise the status does not change.
func (r *request) apply(t transition) bool {
	next, err := machine.Next(r.status, t)
	if err != nil {
		return false
	}
	r.status = next
	return true
}

// pieces returns the number of pieces of a stage.
func (r *request) pieces(stage int) int {
	if stage < len(r.Pieces) {
		return r.Pieces[stage]
	}
	return 0
}

// The default delays after which clients are asked to retry.
const (
	configRetryAfter   = 500 * time.Millisecond
	upstreamRetryAfter = 400 * time.Millisecond
	busyRetryAfter     = 150 * time.Millisecond
	// invalidRouteRetryAfter is long, as only the operator can mend a route.
	invalidRouteRetryAfter = 10 * time.Second
)

// arrive checks a request against the configuration and admits or rejects it.
func (n *Node) arrive(now time.Time, q Request) {
	n.counts.Arrived++
	r := &request{Request: q, status: statusStaging, arrived: now, lastEventID: q.LastEventID}
	n.requests[q.Number] = r
	if n.table == nil {
		n.reply(now, r, http.StatusServiceUnavailable, ReasonNoConfig, configRetryAfter)
		return
	}
	r.route = n.table.Route(q.Host, q.Path)
	if r.route == nil {
		n.reply(now, r, http.StatusNotFound, ReasonNoRoute, 0)
		return
	}
	if !n.authorize(r) {
		n.reply(now, r, http.StatusUnauthorized, ReasonUnknownKey, 0)
		return
	}
	if q.BodyUnread {
		// The configuration has changed since the request arrived.
		n.reply(now, r, http.StatusServiceUnavailable, ReasonNoConfig, configRetryAfter)
		return
	}
	r.stageOrder = r.route.StageOrder(func(stage int) bool { return r.pieces(stage) > 0 })
	if !r.isServable() {
		n.reply(now, r, http.StatusServiceUnavailable, ReasonInvalidRoute, invalidRouteRetryAfter)
		return
	}
	r.service = r.route.Target(targetID(q))
	r.whole = n.wholeParts(r)
	r.stages = make([]stageState, len(r.route.Stages))
	n.setDeadlines(now, r)
	if n.holdsBack(now, r) {
		n.reply(now, r, http.StatusServiceUnavailable, ReasonPoison, heldBackRetryAfter)
		return
	}
	if n.mayOutlastStop(now, r, n.answerTimes) {
		n.reply(now, r, http.StatusServiceUnavailable, ReasonStopping, busyRetryAfter)
		return
	}
	if n.refuseForLimits(now, r) {
		return
	}
	n.emit(Admitted{Number: q.Number, Deadline: r.deadline})
	n.counts.Admitted++
	n.record(r, trace.Admitted, "", append(n.stopAttrs(now, r), "route", r.route.Name, "version", n.version(), "account", r.account, "rank", r.rank, "digest", r.Digest,
		"due_ms", r.due.Sub(now).Milliseconds(), "patience_ms", r.Timeout.Milliseconds())...)
	if r.route.Kind == fleet.Stream && r.LastEventID != "" {
		n.findOrigin(now, r)
		return
	}
	n.start(now, r)
}

// isServable reports whether the kind of the request is known and all of its stages can run.
func (r *request) isServable() bool {
	requested := 0
	for i := range r.route.Stages {
		if r.pieces(i) > 0 {
			requested++
		}
	}
	return r.route.Kind.IsKnown() && len(r.stageOrder) == requested
}

// start starts the stages of a request, or sends it.
func (n *Node) start(now time.Time, r *request) {
	n.chooseHomeZone(now, r)
	n.advance(now, r)
}

// chooseHomeZone chooses the zone that processes a request: that of the engine which
// has already processed most of its prompt. Clients of all zones share prompts, and the
// traffic across zones between client and engine is small compared to stage results.
func (n *Node) chooseHomeZone(now time.Time, r *request) {
	r.homeZone = n.config.Zone
	if p := n.pools[r.service]; p != nil && n.isEngine(r.service) {
		if c, ok := n.policy(r, "").Pick(n.weighted(now, p, r, p.candidates(now, r))); ok {
			r.homeZone = c.Zone
			if p.speeds.Active() {
				r.slowness = p.slowness(now, p.byID[c.ID])
			}
		}
	}
	r.dataZone = r.homeZone
}

// authorize sets the client account and rank of a request. It reports whether the
// request is allowed on its route.
func (n *Node) authorize(r *request) bool {
	r.rank = r.route.Rank
	a := n.table.Account(r.APIKey)
	if a == nil {
		return r.route.Anonymous || !n.table.HasAccounts()
	}
	r.account = a.Name
	if a.Rank != nil {
		r.rank = *a.Rank
	}
	return true
}

// Accepts reports whether a configuration has a route for a request and an account for its key,
// as arrive decides. A request that it does not accept is refused without its body.
func Accepts(t *fleet.Table, q Request) bool {
	if t == nil {
		return false
	}
	route := t.Route(q.Host, q.Path)
	return route != nil && (route.Anonymous || !t.HasAccounts() || t.Account(q.APIKey) != nil)
}

// setDeadlines sets the due time and the deadline of a request.
func (n *Node) setDeadlines(now time.Time, r *request) {
	timeout := r.route.Timeout
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	r.deadline = now.Add(timeout)
	r.due = now.Add(r.route.Objective)
}

// fail ends a request without a complete response, unless a stalled attempt may still
// have one. If an attempt may have been executed, the reply is a 502, since a 503 tells the
// client that the request was not executed.
func (n *Node) fail(now time.Time, r *request, reason Reason, retryAfter time.Duration) {
	if r.stalled != nil {
		n.returnToStalled(r, reason)
		return
	}
	if r.responseStarted {
		n.abort(now, r, reason)
		return
	}
	if r.executions > 0 {
		n.reply(now, r, http.StatusBadGateway, reason, 0)
		return
	}
	n.reply(now, r, http.StatusServiceUnavailable, reason, retryAfter)
}

// retryJitter is the time span over which the retries of rejected clients are spread.
const retryJitter = 200 * time.Millisecond

func (n *Node) reply(now time.Time, r *request, status int, reason Reason, retryAfter time.Duration) {
	if retryAfter > 0 {
		retryAfter += time.Duration(r.Number*7919%100) * retryJitter / 100
	}
	n.counts.Replies[reason]++
	n.recordSince(now, r.arrived, r, trace.Replied, reason, append(n.stopAttrs(now, r), "status", status,
		"retry_after_ms", retryAfter.Milliseconds(), "attempts", r.attempts, "version", n.version())...)
	n.emit(Reply{Number: r.Number, Status: status, Reason: reason, RetryAfter: retryAfter})
	n.end(r)
}

func (n *Node) version() int64 {
	if n.table == nil {
		return 0
	}
	return n.table.Version()
}

// end removes a request and releases everything that it holds.
func (n *Node) end(r *request) {
	r.apply(transitionEnd)
	n.endAttempt(r, r.current)
	n.endAttempt(r, r.stalled)
	if r.route != nil {
		n.withdraw(r)
		n.releaseAll(r)
	}
	delete(n.requests, r.Number)
}

func (n *Node) clientDisconnected(now time.Time, number uint64) {
	r := n.requests[number]
	if r == nil {
		return
	}
	n.counts.Left++
	n.recordSince(now, r.arrived, r, trace.ClientLeft, ReasonClientLeft, "status", string(r.status))
	n.clientLeftResponse(now, r)
	n.end(r)
}

func (n *Node) timedOut(now time.Time, e TimedOut) {
	r := n.requests[e.Number]
	if r == nil {
		return
	}
	n.clientLeftResponse(now, r)
	reason := ReasonTimeout
	if n.stopping() && now.Before(r.deadline) {
		reason = ReasonStopping
	}
	if e.ResponseStarted || r.responseStarted {
		n.abort(now, r, reason)
		return
	}
	if r.executions > 0 || !e.Unsent && (r.current != nil || r.stalled != nil) {
		n.reply(now, r, http.StatusGatewayTimeout, reason, 0)
		return
	}
	n.reply(now, r, http.StatusServiceUnavailable, reason, busyRetryAfter)
}

// abort aborts a response that the client has part of.
func (n *Node) abort(now time.Time, r *request, reason Reason) {
	n.counts.Cut++
	n.recordSince(now, r.arrived, r, trace.AnswerAborted, reason, append(n.stopAttrs(now, r), "attempts", r.attempts, "failure", string(r.lastFailure),
		"last_event", r.lastEventID, "left_ms", r.deadline.Sub(now).Milliseconds(), "version", n.version())...)
	n.emit(Abort{Number: r.Number, Reason: reason})
	n.end(r)
}

func (n *Node) record(r *request, decision trace.Decision, reason Reason, attrs ...any) {
	n.emit(RecordDecision{DecisionRecord{Request: r.ID, Decision: decision, Reason: reason, Attrs: attrs}})
}

// recordSince records a decision with the time elapsed since a start time.
func (n *Node) recordSince(now, since time.Time, r *request, decision trace.Decision, reason Reason, attrs ...any) {
	elapsed := now.Sub(since)
	attrs = append([]any{"took_ms", elapsed.Milliseconds()}, attrs...)
	n.emit(RecordDecision{DecisionRecord{Request: r.ID, Decision: decision, Reason: reason, Took: elapsed, Attrs: attrs}})
}
