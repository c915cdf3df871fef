package admit

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestFair states that accounts which always have work are served by weight,
// whatever they ask for besides.
func TestFair(t *testing.T) {
	var f Fair[string]
	weights := map[string]int{"large": 4, "middle": 2, "small": 1}
	for account, w := range weights {
		for range 1000 * w * w {
			f.Push(account, w, account)
		}
	}
	served := make(map[string]int)
	for range 700 {
		account, _ := f.Pop()
		served[account]++
	}
	for account, w := range weights {
		if got := served[account]; got < 100*w-1 || got > 100*w+1 {
			t.Errorf("%s was served %d times, want %d", account, got, 100*w)
		}
	}
}

// TestFairIdle states that an account gets no credit for having been idle.
func TestFairIdle(t *testing.T) {
	var f Fair[string]
	for range 100 {
		f.Push("busy", 1, "busy")
	}
	for range 50 {
		f.Pop()
	}
	for range 50 {
		f.Push("idle", 1, "idle")
	}
	idle := 0
	for range 20 {
		if account, _ := f.Pop(); account == "idle" {
			idle++
		}
	}
	if idle < 9 || idle > 11 {
		t.Errorf("the account that was idle got %d of 20 turns", idle)
	}
}

// TestDivide states that nobody gets more than it asks for, that nothing is given
// beyond the capacity or left over while somebody wants it, and that nobody who
// wants more gets less by weight than another.
func TestDivide(t *testing.T) {
	const tolerance = 1e-6
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		var demands []Demand
		for i := range rapid.IntRange(1, 6).Draw(t, "accounts") {
			demands = append(demands, Demand{fmt.Sprint(i), rapid.IntRange(1, 5).Draw(t, "weight"), rapid.Float64Range(0, 500).Draw(t, "rate")})
		}
		given := Divide(capacity, demands)
		total, asked := 0.0, 0.0
		for i, g := range given {
			total += g
			asked += demands[i].Rate
			if g > demands[i].Rate+tolerance {
				t.Fatalf("account %d gets %g, asked for %g", i, g, demands[i].Rate)
			}
			for j := range given {
				short := g < demands[i].Rate-tolerance
				if short && given[j]/float64(demands[j].Weight) > g/float64(demands[i].Weight)+tolerance {
					t.Fatalf("account %d is short with %g while account %d has %g", i, g, j, given[j])
				}
			}
		}
		if math.Abs(total-min(capacity, asked)) > tolerance {
			t.Fatalf("%g was given, capacity %g, asked %g", total, capacity, asked)
		}
	})
}
