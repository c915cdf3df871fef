// Package fair decides who gets the capacity of a service while it is short: more urgent
// ranks first, accounts of one rank by weighted max-min fairness, and each flow of requests
// a minimum share. It has no clock and no I/O.
package fair

import (
	"slices"

	"teaselplank/admit"
)

// A Flow is the requests of one account with one rank. Rank 0 is the most urgent.
type Flow struct {
	Rank    int
	Account string
}

// A Demand is the work per second that a flow asks for.
type Demand struct {
	Flow Flow
	// Weight is that of the account; below 1 counts as 1.
	Weight int
	Rate   float64
}

// minServed is the least served share of the demand of a flow, relative to the served share of
// the total demand. The goal is that no kind of request and no account is served less than a
// quarter as often as all; 0.4 leaves room for the variation of arrivals.
const minServed = 0.4

// Divide divides a capacity among flows and returns the allocations in the order of the
// demands. No flow gets more than its demand, and each gets its demand if the capacity suffices.
// Otherwise each gets its minServed share. The remainder goes to the ranks in order, and within a
// rank to the accounts by weighted max-min fairness, so that others use what one account does not.
func Divide(capacity float64, demands []Demand) []float64 {
	allocated := make([]float64, len(demands))
	total := 0.0
	for _, d := range demands {
		total += d.Rate
	}
	if total <= capacity {
		for i, d := range demands {
			allocated[i] = d.Rate
		}
		return allocated
	}
	left := max(capacity, 0)
	floor := minServed * left / total
	var ranks []int
	for i, d := range demands {
		allocated[i] = floor * d.Rate
		if !slices.Contains(ranks, d.Flow.Rank) {
			ranks = append(ranks, d.Flow.Rank)
		}
	}
	left -= minServed * left
	slices.Sort(ranks)
	for _, rank := range ranks {
		left -= divideRank(rank, left, demands, allocated)
	}
	return allocated
}

// divideRank gives the flows of a rank more, besides the floors that they have, and returns how
// much that was. Flows whose floor is above what max-min fairness gives them keep the floor.
func divideRank(rank int, more float64, demands []Demand, allocated []float64) float64 {
	var members []int
	for i, d := range demands {
		if d.Flow.Rank == rank {
			members = append(members, i)
			more += allocated[i]
		}
	}
	before := 0.0
	for _, i := range members {
		before += allocated[i]
	}
	given := 0.0
	for {
		list := make([]admit.Demand, len(members))
		for n, i := range members {
			list[n] = admit.Demand{Weight: demands[i].Weight, Rate: demands[i].Rate}
		}
		shares := admit.Divide(more-given, list)
		rest := members[:0:0]
		for n, i := range members {
			if shares[n] < allocated[i] {
				given += allocated[i]
				continue
			}
			rest = append(rest, i)
		}
		if len(rest) == len(members) {
			for n, i := range members {
				allocated[i] = shares[n]
				given += shares[n]
			}
			return given - before
		}
		members = rest
	}
}
