package pipe

import (
	"maps"
	"slices"
	"strings"
	"time"

	"teaselplank/admit"
)

// shares limits accounts to their share of a pool's capacity while the pool is
// overloaded. An overloaded node reports the demand of its accounts and its throughput
// to the other nodes by gossip. From the sums, every node computes the same allowed
// fraction of an account's demand and applies it to its own arrivals: allocation is
// global, enforcement is local. The zero value is ready to use.
type shares struct {
	// demand is the rate of arrivals at this node by account, served the rate of
	// requests that it completed.
	demand map[string]*meter
	served meter
	// peerDemand and peerServed are the sums of these rates over the other nodes.
	peerDemand map[string]float64
	peerServed float64
	// allowedFraction is the fraction of its demand, from 0 to 1, that an account is
	// allowed.
	allowedFraction map[string]float64
	// credit is the unused credit of each account. An arrival adds the allowed
	// fraction, an admitted request takes 1.
	credit map[string]float64
	// overloadedUntil is the time until which the pool counts as overloaded here, and
	// peerOverloaded is true while another node reports it as overloaded.
	overloadedUntil time.Time
	peerOverloaded  bool
	allocatedAt     time.Time
}

const (
	// overloadWaitFraction is the fraction of its time to the deadline that a step
	// spends in the queue of an overloaded pool.
	overloadWaitFraction = 0.35
	// overloadHold is how long a pool stays overloaded after such a step.
	overloadHold = time.Second
	// allocateInterval is the minimum time between computations of the shares.
	allocateInterval = 250 * time.Millisecond
	// probeFactor is the ratio of allocated capacity to throughput. It exceeds 1 so
	// that the system discovers capacity that has become free.
	probeFactor = 1.05
)

func (s *shares) recordArrival(now time.Time, account string) {
	if s.demand == nil {
		s.demand = make(map[string]*meter)
		s.allowedFraction = make(map[string]float64)
		s.credit = make(map[string]float64)
	}
	m := s.demand[account]
	if m == nil {
		m = &meter{}
		s.demand[account] = m
	}
	m.add(now, 1)
}

func (s *shares) recordServed(now time.Time) { s.served.add(now, 1) }

// recordWait records the queueing time of a step, and the time from its entry into the
// queue to its deadline.
func (s *shares) recordWait(now time.Time, wait, available time.Duration) {
	if float64(wait) > overloadWaitFraction*float64(available) {
		s.overloadedUntil = now.Add(overloadHold)
	}
}

func (s *shares) overloaded(now time.Time) bool {
	return now.Before(s.overloadedUntil) || s.peerOverloaded
}

// admit reports whether a request of the account may be admitted now.
func (s *shares) admit(now time.Time, account string, weights map[string]int) bool {
	if !s.overloaded(now) {
		return true
	}
	if now.Sub(s.allocatedAt) >= allocateInterval {
		s.allocate(now, weights)
	}
	fraction, known := s.allowedFraction[account]
	if !known || fraction >= 1 {
		return true
	}
	s.credit[account] = min(s.credit[account]+fraction, 1+fraction)
	if s.credit[account] < 1 {
		return false
	}
	s.credit[account]--
	return true
}

// allocate computes the allowed fraction of each account.
func (s *shares) allocate(now time.Time, weights map[string]int) {
	s.allocatedAt = now
	totals := make(map[string]float64, len(s.demand))
	for account, m := range s.demand {
		totals[account] = m.value(now)
	}
	for account, rate := range s.peerDemand {
		totals[account] += rate
	}
	var demands []admit.Demand
	for _, account := range slices.Sorted(maps.Keys(totals)) {
		demands = append(demands, admit.Demand{Account: account, Weight: weights[account], Rate: totals[account]})
	}
	capacity := (s.served.value(now) + s.peerServed) * probeFactor
	allocated := admit.Divide(capacity, demands)
	for i, d := range demands {
		if d.Rate > 0 {
			s.allowedFraction[d.Account] = allocated[i] / d.Rate
		}
	}
}

// Rates are the rates per second that a node reports to the others about its pools, by
// key. The key "pool" holds the throughput of a pool, "pool/account" the demand of an
// account at it, and the presence of "pool!" means that the pool is overloaded at the
// reporting node.
type Rates map[string]float64

// maxReportedAccounts limits the reported accounts of a pool. Rates of at most
// minReportedDemand per second are not reported.
const (
	maxReportedAccounts = 64
	minReportedDemand   = 0.1
)

// Rates returns the rates of the overloaded pools for the other nodes.
func (r *Runner) Rates(now time.Time) Rates {
	rates := make(Rates)
	for name, p := range r.pools {
		s := &p.shares
		if !s.overloaded(now) {
			continue
		}
		rates[name] = s.served.value(now)
		if now.Before(s.overloadedUntil) {
			rates[name+"!"] = 1
		}
		s.reportDemand(now, name, rates)
	}
	return rates
}

// reportDemand adds the accounts with the highest demand to rates.
func (s *shares) reportDemand(now time.Time, name string, rates Rates) {
	accounts := slices.Sorted(maps.Keys(s.demand))
	slices.SortStableFunc(accounts, func(a, b string) int {
		switch x, y := s.demand[a].value(now), s.demand[b].value(now); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	for _, account := range accounts[:min(len(accounts), maxReportedAccounts)] {
		if rate := s.demand[account].value(now); rate > minReportedDemand {
			rates[name+"/"+account] = rate
		}
	}
}

// SetPeerRates sets the rates reported by the other nodes, and the weights of the
// accounts.
func (r *Runner) SetPeerRates(peers []Rates, weights map[string]int) {
	r.weights = weights
	for _, p := range r.pools {
		p.shares.peerDemand = make(map[string]float64)
		p.shares.peerServed, p.shares.peerOverloaded = 0, false
	}
	for _, rates := range peers {
		for key, rate := range rates {
			r.addPeerRate(key, rate)
		}
	}
}

func (r *Runner) addPeerRate(key string, rate float64) {
	name, account, isAccount := strings.Cut(key, "/")
	if overloaded, ok := strings.CutSuffix(name, "!"); ok {
		if p := r.pools[overloaded]; p != nil {
			p.shares.peerOverloaded = true
		}
		return
	}
	p := r.pools[name]
	switch {
	case p == nil:
	case isAccount:
		p.shares.peerDemand[account] += rate
	default:
		p.shares.peerServed += rate
	}
}
