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
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

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
	// SuspectFor is how long a worker is passed over after a connection to
	// it failed; it doubles with each failure up to MaxSuspect.
	SuspectFor time.Duration
	MaxSuspect time.Duration
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
		SuspectFor: 500 * time.Millisecond,
		MaxSuspect: 8 * time.Second,
		Heartbeat:  time.Second,
		Adaptive:   true,
	}
}

// A Worker is an upstream host as this node sees it.
type Worker struct {
	host wire.Host
	// flight is the number of this node's calls under way; never negative.
	flight int
	// limit bounds flight; at least minLimit.
	limit float64
	// load is the last report, taken at reported with flightThen calls of
	// this node under way.
	load     wire.Load
	reported time.Time
	// asked is when the worker was last asked for its load.
	asked      time.Time
	flightThen int
	// failures counts failed connections since the last answer.
	failures     int
	suspectUntil time.Time
	leaving      bool
}

// The bounds of a worker's limit, and what it is before the first report.
const (
	minLimit     = 1
	maxLimit     = 512
	initialLimit = 8
)

// ID returns the id of the worker's host.
func (w *Worker) ID() string { return w.host.ID }

// Host returns the worker's entry in the platform's list.
func (w *Worker) Host() wire.Host { return w.host }

// Flight returns the number of this node's calls under way.
func (w *Worker) Flight() int { return w.flight }

// Limit returns the number of calls that this node lets be under way.
func (w *Worker) Limit() float64 { return w.limit }

// heard returns when the worker last reported its load or was asked for it.
func (w *Worker) heard() time.Time {
	if w.asked.After(w.reported) {
		return w.asked
	}
	return w.reported
}

// Leaving reports whether the worker must get no new work.
func (w *Worker) Leaving() bool { return w.leaving }

// Suspect reports whether connections to the worker have failed lately.
func (w *Worker) Suspect(now time.Time) bool { return now.Before(w.suspectUntil) }

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

// choose sets the subset of a pool: workers of the node's own zone first, then
// by the hash of node and worker, so that nodes spread over the workers.
func (t *Table) choose(p *Pool) {
	p.subset = p.subset[:0]
	for _, w := range p.workers {
		if !w.leaving {
			p.subset = append(p.subset, w)
		}
	}
	if len(p.subset) > t.config.Subset {
		sort.SliceStable(p.subset, func(i, j int) bool {
			return t.rank(p.subset[i]) < t.rank(p.subset[j])
		})
		p.subset = p.subset[:t.config.Subset]
	}
	ids := make([]string, len(p.subset))
	clear(p.byID)
	for i, w := range p.subset {
		ids[i] = w.host.ID
		p.byID[w.host.ID] = w
	}
	p.ring = rendezvous.New(ids, xxhash.Sum64String)
}

// localShare is the part of the hash range by which workers of the node's own
// zone are preferred. With half of it, the farther zones keep a part of the
// subset, so that the loss of the zone leaves workers to go on with.
const localShare = 1 << 63

func (t *Table) rank(w *Worker) uint64 {
	hash := xxhash.Sum64String(t.config.Node+"\x00"+w.host.ID) / 2
	if w.host.Zone == t.config.Zone {
		return hash / 2
	}
	return hash + localShare/4
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

// Worker returns a worker by its host's id.
func (t *Table) Worker(id string) (*Worker, bool) {
	w, ok := t.byID[id]
	return w, ok
}

// Pool returns a pool by the name of its stage or service.
func (t *Table) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Pools returns all pools by name.
func (t *Table) Pools() map[string]*Pool { return t.pools }

// used returns the workers that this node sends calls to.
func (t *Table) used() []*Worker {
	var used []*Worker
	for _, name := range slices.Sorted(maps.Keys(t.pools)) {
		used = append(used, t.pools[name].subset...)
	}
	return used
}

// UsedCount returns the number of workers that this node sends calls to.
func (t *Table) UsedCount() int {
	count := 0
	for _, p := range t.pools {
		count += len(p.subset)
	}
	return count
}

// Ask returns the workers to ask for their load now: among those that this node
// uses, the ones heard of least lately, count at most, and none that has been
// asked or has reported within the period.
func (t *Table) Ask(now time.Time, period time.Duration, count int) []*Worker {
	var due []*Worker
	for _, w := range t.used() {
		if now.Sub(w.heard()) >= period {
			due = append(due, w)
		}
	}
	slices.SortStableFunc(due, func(a, b *Worker) int { return a.heard().Compare(b.heard()) })
	due = due[:min(count, len(due))]
	for _, w := range due {
		w.asked = now
	}
	return due
}

// SetPace tells how often a worker is asked at least, so that one which is asked
// rarely does not count as out of reach.
func (t *Table) SetPace(pace time.Duration) { t.pace = pace }

// missedReports is the number of reports that must be missing before a worker
// counts as out of reach.
const missedReports = 3

func (t *Table) heartbeat() time.Duration {
	return max(t.config.Heartbeat, missedReports*t.pace)
}

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
	}
	return w
}

// Serves reports whether the pool has workers that are not leaving.
func (t *Table) Serves(pool string) bool {
	p := t.pools[pool]
	return p != nil && len(p.subset) > 0
}

// HasRoom reports whether some worker of the pool can take a call.
func (t *Table) HasRoom(now time.Time, pool string) bool {
	p := t.pools[pool]
	if p == nil {
		return false
	}
	v := t.view(now, p)
	for _, w := range p.subset {
		if w.Usable(v, Query{}) {
			return true
		}
	}
	return false
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
		w.failures = 0
		w.suspectUntil = time.Time{}
		w.grow()
	case Overloaded, TimedOut:
		w.shrink()
		if end == TimedOut {
			t.suspect(now, w)
		}
	case Broken:
		t.suspect(now, w)
	}
}

func (t *Table) suspect(now time.Time, w *Worker) {
	w.failures++
	pause := t.config.SuspectFor << min(w.failures-1, 10)
	w.suspectUntil = now.Add(min(pause, t.config.MaxSuspect))
}

// backoff is the factor by which a limit shrinks.
const backoff = 0.85

func (w *Worker) grow() {
	if float64(w.flight+1) >= w.limit-1 {
		w.limit = min(w.limit+1/w.limit, maxLimit)
	}
}

func (w *Worker) shrink() { w.limit = max(w.limit*backoff, minLimit) }

// Report takes in the load that a worker reports of itself. A queue at the
// worker shrinks the limit, for work waits better where it can be reordered.
func (t *Table) Report(now time.Time, id string, load wire.Load) {
	w := t.byID[id]
	if w == nil {
		return
	}
	first := w.reported.IsZero()
	w.load, w.reported, w.flightThen = load, now, w.flight
	if load.Leaving {
		t.MarkLeaving(id, w.host.Incarnation)
	}
	if load.Slots == 0 {
		return
	}
	share := float64(load.Slots) / float64(t.config.Nodes)
	if first {
		w.limit = max(share*2, minLimit)
	}
	if load.Queued > load.Slots/4 && float64(w.flight) > share {
		w.shrink()
	}
	w.limit = min(w.limit, float64(2*load.Slots))
}
