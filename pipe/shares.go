package pipe

import (
	"sort"
	"time"

	"teaselplank/admit"
)

// shares keeps accounts to their part of what the system can serve while there
// is too little room for all. Each node tells the others by gossip what its
// accounts ask for and what it serves. From the sums every node works out the
// same part of its demand that an account may have, and applies this part to
// its own arrivals: allocation is common, enforcement is local.
type shares struct {
	demand  map[string]*meter
	weights map[string]int
	served  meter
	// others and othersServed are the sums of what the other nodes tell.
	others       map[string]float64
	othersServed float64
	// allowed is the part, from 0 to 1, of an account's demand.
	allowed map[string]float64
	// credit is the part of a request that an account has saved up.
	credit map[string]float64
	// shortUntil is the time up to which there is too little room.
	shortUntil time.Time
	divided    time.Time
}

// What counts as too little room, how long it holds on, how often the parts are
// worked out, and how much more than what was served is given out, so that the
// system finds room that has come free.
const (
	shortWait   = 40 * time.Millisecond
	shortHold   = time.Second
	divideEvery = 250 * time.Millisecond
	probeFactor = 1.05
)

func (s *shares) arrive(now time.Time, account string, weight int) {
	s.init()
	m := s.demand[account]
	if m == nil {
		m = &meter{}
		s.demand[account] = m
	}
	m.add(now, 1)
	s.weights[account] = weight
}

func (s *shares) init() {
	if s.demand != nil {
		return
	}
	s.demand = make(map[string]*meter)
	s.weights = make(map[string]int)
	s.allowed = make(map[string]float64)
	s.credit = make(map[string]float64)
}

func (s *shares) serve(now time.Time) { s.served.add(now, 1) }

// waited notes how long a step stood in a queue.
func (s *shares) waited(now time.Time, wait time.Duration) {
	if wait > shortWait {
		s.shortUntil = now.Add(shortHold)
	}
}

// admit reports whether a request of the account may be taken now.
func (s *shares) admit(now time.Time, account string) bool {
	if !now.Before(s.shortUntil) {
		return true
	}
	if now.Sub(s.divided) >= divideEvery {
		s.divide(now)
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
func (s *shares) divide(now time.Time) {
	s.divided = now
	totals := make(map[string]float64, len(s.demand))
	for account, m := range s.demand {
		totals[account] = m.value(now)
	}
	for account, rate := range s.others {
		totals[account] += rate
	}
	demands := make([]admit.Demand, 0, len(totals))
	for account, rate := range totals {
		demands = append(demands, admit.Demand{Account: account, Weight: s.weights[account], Rate: rate})
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Account < demands[j].Account })
	capacity := (s.served.value(now) + s.othersServed) * probeFactor
	given := admit.Divide(capacity, demands)
	for i, d := range demands {
		if d.Rate > 0 {
			s.allowed[d.Account] = given[i] / d.Rate
		}
	}
}

// Demand returns the rate of calls by account and of answers, a second, that
// this node tells the others.
func (r *Runner) Demand(now time.Time) (demand map[string]float64, served float64) {
	demand = make(map[string]float64, len(r.shares.demand))
	for account, m := range r.shares.demand {
		if rate := m.value(now); rate > minDemand {
			demand[account] = rate
		}
	}
	return demand, r.shares.served.value(now)
}

// minDemand is the rate below which an account is not worth telling.
const minDemand = 0.1

// SetOthers sets the sums of what the other nodes tell, and the weights of the
// accounts.
func (r *Runner) SetOthers(demand map[string]float64, served float64, weights map[string]int) {
	r.shares.others, r.shares.othersServed = demand, served
	r.shares.init()
	for account, w := range weights {
		r.shares.weights[account] = w
	}
}
