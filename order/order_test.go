package order

import (
	"fmt"
	"testing"
	"time"

	"teaselplank/rules"
	"teaselplank/wire"
)

// compile returns a set whose stage draft has a model with the given version.
func compile(t *testing.T, version string) *rules.Set {
	t.Helper()
	text := "model m version=" + version + " # x\nstage draft kind=generator model=m # x\nstage encode kind=encoder # x\n"
	lines, err := rules.Parse("rules", text)
	if err != nil {
		t.Fatal(err)
	}
	set, err := rules.Compile(lines)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// A fakeEngine executes orders immediately. With checksFencing it refuses an order whose
// fencing number is lower than one it has seen.
type fakeEngine struct {
	checksFencing bool
	fencingNumber int64
	loaded        wire.LoadedModel
	orders        int
}

func (f *fakeEngine) execute(o wire.Order) {
	if f.checksFencing && o.Number < f.fencingNumber {
		return
	}
	f.fencingNumber = max(f.fencingNumber, o.Number)
	f.loaded = wire.LoadedModel{Model: o.Model, Version: o.Version, Adapter: o.Adapter}
	f.orders++
}

func hosts(n int) []wire.Host {
	list := []wire.Host{{ID: "encode-0", Pool: "encode"}}
	for i := range n {
		list = append(list, wire.Host{ID: fmt.Sprint("draft-", i), Incarnation: "1", Pool: "draft"})
	}
	return list
}

// run executes the planner's actions every second for the duration d, and returns the
// maximum number of orders given at one time.
func run(p *Planner, now *time.Time, d time.Duration, set *rules.Set, engines map[string]*fakeEngine, fencingNumber int64) int {
	maxOrders := 0
	for end := now.Add(d); now.Before(end); *now = now.Add(time.Second) {
		orders := 0
		for _, a := range p.Next(*now, set, hosts(len(engines)), fencingNumber) {
			f := engines[a.Host.ID]
			if a.Order == nil {
				p.SetLoaded(*now, a.Host, f.loaded)
				continue
			}
			orders++
			f.execute(*a.Order)
		}
		maxOrders = max(maxOrders, orders)
	}
	return maxOrders
}

func checkLoaded(t *testing.T, engines map[string]*fakeEngine, version string) {
	t.Helper()
	for id, f := range engines {
		if f.loaded.Version != version {
			t.Errorf("engine %s has version %q, want %q", id, f.loaded.Version, version)
		}
	}
}

func newEngines(n int, checksFencing bool) map[string]*fakeEngine {
	engines := make(map[string]*fakeEngine)
	for i := range n {
		engines[fmt.Sprint("draft-", i)] = &fakeEngine{checksFencing: checksFencing}
	}
	return engines
}

func TestOrders(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	engines := newEngines(5, true)
	var p Planner
	if maxOrders := run(&p, &now, time.Minute, compile(t, "v1"), engines, 1); maxOrders > maxConcurrentLoads {
		t.Errorf("%d engines were ordered to load at the same time", maxOrders)
	}
	checkLoaded(t, engines, "v1")
	for id, f := range engines {
		if f.orders != 1 {
			t.Errorf("engine %s got %d orders, want 1", id, f.orders)
		}
	}
	run(&p, &now, time.Minute, compile(t, "v2"), engines, 1)
	checkLoaded(t, engines, "v2")
}

// TestStaleLeaseHolder guards against an engine that keeps the wrong model after an order
// of a process that was paused until after its lease had expired.
func TestStaleLeaseHolder(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		t.Run(fmt.Sprint("checks fencing ", checksFencing), func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			engines := newEngines(2, checksFencing)
			staleOrder := wire.Order{Number: 1, Action: "load", Model: "m", Version: "v1"}
			var p Planner
			run(&p, &now, time.Minute, compile(t, "v2"), engines, 2)
			for _, f := range engines {
				f.execute(staleOrder)
				if checksFencing && f.loaded.Version != "v2" {
					t.Errorf("engine executed an order with fencing number 1 after one with 2")
				}
			}
			run(&p, &now, time.Minute, compile(t, "v2"), engines, 2)
			checkLoaded(t, engines, "v2")
		})
	}
}
