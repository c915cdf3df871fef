package picker

import (
	"math"
	"time"
)

// Engines are picked by the time to the first event once speeds are in use:
//
//	slowness x (baseTime + tokens to process until then / prefillRate + slotCost x requests)
//
// or the time until it has a slot, if that is longer.
//
// The engine that is preferred for the shared prefix has processed it already, so that affinity
// is worth the time that another engine takes to process the prefix again. Any bonus beyond that
// would overload the engines of frequent prefixes.
const (
	// baseTime is the time to the first event of an empty prompt at an idle engine, and
	// slotTime the time for which a request keeps a slot, both in milliseconds. A request that
	// finds all slots taken waits for one of them.
	baseTime = 10.0
	slotTime = 1000.0
	// closeTime is the difference, in milliseconds, up to which the times of two engines count
	// as equal, since the load of an engine is an estimate. The prefix decides between them, so
	// that nodes with the same view do not all choose the same engine.
	closeTime = 5.0
)

// usesSpeeds reports whether speeds are in use.
func usesSpeeds(candidates []Candidate) bool {
	return len(candidates) > 0 && candidates[0].Slowness > 0
}

// Work returns the time that a request takes at a picked upstream with the slowness 1.
func (LowestLatency) Work(c Candidate) time.Duration {
	return time.Duration(float64(defaultLatency) * loadFactor(c))
}

// Work returns the time to the first event at a picked engine with the slowness 1.
func (p PrefixAffinity) Work(c Candidate) time.Duration {
	return time.Duration(p.work(&c, c.HasPrefix) * float64(time.Millisecond))
}

// pickFastest returns the engine with the shortest time to the first event. Of those that are
// about as fast, it returns the one that ranks first for the shared prefix.
func (p PrefixAffinity) pickFastest(candidates []Candidate) Candidate {
	home := p.home(candidates)
	costs, lowest := make([]float64, len(candidates)), math.Inf(1)
	for i := range candidates {
		costs[i] = p.speedCost(&candidates[i], i == home)
		lowest = min(lowest, costs[i])
	}
	first, score := -1, 0.0
	for i := range candidates {
		if costs[i] > lowest+closeTime {
			continue
		}
		if s := p.score(candidates[i]); first < 0 || s > score {
			first, score = i, s
		}
	}
	chosen := candidates[first]
	chosen.HasPrefix = first == home
	return chosen
}

// home returns the index of the engine that is preferred for the shared prefix, or -1 if there is
// no prefix.
func (p PrefixAffinity) home(candidates []Candidate) int {
	first, score := -1, 0.0
	if p.SharedTokens == 0 {
		return first
	}
	for i := range candidates {
		if s := p.score(candidates[i]); first < 0 || s > score {
			first, score = i, s
		}
	}
	return first
}

// speedCost returns the time to the first event at an engine and its penalties, in milliseconds.
func (p PrefixAffinity) speedCost(c *Candidate, hasPrefix bool) float64 {
	cost := c.Slowness*p.work(c, hasPrefix) + enginePenalty*c.FailureRate
	if p.Zone != "" && c.Zone != p.Zone {
		cost += enginePenalty
	}
	return cost
}

// work returns the time to the first event at an engine with the slowness 1, in milliseconds.
func (p PrefixAffinity) work(c *Candidate, hasPrefix bool) float64 {
	tokens := c.PendingTokens + p.Tokens
	if hasPrefix {
		tokens -= p.SharedTokens
	}
	requests := float64(c.InFlight) + c.OthersInFlight
	work := float64(max(tokens, 0))/prefillRate + slotCost*requests
	if slots := float64(max(c.Slots, 1)); requests >= slots {
		// The prompts before it are processed while it waits for a slot.
		work = max(work, slotTime*(requests+1-slots)/slots)
	}
	return baseTime + work
}
