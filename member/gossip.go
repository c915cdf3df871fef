package member

import (
	"slices"
	"time"
)

// A Digest is what one node tells another. Its lists are bounded.
type Digest struct {
	From  Node   `json:"from"`
	Nodes []Node `json:"nodes"`
	Marks []Mark `json:"marks"`
}

func (g *Group) hear(now time.Time, d Digest) {
	g.meet(now, d.From)
	for _, n := range d.Nodes {
		g.meet(now, n)
	}
	for _, m := range d.Marks {
		g.mark(m)
	}
}

// meet takes in what was told of a node. Older tellings change nothing.
func (g *Group) meet(now time.Time, n Node) {
	if n.ID == g.self.ID || n.ID == "" {
		return
	}
	p := g.peers[n.ID]
	if p == nil || p.node.Incarnation != n.Incarnation && g.replaces(p, n) {
		p = &Peer{state: Live, heard: now}
		g.peers[n.ID] = p
		g.sorted = nil
		p.node = n
		g.emit(Changed{})
	} else if p.node.Incarnation != n.Incarnation || n.Beat <= p.node.Beat {
		return
	}
	p.node, p.heard = n, now
	g.move(p, beat)
	if n.Leaving || g.IsLeaving(n.ID, n.Incarnation) {
		g.move(p, leave)
		g.mark(Mark{n.ID, n.Incarnation})
	}
}

// replaces reports whether n is a newer process than the one known as p.
// Incarnations are UUIDs of version 7 and sort by the time of their start.
func (g *Group) replaces(p *Peer, n Node) bool { return n.Incarnation > p.node.Incarnation }

func (g *Group) tick(now time.Time) {
	if now.Before(g.next) {
		return
	}
	g.next = now.Add(g.config.Period)
	g.self.Beat++
	scale := g.scale()
	for _, p := range g.Peers() {
		silent := time.Duration(float64(now.Sub(p.heard)) / scale)
		switch {
		case silent > 4*g.config.DeadAfter:
			delete(g.peers, p.node.ID)
			g.sorted = nil
			g.emit(Changed{})
		case silent > g.config.DeadAfter:
			g.move(p, expire)
		case silent > g.config.SuspectAfter:
			g.move(p, silence)
		}
	}
	for _, addr := range g.pick(1) {
		g.emit(Gossip{addr, g.Digest()})
	}
}

// scale is how much longer than among a few nodes a heartbeat takes to spread.
// A node hears two digests a round.
func (g *Group) scale() float64 {
	return max(float64(len(g.peers))/float64(2*g.config.MaxNodes), 1)
}

// Digest returns what this node tells in a round: itself, a part of the other
// nodes that moves on from round to round, and the newest marks.
func (g *Group) Digest() Digest {
	d := Digest{From: g.self}
	peers := g.Peers()
	for i := range min(len(peers), g.config.MaxNodes) {
		p := peers[(g.rotate+i)%len(peers)]
		if p.state != Dead {
			d.Nodes = append(d.Nodes, p.node)
		}
	}
	g.rotate += g.config.MaxNodes
	if len(peers) > 0 {
		g.rotate %= len(peers)
	}
	marks := g.marks.Keys()
	d.Marks = marks[max(len(marks)-g.config.MaxMarks, 0):]
	return d
}

// pick returns the addresses of some random other nodes. At times they are taken
// from those that are only listed or seeds, so that a partition heals.
func (g *Group) pick(count int) []string {
	var addrs []string
	for _, p := range g.Peers() {
		if p.state != Dead && p.node.Addr != g.self.Addr {
			addrs = append(addrs, p.node.Addr)
		}
	}
	rest := slices.DeleteFunc(append(slices.Clone(g.listed), g.config.Seeds...), func(addr string) bool {
		return addr == g.self.Addr
	})
	if len(rest) > 0 && (len(addrs) == 0 || g.random.IntN(4) == 0) {
		addrs = rest
	}
	for i := range min(count, len(addrs)) {
		j := i + g.random.IntN(len(addrs)-i)
		addrs[i], addrs[j] = addrs[j], addrs[i]
	}
	return addrs[:min(count, len(addrs))]
}
