package proxy

import (
	"math"
	"slices"
	"time"

	"teaselplank/budget"
	"teaselplank/fleet"
	"teaselplank/health"
	"teaselplank/picker"
)

// A pool is the upstreams of a service.
type pool struct {
	upstreams []*upstream
	byID      map[string]*upstream
	meter     budget.Meter
}

// An upstream is what the node knows of one upstream.
type upstream struct {
	fleet.Upstream
	// flight is the number of this node's requests there, and unread the
	// prompt tokens of those that it has not begun to answer.
	flight int
	unread int
	// load is what the upstream last said of itself, as of heard, when this
	// node had flightThen requests there.
	load       Load
	heard      time.Time
	flightThen int
	latency    time.Duration
	failures   float64
	// health has the attempts that failed since the last that did not.
	health health.Record
	// answered is when the upstream last answered.
	answered time.Time
}

const (
	// loadLife is the time after which a reported load counts for a third.
	loadLife = 400 * time.Millisecond
	// answeredLately is how long an answer of an upstream speaks against a cut
	// of its zone.
	answeredLately = 200 * time.Millisecond
	// fullFor is how long an upstream that had no room is passed over.
	fullFor = 60 * time.Millisecond
	// meanWeight is the weight of the newest value in moving means.
	meanWeight = 0.1
)

// backoff is how long an upstream is passed over after it could not be reached.
var backoff = health.Backoff{Least: 300 * time.Millisecond, Most: 3 * time.Second}

// register takes in the upstreams. One that is known as the same process keeps
// what is known of it.
func (n *Node) register(upstreams []fleet.Upstream) {
	old := n.pools
	n.pools = make(map[string]*pool)
	for _, u := range upstreams {
		p := n.pools[u.Service]
		if p == nil {
			p = &pool{byID: make(map[string]*upstream)}
			if before := old[u.Service]; before != nil {
				p.meter = before.meter
			}
			n.pools[u.Service] = p
		}
		known := &upstream{}
		if before := old[u.Service]; before != nil && before.byID[u.ID] != nil && before.byID[u.ID].Born == u.Born {
			known = before.byID[u.ID]
		}
		known.Upstream = u
		p.upstreams = append(p.upstreams, known)
		p.byID[u.ID] = known
	}
	n.countWorkers()
}

// candidates describes the upstreams of the pool that can be used, but for those
// that were tried.
func (p *pool) candidates(now time.Time, tried []string) []picker.Candidate {
	var found []picker.Candidate
	for _, u := range p.upstreams {
		if u.Draining || u.health.Suspect(now) || slices.Contains(tried, u.ID) {
			continue
		}
		found = append(found, picker.Candidate{
			ID: u.ID, Zone: u.Zone, Slots: u.Slots, Flight: u.flight, Others: u.others(now),
			Latency: u.latency, FailureShare: u.failures, Unread: u.unread,
		})
	}
	return found
}

// weigh gives the engines of each zone together the share of prompts that the zone
// has of the workers of stages, so that these are loaded alike.
func (n *Node) weigh(engines []picker.Candidate) []picker.Candidate {
	byZone := make(map[string]int)
	for _, e := range engines {
		byZone[e.Zone]++
	}
	for i, e := range engines {
		if workers := n.stageWorkers[e.Zone]; workers > 0 {
			engines[i].Weight = float64(workers) / float64(byZone[e.Zone])
		}
	}
	return engines
}

// countWorkers counts the workers of stages by zone.
func (n *Node) countWorkers() {
	n.stageWorkers = make(map[string]int)
	if n.table == nil {
		return
	}
	for name, p := range n.pools {
		if s := n.table.Service(name); s == nil || s.Batch == nil {
			continue
		}
		for _, u := range p.upstreams {
			if !u.Draining {
				n.stageWorkers[u.Zone]++
			}
		}
	}
}

// others estimates the requests of other nodes: what the upstream reported, less
// the older the report is.
func (u *upstream) others(now time.Time) float64 {
	if u.heard.IsZero() {
		return 0
	}
	others := max(float64(u.load.Running+u.load.Waiting-u.flightThen), 0)
	return others * math.Exp(-float64(now.Sub(u.heard))/float64(loadLife))
}

func (u *upstream) report(now time.Time, l Load) {
	u.load, u.heard, u.flightThen = l, now, u.flight
}

func (u *upstream) succeeded(now time.Time, latency time.Duration) {
	u.answered = now
	u.health.Clear()
	u.failures -= meanWeight * u.failures
	u.latency = mean(u.latency, latency)
}

// failed notes a failure of an answer.
func (u *upstream) failed() { u.failures += meanWeight * (1 - u.failures) }

// suspect passes the upstream over for a while.
func (u *upstream) suspect(now time.Time) {
	u.failed()
	u.health.Fail(now, backoff)
}

// suspectZone passes over the upstreams of a zone that have not answered lately,
// for a cut keeps all of them out of reach at once.
func (n *Node) suspectZone(now time.Time, zone string) {
	for _, p := range n.pools {
		for _, u := range p.upstreams {
			if u.Zone == zone && now.Sub(u.answered) > answeredLately && !u.health.Suspect(now) {
				u.suspect(now)
			}
		}
	}
}

// mean moves a mean towards a value; a mean of 0 is not known yet.
func mean(old, value time.Duration) time.Duration {
	if old == 0 {
		return value
	}
	return old + time.Duration(meanWeight*float64(value-old))
}
