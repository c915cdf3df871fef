package route

import (
	"maps"
	"slices"
	"time"

	"teaselplank/wire"
)

// usedWorkers returns the workers that this node sends calls to.
func (t *Table) usedWorkers() []*Worker {
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

// WorkersToPoll returns at most count workers to poll for their load now: of the
// workers that this node uses, those whose last poll or report is oldest. Workers that
// were polled or have reported within the period are left out.
func (t *Table) WorkersToPoll(now time.Time, period time.Duration, count int) []*Worker {
	var due []*Worker
	for _, w := range t.usedWorkers() {
		if now.Sub(w.lastContact()) >= period {
			due = append(due, w)
		}
	}
	slices.SortStableFunc(due, func(a, b *Worker) int { return a.lastContact().Compare(b.lastContact()) })
	due = due[:min(count, len(due))]
	for _, w := range due {
		w.polledAt = now
	}
	return due
}

// SetPollInterval sets the maximum time between two polls of a worker. The report
// timeout grows with it, so that a rarely polled worker does not count as unreachable.
func (t *Table) SetPollInterval(interval time.Duration) { t.pollInterval = interval }

// missedReports is the number of consecutive missed reports after which a worker counts
// as unreachable.
const missedReports = 3

func (t *Table) reportTimeout() time.Duration {
	return max(t.config.ReportTimeout, missedReports*t.pollInterval)
}

// Report records a worker's report of its load. A queue at the worker lowers its limit,
// because this node can reorder work that it queues itself.
func (t *Table) Report(now time.Time, id string, load wire.Load) {
	w := t.byID[id]
	if w == nil {
		return
	}
	first := w.reportedAt.IsZero()
	w.load, w.reportedAt, w.inFlightAtReport = load, now, w.inFlight
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
	if load.Queued > load.Slots/4 && float64(w.inFlight) > share {
		w.lowerLimit()
	}
	w.limit = min(w.limit, float64(2*load.Slots))
}
