package proxy

import (
	"slices"
	"time"

	"teaselplank/batch"
)

// defaultFirstEventTime is the estimate for routes without a measurement.
const defaultFirstEventTime = 150 * time.Millisecond

// A durationEstimate estimates a varying duration by its mean and its mean deviation, as
// TCP estimates round trips (RFC 6298). The zero value has seen no duration.
type durationEstimate struct {
	mean, deviation time.Duration
	// known is true once a duration was added.
	known bool
}

// The weights of a new duration, and the number of deviations that the upper bound is
// above the mean, as in RFC 6298.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	boundDeviations = 4
	// likelyDeviations is the same for the bound that most durations are within.
	likelyDeviations = 2
)

// add adds a duration.
func (e *durationEstimate) add(d time.Duration) {
	if !e.known {
		*e = durationEstimate{mean: d, deviation: d / 2, known: true}
		return
	}
	e.deviation += time.Duration(deviationWeight * float64((d-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(meanWeight * float64(d-e.mean))
}

// upperBound returns a duration that few are longer than.
func (e durationEstimate) upperBound() time.Duration { return e.mean + boundDeviations*e.deviation }

// lowerBound returns a duration that few are shorter than.
func (e durationEstimate) lowerBound() time.Duration {
	return max(e.mean-boundDeviations*e.deviation, 0)
}

// likelyBound returns a duration that most are not longer than.
func (e durationEstimate) likelyBound() time.Duration { return e.mean + likelyDeviations*e.deviation }

// durationsByRoute estimates a duration by the name of the route.
type durationsByRoute map[string]durationEstimate

// add adds a duration of a request.
func (t durationsByRoute) add(r *request, d time.Duration) {
	e := t[r.route.Name]
	e.add(d)
	t[r.route.Name] = e
}

// upperBound returns a duration that few requests of the route exceed. It is the time
// limit of the route if no duration is known.
func (t durationsByRoute) upperBound(r *request) time.Duration {
	if e := t[r.route.Name]; e.known {
		return min(e.upperBound(), r.route.Timeout)
	}
	return r.route.Timeout
}

// lowerBound returns a duration that few requests of the route fall below, or 0 if no duration
// is known.
func (t durationsByRoute) lowerBound(r *request) time.Duration { return t[r.route.Name].lowerBound() }

// likelyBound returns a duration that most requests of the route do not exceed, or 0 if no
// duration is known.
func (t durationsByRoute) likelyBound(r *request) time.Duration { return t[r.route.Name].likelyBound() }

// stageTime estimates how long a stage takes once its inputs are available. It assumes
// half-full calls.
func (n *Node) stageTime(r *request, stage int) time.Duration {
	service := n.table.Service(r.route.Stages[stage].Service)
	if service == nil || service.Batch == nil {
		return 0
	}
	b := service.Batch
	return b.CallTime + time.Duration(b.MaxPieces/2)*b.PieceTime
}

// firstEventTime estimates the time from the end of the last stage to the first event of the
// stream.
func (n *Node) firstEventTime(r *request) time.Duration {
	if p := n.pools[r.service]; p != nil && p.speeds.Active() {
		if e := n.beginTimes[r.route.Name]; e.known {
			return n.likelyBeginTime(r, e)
		}
	}
	if average, ok := n.firstEventTimes[r.route.Name]; ok {
		return average
	}
	return defaultFirstEventTime
}

// downstreamTime estimates how long the downstream stages take once a stage is done.
func (n *Node) downstreamTime(r *request, stage int) time.Duration {
	var longest time.Duration
	for _, consumer := range r.consumers(stage) {
		longest = max(longest, n.stageTime(r, consumer)+n.downstreamTime(r, consumer))
	}
	return longest
}

// downstreamStages returns the stages that depend on a stage, directly or indirectly,
// in the order in which they run.
func (r *request) downstreamStages(stage int) []batch.DownstreamStage {
	downstream := r.route.Downstream(stage)
	var list []batch.DownstreamStage
	for _, i := range r.stageOrder[slices.Index(r.stageOrder, stage)+1:] {
		if downstream[i] {
			list = append(list, batch.DownstreamStage{Stage: i, Service: r.route.Stages[i].Service, Pieces: r.pieces(i)})
		}
	}
	return list
}
