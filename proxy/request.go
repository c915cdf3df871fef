package proxy

import (
	"net/http"
	"time"

	"teaselplank/batch"
	"teaselplank/fleet"
	"teaselplank/picker"
	"teaselplank/state"
	"teaselplank/trace"
)

// status is the state of a request.
type status string

const (
	// staging requests wait for their stages.
	staging status = "staging"
	// sending requests are at an upstream whose answer has not begun.
	sending status = "sending"
	// answering requests are passing an answer on.
	answering status = "answering"
	ended     status = "ended"
)

type input string

const (
	stage   input = "stage"
	send    input = "send"
	deliver input = "deliver"
	end     input = "end"
)

var machine = state.New("request",
	state.Rule[status, input]{Event: stage, From: []status{staging, sending, answering}, To: staging},
	state.Rule[status, input]{Event: send, From: []status{staging, sending, answering}, To: sending},
	state.Rule[status, input]{Event: deliver, From: []status{sending}, To: answering},
	state.Rule[status, input]{Event: end, From: []status{staging, sending, answering}, To: ended},
)

// A request is one request under way.
type request struct {
	Request
	route   *fleet.Route
	service string
	account string
	rank    int
	status  status
	arrived time.Time
	// due is when the request has to be answered to be on time.
	due      time.Time
	deadline time.Time
	stages   []stageState
	// home is the zone of the engine that the request is likely to go to; its
	// stages run there if they can. zone is where the largest results lie.
	home string
	zone string
	// restarts counts how often the stages were run again.
	restarts int
	// attempt numbers the attempts, and reached counts those that may have run.
	attempt int
	reached int
	// tried are the upstreams that have had an attempt.
	tried []string
	// upstream has the attempt under way, or is nil; it was sent at sentAt.
	upstream *upstream
	sentAt   time.Time
	unread   int
	// ran is true if an attempt may have run that brought no whole answer.
	ran bool
	// opened is true once the client has a part of an answer.
	opened    bool
	lastEvent string
}

// A stageState is the progress of one stage.
type stageState struct {
	asked   bool
	askedAt time.Time
	done    bool
	freed   bool
	results []batch.Result
}

