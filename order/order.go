// Package order plans the orders to model engines. Each engine of a stage should have
// loaded the model, version and adapter that the rules specify. An order is a pure
// function of the rules, so giving it again has no effect. If a process gives an order
// after its lease has expired, engines that check fencing numbers refuse it; on other
// engines, the next query detects the wrong model and a new order corrects it.
package order

import (
	"slices"
	"strings"
	"time"

	"teaselplank/rules"
	"teaselplank/wire"
)

// queryInterval is the interval between queries of what an engine has loaded, and
// retryInterval the time after which an order without effect is given again.
// maxConcurrentLoads limits the engines that load at the same time, so that the others
// keep serving and the weight store is not overloaded.
const (
	queryInterval      = 5 * time.Second
	retryInterval      = 30 * time.Second
	maxConcurrentLoads = 2
)

// An Action is a query or an order to send to an engine.
type Action struct {
	Host wire.Host
	// Order is nil for a query of what the engine has loaded.
	Order *wire.Order
}

// A Planner tracks what engines have loaded. The zero value is ready to use.
type Planner struct {
	engines map[string]*engine
}

type engine struct {
	incarnation string
	loaded      wire.LoadedModel
	// queriedAt is the time of the last query, and answeredAt that of the last answer.
	// orderedAt is the time of the last order, or zero if none is outstanding.
	queriedAt  time.Time
	answeredAt time.Time
	orderedAt  time.Time
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

// SetLoaded records what an engine has loaded.
func (p *Planner) SetLoaded(now time.Time, h wire.Host, loaded wire.LoadedModel) {
	e := p.engine(h)
	e.loaded, e.answeredAt = loaded, now
}

// Next returns the actions that are due at now. The caller holds the lease of the zone
// with the given fencing number; hosts are the upstreams of the zone.
func (p *Planner) Next(now time.Time, set *rules.Set, hosts []wire.Host, fencingNumber int64) []Action {
	var actions []Action
	loading := 0
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b wire.Host) int { return strings.Compare(a.ID, b.ID) })
	listed := make(map[string]bool, len(sorted))
	for _, h := range sorted {
		listed[h.ID] = true
		desired, ok := Desired(set, h)
		if !ok || h.Leaving {
			continue
		}
		e := p.engine(h)
		if now.Sub(e.queriedAt) >= queryInterval {
			e.queriedAt = now
			actions = append(actions, Action{Host: h})
		}
		if e.answeredAt.IsZero() || e.loaded == desired {
			e.orderedAt = time.Time{}
			continue
		}
		if orderPending := !e.orderedAt.IsZero() && now.Sub(e.orderedAt) < retryInterval; orderPending {
			loading++
			continue
		}
		if loading >= maxConcurrentLoads {
			continue
		}
		loading++
		e.orderedAt = now
		actions = append(actions, Action{h, &wire.Order{
			Number: fencingNumber, Action: "load", Model: desired.Model, Version: desired.Version, Adapter: desired.Adapter,
		}})
	}
	for id := range p.engines {
		if !listed[id] {
			delete(p.engines, id)
		}
	}
	return actions
}

// Desired returns what an engine should have loaded; ok is false if the pool of the host
// has no model.
func Desired(set *rules.Set, h wire.Host) (loaded wire.LoadedModel, ok bool) {
	stage := set.Stages[h.Pool]
	if stage == nil || stage.Model == "" {
		return wire.LoadedModel{}, false
	}
	m := set.Models[stage.Model]
	if m == nil {
		return wire.LoadedModel{}, false
	}
	return wire.LoadedModel{Model: m.Name, Version: m.Version, Adapter: m.Adapter}, true
}
