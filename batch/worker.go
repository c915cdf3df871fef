package batch

import (
	"slices"
	"time"

	"teaselplank/fleet"
	"teaselplank/health"
	"teaselplank/limit"
)

// A worker is the scheduler's view of one worker of a stage service.
type worker struct {
	upstream fleet.Upstream
	batch    fleet.Batch
	// calls holds the calls in flight that occupy the worker: at most slots of them, and
	// a probe if one of them is overdue.
	calls []*call
	// slowness is a moving average of the ratio of actual to expected call durations.
	slowness float64
	// health records the calls that failed since the last successful one.
	health health.Record
	// lastResponse is the time of the worker's last response to a call.
	lastResponse time.Time
	// pausedUntil is when the worker may get calls again after it had no capacity or
	// memory.
	pausedUntil time.Time
	// pause is how long the worker wants no calls of any kind.
	pause health.Pause
	// limit keeps this node's calls of all kinds to its share of the worker's limit.
	limit limit.Bucket
	// evacuated is true while the worker's zone is evacuated. warmsUp is true if its service
	// announces a warm-up.
	evacuated bool
	warmsUp   bool
	// held maps handles to the results at the worker, usedBytes is their approximate
	// size, and reservedBytes that of the results of the calls in flight.
	held          map[string]heldResult
	usedBytes     int64
	reservedBytes int64
	// toFree holds the handles of the results to be freed at the worker. They count
	// against its memory until it confirms that it has freed them.
	toFree     []string
	lastFreeAt time.Time
	// lastProbeAt is when the worker was last probed.
	lastProbeAt time.Time
}

type heldResult struct {
	bytes   int64
	expires time.Time
}

const (
	// recentResponseAge is the age up to which a response shows that the worker is not
	// affected by an outage of its zone.
	recentResponseAge = 200 * time.Millisecond
	// fullPause is how long a worker that had no capacity for a call gets none: about
	// half the duration of another owner's call.
	fullPause = 120 * time.Millisecond
	// noRoomPause is the same for a worker without memory for a result.
	noRoomPause = 150 * time.Millisecond
	// slowThreshold is the slowness from which a worker is used only if there is no
	// other, apart from one probe every probeInterval.
	slowThreshold = 1.8
	probeInterval = 1500 * time.Millisecond
	// slownessWeight is the weight of the newest call in the moving average.
	slownessWeight = 0.6
	// usableSpace is the usable share of a worker's memory for results, since their
	// sizes are known only approximately.
	usableSpace = 0.92
)

// backoff is how long a worker is suspect after failed calls.
var backoff = health.Backoff{Min: 300 * time.Millisecond, Max: 3 * time.Second}

// finish handles the end of a call.
func (w *worker) finish(now time.Time, c *call, failure Failure) {
	w.remove(c)
	switch failure {
	case Full:
		w.pausedUntil = now.Add(fullPause)
	case Unreachable, ConnectTimeout, ConnectionFailed:
		if !c.overdue { // An overdue call has been counted.
			w.health.Fail(now, backoff)
		}
	default:
		w.lastResponse = now
		if c.overdue {
			// The worker was silent or is very slow. The next call, a probe, shows which.
			w.health.Hold(now)
			return
		}
		w.health.Clear()
		ratio := float64(now.Sub(c.sentAt)) / float64(c.expected)
		w.slowness += slownessWeight * (max(ratio, 1) - w.slowness)
	}
}

// remove removes a call that occupies the worker no longer.
func (w *worker) remove(c *call) {
	w.calls = slices.DeleteFunc(w.calls, func(other *call) bool { return other == c })
}

// usable reports whether the worker can be sent calls at all. It cannot if not even a probe
// was answered.
func (w *worker) usable(now time.Time) bool {
	if w.limit.Limited() && w.limit.Rate() <= 0 {
		return false
	}
	return !w.upstream.Draining && !w.evacuated && !w.pause.Active(now) && !w.health.Suspect(now) && w.overdueCalls() <= w.slots()
}

// pauseWorker records that a worker wants no calls for some time.
func (s *Scheduler) pauseWorker(e Held) {
	if w := s.worker(e.Worker); w != nil && w.upstream.Born == e.Born {
		w.pause.Extend(e.Until)
	}
}

// limitWorker sets or removes this node's share of a worker's limit.
func (s *Scheduler) limitWorker(now time.Time, e Limited) {
	w := s.worker(e.Worker)
	switch {
	case w == nil || w.upstream.Born != e.Born:
	case e.Limited:
		w.limit.SetRate(now, e.Rate)
	default:
		w.limit.Remove()
	}
}

