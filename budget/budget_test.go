package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// No span of a window sees more repeats of all nodes than the budget allows,
// however requests and repeats come.
func TestWindows(t *testing.T) {
	c := Config{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		meters := make([]Meter, nodes)
		var requests, repeats []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			m := &meters[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "first") {
				m.Request(c, now)
				requests = append(requests, now)
			} else if m.Spend(c, now, nodes) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			spent := within(repeats, end, c.Window)
			// The requests that count are those of this window or of the one
			// before it.
			asked := max(within(requests, end, c.Window), within(requests, end.Add(-c.Window), c.Window))
			allowed := c.Ratio*float64(max(asked, within(requests, end, 2*c.Window)/2)) + c.Slack
			if float64(spent) > allowed {
				t.Fatalf("%d repeats in a window with %d requests, more than %.1f", spent, asked, allowed)
			}
		}
	})
}

func within(times []time.Time, end time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-window)) {
			count++
		}
	}
	return count
}

// A fixed number of repeats is there again after a window without any.
func TestSpend(t *testing.T) {
	c := Config{Ratio: 0, Slack: 20, Window: 10 * time.Second}
	var m Meter
	spent := 0
	for i := range 100 {
		if m.Spend(c, start.Add(time.Duration(i)*50*time.Millisecond), 1) {
			spent++
		}
	}
	if want := 14; spent != want {
		t.Errorf("%d repeats were allowed, want %d", spent, want)
	}
	if !m.Spend(c, start.Add(30*time.Second), 1) {
		t.Error("no repeat is allowed after a quiet window")
	}
}
