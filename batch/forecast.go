package batch

import (
	"cmp"
	"slices"
	"time"
)

// A callForecast forecasts the calls of the workers of a pool one by one. The calls of workers
// with limits come in steps, so that the mean throughput says little of when a job ends.
type callForecast struct {
	batch callBatch
	slots []callSlot
	// arrivals holds the pieces that reach the workers later, the earliest first.
	arrivals []arrival
	// pending is the number of pieces that wait.
	pending int
	// gather is how long calls wait for more pieces.
	gather time.Duration
}

// A callBatch describes the calls of a forecast.
type callBatch struct {
	// maxPieces is the number of pieces that a call holds at most, and maxShared the number
	// that is counted on if several jobs share it; both are at least 1.
	maxPieces, maxShared int
	duration             func(pieces int) time.Duration
}

// A callSlot is the calls that a worker runs one after the other.
type callSlot struct {
	// next is the time until the next call may start, and period that between two calls.
	next, period time.Duration
}

// An arrival is pieces that reach the workers together after some time.
type arrival struct {
	after  time.Duration
	pieces int
}

const (
	// forecastFill is the share of a call's pieces that forecasts count on if jobs share it.
	// Jobs that arrive unforeseen take the rest, and one that misses a call waits a step longer.
	forecastFill = 0.8
	// maxForecast bounds forecasts.
	maxForecast = time.Hour
)

// hasLimit reports whether a usable worker has a limit.
func (p *pool) hasLimit(now time.Time) bool {
	return slices.ContainsFunc(p.usable(now), func(w *worker) bool { return w.limit.Limited() })
}

// forecastCalls returns the forecast of the calls of workers, given the pieces that will
// arrive.
func (p *pool) forecastCalls(now time.Time, workers []*worker, arrivals []arrival) *callForecast {
	room := float64(p.batch.MaxPieces) * (1 - p.fill.unfilled)
	f := &callForecast{
		batch: callBatch{
			maxPieces: max(int(room), 1), maxShared: max(int(forecastFill*room), 1),
			duration: func(pieces int) time.Duration { return callTime(p.batch, pieces) },
		},
		pending:  p.queued(""),
		arrivals: slices.SortedFunc(slices.Values(arrivals), func(a, b arrival) int { return cmp.Compare(a.after, b.after) }),
	}
	if p.allLimited(now) {
		f.gather = gatherTime
	}
	for _, w := range workers {
		first := max(w.nextFreeAt(now).Sub(now), 0)
		period := w.callPeriod(time.Duration(float64(p.fullCallTime()) * w.slowness))
		for i := range w.slots() {
			slot := callSlot{next: first, period: period}
			if w.limit.Limited() {
				slot.next += time.Duration(i) * period / time.Duration(w.slots())
			}
			f.slots = append(f.slots, slot)
		}
	}
	return f
}

// finish returns the time until pieces are done that arrive after the given time. All that
// waits when a call starts goes before them.
func (f *callForecast) finish(after time.Duration, pieces int) time.Duration {
	for {
		c := f.nextCall(after)
		if c.start >= maxForecast {
			return maxForecast
		}
		own := 0
		if c.start >= after {
			own = min(pieces, c.room)
		}
		if pieces -= own; pieces == 0 {
			return c.start + f.batch.duration(c.pieces+own)
		}
	}
}

// A forecastCall is a call of a forecast that starts after some time. It has pieces that go
// first, and room for more.
type forecastCall struct {
	start        time.Duration
	pieces, room int
}

// nextCall takes the pieces of the next call that starts when some wait, or those that arrive
// after the given time.
func (f *callForecast) nextCall(after time.Duration) forecastCall {
	slot := f.firstSlot()
	start := max(slot.next, f.firstArrival(after)+f.gather)
	slot.next = start + slot.period
	f.admit(start)
	room := f.batch.maxShared
	if f.pending == 0 {
		room = f.batch.maxPieces
	}
	taken := min(f.pending, room)
	f.pending -= taken
	return forecastCall{start: start, pieces: taken, room: room - taken}
}

// firstSlot returns the slot whose next call may start first.
func (f *callForecast) firstSlot() *callSlot {
	first := &f.slots[0]
	for i := range f.slots {
		if f.slots[i].next < first.next {
			first = &f.slots[i]
		}
	}
	return first
}

// firstArrival returns the time until a piece waits, given when the last ones arrive.
func (f *callForecast) firstArrival(last time.Duration) time.Duration {
	switch {
	case f.pending > 0:
		return 0
	case len(f.arrivals) > 0:
		return min(f.arrivals[0].after, last)
	}
	return last
}

// admit counts the pieces that have arrived after some time as waiting.
func (f *callForecast) admit(after time.Duration) {
	for len(f.arrivals) > 0 && f.arrivals[0].after <= after {
		f.pending += f.arrivals[0].pieces
		f.arrivals = f.arrivals[1:]
	}
}
