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

// A call is a caller's call under way.
type call struct {
	call     Call
	weight   int
	deadline time.Time
	steps    []pipe.Step
	service  *rules.Service
	// keyed is true while the ledger has the call.
	keyed bool
	// running is true while the runner has it.
	running bool
	// replied is true once the caller has its answer. A call that must not
	// repeat stays until its run has ended.
	replied bool
}

// onceGrace is how long after its deadline the answer to a call that must not
// repeat is still waited for, so that its result can be recorded.
const onceGrace = 30 * time.Second

// StepService is the kind of the only step of a service call.
const StepService = "service"

// arrive checks a call against the rules and sends it on its way.
func (n *Node) arrive(now time.Time, c Call) {
	n.counts.Arrived++
	entry := &call{call: c, weight: 1}
	n.calls[c.ID] = entry
	if why := n.Unready(); why != "" && !n.stopping {
		n.reply(c.ID, unsent(c.ID, wire.NotRun, why, retryPause), http.StatusServiceUnavailable, false)
		return
	}
	if a := n.set.Accounts[c.Account]; a != nil {
		entry.weight = a.Weight
	}
	within, err := n.plan(entry)
	if err != nil {
		n.reply(c.ID, unsent(c.ID, wire.NotRun, err.Error(), 0), http.StatusNotFound, false)
		return
	}
	if c.Within > 0 {
		within = min(within, c.Within)
	}
	entry.deadline = now.Add(within)
	if c.Key == "" && entry.service != nil && entry.service.Once {
		reason := fmt.Sprintf("service %q needs the header %s", c.Service, wire.HeaderKey)
		n.reply(c.ID, unsent(c.ID, wire.NotRun, reason, 0), http.StatusBadRequest, false)
		return
	}
	if c.Key == "" || entry.service != nil && !entry.service.Once {
		n.run(now, entry, 0)
		return
	}
	n.runOnce(now, entry)
}

// retryPause is what callers are told to wait where nothing better is known.
const retryPause = time.Second

func unsent(id string, outcome wire.Outcome, reason string, retry time.Duration) wire.Answer {
	return wire.Answer{Request: id, Outcome: outcome, Error: reason, RetryAfter: retry.Milliseconds()}
}

// plan fills in the steps of a call and returns its rule's deadline.
func (n *Node) plan(c *call) (time.Duration, error) {
	if c.call.Service != "" {
		s := n.set.Services[c.call.Service]
		if s == nil {
			return 0, fmt.Errorf("service %q does not exist", c.call.Service)
		}
		c.service = s
		c.steps = []pipe.Step{{Pool: s.Name, Kind: StepService, Once: s.Once}}
		return s.Deadline, nil
	}
	p := n.set.Pipelines[c.call.Pipeline]
	if p == nil {
		return 0, fmt.Errorf("pipeline %q does not exist", c.call.Pipeline)
	}
	for _, s := range p.Stages {
		stream := s.Kind == rules.Generator
		c.steps = append(c.steps, pipe.Step{
			Pool: s.Name, Kind: string(s.Kind), Stream: stream, Hedge: s.Hedge, Model: s.Model,
		})
	}
	if c.call.Tokens <= 0 || c.call.Tokens > p.Tokens {
		c.call.Tokens = p.Tokens
	}
	return p.Deadline, nil
}

// run gives a call to the runner.
func (n *Node) run(now time.Time, c *call, number int64) {
	c.running = true
	deadline := c.deadline
	if c.service != nil && c.service.Once {
		deadline = deadline.Add(onceGrace)
	}
	n.stepPipe(now, pipe.Submit{Request: pipe.Request{
		ID: c.call.ID, Account: c.call.Account, Weight: c.weight, Steps: c.steps,
		Input: c.call.Input, Prefix: c.call.Prefix, Tokens: c.call.Tokens,
		Deadline: deadline, Number: number, Key: c.call.Key,
	}})
}

// runOnce gives a call with a key to the node that may run it: the one that
// issued the key, or the owner of the key's shard, or this one.
func (n *Node) runOnce(now time.Time, c *call) {
	if node, ok := n.forwardTo(c); ok && !c.call.Forwarded {
		n.counts.Forwards++
		n.emit(Forward{Node: node.ID, Addr: node.Addr, Call: c.call, Deadline: c.deadline})
		return
	}
	n.submitLedger(now, c)
}

