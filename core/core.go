// Package core combines the reducers of a node into one. Step takes the time and an
// event and returns effects, which are data: what to send, append, read and answer.
// The daemon performs the effects and reports their results as events. The package
// has no clock, no I/O and no goroutines, so that a test can replay any history of
// one node or of several.
package core

import (
	"time"

	"teaselplank/lease"
	"teaselplank/ledger"
	"teaselplank/member"
	"teaselplank/order"
	"teaselplank/pipe"
	"teaselplank/queue"
	"teaselplank/route"
	"teaselplank/rules"
	"teaselplank/wire"
)

// Config configures a Node.
type Config struct {
	Member member.Config
	Ledger ledger.Config
	Route  route.Config
	Pipe   pipe.Config
	// Policy picks workers; nil means route.Balanced.
	Policy route.Policy
	// ApplyPolicyRule lets the rule "policy default" set the switches of Pipe.
	ApplyPolicyRule bool
	// Seed seeds all random choices.
	Seed uint64
	// Poll configures the periodic requests of the node.
	Poll Poll
	// OwnersFrom is the minimum number of live nodes for shard ownership: with
	// fewer nodes, every node claims the keys of its calls itself.
	OwnersFrom int
	// AppendsPerSecond bounds the appends to the log of all nodes together.
	AppendsPerSecond int
	// Retention is how long the log keeps records.
	Retention time.Duration
}

// Poll holds the intervals of the periodic requests of a node.
type Poll struct {
	Hosts time.Duration
	Rules time.Duration
	Loads time.Duration
	// LoadsPerSecond bounds the rate of load queries. Workers that report their
	// load with their answers are not queried.
	LoadsPerSecond int
	// Leases is the interval of a node whose zone has engines with models.
	Leases time.Duration
	// Ledger is the interval while no attempt is pending, LedgerBusy otherwise.
	Ledger     time.Duration
	LedgerBusy time.Duration
}

// DefaultConfig returns the default configuration of a node.
func DefaultConfig() Config {
	return Config{
		Member:          member.DefaultConfig(),
		Ledger:          ledger.DefaultConfig(),
		Route:           route.DefaultConfig(),
		Pipe:            pipe.DefaultConfig(),
		ApplyPolicyRule: true,
		Poll: Poll{
			Hosts:          time.Second,
			Rules:          time.Second,
			Loads:          200 * time.Millisecond,
			LoadsPerSecond: 100,
			Leases:         2 * time.Second,
			Ledger:         time.Second,
			LedgerBusy:     50 * time.Millisecond,
		},
		OwnersFrom:       16,
		AppendsPerSecond: 200,
		Retention:        48 * time.Hour,
	}
}

// A Node is the state of the reducer. Create it with New. It must not be used
// from more than one goroutine at a time.
type Node struct {
	config  Config
	replica rules.Replica
	ledger  *ledger.Ledger
	leases  lease.Table
	holder  *lease.Holder
	planner order.Planner
	group   *member.Group
	table   *route.Table
	runner  *pipe.Runner
	// calls holds the calls that have no Reply yet, and the ledger's
	// dispatches that are still running although their caller has a Reply.
	calls  map[string]*callState
	timers queue.Timers[task]
	// ruleSet is the rule set in force.
	ruleSet  *rules.Set
	stopping bool
	// stop is how the node shuts down. It is valid if stopping is true.
	stop Stop
	// behindSince is when a peer first reported newer rules, or zero.
	behindSince time.Time
	// fetching is true while the state of a peer is being fetched.
	fetching bool
	// hostsListed is true once a host list is known.
	hostsListed bool
	effects     []Effect
	counts      Counts
	started     bool
	// lastCheckpoint is when this node last appended a checkpoint of the rules,
	// or when it first checked whether one is due.
	lastCheckpoint time.Time
}

// Counts holds the totals since the node was created.
type Counts struct {
	Events   int64
	Arrived  int64
	Outcomes map[wire.Outcome]int64
	Replays  int64
	Forwards int64
}

// New returns a node without rules, hosts or peers.
func New(config Config) *Node {
	policy := config.Policy
	if policy == nil {
		policy = route.Balanced{}
	}
	table := route.New(config.Route, policy, config.Seed)
	return &Node{
		config: config,
		ledger: ledger.New(config.Ledger),
		holder: lease.NewHolder(config.Member.Self.Zone, config.Member.Self.ID+"/"+config.Member.Self.Incarnation),
		group:  member.New(config.Member, config.Seed),
		table:  table,
		runner: pipe.New(config.Pipe, table),
		calls:  make(map[string]*callState),
		counts: Counts{Outcomes: make(map[wire.Outcome]int64)},
	}
}

