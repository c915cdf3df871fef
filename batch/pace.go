package batch

import "time"

// A pace measures what a pool's workers get done while pieces wait for them. That
// may be less than full calls: memory for results runs out, pieces of one zone
// leave workers of another idle, calls fail. The zero value has measured nothing.
type pace struct {
	since time.Time
	// done counts the pieces since then; starved is true if at some moment no
	// piece waited.
	done    int
	starved bool
	// share is a moving mean of the pieces done over those of full calls; 0 is
	// not known.
	share float64
}

const (
	// paceWindow is the length of a measurement, and paceWeight the weight of
	// the newest in the mean.
	paceWindow = 400 * time.Millisecond
	paceWeight = 0.4
	// leastShare bounds the mean from below, so that admission never stops.
	leastShare = 0.3
)

// measure looks at the queue, and ends the measurement when its time has come.
func (p *pool) measure(now time.Time) {
	m := &p.pace
	if len(p.waiting) == 0 {
		m.starved = true
	}
	if m.since.IsZero() {
		m.since, m.share = now, 1
	}
	if now.Sub(m.since) < paceWindow {
		return
	}
	full := p.fullRate(p.usable(now)) * now.Sub(m.since).Seconds()
	switch {
	case m.starved || full == 0:
		m.share += paceWeight / 2 * (1 - m.share)
	default:
		m.share += paceWeight * (min(float64(m.done)/full, 1) - m.share)
	}
	m.share = max(m.share, leastShare)
	m.since, m.done, m.starved = now, 0, false
}

// finished counts pieces that a worker has done.
func (p *pool) finished(pieces int) {
	if p != nil {
		p.pace.done += pieces
	}
}

// fullRate returns the pieces a second that workers do in full calls.
func (p *pool) fullRate(workers []*worker) float64 {
	rate := 0.0
	for _, w := range workers {
		rate += float64(p.batch.MaxItems) / (p.round().Seconds() * w.slow)
	}
	return rate
}

// rate returns the pieces a second that the workers are likely to do while pieces
// wait for them.
func (p *pool) rate(workers []*worker) float64 {
	if p.pace.share == 0 {
		return p.fullRate(workers) // nothing was measured yet
	}
	return p.fullRate(workers) * p.pace.share
}
