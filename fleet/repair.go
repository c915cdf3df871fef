package fleet

import "time"

const (
	// settleTime is how long a directory may differ from those of other nodes before it
	// counts as incomplete. Changes reach all nodes sooner.
	settleTime = 700 * time.Millisecond
	// repairInterval is the minimum time between two repairs.
	repairInterval = 2 * time.Second
)

// A Repair decides when a node that learns of changes from others has missed some, and
// must fetch the whole directory of another node. The zero value is ready to use.
type Repair struct {
	own uint64
	// differsSince is when the first of the fingerprints that differ from the node's own
	// was seen, or zero if the last one was equal.
	differsSince time.Time
	lastRepair   time.Time
}

// Needed reports whether the node must fetch the directory with the fingerprint other,
// given its own. Fingerprints that differ for a moment only show that a change is on its
// way.
func (r *Repair) Needed(now time.Time, own, other uint64) bool {
	if own == other {
		r.differsSince = time.Time{}
		return false
	}
	if own != r.own || r.differsSince.IsZero() {
		r.own, r.differsSince = own, now
		return false
	}
	if now.Sub(r.differsSince) < settleTime || now.Sub(r.lastRepair) < repairInterval {
		return false
	}
	r.lastRepair = now
	return true
}
