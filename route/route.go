// Package route chooses the worker for a call. A Table holds the workers of
// every pool with what this node knows of each: its own calls in flight, the
// load that the worker last reported, a concurrency limit that follows the
// worker's answers, and whether fresh connections to it fail. A Policy picks
// among them.
//
// The package is part of a reducer: it takes the time as an argument and draws
// random numbers from a source that its owner seeds.
package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"teaselplank/health"
	"teaselplank/wire"
)

// Config holds the bounds of a Table.
type Config struct {
	// Node and Zone name the node that routes.
	Node string
	Zone string
	// Nodes is the number of nodes that share the workers; at least 1.
	Nodes int
	// Subset bounds the workers of a pool that this node uses.
	Subset int
	// ReportLife is the time after which a reported load counts for a third.
	ReportLife time.Duration
	// Backoff is how long a worker is passed over after a connection to it
	// failed.
	Backoff health.Backoff
	// Heartbeat is the age from which a reported load tells that the worker
	// cannot be reached; 0 is never.
	Heartbeat time.Duration
	// Adaptive lets concurrency limits follow the workers' answers. Without
	// it a worker takes any number of calls.
	Adaptive bool
}

// DefaultConfig returns the bounds that a node uses where its settings name no
// others.
func DefaultConfig() Config {
	return Config{
		Nodes:      1,
		Subset:     24,
		ReportLife: 500 * time.Millisecond,
		Backoff:    health.Backoff{Min: 500 * time.Millisecond, Max: 8 * time.Second},
		Heartbeat:  time.Second,
		Adaptive:   true,
	}
}

// A Pool is the workers that serve one stage or service.
type Pool struct {
	name string
	// workers are sorted by id.
	workers []*Worker
	// subset are the workers that this node uses.
	subset []*Worker
	// ring maps prefixes to workers of the subset.
	ring *rendezvous.Rendezvous
	byID map[string]*Worker
	turn int
}

// Name returns the stage or service that the pool serves.
func (p *Pool) Name() string { return p.name }

// Workers returns the workers of the pool, sorted by id.
func (p *Pool) Workers() []*Worker { return p.workers }

// A Query describes a call that needs a worker.
type Query struct {
	// Prefix is shared by calls that profit from the same worker.
	Prefix string
	// Avoid are the ids of workers that must not be picked again.
	Avoid []string
	// Stream tells that the call shows when it starts, by its first token.
	Stream bool
}

// A Policy picks a worker of the pool, or nil when none has room. It must not
// pick a worker for which Usable is false.
type Policy interface {
	Pick(t *View, p *Pool, q Query) *Worker
}

// A View is what a Policy may look at besides the pool.
type View struct {
	Config Config
	Now    time.Time
	Random *rand.Rand
	// Fresh is true when some worker of the pool has reported its load
	// lately, so that those who have not can be told from the rest.
	Fresh bool
}

func (t *Table) view(now time.Time, p *Pool) *View {
	v := &View{Config: t.config, Now: now, Random: t.random}
	if v.Config.Heartbeat > 0 {
		v.Config.Heartbeat = t.heartbeat()
	}
	for _, w := range p.subset {
		if !w.reported.IsZero() && !w.stale(v) {
			v.Fresh = true
			break
		}
	}
	return v
}

// A Table is the workers of all pools under one Policy.
type Table struct {
	config Config
	policy Policy
	random *rand.Rand
	pools  map[string]*Pool
	byID   map[string]*Worker
	// pace is how often a worker is asked for its load at least.
	pace time.Duration
}

// New returns an empty table.
func New(config Config, policy Policy, seed uint64) *Table {
	return &Table{
		config: config,
		policy: policy,
		random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(config.Node))),
		pools:  make(map[string]*Pool),
		byID:   make(map[string]*Worker),
	}
}

// SetNodes sets the number of nodes that share the workers.
func (t *Table) SetNodes(nodes int) { t.config.Nodes = max(nodes, 1) }

// Update replaces the listed upstreams. A worker that was known under the same
// id and incarnation keeps its state.
func (t *Table) Update(hosts []wire.Host) {
	byID := make(map[string]*Worker, len(hosts))
	pools := make(map[string]*Pool)
	for _, h := range hosts {
		w := t.byID[h.ID]
		if w == nil || w.host.Incarnation != h.Incarnation || w.host.Addr != h.Addr {
			w = &Worker{limit: initialLimit}
		}
		w.host = h
		w.leaving = w.leaving || h.Leaving
		byID[h.ID] = w
		p := pools[h.Pool]
		if p == nil {
			p = &Pool{name: h.Pool, byID: make(map[string]*Worker)}
			if old := t.pools[h.Pool]; old != nil {
				p.turn = old.turn
			}
			pools[h.Pool] = p
		}
		p.workers = append(p.workers, w)
	}
	for _, p := range pools {
		sort.Slice(p.workers, func(i, j int) bool { return p.workers[i].host.ID < p.workers[j].host.ID })
		t.choose(p)
	}
	t.byID, t.pools = byID, pools
}

