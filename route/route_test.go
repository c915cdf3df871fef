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
		got += table.BeginCall(start, "p", Query{}).ID() + " "
	}
	if want := "w000 w001 w002 w000 w001 w002 "; got != want {
		t.Errorf("workers are %q, want %q", got, want)
	}
}

func TestBalanced(t *testing.T) {
	t.Run("prefers the own zone", func(t *testing.T) {
		table := newTable(2, Balanced{})
		if w := table.BeginCall(start, "p", Query{}); w.Host().Zone != "zone-0" {
			t.Errorf("worker is in %s, want zone-0", w.Host().Zone)
		}
	})
	t.Run("prefers the less loaded worker", func(t *testing.T) {
		table := newTable(2, Balanced{})
		table.Report(start, "w000", wire.Load{Slots: 8, Running: 8})
		table.Report(start, "w001", wire.Load{Slots: 8})
		if w := table.BeginCall(start, "p", Query{}); w.ID() != "w001" {
			t.Errorf("worker is %s, want w001", w.ID())
		}
	})
	t.Run("discounts an old report", func(t *testing.T) {
		table := newTable(2, Balanced{})
		table.Report(start, "w000", wire.Load{Slots: 8, Running: 8})
		table.Report(start.Add(3*time.Second), "w001", wire.Load{Slots: 8, Running: 7})
		table.Report(start.Add(3*time.Second), "w000", wire.Load{Slots: 8, Running: 1})
		if w := table.BeginCall(start.Add(3*time.Second), "p", Query{}); w.ID() != "w000" {
			t.Errorf("worker is %s, want w000", w.ID())
		}
	})
	t.Run("keeps a prefix at its worker while it has capacity", func(t *testing.T) {
		table := newTable(8, Balanced{})
		first := table.BeginCall(start, "p", Query{Prefix: "x"}).ID()
		for range 3 {
			if w := table.BeginCall(start, "p", Query{Prefix: "x"}); w.ID() != first {
				t.Errorf("prefix is moved from %s to %s", first, w.ID())
			}
		}
		for range 20 {
			table.BeginCall(start, "p", Query{Prefix: "x"})
		}
		if w, _ := table.Worker(first); w.InFlight() > initialLimit {
			t.Errorf("the worker of the prefix has %d calls in flight, more than its initial limit", w.InFlight())
		}
	})
	t.Run("avoids the given workers", func(t *testing.T) {
		table := newTable(2, Balanced{})
		if w := table.BeginCall(start, "p", Query{Avoid: []string{"w000", "w001"}}); w != nil {
			t.Errorf("worker %s is picked although it must be avoided", w.ID())
		}
	})
}

func TestSuspect(t *testing.T) {
	table := newTable(1, Balanced{})
	begin := func(now time.Time) bool { return table.BeginCall(now, "p", Query{}) != nil }
	now := start
	for _, backoff := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
		if !begin(now) {
			t.Fatalf("worker is not used at %s", now.Sub(start))
		}
		if now != start && begin(now) {
			t.Error("a second call was sent before the first showed that the worker has recovered")
		}
		table.FinishCall(now, "w000", ConnectionFailed)
		if begin(now.Add(backoff - time.Millisecond)) {
			t.Errorf("worker is used again before %s", backoff)
		}
		now = now.Add(backoff)
	}
}

func TestStale(t *testing.T) {
	table := newTable(2, Balanced{})
	later := start.Add(1500 * time.Millisecond)
	table.Report(start, "w000", wire.Load{Slots: 8})
	table.Report(later, "w001", wire.Load{Slots: 8})
	for range 4 {
		if w := table.BeginCall(later, "p", Query{}); w == nil || w.ID() != "w001" {
			t.Fatalf("worker is %+v, want w001, which has a fresh report", w)
		}
	}
	if !table.HasCapacity(later.Add(time.Minute), "p", Query{}) {
		t.Error("no worker is used when all reports have stopped")
	}
}

// TestHasSlot checks when a worker counts as having a free slot. During a surge the
// workers' queues fill up and their reports are outdated, so a node must also use the
// number of its own calls.
func TestHasSlot(t *testing.T) {
	stream := Query{Stream: true}
	tests := []struct {
		name     string
		load     wire.Load
		query    Query
		inFlight int
		want     bool
	}{
		{"no report", wire.Load{}, Query{}, 0, true},
		{"idle", wire.Load{Slots: 8}, Query{}, 0, true},
		{"queue at the worker, own share not used up", wire.Load{Slots: 8, Running: 8, Queued: 9}, Query{}, 2, true},
		{"queue at the worker, own share used up", wire.Load{Slots: 8, Running: 8, Queued: 9}, Query{}, 3, false},
		{"own share used up, other nodes leave slots free", wire.Load{Slots: 8, Running: 4}, Query{}, 3, true},
		{"stream without a first token", wire.Load{Slots: 8}, stream, 1, false},
		{"streams without a first token at a worker with many slots", wire.Load{Slots: 128}, stream, 7, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(1, Balanced{})
			table.SetNodes(4)
			table.Report(start, "w000", test.load)
			for range test.inFlight {
				table.BeginCall(start, "p", test.query)
			}
			if got := table.HasCapacity(start, "p", test.query); got != test.want {
				t.Errorf("HasCapacity is %v, want %v", got, test.want)
			}
		})
	}
}

func TestStreamStarted(t *testing.T) {
	table := newTable(1, Balanced{})
	table.SetNodes(4)
	table.Report(start, "w000", wire.Load{Slots: 8})
	stream := Query{Stream: true}
	table.BeginCall(start, "p", stream)
	table.StreamStarted("w000")
	if table.BeginCall(start, "p", stream) == nil {
		t.Error("no second stream is sent after the first token of the first stream")
	}
}

func TestSubset(t *testing.T) {
	table := newTable(200, Balanced{})
	if got := table.UsedCount(); got != DefaultConfig().SubsetSize {
		t.Errorf("%d workers are used, want %d", got, DefaultConfig().SubsetSize)
	}
	zones := make(map[string]int)
	for _, w := range table.usedWorkers() {
		zones[w.Host().Zone]++
	}
	if zones["zone-0"] <= zones["zone-1"] || zones["zone-1"] == 0 {
		t.Errorf("workers by zone are %v, want most but not all in zone-0", zones)
	}
}

func TestWorkersToPoll(t *testing.T) {
	table := newTable(4, Balanced{})
	polled := make(map[string]int)
	for i := range 4 {
		for _, w := range table.WorkersToPoll(start.Add(time.Duration(i)*100*time.Millisecond), 200*time.Millisecond, 1) {
			polled[w.ID()]++
		}
	}
	if len(polled) != 4 {
		t.Errorf("polls by worker are %v, want each worker polled once", polled)
	}
}
