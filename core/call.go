package core

import (
	"fmt"
	"net/http"
	"time"

	"github.com/dgryski/go-rendezvous"

	"github.com/cespare/xxhash/v2"

	"teaselplank/ledger"
	"teaselplank/member"
	"teaselplank/pipe"
	"teaselplank/rules"
	"teaselplank/wire"
)

// A callState is the state of a call in flight.
type callState struct {
	call     Call
	weight   int
	deadline time.Time
	steps    []pipe.Step
	service  *rules.Service
	// inLedger is true while the ledger has the call.
	inLedger bool
	// running is true while the runner has the call.
	running bool
	// replied is true once the caller has its answer. A call that must run at
	// most once is kept until its run ends.
	replied bool
}

// resultGrace extends the deadline of the run of a call that must run at most once,
// so that a late result is still recorded.
const resultGrace = 30 * time.Second

// StepService is the kind of the single step of a service call.
const StepService = "service"

// arrive checks a call against the rules and starts, forwards or rejects it.
func (n *Node) arrive(now time.Time, c Call) {
	n.counts.Arrived++
	state := &callState{call: c, weight: 1}
	n.calls[c.ID] = state
	if reason := n.Unready(); reason != "" && !n.stopping {
		n.reply(c.ID, errorAnswer(c.ID, wire.NotRun, reason, defaultRetryAfter), http.StatusServiceUnavailable, false)
		return
	}
	if a := n.ruleSet.Accounts[c.Account]; a != nil {
		state.weight = a.Weight
	}
	timeout, err := n.plan(state)
	if err != nil {
		n.reply(c.ID, errorAnswer(c.ID, wire.NotRun, err.Error(), 0), http.StatusNotFound, false)
		return
	}
	if c.Timeout > 0 {
		timeout = min(timeout, c.Timeout)
	}
	state.deadline = now.Add(timeout)
	if c.Key == "" && state.service != nil && state.service.AtMostOnce {
		reason := fmt.Sprintf("service %q needs the header %s", c.Service, wire.HeaderKey)
		n.reply(c.ID, errorAnswer(c.ID, wire.NotRun, reason, 0), http.StatusBadRequest, false)
		return
	}
	if c.Key == "" || state.service != nil && !state.service.AtMostOnce {
		n.submitPipe(now, state, 0)
		return
	}
	n.submitKeyed(now, state)
}

// defaultRetryAfter is the retry delay in answers that have no better estimate.
const defaultRetryAfter = time.Second

// errorAnswer returns an answer without a result.
func errorAnswer(id string, outcome wire.Outcome, reason string, retryAfter time.Duration) wire.Answer {
	return wire.Answer{Request: id, Outcome: outcome, Error: reason, RetryAfter: retryAfter.Milliseconds()}
}

// plan sets the steps of a call and returns the deadline that its rule names.
func (n *Node) plan(c *callState) (time.Duration, error) {
	if c.call.Service != "" {
		s := n.ruleSet.Services[c.call.Service]
		if s == nil {
			return 0, fmt.Errorf("service %q does not exist", c.call.Service)
		}
		c.service = s
		c.steps = []pipe.Step{{Pool: s.Name, Kind: StepService, AtMostOnce: s.AtMostOnce}}
		return s.Deadline, nil
	}
	p := n.ruleSet.Pipelines[c.call.Pipeline]
	if p == nil {
		return 0, fmt.Errorf("pipeline %q does not exist", c.call.Pipeline)
	}
	for _, s := range p.Stages {
		stream := s.Kind == rules.Generator
		c.steps = append(c.steps, pipe.Step{
			Pool: s.Name, Kind: string(s.Kind), Stream: stream, Hedge: s.Hedge, Model: s.Model,
		})
	}
	if c.call.Tokens <= 0 || c.call.Tokens > p.MaxTokens {
		c.call.Tokens = p.MaxTokens
	}
	return p.Deadline, nil
}

