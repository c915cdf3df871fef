package proxy

import (
	"fmt"
	"testing"
	"time"

	"teaselplank/fleet"
)

// registerDesks registers a number of upstreams of the desk and those of no other service.
func (h *harness) registerDesks(count int) {
	var upstreams []fleet.Upstream
	for i := range count {
		upstreams = append(upstreams, fleet.Upstream{ID: fmt.Sprint("desk", i), Born: 2, Service: "desk", Zone: "a", Slots: 4})
	}
	h.step(UpstreamsRegistered{Upstreams: upstreams})
}

// The retries of a service must count although it has lost its last upstream meanwhile.
func TestRetryBudgetLostWithLastUpstream(t *testing.T) {
	h := newHarness(t)
	h.registerDesks(3)
	h.arrive("/safe/")
	h.respond(1, 503, true)
	before := h.node.RetriesLeft(h.now)["desk"]
	h.registerDesks(0)
	h.now = h.now.Add(time.Second)
	h.registerDesks(3)
	if left := h.node.RetriesLeft(h.now)["desk"]; left != before {
		t.Errorf("%.2f retries are left after the service had no upstream, want %.2f as before", left, before)
	}
}

// Budgets of services that are gone are forgotten once they are as good as new.
func TestRetryBudgetsAreForgotten(t *testing.T) {
	h := newHarness(t)
	for i := range 100 {
		h.step(UpstreamsRegistered{Upstreams: []fleet.Upstream{{ID: "u", Born: int64(i), Service: fmt.Sprint("service", i), Slots: 4}}})
	}
	if got := len(h.node.retryBudgets); got > 2 {
		t.Errorf("%d budgets are kept, want those of services with upstreams", got)
	}
}
