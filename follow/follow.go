// Package follow decides which nodes read a stream of the store (readers) and which get its
// records from a reader (followers). In a deployment of at least Config.MinNodes nodes, a few
// nodes of each zone read the stream. Each other node requests new records from one of these by
// long polls.
//
// A Follower is the state of one node for one stream. Next returns the next action of the node,
// and the other methods record the outcomes. A Buffer holds the records that a reader passes on.
// The package has no clock and does no I/O.
package follow

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the parameters of a Follower.
type Config struct {
	// Self is the ID of this node, and Zone its zone.
	Self string
	Zone string
	// MinNodes is the number of nodes from which on nodes follow others.
	MinNodes int
	// Wait is how long a reader may delay its reply while it has no new records (the time of
	// the long poll), and Silence how much longer a reply may take until the reader counts as
	// silent.
	Wait    time.Duration
	Silence time.Duration
	// LateAge is the age of a reader's last read from which on its followers ask another
	// node.
	LateAge time.Duration
	// MaxAge is the age of a node's view from which on it reads the store itself, at a time
	// between MaxAge and MaxAge+Spread that depends on the node.
	MaxAge time.Duration
	Spread time.Duration
}

const (
	// readersPerZone is the number of nodes of a zone that read a stream, so that one of
	// them may fail or be cut off from the store.
	readersPerZone = 2
	// minAvoidSilent is how long a node does not ask a silent reader again. The time doubles
	// with each silence in a row, up to maxAvoidSilent.
	minAvoidSilent = 3 * time.Second
	maxAvoidSilent = 24 * time.Second
	// minAvoidUseless and maxAvoidUseless are the same for a node that replies but does not
	// read, is late, or whose last read has failed.
	minAvoidUseless = 400 * time.Millisecond
	maxAvoidUseless = 2 * time.Second
	// forgetAfter is how long an avoidance is kept after its end, so that its time can double.
	forgetAfter = time.Minute
	// demandTime is how long a node that is not a reader of its zone reads the stream after it
	// was last asked.
	demandTime = 3 * time.Second
	// askAgain is the minimum time between two requests to readers by a node in the role
	// Fallback.
	askAgain = 1500 * time.Millisecond
	// minRetry is the backoff after a failed read. It doubles with each failure, up to
	// maxRetryAlone while the node gets no records from others, and up to maxRetry otherwise.
	minRetry      = 200 * time.Millisecond
	maxRetryAlone = 900 * time.Millisecond
	maxRetry      = 5 * time.Second
	// maxPause bounds a pause, so that changes in the list of nodes are noticed in time.
	maxPause = 100 * time.Millisecond
)

// A Node is a live node, with the properties by which readers are chosen.
type Node struct {
	ID   string
	Addr string
	Zone string
	// Processor is the node's CPU share in cores, or 0 if it is unknown.
	Processor float64
	// Busy nodes are chosen as readers only if the zone has too few others.
	Busy bool
}

// A Role is what a node does for a stream.
type Role string

// The roles.
const (
	// Alone is the role in a small deployment: each node reads the store.
	Alone Role = "alone"
	// Reader is the role of a node that reads the store for others.
	Reader Role = "reader"
	// Following is the role of a node that learns the records from a reader.
	Following Role = "following"
	// Fallback is the role of a node that reads the store itself since it found no reader.
	Fallback Role = "fallback"
)

// An Action is what a node does next. The types are Read, Ask and Pause.
type Action interface{ followAction() }

// Read asks for a read of the store.
type Read struct{}

// Ask requests new records from a reader, which delays its reply by Wait at most. The reader
// counts as silent after Timeout.
type Ask struct {
	Node    Node
	Wait    time.Duration
	Timeout time.Duration
}

// Pause asks for a pause.
type Pause struct{ For time.Duration }

func (Read) followAction()  {}
func (Ask) followAction()   {}
func (Pause) followAction() {}

