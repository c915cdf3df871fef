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

// Prompts that share a part go to one engine, also when others come and go.
func TestPrefixStays(t *testing.T) {
	moved := 0
	for i := range 200 {
		p := Prefix{Shared: fmt.Sprint("part", i)}
		all, _ := p.Pick(engines())
		less, _ := p.Pick(engines()[1:])
		if all.ID != less.ID && all.ID != "e0" {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d of 200 parts moved although their engine stayed", moved)
	}
}

// One key gets much of the traffic: its engine does not take more than the others
// can bear.
func TestPrefixSpreads(t *testing.T) {
	p := Prefix{Shared: "hot"}
	list := engines()
	for range 60 {
		chosen, _ := p.Pick(list)
		for i := range list {
			if list[i].ID == chosen.ID {
				list[i].Unread += 3000
				list[i].Flight++
			}
		}
	}
	most := 0
	for _, c := range list {
		most = max(most, c.Flight)
	}
	if most > 15 {
		t.Errorf("one engine has %d of 60 prompts, want 15 at most", most)
	}
}

// Zones have unlike shares of the stage workers: they get prompts alike.
func TestPrefixWeight(t *testing.T) {
	list := engines()
	for i := range list {
		if list[i].Zone == "a" {
			list[i].Weight = 2
		}
	}
	home := 0
	for i := range 2000 {
		chosen, _ := Prefix{Shared: fmt.Sprint(i)}.Pick(list)
		if chosen.Zone == "a" {
			home++
		}
	}
	// Zone a has 6 of 15 parts of the weight: 800 of 2000, give or take 5 σ.
	if home < 690 || home > 910 {
		t.Errorf("zone a gets %d of 2000 prompts, want about 800", home)
	}
}

func TestSoonest(t *testing.T) {
	near := Candidate{ID: "near", Zone: "a", Slots: 6, Latency: 60 * time.Millisecond}
	far := Candidate{ID: "far", Zone: "b", Slots: 6, Latency: 60 * time.Millisecond}
	for _, c := range []struct {
		name   string
		change func(near, far *Candidate)
		want   string
	}{
		{"own zone", func(_, _ *Candidate) {}, "near"},
		{"own zone is busy", func(n, _ *Candidate) { n.Flight, n.Others = 6, 3 }, "far"},
		{"own zone is slow", func(n, _ *Candidate) { n.Latency = 300 * time.Millisecond }, "far"},
		{"own zone fails often", func(n, _ *Candidate) { n.FailureShare = 0.45 }, "far"},
		{"both are busy", func(n, f *Candidate) { n.Flight, f.Flight = 8, 9 }, "near"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, f := near, far
			c.change(&n, &f)
			if got, _ := (Soonest{Zone: "a"}).Pick([]Candidate{f, n}); got.ID != c.want {
				t.Errorf("upstream is %q, want %q", got.ID, c.want)
			}
		})
	}
	t.Run("none", func(t *testing.T) {
		if got, ok := (Soonest{}).Pick(nil); ok {
			t.Errorf("upstream is %q, want none", got.ID)
		}
	})
}
