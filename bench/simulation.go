package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"teaselplank/core"
	"teaselplank/ledger"
	"teaselplank/member"
	"teaselplank/pipe"
	"teaselplank/queue"
	"teaselplank/rules"
	"teaselplank/wire"
)

// A simulation holds the nodes and fakes of one run in virtual time.
type simulation struct {
	site        Site
	fault       Fault
	start       time.Time
	now         time.Time
	events      queue.Timers[func()]
	random      *rand.Rand
	nodes       []*node
	nodesByAddr map[string]*node
	workers     []*worker
	workersByID map[string]*worker
	hosts       []wire.Host
	rulesPage   wire.Page
	calls       map[string]*result
	// isolatedZone is the zone without a connection to other zones or the platform,
	// or empty.
	isolatedZone string
	platformDown bool
	loadLag      time.Duration
	// connEpoch counts how often all open connections went silent. Connections of
	// earlier epochs deliver nothing.
	connEpoch int
}

// A node is the reducer of a node and the time of its next tick.
type node struct {
	core     *core.Node
	id       string
	zone     string
	addr     string
	nextTick time.Time
}

// A result records the outcome of a call.
type result struct {
	arrival    arrival
	firstToken time.Duration
	total      time.Duration
	outcome    wire.Outcome
	status     int
	answer     wire.Answer
}

// defaultLoadLag is the age of a reported load without faults. inZoneDelay is the one-way
// network delay within an availability zone.
const (
	defaultLoadLag = 300 * time.Millisecond
	inZoneDelay    = 200 * time.Microsecond
)

func newSimulation(site Site, fault Fault, variant Variant, seed uint64) *simulation {
	s := &simulation{
		site: site, fault: fault, start: time.Unix(1_800_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 2)), nodesByAddr: make(map[string]*node),
		workersByID: make(map[string]*worker), calls: make(map[string]*result), loadLag: defaultLoadLag,
	}
	s.now = s.start
	s.addWorkers()
	s.buildRules()
	for i := range site.Nodes {
		s.addNode(i, variant)
	}
	return s
}

func (s *simulation) addWorkers() {
	for _, p := range s.site.Pools {
		for i := range p.Hosts {
			h := wire.Host{
				ID: fmt.Sprintf("%s-%d", p.Name, i), Incarnation: "1", Role: "upstream",
				Pool: p.Name, Zone: zoneName(i % s.site.Zones),
			}
			h.Addr = h.ID
			w := &worker{sim: s, pool: p, host: h, index: i, slowdown: 1, cache: queue.FIFOMap[string, bool]{Limit: maxCachedPrefixes}}
			s.workers = append(s.workers, w)
			s.workersByID[h.ID] = w
			s.hosts = append(s.hosts, h)
		}
	}
}

// buildRules encodes the rules of the site as a page of the rules stream.
func (s *simulation) buildRules() {
	var edits []rules.Edit
	addEdit := func(kind rules.Kind, name, format string, values ...any) {
		text := fmt.Sprintf("%s %s ", kind, name) + fmt.Sprintf(format, values...) + " # bench"
		edits = append(edits, rules.Edit{Kind: kind, Name: name, Text: text})
	}
	stages := ""
	for _, p := range s.site.Pools {
		if p.Kind == core.StepService {
			addEdit(rules.KindService, p.Name, "repeat=safe deadline=1s")
			continue
		}
		addEdit(rules.KindStage, p.Name, "kind=%s", p.Kind)
		stages += "," + p.Name
	}
	addEdit(rules.KindPipeline, s.site.Pipeline, "stages=%s deadline=%s", stages[1:], s.site.Deadline)
	for i, a := range s.site.Accounts {
		addEdit(rules.KindAccount, a.Name, "weight=%d token=sha256:%064d", a.Weight, i)
	}
	data, err := rules.EncodeChange(&rules.Change{ID: "bench", Who: "bench", Edits: edits})
	if err != nil {
		panic(err)
	}
	s.rulesPage = wire.Page{End: 1, Records: []wire.Record{{Data: data, Time: s.now}}}
}

func (s *simulation) addNode(i int, variant Variant) {
	n := &node{id: fmt.Sprintf("entry-%d", i), zone: zoneName(i % s.site.Zones)}
	n.addr = n.id
	config := core.DefaultConfig()
	config.Member.Self = member.Node{ID: n.id, Incarnation: "1", Addr: n.addr, Zone: n.zone}
	config.Route.Node, config.Route.Zone = n.id, n.zone
	config.Ledger.Node, config.Ledger.Incarnation = n.id, "1"
	config.Seed = uint64(i)
	variant.Apply(&config)
	n.core = core.New(config)
	s.nodes = append(s.nodes, n)
	s.nodesByAddr[n.addr] = n
	s.hosts = append(s.hosts, wire.Host{ID: n.id, Incarnation: "1", Role: "entry", Zone: n.zone, Addr: n.addr})
}

// after runs f once d has passed.
func (s *simulation) after(d time.Duration, f func()) { s.events.Add(s.now.Add(d), f) }

// run replays the load and returns once no events are left or the deadline of the last
// call has passed.
func (s *simulation) run(load []arrival) {
	for i, a := range load {
		s.events.Add(s.start.Add(a.at), func() { s.arrive(i, a) })
	}
	if s.fault.inject != nil {
		s.events.Add(s.start.Add(faultStart), func() { s.fault.inject(s) })
		s.events.Add(s.start.Add(faultEnd), func() { s.fault.revert(s) })
	}
	for _, n := range s.nodes {
		s.step(n, core.Tick{})
	}
	end := s.start.Add(runDuration + s.site.Deadline)
	for {
		next, ok := s.events.Next()
		if !ok || next.After(end) {
			return
		}
		s.now = next
		if f, ok := s.events.Pop(next); ok {
			f()
		}
	}
}

