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
	gaps []gap
}

// A gap is a time in which a node had no view of the entries, which is the longest time for which
// the store can have been away.
type gap struct{ from, until time.Time }

// Add records a gap in the node's view of the entries that has ended, and reports whether the lease
// of a live upstream may have expired in it or in those before it. A store that is away again and
// again hardly lets upstreams renew their leases in between.
func (o *Outages) Add(from, until time.Time) bool {
	since := until.Add(-o.Lease.Length())
	o.gaps = slices.DeleteFunc(o.gaps, func(g gap) bool { return g.until.Before(since) })
	o.gaps = append(o.gaps, gap{from, until})
	var away time.Duration
	for _, g := range o.gaps {
		if g.from.Before(since) {
			g.from = since
		}
		away += g.until.Sub(g.from)
	}
	return away >= o.Lease.minOutage()
}
