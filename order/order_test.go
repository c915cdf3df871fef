package order

import (
	"fmt"
	"testing"
	"time"

	"teaselplank/rules"
	"teaselplank/wire"
)

// compile returns a set whose stage draft has a model of a version.
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

// An engine carries out orders at once; one that checks refuses old numbers.
type fake struct {
	checks bool
	number int64
	loaded wire.Loaded
	orders int
}

func (f *fake) order(o wire.Order) {
	if f.checks && o.Number < f.number {
		return
	}
	f.number = max(f.number, o.Number)
	f.loaded = wire.Loaded{Model: o.Model, Version: o.Version, Adapter: o.Adapter}
	f.orders++
}

func hosts(n int) []wire.Host {
	list := []wire.Host{{ID: "encode-0", Pool: "encode"}}
	for i := range n {
		list = append(list, wire.Host{ID: fmt.Sprint("draft-", i), Incarnation: "1", Pool: "draft"})
	}
	return list
}

// play lets a planner work for a time and returns the greatest number of orders
// that it gave at one moment.
func play(p *Planner, now *time.Time, d time.Duration, set *rules.Set, engines map[string]*fake, number int64) int {
	most := 0
	for end := now.Add(d); now.Before(end); *now = now.Add(time.Second) {
		orders := 0
		for _, a := range p.Next(*now, set, hosts(len(engines)), number) {
			f := engines[a.Host.ID]
			if a.Order == nil {
				p.Loaded(*now, a.Host, f.loaded)
				continue
			}
			orders++
			f.order(*a.Order)
		}
		most = max(most, orders)
	}
	return most
}

func checkLoaded(t *testing.T, engines map[string]*fake, version string) {
	t.Helper()
	for id, f := range engines {
		if f.loaded.Version != version {
			t.Errorf("engine %s has version %q, want %q", id, f.loaded.Version, version)
		}
	}
}

func newEngines(n int, checks bool) map[string]*fake {
	engines := make(map[string]*fake)
	for i := range n {
		engines[fmt.Sprint("draft-", i)] = &fake{checks: checks}
	}
	return engines
}

func TestOrders(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	engines := newEngines(5, true)
	var p Planner
	if most := play(&p, &now, time.Minute, compile(t, "v1"), engines, 1); most > maxLoading {
		t.Errorf("%d engines were ordered to load at once", most)
	}
	checkLoaded(t, engines, "v1")
	for id, f := range engines {
		if f.orders != 1 {
			t.Errorf("engine %s got %d orders", id, f.orders)
		}
	}
	play(&p, &now, time.Minute, compile(t, "v2"), engines, 1)
	checkLoaded(t, engines, "v2")
}

// TestWokenHolder gives an order of a process that was paused past its lease.
func TestWokenHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("checks ", checks), func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			engines := newEngines(2, checks)
			late := wire.Order{Number: 1, Action: "load", Model: "m", Version: "v1"}
			var p Planner
			play(&p, &now, time.Minute, compile(t, "v2"), engines, 2)
			for _, f := range engines {
				f.order(late)
				if checks && f.loaded.Version != "v2" {
					t.Errorf("engine took an order under number 1 after 2")
				}
			}
			play(&p, &now, time.Minute, compile(t, "v2"), engines, 2)
			checkLoaded(t, engines, "v2")
		})
	}
}