// move follows the state machine; a step that it does not allow changes nothing.
func (r *request) move(event input) bool {
	next, err := machine.Next(r.status, event)
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

// current reports whether an event is about the attempt under way.
func (r *request) current(attempt int) bool {
	return r != nil && r.upstream != nil && r.attempt == attempt
}

// The pauses that clients are told where nothing better is known.
const (
	configPause   = 500 * time.Millisecond
	upstreamPause = 400 * time.Millisecond
	fullPause     = 150 * time.Millisecond
)

// arrive checks a request against the configuration and admits or refuses it.
func (n *Node) arrive(now time.Time, q Request) {
	n.counts.Arrived++
	r := &request{Request: q, status: staging, arrived: now, lastEvent: q.LastEvent}
	n.requests[q.Number] = r
	if n.table == nil {
		n.reply(now, r, http.StatusServiceUnavailable, ReasonNoConfig, configPause)
		return
	}
	r.route = n.table.Route(q.Host, q.Path)
	if r.route == nil {
		n.reply(now, r, http.StatusNotFound, ReasonNoRoute, 0)
		return
	}
	if !n.authorize(r) {
		n.reply(now, r, http.StatusUnauthorized, ReasonNoKey, 0)
		return
	}
	r.service = r.route.Target(q.ID)
	r.stages = make([]stageState, len(r.route.Stages))
	n.schedule(now, r)
	n.emit(Admitted{Number: q.Number, Deadline: r.deadline})
	n.settleHome(now, r)
	n.counts.Admitted++
	n.note(r, trace.Admitted, "", "route", r.route.Name, "version", n.version(), "account", r.account, "rank", r.rank,
		"due_ms", r.due.Sub(now).Milliseconds(), "patience_ms", r.Patience.Milliseconds())
	n.advance(now, r)
}

// settleHome chooses the zone where a request is done: that of the engine which has
// read most of its prompt. Clients of all zones share prompts, and what crosses
// zones between client and engine is small beside the results of stages.
func (n *Node) settleHome(now time.Time, r *request) {
	r.home = n.config.Zone
	if p := n.pools[r.service]; p != nil && n.isEngine(r.service) {
		if c, ok := (picker.Prefix{Shared: r.Shared}).Pick(n.weigh(p.candidates(now, nil))); ok {
			r.home = c.Zone
		}
	}
	r.zone = r.home
}

// authorize finds the account of a request.
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

// schedule sets when a request is due and when its time is over.
func (n *Node) schedule(now time.Time, r *request) {
	left := r.route.Timeout
	if r.Patience > 0 {
		left = min(left, r.Patience)
	}
	r.deadline = now.Add(left)
	r.due = now.Add(r.route.Objective)
}

// giveUp ends a request that has no answer. It is told that it has not run only
// if no attempt may have run.
func (n *Node) giveUp(now time.Time, r *request, reason Reason, retry time.Duration) {
	if r.opened {
		n.cut(now, r, reason)
		return
	}
	if r.ran {
		n.reply(now, r, http.StatusBadGateway, reason, 0)
		return
	}
	n.reply(now, r, http.StatusServiceUnavailable, reason, retry)
}

// spreadRetries is the span that the returns of refused clients are spread over.
const spreadRetries = 200 * time.Millisecond

func (n *Node) reply(now time.Time, r *request, status int, reason Reason, retry time.Duration) {
	if retry > 0 {
		retry += time.Duration(r.Number*7919%100) * spreadRetries / 100
	}
	n.counts.Replies[reason]++
	n.noteSince(now, r.arrived, r, trace.Replied, reason, "status", status, "retry_after_ms", retry.Milliseconds(),
		"attempts", r.attempt, "version", n.version())
	n.emit(Reply{Number: r.Number, Status: status, Reason: reason, RetryAfter: retry})
	n.end(r)
}

func (n *Node) version() int64 {
	if n.table == nil {
		return 0
	}
	return n.table.Version()
}

// end forgets a request and gives back what it holds.
func (n *Node) end(r *request) {
	r.move(end)
	n.settle(r)
	if r.route != nil {
		n.withdraw(r)
		n.freeAll(r)
	}
	delete(n.requests, r.Number)
}

// settle takes the attempt under way off its upstream.
func (n *Node) settle(r *request) {
	if r.upstream == nil {
		return
	}
	r.upstream.flight--
	r.upstream.unread -= r.unread
	r.unread = 0
	r.upstream = nil
}

func (n *Node) left(now time.Time, number uint64) {
	r := n.requests[number]
	if r == nil {
		return
	}
	n.counts.Left++
	n.noteSince(now, r.arrived, r, trace.Left, ReasonLeft, "status", string(r.status))
	n.end(r)
}

func (n *Node) timedOut(now time.Time, e TimedOut) {
	r := n.requests[e.Number]
	if r == nil {
		return
	}
	if e.Opened || r.opened {
		n.cut(now, r, ReasonTimeout)
		return
	}
	if r.ran || r.upstream != nil {
		n.reply(now, r, http.StatusGatewayTimeout, ReasonTimeout, 0)
		return
	}
	n.reply(now, r, http.StatusServiceUnavailable, ReasonTimeout, fullPause)
}

// cut breaks off an answer that the client has a part of.
func (n *Node) cut(now time.Time, r *request, reason Reason) {
	n.counts.Cut++
	n.noteSince(now, r.arrived, r, trace.CutOff, reason)
	n.emit(Cut{Number: r.Number, Reason: reason})
	n.end(r)
}

func (n *Node) note(r *request, decision trace.Decision, reason Reason, inputs ...any) {
	n.emit(Noted{Note{Request: r.ID, Decision: decision, Reason: reason, Inputs: inputs}})
}

// noteSince notes a decision and how long it is since a time.
func (n *Node) noteSince(now, since time.Time, r *request, decision trace.Decision, reason Reason, inputs ...any) {
	took := now.Sub(since)
	inputs = append([]any{"took_ms", took.Milliseconds()}, inputs...)
	n.emit(Noted{Note{Request: r.ID, Decision: decision, Reason: reason, Took: took, Inputs: inputs}})
}
