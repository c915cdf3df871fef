// Package member tracks group membership: the entry hosts that run this system and
// the upstreams that serve calls. It combines three sources: the platform's host
// list, which lags and can be unavailable, gossip between nodes, and observations on
// the data path.
//
// A mark records that a host is leaving, by its id and incarnation. A mark is never
// removed by later information, and a new mark is sent to other nodes at once. A
// leaving host therefore gets no new work even while the platform is unavailable.
// The limits that upstreams name and the evacuations of zones spread in the same way.
// The package is a reducer: Step takes an event and returns effects.
package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselplank/evac"
	"teaselplank/limit"
	"teaselplank/queue"
	"teaselplank/state"
	"teaselplank/wire"
)

// Config holds the parameters of a Group.
type Config struct {
	// Self describes this node. The Group sets Heartbeat, Leaving, Version and Rates.
	Self Node
	// Seeds are the addresses of the nodes to contact at first.
	Seeds []string
	// Period is the time between two gossip rounds.
	Period time.Duration
	// SuspectAfter and DeadAfter are the times without a new heartbeat after
	// which a node counts as suspect and as dead. Both grow with the number of
	// nodes, because a digest carries at most MaxNodes of them.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// Fanout is the number of nodes that a new mark or limit is sent to at once.
	Fanout int
	// MaxNodes, MaxMarks and MaxLimits bound the nodes, the marks and the limits of
	// upstreams in one digest.
	MaxNodes  int
	MaxMarks  int
	MaxLimits int
}

// DefaultConfig returns the defaults for parameters that the settings do not set.
func DefaultConfig() Config {
	return Config{
		Period:       500 * time.Millisecond,
		SuspectAfter: 4 * time.Second,
		DeadAfter:    15 * time.Second,
		Fanout:       3,
		MaxNodes:     12,
		MaxMarks:     64,
		MaxLimits:    16,
	}
}

// A Node is the announced description of an entry host.
type Node struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	// Processor is the node's CPU share in cores, or 0 if it is unknown.
	Processor float64 `json:"processor,omitempty"`
	// Heartbeat is a counter that the node itself increments in each round.
	Heartbeat uint64 `json:"beat"`
	// Leaving is true once the node has been asked to stop.
	Leaving bool `json:"leaving,omitempty"`
	// Version is the version of the rules in force on the node.
	Version int64 `json:"version"`
	// Rates are the work rates per second that the node announces. Package pipe
	// defines the keys.
	Rates map[string]float64 `json:"rates,omitempty"`
}

// A Mark records that a host's process is leaving.
type Mark struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// State is the state of another node.
type State string

// The states of a node.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Dead    State = "dead"
)

type input string

const (
	heartbeatReceived input = "beat"
	heartbeatOverdue  input = "silence"
	leaveMarked       input = "leave"
	heartbeatExpired  input = "expire"
)

var peerStates = state.New("node",
	state.Transition[State, input]{Event: heartbeatReceived, From: []State{Live, Suspect, Dead}, To: Live},
	state.Transition[State, input]{Event: heartbeatReceived, From: []State{Leaving}, To: Leaving},
	state.Transition[State, input]{Event: heartbeatOverdue, From: []State{Live}, To: Suspect},
	state.Transition[State, input]{Event: leaveMarked, From: []State{Live, Suspect, Leaving, Dead}, To: Leaving},
	state.Transition[State, input]{Event: heartbeatExpired, From: []State{Live, Suspect, Leaving, Dead}, To: Dead},
)

// A Peer is another node and its state in this node's view.
type Peer struct {
	node  Node
	state State
	// lastHeartbeat is when this node last received a new heartbeat of the peer.
	lastHeartbeat time.Time
}

// Node returns the peer's latest known description.
func (p *Peer) Node() Node { return p.node }

// State returns the peer's state.
func (p *Peer) State() State { return p.state }

// LastHeartbeat returns when this node last received a new heartbeat of the peer.
func (p *Peer) LastHeartbeat() time.Time { return p.lastHeartbeat }

// maxKnownMarks bounds the marks that a node keeps; the oldest are dropped.
const maxKnownMarks = 8192