// A Follower is the state of a node for one stream. Create it with New.
type Follower struct {
	config Config
	role   Role
	// known is true once the node has read the stream itself. Each node does so first.
	known bool
	// viewed is when the view of the stream was last known to be complete: the time of the
	// node's own read, or of the last read of its reader.
	viewed time.Time
	// reader is the ID of the reader that the node follows, or empty.
	reader string
	// avoided holds the nodes that are not asked for some time.
	avoided map[string]avoidance
	// demandedUntil is until when the node reads because others ask it.
	demandedUntil time.Time
	// failures is the number of own reads that have failed since the last success, and
	// failedAt when the last one did.
	failures int
	failedAt time.Time
	// unheard is true if a node that was asked has been silent since the last own read.
	unheard bool
	// nextAsk is when a node that reads by itself asks a reader again.
	nextAsk time.Time
	// readers are those of the node's zone in its view.
	readers []string
}

// An avoidance is until when a node is not asked, and how long it is avoided the next time.
type avoidance struct {
	until time.Time
	next  time.Duration
}

// New returns a follower that has no view of the stream.
func New(config Config) *Follower {
	return &Follower{config: config, role: Alone, avoided: make(map[string]avoidance)}
}

// Role returns the node's present role.
func (f *Follower) Role() Role { return f.role }

// Reader returns the ID of the reader that the node follows, or an empty string.
func (f *Follower) Reader() string { return f.reader }

// Readers returns the IDs of the readers of the node's zone in its view.
func (f *Follower) Readers() []string { return f.readers }

// Age returns the age of the node's view of the stream.
func (f *Follower) Age(now time.Time) time.Duration { return now.Sub(f.viewed) }

// MayServe reports whether the node can answer others: it reads the store, and its last read
// has succeeded.
func (f *Follower) MayServe() bool {
	return f.known && f.failures == 0 && (f.role == Reader || f.role == Fallback || f.role == Alone)
}

// Next returns what the node does next, given all live nodes, this one included, and the
// number of nodes of the deployment.
func (f *Follower) Next(now time.Time, nodes []Node, total int) Action {
	f.readers = ids(f.zoneRank(nodes, f.config.Zone), readersPerZone)
	reader := slices.Contains(f.readers, f.config.Self) || now.Before(f.demandedUntil)
	switch {
	case total < f.config.MinNodes:
		f.setRole(Alone)
		return Read{}
	case reader && f.mayRead(now, nodes):
		f.setRole(Reader)
		return Read{}
	case !f.known && f.failures == 0:
		f.setRole(Alone)
		return Read{}
	case !f.known:
		f.setRole(Fallback)
	case f.role != Fallback && now.Before(f.fallbackAt()):
		f.setRole(Following)
		return f.askNext(now, nodes)
	case f.role != Fallback:
		f.setRole(Fallback)
		if f.failures == 0 {
			f.nextAsk = now.Add(askAgain)
		}
	}
	return f.fallBack(now, nodes)
}

// askNext returns the next action of a node that follows others.
func (f *Follower) askNext(now time.Time, nodes []Node) Action {
	left := f.fallbackAt().Sub(now)
	if node, ok := f.candidate(now, nodes); ok {
		return f.ask(node, left)
	}
	return Pause{For: min(left, maxPause)}
}

// fallBack returns the next action of a node that reads the store itself for lack of a reader.
// It asks a reader each askAgain. A failing read may take long, so while its own reads fail, it
// asks other nodes until one is silent, and only then reads again.
func (f *Follower) fallBack(now time.Time, nodes []Node) Action {
	waits := f.waitsToRetry(now, maxRetryAlone)
	if !waits && (f.failures == 0 && now.Before(f.nextAsk) || f.failures > 0 && f.unheard) {
		return Read{}
	}
	if node, ok := f.candidate(now, nodes); ok {
		f.nextAsk = now.Add(askAgain)
		return Ask{Node: node, Timeout: f.config.Silence}
	}
	if !waits {
		return Read{}
	}
	return Pause{For: maxPause}
}

