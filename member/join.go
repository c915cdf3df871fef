package member

import "time"

const (
	// joinTime is how long after its start a node waits for the state of a peer.
	joinTime = 1500 * time.Millisecond
	// joinInterval is the minimum time between two requests for it.
	joinInterval = 300 * time.Millisecond
)

// A Join decides how long a new node waits for the state of a peer that was running
// before, and which peer it asks. That peer may know what the platform has lost since. The
// zero value is that of a node that has just started.
type Join struct {
	// done is true once the node has the state of a peer.
	done bool
	// listed is the number of other nodes that the platform lists. It is valid if
	// hasList is true.
	hasList bool
	listed  int
	// lastAsked is when a peer was last asked.
	lastAsked time.Time
}

// Listed reports the number of other nodes that the platform lists.
func (j *Join) Listed(nodes int) { j.hasList, j.listed = true, nodes }

// Finish reports that the node has the state of a peer.
func (j *Join) Finish() { j.done = true }

// Waits reports whether a node with the given uptime still waits for the state of a peer,
// or to learn whether there is one. Nodes that start together do not wait for each other.
func (j *Join) Waits(uptime time.Duration, g *Group) bool {
	if j.done || uptime >= joinTime {
		return false
	}
	if len(g.Peers()) == 0 {
		return !j.hasList || j.listed > 0
	}
	return len(g.Elders()) > 0
}

// Ask returns the peer to ask for its state now, if there is one.
func (j *Join) Ask(now time.Time, uptime time.Duration, g *Group) (Node, bool) {
	if !j.Waits(uptime, g) || now.Sub(j.lastAsked) < joinInterval {
		return Node{}, false
	}
	elders := g.Elders()
	if len(elders) == 0 {
		return Node{}, false
	}
	j.lastAsked = now
	return elders[g.random.IntN(len(elders))], true
}