// A Group is the state of the reducer. Create it with New.
type Group struct {
	config Config
	self   Node
	peers  map[string]*Peer
	// sorted caches the peers sorted by id; it is nil after a change of the map.
	sorted []*Peer
	// upstreams are the upstreams in the last host list.
	upstreams []wire.Host
	// entryAddrs are the addresses of the other entry hosts in the last host list.
	entryAddrs []string
	// entryIDs are their IDs.
	entryIDs []string
	marks    queue.FIFOMap[Mark, struct{}]
	limits   limit.Table
	// paces are the rates of upstreams in a slow start. They are kept like limits, with the
	// statements of nodes in place of those of upstreams.
	paces limit.Table
	// evacuations are those of zones. evacuationOffset is the position of the first one in the
	// next digest.
	evacuations      evac.Table
	evacuationOffset int
	random           *rand.Rand
	// nextRound is when the next gossip round starts.
	nextRound time.Time
	effects   []Effect
	// hosts is the last host list, for nodes that cannot reach the platform.
	hosts []wire.Host
	// digestOffset is the index of the first peer in the next digest.
	digestOffset int
}

// New returns a group that knows only the node itself.
func New(config Config, seed uint64) *Group {
	g := &Group{
		config: config,
		self:   config.Self,
		peers:  make(map[string]*Peer),
		random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(config.Self.ID+config.Self.Incarnation))),
	}
	g.marks.Limit = maxKnownMarks
	return g
}

// Step applies an event and returns its effects. They are valid until the next call.
func (g *Group) Step(now time.Time, event Event) []Effect {
	g.effects = nil
	switch e := event.(type) {
	case HostsListed:
		g.setHosts(e.Hosts)
	case DigestReceived:
		g.receive(now, e.Digest)
	case MarkObserved:
		g.addMark(e.Mark)
	case LimitStated:
		if l, changed := g.limits.State(now, e.SentAt, e.Process, e.Statement); changed {
			g.spreadLimits([]limit.Limit{l})
		}
	case PaceStated:
		if l, changed := g.paces.State(now, e.SentAt, e.Process, e.Statement); changed {
			g.spreadPaces([]limit.Limit{l})
		}
	case EvacuationsRead:
		g.readEvacuations(e.Page)
	case Stop:
		g.self.Leaving = true
		g.addMark(Mark{g.self.ID, g.self.Incarnation})
	case SelfUpdated:
		g.self.Version, g.self.Rates = e.Version, e.Rates
	case SelfSpread:
		g.spread(g.Digest())
	case Tick:
		g.tick(now)
	}
	return g.effects
}

// Wake returns the time of the next Tick that the group needs.
func (g *Group) Wake() time.Time { return g.nextRound }

// Self returns the description that this node announces.
func (g *Group) Self() Node { return g.self }

// Hosts returns the last host list.
func (g *Group) Hosts() []wire.Host { return g.hosts }

// Upstreams returns the listed upstreams. Leaving is set on those with a mark.
func (g *Group) Upstreams() []wire.Host {
	upstreams := slices.Clone(g.upstreams)
	for i, h := range upstreams {
		if g.IsLeaving(h.ID, h.Incarnation) {
			upstreams[i].Leaving = true
		}
	}
	return upstreams
}

// IsLeaving reports whether a host's process is known to be leaving.
func (g *Group) IsLeaving(id, incarnation string) bool {
	_, marked := g.marks.Get(Mark{id, incarnation})
	return marked
}

// Peers returns the other nodes sorted by id. The slice must not be changed.
func (g *Group) Peers() []*Peer {
	if g.sorted == nil {
		g.sorted = make([]*Peer, 0, len(g.peers))
		for _, p := range g.peers {
			g.sorted = append(g.sorted, p)
		}
		sort.Slice(g.sorted, func(i, j int) bool { return g.sorted[i].node.ID < g.sorted[j].node.ID })
	}
	return g.sorted
}

// Peer returns another node by its id.
func (g *Group) Peer(id string) (*Peer, bool) {
	p, ok := g.peers[id]
	return p, ok
}

