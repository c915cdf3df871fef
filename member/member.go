// Package member keeps what a node knows of the other hosts: the entry hosts
// that run this system and the upstreams that serve calls. It combines the
// platform's host list, which lags and can be away, with what nodes tell each
// other by gossip and with what is seen on the data path.
//
// A host that is leaving is marked by its id and incarnation. A mark is never
// taken back, and a new one is passed on at once, so that a leaving host gets no
// new work although the platform is away. The package is a reducer: Step takes
// an event and returns effects.
package member

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselplank/queue"
	"teaselplank/state"
	"teaselplank/wire"
)

// Config holds the bounds of a Group.
type Config struct {
	// Self describes this node; Beat and Version are filled in.
	Self Node
	// Seeds are the addresses of other nodes to begin with.
	Seeds []string
	// Period is the time between two gossip rounds.
	Period time.Duration
	// SuspectAfter and DeadAfter are how long a node may go without a new
	// heartbeat before it counts as suspect and as dead. Both grow with the
	// number of nodes, for a digest carries only MaxNodes of them.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// Fanout is the number of nodes that a new mark is passed on to.
	Fanout int
	// MaxNodes and MaxMarks bound what one digest carries.
	MaxNodes int
	MaxMarks int
}

// DefaultConfig returns the bounds that a node uses where its settings name no
// others.
func DefaultConfig() Config {
	return Config{
		Period:       500 * time.Millisecond,
		SuspectAfter: 4 * time.Second,
		DeadAfter:    15 * time.Second,
		Fanout:       3,
		MaxNodes:     12,
		MaxMarks:     64,
	}
}

// A Node is what is told of an entry host.
type Node struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	// Processor is the part of a core that the node has, or 0 if it is not
	// known.
	Processor float64 `json:"processor,omitempty"`
	// Beat is raised by the node itself in each round.
	Beat uint64 `json:"beat"`
	// Leaving is true once the node has been asked to stop.
	Leaving bool `json:"leaving,omitempty"`
	// Version is the version of the rules in force on the node.
	Version int64 `json:"version"`
	// Rates are rates a second that the node tells of its work. Package pipe
	// says what the keys mean.
	Rates map[string]float64 `json:"rates,omitempty"`
}

// A Mark says that a host's process is leaving.
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
	beat    input = "beat"
	silence input = "silence"
	leave   input = "leave"
	expire  input = "expire"
)

var machine = state.New("node",
	state.Rule[State, input]{Event: beat, From: []State{Live, Suspect, Dead}, To: Live},
	state.Rule[State, input]{Event: beat, From: []State{Leaving}, To: Leaving},
	state.Rule[State, input]{Event: silence, From: []State{Live}, To: Suspect},
	state.Rule[State, input]{Event: leave, From: []State{Live, Suspect, Leaving, Dead}, To: Leaving},
	state.Rule[State, input]{Event: expire, From: []State{Live, Suspect, Leaving, Dead}, To: Dead},
)

// A Peer is another node and its state as this node sees it.
type Peer struct {
	node  Node
	state State
	// heard is when a new heartbeat was last learned of.
	heard time.Time
}

// Node returns what the peer has told of itself.
func (p *Peer) Node() Node { return p.node }

// State returns the peer's state.
func (p *Peer) State() State { return p.state }

// Heard returns when a new heartbeat of the peer was last learned of.
func (p *Peer) Heard() time.Time { return p.heard }

// keptMarks bounds the marks that a node remembers.
const keptMarks = 8192

// A Group is the state of the reducer. Create it with New.
type Group struct {
	config Config
	self   Node
	peers  map[string]*Peer
	// sorted holds the peers by id; it is nil after a change of the map.
	sorted []*Peer
	// upstreams are the upstreams of the last host list.
	upstreams []wire.Host
	// listed are the addresses of the entry hosts of the last host list.
	listed []string
	marks  queue.Recent[Mark, struct{}]
	random *rand.Rand
	// next is when the next round is due.
	next    time.Time
	effects []Effect
	// hosts is the last host list, for nodes that cannot reach the platform.
	hosts []wire.Host
	// rotate is where the next digest's part of the peers begins.
	rotate int
}

// New returns a group that knows only the node itself.
func New(config Config, seed uint64) *Group {
	g := &Group{
		config: config,
		self:   config.Self,
		peers:  make(map[string]*Peer),
		random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(config.Self.ID+config.Self.Incarnation))),
	}
	g.marks.Limit = keptMarks
	return g
}

// Step applies an event and returns its effects, which are valid until the next
// call.
func (g *Group) Step(now time.Time, event Event) []Effect {
	g.effects = nil
	switch e := event.(type) {
	case Listed:
		g.list(e.Hosts)
	case Heard:
		g.hear(now, e.Digest)
	case Seen:
		g.mark(e.Mark)
	case Stop:
		g.self.Leaving = true
		g.mark(Mark{g.self.ID, g.self.Incarnation})
	case Told:
		g.self.Version, g.self.Rates = e.Version, e.Rates
	case Tick:
		g.tick(now)
	}
	return g.effects
}

// Wake returns the time of the next Tick that the group needs.
func (g *Group) Wake() time.Time { return g.next }

// Self returns what this node tells of itself.
func (g *Group) Self() Node { return g.self }

// Hosts returns the last host list.
func (g *Group) Hosts() []wire.Host { return g.hosts }

// Upstreams returns the listed upstreams, with the leaving ones marked.
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

// Live returns the nodes that take part, this one among them, sorted by id.
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

func (g *Group) emit(e Effect) { g.effects = append(g.effects, e) }

// list takes in the platform's host list.
func (g *Group) list(hosts []wire.Host) {
	g.hosts = hosts
	g.upstreams, g.listed = nil, nil
	for _, h := range hosts {
		if h.Leaving {
			g.mark(Mark{h.ID, h.Incarnation})
		}
		if h.Role == RoleEntry {
			if h.Addr != g.self.Addr {
				g.listed = append(g.listed, h.Addr)
			}
			continue
		}
		g.upstreams = append(g.upstreams, h)
	}
	g.emit(Changed{})
}

// RoleEntry is the role of entry hosts in host lists.
const RoleEntry = "entry"

// mark notes that a host is leaving, and passes a new mark on.
func (g *Group) mark(m Mark) {
	if _, known := g.marks.Get(m); known {
		return
	}
	g.marks.Put(m, struct{}{})
	if p := g.peers[m.Host]; p != nil && p.node.Incarnation == m.Incarnation {
		g.move(p, leave)
	}
	g.emit(Marked{m})
	g.emit(Changed{})
	digest := Digest{From: g.self, Marks: []Mark{m}}
	for _, addr := range g.pick(g.config.Fanout) {
		g.emit(Gossip{addr, digest})
	}
}

func (g *Group) move(p *Peer, event input) {
	next, err := machine.Next(p.state, event)
	if err != nil || next == p.state {
		return
	}
	p.state = next
	g.emit(Changed{})
}
