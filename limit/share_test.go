package limit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawNodes(t *rapid.T) []string {
	nodes := make([]string, rapid.IntRange(1, 300).Draw(t, "nodes"))
	for i := range nodes {
		nodes[i] = fmt.Sprint("node-", i)
	}
	return nodes
}

// The shares of all nodes must not exceed a limit, also when nodes that do not reach each
// other divide it by themselves, and one node must have a share at least.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		l := Limit{Process: process, Rate: rapid.Float64Range(0, 500).Draw(t, "rate")}
		cut := rapid.IntRange(0, len(nodes)).Draw(t, "cut")
		sum := 0.0
		for _, part := range [][]string{nodes[:cut], nodes[cut:]} {
			share := Divide(l, part, len(nodes))
			if len(part) > 0 && (len(share.Holders) == 0 || share.Rate <= 0) {
				t.Fatalf("no node of %d has a share: %v", len(part), share)
			}
			for _, n := range part {
				sum += share.Of(n)
			}
		}
		if limit := max(l.Rate, minRate); sum > limit*1.000001 {
			t.Fatalf("shares add up to %v, want %v at most", sum, limit)
		}
	})
}

// A node that leaves must change no shares but its own and that of the node that follows.
func TestDivideIsStable(t *testing.T) {
	var nodes []string
	for i := range 20 {
		nodes = append(nodes, fmt.Sprint("node-", i))
	}
	l := Limit{Process: process, Rate: 5}
	before := Divide(l, nodes, len(nodes)).Holders
	for i, gone := range nodes {
		after := Divide(l, slices.Delete(slices.Clone(nodes), i, i+1), len(nodes)-1).Holders
		moved := 0
		for _, n := range after {
			if !slices.Contains(before, n) {
				moved++
			}
		}
		if want := len(before) - len(slices.DeleteFunc(slices.Clone(before), func(n string) bool { return n == gone })); moved != want {
			t.Errorf("%d shares move when %s leaves, want %d", moved, gone, want)
		}
	}
}

// In any span, a bucket must let through no more than its rate allows, but for one burst. It
// must let through as much if there are enough requests.
func TestBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 100).Draw(t, "rate")
		var b Bucket
		b.SetRate(start, rate)
		now, taken := start, 0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			later := b
			if wait := b.Wait(now); (wait == 0) != b.Allows(now) || !later.Allows(now.Add(wait)) {
				t.Fatalf("wait of %s is wrong", wait)
			}
			if b.Allows(now) {
				b.Take(now)
				taken++
			}
		}
		if most := rate*now.Sub(start).Seconds() + 1e-3; float64(taken) > most {
			t.Fatalf("%d tokens in %s, want %v at most", taken, now.Sub(start), most)
		}
	})
}

func TestBucketChanges(t *testing.T) {
	t.Run("no limit", func(t *testing.T) {
		var b Bucket
		b.Take(start)
		wantAllows(t, &b, start, true)
	})
	t.Run("starts empty", func(t *testing.T) {
		var b Bucket
		b.SetRate(start, 100)
		wantAllows(t, &b, start, false)
	})
	t.Run("rate of zero", func(t *testing.T) {
		var b Bucket
		b.SetRate(start, 0)
		wantAllows(t, &b, start.Add(time.Hour), false)
		b.SetRate(start.Add(time.Hour), 1)
		wantAllows(t, &b, start.Add(time.Hour), false)
		wantAllows(t, &b, start.Add(time.Hour+time.Second), true)
	})
	t.Run("lower rate drops what was saved", func(t *testing.T) {
		var b Bucket
		b.SetRate(start, 100)
		now := start.Add(time.Minute)
		b.SetRate(now, 1)
		b.Take(now)
		wantAllows(t, &b, now, false)
	})
	t.Run("check", func(t *testing.T) {
		var b Bucket
		b.SetRate(start, 10)
		if b.NeedsCheck(start.Add(checkInterval - time.Millisecond)) {
			t.Error("check is due too early")
		}
		if !b.NeedsCheck(start.Add(checkInterval)) {
			t.Error("no check is due")
		}
		b.Remove()
		if b.NeedsCheck(start.Add(time.Hour)) {
			t.Error("check is due without a limit")
		}
	})
}

func wantAllows(t *testing.T, b *Bucket, now time.Time, want bool) {
	t.Helper()
	if got := b.Allows(now); got != want {
		t.Errorf("bucket allows a request: %v, want %v", got, want)
	}
}

func BenchmarkDivide(b *testing.B) {
	var nodes []string
	for i := range 440 {
		nodes = append(nodes, fmt.Sprint("node-", i))
	}
	l := Limit{Process: process, Rate: 4}
	for b.Loop() {
		Divide(l, nodes, len(nodes))
	}
}