// Live returns this node and all live or suspect peers, sorted by id.
func (g *Group) Live() []Node {
	live := []Node{g.self}
	for _, p := range g.peers {
		if p.state == Live || p.state == Suspect {
			live = append(live, p.node)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

// elderRounds is how many more rounds than this node another one must have run to count
// as an elder.
const elderRounds = 6

// Elders returns the live and suspect peers that were running before this node started.
// They may know what the platform has lost since. Nodes that start together have none.
func (g *Group) Elders() []Node {
	var elders []Node
	for _, p := range g.Peers() {
		if (p.state == Live || p.state == Suspect) && p.node.Heartbeat > g.self.Heartbeat+elderRounds {
			elders = append(elders, p.node)
		}
	}
	return elders
}

const (
	// settledRounds is the number of rounds after which a node knows the others, and they know
	// it.
	settledRounds = 6
	// siblingRounds is the same for nodes that started together, if all that the platform lists
	// have run as many.
	siblingRounds = 3
)

// settledAfter returns the number of rounds after which nodes are settled in this node's view.
func (g *Group) settledAfter() uint64 {
	if len(g.entryIDs) == 0 || len(g.Elders()) > 0 {
		return settledRounds
	}
	for _, id := range g.entryIDs {
		if p := g.peers[id]; p == nil || p.state != Live || p.node.Heartbeat < siblingRounds {
			return settledRounds
		}
	}
	return siblingRounds
}

// Settled returns the nodes, this one included, that are live, not leaving and known to the
// others. The total includes those that are silent.
func (g *Group) Settled() (nodes []Node, total int) {
	rounds := g.settledAfter()
	if !g.self.Leaving && g.self.Heartbeat >= rounds {
		nodes = append(nodes, g.self)
	}
	silent := 0
	for _, p := range g.Peers() {
		switch {
		case p.node.Heartbeat < rounds || g.IsLeaving(p.node.ID, p.node.Incarnation):
		case p.state == Live:
			nodes = append(nodes, p.node)
		default:
			silent++
		}
	}
	return nodes, len(nodes) + silent
}

// handoverRounds is how many more rounds a node that joins others waits until it uses shares
// itself, times the factor by which heartbeats take longer to spread among many nodes. By then
// nearly all of them count it and have given its shares up: the last of 59 others does after 22
// rounds, of 70 after 20, and 2 of 59 are left after 18.
const handoverRounds = 5

// MayHoldShares reports whether nearly all other nodes have had the time to give up the shares that
// this node now has. Nodes that started together have none to give up.
func (g *Group) MayHoldShares() bool {
	rounds := g.settledAfter()
	if rounds == settledRounds && len(g.peers) > 0 {
		rounds += uint64(math.Ceil(handoverRounds * g.timeoutScale()))
	}
	return g.self.Heartbeat >= rounds
}

func (g *Group) emit(e Effect) { g.effects = append(g.effects, e) }

// setHosts applies the platform's host list.
func (g *Group) setHosts(hosts []wire.Host) {
	g.hosts = hosts
	g.upstreams, g.entryAddrs, g.entryIDs = nil, nil, nil
	for _, h := range hosts {
		if h.Leaving {
			g.addMark(Mark{h.ID, h.Incarnation})
		}
		if h.Role == RoleEntry {
			if h.Addr != g.self.Addr {
				g.entryAddrs = append(g.entryAddrs, h.Addr)
				g.entryIDs = append(g.entryIDs, h.ID)
			}
			continue
		}
		g.upstreams = append(g.upstreams, h)
	}
	g.emit(Changed{})
}

// RoleEntry is the role of entry hosts in host lists.
const RoleEntry = "entry"

// addMark records that a host is leaving. It sends a new mark to Fanout nodes.
func (g *Group) addMark(m Mark) {
	if _, known := g.marks.Get(m); known {
		return
	}
	g.marks.Put(m, struct{}{})
	if p := g.peers[m.Host]; p != nil && p.node.Incarnation == m.Incarnation {
		g.transition(p, leaveMarked)
	}
	g.emit(MarkAdded{m})
	g.emit(Changed{})
	g.spread(Digest{From: g.self, Marks: []Mark{m}})
}

// spread sends news to some nodes at once, which do the same.
func (g *Group) spread(d Digest) {
	for _, addr := range g.randomAddrs(g.config.Fanout) {
		g.emit(Gossip{addr, d})
	}
}

// spreadLimits reports limits that have changed, and sends them to other nodes. Those that are
// too many for one digest spread with the next rounds.
func (g *Group) spreadLimits(news []limit.Limit) {
	if len(news) == 0 {
		return
	}
	for _, l := range news {
		g.emit(LimitChanged{l})
	}
	g.spread(Digest{From: g.self, Limits: news[:min(len(news), g.config.MaxLimits)]})
}

// ConcernsLimit reports whether a statement about the limit of a process may change what is
// known of it.
func (g *Group) ConcernsLimit(p limit.Process, s limit.Statement) bool {
	return s.Named || g.limits.Knows(p)
}

// Limits returns what is known of the limits of upstreams, also of those that have ended.
func (g *Group) Limits() []limit.Limit { return g.limits.All() }

// UsableRate returns the rate at which this node may help to use a limit.
func (g *Group) UsableRate(l limit.Limit) float64 { return g.limits.Usable(l) }

func (g *Group) transition(p *Peer, event input) {
	next, err := peerStates.Next(p.state, event)
	if err != nil || next == p.state {
		return
	}
	p.state = next
	g.emit(Changed{})
}
