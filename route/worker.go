package route

import (
	"time"

	"teaselplank/health"
	"teaselplank/wire"
)

// A Worker is this node's view of an upstream.
type Worker struct {
	host wire.Host
	// inFlight is the number of this node's calls in flight; never negative.
	inFlight int
	// unstarted is the number of these calls that are streams without a first token;
	// never negative.
	unstarted int
	// limit is the maximum of inFlight; at least minLimit.
	limit float64
	// load is the last report. It was received at reportedAt, when inFlightAtReport
	// calls of this node were in flight.
	load       wire.Load
	reportedAt time.Time
	// polledAt is when the worker was last polled for its load.
	polledAt         time.Time
	inFlightAtReport int
	// health holds the failures since the last response.
	health  health.Record
	leaving bool
}

// Bounds of a worker's limit, and its value before the first report.
const (
	minLimit     = 1
	maxLimit     = 512
	initialLimit = 8
)

// ID returns the id of the worker's host.
func (w *Worker) ID() string { return w.host.ID }

// Host returns the worker's entry in the platform's host list.
func (w *Worker) Host() wire.Host { return w.host }

// InFlight returns the number of this node's calls in flight.
func (w *Worker) InFlight() int { return w.inFlight }

// Limit returns the maximum number of this node's calls in flight.
func (w *Worker) Limit() float64 { return w.limit }

// lastContact returns when the worker last reported its load or was polled for it.
func (w *Worker) lastContact() time.Time {
	if w.polledAt.After(w.reportedAt) {
		return w.polledAt
	}
	return w.reportedAt
}

// Leaving reports whether the worker must not receive new calls.
func (w *Worker) Leaving() bool { return w.leaving }

// Suspect reports whether the worker is in backoff after recent failures.
func (w *Worker) Suspect(now time.Time) bool { return w.health.Suspect(now) }

// Worker returns a worker by its host's id.
func (t *Table) Worker(id string) (*Worker, bool) {
	w, ok := t.byID[id]
	return w, ok
}

// limitDecrease is the factor by which lowerLimit reduces a limit.
const limitDecrease = 0.85

func (w *Worker) raiseLimit() {
	if float64(w.inFlight+1) >= w.limit-1 {
		w.limit = min(w.limit+1/w.limit, maxLimit)
	}
}

func (w *Worker) lowerLimit() { w.limit = max(w.limit*limitDecrease, minLimit) }
