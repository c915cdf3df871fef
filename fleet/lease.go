package fleet

import (
	"cmp"
	"slices"
	"time"
)

// DefaultHeartbeat is the default time between two renewals of a lease.
const DefaultHeartbeat = 1200 * time.Millisecond

// leaseHeartbeats is the number of heartbeats without a renewal after which a lease expires.
const leaseHeartbeats = 3

// A Lease tells when an upstream's entry in the store expires. The zero value has the default
// heartbeat.
type Lease struct {
	// Heartbeat is the time between two renewals, or 0 for DefaultHeartbeat.
	Heartbeat time.Duration
}

// Length returns the time from the last renewal until the entry expires.
func (l Lease) Length() time.Duration { return leaseHeartbeats * l.heartbeat() }

func (l Lease) heartbeat() time.Duration { return cmp.Or(l.Heartbeat, DefaultHeartbeat) }

// minOutage returns the length of the shortest outage of the store in which the lease of a live
// upstream may expire. The last renewal before it is one heartbeat old, or one and a half if the
// next one is late.
func (l Lease) minOutage() time.Duration { return l.Length() - l.heartbeat()*3/2 }

// Outages decides whether leases of live upstreams may have expired because the store was away.
// The zero value has seen no outage.
type Outages struct {
	// Lease is that of the upstreams' entries.
	Lease Lease
	// gaps are the last ones, in the order in which they ended.
	gaps []Gap
}

// A Gap is a time in which a node had no view of the entries, which is the longest time for which
// the store can have been away.
type Gap struct{ From, Until time.Time }

// A View is a time in which a node had a view of the entries without a gap after failed calls.
type View struct{ Since, Until time.Time }

// Add records a gap that has ended, and reports whether the lease of a live upstream may have
// expired in it or in those before it. A store that is away again and again hardly lets upstreams
// renew their leases in between.
func (o *Outages) Add(g Gap) (expired bool) {
	since := g.Until.Add(-o.Lease.Length())
	o.gaps = slices.DeleteFunc(o.gaps, func(old Gap) bool { return old.Until.Before(since) })
	o.gaps = append(o.gaps, g)
	return o.mayHaveExpired()
}

// Narrow takes out of the gaps what another node has seen: the store served then. It reports
// whether the lease of a live upstream may have expired in the rest.
func (o *Outages) Narrow(v View) (expired bool) {
	for i, g := range o.gaps {
		if !v.Since.After(g.From) && v.Until.After(g.From) {
			o.gaps[i].From = v.Until
		}
	}
	return o.mayHaveExpired()
}

// mayHaveExpired reports whether the gaps within the lease before the last one's end are long
// enough together for a lease to expire.
func (o *Outages) mayHaveExpired() bool {
	if len(o.gaps) == 0 {
		return false
	}
	since := o.gaps[len(o.gaps)-1].Until.Add(-o.Lease.Length())
	var away time.Duration
	for _, g := range o.gaps {
		if g.From.Before(since) {
			g.From = since
		}
		away += max(g.Until.Sub(g.From), 0)
	}
	return away >= o.Lease.minOutage()
}
