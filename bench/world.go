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

// A world is the nodes and fakes of one run in virtual time.
type world struct {
	site    Site
	fault   Fault
	start   time.Time
	now     time.Time
	events  queue.Timers[func()]
	random  *rand.Rand
	nodes   []*node
	byAddr  map[string]*node
	workers []*worker
	byID    map[string]*worker
	hosts   []wire.Host
	rules   wire.Page
	calls   map[string]*result
	// cut is the zone that is cut off from the others, or empty.
	cut          string
	platformDown bool
	loadLag      time.Duration
	// silences counts how often the open connections have gone silent.
	silences int
}

// A node is a reducer and the time of its next tick.
type node struct {
	core *core.Node
	id   string
	zone string
	addr string
	wake time.Time
}

// A result is what became of a call.
type result struct {
	arrival arrival
	first   time.Duration
	total   time.Duration
	outcome wire.Outcome
	status  int
	answer  wire.Answer
}

// usualLag is how long a reported load usually lags, and localDelay the time one
// way within a zone.
const (
	usualLag   = 300 * time.Millisecond
	localDelay = 200 * time.Microsecond
)

func newWorld(site Site, fault Fault, variant Variant, seed uint64) *world {
	w := &world{
		site: site, fault: fault, start: time.Unix(1_800_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 2)), byAddr: make(map[string]*node),
		byID: make(map[string]*worker), calls: make(map[string]*result), loadLag: usualLag,
	}
	w.now = w.start
	w.addWorkers()
	w.publish()
	for i := range site.Nodes {
		w.addNode(i, variant)
	}
	return w
}

func (w *world) addWorkers() {
	for _, p := range w.site.Pools {
		for i := range p.Hosts {
			h := wire.Host{
				ID: fmt.Sprintf("%s-%d", p.Name, i), Incarnation: "1", Role: "upstream",
				Pool: p.Name, Zone: zoneName(i % w.site.Zones),
			}
			h.Addr = h.ID
			one := &worker{world: w, pool: p, host: h, index: i, slow: 1, cache: queue.FIFOMap[string, bool]{Limit: cachedPrefixes}}
			w.workers = append(w.workers, one)
			w.byID[h.ID] = one
			w.hosts = append(w.hosts, h)
		}
	}
}

// publish makes the rules of the site.
func (w *world) publish() {
	var edits []rules.Edit
	add := func(kind rules.Kind, name, format string, values ...any) {
		text := fmt.Sprintf("%s %s ", kind, name) + fmt.Sprintf(format, values...) + " # bench"
		edits = append(edits, rules.Edit{Kind: kind, Name: name, Text: text})
	}
	stages := ""
	for _, p := range w.site.Pools {
		if p.Kind == core.StepService {
			add(rules.KindService, p.Name, "repeat=safe deadline=1s")
			continue
		}
		add(rules.KindStage, p.Name, "kind=%s", p.Kind)
		stages += "," + p.Name
	}
	add(rules.KindPipeline, w.site.Pipeline, "stages=%s deadline=%s", stages[1:], w.site.Deadline)
	for i, a := range w.site.Accounts {
		add(rules.KindAccount, a.Name, "weight=%d token=sha256:%064d", a.Weight, i)
	}
	data, err := rules.EncodeChange(&rules.Change{ID: "bench", Who: "bench", Edits: edits})
	if err != nil {
		panic(err)
	}
	w.rules = wire.Page{End: 1, Records: []wire.Record{{Data: data, Time: w.now}}}
}

func (w *world) addNode(i int, variant Variant) {
	n := &node{id: fmt.Sprintf("entry-%d", i), zone: zoneName(i % w.site.Zones)}
	n.addr = n.id
	config := core.DefaultConfig()
	config.Member.Self = member.Node{ID: n.id, Incarnation: "1", Addr: n.addr, Zone: n.zone}
	config.Route.Node, config.Route.Zone = n.id, n.zone
	config.Ledger.Node, config.Ledger.Incarnation = n.id, "1"
	config.Seed = uint64(i)
	variant.Apply(&config)
	n.core = core.New(config)
	w.nodes = append(w.nodes, n)
	w.byAddr[n.addr] = n
	w.hosts = append(w.hosts, wire.Host{ID: n.id, Incarnation: "1", Role: "entry", Zone: n.zone, Addr: n.addr})
}

// after runs f later.
func (w *world) after(d time.Duration, f func()) { w.events.Add(w.now.Add(d), f) }

// run plays the load and returns when all is answered.
func (w *world) run(load []arrival) {
	for i, a := range load {
		w.events.Add(w.start.Add(a.at), func() { w.arrive(i, a) })
	}
	if w.fault.apply != nil {
		w.events.Add(w.start.Add(faultStart), func() { w.fault.apply(w) })
		w.events.Add(w.start.Add(faultEnd), func() { w.fault.heal(w) })
	}
	for _, n := range w.nodes {
		w.step(n, core.Tick{})
	}
	end := w.start.Add(runLength + w.site.Deadline)
	for {
		due, ok := w.events.Next()
		if !ok || due.After(end) {
			return
		}
		w.now = due
		if f, ok := w.events.Pop(due); ok {
			f()
		}
	}
}