// submitPipe passes a call to the runner.
func (n *Node) submitPipe(now time.Time, c *callState, number int64) {
	c.running = true
	deadline := c.deadline
	if c.service != nil && c.service.AtMostOnce {
		deadline = deadline.Add(resultGrace)
	}
	n.stepPipe(now, pipe.Submit{Request: pipe.Request{
		ID: c.call.ID, Account: c.call.Account, Weight: c.weight, Steps: c.steps,
		Input: c.call.Input, Prefix: c.call.Prefix, Tokens: c.call.Tokens,
		Deadline: deadline, FencingNumber: number, Key: c.call.Key,
	}})
}

// submitKeyed passes a call with a key to the node that may run it: the node that
// issued the key, the owner of the key's shard, or this node.
func (n *Node) submitKeyed(now time.Time, c *callState) {
	if node, ok := n.forwardTarget(c); ok && !c.call.Forwarded {
		n.counts.Forwards++
		n.emit(Forward{Node: node.ID, Addr: node.Addr, Call: c.call, Deadline: c.deadline})
		return
	}
	n.submitLedger(now, c)
}

// submitLedger passes a call with a key to the ledger.
func (n *Node) submitLedger(now time.Time, c *callState) {
	c.inLedger = true
	name := "pipeline/" + c.call.Pipeline
	fenced := false
	if c.service != nil {
		name, fenced = c.service.Name, c.service.Fenced
	}
	n.stepLedger(now, ledger.Submit{
		Attempt: c.call.ID, Key: ledger.Key{Account: c.call.Account, ID: c.call.Key},
		Service: name, Digest: ledger.Digest(name, []byte(c.call.Input)),
		Fenced: fenced, Deadline: c.deadline,
	})
}

// forwardTarget returns the other node that may run a call with a key, if any.
func (n *Node) forwardTarget(c *callState) (member.Node, bool) {
	self := n.group.Self()
	if node, incarnation, bound := ledger.Issuer(c.call.Key); bound {
		p, known := n.group.Peer(node)
		alive := known && p.State() != member.Dead && p.Node().Incarnation == incarnation
		if !alive || node == self.ID {
			return member.Node{}, false
		}
		return p.Node(), true
	}
	live := n.group.Live()
	if len(live) < n.config.OwnersFrom {
		return member.Node{}, false
	}
	key := ledger.Key{Account: c.call.Account, ID: c.call.Key}
	owner := n.shardOwner(key.Shard(n.config.Ledger.Shards), live)
	if owner.ID == self.ID {
		return member.Node{}, false
	}
	return owner, true
}

// shardOwner returns the live node that owns a shard. Ownership only saves appends
// and reads: if the views of the nodes differ, the log still decides.
func (n *Node) shardOwner(shard int, live []member.Node) member.Node {
	ids := make([]string, len(live))
	byID := make(map[string]member.Node, len(live))
	for i, node := range live {
		ids[i] = node.ID
		byID[node.ID] = node
	}
	return byID[rendezvous.New(ids, xxhash.Sum64String).Lookup(ledger.Stream(shard))]
}

func (n *Node) forwardAnswered(e ForwardAnswered) {
	n.reply(e.ID, e.Answer, e.Status, false)
}

// forwardFailed submits the call to the ledger of this node. The log decides whether
// the other node has run it.
func (n *Node) forwardFailed(now time.Time, id string) {
	c := n.calls[id]
	if c == nil || c.inLedger {
		return
	}
	n.submitLedger(now, c)
}

// dispatch runs a call that the ledger has dispatched.
func (n *Node) dispatch(now time.Time, e ledger.Dispatch) {
	c := n.calls[e.Attempt]
	if c == nil || c.running {
		return
	}
	n.submitPipe(now, c, e.Number)
}

