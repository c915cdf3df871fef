// Package picker chooses the upstream for a request. It is free of I/O and state:
// callers describe the candidates, and a policy returns one of them.
package picker

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Candidate describes an upstream that may be chosen.
type Candidate struct {
	ID   string
	Zone string
	// Slots is the number of requests that the upstream can run concurrently.
	Slots int
	// InFlight is the number of this node's requests at the upstream, and
	// OthersInFlight an estimate of those of other nodes.
	InFlight       int
	OthersInFlight float64
	// Latency is a moving average of the upstream's response times, or 0 if unknown.
	Latency time.Duration
	// FailureRate is a moving average of the share of requests that failed.
	FailureRate float64
	// PendingTokens is the number of prompt tokens of this node's requests that
	// an engine has not begun to answer.
	PendingTokens int
	// Weight is the relative share of prompts for an engine; 0 counts as 1.
	Weight float64
	// HasPrefix is true for an engine that was picked and is expected to have processed the
	// prompt's shared prefix. It is set only if speeds are in use.
	HasPrefix bool
	// Slowness is the ratio of the time that work takes at the upstream to the time that
	// Work returns. It is 0 if speeds are not in use, and known for all candidates otherwise.
	Slowness float64
}

// A Policy chooses among candidates. Pick returns false if there are none.
type Policy interface {
	Pick(candidates []Candidate) (Candidate, bool)
}

const (
	// defaultLatency is used for upstreams that have not answered yet.
	defaultLatency = 60 * time.Millisecond
	// crossZonePenalty is added to the expected time at an upstream in another
	// zone. It covers the round trip and the cost of cross-zone traffic.
	crossZonePenalty = 6 * time.Millisecond
)

// LowestLatency picks the upstream with the shortest expected time, for requests of
// similar cost. The expected time grows with the failure rate, because a failed request
// has to run again in full.
type LowestLatency struct {
	// Zone is the zone of the node.
	Zone string
}

// Pick returns the candidate with the shortest expected time.
func (l LowestLatency) Pick(candidates []Candidate) (Candidate, bool) {
	return minCost(candidates, l.expectedTime)
}

func (l LowestLatency) expectedTime(c Candidate) float64 {
	latency := float64(c.Latency)
	switch {
	case c.Slowness > 0:
		latency = float64(defaultLatency) * c.Slowness
	case c.Latency == 0:
		latency = float64(defaultLatency)
	}
	expected := latency * loadFactor(c) * (1 + 3*c.FailureRate)
	if c.Zone != l.Zone {
		expected += float64(crossZonePenalty)
	}
	return expected
}

// loadFactor returns how much longer than usual a request takes at an upstream for its load.
func loadFactor(c Candidate) float64 {
	utilization := (float64(c.InFlight) + c.OthersInFlight + 1) / float64(max(c.Slots, 1))
	return max(utilization, 0.5+utilization/2)
}

// PrefixAffinity picks an engine for a prompt. Prompts with the same prefix go to the
// same engine, which has already processed the prefix, unless that engine is much
// busier than the others. All nodes prefer the same engine without coordination.
type PrefixAffinity struct {
	// Zone is preferred if it is set.
	Zone string
	// SharedPrefix identifies the prefix that the prompt shares with others.
	SharedPrefix string
	// Tokens is the length of the prompt, and SharedTokens that of the shared prefix. They
	// count only if speeds are in use.
	Tokens, SharedTokens int
}

const (
	// prefillRate is the approximate number of prompt tokens that an engine
	// processes per millisecond. slotCost is the time that a running request adds
	// to each token of all requests, in milliseconds.
	prefillRate = 90.0
	slotCost    = 1.5
	// maxExtraCost is how far the cost of an engine may exceed the lowest cost, in
	// milliseconds. Engines above this limit get no prompts.
	maxExtraCost = 90.0
	// enginePenalty is added to the cost of an engine in another zone and, scaled by
	// its failure rate, to the cost of any engine, in milliseconds.
	enginePenalty = 400.0
)

// Pick returns the engine for the prompt.
func (p PrefixAffinity) Pick(candidates []Candidate) (Candidate, bool) {
	if usesSpeeds(candidates) {
		return p.pickFastest(candidates), true
	}
	best, ok := minCost(candidates, p.cost)
	if !ok {
		return best, false
	}
	limit := p.cost(best) + maxExtraCost
	var chosen Candidate
	score := -1.0
	for _, c := range candidates {
		if p.cost(c) > limit {
			continue
		}
		if s := p.score(c); s > score {
			chosen, score = c, s
		}
	}
	return chosen, true
}

// score ranks the engines for the shared prefix by weighted rendezvous hashing. Each
// engine ranks first for a share of all prefixes proportional to its weight. Adding
// or removing an engine moves only the prefixes of that engine.
func (p PrefixAffinity) score(c Candidate) float64 {
	weight := c.Weight
	if weight == 0 {
		weight = 1
	}
	hash := xxhash.Sum64String(p.SharedPrefix + "\x00" + c.ID)
	fraction := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(fraction)
}

// cost returns the load of an engine and its penalties, in milliseconds.
func (p PrefixAffinity) cost(c Candidate) float64 {
	cost := float64(c.PendingTokens)/prefillRate + slotCost*(float64(c.InFlight)+c.OthersInFlight)
	cost += enginePenalty * c.FailureRate
	if p.Zone != "" && c.Zone != p.Zone {
		cost += enginePenalty
	}
	return cost
}

// minCost returns the first candidate with the lowest cost.
func minCost(candidates []Candidate, cost func(Candidate) float64) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	best := candidates[0]
	for _, c := range candidates[1:] {
		if cost(c) < cost(best) {
			best = c
		}
	}
	return best, true
}
