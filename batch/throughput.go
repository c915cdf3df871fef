package batch

import "time"

// A fillTracker estimates how full calls can be. A call that is not full for lack of
// result memory lowers the estimate. A full call raises it, and so does a call that took
// all pending pieces, since memory did not limit it. The zero value has no measurements.
type fillTracker struct {
	// unfilled is a moving average of the unfilled share of calls.
	unfilled float64
	// emptyAt is when a worker without memory for any piece was last recorded.
	emptyAt time.Time
}

const (
	// fillWeight is the weight of the newest call in the average.
	fillWeight = 0.08
	// maxUnfilled bounds the average, so that admission never stops.
	maxUnfilled = 0.7
	// emptyInterval is the minimum time between two records of workers without
	// memory for any piece.
	emptyInterval = 60 * time.Millisecond
)

// record adds a call with the given number of pieces, of at most maxPieces. spaceLimited
// is true if lack of memory kept pending pieces out of the call.
func (f *fillTracker) record(now time.Time, pieces, maxPieces int, spaceLimited bool) {
	unfilled := 0.0
	if spaceLimited {
		unfilled = 1 - float64(pieces)/float64(maxPieces)
	}
	if pieces == 0 {
		if !spaceLimited || now.Sub(f.emptyAt) < emptyInterval {
			return
		}
		f.emptyAt = now
	}
	f.unfilled += fillWeight * (unfilled - f.unfilled)
	f.unfilled = min(f.unfilled, maxUnfilled)
}

// fullRate returns the throughput of workers in pieces per second if all calls are full.
func (p *pool) fullRate(workers []*worker) float64 {
	rate := 0.0
	for _, w := range workers {
		callTime := time.Duration(float64(p.fullCallTime()) * w.slowness)
		rate += float64(w.slots()*p.batch.MaxPieces) / w.callPeriod(callTime).Seconds()
	}
	return rate
}

// rate returns the estimated throughput of workers in pieces per second while pieces
// are queued.
func (p *pool) rate(workers []*worker) float64 {
	return p.fullRate(workers) * (1 - p.fill.unfilled)
}