// mayRead reports whether a reader reads now. A failing read may take long, so while its reads
// fail, it first gets the records that it has missed from others, unless none is left to ask.
func (f *Follower) mayRead(now time.Time, nodes []Node) bool {
	if f.failures == 0 {
		return true
	}
	if f.waitsToRetry(now, maxRetry) {
		return false
	}
	_, ok := f.candidate(now, nodes)
	return !ok || f.Age(now) <= f.config.LateAge
}

// waitsToRetry reports whether the node's own reads fail and the next one is not due yet.
func (f *Follower) waitsToRetry(now time.Time, most time.Duration) bool {
	if f.failures == 0 {
		return false
	}
	const maxDoublings = 5
	retry := min(minRetry<<min(f.failures-1, maxDoublings), most)
	return now.Before(f.failedAt.Add(retry))
}

// ask returns the question to a reader of a node that begins to read the store itself after
// left. A reader that the node has not followed so far answers at once.
func (f *Follower) ask(node Node, left time.Duration) Ask {
	if node.ID != f.reader {
		return Ask{Node: node, Timeout: f.config.Silence}
	}
	wait := min(max(left-f.config.Silence, 0), f.config.Wait)
	return Ask{Node: node, Wait: wait, Timeout: wait + f.config.Silence}
}

// setRole changes the role.
func (f *Follower) setRole(role Role) {
	if role != Following {
		f.reader = ""
	}
	f.role = role
}

// fallbackAt returns when the node begins to read the store itself. The times of the nodes
// are spread out, so that they do not all read the store at the same moment.
func (f *Follower) fallbackAt() time.Time {
	part := hash(f.config.Self, "fallback")
	return f.viewed.Add(f.config.MaxAge + time.Duration(part*float64(f.config.Spread)))
}

// Answered reports the reply of a reader whose last read was age ago, and whether its records
// count. They do not if the reader is late.
func (f *Follower) Answered(now time.Time, node string, age time.Duration) bool {
	if age > f.config.LateAge {
		f.avoid(now, node, minAvoidUseless, maxAvoidUseless)
		return false
	}
	delete(f.avoided, node)
	if viewed := now.Add(-age); viewed.After(f.viewed) {
		f.viewed = viewed
	}
	f.role, f.reader = Following, node
	return true
}

// Unavailable reports that a node does not read the stream, or that its last read has failed.
// It reports whether the node has followed it.
func (f *Follower) Unavailable(now time.Time, node string) bool {
	followed := f.reader == node
	f.avoid(now, node, minAvoidUseless, maxAvoidUseless)
	return followed
}

// Silent reports that a node did not reply in time.
func (f *Follower) Silent(now time.Time, node string) {
	f.unheard = true
	f.avoid(now, node, minAvoidSilent, maxAvoidSilent)
}

// avoid excludes a node from the candidates for a time between least and most, which doubles with
// each call for the node.
func (f *Follower) avoid(now time.Time, node string, least, most time.Duration) {
	d := min(max(f.avoided[node].next, least), most)
	f.avoided[node] = avoidance{now.Add(d), 2 * d}
	if f.reader == node {
		f.reader = ""
	}
	for id, a := range f.avoided {
		if now.Sub(a.until) > forgetAfter {
			delete(f.avoided, id)
		}
	}
}

// avoids reports whether a node is not asked now.
func (f *Follower) avoids(now time.Time, node string) bool { return now.Before(f.avoided[node].until) }

// Failing reports whether the node's last own read has failed.
func (f *Follower) Failing() bool { return f.failures > 0 }

// OwnRead reports a read of the store by the node itself.
func (f *Follower) OwnRead(now time.Time, ok bool) {
	f.unheard = false
	if !ok {
		f.failures++
		f.failedAt = now
		return
	}
	f.known, f.viewed, f.failures = true, now, 0
}

