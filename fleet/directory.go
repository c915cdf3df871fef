package fleet

import (
	"slices"
	"strings"
	"time"

	"teaselplank/queue"
)

// An Upstream is the registration of one process that serves calls.
type Upstream struct {
	// ID is unique among the upstreams that are registered at the same time.
	ID string
	// Born is when the process started, in milliseconds of Unix time. The same ID
	// with another Born is another process, without the state of the earlier one.
	Born int64
	// Seq is the sequence number of the entry among those that the process wrote.
	Seq     int64
	Service string
	// Addr is an IP address and port. An upstream of another service may reuse it
	// after this one has ended.
	Addr string
	Zone string
	// Version is that of the upstream's software. Versions have no order.
	Version string
	// Slots is the number of requests that the upstream can run concurrently.
	Slots int
	// Draining upstreams get no new work.
	Draining bool
	// Warmup is the remaining time for which the upstream is cold after its start, as of the
	// time of its entry. WarmupUnstated is true if the entry does not say.
	Warmup         time.Duration
	WarmupUnstated bool
	// Position is that of the entry in the store's log, if it is known.
	Position Position
}

// A Position is a place in the store's log. The zero value is an unknown one.
type Position struct {
	Known bool
	// Epoch counts how often the store was restored from a copy. Offsets of different epochs
	// are not comparable.
	Epoch  int64
	Offset int64
}

// comparable reports whether it is known which of two positions comes first.
func (p Position) comparable(q Position) bool { return p.Known && q.Known && p.Epoch == q.Epoch }

// Replaces reports whether an entry belongs to a process that started after the one of another
// entry with the same ID. The store's log has entries in the order in which they were written. Start
// times, which decide where that is not known, do not follow it if the clock of a machine was set
// back.
func (u Upstream) Replaces(v Upstream) bool {
	switch {
	case u.Born == v.Born:
		return false
	case u.Position.comparable(v.Position):
		return u.Position.Offset > v.Position.Offset
	}
	return u.Born > v.Born
}

// rewriteTime is how long after a store outage live upstreams take at most to write their
// entries again.
const rewriteTime = 2 * time.Second

// A Directory holds the registered upstreams. The zero value is empty.
//
// An upstream whose entry disappears is removed at once, except shortly after a store
// outage in which its lease may have expired, or after the restoration of the store from a
// copy, in which its entry may be missing. The upstream stays until the end of a grace period
// then, in case its entry is written again.
//
// The directory remembers removed upstreams. An entry of one of them counts only if the
// process wrote it after the entry last seen, so that a restored store or a peer that
// missed the removal does not bring back an upstream that is gone.
type Directory struct {
	entries map[string]*entry
	// removed holds the last entry of each removed upstream by id, maxRemovals at most.
	removed queue.FIFOMap[string, Removal]
	// graceUntil is the end of the grace period after a store outage.
	graceUntil time.Time
}

// maxRemovals bounds the removed upstreams that a directory remembers; the oldest are
// forgotten. It exceeds the upstreams that are replaced within the time from which a
// store can be restored.
const maxRemovals = 4096

// A Removal identifies the last entry of an upstream that was removed.
type Removal struct {
	ID       string
	Born     int64
	Seq      int64
	Position Position
}

// entry returns what the removal says of the entry.
func (r Removal) entry() Upstream {
	return Upstream{ID: r.ID, Born: r.Born, Seq: r.Seq, Position: r.Position}
}

// covers reports whether an entry is not newer than the removal.
func (r Removal) covers(u Upstream) bool {
	if u.Born == r.Born {
		return u.Seq <= r.Seq
	}
	return !u.Replaces(r.entry())
}

type entry struct {
	upstream Upstream
	// removeAt is when an upstream without an entry is removed, or zero.
	removeAt time.Time
}

// StoreRecovered starts the grace period after a store outage in which leases may have expired
// (see Lease), or after a restoration of the store, given how much later than written entries are
// known.
func (d *Directory) StoreRecovered(now time.Time, lag time.Duration) {
	d.graceUntil = now.Add(rewriteTime + lag)
}

// GraceUntil returns the end of the latest grace period, or the zero time.
func (d *Directory) GraceUntil() time.Time { return d.graceUntil }

// EndGrace ends the grace period. Upstreams whose removal waited for its end expire.
func (d *Directory) EndGrace(now time.Time) {
	d.graceUntil = now
	for _, e := range d.entries {
		if !e.removeAt.IsZero() {
			e.removeAt = now
		}
	}
}