// callPeriod returns the shortest time between the starts of two calls of one slot, given the
// duration of a call.
func (w *worker) callPeriod(d time.Duration) time.Duration {
	if !w.limit.Limited() {
		return d
	}
	return max(d, time.Duration(float64(w.slots())/w.limit.Rate()*float64(time.Second)))
}

// slots returns the number of calls that the worker runs at once.
func (w *worker) slots() int { return max(w.batch.MaxRunning, 1) }

// freeSlots returns the number of calls that the worker can be sent besides those in
// flight. A failed worker with an overdue call can be sent one more, as a probe, since only
// the connection of that call may be lost.
func (w *worker) freeSlots() int {
	free := w.slots() - len(w.calls)
	if w.health.HasFailed() && w.overdueCalls() > 0 {
		free++
	}
	return free
}

// overdueCalls returns the number of overdue calls that occupy the worker.
func (w *worker) overdueCalls() int {
	count := 0
	for _, c := range w.calls {
		if c.overdue {
			count++
		}
	}
	return count
}

// totalSlots returns the number of calls that all workers together run at once.
func totalSlots(workers []*worker) int {
	count := 0
	for _, w := range workers {
		count += w.slots()
	}
	return count
}

// idle reports whether the worker can take a call now.
func (w *worker) idle(now time.Time) bool {
	return w.usable(now) && w.freeSlots() > 0 && !now.Before(w.pausedUntil) && w.limit.Allows(now)
}

// nextFreeAt estimates when the worker can take its next call.
func (w *worker) nextFreeAt(now time.Time) time.Time {
	at := latest(now.Add(w.limit.Wait(now)), w.pausedUntil)
	if w.freeSlots() > 0 {
		return at
	}
	ends := func(c *call) time.Time { return c.sentAt.Add(time.Duration(float64(c.expected) * w.slowness)) }
	first := slices.MinFunc(w.calls, func(a, b *call) int { return ends(a).Compare(ends(b)) })
	return latest(at, ends(first))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// space drops expired results and returns the free memory for results.
func (w *worker) space(now time.Time) int64 {
	for handle, h := range w.held {
		if now.After(h.expires) {
			w.forget(handle, h)
		}
	}
	return int64(usableSpace*float64(w.batch.ResultMemory)) - w.usedBytes - w.reservedBytes
}

// lowSpaceThreshold is the share of used memory above which a worker is low on memory.
const lowSpaceThreshold = 0.3

func (w *worker) lowOnSpace() bool {
	return float64(w.usedBytes+w.reservedBytes) > lowSpaceThreshold*float64(w.batch.ResultMemory)
}

// addResult records a result at the worker.
func (w *worker) addResult(now time.Time, handle string, bytes int64) {
	w.usedBytes += bytes - w.held[handle].bytes
	w.held[handle] = heldResult{bytes: bytes, expires: now.Add(w.batch.ResultTTL)}
}

// otherOwnerResults is the handle under which held counts the results of another owner.
const otherOwnerResults = "results of another owner"

// otherOwnerTTL is how long the memory of another owner's results counts as used.
const otherOwnerTTL = 600 * time.Millisecond

// outOfSpace pauses calls to a worker that has less free memory than computed here, and
// attributes all its remaining memory to results of another owner.
func (w *worker) outOfSpace(now time.Time) {
	w.pausedUntil = now.Add(noRoomPause)
	w.setOtherOwnerBytes(now, w.space(now)+w.held[otherOwnerResults].bytes)
}

// setOtherOwnerBytes sets the memory that another owner's results use.
func (w *worker) setOtherOwnerBytes(now time.Time, bytes int64) {
	bytes = max(bytes, 0)
	w.usedBytes += bytes - w.held[otherOwnerResults].bytes
	w.held[otherOwnerResults] = heldResult{bytes: bytes, expires: now.Add(otherOwnerTTL)}
}

// removeResults removes the results that the worker has freed.
func (w *worker) removeResults(handles []string) {
	for _, handle := range handles {
		w.forget(handle, w.held[handle])
	}
}

// forget removes a result from those at the worker.
func (w *worker) forget(handle string, h heldResult) {
	w.usedBytes -= h.bytes
	delete(w.held, handle)
}

// callTime returns the duration of a call at full speed, given its number of pieces.
func callTime(b fleet.Batch, pieces int) time.Duration {
	return b.CallTime + time.Duration(pieces)*b.PieceTime
}
