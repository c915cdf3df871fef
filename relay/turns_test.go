package relay

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However many nodes there are, and whenever their reads were sent, some read must end soon after
// any moment, and each node must read once a period.
func TestTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 40).Draw(t, "nodes")
		sent := time.Unix(1_800_000_000, rapid.Int64Range(0, int64(time.Minute)).Draw(t, "sent"))
		soonest := time.Duration(1 << 62)
		for rank := range nodes {
			wait := untilTurn(sent, rank, nodes)
			if wait < minConfigWait || wait > 30*time.Second {
				t.Fatalf("node %d of %d waits for %s", rank, nodes, wait)
			}
			soonest = min(soonest, wait)
			ended := sent.Add(wait)
			if again := untilTurn(ended, rank, nodes); again != time.Duration(min(nodes, maxConfigTurns))*configTurn {
				t.Errorf("node %d of %d waits for %s after its turn, want one period", rank, nodes, again)
			}
		}
		if soonest > configTurn+minConfigWait {
			t.Errorf("the first read of %d nodes ends after %s", nodes, soonest)
		}
	})
}
