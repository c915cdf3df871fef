package member

import (
	"testing"
	"time"

	"teaselplank/limit"
)

var limited = limit.Process{ID: "w", Born: 1}

// limitSpread is the time within which all nodes must know a limit.
const limitSpread = 2 * time.Second

// A limit that one node sees, and its end, must reach all others soon, also if messages are
// lost.
func TestLimitSpreads(t *testing.T) {
	for name, c := range map[string]struct {
		nodes int
		loss  float64
	}{"7 nodes": {7, 0}, "7 nodes, messages lost": {7, 0.3}, "300 nodes": {300, 0}} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(c.nodes)
			n.advance(10 * time.Second)
			n.lossRate = c.loss
			for _, rate := range []float64{3, 1, 2} {
				for range 2 { // A higher limit must be named for a while.
					n.step(n.groups[0], LimitStated{Process: limited, Statement: limit.Statement{Named: true, Rate: rate}, SentAt: n.now})
					n.advance(limitSpread)
				}
				for i, g := range n.groups {
					if known := g.Limits(); len(known) != 1 || known[0].Rate != rate {
						t.Fatalf("node %d knows %v, want a rate of %v", i, known, rate)
					}
				}
			}
		})
	}
}

// Nodes that have just started, are leaving or are silent share no limit, and the silent ones
// are still counted.
func TestSettled(t *testing.T) {
	n := newNetwork(5)
	wantSettled := func(nodes, total int) {
		t.Helper()
		got, gotTotal := n.groups[0].Settled()
		if len(got) != nodes || gotTotal != total {
			t.Errorf("%d nodes of %d are settled, want %d of %d", len(got), gotTotal, nodes, total)
		}
	}
	n.advance(time.Second)
	wantSettled(0, 0)
	n.advance(9 * time.Second)
	wantSettled(5, 5)
	n.partitioned = map[string]bool{nodeName(4): true}
	n.advance(8 * time.Second)
	wantSettled(4, 5)
	n.step(n.groups[3], Stop{})
	n.advance(time.Second)
	wantSettled(3, 4)
}
