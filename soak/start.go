package soak

import (
	"fmt"
	"slices"
	"time"

	"teaselplank/platform/stand"
)

const (
	// Upstreams of warmupServices are cold for the time warmup after their start, and a cold
	// one takes warmupRate requests per second. In any second it must not get more than
	// coldMost: 1.5 times the rate, and 5 requests.
	warmup     = 3 * time.Second
	warmupRate = 11
	coldMost   = 21
	// evacuationBound is the time within which an evacuated zone gets no new work.
	evacuationBound = 5 * time.Second
)

var warmupServices = []string{stand.ServiceDesk, stand.ServiceEngine}

// An evacuation is a time in which a zone was evacuated.
type evacuation struct {
	zone     string
	from, to time.Time
}

// warmupOf returns how long an upstream is cold that starts now, or returns from an evacuation.
func (d *deployment) warmupOf(service string) time.Duration {
	if d.options.Kind != Starts || !slices.Contains(warmupServices, service) {
		return 0
	}
	return warmup
}

// evacuate evacuates a zone for the duration of a step, if no other one is evacuated. Its
// upstreams are cold when it returns.
func (d *deployment) evacuate(s Step) {
	if !d.evacuating.TryLock() {
		return
	}
	defer d.evacuating.Unlock()
	e := evacuation{zone: zones[s.Target%len(zones)], from: time.Now()}
	stand.Evacuate(d.store, e.zone)
	time.Sleep(s.Duration)
	d.mu.Lock()
	for _, u := range d.upstreams {
		if w := d.warmupOf(u.worker.Service); u.worker.Zone == e.zone && w > 0 {
			u.worker.SetWarmup(w)
			u.worker.Chill()
		}
	}
	e.to = time.Now()
	d.evacuations = append(d.evacuations, e)
	d.mu.Unlock()
	stand.Return(d.store, e.zone)
}

// checkStarts checks that cold upstreams got no more than they announce, from all hosts
// together, and that evacuated zones got nothing new. A frozen host may not know of an
// evacuation when it continues.
func (d *deployment) checkStarts() []string {
	var violations []string
	for _, u := range d.upstreams {
		if got, _ := u.worker.ColdArrivals(); got > coldMost {
			violations = append(violations, fmt.Sprintf("upstream %s got %d requests in a second while it was cold, %d are allowed", u.worker.ID, got, coldMost))
		}
		for _, e := range d.evacuations {
			from := e.from.Add(evacuationBound)
			if u.worker.Zone != e.zone || d.faultDuring(nil, from, e.to, Pause) {
				continue
			}
			if got := u.worker.ArrivalsBetween(from, e.to); got > 0 {
				violations = append(violations, fmt.Sprintf("upstream %s got %d requests from %s to %s, while its zone was evacuated", u.worker.ID, got, from.Format(clockFormat), e.to.Format(clockFormat)))
			}
		}
	}
	return violations
}