// Put adds or updates an entry. It reports whether the directory changes other than
// in the sequence number, position or warmup time of an upstream.
func (d *Directory) Put(u Upstream) bool {
	if d.entries == nil {
		d.entries = make(map[string]*entry)
	}
	old := d.entries[u.ID]
	// A known process is newer than the removal of another one.
	if r, ok := d.removed.Get(u.ID); ok && r.covers(u) && (old == nil || u.Born == r.Born) {
		return false
	}
	if old == nil {
		d.entries[u.ID] = &entry{upstream: u}
		return true
	}
	// Ignore entries of older processes and older entries of the same process. Draining
	// is permanent for a process.
	switch same := u.Born == old.upstream.Born; {
	case same && u.Seq < old.upstream.Seq, !same && !u.Replaces(old.upstream):
		return false
	case same && old.upstream.Draining:
		u.Draining = true
	case !same:
		d.remember(old.upstream)
	}
	previous := old.upstream
	previous.Seq, previous.Position, previous.Warmup, previous.WarmupUnstated = u.Seq, u.Position, u.Warmup, u.WarmupUnstated
	changed := previous != u
	old.upstream, old.removeAt = u, time.Time{}
	return changed
}

// Remove removes the entry of an upstream and reports whether the directory changes.
// During the grace period after a store outage it only schedules the removal, unless
// the upstream is draining.
func (d *Directory) Remove(now time.Time, id string) bool {
	e := d.entries[id]
	if e == nil {
		return false
	}
	if now.Before(d.graceUntil) && !e.upstream.Draining {
		e.removeAt = d.graceUntil
		return false
	}
	d.remove(e.upstream)
	return true
}

// remove removes an upstream and remembers its last entry.
func (d *Directory) remove(u Upstream) {
	d.remember(u)
	delete(d.entries, u.ID)
}

// remember records the last entry of a process that has ended.
func (d *Directory) remember(u Upstream) {
	d.removed.Limit = maxRemovals
	d.removed.Put(u.ID, Removal{ID: u.ID, Born: u.Born, Seq: u.Seq, Position: u.Position})
}

// Removed returns the removed upstreams that the directory remembers. It leaves out those whose ID
// has a process now that says it started earlier: a directory that cannot compare their positions
// would remove that process.
func (d *Directory) Removed() []Removal {
	removals := make([]Removal, 0, d.removed.Len())
	for _, id := range d.removed.Keys() {
		r, _ := d.removed.Get(id)
		if e := d.entries[id]; e != nil && e.upstream.Born < r.Born {
			continue
		}
		removals = append(removals, r)
	}
	return removals
}

// MergeRemoved removes upstreams that another node knows to be gone, unless they have
// written a newer entry. It reports whether the directory changes.
func (d *Directory) MergeRemoved(removals []Removal) bool {
	changed := false
	for _, r := range removals {
		known, ok := d.removed.Get(r.ID)
		if ok && !r.covers(known.entry()) {
			continue
		}
		e := d.entries[r.ID]
		if e != nil && !r.covers(e.upstream) {
			continue
		}
		changed = changed || e != nil
		d.remove(r.entry())
	}
	return changed
}

// Replace puts all given entries, removes all others and reports whether the
// directory changes.
func (d *Directory) Replace(now time.Time, upstreams []Upstream) bool {
	listed := make(map[string]bool, len(upstreams))
	changed := false
	for _, u := range upstreams {
		listed[u.ID] = true
		changed = d.Put(u) || changed
	}
	for id := range d.entries {
		if !listed[id] {
			changed = d.Remove(now, id) || changed
		}
	}
	return changed
}

// Expire removes the upstreams whose entries were not written again within the grace
// period. It returns their number.
func (d *Directory) Expire(now time.Time) int {
	before := len(d.entries)
	for _, e := range d.entries {
		if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
			d.remove(e.upstream)
		}
	}
	return before - len(d.entries)
}

// Deferred returns the number of upstreams whose removal waits for the end of the grace period.
func (d *Directory) Deferred() int {
	count := 0
	for _, e := range d.entries {
		if !e.removeAt.IsZero() {
			count++
		}
	}
	return count
}

// Drain marks an upstream process as draining, as reported by another node. It reports
// whether the directory changes.
func (d *Directory) Drain(id string, born int64) bool {
	e := d.entries[id]
	if e == nil || e.upstream.Born != born || e.upstream.Draining {
		return false
	}
	e.upstream.Draining = true
	return true
}

// Len returns the number of upstreams.
func (d *Directory) Len() int { return len(d.entries) }

// Get returns an upstream by its id.
func (d *Directory) Get(id string) (Upstream, bool) {
	e := d.entries[id]
	if e == nil {
		return Upstream{}, false
	}
	return e.upstream, true
}

// All returns all upstreams, sorted by id.
func (d *Directory) All() []Upstream {
	all := make([]Upstream, 0, len(d.entries))
	for _, e := range d.entries {
		all = append(all, e.upstream)
	}
	slices.SortFunc(all, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return all
}
