package route

import (
	"maps"
	"slices"
	"time"

	"teaselplank/wire"
)

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
