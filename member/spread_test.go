package member

import "testing"

// A node whose version others are likely to have missed must tell some of them at once.
func TestSelfSpread(t *testing.T) {
	n := newNetwork(7)
	n.advance(n.groups[0].config.SuspectAfter)
	g := n.groups[0]
	g.Step(n.now, SelfUpdated{Version: 9})
	told := make(map[string]bool)
	for _, e := range g.Step(n.now, SelfSpread{}) {
		if e, ok := e.(Gossip); ok && e.Digest.From.Version == 9 {
			told[e.Addr] = true
		}
	}
	if len(told) != g.config.Fanout {
		t.Errorf("%d nodes are told the version, want %d", len(told), g.config.Fanout)
	}
}
