package route

import (
	"fmt"
	"testing"
	"time"

	"teaselplank/wire"
)

var start = time.Unix(1_800_000_000, 0)

// newTable returns a table of one pool with workers in alternating zones.
func newTable(workers int, policy Policy) *Table {
	config := DefaultConfig()
	config.Node, config.Zone = "n", "zone-0"
	t := New(config, policy, 1)
	var hosts []wire.Host
	for i := range workers {
		hosts = append(hosts, wire.Host{ID: fmt.Sprintf("w%03d", i), Incarnation: "1", Pool: "p", Zone: fmt.Sprint("zone-", i%2)})
	}
	t.Update(hosts)
	return t
}

func TestRoundRobin(t *testing.T) {
	table := newTable(3, RoundRobin{})
	got := ""
	for range 6 {
		got += table.Begin(start, "p", Query{}).ID() + " "
	}
	if want := "w000 w001 w002 w000 w001 w002 "; got != want {
		t.Errorf("workers are %q, want %q", got, want)
	}
}

func TestBalanced(t *testing.T) {
	t.Run("own zone first", func(t *testing.T) {
		table := newTable(2, Balanced{})
		if w := table.Begin(start, "p", Query{}); w.Host().Zone != "zone-0" {
			t.Errorf("worker is in %s", w.Host().Zone)
		}
	})
	t.Run("the less loaded one", func(t *testing.T) {
		table := newTable(2, Balanced{})
		table.Report(start, "w000", wire.Load{Slots: 8, Running: 8})
		table.Report(start, "w001", wire.Load{Slots: 8})
		if w := table.Begin(start, "p", Query{}); w.ID() != "w001" {
			t.Errorf("worker is %s", w.ID())
		}
	})
	t.Run("an old report counts less", func(t *testing.T) {
		table := newTable(2, Balanced{})
		table.Report(start, "w000", wire.Load{Slots: 8, Running: 8})
		table.Report(start.Add(3*time.Second), "w001", wire.Load{Slots: 8, Running: 7})
		table.Report(start.Add(3*time.Second), "w000", wire.Load{Slots: 8, Running: 1})
		if w := table.Begin(start.Add(3*time.Second), "p", Query{}); w.ID() != "w000" {
			t.Errorf("worker is %s", w.ID())
		}
	})
	t.Run("a prefix stays with its worker while it has room", func(t *testing.T) {
		table := newTable(8, Balanced{})
		first := table.Begin(start, "p", Query{Prefix: "x"}).ID()
		for range 3 {
			if w := table.Begin(start, "p", Query{Prefix: "x"}); w.ID() != first {
				t.Errorf("prefix went from %s to %s", first, w.ID())
			}
		}
		for range 20 {
			table.Begin(start, "p", Query{Prefix: "x"})
		}
		if w, _ := table.Worker(first); w.Flight() > initialLimit {
			t.Errorf("the prefix's worker has %d calls under way", w.Flight())
		}
	})
	t.Run("workers to avoid", func(t *testing.T) {
		table := newTable(2, Balanced{})
		if w := table.Begin(start, "p", Query{Avoid: []string{"w000", "w001"}}); w != nil {
			t.Errorf("worker is %s", w.ID())
		}
	})
}

func TestSuspect(t *testing.T) {
	table := newTable(1, Balanced{})
	begin := func(now time.Time) bool { return table.Begin(now, "p", Query{}) != nil }
	now := start
	for _, pause := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
		if !begin(now) {
			t.Fatalf("worker is not used at %s", now.Sub(start))
		}
		if now != start && begin(now) {
			t.Error("a second call was sent before the first showed that the worker is back")
		}
		table.Finish(now, "w000", Broken)
		if begin(now.Add(pause - time.Millisecond)) {
			t.Errorf("worker is used again before %s", pause)
		}
		now = now.Add(pause)
	}
}

func TestStale(t *testing.T) {
	table := newTable(2, Balanced{})
	late := start.Add(1500 * time.Millisecond)
	table.Report(start, "w000", wire.Load{Slots: 8})
	table.Report(late, "w001", wire.Load{Slots: 8})
	for range 4 {
		if w := table.Begin(late, "p", Query{}); w == nil || w.ID() != "w001" {
			t.Fatalf("worker is %+v", w)
		}
	}
	if !table.HasRoom(late.Add(time.Minute), "p", Query{}) {
		t.Error("no worker is used when all reports have stopped")
	}
}

// TestHasSlot has the load of a surge: the workers' queues fill, and what they
// report is late, so that a node goes by what it sees as well.
func TestHasSlot(t *testing.T) {
	stream := Query{Stream: true}
	tests := []struct {
		name  string
		load  wire.Load
		query Query
		begun int
		want  bool
	}{
		{"no report", wire.Load{}, Query{}, 0, true},
		{"idle", wire.Load{Slots: 8}, Query{}, 0, true},
		{"a queue, but the even share is free", wire.Load{Slots: 8, Running: 8, Queued: 9}, Query{}, 2, true},
		{"a queue, and the even share is taken", wire.Load{Slots: 8, Running: 8, Queued: 9}, Query{}, 3, false},
		{"over the even share, others have left room", wire.Load{Slots: 8, Running: 4}, Query{}, 3, true},
		{"a stream that waits for its first token", wire.Load{Slots: 8}, stream, 1, false},
		{"many slots, as many streams begin at once", wire.Load{Slots: 128}, stream, 7, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(1, Balanced{})
			table.SetNodes(4)
			table.Report(start, "w000", test.load)
			for range test.begun {
				table.Begin(start, "p", test.query)
			}
			if got := table.HasRoom(start, "p", test.query); got != test.want {
				t.Errorf("room is %v, want %v", got, test.want)
			}
		})
	}
}

func TestStarted(t *testing.T) {
	table := newTable(1, Balanced{})
	table.SetNodes(4)
	table.Report(start, "w000", wire.Load{Slots: 8})
	stream := Query{Stream: true}
	table.Begin(start, "p", stream)
	table.Started("w000")
	if table.Begin(start, "p", stream) == nil {
		t.Error("no second stream is sent after the first token of the first")
	}
}

func TestSubset(t *testing.T) {
	table := newTable(200, Balanced{})
	if got := table.UsedCount(); got != DefaultConfig().Subset {
		t.Errorf("%d workers are used, want %d", got, DefaultConfig().Subset)
	}
	zones := make(map[string]int)
	for _, w := range table.used() {
		zones[w.Host().Zone]++
	}
	if zones["zone-0"] <= zones["zone-1"] || zones["zone-1"] == 0 {
		t.Errorf("workers by zone are %v: the own zone first, but not alone", zones)
	}
}

func TestAsk(t *testing.T) {
	table := newTable(4, Balanced{})
	asked := make(map[string]int)
	for i := range 4 {
		for _, w := range table.Ask(start.Add(time.Duration(i)*100*time.Millisecond), 200*time.Millisecond, 1) {
			asked[w.ID()]++
		}
	}
	if len(asked) != 4 {
		t.Errorf("asked %v, want each worker once", asked)
	}
}
