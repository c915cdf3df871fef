package bench

import (
	"reflect"
	"testing"
)

// Targets of the current policy under each single fault.
const (
	minFractionOfBound = 0.95
	minAccount         = 0.9
	maxRetryLoad       = 0.10
	maxWasted          = 0.03
)

// forEachRun measures the current policy at both sites under every fault and checks
// each report.
func forEachRun(t *testing.T, check func(t *testing.T, r Report)) {
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
	forEachRun(t, func(t *testing.T, r Report) {
		if r.FractionOfBound < minFractionOfBound {
			t.Errorf("attained calls are %.4f of the bound, target %g", r.FractionOfBound, minFractionOfBound)
		}
		if r.MinAccount < minAccount {
			t.Errorf("an account attains %.3f of its fair share, target %g", r.MinAccount, minAccount)
		}
		if r.RetryLoad > maxRetryLoad {
			t.Errorf("retries and hedges are %.4f of first attempts, target %g", r.RetryLoad, maxRetryLoad)
		}
	})
}

func TestWastedWork(t *testing.T) {
	forEachRun(t, func(t *testing.T, r Report) {
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
