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
	if v.Fresh && w.stale(v) {
		return false
	}
	if w.health.HasFailed() && w.flight > 0 {
		return false // One call shows whether it is back.
	}
	return !v.Config.Adaptive || float64(w.flight) < w.limit && w.hasSlot(v, q)
}

// The part of a worker's slots that may be taken for a call to be sent, a little
// over 1 so that a slot that comes free finds a call; and the part of the slots
// that streams without a first token may have: in the usual case they start
// within a fraction of their time.
const (
	slotFactor     = 1.2
	unstartedParts = 4
)

// hasSlot reports whether the worker would likely start a call at once, so that
// calls wait here, where they can be reordered and refused, and not there. The
// node always has its even share of the slots; beyond it the last report counts.
func (w *Worker) hasSlot(v *View, q Query) bool {
	if w.load.Slots == 0 {
		return true
	}
	slots, nodes := float64(w.load.Slots), float64(max(v.Config.Nodes, 1))
	if q.Stream && float64(w.unstarted) >= max(1, slots/nodes/unstartedParts) {
		return false // Streams of this node wait there, whatever it reports.
	}
	share := math.Ceil(slots * slotFactor / nodes)
	return float64(w.flight) < share || float64(w.flight+w.others()) < slots*slotFactor
}

// others returns the calls of other nodes in the last report; never negative.
func (w *Worker) others() int {
	return max(w.load.Running+w.load.Queued-w.flightThen, 0)
}

// stale reports whether the worker used to report its load and has stopped.
func (w *Worker) stale(v *View) bool {
	return v.Config.Heartbeat > 0 && !w.reported.IsZero() && v.Now.Sub(w.reported) > v.Config.Heartbeat
}

// pressure estimates how full the worker is: 1 is a worker whose slots are all
// taken. A reported load counts less the older it is, and this node's own calls
// count exactly.
func (w *Worker) pressure(v *View) float64 {
	age := v.Now.Sub(w.reported)
	others := float64(w.others())
	others *= math.Exp(-float64(age) / float64(v.Config.ReportLife))
	slots := float64(max(w.load.Slots, 1))
	if w.load.Slots == 0 {
		slots = initialLimit
	}
	return (float64(w.flight) + others) / slots
}

// RoundRobin takes the workers in turn, whatever their load. It is the baseline
// that other policies are measured against.
type RoundRobin struct{}

// Pick returns the next worker in turn.
func (RoundRobin) Pick(v *View, p *Pool, q Query) *Worker {
	for range p.subset {
		w := p.subset[p.turn%len(p.subset)]
		p.turn++
		if !w.leaving && !slices.Contains(q.Avoid, w.host.ID) {
			return w
		}
	}
	return nil
}

// Balanced takes the less loaded of two random workers. Calls that share a
// prefix go to one worker while its load is within bounds, and workers of the
// node's own zone are preferred.
type Balanced struct {
	// NoAffinity makes it pass over prefixes.
	NoAffinity bool
}

// The costs, in units of pressure, of leaving the node's own zone, and the
// pressure up to which a prefix stays with its worker.
const (
	zoneCost      = 0.15
	affinityBound = 0.9
)

// Pick returns a worker with room, or nil.
func (b Balanced) Pick(v *View, p *Pool, q Query) *Worker {
	if q.Prefix != "" && !b.NoAffinity {
		w := p.byID[p.ring.Lookup(q.Prefix)]
		if w != nil && w.Usable(v, q) && w.pressure(v) < affinityBound {
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
	cost := w.pressure(v)
	if w.host.Zone != v.Config.Zone {
		cost += zoneCost
	}
	return cost
}

// sample returns a random usable worker other than the given one.
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

// Suspects returns the workers of the pool that are passed over, soonest back
// first.
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
