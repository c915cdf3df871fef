// Package picker chooses the upstream for a request. It holds only decisions: its
// callers describe the upstreams that can be used, and get one of them back.
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
	// Slots is the number of requests that it runs at the same time.
	Slots int
	// Flight is the number of this node's requests there, and Others an
	// estimate of those of other nodes.
	Flight int
	Others float64
	// Latency is a moving mean of its answers' times.
	Latency time.Duration
	// FailureShare is a moving mean of the share of requests that failed.
	FailureShare float64
	// Unread is the number of prompt tokens that this node has sent to an
	// engine which has not begun to answer them.
	Unread int
	// Weight is the share of prompts that an engine is to get; 0 counts as 1.
	Weight float64
}

// A Policy chooses among candidates. It returns false if there are none.
type Policy interface {
	Pick(candidates []Candidate) (Candidate, bool)
}

const (
	// defaultLatency stands for upstreams that have not answered yet.
	defaultLatency = 60 * time.Millisecond
	// zoneTime is added to the expected time at an upstream of another zone: two
	// crossings, and a price for the bytes that cross.
	zoneTime = 6 * time.Millisecond
)

// Soonest picks the upstream that is likely to answer first, for requests that
// are alike. A failed answer counts as a repeat of the whole time.
type Soonest struct {
	// Zone is the zone of the node.
	Zone string
}

// Pick returns the candidate with the least expected time.
func (s Soonest) Pick(candidates []Candidate) (Candidate, bool) {
	return least(candidates, s.expect)
}

func (s Soonest) expect(c Candidate) float64 {
	latency := c.Latency
	if latency == 0 {
		latency = defaultLatency
	}
	busy := (float64(c.Flight) + c.Others + 1) / float64(max(c.Slots, 1))
	expected := float64(latency) * max(busy, 0.5+busy/2) * (1 + 3*c.FailureShare)
	if c.Zone != s.Zone {
		expected += float64(zoneTime)
	}
	return expected
}

// Prefix picks an engine for a prompt. Prompts that share a part go to the same
// engine, which has read the part already, as long as it is not much busier than
// the others. All nodes pick the same one without asking each other.
type Prefix struct {
	// Zone is preferred if it is set.
	Zone string
	// Shared names the part of the prompt that others share.
	Shared string
}

const (
	// readRate is about how many prompt tokens an engine reads in a
	// millisecond, and slotTime what a running request adds to a token of all.
	readRate = 90.0
	slotTime = 1.5 // milliseconds
	// spread is how many milliseconds busier than the least busy engine one may
	// be and still get the prompts whose parts it has.
	spread = 90.0
	// otherZone is what an engine of another zone must be less busy by, in
	// milliseconds.
	otherZone = 400.0
)

// Pick returns the engine for the prompt.
func (p Prefix) Pick(candidates []Candidate) (Candidate, bool) {
	best, ok := least(candidates, p.cost)
	if !ok {
		return best, false
	}
	limit := p.cost(best) + spread
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

// score ranks the engines for the shared part: each is first for a share of all
// parts that follows its weight, and stays so whichever others come or go.
func (p Prefix) score(c Candidate) float64 {
	weight := c.Weight
	if weight == 0 {
		weight = 1
	}
	hash := xxhash.Sum64String(p.Shared + "\x00" + c.ID)
	part := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(part)
}

// cost returns how busy an engine is, in milliseconds.
func (p Prefix) cost(c Candidate) float64 {
	cost := float64(c.Unread)/readRate + slotTime*(float64(c.Flight)+c.Others)
	cost += otherZone * c.FailureShare
	if p.Zone != "" && c.Zone != p.Zone {
		cost += otherZone
	}
	return cost
}

// least returns the candidate with the least cost; the first of equal ones.
func least(candidates []Candidate, cost func(Candidate) float64) (Candidate, bool) {
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
