package batch

import (
	"math"
	"time"
)

// A chainKey names the chains of stages that have the same services.
type chainKey struct {
	first, last string
	stages      int
}

// A correction is the factor for the forecast waiting time of chains, so that most of those that
// are admitted end in time: forecasts treat all workers as equally suited to a piece and ignore
// jobs that arrive later. Each chain that ends changes it by a fixed step, so that one whose
// worker was silent counts like any other late one. The time of
// the calls is multiplied with firstCorrection always, so that no correction refuses a request
// that does not wait.
type correction struct {
	ratio   float64
	updated time.Time
}

const (
	// firstCorrection is the ratio without samples. It fits an owner of five workers.
	firstCorrection = 1.3
	minCorrection   = 1.0
	// maxCorrection keeps chains from being refused because others were late for reasons that no
	// forecast knows, such as a slow engine: a late answer is worth more than a refusal.
	maxCorrection = firstCorrection
	// correctionStep is how much the ratio rises with a late chain. It falls with one in time,
	// so that it stays the same if lateShare of them are late.
	correctionStep = 0.06
	lateShare      = 0.1
	// tightShare is the least part of the time left that a forecast must take for its chain to
	// be a sample; chains with more time to spare are in time anyway.
	tightShare = 0.75
	// correctionTime is the time constant with which the ratio returns to firstCorrection. A
	// high ratio may admit no chain that could show that it is too high.
	correctionTime = 4 * time.Second
	// maxCorrections bounds the number of chain keys with a correction.
	maxCorrections = 64
)

// get returns the ratio at a time.
func (c *correction) get(now time.Time) float64 {
	kept := math.Exp(-max(now.Sub(c.updated), 0).Seconds() / correctionTime.Seconds())
	return firstCorrection + kept*(c.ratio-firstCorrection)
}

// add records the end of a chain.
func (c *correction) add(now time.Time, late bool) {
	c.ratio, c.updated = c.get(now), now
	if late {
		c.ratio += correctionStep
	} else {
		c.ratio -= correctionStep * lateShare
	}
	c.ratio = min(max(c.ratio, minCorrection), maxCorrection)
}

// An admittedChain is a chain that was admitted, and when it is due.
type admittedChain struct {
	key chainKey
	due time.Time
	// tight is true if it had little time to spare.
	tight bool
}

// newAdmittedChain returns the chain that begins with a job.
func newAdmittedChain(now time.Time, j Job, c chainForecast) *admittedChain {
	left := j.StagesDue.Sub(now)
	return &admittedChain{key: j.chainKey(), due: j.StagesDue, tight: float64(c.all()) >= tightShare*float64(left)}
}

// chainKey returns the key of the chain that begins with a job.
func (j Job) chainKey() chainKey {
	k := chainKey{first: j.Service, last: j.Service, stages: 1 + len(j.Downstream)}
	if n := len(j.Downstream); n > 0 {
		k.last = j.Downstream[n-1].Service
	}
	return k
}

// correctionOf returns the correction of chains.
func (s *Scheduler) correctionOf(now time.Time, k chainKey) float64 {
	if c := s.corrections[k]; c != nil {
		return c.get(now)
	}
	return firstCorrection
}

// learn updates the correction of a chain whose last stage has ended or will end too late.
func (s *Scheduler) learn(now time.Time, c *admittedChain) {
	if c == nil || !c.tight {
		return
	}
	known := s.corrections[c.key]
	if known == nil {
		if len(s.corrections) >= maxCorrections {
			return
		}
		if s.corrections == nil {
			s.corrections = make(map[chainKey]*correction)
		}
		known = &correction{ratio: firstCorrection, updated: now}
		s.corrections[c.key] = known
	}
	known.add(now, now.After(c.due))
}
