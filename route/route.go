// Package route chooses the worker for a call. A Table holds the workers of every pool
// and this node's view of each: the node's calls in flight, the load that the worker
// last reported, a concurrency limit that adapts to the worker's responses, and whether
// new connections to it fail. A Policy picks a worker.
//
// The package is part of a reducer: it takes the time as an argument, and its random
// source is seeded by the caller.
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

// Config holds the parameters of a Table.
type Config struct {
	// Node and Zone are the id and zone of this node.
	Node string
	Zone string
	// Nodes is the number of nodes that share the workers; at least 1.
	Nodes int
	// SubsetSize is the maximum number of workers of a pool that this node uses.
	SubsetSize int
	// ReportDecay is the time constant of the exponential decay of a reported load: at
	// this age it counts for about a third.
	ReportDecay time.Duration
	// Backoff is how long a worker is suspect after a failed connection or a timeout.
	Backoff health.Backoff
	// ReportTimeout is the age above which a load report marks its worker as
	// unreachable; 0 means never.
	ReportTimeout time.Duration
	// AdaptiveLimits enables concurrency limits that adapt to the workers' responses.
	// Without it the number of calls to a worker is not limited.
	AdaptiveLimits bool
}

// DefaultConfig returns the defaults of the node's settings.
func DefaultConfig() Config {
	return Config{
		Nodes:          1,
		SubsetSize:     24,
		ReportDecay:    500 * time.Millisecond,
		Backoff:        health.Backoff{Min: 500 * time.Millisecond, Max: 8 * time.Second},
		ReportTimeout:  time.Second,
		AdaptiveLimits: true,
	}
}

// A Pool is the set of workers that serve one stage or service.
type Pool struct {
	name string
	// workers are sorted by id.
	workers []*Worker
	// subset are the workers that this node uses.
	subset []*Worker
	// prefixHash maps prefixes to workers of the subset.
	prefixHash *rendezvous.Rendezvous
	byID       map[string]*Worker
	nextWorker int
}

// Name returns the stage or service that the pool serves.
func (p *Pool) Name() string { return p.name }

// Workers returns the workers of the pool, sorted by id.
func (p *Pool) Workers() []*Worker { return p.workers }

// A Query describes a call that needs a worker.
type Query struct {
	// Prefix groups calls: calls with the same prefix benefit from being sent to the
	// same worker.
	Prefix string
	// Avoid holds the ids of workers that must not be picked.
	Avoid []string
	// Stream is true if the first token of the call shows that it has started.
	Stream bool
}

// A Policy picks a worker of the pool, or nil if none has capacity. Apart from
// RoundRobin, a policy must not pick a worker for which Usable is false.
type Policy interface {
	Pick(t *View, p *Pool, q Query) *Worker
}

// A View is the input of a Policy besides the pool.
type View struct {
	Config Config
	Now    time.Time
	Random *rand.Rand
	// FreshReports is true if at least one worker of the pool has reported its load
	// within ReportTimeout. Only then does a missing report show that a worker is
	// unreachable.
	FreshReports bool
}

func (t *Table) view(now time.Time, p *Pool) *View {
	v := &View{Config: t.config, Now: now, Random: t.random}
	if v.Config.ReportTimeout > 0 {
		v.Config.ReportTimeout = t.reportTimeout()
	}
	for _, w := range p.subset {
		if !w.reportedAt.IsZero() && !w.stale(v) {
			v.FreshReports = true
			break
		}
	}
	return v
}

// A Table holds the workers of all pools under one Policy.
type Table struct {
	config Config
	policy Policy
	random *rand.Rand
	pools  map[string]*Pool
	byID   map[string]*Worker
	// pollInterval is the maximum time between two load polls of a worker.
	pollInterval time.Duration
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

// Update replaces the list of upstreams. A worker with unchanged id, incarnation and
// address keeps its state.
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
				p.nextWorker = old.nextWorker
			}
			pools[h.Pool] = p
		}
		p.workers = append(p.workers, w)
	}
	for _, p := range pools {
		sort.Slice(p.workers, func(i, j int) bool { return p.workers[i].host.ID < p.workers[j].host.ID })
		t.chooseSubset(p)
	}
	t.byID, t.pools = byID, pools
}

