package proxy

import (
	"maps"
	"math"
	"slices"
	"time"

	"teaselplank/budget"
	"teaselplank/fleet"
	"teaselplank/health"
	"teaselplank/limit"
	"teaselplank/picker"
	"teaselplank/queue"
	"teaselplank/speed"
)

// A pool is the upstreams of a service.
type pool struct {
	upstreams []*upstream
	byID      map[string]*upstream
	// retryBudget is that of the service in Node.retryBudgets.
	retryBudget *budget.Meter
	// returns are the times at which clients that were refused for the limits of upstreams
	// may return.
	returns queue.Schedule
	// hasGaps is true if a complete stream of the service had ids that left gaps, so that a
	// gap does not show that an event is missing.
	hasGaps bool
	// speeds is what the responses of the upstreams show of their speed.
	speeds speed.Service
}

// An upstream is the node's view of one upstream.
type upstream struct {
	fleet.Upstream
	// inFlight is the number of this node's requests at the upstream. pendingTokens
	// is the number of prompt tokens of those whose response has not started.
	inFlight      int
	pendingTokens int
	// load is the last load report, received at reportedAt, when this node had
	// inFlightAtReport requests at the upstream.
	load             Load
	reportedAt       time.Time
	inFlightAtReport int
	latency          time.Duration
	failureRate      float64
	// health tracks the failures since the last success.
	health health.Record
	// onlyZoneFailed is true if the upstream is suspect because others of its zone could
	// not be reached, and has not failed itself.
	onlyZoneFailed bool
	// pause is how long the upstream wants no requests of this node.
	pause health.Pause
	// limit keeps this node to its share of the upstream's limit, limitTotal, which is in
	// requests per second. limitSpread is the number of nodes for each one with a share; it
	// is 0 without a limit.
	limit       limit.Bucket
	limitTotal  float64
	limitSpread float64
	// paced is true while the upstream is in a slow start.
	paced bool
	// evacuated is true while the upstream's zone is evacuated.
	evacuated bool
	// lastResponse is the time of the upstream's last response.
	lastResponse time.Time
	// speed is the upstream's speed, and waiting are the attempts that wait for the part of
	// their response by which it is measured.
	speed   speed.Upstream
	waiting []*attempt
}

const (
	// loadTimeConstant is the time after which a reported load counts for about a
	// third (1/e).
	loadTimeConstant = 400 * time.Millisecond
	// recentResponseAge is the age up to which a response shows that the upstream is not
	// affected by an outage of its zone.
	recentResponseAge = 200 * time.Millisecond
	// refusalHold is how long an upstream is not used after it refused a request for
	// lack of capacity.
	refusalHold = 60 * time.Millisecond
	// averageWeight is the weight of the newest value in moving averages.
	averageWeight = 0.1
)

// backoff bounds how long an upstream is not used after it could not be reached.
var backoff = health.Backoff{Min: 300 * time.Millisecond, Max: 3 * time.Second}

// register replaces the set of upstreams. An upstream that is still the same process
// keeps its recorded state.
func (n *Node) register(now time.Time, upstreams []fleet.Upstream) {
	n.versions.Observe(now, upstreams)
	n.defaults.Observe(now, upstreams)
	old := n.pools
	n.pools = make(map[string]*pool)
	for _, u := range upstreams {
		p := n.pools[u.Service]
		if p == nil {
			p = &pool{byID: make(map[string]*upstream), retryBudget: n.retryBudget(u.Service)}
			if previous := old[u.Service]; previous != nil {
				p.returns, p.hasGaps, p.speeds = previous.returns, previous.hasGaps, previous.speeds
			}
			n.pools[u.Service] = p
		}
		known := &upstream{}
		if previous := old[u.Service]; previous != nil && previous.byID[u.ID] != nil && previous.byID[u.ID].Born == u.Born {
			known = previous.byID[u.ID]
		} else {
			n.awaitRate(now, known, u.Service)
		}
		known.Upstream, known.evacuated = u, n.evacuated[u.Zone]
		p.upstreams = append(p.upstreams, known)
		p.byID[u.ID] = known
	}
	n.countWorkers()
	n.forgetRetryBudgets(now)
}

// retryBudget returns the retry budget of a service. It is kept while the service has no upstream,
// so that retries of before count when it has one again.
func (n *Node) retryBudget(service string) *budget.Meter {
	m := n.retryBudgets[service]
	if m == nil {
		m = &budget.Meter{}
		n.retryBudgets[service] = m
	}
	return m
}

// forgetRetryBudgets forgets those of services without upstreams that are as good as new.
func (n *Node) forgetRetryBudgets(now time.Time) {
	maps.DeleteFunc(n.retryBudgets, func(service string, m *budget.Meter) bool {
		return n.pools[service] == nil && m.Idle(n.config.Budget, now)
	})
}

