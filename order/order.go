// Package order decides which orders model engines need: each engine of a stage
// is to have the model, version and adapter that the rules name. An order is a
// pure function of the rules, so that repeating it changes nothing. An order that
// a process gives late, on authority it no longer has, is refused by engines that
// check fencing numbers; with others it is found at the next look and repaired.
package order

import (
	"slices"
	"strings"
	"time"

	"teaselplank/rules"
	"teaselplank/wire"
)

// lookEvery is how often an engine is asked what it has loaded, retryAfter when
// an order that had no effect is given again, and maxLoading how many engines may
// be loading at a time, so that the rest serve and the weight store keeps up.
const (
	lookEvery  = 5 * time.Second
	retryAfter = 30 * time.Second
	maxLoading = 2
)

// An Action is what is to be done for an engine now.
type Action struct {
	Host wire.Host
	// Order is nil when the engine is to be asked what it has loaded.
	Order *wire.Order
}

// A Planner remembers what engines have loaded. The zero value knows nothing.
type Planner struct {
	engines map[string]*engine
}

type engine struct {
	incarnation string
	loaded      wire.Loaded
	// looked is when the engine was last asked, seen when it last answered,
	// and ordered when it last got an order that it has not carried out.
	looked  time.Time
	seen    time.Time
	ordered time.Time
}

func (p *Planner) engine(h wire.Host) *engine {
	if p.engines == nil {
		p.engines = make(map[string]*engine)
	}
	e := p.engines[h.ID]
	if e == nil || e.incarnation != h.Incarnation {
		e = &engine{incarnation: h.Incarnation}
		p.engines[h.ID] = e
	}
	return e
}

// Loaded takes in what an engine has loaded.
func (p *Planner) Loaded(now time.Time, h wire.Host, loaded wire.Loaded) {
	e := p.engine(h)
	e.loaded, e.seen = loaded, now
}

// Next returns what is to be done now by a process that holds the lease of the
// zone under a fencing number. Hosts are the upstreams of the zone.
func (p *Planner) Next(now time.Time, set *rules.Set, hosts []wire.Host, number int64) []Action {
	var actions []Action
	loading := 0
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b wire.Host) int { return strings.Compare(a.ID, b.ID) })
	known := make(map[string]bool, len(sorted))
	for _, h := range sorted {
		known[h.ID] = true
		want, ok := Wanted(set, h)
		if !ok || h.Leaving {
			continue
		}
		e := p.engine(h)
		if now.Sub(e.looked) >= lookEvery {
			e.looked = now
			actions = append(actions, Action{Host: h})
		}
		if e.seen.IsZero() || e.loaded == want {
			e.ordered = time.Time{}
			continue
		}
		if waiting := !e.ordered.IsZero() && now.Sub(e.ordered) < retryAfter; waiting {
			loading++
			continue
		}
		if loading >= maxLoading {
			continue
		}
		loading++
		e.ordered = now
		actions = append(actions, Action{h, &wire.Order{
			Number: number, Action: "load", Model: want.Model, Version: want.Version, Adapter: want.Adapter,
		}})
	}
	for id := range p.engines {
		if !known[id] {
			delete(p.engines, id)
		}
	}
	return actions
}

// Wanted returns what an engine is to have loaded; ok is false for a host whose
// pool has no model.
func Wanted(set *rules.Set, h wire.Host) (loaded wire.Loaded, ok bool) {
	stage := set.Stages[h.Pool]
	if stage == nil || stage.Model == "" {
		return wire.Loaded{}, false
	}
	m := set.Models[stage.Model]
	if m == nil {
		return wire.Loaded{}, false
	}
	return wire.Loaded{Model: m.Name, Version: m.Version, Adapter: m.Adapter}, true
}
