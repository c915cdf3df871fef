package member

import (
	"slices"
	"time"

	"teaselplank/evac"
	"teaselplank/limit"
)

// A Digest is the message that nodes exchange by gossip. Its lists are bounded.
type Digest struct {
	From  Node   `json:"from"`
	Nodes []Node `json:"nodes"`
	Marks []Mark `json:"marks"`
	// Limits are the limits that upstreams have named.
	Limits []limit.Limit `json:"limits,omitempty"`
	// Paces are the rates of upstreams in a slow start.
	Paces []limit.Limit `json:"paces,omitempty"`
	// Evacuations say which zones are evacuated, or were.
	Evacuations []evac.State `json:"evacuations,omitempty"`
}

func (g *Group) receive(now time.Time, d Digest) {
	g.mergeNode(now, d.From)
	for _, n := range d.Nodes {
		g.mergeNode(now, n)
	}
	for _, m := range d.Marks {
		g.addMark(m)
	}
	var news []limit.Limit
	for _, l := range d.Limits {
		if g.limits.Merge(now, l) {
			news = append(news, l)
		}
	}
	g.spreadLimits(news)
	g.mergePaces(now, d.Paces)
	g.learnEvacuations(d.Evacuations)
}

// mergeNode updates the entry of a node. It ignores older information.
func (g *Group) mergeNode(now time.Time, n Node) {
	switch n.ID {
	case g.self.ID:
		g.renew(n.Incarnation)
		return
	case "":
		return
	}
	p := g.peers[n.ID]
	if p == nil || p.node.Incarnation != n.Incarnation && g.isNewer(p, n) {
		p = &Peer{state: Live, lastHeartbeat: now}
		g.peers[n.ID] = p
		g.sorted = nil
		p.node = n
		g.emit(Changed{})
	} else if p.node.Incarnation != n.Incarnation || n.Heartbeat <= p.node.Heartbeat {
		return
	}
	p.node, p.lastHeartbeat = n, now
	g.transition(p, heartbeatReceived)
	if n.Leaving || g.IsLeaving(n.ID, n.Incarnation) {
		g.transition(p, leaveMarked)
		g.addMark(Mark{n.ID, n.Incarnation})
	}
}

// isNewer reports whether n is a newer process than p. Incarnations are version 7
// UUIDs, so they sort by the time when the process started; see renew for clocks that are set back.
func (g *Group) isNewer(p *Peer, n Node) bool { return n.Incarnation > p.node.Incarnation }

func (g *Group) tick(now time.Time) {
	if now.Before(g.nextRound) {
		return
	}
	g.nextRound = now.Add(g.config.Period)
	g.self.Heartbeat++
	scale := g.timeoutScale()
	for _, p := range g.Peers() {
		age := time.Duration(float64(now.Sub(p.lastHeartbeat)) / scale)
		switch {
		case age > 4*g.config.DeadAfter:
			delete(g.peers, p.node.ID)
			g.sorted = nil
			g.emit(Changed{})
		case age > g.config.DeadAfter:
			g.transition(p, heartbeatExpired)
		case age > g.config.SuspectAfter:
			g.transition(p, heartbeatOverdue)
		}
	}
	for _, addr := range g.randomAddrs(1) {
		g.emit(Gossip{addr, g.Digest()})
	}
}

// timeoutScale returns the factor by which timeouts grow with the number of nodes.
// A node receives two digests per round of at most MaxNodes nodes each, so with more
// nodes a heartbeat takes longer to spread.
func (g *Group) timeoutScale() float64 {
	return max(float64(len(g.peers))/float64(2*g.config.MaxNodes), 1)
}

// Digest returns this node's digest for one round: the node itself, a window over
// the other nodes that advances with each call, the newest marks, and windows over the
// limits and paces of upstreams and the evacuations of zones.
func (g *Group) Digest() Digest {
	d := Digest{From: g.self}
	peers := g.Peers()
	for i := range min(len(peers), g.config.MaxNodes) {
		p := peers[(g.digestOffset+i)%len(peers)]
		if p.state != Dead {
			d.Nodes = append(d.Nodes, p.node)
		}
	}
	g.digestOffset += g.config.MaxNodes
	if len(peers) > 0 {
		g.digestOffset %= len(peers)
	}
	marks := g.marks.Keys()
	d.Marks = marks[max(len(marks)-g.config.MaxMarks, 0):]
	d.Limits = g.limits.Window(g.config.MaxLimits)
	d.Paces = g.paces.Window(g.config.MaxLimits)
	d.Evacuations = g.evacuationWindow()
	return d
}

// randomAddrs returns the addresses of up to count random nodes other than this one.
// About one call in four chooses among the listed entry hosts and the seeds instead, so
// that a partition heals. So does every call while all peers are dead.
func (g *Group) randomAddrs(count int) []string {
	var addrs []string
	for _, p := range g.Peers() {
		if p.state != Dead && p.node.Addr != g.self.Addr {
			addrs = append(addrs, p.node.Addr)
		}
	}
	fallback := slices.DeleteFunc(append(slices.Clone(g.entryAddrs), g.config.Seeds...), func(addr string) bool {
		return addr == g.self.Addr
	})
	if len(fallback) > 0 && (len(addrs) == 0 || g.random.IntN(4) == 0) {
		addrs = fallback
	}
	for i := range min(count, len(addrs)) {
		j := i + g.random.IntN(len(addrs)-i)
		addrs[i], addrs[j] = addrs[j], addrs[i]
	}
	return addrs[:min(count, len(addrs))]
}