// candidates returns the usable upstreams of the pool that a request may be sent to and
// that it has not tried. If there are none, those of suspect zones that have not failed
// themselves are usable: their zone may be reachable, and only one of its upstreams silent.
func (p *pool) candidates(now time.Time, r *request) []picker.Candidate {
	var found, ofSuspectZones []picker.Candidate
	for _, u := range p.upstreams {
		if u.Draining || u.evacuated || u.pause.Active(now) || slices.Contains(r.tried, u.ID) || !r.allows(u) || !u.limit.Allows(now) {
			continue
		}
		switch {
		case !u.health.Suspect(now):
			found = append(found, u.candidate(now))
		case u.onlyZoneFailed:
			ofSuspectZones = append(ofSuspectZones, u.candidate(now))
		}
	}
	if len(found) > 0 {
		return found
	}
	return ofSuspectZones
}

func (u *upstream) candidate(now time.Time) picker.Candidate {
	return picker.Candidate{
		ID: u.ID, Zone: u.Zone, Slots: u.Slots, InFlight: u.inFlight, OthersInFlight: u.otherRequests(now),
		Latency: u.latency, FailureRate: u.failureRate, PendingTokens: u.pendingTokens, Weight: u.limitSpread,
	}
}

// pauseUpstream records that an upstream wants no requests for some time.
func (n *Node) pauseUpstream(e UpstreamHeld) {
	if u := n.upstream(e.ID); u != nil && u.Born == e.Born {
		u.pause.Extend(e.Until)
	}
}

// pauseLeft returns the time until the first pause of the upstreams that a request may be
// sent to ends, or 0 if one of them has no pause.
func (p *pool) pauseLeft(now time.Time, r *request) time.Duration {
	var pauses []health.Pause
	for _, u := range p.upstreams {
		if !u.Draining && !u.evacuated && r.allows(u) {
			pauses = append(pauses, u.pause)
		}
	}
	return health.FirstEnd(now, pauses)
}

// setZoneWeights sets the weights of engines so that the engines of each zone together
// get a share of the prompts equal to the zone's share of the stage workers. This
// balances the load of the stage workers across zones. An engine with a limit has a greater
// weight where it may be used, since the other nodes do not use it.
func (n *Node) setZoneWeights(engines []picker.Candidate) []picker.Candidate {
	byZone := make(map[string]int)
	for _, e := range engines {
		byZone[e.Zone]++
	}
	for i, e := range engines {
		if workers := n.stageWorkers[e.Zone]; workers > 0 {
			engines[i].Weight = max(e.Weight, 1) * float64(workers) / float64(byZone[e.Zone])
		}
	}
	return engines
}

// countWorkers counts the stage workers by zone.
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
			if !u.Draining && !u.evacuated {
				n.stageWorkers[u.Zone]++
			}
		}
	}
}

// otherRequests estimates the requests of other nodes at the upstream from its last
// load report. The estimate decays exponentially with the age of the report.
func (u *upstream) otherRequests(now time.Time) float64 {
	if u.reportedAt.IsZero() {
		return 0
	}
	reported := max(float64(u.load.Running+u.load.Waiting-u.inFlightAtReport), 0)
	return reported * math.Exp(-float64(now.Sub(u.reportedAt))/float64(loadTimeConstant))
}

// setLoad sets the load report. What is left of the last one replaces a number that the new one
// does not have.
func (u *upstream) setLoad(now time.Time, l Load) {
	if l.Running == UnknownLoad && l.Waiting == UnknownLoad {
		return
	}
	decay := 0.0
	if !u.reportedAt.IsZero() {
		decay = math.Exp(-float64(now.Sub(u.reportedAt)) / float64(loadTimeConstant))
	}
	if l.Running == UnknownLoad {
		l.Running = int(float64(u.load.Running) * decay)
	}
	if l.Waiting == UnknownLoad {
		l.Waiting = int(float64(u.load.Waiting) * decay)
	}
	u.load, u.reportedAt, u.inFlightAtReport = l, now, u.inFlight
}

func (u *upstream) recordSuccess(now time.Time, latency time.Duration) {
	u.lastResponse = now
	u.health.Clear()
	u.onlyZoneFailed = false
	u.failureRate -= averageWeight * u.failureRate
	if u.paced {
		// The slow start bounds what another failure costs. Requests that avoid the upstream
		// for its earlier failures would leave it idle.
		u.failureRate = 0
	}
	u.latency = movingAverage(u.latency, latency)
}

// recordFailure adds a failure to the failure rate.
func (u *upstream) recordFailure() { u.failureRate += averageWeight * (1 - u.failureRate) }

// markSuspect records a failure and starts or extends the upstream's backoff.
func (u *upstream) markSuspect(now time.Time) {
	u.onlyZoneFailed = false
	u.recordFailure()
	u.health.Fail(now, backoff)
}

// markZoneSuspect marks all upstreams of a zone without a recent response as suspect,
// because a network partition makes all of them unreachable at once.
func (n *Node) markZoneSuspect(now time.Time, zone string) {
	for _, p := range n.pools {
		for _, u := range p.upstreams {
			if u.Zone == zone && now.Sub(u.lastResponse) > recentResponseAge && !u.health.Suspect(now) {
				hasFailed := u.health.HasFailed() && !u.onlyZoneFailed
				u.markSuspect(now)
				u.onlyZoneFailed = !hasFailed
			}
		}
	}
}

// movingAverage returns the moving average after a new value. An average of 0 means
// that there is no value yet.
func movingAverage(average, value time.Duration) time.Duration {
	if average == 0 {
		return value
	}
	return average + time.Duration(averageWeight*float64(value-average))
}