// Asked reports that another node has asked this one. It reports whether this node must begin
// to read the store for it.
func (f *Follower) Asked(now time.Time) bool {
	begins := f.role == Following && !now.Before(f.demandedUntil) && !f.waitsToRetry(now, maxRetry)
	f.demandedUntil = now.Add(demandTime)
	return begins
}

// candidate returns the node to ask. It is from the first pair with a node that is not avoided: the
// reader that the node follows if it is in the pair, and else the one with the higher hash. The
// pairs are the readers of the zone, the next two nodes of the zone, which begin to read when they
// are asked, and the readers of another zone. For a node whose own reads fail the last two pairs
// are swapped, as the readers of another zone read already.
func (f *Follower) candidate(now time.Time, nodes []Node) (Node, bool) {
	for _, pair := range f.pairs(nodes) {
		pair = slices.DeleteFunc(pair, func(n Node) bool { return n.ID == f.config.Self || f.avoids(now, n.ID) })
		if len(pair) == 0 {
			continue
		}
		for _, n := range pair {
			if n.ID == f.reader {
				return n, true
			}
		}
		return slices.MaxFunc(pair, func(a, b Node) int {
			return cmp.Compare(hash(f.config.Self, a.ID), hash(f.config.Self, b.ID))
		}), true
	}
	return Node{}, false
}

func (f *Follower) pairs(nodes []Node) [][]Node {
	own := f.zoneRank(nodes, f.config.Zone)
	first := min(readersPerZone, len(own))
	second := min(2*readersPerZone, len(own))
	pairs := [][]Node{slices.Clone(own[:first]), slices.Clone(own[first:second])}
	if zone := f.otherZone(nodes); zone != "" {
		others := f.zoneRank(nodes, zone)
		pairs = append(pairs, others[:min(readersPerZone, len(others))])
		if f.failures > 0 {
			pairs[1], pairs[2] = pairs[2], pairs[1]
		}
	}
	return pairs
}

// otherZone returns the zone whose readers the node asks if it gets no reply in its own zone.
func (f *Follower) otherZone(nodes []Node) string {
	best, bestScore := "", -1.0
	for _, n := range nodes {
		if n.Zone == f.config.Zone || n.Zone == best {
			continue
		}
		if score := hash(f.config.Self, n.Zone); score > bestScore {
			best, bestScore = n.Zone, score
		}
	}
	return best
}

// zoneRank orders the nodes of a zone by weighted rendezvous hashing, so that a node that
// joins or leaves changes few places, and that nodes with larger CPU shares are readers more
// often. Busy nodes come last.
func (f *Follower) zoneRank(nodes []Node, zone string) []Node {
	type ranked struct {
		node  Node
		score float64
	}
	var order []ranked
	for _, n := range nodes {
		if n.Zone == zone {
			order = append(order, ranked{n, score(n)})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.node.Busy != b.node.Busy {
			if b.node.Busy {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node.ID, b.node.ID))
	})
	rank := make([]Node, len(order))
	for i, r := range order {
		rank[i] = r.node
	}
	return rank
}

// score returns the score of a node in weighted rendezvous hashing.
func score(n Node) float64 {
	weight := n.Processor
	if weight <= 0 {
		weight = 1
	}
	return -weight / math.Log(hash(n.ID, "reader"))
}

// hash returns a number between 0 and 1, both excluded, that depends on two strings.
func hash(a, b string) float64 {
	const bits = 53
	return (float64(xxhash.Sum64String(a+"\x00"+b)>>(64-bits)) + 0.5) / (1 << bits)
}

func ids(nodes []Node, most int) []string {
	list := make([]string, 0, most)
	for _, n := range nodes[:min(most, len(nodes))] {
		list = append(list, n.ID)
	}
	return list
}
