package member

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// Incarnations of processes that started one after the other by their clocks.
const (
	earlyIncarnation = "01990000-0000-7000-8000-00000000000a"
	lateIncarnation  = "01990000-ffff-7000-8000-00000000000b"
)

// Guards against a node that others ignore for a minute after it has started again, as the clock of
// its machine was set back.
func TestNodeWithClockSetBack(t *testing.T) {
	for _, nodes := range []int{2, 7, 60} {
		n := newNetwork(nodes)
		first := n.groups[0]
		first.self.Incarnation = lateIncarnation
		n.advance(30 * time.Second)
		config := first.config
		config.Self = Node{ID: nodeName(0), Incarnation: earlyIncarnation, Addr: nodeName(0), Zone: first.self.Zone}
		hosts := first.hosts
		*first = *New(config, 99)
		n.step(first, HostsListed{hosts})
		n.advance(config.DeadAfter)
		for _, g := range n.groups[1:] {
			p, known := g.Peer(nodeName(0))
			if !known || p.Node().Incarnation == lateIncarnation || p.State() != Live {
				t.Errorf("%s of %d nodes does not know the second process: %+v", g.self.ID, nodes, p)
			}
		}
	}
}

// An incarnation that a node takes must sort after the known one, and be another one at each process.
func TestLaterIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) string {
			var id uuid.UUID
			copy(id[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, name))
			id[0] &= 0x7f // No clock is in the year 6429.
			return id.String()
		}
		known, own := draw("known"), draw("own")
		later, ok := laterIncarnation(known, own)
		if !ok || later <= known {
			t.Errorf("incarnation after %s is %s, %v", known, later, ok)
		}
		if !strings.HasSuffix(later, own[len(own)-20:]) {
			t.Errorf("incarnation %s does not have the random part of %s", later, own)
		}
	})
	for _, odd := range []string{"", "1", "not a UUID"} {
		if later, ok := laterIncarnation(odd, earlyIncarnation); ok {
			t.Errorf("incarnation after %q is %q, want none", odd, later)
		}
	}
}