// chooseSubset sets the subset of a pool by a hash of node and worker, so that the nodes
// spread over the workers. Most of the subset is in the node's own zone; the rest is in
// other zones, so that workers remain if the own zone fails.
func (t *Table) chooseSubset(p *Pool) {
	var sameZone, otherZones []*Worker
	for _, w := range p.workers {
		switch {
		case w.leaving:
		case w.host.Zone == t.config.Zone:
			sameZone = append(sameZone, w)
		default:
			otherZones = append(otherZones, w)
		}
	}
	t.sortByRank(sameZone)
	t.sortByRank(otherZones)
	fromOthers := min(len(otherZones), max(t.config.SubsetSize/otherZonesDivisor, t.config.SubsetSize-len(sameZone)))
	fromSame := min(len(sameZone), t.config.SubsetSize-fromOthers)
	p.subset = append(sameZone[:fromSame:fromSame], otherZones[:fromOthers]...)
	slices.SortFunc(p.subset, func(a, b *Worker) int { return strings.Compare(a.host.ID, b.host.ID) })
	ids := make([]string, len(p.subset))
	clear(p.byID)
	for i, w := range p.subset {
		ids[i] = w.host.ID
		p.byID[w.host.ID] = w
	}
	p.prefixHash = rendezvous.New(ids, xxhash.Sum64String)
}

// otherZonesDivisor divides SubsetSize. The quotient is the minimum number of the subset's
// workers in other zones, if there are that many.
const otherZonesDivisor = 3

func (t *Table) sortByRank(workers []*Worker) {
	rank := func(w *Worker) uint64 { return xxhash.Sum64String(t.config.Node + "\x00" + w.host.ID) }
	slices.SortFunc(workers, func(a, b *Worker) int { return cmp.Compare(rank(a), rank(b)) })
}

// MarkLeaving stops the use of a worker for the given incarnation.
func (t *Table) MarkLeaving(id, incarnation string) {
	w := t.byID[id]
	if w == nil || w.host.Incarnation != incarnation || w.leaving {
		return
	}
	w.leaving = true
	t.chooseSubset(t.pools[w.host.Pool])
}

// Pool returns the pool of a stage or service.
func (t *Table) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Pools returns all pools by name.
func (t *Table) Pools() map[string]*Pool { return t.pools }

// BeginCall picks a worker and counts a call to it as in flight. It returns nil if no
// worker of the pool has capacity.
func (t *Table) BeginCall(now time.Time, pool string, q Query) *Worker {
	p := t.pools[pool]
	if p == nil || len(p.subset) == 0 {
		return nil
	}
	w := t.policy.Pick(t.view(now, p), p, q)
	if w != nil {
		w.inFlight++
		if q.Stream {
			w.unstarted++
		}
	}
	return w
}

// HasWorkers reports whether the pool has workers that are not leaving.
func (t *Table) HasWorkers(pool string) bool {
	p := t.pools[pool]
	return p != nil && len(p.subset) > 0
}

// HasCapacity reports whether at least one worker of the pool is usable for the call.
func (t *Table) HasCapacity(now time.Time, pool string, q Query) bool {
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

// StreamStarted records the first token of a stream counted by BeginCall, or its end
// without a token.
func (t *Table) StreamStarted(id string) {
	if w := t.byID[id]; w != nil {
		w.unstarted = max(w.unstarted-1, 0)
	}
}

// A CallEnd is the way in which a call to a worker ended.
type CallEnd int

// The ends of a call.
const (
	// Answered means that the worker sent a complete response.
	Answered CallEnd = iota
	// Cancelled means that this node cancelled the call.
	Cancelled
	// Overloaded means that the worker refused the call because it is overloaded.
	Overloaded
	// TimedOut means that the response timed out.
	TimedOut
	// ConnectionFailed means that the connection failed.
	ConnectionFailed
)

// MarkSilent records that a call to a worker takes longer than it should, but goes on.
func (t *Table) MarkSilent(now time.Time, id string) {
	if w := t.byID[id]; w != nil {
		w.lowerLimit()
		w.health.Fail(now, t.config.Backoff)
	}
}

// FinishCall records the end of a call counted by BeginCall.
func (t *Table) FinishCall(now time.Time, id string, end CallEnd) {
	w := t.byID[id]
	if w == nil {
		return
	}
	w.inFlight = max(w.inFlight-1, 0)
	switch end {
	case Answered:
		w.health.Clear()
		w.raiseLimit()
	case Overloaded:
		w.lowerLimit()
	case TimedOut:
		t.MarkSilent(now, id)
	case ConnectionFailed:
		w.health.Fail(now, t.config.Backoff)
	}
}
