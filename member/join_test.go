package member

import (
	"testing"
	"time"
)

func TestJoin(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	newGroup := func(peers ...Node) *Group {
		config := DefaultConfig()
		config.Self = Node{ID: "self", Incarnation: "2", Addr: "self:1"}
		g := New(config, 1)
		for _, n := range peers {
			g.Step(now, DigestReceived{Digest: Digest{From: n}})
		}
		return g
	}
	elder := Node{ID: "elder", Incarnation: "1", Addr: "elder:1", Heartbeat: elderRounds + 1}
	sibling := Node{ID: "sibling", Incarnation: "1", Addr: "sibling:1", Heartbeat: 1}
	tests := []struct {
		name   string
		join   Join
		peers  []Node
		uptime time.Duration
		waits  bool
		asks   bool
	}{
		{"nothing is known yet", Join{}, nil, 0, true, false},
		{"no other node is listed", Join{hasList: true}, nil, 0, false, false},
		{"a listed node has not answered", Join{hasList: true, listed: 1}, nil, 0, true, false},
		{"a peer that started together", Join{hasList: true, listed: 1}, []Node{sibling}, 0, false, false},
		{"a peer that was running before", Join{}, []Node{sibling, elder}, 0, true, true},
		{"the state of a peer is known", Join{done: true}, []Node{elder}, 0, false, false},
		{"no peer has answered in time", Join{}, []Node{elder}, joinTime, false, false},
		{"a peer was just asked", Join{lastAsked: now}, []Node{elder}, 0, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newGroup(test.peers...)
			if got := test.join.Waits(test.uptime, g); got != test.waits {
				t.Errorf("node waits: %v, want %v", got, test.waits)
			}
			n, asks := test.join.Ask(now, test.uptime, g)
			if asks != test.asks || asks && n.ID != elder.ID {
				t.Errorf("node asks %q: %v, want %v", n.ID, asks, test.asks)
			}
		})
	}
}
