package route

import (
	"math"
	"slices"
	"time"
)

// Usable reports whether a policy may pick the worker for the query.
func (w *Worker) Usable(v *View, q Query) bool {
	if w.leaving || w.Suspect(v.Now) || slices.Contains(q.Avoid, w.host.ID) {
		return false
	}
	if v.FreshReports && w.stale(v) {
		return false
	}
	if w.health.HasFailed() && w.inFlight > 0 {
		return false // A single call probes whether the worker has recovered.
	}
	return !v.Config.AdaptiveLimits || float64(w.inFlight) < w.limit && w.hasSlot(v, q)
}

const (
	// slotOvercommit times a worker's slots is the target for the calls in flight at it.
	// It is slightly above 1 so that a call is ready when a slot becomes free.
	slotOvercommit = 1.2
	// unstartedDivisor divides this node's equal share of a worker's slots. The quotient,
	// but at least 1, limits the node's streams without a first token at the worker. The
	// first token normally arrives after a fraction of a stream's duration.
	unstartedDivisor = 4
)

// hasSlot reports whether the worker is likely to start a call immediately. Other calls
// are queued at this node, where they can be reordered and refused. The node may always
// use its equal share of the slots; above it the last report decides.
func (w *Worker) hasSlot(v *View, q Query) bool {
	if w.load.Slots == 0 {
		return true
	}
	slots, nodes := float64(w.load.Slots), float64(max(v.Config.Nodes, 1))
	if q.Stream && float64(w.unstarted) >= max(1, slots/nodes/unstartedDivisor) {
		return false // Streams of this node are queued at the worker, whatever it reports.
	}
	share := math.Ceil(slots * slotOvercommit / nodes)
	return float64(w.inFlight) < share || float64(w.inFlight+w.othersInFlight()) < slots*slotOvercommit
}

// othersInFlight returns the number of calls of other nodes according to the last
// report. It is never negative.
func (w *Worker) othersInFlight() int {
	return max(w.load.Running+w.load.Queued-w.inFlightAtReport, 0)
}

// stale reports whether the worker has stopped reporting its load. A worker that has
// never reported is not stale.
func (w *Worker) stale(v *View) bool {
	return v.Config.ReportTimeout > 0 && !w.reportedAt.IsZero() && v.Now.Sub(w.reportedAt) > v.Config.ReportTimeout
}

// utilization estimates the ratio of a worker's calls to its slots. The calls of other
// nodes come from the last report and decay exponentially with its age; the calls of
// this node are exact.
func (w *Worker) utilization(v *View) float64 {
	age := v.Now.Sub(w.reportedAt)
	others := float64(w.othersInFlight())
	others *= math.Exp(-float64(age) / float64(v.Config.ReportDecay))
	slots := float64(max(w.load.Slots, 1))
	if w.load.Slots == 0 {
		slots = initialLimit
	}
	return (float64(w.inFlight) + others) / slots
}

// RoundRobin picks the workers in turn, regardless of their load. It is the baseline of
// benchmarks.
type RoundRobin struct{}

// Pick returns the next worker in turn.
func (RoundRobin) Pick(v *View, p *Pool, q Query) *Worker {
	for range p.subset {
		w := p.subset[p.nextWorker%len(p.subset)]
		p.nextWorker++
		if !w.leaving && !slices.Contains(q.Avoid, w.host.ID) {
			return w
		}
	}
	return nil
}

// Balanced picks the less loaded of two random workers (power of two choices). Calls
// that share a prefix go to the same worker while its utilization is below a limit, and
// workers in the node's own zone are preferred.
type Balanced struct {
	// NoAffinity makes the policy ignore prefixes.
	NoAffinity bool
}

const (
	// zonePenalty is added to the utilization of a worker in another zone.
	zonePenalty = 0.15
	// maxAffinityUtilization is the utilization from which a prefix is no longer
	// routed to its worker.
	maxAffinityUtilization = 0.9
)

// Pick returns a usable worker, or nil if there is none.
func (b Balanced) Pick(v *View, p *Pool, q Query) *Worker {
	if q.Prefix != "" && !b.NoAffinity {
		w := p.byID[p.prefixHash.Lookup(q.Prefix)]
		if w != nil && w.Usable(v, q) && w.utilization(v) < maxAffinityUtilization {
			return w
		}
	}
	first := b.sample(v, p, q, nil)
	if first == nil {
		return nil
	}
	second := b.sample(v, p, q, first)
	if second != nil && second.cost(v) < first.cost(v) {
		return second
	}
	return first
}

func (w *Worker) cost(v *View) float64 {
	cost := w.utilization(v)
	if w.host.Zone != v.Config.Zone {
		cost += zonePenalty
	}
	return cost
}

// sample returns a random usable worker other than the given one, or nil.
func (Balanced) sample(v *View, p *Pool, q Query, other *Worker) *Worker {
	start := v.Random.IntN(len(p.subset))
	for i := range p.subset {
		w := p.subset[(start+i)%len(p.subset)]
		if w != other && w.Usable(v, q) {
			return w
		}
	}
	return nil
}

// Suspects returns the suspect workers of the pool, ordered by the end of their
// backoff.
func (p *Pool) Suspects(now time.Time) []*Worker {
	var suspects []*Worker
	for _, w := range p.subset {
		if w.Suspect(now) {
			suspects = append(suspects, w)
		}
	}
	slices.SortFunc(suspects, func(a, b *Worker) int { return a.health.SuspectUntil().Compare(b.health.SuspectUntil()) })
	return suspects
}
