// Package bench compares policies. It runs the real reducers of a handful of
// nodes in virtual time against small fakes at their interfaces, under the same
// recorded load and the same faults, and reports attainment and cost by stage.
// Every random number comes from a fixed seed, so that a run can be repeated.
package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"teaselplank/core"
	"teaselplank/health"
	"teaselplank/pipe"
	"teaselplank/route"
)

// A Site is one user's installation and load.
type Site struct {
	Name  string
	Zones int
	Nodes int
	// Delay is the time one way between zones.
	Delay time.Duration
	// Pools are the upstreams.
	Pools []Pool
	// Accounts are the client accounts with their part of the load.
	Accounts []Account
	// Pipeline is the rule of the only pipeline, Stages its pools.
	Pipeline string
	Stages   []string
	Deadline time.Duration
	// Rate is the mean number of pipeline calls a second.
	Rate float64
	// ServiceRate is the mean number of calls a second of each plain service.
	ServiceRate float64
}

// A Pool is the upstreams of a stage or service.
type Pool struct {
	Name  string
	Kind  string
	Hosts int
	Slots int
	// Time is the mean time of a call, and of the first token.
	Time time.Duration
	// Token is the time between tokens of an engine that is not busy.
	Token time.Duration
}

// An Account is a client account.
type Account struct {
	Name   string
	Weight int
	// Part is its part of the load.
	Part float64
}

// stages are the pools that both users have for the stages before generation.
func stages() []Pool {
	return []Pool{
		{Name: "encode", Kind: "encoder", Hosts: 4, Slots: 8, Time: 20 * time.Millisecond},
		{Name: "retrieve", Kind: "retriever", Hosts: 4, Slots: 8, Time: 40 * time.Millisecond},
		{Name: "rerank", Kind: "reranker", Hosts: 4, Slots: 6, Time: 60 * time.Millisecond},
	}
}

func service(name string, hosts int) Pool {
	return Pool{Name: name, Kind: core.StepService, Hosts: hosts, Slots: 8, Time: 15 * time.Millisecond}
}

// Sites returns the installations of both users as their brief gives them.
func Sites() []Site {
	drafting := Pool{Name: "generate", Kind: "generator", Hosts: 12, Slots: 8, Time: 120 * time.Millisecond, Token: 18 * time.Millisecond}
	model := drafting
	model.Hosts = 10
	accounts := func(names ...string) []Account {
		parts := []float64{0.40, 0.30, 0.18, 0.08, 0.04}
		weights := []int{4, 3, 2, 1, 1}
		var list []Account
		for i, n := range names {
			list = append(list, Account{n, weights[i], parts[i]})
		}
		return list
	}
	return []Site{
		{
			Name: "Blue Mahoe", Zones: 4, Nodes: 8, Delay: time.Millisecond,
			Pools:    append(stages(), drafting, service("portal", 5), service("records", 5), service("hearings", 5)),
			Accounts: accounts("kingston", "montego", "mandeville", "negril", "lucea"),
			Pipeline: "drafts", Stages: []string{"encode", "retrieve", "rerank", "generate"},
			Deadline: 5 * time.Second, Rate: 66, ServiceRate: 40,
		},
		{
			Name: "Parqueo Andino", Zones: 3, Nodes: 7, Delay: 1500 * time.Microsecond,
			Pools:    append(stages(), model, service("landlord", 5), service("whatsapp", 5), service("invoicing", 5)),
			Accounts: accounts("bogota", "medellin", "chapinero", "laureles", "usaquen"),
			Pipeline: "suggest", Stages: []string{"encode", "retrieve", "rerank", "generate"},
			Deadline: 4 * time.Second, Rate: 55, ServiceRate: 40,
		},
	}
}

// A Variant is a policy to measure.
type Variant struct {
	Name string
	// Apply changes the configuration that a node has by default.
	Apply func(*core.Config)
}

// Baseline takes workers in turn, admits all and retries three times.
func Baseline() Variant {
	return Variant{"baseline", func(c *core.Config) {
		c.Policy = route.RoundRobin{}
		c.Pipe = pipe.BaselineConfig()
		c.ApplyPolicyRule = false
		c.Route.AdaptiveLimits = false
		c.Route.Backoff, c.Route.ReportTimeout = health.Backoff{}, 0
	}}
}

// Current is the policy that nodes have.
func Current() Variant { return Variant{"teaselplank", func(*core.Config) {}} }

// Without returns variants of the current policy that each lack one part.
func Without() []Variant {
	off := func(name string, apply func(*core.Config)) Variant {
		return Variant{"without " + name, func(c *core.Config) {
			c.ApplyPolicyRule = false
			apply(c)
		}}
	}
	return []Variant{
		off("early refusal", func(c *core.Config) { c.Pipe.EarlyRefusal = false }),
		off("account shares", func(c *core.Config) { c.Pipe.Admission = false }),
		off("fair queues", func(c *core.Config) { c.Pipe.FairQueues = false }),
		off("hedging", func(c *core.Config) { c.Pipe.Hedge = false }),
		off("retry budget", func(c *core.Config) { c.Pipe.RetryPercent = -1 }),
		off("affinity", func(c *core.Config) { c.Policy = route.Balanced{NoAffinity: true} }),
		off("adaptive limits", func(c *core.Config) { c.Route.AdaptiveLimits = false }),
		off("cancellation", func(c *core.Config) { c.Pipe.Cancel = false }),
	}
}

