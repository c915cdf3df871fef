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
		wantWithinBudget(t, c, requests, retries)
	})
}

// wantWithinBudget checks that no window has more retries than the budget allows for the requests.
func wantWithinBudget(t *rapid.T, c Config, requests, retries []time.Time) {
	t.Helper()
	for _, end := range retries {
		spent := within(retries, end, c.Window)
		// Requests of this window or of the previous one count.
		counted := max(within(requests, end, c.Window), within(requests, end.Add(-c.Window), c.Window))
		allowed := c.Ratio*float64(max(counted, within(requests, end, 2*c.Window)/2)) + c.Slack
		if float64(spent) > allowed {
			t.Fatalf("%d retries in a window with %d requests, want at most %.1f", spent, counted, allowed)
		}
	}
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

// In no window do all nodes together make more retries than the budget allows although each of them
// starts again within it, without what its process before has counted.
func TestBudgetUsedTwiceByRestart(t *testing.T) {
	c := Config{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		meters := make([]Meter, nodes)
		configs := make([]Config, nodes)
		for i := range configs {
			configs[i] = c
		}
		var requests, retries []time.Time
		now := start
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case kind == 0 && now.Sub(configs[i].Started) > c.Window:
				meters[i], configs[i].Started = Meter{}, now
			case kind < 3:
				meters[i].AddRequest(configs[i], now)
				requests = append(requests, now)
			case meters[i].Spend(configs[i], now, nodes):
				retries = append(retries, now)
			}
		}
		wantWithinBudget(t, c, requests, retries)
	})
}

// With the default budget, too, a process that takes the place of another one may retry at once, in
// deployments of up to three nodes.
func TestFirstRetryOfProcessThatTakesOver(t *testing.T) {
	c := DefaultConfig()
	c.Started = start
	for nodes := 1; nodes <= 3; nodes++ {
		if !new(Meter).Spend(c, start, nodes) {
			t.Errorf("%d nodes: no retry is allowed after the start", nodes)
		}
	}
}

// A process that takes the place of another one may still retry: by its own requests and a part of
// the fixed number at once, and by all of its part after a window.
func TestRetriesOfProcessThatTakesOver(t *testing.T) {
	c := Config{Ratio: 0.2, Slack: 54, Window: 10 * time.Second, Started: start}
	const nodes = 7
	var m Meter
	if left := m.Remaining(c, start, nodes); left < 1 {
		t.Errorf("%.1f retries are allowed after the start, want one or more", left)
	}
	for range 50 {
		m.AddRequest(c, start)
	}
	if left := m.Remaining(c, start, nodes); left < 7 {
		t.Errorf("%.1f retries are allowed after 50 requests, want 7 or more", left)
	}
	fresh := c
	fresh.Started = time.Time{}
	later := start.Add(c.Window * 3 / 2)
	if got, want := new(Meter).Remaining(c, later, nodes), new(Meter).Remaining(fresh, later, nodes); got != want {
		t.Errorf("%.1f retries are allowed after a window, want %.1f", got, want)
	}
}
