package proxy

import (
	"time"

	"teaselplank/limit"
	"teaselplank/pace"
)

// observe reports the outcome of an attempt if its service has slow starts.
func (n *Node) observe(now time.Time, a *attempt, outcome pace.Outcome) {
	u := a.upstream
	if n.table == nil || !n.table.Service(u.Service).SlowStarts() {
		return
	}
	n.emit(UpstreamAnswered{pace.Answer{
		Process: limit.Process{ID: u.ID, Born: u.Born}, Service: u.Service, Outcome: outcome, Took: now.Sub(a.sentAt), SentAt: a.sentAt,
	}})
}

// observeFailure reports the failure of an attempt, unless it says nothing about the upstream.
func (n *Node) observeFailure(now time.Time, a *attempt, f Failure) {
	switch {
	case f == Unreachable && n.mostReachable(now, a.upstream.Service):
		n.observe(now, a, pace.Gone)
	case !f.Unsent():
		n.observe(now, a, pace.Failed)
	}
}

// maxGoneShare is the share of the upstreams of a service up to which those that this node
// cannot reach have ended. If there are more, the node's own link is at fault.
const maxGoneShare = 0.25

// mostReachable reports whether this node can reach most upstreams of a service.
func (n *Node) mostReachable(now time.Time, service string) bool {
	p := n.pools[service]
	if p == nil {
		return false
	}
	suspects := 0
	for _, u := range p.upstreams {
		if u.health.Suspect(now) {
			suspects++
		}
	}
	return float64(suspects) <= max(maxGoneShare*float64(len(p.upstreams)), 1)
}