// A Fault is what goes wrong from Start to End of a run.
type Fault struct {
	Name string
	// apply changes the world when the fault begins.
	apply func(*world)
	// heal undoes it.
	heal func(*world)
	// capacity returns the part of a worker that the fault leaves.
	capacity func(*worker) float64
	// surge multiplies the load of the largest account; 0 leaves it.
	surge float64
}

// The length of a run, when faults begin and end, and what is not counted at the
// beginning.
const (
	runLength  = 30 * time.Second
	faultStart = 8 * time.Second
	faultEnd   = 20 * time.Second
	warmUp     = 3 * time.Second
)

// Faults returns the faults that policies are compared under.
func Faults() []Fault {
	slowed := func(w *worker) bool { return w.host.Pool == "rerank" && w.index%2 == 0 }
	failing := func(w *worker) bool { return w.host.Pool == "retrieve" && w.index == 0 }
	frozen := func(w *worker) bool { return w.host.Pool == "generate" && w.index == 0 }
	each := func(pick func(*worker) bool, change func(*worker)) func(*world) {
		return func(w *world) {
			for _, one := range w.workers {
				if pick(one) {
					change(one)
				}
			}
		}
	}
	part := func(pick func(*worker) bool, left float64) func(*worker) float64 {
		return func(w *worker) float64 {
			if pick(w) {
				return left
			}
			return 1
		}
	}
	return []Fault{
		{Name: "none"},
		{Name: "slow stage", apply: each(slowed, func(w *worker) { w.slow = 4 }), heal: each(slowed, func(w *worker) { w.slow = 1 }), capacity: part(slowed, 0.25)},
		{Name: "failing stage", apply: each(failing, func(w *worker) { w.fail = 0.5 }), heal: each(failing, func(w *worker) { w.fail = 0 }), capacity: part(failing, 0.5)},
		{Name: "frozen host", apply: each(frozen, (*worker).freeze), heal: each(frozen, (*worker).thaw), capacity: part(frozen, 0)},
		{Name: "zone cut", apply: func(w *world) { w.cut = zoneName(0) }, heal: func(w *world) { w.cut = "" }},
		{Name: "platform outage", apply: func(w *world) { w.platformDown = true }, heal: func(w *world) { w.platformDown = false }},
		{Name: "silent connections", apply: (*world).silence, heal: func(*world) {}},
		{Name: "surge", surge: 5},
		{Name: "lagging loads", apply: func(w *world) { w.loadLag = 3 * time.Second }, heal: func(w *world) { w.loadLag = usualLag }},
	}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }

// An arrival is one call of the recorded load.
type arrival struct {
	at      time.Duration
	account Account
	service string
	prefix  string
	tokens  int
	// draw picks the node.
	draw int
}

// Bursts of the largest account, as parts of the run: its load is multiplied by
// burstFactor.
const (
	burstFactor = 3
	burstStart  = 12 * time.Second
	burstEnd    = 17 * time.Second
)

// record draws the load of a site. It depends on nothing but the seed.
func record(s Site, fault Fault, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var load []arrival
	add := func(rate float64, service string, from, to time.Duration, accounts []Account) {
		for at := from; ; {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= to {
				return
			}
			a := arrival{at: at, account: pickAccount(random, accounts), service: service, draw: random.IntN(1 << 20)}
			a.tokens = 16 + random.IntN(16)
			if random.IntN(5) == 0 {
				a.tokens = 64 + random.IntN(32)
			}
			if random.IntN(10) < 6 {
				a.prefix = fmt.Sprintf("prefix-%d", random.IntN(24))
			}
			load = append(load, a)
		}
	}
	add(s.Rate, "", 0, runLength, s.Accounts)
	large := s.Accounts[:1]
	add(s.Rate*large[0].Part*(burstFactor-1), "", burstStart, burstEnd, large)
	if fault.surge > 0 {
		add(s.Rate*large[0].Part*(fault.surge-1), "", faultStart, faultEnd, large)
	}
	for _, p := range s.Pools {
		if p.Kind == core.StepService {
			add(s.ServiceRate, p.Name, 0, runLength, s.Accounts)
		}
	}
	return load
}

func pickAccount(random *rand.Rand, accounts []Account) Account {
	total := 0.0
	for _, a := range accounts {
		total += a.Part
	}
	draw := random.Float64() * total
	for _, a := range accounts {
		if draw -= a.Part; draw < 0 {
			return a
		}
	}
	return accounts[len(accounts)-1]
}