func (n *Node) submitLedger(now time.Time, c *call) {
	c.keyed = true
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

// forwardTo returns the other node that a call with a key belongs to.
func (n *Node) forwardTo(c *call) (member.Node, bool) {
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
	owner := n.owner(key.Shard(n.config.Ledger.Shards), live)
	if owner.ID == self.ID {
		return member.Node{}, false
	}
	return owner, true
}

// owner returns the live node that a shard belongs to. Ownership saves appends
// and reads; the log decides whatever the nodes believe.
func (n *Node) owner(shard int, live []member.Node) member.Node {
	ids := make([]string, len(live))
	byID := make(map[string]member.Node, len(live))
	for i, node := range live {
		ids[i] = node.ID
		byID[node.ID] = node
	}
	return byID[rendezvous.New(ids, xxhash.Sum64String).Lookup(ledger.Stream(shard))]
}

func (n *Node) forwarded(e Forwarded) {
	n.reply(e.ID, e.Answer, e.Status, false)
}

// forwardFailed goes on without the other node: the log settles whether it has
// run the call.
func (n *Node) forwardFailed(now time.Time, id string) {
	c := n.calls[id]
	if c == nil || c.keyed {
		return
	}
	n.submitLedger(now, c)
}

// dispatch runs a call that the ledger has allowed to run.
func (n *Node) dispatch(now time.Time, e ledger.Dispatch) {
	c := n.calls[e.Attempt]
	if c == nil || c.running {
		return
	}
	n.run(now, c, e.Number)
}

// pipeAnswered settles the end of a run.
func (n *Node) pipeAnswered(now time.Time, a pipe.Answer) {
	c := n.calls[a.Request]
	if c == nil {
		return
	}
	c.running = false
	if !c.keyed {
		n.replyPipe(c, a)
		return
	}
	finished := ledger.Finished{Attempt: a.Request, Outcome: a.Outcome}
	finished.Result = ledger.Result{Status: a.Status, Output: a.Output}
	if c.service == nil && a.Outcome != wire.Done {
		// A pipeline has no effects: it may run again under its key.
		finished.Outcome = wire.NotRun
	}
	if c.service == nil {
		n.replyPipe(c, a)
		n.calls[a.Request] = &call{call: c.call, replied: true, keyed: true}
	}
	n.stepLedger(now, finished)
	if c := n.calls[a.Request]; c != nil && c.replied {
		delete(n.calls, a.Request)
	}
}

// ledgerAnswered settles what the ledger says of a call.
func (n *Node) ledgerAnswered(now time.Time, a ledger.Answer) {
	c := n.calls[a.Attempt]
	if c == nil || c.replied {
		return
	}
	if c.service == nil && !a.Dispatched && a.Reason == ledger.ReasonLogDown {
		c.keyed = false
		n.run(now, c, 0)
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
		n.calls[a.Attempt] = c // Its run goes on; the result is recorded.
	}
}

var statusOfReason = map[ledger.Reason]int{
	ledger.ReasonExpired:   http.StatusGone,
	ledger.ReasonBadKey:    http.StatusBadRequest,
	ledger.ReasonFutureKey: http.StatusBadRequest,
	ledger.ReasonConflict:  http.StatusUnprocessableEntity,
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

func (n *Node) replyPipe(c *call, a pipe.Answer) {
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

// reply answers a caller, once.
func (n *Node) reply(id string, answer wire.Answer, status int, replayed bool) {
	c := n.calls[id]
	if c == nil || c.replied {
		return
	}
	delete(n.calls, id)
	n.counts.Outcomes[answer.Outcome]++
	n.emit(Reply{ID: id, Answer: answer, Status: status, Replayed: replayed})
}

// left stops the work for a caller that has gone.
func (n *Node) left(now time.Time, id string) {
	c := n.calls[id]
	if c == nil {
		return
	}
	if c.keyed {
		n.stepLedger(now, ledger.Abandon{Attempt: id})
		return
	}
	n.stepPipe(now, pipe.Left{Request: id})
}

// LookupHosts returns the upstreams that must be asked for the status of the key
// of an attempt's call: all of the service, since any may have run it.
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