// choose sets the subset of a pool by the hash of node and worker, so that nodes
// spread over the workers. Most of it is of the node's own zone; the rest is of
// others, so that the loss of the zone leaves workers to go on with.
func (t *Table) choose(p *Pool) {
	var own, others []*Worker
	for _, w := range p.workers {
		switch {
		case w.leaving:
		case w.host.Zone == t.config.Zone:
			own = append(own, w)
		default:
			others = append(others, w)
		}
	}
	t.sortByRank(own)
	t.sortByRank(others)
	fromOthers := min(len(others), max(t.config.Subset/otherZonesPart, t.config.Subset-len(own)))
	fromOwn := min(len(own), t.config.Subset-fromOthers)
	p.subset = append(own[:fromOwn:fromOwn], others[:fromOthers]...)
	slices.SortFunc(p.subset, func(a, b *Worker) int { return strings.Compare(a.host.ID, b.host.ID) })
	ids := make([]string, len(p.subset))
	clear(p.byID)
	for i, w := range p.subset {
		ids[i] = w.host.ID
		p.byID[w.host.ID] = w
	}
	p.ring = rendezvous.New(ids, xxhash.Sum64String)
}

// otherZonesPart divides the subset: one part of so many is of other zones.
const otherZonesPart = 3

func (t *Table) sortByRank(workers []*Worker) {
	rank := func(w *Worker) uint64 { return xxhash.Sum64String(t.config.Node + "\x00" + w.host.ID) }
	slices.SortFunc(workers, func(a, b *Worker) int { return cmp.Compare(rank(a), rank(b)) })
}

// MarkLeaving takes a worker out of use for its incarnation.
func (t *Table) MarkLeaving(id, incarnation string) {
	w := t.byID[id]
	if w == nil || w.host.Incarnation != incarnation || w.leaving {
		return
	}
	w.leaving = true
	t.choose(t.pools[w.host.Pool])
}

// Pool returns a pool by the name of its stage or service.
func (t *Table) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Pools returns all pools by name.
func (t *Table) Pools() map[string]*Pool { return t.pools }

// Begin picks a worker and counts a call to it. It returns nil when no worker
// of the pool has room.
func (t *Table) Begin(now time.Time, pool string, q Query) *Worker {
	p := t.pools[pool]
	if p == nil || len(p.subset) == 0 {
		return nil
	}
	w := t.policy.Pick(t.view(now, p), p, q)
	if w != nil {
		w.flight++
		if q.Stream {
			w.unstarted++
		}
	}
	return w
}

// Serves reports whether the pool has workers that are not leaving.
func (t *Table) Serves(pool string) bool {
	p := t.pools[pool]
	return p != nil && len(p.subset) > 0
}

// HasRoom reports whether some worker of the pool can take a call.
func (t *Table) HasRoom(now time.Time, pool string, q Query) bool {
	p := t.pools[pool]
	if p == nil {
		return false
	}
	v := t.view(now, p)
	for _, w := range p.subset {
		if w.Usable(v, q) {
			return true
		}
	}
	return false
}

// Started counts the first token of a stream that Begin has begun, or its end
// without one.
func (t *Table) Started(id string) {
	if w := t.byID[id]; w != nil {
		w.unstarted = max(w.unstarted-1, 0)
	}
}

// An End says how a call ended for the worker that had it.
type End int

// The ends of a call.
const (
	// Answered is a whole answer.
	Answered End = iota
	// Cancelled is a call that this node gave up by itself.
	Cancelled
	// Overloaded is a refusal of the worker for lack of room.
	Overloaded
	// TimedOut is an answer that did not come in time.
	TimedOut
	// Broken is a connection that failed.
	Broken
)

// Finish counts the end of a call that Begin has begun.
func (t *Table) Finish(now time.Time, id string, end End) {
	w := t.byID[id]
	if w == nil {
		return
	}
	w.flight = max(w.flight-1, 0)
	switch end {
	case Answered:
		w.health.Clear()
		w.grow()
	case Overloaded, TimedOut:
		w.shrink()
		if end == TimedOut {
			w.health.Fail(now, t.config.Backoff)
		}
	case Broken:
		w.health.Fail(now, t.config.Backoff)
	}
}
