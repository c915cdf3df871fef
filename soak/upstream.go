package soak

import (
	"fmt"
	"slices"
	"time"

	"teaselplank/platform/stand"
)

// An upstream is a worker behind a proxy.
type upstream struct {
	worker    *stand.Worker
	proxy     *Proxy
	startedAt time.Time
	// leaving is true once another upstream replaces this one. drainingSince is when it
	// announced that in the store, or the zero time.
	leaving       bool
	drainingSince time.Time
	// ended is true once the upstream has ended for good.
	ended bool
	// silentUntil is the end of the current or last silence.
	silentUntil time.Time
	// limits are the limits that it has named, and limited is true while it names one.
	limits  []limitPeriod
	limited bool
}

// nextID returns the ID of the next upstream that is added.
func (d *deployment) nextID(service string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprint(service, "-", len(d.upstreams))
}

// addUpstream starts a worker of a kind behind a proxy. The worker needs only what the kind does
// not determine.
func (d *deployment) addUpstream(k upstreamKind, w *stand.Worker) error {
	w.Service, w.Kind, w.Slots, w.Events, w.Delay = k.service, k.workerKind, k.slots, d.streamEvents, k.delay
	w.WithLength = !w.CloseDelimited && w.Zone == "b"
	u := &upstream{worker: w}
	if d.hosts != nil {
		w.Warmup = d.warmupOf(k.service)
	}
	if k.workerKind == stand.Engine && d.crashPart != nil {
		u.worker.CrashParts = []*stand.CrashPart{d.crashPart}
	}
	if k.workerKind == stand.Plain {
		u.worker.CrashRequests = d.crashRequests
	}
	u.worker.Advertise = func(addr string) (string, error) {
		if u.proxy != nil {
			u.proxy.SetTarget(addr) // The worker has started again.
			return u.proxy.Addr(), nil
		}
		var err error
		if u.proxy, err = NewProxy(addr); err != nil {
			return "", fmt.Errorf("start proxy to the upstream: %w", err)
		}
		return u.proxy.Addr(), nil
	}
	if d.options.reportsLoad() {
		u.worker.SetSlowness(usualSlowness)
	}
	if err := u.worker.Start(d.store); err != nil {
		return fmt.Errorf("start upstream %q: %w", w.ID, err)
	}
	u.startedAt = time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams = append(d.upstreams, u)
	return nil
}

// minSilenceGap is the time that an upstream has between two silences.
const minSilenceGap = time.Second

// targetUpstream returns the upstream that a step selects. A silence affects the next one
// that was not silent lately, so that no silence is longer than its step; the result is nil
// if there is none.
func (d *deployment) targetUpstream(s Step) *upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.Action != UpstreamSilence {
		return d.upstreams[s.Target%len(d.upstreams)]
	}
	now := time.Now()
	for i := range d.upstreams {
		u := d.upstreams[(s.Target+i)%len(d.upstreams)]
		if now.After(u.silentUntil.Add(minSilenceGap)) {
			u.silentUntil = now.Add(s.Duration)
			return u
		}
	}
	return nil
}

var injectedFaults = []stand.Fault{stand.FaultRefuse, stand.FaultDropConnection, stand.FaultServerError, stand.FaultWrongID, stand.FaultTruncateStream, stand.FaultExtraResponse}

// drillFaults are the additional faults of upstreams in runs with drills.
var drillFaults = slices.Concat(
	[]stand.Fault{stand.FaultNoSeal, stand.FaultTruncateBody, stand.FaultLateCopy, stand.FaultStallStream}, stand.EndlessFaults, stand.ForeignFaults,
)

func (o Options) faults() []stand.Fault {
	if o.Kind == Drills {
		return slices.Concat(injectedFaults, drillFaults)
	}
	return injectedFaults
}

// replaceUpstream starts another upstream of the same kind and lets the given one announce
// that it is leaving.
func (d *deployment) replaceUpstream(u *upstream, announce func(*upstream)) error {
	d.mu.Lock()
	leaving := u.leaving
	u.leaving = true
	d.mu.Unlock()
	if leaving {
		return nil
	}
	for _, k := range d.upstreamKinds {
		if k.service == u.worker.Service {
			w := &stand.Worker{ID: d.nextID(k.service), Zone: u.worker.Zone, Version: u.worker.Version, CloseDelimited: u.worker.CloseDelimited}
			if err := d.addUpstream(k, w); err != nil {
				return err
			}
		}
	}
	announce(u)
	return nil
}

func (d *deployment) drainUpstream(u *upstream) {
	d.mu.Lock()
	u.drainingSince = time.Now()
	d.mu.Unlock()
	u.worker.Drain()
}