// Step applies an event and returns its effects. The slice is valid until the
// next call.
func (n *Node) Step(now time.Time, event Event) []Effect {
	n.effects = n.effects[:0]
	n.counts.Events++
	if !n.started {
		n.started = true
		n.scheduleTasks(now)
	}
	switch e := event.(type) {
	case pipe.Event:
		n.stepPipe(now, e)
	case ledger.Event:
		n.stepLedger(now, e)
	case member.Event:
		n.stepMember(now, e)
	default:
		n.stepCore(now, event)
	}
	n.runTasks(now)
	return n.effects
}

func (n *Node) stepCore(now time.Time, event Event) {
	switch e := event.(type) {
	case CallArrived:
		n.arrive(now, e.Call)
	case CallerDisconnected:
		n.callerDisconnected(now, e.ID)
	case ForwardAnswered:
		n.forwardAnswered(e)
	case ForwardFailed:
		n.forwardFailed(now, e.ID)
	case StreamRead:
		n.streamRead(now, e)
	case ModelReported:
		n.planner.SetLoaded(now, e.Host, e.Loaded)
	case StateFetched:
		n.stateFetched(now, e)
	case LoadReported:
		n.loadReported(now, e)
	case Stop:
		n.stopping, n.stop = true, e
		n.stepMember(now, member.Stop{})
	case Tick:
		n.tick(now)
	}
}

func (n *Node) tick(now time.Time) {
	n.stepPipe(now, pipe.Tick{})
	n.stepLedger(now, ledger.Tick{})
	n.stepMember(now, member.Tick{})
}

// Wake returns the time of the next Tick that the node needs.
func (n *Node) Wake() time.Time {
	wake := n.group.Wake()
	for _, next := range []func() (time.Time, bool){n.runner.Wake, n.ledger.Wake, n.timers.Next} {
		if at, ok := next(); ok && at.Before(wake) {
			wake = at
		}
	}
	return wake
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) stepPipe(now time.Time, event pipe.Event) {
	n.handlePipeEffects(now, n.runner.Step(now, event))
}

// handlePipeEffects emits effects other than answers, then handles the answers.
func (n *Node) handlePipeEffects(now time.Time, effects []pipe.Effect) {
	var answers []pipe.Answer
	for _, e := range effects {
		if a, ok := e.(pipe.Answer); ok {
			answers = append(answers, a)
			continue
		}
		n.emit(e)
	}
	for _, a := range answers {
		n.pipeAnswered(now, a)
	}
}

func (n *Node) stepLedger(now time.Time, event ledger.Event) {
	effects := append([]ledger.Effect(nil), n.ledger.Step(now, event)...)
	for _, e := range effects {
		switch e := e.(type) {
		case ledger.Answer:
			n.ledgerAnswered(now, e)
		case ledger.Dispatch:
			n.dispatch(now, e)
		default:
			n.emit(e)
		}
	}
}

func (n *Node) stepMember(now time.Time, event member.Event) {
	changed := false
	for _, e := range n.group.Step(now, event) {
		switch e := e.(type) {
		case member.Changed:
			changed = true
		case member.MarkAdded:
			n.table.MarkLeaving(e.Mark.Host, e.Mark.Incarnation)
		default:
			n.emit(e)
		}
	}
	if _, ok := event.(member.HostsListed); ok {
		n.hostsListed = true
	}
	if changed {
		n.hostsChanged(now)
	}
	if received, ok := event.(member.DigestReceived); ok {
		n.catchUp(now, received.Digest)
	}
}

// Ready reports whether the node can serve: it has rules and a host list and is not
// shutting down.
func (n *Node) Ready() bool { return n.Unready() == "" }

// Unready returns why the node is not ready, or an empty string if it is.
func (n *Node) Unready() string {
	if n.stopping {
		return "node is leaving"
	}
	return n.incomplete()
}

// incomplete returns what the node does not know yet that it needs to serve calls, or an
// empty string.
func (n *Node) incomplete() string {
	switch {
	case !n.replica.Initialized():
		return "rules are not known yet"
	case !n.hostsListed:
		return "host list is not known yet"
	}
	return ""
}

// Drained reports whether no call or request is in flight and no ledger entry is pending
// or in flight.
func (n *Node) Drained() bool {
	return len(n.calls) == 0 && n.runner.Len() == 0 && n.ledger.Idle()
}

// Stopping reports whether the node is shutting down.
func (n *Node) Stopping() bool { return n.stopping }

// Replica returns the rules that the node has read.
func (n *Node) Replica() *rules.Replica { return &n.replica }

// Group returns the node's view of other hosts.
func (n *Node) Group() *member.Group { return n.group }

// Table returns the node's view of the workers.
func (n *Node) Table() *route.Table { return n.table }

// Runner returns the reducer of the requests in flight.
func (n *Node) Runner() *pipe.Runner { return n.runner }

// Ledger returns the reducer of the calls that must run at most once.
func (n *Node) Ledger() *ledger.Ledger { return n.ledger }

// Counts returns the totals.
func (n *Node) Counts() Counts { return n.counts }
