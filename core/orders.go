package core

import (
	"time"

	"teaselplank/lease"
	"teaselplank/order"
	"teaselplank/wire"
)

// sendOrders orders the engines of the node's zone to load the models that the rules
// name, if the node holds the lease of the zone. It returns the delay until its next
// run.
func (n *Node) sendOrders(now time.Time) time.Duration {
	engines := n.zoneEngines()
	if len(engines) == 0 {
		return n.config.Poll.Leases
	}
	n.emit(ReadStream{lease.Stream, n.leases.NextOffset()})
	if claim, ok := n.holder.NextClaim(now, &n.leases, !n.stopping); ok {
		if data, err := lease.Encode(claim); err == nil {
			n.emit(AppendStream{lease.Stream, data})
		}
	}
	number := n.holder.Number(now, &n.leases)
	if number == 0 || n.stopping {
		return n.config.Poll.Leases
	}
	for _, a := range n.planner.Next(now, n.ruleSet, engines, number) {
		if a.Order == nil {
			n.emit(QueryModel{a.Host})
		} else {
			n.emit(SendOrder{a.Host, *a.Order})
		}
	}
	return n.config.Poll.Leases
}

// zoneEngines returns the upstreams of the node's zone to which the rules assign a model.
func (n *Node) zoneEngines() []wire.Host {
	var engines []wire.Host
	for _, h := range n.group.Upstreams() {
		if h.Zone != n.group.Self().Zone {
			continue
		}
		if _, ok := order.Desired(n.ruleSet, h); ok {
			engines = append(engines, h)
		}
	}
	return engines
}
