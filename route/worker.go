package route

import (
	"time"

	"teaselplank/health"
	"teaselplank/wire"
)

// A Worker is an upstream host as this node sees it.
type Worker struct {
	host wire.Host
	// flight is the number of this node's calls under way; never negative.
	flight int
	// unstarted is how many streams of flight have brought no token yet;
	// never negative.
	unstarted int
	// limit bounds flight; at least minLimit.
	limit float64
	// load is the last report, taken at reported with flightThen calls of
	// this node under way.
	load     wire.Load
	reported time.Time
	// asked is when the worker was last asked for its load.
	asked      time.Time
	flightThen int
	// health has the connections that failed since the last answer.
	health  health.Record
	leaving bool
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
func (w *Worker) Suspect(now time.Time) bool { return w.health.Suspect(now) }

// Worker returns a worker by its host's id.
func (t *Table) Worker(id string) (*Worker, bool) {
	w, ok := t.byID[id]
	return w, ok
}

// backoff is the factor by which a limit shrinks.
const backoff = 0.85

func (w *Worker) grow() {
	if float64(w.flight+1) >= w.limit-1 {
		w.limit = min(w.limit+1/w.limit, maxLimit)
	}
}

func (w *Worker) shrink() { w.limit = max(w.limit*backoff, minLimit) }