// pipeAnswered handles the end of a run.
func (n *Node) pipeAnswered(now time.Time, a pipe.Answer) {
	c := n.calls[a.Request]
	if c == nil {
		return
	}
	c.running = false
	if !c.inLedger {
		n.replyPipe(c, a)
		return
	}
	finished := ledger.DispatchFinished{Attempt: a.Request, Outcome: a.Outcome}
	finished.Result = ledger.Result{Status: a.Status, Output: a.Output}
	if c.service == nil && a.Outcome != wire.Done {
		// A pipeline has no side effects and may run again under its key.
		finished.Outcome = wire.NotRun
	}
	if c.service == nil {
		n.replyPipe(c, a)
		n.calls[a.Request] = &callState{call: c.call, replied: true, inLedger: true}
	}
	n.stepLedger(now, finished)
	if c := n.calls[a.Request]; c != nil && c.replied {
		delete(n.calls, a.Request)
	}
}

// ledgerAnswered handles the ledger's answer to a call.
func (n *Node) ledgerAnswered(now time.Time, a ledger.Answer) {
	c := n.calls[a.Attempt]
	if c == nil || c.replied {
		return
	}
	if c.service == nil && !a.Dispatched && a.Reason == ledger.ReasonLogDown {
		c.inLedger = false
		n.submitPipe(now, c, 0)
		return
	}
	if a.Replayed {
		n.counts.Replays++
	}
	answer := wire.Answer{
		Request: a.Attempt, Outcome: a.Outcome, Output: a.Result.Output,
		Error: string(a.Reason), Dispatched: a.Dispatched, RetryAfter: a.RetryAfter.Milliseconds(),
	}
	status := statusOfOutcome(a.Outcome, a.Result.Status)
	if s, ok := statusOfReason[a.Reason]; ok {
		status = s
	}
	if a.Outcome == wire.Done {
		answer.RetryAfter = 0
	}
	running := c.running
	n.reply(a.Attempt, answer, status, a.Replayed)
	if running {
		c.replied = true
		n.calls[a.Attempt] = c // The run continues, and its result is recorded.
	}
}

var statusOfReason = map[ledger.Reason]int{
	ledger.ReasonKeyExpired: http.StatusGone,
	ledger.ReasonBadKey:     http.StatusBadRequest,
	ledger.ReasonFutureKey:  http.StatusBadRequest,
	ledger.ReasonConflict:   http.StatusUnprocessableEntity,
}

func statusOfOutcome(o wire.Outcome, status int) int {
	switch {
	case o == wire.Done && status != 0:
		return status
	case o == wire.Done:
		return http.StatusOK
	case o == wire.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

func (n *Node) replyPipe(c *callState, a pipe.Answer) {
	answer := wire.Answer{
		Request: a.Request, Outcome: a.Outcome, Output: a.Output, Tokens: a.Tokens,
		Error: string(a.Reason), Dispatched: a.Dispatched, Work: a.Work,
		RetryAfter: a.RetryAfter.Milliseconds(),
	}
	status := statusOfOutcome(a.Outcome, a.Status)
	if a.Reason == pipe.ReasonShare {
		status = http.StatusTooManyRequests
	}
	n.reply(a.Request, answer, status, false)
}

// reply answers a caller. Further replies to the same call have no effect.
func (n *Node) reply(id string, answer wire.Answer, status int, replayed bool) {
	c := n.calls[id]
	if c == nil || c.replied {
		return
	}
	delete(n.calls, id)
	n.counts.Outcomes[answer.Outcome]++
	n.emit(Reply{ID: id, Answer: answer, Status: status, Replayed: replayed})
}

// callerDisconnected stops the work for a caller that has disconnected.
func (n *Node) callerDisconnected(now time.Time, id string) {
	c := n.calls[id]
	if c == nil {
		return
	}
	if c.inLedger {
		n.stepLedger(now, ledger.Cancel{Attempt: id})
		return
	}
	n.stepPipe(now, pipe.CallerDisconnected{Request: id})
}

// LookupHosts returns the upstreams to query for the status of the key of an
// attempt's call: all upstreams of the service, since any of them may have run it.
func (n *Node) LookupHosts(attempt string) []wire.Host {
	c := n.calls[attempt]
	if c == nil || c.service == nil {
		return nil
	}
	p, ok := n.table.Pool(c.service.Name)
	if !ok {
		return nil
	}
	var hosts []wire.Host
	for _, w := range p.Workers() {
		hosts = append(hosts, w.Host())
	}
	return hosts
}
