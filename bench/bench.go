// Package bench compares policies. It runs the real reducers of a few nodes in
// virtual time against small fakes at their interfaces, under the same load and
// the same faults, and reports attainment and cost by stage. All random numbers
// come from a fixed seed, so that runs are reproducible.
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

// A Site is one installation and its load.
type Site struct {
	Name  string
	Zones int
	Nodes int
	// Delay is the one-way network delay between availability zones.
	Delay time.Duration
	// Pools are the upstreams.
	Pools []Pool
	// Accounts are the client accounts and their shares of the load.
	Accounts []Account
	// Pipeline is the name of the only pipeline; Stages are its pools.
	Pipeline string
	Stages   []string
	Deadline time.Duration
	// Rate is the mean number of pipeline calls per second.
	Rate float64
	// ServiceRate is the mean number of calls per second to each plain service.
	ServiceRate float64
}

// A Pool is the set of upstreams of a stage or service.
type Pool struct {
	Name  string
	Kind  string
	Hosts int
	Slots int
	// MeanTime is the mean duration of a call or, for an engine, the mean time to
	// the first token.
	MeanTime time.Duration
	// TokenInterval is the time between tokens of an idle engine.
	TokenInterval time.Duration
}

// An Account is a client account.
type Account struct {
	Name   string
	Weight int
	// LoadShare is the account's fraction of the load.
	LoadShare float64
}

// stagePools returns the pools of the stages before generation, which both sites share.
func stagePools() []Pool {
	return []Pool{
		{Name: "encode", Kind: "encoder", Hosts: 4, Slots: 8, MeanTime: 20 * time.Millisecond},
		{Name: "retrieve", Kind: "retriever", Hosts: 4, Slots: 8, MeanTime: 40 * time.Millisecond},
		{Name: "rerank", Kind: "reranker", Hosts: 4, Slots: 6, MeanTime: 60 * time.Millisecond},
	}
}

func servicePool(name string, hosts int) Pool {
	return Pool{Name: name, Kind: core.StepService, Hosts: hosts, Slots: 8, MeanTime: 15 * time.Millisecond}
}

// Sites returns the two reference installations, with the figures of their requirements.
func Sites() []Site {
	engines := Pool{Name: "generate", Kind: "generator", Hosts: 12, Slots: 8, MeanTime: 120 * time.Millisecond, TokenInterval: 18 * time.Millisecond}
	fewerEngines := engines
	fewerEngines.Hosts = 10
	accounts := func(names ...string) []Account {
		shares := []float64{0.40, 0.30, 0.18, 0.08, 0.04}
		weights := []int{4, 3, 2, 1, 1}
		var list []Account
		for i, n := range names {
			list = append(list, Account{n, weights[i], shares[i]})
		}
		return list
	}
	return []Site{
		{
			Name: "Blue Mahoe", Zones: 4, Nodes: 8, Delay: time.Millisecond,
			Pools:    append(stagePools(), engines, servicePool("portal", 5), servicePool("records", 5), servicePool("hearings", 5)),
			Accounts: accounts("kingston", "montego", "mandeville", "negril", "lucea"),
			Pipeline: "drafts", Stages: []string{"encode", "retrieve", "rerank", "generate"},
			Deadline: 5 * time.Second, Rate: 66, ServiceRate: 40,
		},
		{
			Name: "Parqueo Andino", Zones: 3, Nodes: 7, Delay: 1500 * time.Microsecond,
			Pools:    append(stagePools(), fewerEngines, servicePool("landlord", 5), servicePool("whatsapp", 5), servicePool("invoicing", 5)),
			Accounts: accounts("bogota", "medellin", "chapinero", "laureles", "usaquen"),
			Pipeline: "suggest", Stages: []string{"encode", "retrieve", "rerank", "generate"},
			Deadline: 4 * time.Second, Rate: 55, ServiceRate: 40,
		},
	}
}

// A Variant is a policy to measure.
type Variant struct {
	Name string
	// Apply modifies the default configuration of a node.
	Apply func(*core.Config)
}

// Baseline returns a policy that picks workers round robin, admits every call and
// retries three times.
func Baseline() Variant {
	return Variant{"baseline", func(c *core.Config) {
		c.Policy = route.RoundRobin{}
		c.Pipe = pipe.BaselineConfig()
		c.ApplyPolicyRule = false
		c.Route.AdaptiveLimits = false
		c.Route.Backoff, c.Route.ReportTimeout = health.Backoff{}, 0
	}}
}

// Current returns the default policy of a node.
func Current() Variant { return Variant{"teaselplank", func(*core.Config) {}} }

// Ablations returns variants of the current policy, each with one feature disabled.
func Ablations() []Variant {
	ablation := func(name string, apply func(*core.Config)) Variant {
		return Variant{"without " + name, func(c *core.Config) {
			c.ApplyPolicyRule = false
			apply(c)
		}}
	}
	return []Variant{
		ablation("early refusal", func(c *core.Config) { c.Pipe.EarlyRefusal = false }),
		ablation("account shares", func(c *core.Config) { c.Pipe.Admission = false }),
		ablation("fair queues", func(c *core.Config) { c.Pipe.FairQueues = false }),
		ablation("hedging", func(c *core.Config) { c.Pipe.Hedge = false }),
		ablation("retry budget", func(c *core.Config) { c.Pipe.RetryPercent = -1 }),
		ablation("affinity", func(c *core.Config) { c.Policy = route.Balanced{NoAffinity: true} }),
		ablation("adaptive limits", func(c *core.Config) { c.Route.AdaptiveLimits = false }),
		ablation("cancellation", func(c *core.Config) { c.Pipe.Cancel = false }),
	}
}

