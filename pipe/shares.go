package pipe

import (
	"maps"
	"slices"
	"strings"
	"time"

	"teaselplank/admit"
)

// shares keeps accounts to their part of what a pool can serve while there is
// too little room for all. Each node that is short tells the others by gossip
// what its accounts ask for and what it serves. From the sums every node works
// out the same part of its demand that an account may have, and applies this
// part to its own arrivals: allocation is common, enforcement is local. The zero
// value is ready to use.
type shares struct {
	demand map[string]*meter
	served meter
	// others and othersServed are the sums of what the other nodes tell.
	others       map[string]float64
	othersServed float64
	// allowed is the part, from 0 to 1, of an account's demand.
	allowed map[string]float64
	// credit is the part of a request that an account has saved up.
	credit map[string]float64
	// shortUntil is the time up to which there is too little room here, and
	// othersShort is true while another node says so.
	shortUntil  time.Time
	othersShort bool
	divided     time.Time
}

// What counts as too little room, how long it holds on, how often the parts are
// worked out, and how much more than what was served is given out, so that the
// system finds room that has come free.
const (
	shortPart   = 0.35
	shortHold   = time.Second
	divideEvery = 250 * time.Millisecond
	probeFactor = 1.05
)

func (s *shares) arrive(now time.Time, account string) {
	if s.demand == nil {
		s.demand = make(map[string]*meter)
		s.allowed = make(map[string]float64)
		s.credit = make(map[string]float64)
	}
	m := s.demand[account]
	if m == nil {
		m = &meter{}
		s.demand[account] = m
	}
	m.add(now, 1)
}

func (s *shares) serve(now time.Time) { s.served.add(now, 1) }

// waited notes how long a step stood in the queue, and how much time it had.
func (s *shares) waited(now time.Time, wait, had time.Duration) {
	if float64(wait) > shortPart*float64(had) {
		s.shortUntil = now.Add(shortHold)
	}
}

func (s *shares) short(now time.Time) bool { return now.Before(s.shortUntil) || s.othersShort }

// admit reports whether a request of the account may be taken now.
func (s *shares) admit(now time.Time, account string, weights map[string]int) bool {
	if !s.short(now) {
		return true
	}
	if now.Sub(s.divided) >= divideEvery {
		s.divide(now, weights)
	}
	part, known := s.allowed[account]
	if !known || part >= 1 {
		return true
	}
	s.credit[account] = min(s.credit[account]+part, 1+part)
	if s.credit[account] < 1 {
		return false
	}
	s.credit[account]--
	return true
}

// divide works out each account's part.
func (s *shares) divide(now time.Time, weights map[string]int) {
	s.divided = now
	totals := make(map[string]float64, len(s.demand))
	for account, m := range s.demand {
		totals[account] = m.value(now)
	}
	for account, rate := range s.others {
		totals[account] += rate
	}
	var demands []admit.Demand
	for _, account := range slices.Sorted(maps.Keys(totals)) {
		demands = append(demands, admit.Demand{Account: account, Weight: weights[account], Rate: totals[account]})
	}
	capacity := (s.served.value(now) + s.othersServed) * probeFactor
	given := admit.Divide(capacity, demands)
	for i, d := range demands {
		if d.Rate > 0 {
			s.allowed[d.Account] = given[i] / d.Rate
		}
	}
}

// Rates are what nodes tell each other of their pools. The key of a pool is its
// name, with what it serves a second; that of an account is the pool's name, a
// slash and the account's, with what it asks for a second; and the pool's name
// and an exclamation mark say that there is too little room.
type Rates map[string]float64

// maxToldAccounts bounds the accounts told of a pool, and minDemand is the rate
// below which one is not worth telling.
const (
	maxToldAccounts = 64
	minDemand       = 0.1
)

// Rates returns what this node tells of the pools that are short.
func (r *Runner) Rates(now time.Time) Rates {
	rates := make(Rates)
	for name, p := range r.pools {
		s := &p.shares
		if !s.short(now) {
			continue
		}
		rates[name] = s.served.value(now)
		if now.Before(s.shortUntil) {
			rates[name+"!"] = 1
		}
		s.tell(now, name, rates)
	}
	return rates
}

// tell adds the greatest demands.
func (s *shares) tell(now time.Time, name string, rates Rates) {
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
	for _, account := range accounts[:min(len(accounts), maxToldAccounts)] {
		if rate := s.demand[account].value(now); rate > minDemand {
			rates[name+"/"+account] = rate
		}
	}
}

// SetOthers sets what the other nodes tell, and the weights of the accounts.
func (r *Runner) SetOthers(others []Rates, weights map[string]int) {
	r.weights = weights
	for _, p := range r.pools {
		p.shares.others = make(map[string]float64)
		p.shares.othersServed, p.shares.othersShort = 0, false
	}
	for _, rates := range others {
		for key, rate := range rates {
			r.addOther(key, rate)
		}
	}
}

func (r *Runner) addOther(key string, rate float64) {
	name, account, isAccount := strings.Cut(key, "/")
	if short, ok := strings.CutSuffix(name, "!"); ok {
		if p := r.pools[short]; p != nil {
			p.shares.othersShort = true
		}
		return
	}
	p := r.pools[name]
	switch {
	case p == nil:
	case isAccount:
		p.shares.others[account] += rate
	default:
		p.shares.othersServed += rate
	}
}
