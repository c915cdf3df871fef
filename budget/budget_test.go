package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// In no window do all nodes together make more retries than the budget allows, for any
// order of requests and retries.
func TestWindows(t *testing.T) {
	c := Config{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		meters := make([]Meter, nodes)
		var requests, retries []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			m := &meters[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "first") {
				m.AddRequest(c, now)
				requests = append(requests, now)
			} else if m.Spend(c, now, nodes) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			spent := within(retries, end, c.Window)
			// Requests of this window or of the previous one count.
			counted := max(within(requests, end, c.Window), within(requests, end.Add(-c.Window), c.Window))
			allowed := c.Ratio*float64(max(counted, within(requests, end, 2*c.Window)/2)) + c.Slack
			if float64(spent) > allowed {
				t.Fatalf("%d retries in a window with %d requests, want at most %.1f", spent, counted, allowed)
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

// The fixed number of retries is available again after a window without retries.
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
		t.Errorf("%d retries were allowed, want %d", spent, want)
	}
	if !m.Spend(c, start.Add(30*time.Second), 1) {
		t.Error("no retry is allowed after a window without retries")
	}
}