// A Fault is a fault that is active from faultStart to faultEnd.
type Fault struct {
	Name string
	// inject starts the fault.
	inject func(*simulation)
	// revert ends the fault.
	revert func(*simulation)
	// remainingCapacity returns the fraction of a worker's capacity that is left
	// during the fault.
	remainingCapacity func(*worker) float64
	// surgeFactor multiplies the load of the largest account; 0 means no change.
	surgeFactor float64
}

// Phases of a run, as offsets from its start. Reports leave out calls that arrive
// during warmUp.
const (
	runDuration = 30 * time.Second
	faultStart  = 8 * time.Second
	faultEnd    = 20 * time.Second
	warmUp      = 3 * time.Second
)

// Faults returns the faults under which policies are compared.
func Faults() []Fault {
	slowed := func(w *worker) bool { return w.host.Pool == "rerank" && w.index%2 == 0 }
	failing := func(w *worker) bool { return w.host.Pool == "retrieve" && w.index == 0 }
	frozen := func(w *worker) bool { return w.host.Pool == "generate" && w.index == 0 }
	change := func(match func(*worker) bool, modify func(*worker)) func(*simulation) {
		return func(s *simulation) {
			for _, w := range s.workers {
				if match(w) {
					modify(w)
				}
			}
		}
	}
	remaining := func(match func(*worker) bool, fraction float64) func(*worker) float64 {
		return func(w *worker) float64 {
			if match(w) {
				return fraction
			}
			return 1
		}
	}
	return []Fault{
		{Name: "none"},
		{Name: "slow stage", inject: change(slowed, func(w *worker) { w.slowdown = 4 }), revert: change(slowed, func(w *worker) { w.slowdown = 1 }), remainingCapacity: remaining(slowed, 0.25)},
		{Name: "failing stage", inject: change(failing, func(w *worker) { w.failureRate = 0.5 }), revert: change(failing, func(w *worker) { w.failureRate = 0 }), remainingCapacity: remaining(failing, 0.5)},
		{Name: "frozen host", inject: change(frozen, (*worker).freeze), revert: change(frozen, (*worker).unfreeze), remainingCapacity: remaining(frozen, 0)},
		{Name: "zone cut", inject: func(s *simulation) { s.isolatedZone = zoneName(0) }, revert: func(s *simulation) { s.isolatedZone = "" }},
		{Name: "platform outage", inject: func(s *simulation) { s.platformDown = true }, revert: func(s *simulation) { s.platformDown = false }},
		{Name: "silent connections", inject: (*simulation).silenceConnections, revert: func(*simulation) {}},
		{Name: "surge", surgeFactor: 5},
		{Name: "lagging loads", inject: func(s *simulation) { s.loadLag = 3 * time.Second }, revert: func(s *simulation) { s.loadLag = defaultLoadLag }},
	}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }

// An arrival is one call of the load.
type arrival struct {
	at      time.Duration
	account Account
	service string
	prefix  string
	tokens  int
	// nodeDraw is a random number that selects the node.
	nodeDraw int
}

// The load of the largest account is multiplied by burstFactor from burstStart to
// burstEnd.
const (
	burstFactor = 3
	burstStart  = 12 * time.Second
	burstEnd    = 17 * time.Second
)

// drawLoad generates the load of a site. For a given site and fault the result
// depends only on the seed.
func drawLoad(site Site, fault Fault, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var load []arrival
	addCalls := func(rate float64, service string, from, to time.Duration, accounts []Account) {
		for at := from; ; {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= to {
				return
			}
			a := arrival{at: at, account: pickAccount(random, accounts), service: service, nodeDraw: random.IntN(1 << 20)}
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
	addCalls(site.Rate, "", 0, runDuration, site.Accounts)
	largest := site.Accounts[:1]
	addCalls(site.Rate*largest[0].LoadShare*(burstFactor-1), "", burstStart, burstEnd, largest)
	if fault.surgeFactor > 0 {
		addCalls(site.Rate*largest[0].LoadShare*(fault.surgeFactor-1), "", faultStart, faultEnd, largest)
	}
	for _, p := range site.Pools {
		if p.Kind == core.StepService {
			addCalls(site.ServiceRate, p.Name, 0, runDuration, site.Accounts)
		}
	}
	return load
}

func pickAccount(random *rand.Rand, accounts []Account) Account {
	total := 0.0
	for _, a := range accounts {
		total += a.LoadShare
	}
	draw := random.Float64() * total
	for _, a := range accounts {
		if draw -= a.LoadShare; draw < 0 {
			return a
		}
	}
	return accounts[len(accounts)-1]
}
