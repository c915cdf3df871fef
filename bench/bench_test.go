package bench

import (
	"reflect"
	"testing"
)

// The targets that the policy is held to under each fault alone.
const (
	minOfBound   = 0.95
	minAccount   = 0.9
	maxRetryLoad = 0.10
	maxWasted    = 0.03
)

// eachRun measures the current policy at both sites under every fault.
func eachRun(t *testing.T, check func(t *testing.T, r Report)) {
	for _, site := range Sites() {
		for _, fault := range Faults() {
			t.Run(site.Name+"/"+fault.Name, func(t *testing.T) {
				t.Parallel()
				check(t, Run(site, fault, Current(), 1))
			})
		}
	}
}

func TestTargets(t *testing.T) {
	eachRun(t, func(t *testing.T, r Report) {
		if r.OfBound < minOfBound {
			t.Errorf("attained is %.4f of the bound, target %g", r.OfBound, minOfBound)
		}
		if r.Least < minAccount {
			t.Errorf("an account has %.3f of its fair share, target %g", r.Least, minAccount)
		}
		if r.RetryLoad > maxRetryLoad {
			t.Errorf("retries and hedges are %.4f of first attempts, target %g", r.RetryLoad, maxRetryLoad)
		}
	})
}

func TestWastedWork(t *testing.T) {
	eachRun(t, func(t *testing.T, r Report) {
		if r.Wasted > maxWasted {
			t.Errorf("wasted work is %.4f of the cost, target %g", r.Wasted, maxWasted)
		}
	})
}

func TestSameFigures(t *testing.T) {
	site, fault := Sites()[0], Faults()[7]
	if a, b := Run(site, fault, Current(), 3), Run(site, fault, Current(), 3); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs differ: %+v and %+v", a, b)
	}
}
