package batch

import "time"

// A pace measures how full calls can be. Calls that are not full for want of
// memory for results lower it; full ones raise it, and so do those that took all
// there was to do, since they say nothing against it. The zero value has measured
// nothing.
type pace struct {
	// short is a moving mean of the part of a full call that calls lacked.
	short float64
	// starvedAt is when a worker last had no memory at all.
	starvedAt time.Time
}

const (
	// paceWeight is the weight of the newest call in the mean.
	paceWeight = 0.08
	// mostShort bounds the mean, so that admission never stops.
	mostShort = 0.7
	// starvedPace is the least time between two notes of workers without memory.
	starvedPace = 60 * time.Millisecond
)

// filled notes a call of so many pieces of the most. Limited is true if there was
// more to do that found no memory.
func (m *pace) filled(now time.Time, items, most int, limited bool) {
	lacked := 0.0
	if limited {
		lacked = 1 - float64(items)/float64(most)
	}
	if items == 0 {
		if !limited || now.Sub(m.starvedAt) < starvedPace {
			return
		}
		m.starvedAt = now
	}
	m.short += paceWeight * (lacked - m.short)
	m.short = min(m.short, mostShort)
}

// fullRate returns the pieces a second that workers do in full calls.
func (p *pool) fullRate(workers []*worker) float64 {
	rate := 0.0
	for _, w := range workers {
		rate += float64(w.slots()*p.batch.MaxItems) / (p.round().Seconds() * w.slow)
	}
	return rate
}

// rate returns the pieces a second that the workers are likely to do while pieces
// wait for them.
func (p *pool) rate(workers []*worker) float64 {
	return p.fullRate(workers) * (1 - p.pace.short)
}
