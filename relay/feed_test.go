package relay

import (
	"fmt"
	"testing"
	"time"

	"teaselplank/member"
	"teaselplank/platform/stand"
)

func TestIsReader(t *testing.T) {
	// nodes returns nodes of two zones; the first has the largest CPU share.
	nodes := func(count int) []member.Node {
		var list []member.Node
		for i := range count {
			list = append(list, member.Node{ID: fmt.Sprint(i), Incarnation: fmt.Sprintf("%03d", i), Zone: []string{"a", "b"}[i%2]})
		}
		list[0].Processor = 0.8
		return list
	}
	readers := func(list []member.Node) (count int) {
		for i, self := range list {
			var peers []member.Node
			peers = append(append(peers, list[:i]...), list[i+1:]...)
			if isReader(self, peers) {
				count++
			}
		}
		return count
	}
	leaving := nodes(100)
	for i := range 10 {
		leaving[i].Leaving = true
	}
	tests := []struct {
		name  string
		nodes []member.Node
		want  int
	}{
		{"all of a few nodes", nodes(nodesAtMinPause), nodesAtMinPause},
		{"two in each zone of many", nodes(300), 2 * readersPerZone},
		{"one zone is cut off", nodes(300)[:14:14], 2 * readersPerZone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := readers(test.nodes); got != test.want {
				t.Errorf("%d nodes read, want %d", got, test.want)
			}
		})
	}
	t.Run("leaving nodes do not count", func(t *testing.T) {
		if !isReader(leaving[10], append(leaving[:10:10], leaving[11:]...)) {
			t.Error("the first node that stays does not read")
		}
	})
}

// Most nodes of a large deployment do not read the upstreams. They must learn within a
// second of those that register, drain or are removed, and of those that they have missed.
func TestUpstreamsSpread(t *testing.T) {
	const nodes = nodesAtMinPause + 8
	d := deploy(t, nodes)
	readers := func() (count int) {
		for _, n := range d.nodes {
			n.server.mu.Lock()
			if n.server.reader {
				count++
			}
			n.server.mu.Unlock()
		}
		return count
	}
	d.await("only some nodes read", func() bool { return readers() == readersPerZone })
	awaitAll := func(what string, condition func(n *testNode) bool) {
		t.Helper()
		started := time.Now()
		for _, n := range d.nodes {
			d.await(what, func() bool { return condition(n) })
		}
		t.Logf("%s: after %s", what, time.Since(started).Round(time.Millisecond))
	}
	d.start(&stand.Worker{ID: "desk-c", Service: stand.ServiceDesk, Zone: "a", Kind: stand.Plain, Slots: 4})
	awaitAll("a new upstream is known", func(n *testNode) bool { return d.knows(n, "desk-c") })
	d.workers["desk-c"].Drain()
	awaitAll("a draining upstream is known", func(n *testNode) bool {
		n.server.mu.Lock()
		defer n.server.mu.Unlock()
		u, _ := n.server.directory.Get("desk-c")
		return u.Draining
	})
	d.workers["desk-a"].StopHeartbeat()
	d.store.RemoveEntry("desk-a")
	awaitAll("a removed upstream is gone", func(n *testNode) bool { return !d.knows(n, "desk-a") })

	t.Run("missed change", func(t *testing.T) {
		n := d.nodes[nodes-1]
		n.server.mu.Lock()
		if n.server.reader {
			t.Error("the last node reads; the test shows nothing")
		}
		n.server.directory.Remove(time.Time{}, "desk-b")
		n.server.directory.TakeChanges()
		n.server.mu.Unlock()
		d.workers["desk-b"].Drain()
		d.await("the node has fetched what it missed", func() bool { return d.knows(n, "desk-b") })
	})
}