func (s *simulation) arrive(i int, a arrival) {
	n := s.nodes[a.nodeDraw%len(s.nodes)]
	id := fmt.Sprintf("call-%d", i)
	s.calls[id] = &result{arrival: a}
	c := core.Call{ID: id, Account: a.account.Name, Input: id, Prefix: a.prefix, Tokens: a.tokens}
	if a.service != "" {
		c.Service = a.service
	} else {
		c.Pipeline = s.site.Pipeline
	}
	s.step(n, core.CallArrived{Call: c})
}

// step passes an event to a node, performs the effects and schedules the next tick.
func (s *simulation) step(n *node, event core.Event) {
	for _, e := range n.core.Step(s.now, event) {
		s.perform(n, e)
	}
	wake := n.core.Wake()
	if wake.Equal(n.nextTick) || !n.nextTick.IsZero() && n.nextTick.After(s.now) && wake.After(n.nextTick) {
		return
	}
	n.nextTick = wake
	s.after(max(wake.Sub(s.now), 0), func() {
		if n.nextTick.Equal(wake) {
			n.nextTick = time.Time{}
			s.step(n, core.Tick{})
		}
	})
}

// linkDelay returns the one-way delay between two zones and whether their link is down.
func (s *simulation) linkDelay(from, to string) (time.Duration, bool) {
	if from == to {
		return inZoneDelay, false
	}
	return s.site.Delay, s.isolatedZone != "" && (from == s.isolatedZone || to == s.isolatedZone)
}

// platformUnreachable reports whether a node cannot reach the platform.
func (s *simulation) platformUnreachable(n *node) bool {
	return s.platformDown || s.isolatedZone != "" && n.zone == s.isolatedZone
}

func (s *simulation) perform(n *node, effect core.Effect) {
	respond := func(d time.Duration, e core.Event) { s.after(d, func() { s.step(n, e) }) }
	const platformDelay = 2 * time.Millisecond
	switch e := effect.(type) {
	case core.Reply:
		s.recordReply(e)
	case pipe.Call:
		s.dispatch(n, e)
	case pipe.Cancel:
		worker := s.workersByID[e.Worker.ID]
		if d, unreachable := s.linkDelay(n.zone, worker.host.Zone); !unreachable {
			s.after(d, func() { worker.cancel(e.Ref) })
		}
	case member.Gossip:
		s.gossip(n, e)
	case core.ListHosts:
		if !s.platformUnreachable(n) {
			respond(platformDelay, member.HostsListed{Hosts: s.hosts})
		}
	case core.ReadStream:
		if !s.platformUnreachable(n) && e.Stream == rules.Stream && e.From == 0 {
			respond(platformDelay, core.StreamRead{Stream: e.Stream, Page: s.rulesPage})
		}
	case ledger.Read:
		if s.platformUnreachable(n) {
			respond(platformDelay, ledger.ReadFailed{Shard: e.Shard})
		} else {
			respond(platformDelay, ledger.PageRead{Shard: e.Shard})
		}
	case core.QueryLoad:
		worker := s.workersByID[e.Host.ID]
		d, unreachable := s.linkDelay(n.zone, worker.host.Zone)
		if !unreachable && !worker.frozen {
			load := worker.reportedLoad()
			respond(2*d, core.LoadReported{Host: e.Host.ID, Load: load})
		}
	}
}

func (s *simulation) recordReply(e core.Reply) {
	r := s.calls[e.ID]
	r.outcome, r.status, r.answer = e.Answer.Outcome, e.Status, e.Answer
	r.total = s.now.Sub(s.start) - r.arrival.at
}

func (s *simulation) gossip(n *node, e member.Gossip) {
	peer := s.nodesByAddr[e.Addr]
	d, unreachable := s.linkDelay(n.zone, peer.zone)
	if unreachable {
		return
	}
	s.after(d, func() {
		s.step(peer, member.DigestReceived{Digest: e.Digest})
		answer := peer.core.Group().Digest()
		s.after(d, func() { s.step(n, member.DigestReceived{Digest: answer}) })
	})
}

// dispatch sends an attempt to its worker. While the link between the zones is down, the
// attempt fails after dialTimeout, because no new connection can be opened.
func (s *simulation) dispatch(n *node, e pipe.Call) {
	const dialTimeout = time.Second
	worker := s.workersByID[e.Worker.ID]
	d, unreachable := s.linkDelay(n.zone, worker.host.Zone)
	if unreachable {
		s.after(dialTimeout, func() { s.step(n, pipe.Failed{Ref: e.Ref, Failure: pipe.Unsent}) })
		return
	}
	a := &attempt{node: n, call: e, connEpoch: s.connEpoch, linkDelay: d}
	s.after(d, func() { worker.enqueue(a) })
}

// silenceConnections makes all connections that are currently in use go silent.
func (s *simulation) silenceConnections() { s.connEpoch++ }

// deliver passes an event from a worker to the node, unless the connection is silent or
// the link between their zones is down.
func (s *simulation) deliver(a *attempt, event func()) {
	if a.connEpoch != s.connEpoch {
		return
	}
	if _, unreachable := s.linkDelay(a.node.zone, s.workersByID[a.call.Worker.ID].host.Zone); unreachable {
		return
	}
	s.after(a.linkDelay, event)
}
