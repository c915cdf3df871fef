package batch

import (
	"slices"
	"time"

	"teaselplank/fleet"
	"teaselplank/health"
)

// A worker is what the scheduler knows of one worker of a stage service.
type worker struct {
	upstream fleet.Upstream
	batch    fleet.Batch
	// calls are under way; no more than slots says.
	calls []*call
	// slow is a moving mean of the time that calls took over what they should.
	slow float64
	// health has the calls that failed since the last that did not.
	health health.Record
	// heard is when the worker last answered a call.
	heard time.Time
	// fullUntil is how long the worker is passed over since it had no room.
	fullUntil time.Time
	// held are the results that lie at the worker, in bytes of about used, and
	// reserved is for the results of the call under way.
	held     map[string]held
	used     int64
	reserved int64
	// unwanted are held results to be freed at the worker. They take up its
	// memory until it says that it has freed them.
	unwanted []string
	freedAt  time.Time
	// probedAt is when a worker that seems slow was last tried.
	probedAt time.Time
}

type held struct {
	bytes   int64
	expires time.Time
}

const (
	// heardLately is how long an answer of a worker speaks against a cut of its
	// zone.
	heardLately = 200 * time.Millisecond
	// fullPause is how long a worker that had no room for a call is passed over:
	// about half a call of another owner.
	fullPause = 120 * time.Millisecond
	// noRoomPause is for a worker without memory for a result.
	noRoomPause = 150 * time.Millisecond
	// slowFactor is from which slowness a worker is used only if there is no
	// other, but for one try every probeEvery.
	slowFactor = 1.8
	probeEvery = 1500 * time.Millisecond
	// slowWeight is the weight of the newest call in the moving mean.
	slowWeight = 0.6
	// spaceShare is the share of a worker's memory for results that is used,
	// since the sizes of results are known only roughly.
	spaceShare = 0.92
)

// backoff is how long a worker is passed over after a call failed.
var backoff = health.Backoff{Least: 300 * time.Millisecond, Most: 3 * time.Second}

// finish takes in the end of a call.
func (w *worker) finish(now time.Time, c *call, failure Failure) {
	w.calls = slices.DeleteFunc(w.calls, func(other *call) bool { return other == c })
	switch failure {
	case Full:
		w.fullUntil = now.Add(fullPause)
	case Unreached, Unanswered, Broken:
		w.health.Fail(now, backoff)
	default:
		w.health.Clear()
		w.heard = now
		ratio := float64(now.Sub(c.sent)) / float64(c.expect)
		w.slow += slowWeight * (max(ratio, 1) - w.slow)
	}
}

// usable reports whether the worker can be sent calls at all.
func (w *worker) usable(now time.Time) bool {
	return !w.upstream.Draining && !w.health.Suspect(now)
}

// slots is the number of calls that the worker runs at once.
func (w *worker) slots() int { return max(w.batch.Running, 1) }

// free is the number of calls that it can run besides those under way.
func (w *worker) free() int { return w.slots() - len(w.calls) }

// slotsOf is the number of calls that workers run at once together.
func slotsOf(workers []*worker) int {
	count := 0
	for _, w := range workers {
		count += w.slots()
	}
	return count
}

// idle reports whether the worker can take a call now.
func (w *worker) idle(now time.Time) bool {
	return w.usable(now) && w.free() > 0 && !now.Before(w.fullUntil)
}

// freeAt returns when the worker is likely to take its next call.
func (w *worker) freeAt(now time.Time) time.Time {
	at := later(now, w.fullUntil)
	if w.free() > 0 {
		return at
	}
	ends := func(c *call) time.Time { return c.sent.Add(time.Duration(float64(c.expect) * w.slow)) }
	first := slices.MinFunc(w.calls, func(a, b *call) int { return ends(a).Compare(ends(b)) })
	return later(at, ends(first))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// space returns the memory that is left for results.
func (w *worker) space(now time.Time) int64 {
	for handle, h := range w.held {
		if now.After(h.expires) {
			w.used -= h.bytes
			delete(w.held, handle)
		}
	}
	return int64(spaceShare*float64(w.batch.ResultSpace)) - w.used - w.reserved
}

// tightShare is the share of its memory from which a worker has little left.
const tightShare = 0.3

func (w *worker) tight() bool {
	return float64(w.used+w.reserved) > tightShare*float64(w.batch.ResultSpace)
}

// keep notes a result at the worker.
func (w *worker) keep(now time.Time, handle string, bytes int64) {
	w.held[handle] = held{bytes: bytes, expires: now.Add(w.batch.ResultLife)}
	w.used += bytes
}

// unknownResults stands among the held results for those of another owner.
const unknownResults = "results of another owner"

// unknownFor is how long the memory that another owner's results take up counts
// as taken.
const unknownFor = 600 * time.Millisecond

// outOfRoom notes that the worker has less memory than is known here.
func (w *worker) outOfRoom(now time.Time) {
	w.fullUntil = now.Add(noRoomPause)
	w.setUnknown(now, w.space(now)+w.held[unknownResults].bytes)
}

// setUnknown sets the memory that another owner's results take up.
func (w *worker) setUnknown(now time.Time, bytes int64) {
	bytes = max(bytes, 0)
	w.used += bytes - w.held[unknownResults].bytes
	w.held[unknownResults] = held{bytes: bytes, expires: now.Add(unknownFor)}
}

// forget takes the results off that the worker has freed.
func (w *worker) forget(handles []string) {
	for _, handle := range handles {
		w.used -= w.held[handle].bytes
		delete(w.held, handle)
	}
}

// callTime returns what a call of so many pieces takes at full speed.
func callTime(b fleet.Batch, items int) time.Duration {
	return b.CallTime + time.Duration(items)*b.ItemTime
}
