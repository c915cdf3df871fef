package admit

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestFair checks that accounts with queued work are served by weight, whatever the
// length of their queues.
func TestFair(t *testing.T) {
	var f FairQueue[string]
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

// TestFairIdle checks that an account gets no credit for idle time.
func TestFairIdle(t *testing.T) {
	var f FairQueue[string]
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
		t.Errorf("the formerly idle account got %d of 20 turns, want 9 to 11", idle)
	}
}

// TestDivide checks that no account gets more than its demand, that the allocations add
// up to the smaller of capacity and demand, and that no account gets less by weight
// than another while its demand is unsatisfied.
func TestDivide(t *testing.T) {
	const tolerance = 1e-6
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		var demands []Demand
		for i := range rapid.IntRange(1, 6).Draw(t, "accounts") {
			demands = append(demands, Demand{fmt.Sprint(i), rapid.IntRange(1, 5).Draw(t, "weight"), rapid.Float64Range(0, 500).Draw(t, "rate")})
		}
		allocated := Divide(capacity, demands)
		total, demanded := 0.0, 0.0
		for i, got := range allocated {
			total += got
			demanded += demands[i].Rate
			if got > demands[i].Rate+tolerance {
				t.Fatalf("account %d gets %g, more than its demand of %g", i, got, demands[i].Rate)
			}
			for j := range allocated {
				unsatisfied := got < demands[i].Rate-tolerance
				if unsatisfied && allocated[j]/float64(demands[j].Weight) > got/float64(demands[i].Weight)+tolerance {
					t.Fatalf("account %d gets only %g by its weight while account %d gets %g", i, got, j, allocated[j])
				}
			}
		}
		if math.Abs(total-min(capacity, demanded)) > tolerance {
			t.Fatalf("%g was allocated with capacity %g and demand %g", total, capacity, demanded)
		}
	})
}
