package core

import (
	"fmt"
	"net/http"
	"time"

	"teaselplank/ledger"
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
	if reason := n.incomplete(); reason != "" {
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
	if n.mayOutlastStop(now, state) {
		n.reply(c.ID, errorAnswer(c.ID, wire.NotRun, "node is leaving", defaultRetryAfter), http.StatusServiceUnavailable, false)
		return
	}
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

// mayOutlastStop reports whether the node is stopping and a call that arrives now may not
// end before that. The calls that load balancers still send are served in any case, as the
// node waits longest for them.
func (n *Node) mayOutlastStop(now time.Time, c *callState) bool {
	if !n.stopping || n.stop.Until.IsZero() || now.Before(n.stop.Unlisted) {
		return false
	}
	return c.deadline.After(n.stop.Until)
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

// dispatch runs a call that the ledger has dispatched.
func (n *Node) dispatch(now time.Time, e ledger.Dispatch) {
	c := n.calls[e.Attempt]
	if c == nil || c.running {
		return
	}
	n.submitPipe(now, c, e.Number)
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
