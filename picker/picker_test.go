package picker

import (
	"fmt"
	"testing"
	"time"
)

func engines() []Candidate {
	var list []Candidate
	for i := range 12 {
		list = append(list, Candidate{ID: fmt.Sprint("e", i), Zone: string(rune('a' + i/3)), Slots: 128})
	}
	return list
}

// Removing an engine must not move the prefixes of the remaining engines, which would
// have to process them again.
func TestPrefixStays(t *testing.T) {
	moved := 0
	for i := range 200 {
		p := PrefixAffinity{SharedPrefix: fmt.Sprint("part", i)}
		all, _ := p.Pick(engines())
		fewer, _ := p.Pick(engines()[1:])
		if all.ID != fewer.ID && all.ID != "e0" {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d of 200 prefixes moved although their engine remained", moved)
	}
}

// When most prompts share one prefix, affinity alone would overload a single engine.
// The cost limit must spread the prompts over other engines.
func TestPrefixSpreads(t *testing.T) {
	p := PrefixAffinity{SharedPrefix: "hot"}
	list := engines()
	for range 60 {
		chosen, _ := p.Pick(list)
		for i := range list {
			if list[i].ID == chosen.ID {
				list[i].PendingTokens += 3000
				list[i].InFlight++
			}
		}
	}
	maxInFlight := 0
	for _, c := range list {
		maxInFlight = max(maxInFlight, c.InFlight)
	}
	if maxInFlight > 15 {
		t.Errorf("one engine has %d of 60 prompts, want at most 15", maxInFlight)
	}
}

// Zones can have different shares of the stage workers. A zone's share of the prompts
// must follow the weights of its engines.
func TestPrefixWeight(t *testing.T) {
	list := engines()
	for i := range list {
		if list[i].Zone == "a" {
			list[i].Weight = 2
		}
	}
	inZoneA := 0
	for i := range 2000 {
		chosen, _ := PrefixAffinity{SharedPrefix: fmt.Sprint(i)}.Pick(list)
		if chosen.Zone == "a" {
			inZoneA++
		}
	}
	// Zone a has 6/15 of the total weight, so 800 of 2000 prompts are expected; the
	// bounds allow 5 σ.
	if inZoneA < 690 || inZoneA > 910 {
		t.Errorf("zone a gets %d of 2000 prompts, want about 800", inZoneA)
	}
}

func TestLowestLatency(t *testing.T) {
	near := Candidate{ID: "near", Zone: "a", Slots: 6, Latency: 60 * time.Millisecond}
	far := Candidate{ID: "far", Zone: "b", Slots: 6, Latency: 60 * time.Millisecond}
	for _, c := range []struct {
		name   string
		change func(near, far *Candidate)
		want   string
	}{
		{"own zone", func(_, _ *Candidate) {}, "near"},
		{"own zone is overloaded", func(n, _ *Candidate) { n.InFlight, n.OthersInFlight = 6, 3 }, "far"},
		{"own zone is slow", func(n, _ *Candidate) { n.Latency = 300 * time.Millisecond }, "far"},
		{"own zone fails often", func(n, _ *Candidate) { n.FailureRate = 0.45 }, "far"},
		{"both zones are busy", func(n, f *Candidate) { n.InFlight, f.InFlight = 8, 9 }, "near"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, f := near, far
			c.change(&n, &f)
			if got, _ := (LowestLatency{Zone: "a"}).Pick([]Candidate{f, n}); got.ID != c.want {
				t.Errorf("upstream is %q, want %q", got.ID, c.want)
			}
		})
	}
	t.Run("no candidates", func(t *testing.T) {
		if got, ok := (LowestLatency{}).Pick(nil); ok {
			t.Errorf("upstream is %q, want none", got.ID)
		}
	})
}
