package admit

import "slices"

// A Demand is the demand of an account.
type Demand struct {
	Account string
	Weight  int
	// Rate is in work units per second and not negative.
	Rate float64
}

// Divide divides a capacity among accounts by weight (weighted max-min fairness): no
// account gets more than its demand, and unused capacity goes to the others. It returns
// the allocations in the order of the demands.
func Divide(capacity float64, demands []Demand) []float64 {
	allocated := make([]float64, len(demands))
	order := make([]int, len(demands))
	totalWeight := 0.0
	for i, d := range demands {
		order[i] = i
		totalWeight += float64(max(d.Weight, 1))
	}
	rateByWeight := func(i int) float64 { return demands[i].Rate / float64(max(demands[i].Weight, 1)) }
	slices.SortStableFunc(order, func(i, j int) int {
		switch {
		case rateByWeight(i) < rateByWeight(j):
			return -1
		case rateByWeight(i) > rateByWeight(j):
			return 1
		}
		return 0
	})
	remaining := max(capacity, 0)
	for _, i := range order {
		weight := float64(max(demands[i].Weight, 1))
		allocated[i] = min(demands[i].Rate, remaining*weight/totalWeight)
		remaining -= allocated[i]
		totalWeight -= weight
	}
	return allocated
}
