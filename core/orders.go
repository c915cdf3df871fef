package core

import (
	"time"

	"teaselplank/lease"
	"teaselplank/order"
	"teaselplank/wire"
)

// giveOrders lets the node that holds its zone's lease bring the engines of the
// zone to what the rules name. It returns when it is due again.
func (n *Node) giveOrders(now time.Time) time.Duration {
	engines := n.zoneEngines()
	if len(engines) == 0 {
		return n.config.Poll.Leases
	}
	n.emit(ReadStream{lease.Stream, n.leases.Next()})
	if claim, ok := n.holder.Next(now, &n.leases, !n.stopping); ok {
		if data, err := lease.Encode(claim); err == nil {
			n.emit(AppendStream{lease.Stream, data})
		}
	}
	number := n.holder.Number(now, &n.leases)
	if number == 0 || n.stopping {
		return n.config.Poll.Leases
	}
	for _, a := range n.orders.Next(now, n.set, engines, number) {
		if a.Order == nil {
			n.emit(AskModel{a.Host})
		} else {
			n.emit(GiveOrder{a.Host, *a.Order})
		}
	}
	return n.config.Poll.Leases
}

// zoneEngines returns the upstreams of the node's zone that are to have a model.
func (n *Node) zoneEngines() []wire.Host {
	var engines []wire.Host
	for _, h := range n.group.Upstreams() {
		if h.Zone != n.group.Self().Zone {
			continue
		}
		if _, ok := order.Wanted(n.set, h); ok {
			engines = append(engines, h)
		}
	}
	return engines
}
