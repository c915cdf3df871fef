package relay

import (
	"testing"
	"time"

	"teaselplank/platform/stand"
)

// A process that takes the place of another one must not have the whole budget of retries again.
func TestRetryBudgetOfProcessThatTakesOver(t *testing.T) {
	d := deploy(t, 1)
	settings := d.settings("later")
	settings.TakesOver = true
	later := d.addNodeWith(settings)
	d.await("the node is ready", func() bool { return d.isReady(later) })
	left := func(n *testNode) float64 {
		n.server.mu.Lock()
		defer n.server.mu.Unlock()
		return n.server.node.RetriesLeft(time.Now())[stand.ServiceDesk]
	}
	if first, second := left(d.nodes[0]), left(later); second <= 0 || second > first/2 {
		t.Errorf("a process that takes over has %.1f retries, want some, and less than half of the %.1f of another", second, first)
	}
}
