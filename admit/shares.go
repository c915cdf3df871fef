package admit

import "slices"

// A Demand is what an account asks for.
type Demand struct {
	Account string
	Weight  int
	// Rate is in work units a second, and never negative.
	Rate float64
}

// Divide shares a capacity among accounts by weight. No account gets more than
// it asks for, and what one leaves over is lent to the others (max-min
// fairness). The result is in the order of the demands.
func Divide(capacity float64, demands []Demand) []float64 {
	given := make([]float64, len(demands))
	order := make([]int, len(demands))
	weights := 0.0
	for i, d := range demands {
		order[i] = i
		weights += float64(max(d.Weight, 1))
	}
	need := func(i int) float64 { return demands[i].Rate / float64(max(demands[i].Weight, 1)) }
	slices.SortStableFunc(order, func(i, j int) int {
		switch {
		case need(i) < need(j):
			return -1
		case need(i) > need(j):
			return 1
		}
		return 0
	})
	left := max(capacity, 0)
	for _, i := range order {
		weight := float64(max(demands[i].Weight, 1))
		given[i] = min(demands[i].Rate, left*weight/weights)
		left -= given[i]
		weights -= weight
	}
	return given
}
