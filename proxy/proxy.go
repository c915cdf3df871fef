// Package proxy decides on requests that pass through a node to the upstreams of a
// deployment: whether a request is admitted, which stages run for it, which
// upstream gets it, whether it is sent again and how it ends.
//
// Load at its worst shapes these decisions. The stage workers are scarce, and what
// is begun and not ended in time is lost twice: so a request is admitted only if
// the whole chain before it will be done within its objective, and is refused at
// once otherwise, with the time after which there will be room.
//
// The package is a reducer: Step takes the time and an event and returns effects,
// which are data. It has no clock, no I/O and no goroutines. A Node must not be
// used by several goroutines at a time.
package proxy

import (
	"time"

	"teaselplank/budget"
	"teaselplank/fleet"
)

// Config holds the bounds of a Node.
type Config struct {
	// Zone is the node's availability zone.
	Zone string
	// Budget bounds the repeats of all nodes together.
	Budget budget.Config
}

// A Node is the state of the reducer. Create it with New.
type Node struct {
	config Config
	// table is the configuration in force, or nil. Its version only grows.
	table    *fleet.Table
	pools    map[string]*pool
	requests map[uint64]*request
	// stageWorkers counts the workers of stages by zone.
	stageWorkers map[string]int
	// first is a moving mean of the time from sending to the first event.
	first map[string]time.Duration
	// nodes is the largest number of nodes seen, which share the budget.
	nodes    int
	stopping bool
	effects  []Effect
	counts   Counts
}

// Counts are totals since the start.
type Counts struct {
	Arrived, Admitted, Finished, Left int64
	Sent, Repeated, Resumed, Cut      int64
	Replies                           map[Reason]int64
}

// New returns a node that knows no configuration.
func New(config Config) *Node {
	return &Node{
		config:   config,
		pools:    make(map[string]*pool),
		requests: make(map[uint64]*request),
		first:    make(map[string]time.Duration),
		nodes:    1,
		counts:   Counts{Replies: make(map[Reason]int64)},
	}
}

// Step applies an event and returns its effects, which are valid until the next
// call. The effects of a request's event are for that request only, but for Free
// and Noted.
func (n *Node) Step(now time.Time, event Event) []Effect {
	n.effects = nil
	switch e := event.(type) {
	case Arrive:
		n.arrive(now, e.Request)
	case StageDone:
		n.stageDone(now, e)
	case StageFailed:
		n.stageFailed(now, e)
	case Answered:
		n.answered(now, e)
	case Began:
		n.began(now, e)
	case Finished:
		n.finished(now, e)
	case Broke:
		n.broke(now, e)
	case Left:
		n.left(now, e.Number)
	case TimedOut:
		n.timedOut(now, e)
	case Configured:
		n.configure(e.Table)
	case Registered:
		n.register(e.Upstreams)
	case Nodes:
		n.nodes = max(n.nodes, e.Count)
	case Stop:
		n.stopping = true
	}
	return n.effects
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) configure(t *fleet.Table) {
	if n.table == nil || t.Version() > n.table.Version() {
		n.table = t
		n.countWorkers()
	}
}

// Table returns the configuration in force, or nil.
func (n *Node) Table() *fleet.Table { return n.table }

// Unready returns why the node cannot serve requests, or an empty string.
func (n *Node) Unready() string {
	switch {
	case n.stopping:
		return string(ReasonStopping)
	case n.table == nil:
		return string(ReasonNoConfig)
	case len(n.pools) == 0:
		return "upstreams are not known yet"
	}
	return ""
}

// Len returns the number of requests under way.
func (n *Node) Len() int { return len(n.requests) }

// Counts returns the totals.
func (n *Node) Counts() Counts { return n.counts }

// RepeatsLeft returns how many repeats the budget of each service allows now.
func (n *Node) RepeatsLeft(now time.Time) map[string]float64 {
	left := make(map[string]float64, len(n.pools))
	for name, p := range n.pools {
		left[name] = p.meter.Left(n.config.Budget, now, n.nodes)
	}
	return left
}

// Usable reports whether an upstream may still be sent work. It is asked again
// after a connection was made, since that takes time.
func (n *Node) Usable(id string, born int64) bool {
	for _, p := range n.pools {
		if u := p.byID[id]; u != nil {
			return u.Born == born && !u.Draining
		}
	}
	return false
}
