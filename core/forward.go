package core

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"teaselplank/ledger"
	"teaselplank/member"
)

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