func (w *world) arrive(i int, a arrival) {
	n := w.nodes[a.draw%len(w.nodes)]
	id := fmt.Sprintf("call-%d", i)
	w.calls[id] = &result{arrival: a}
	c := core.Call{ID: id, Account: a.account.Name, Input: id, Prefix: a.prefix, Tokens: a.tokens}
	if a.service != "" {
		c.Service = a.service
	} else {
		c.Pipeline = w.site.Pipeline
	}
	w.step(n, core.CallArrived{Call: c})
}

// step gives a node an event and performs the effects.
func (w *world) step(n *node, event core.Event) {
	for _, e := range n.core.Step(w.now, event) {
		w.perform(n, e)
	}
	wake := n.core.Wake()
	if wake.Equal(n.wake) || !n.wake.IsZero() && n.wake.After(w.now) && wake.After(n.wake) {
		return
	}
	n.wake = wake
	w.after(max(wake.Sub(w.now), 0), func() {
		if n.wake.Equal(wake) {
			n.wake = time.Time{}
			w.step(n, core.Tick{})
		}
	})
}

// delay returns the time one way between zones, and whether they are cut.
func (w *world) delay(from, to string) (time.Duration, bool) {
	if from == to {
		return localDelay, false
	}
	return w.site.Delay, w.cut != "" && (from == w.cut || to == w.cut)
}

// cutOff reports whether a node cannot reach the platform.
func (w *world) cutOff(n *node) bool { return w.platformDown || w.cut != "" && n.zone == w.cut }

func (w *world) perform(n *node, effect core.Effect) {
	back := func(d time.Duration, e core.Event) { w.after(d, func() { w.step(n, e) }) }
	const platformDelay = 2 * time.Millisecond
	switch e := effect.(type) {
	case core.Reply:
		w.reply(e)
	case pipe.Call:
		w.call(n, e)
	case pipe.Cancel:
		worker := w.byID[e.Worker.ID]
		if d, cut := w.delay(n.zone, worker.host.Zone); !cut {
			w.after(d, func() { worker.cancel(e.Ref) })
		}
	case member.Gossip:
		w.gossip(n, e)
	case core.ListHosts:
		if !w.cutOff(n) {
			back(platformDelay, member.HostsListed{Hosts: w.hosts})
		}
	case core.ReadStream:
		if !w.cutOff(n) && e.Stream == rules.Stream && e.From == 0 {
			back(platformDelay, core.StreamRead{Stream: e.Stream, Page: w.rules})
		}
	case ledger.Read:
		if w.cutOff(n) {
			back(platformDelay, ledger.ReadFailed{Shard: e.Shard})
		} else {
			back(platformDelay, ledger.PageRead{Shard: e.Shard})
		}
	case core.QueryLoad:
		worker := w.byID[e.Host.ID]
		d, cut := w.delay(n.zone, worker.host.Zone)
		if !cut && !worker.frozen {
			load := worker.reported()
			back(2*d, core.LoadReported{Host: e.Host.ID, Load: load})
		}
	}
}

func (w *world) reply(e core.Reply) {
	r := w.calls[e.ID]
	r.outcome, r.status, r.answer = e.Answer.Outcome, e.Status, e.Answer
	r.total = w.now.Sub(w.start) - r.arrival.at
}

func (w *world) gossip(n *node, e member.Gossip) {
	other := w.byAddr[e.Addr]
	d, cut := w.delay(n.zone, other.zone)
	if cut {
		return
	}
	w.after(d, func() {
		w.step(other, member.DigestReceived{Digest: e.Digest})
		answer := other.core.Group().Digest()
		w.after(d, func() { w.step(n, member.DigestReceived{Digest: answer}) })
	})
}

// call brings an attempt to its worker. While the zones are cut a new connection
// cannot be opened, which is noticed after dialTime.
func (w *world) call(n *node, e pipe.Call) {
	const dialTime = time.Second
	worker := w.byID[e.Worker.ID]
	d, cut := w.delay(n.zone, worker.host.Zone)
	if cut {
		w.after(dialTime, func() { w.step(n, pipe.Failed{Ref: e.Ref, Failure: pipe.Unsent}) })
		return
	}
	j := &job{node: n, call: e, silence: w.silences, delay: d}
	w.after(d, func() { worker.take(j) })
}

// silence lets all connections that are in use now go silent.
func (w *world) silence() { w.silences++ }

// send brings an event of a worker to the node, unless the connection is silent
// or cut.
func (w *world) send(j *job, event func()) {
	if j.silence != w.silences {
		return
	}
	if _, cut := w.delay(j.node.zone, w.byID[j.call.Worker.ID].host.Zone); cut {
		return
	}
	w.after(j.delay, event)
}
