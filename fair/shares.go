package fair

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxRank is the least urgent rank. Higher ranks are treated as this one.
	MaxRank = 3
	// maxFlows bounds the number of flows. While there are as many, requests of others count
	// as those of a flow without an account.
	maxFlows = 128
	// meterTime is the time constant of the exponential averages of demand and use.
	meterTime = time.Second
	// divideInterval is how often the capacity is divided.
	divideInterval = 100 * time.Millisecond
	// creditTime is the largest burst of a flow, as the time in which its allocation earns it.
	creditTime = 400 * time.Millisecond
	// negligible is the demand, in units of work per second, below which a flow is removed.
	negligible = 0.01
)

// Shares divides the capacity of one service among the flows that ask for it. The zero value
// knows no flow.
type Shares struct {
	flows     map[Flow]*flow
	dividedAt time.Time
	// short is true if the flows ask for more than the capacity.
	short bool
	// byRank is the allocation of each rank.
	byRank [MaxRank + 1]float64
	// usedByRank is the work per second that each rank has used until usedAt.
	usedByRank [MaxRank + 1]float64
	usedAt     [MaxRank + 1]time.Time
}

// A flow is the demand and the allocation of a flow.
type flow struct {
	// demand and used are the work per second that was asked for and admitted until updated.
	demand, used float64
	updated      time.Time
	// allocated is the work per second that the flow may use, and limited is true if it asks
	// for more.
	allocated float64
	limited   bool
	// credit is the work that the flow may use now, at the time of credited.
	credit   float64
	credited time.Time
}

// decay returns the factor by which a meter falls in a duration.
func decay(d time.Duration) float64 { return math.Exp(-max(d, 0).Seconds() / meterTime.Seconds()) }

// decay updates the meters to a time.
func (f *flow) decay(now time.Time) {
	factor := decay(now.Sub(f.updated))
	f.demand *= factor
	f.used *= factor
	f.updated = now
}

// ClampRank returns a rank, but MaxRank at most.
func ClampRank(rank int) int { return min(max(rank, 0), MaxRank) }

// key returns the flow under which a flow is kept: with a clamped rank, and without an account if
// there are too many flows.
func (s *Shares) key(f Flow) Flow {
	f.Rank = ClampRank(f.Rank)
	if _, known := s.flows[f]; !known && len(s.flows) >= maxFlows {
		f.Account = ""
	}
	return f
}

// Offer records that a flow asks for work, and divides the capacity, in work per second, among
// all flows if that is due.
func (s *Shares) Offer(now time.Time, f Flow, work, capacity float64) {
	f = s.key(f)
	known := s.flows[f]
	if known == nil {
		if s.flows == nil {
			s.flows = make(map[Flow]*flow)
		}
		known = &flow{updated: now, credited: now}
		s.flows[f] = known
	}
	known.decay(now)
	known.demand += work / meterTime.Seconds()
	if now.Sub(s.dividedAt) >= divideInterval {
		s.divide(now, capacity)
	}
}

// divide divides the capacity and forgets the flows that ask for nothing.
func (s *Shares) divide(now time.Time, capacity float64) {
	s.dividedAt = now
	demands := make([]Demand, 0, len(s.flows))
	total := 0.0
	for key, f := range s.flows {
		f.decay(now)
		if f.demand < negligible {
			delete(s.flows, key)
			continue
		}
		total += f.demand
		demands = append(demands, Demand{Flow: key, Rate: f.demand})
	}
	// The result must not depend on the order of the map.
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Flow.Rank, b.Flow.Rank), cmp.Compare(a.Flow.Account, b.Flow.Account))
	})
	s.byRank = [MaxRank + 1]float64{}
	s.short = total > capacity
	for i, allocated := range Divide(capacity, demands) {
		d := demands[i]
		f := s.flows[d.Flow]
		f.addCredit(now)
		f.allocated, f.limited = allocated, allocated < d.Rate
		s.byRank[d.Flow.Rank] += allocated
	}
}

// addCredit adds the credit of the time since it was last added.
func (f *flow) addCredit(now time.Time) {
	if f.limited {
		f.credit = min(f.credit+f.allocated*now.Sub(f.credited).Seconds(), f.allocated*creditTime.Seconds())
	} else {
		f.credit = f.allocated * creditTime.Seconds()
	}
	f.credited = now
}

// Short reports whether the flows ask for more than the capacity.
func (s *Shares) Short() bool { return s.short }

// Within reports whether a flow has used less than its share, which is true for a flow whose
// demand is met.
func (s *Shares) Within(now time.Time, f Flow) bool {
	known := s.flows[s.key(f)]
	if known == nil || !known.limited {
		return true
	}
	known.addCredit(now)
	return known.credit > 0
}

// Take records that work of a flow is admitted. What exceeds its share is lent: it does not
// count against what the flow gets later.
func (s *Shares) Take(now time.Time, f Flow, work float64) {
	rank := ClampRank(f.Rank)
	s.usedByRank[rank] = s.usedByRank[rank]*decay(now.Sub(s.usedAt[rank])) + work/meterTime.Seconds()
	s.usedAt[rank] = now
	known := s.flows[s.key(f)]
	if known == nil {
		return
	}
	known.decay(now)
	known.used += work / meterTime.Seconds()
	if known.credit > 0 {
		known.credit -= work
	}
}

// MoreUrgent returns the work per second that flows more urgent than a rank are allocated.
func (s *Shares) MoreUrgent(rank int) float64 {
	sum := 0.0
	for r := range min(max(rank, 0), MaxRank+1) {
		sum += s.byRank[r]
	}
	return sum
}

// Rank returns the work per second that flows of a rank are allocated and have used lately.
func (s *Shares) Rank(now time.Time, rank int) (allocated, used float64) {
	rank = ClampRank(rank)
	return s.byRank[rank], s.usedByRank[rank] * decay(now.Sub(s.usedAt[rank]))
}

// A Use is the work per second of a rank.
type Use struct {
	Rank                        int
	Demand, Allocated, Admitted float64
}

// Uses returns the use of each rank that asks for work.
func (s *Shares) Uses(now time.Time) []Use {
	byRank := make(map[int]Use)
	for key, f := range s.flows {
		factor := decay(now.Sub(f.updated))
		u := byRank[key.Rank]
		u.Rank = key.Rank
		u.Demand += f.demand * factor
		u.Admitted += f.used * factor
		u.Allocated += f.allocated
		byRank[key.Rank] = u
	}
	return slices.SortedFunc(maps.Values(byRank), func(a, b Use) int { return cmp.Compare(a.Rank, b.Rank) })
}

// Share returns the work per second that a flow is allocated and has used lately.
func (s *Shares) Share(now time.Time, f Flow) (allocated, used float64) {
	known := s.flows[s.key(f)]
	if known == nil {
		return 0, 0
	}
	known.decay(now)
	return known.allocated, known.used
}
