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
}

// rewriteTime is how long after a store outage live upstreams take at most to write their
// entries again.
const rewriteTime = 2 * time.Second

// A Directory holds the registered upstreams. The zero value is empty.
//
// An upstream whose entry disappears is removed at once, except shortly after a store
// outage or the restoration of the store from a copy. Its lease may then have expired only
// because of the outage, or its entry may be missing in the copy, so the upstream stays
// until the end of the grace period in case its entry is written again.
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
	ID   string
	Born int64
	Seq  int64
}

// covers reports whether an entry is not newer than the removal.
func (r Removal) covers(u Upstream) bool {
	return u.Born < r.Born || u.Born == r.Born && u.Seq <= r.Seq
}

type entry struct {
	upstream Upstream
	// removeAt is when an upstream without an entry is removed, or zero.
	removeAt time.Time
}

// StoreRecovered starts the grace period after a store outage or a restoration of the
// store, given how much later than written entries are known.
func (d *Directory) StoreRecovered(now time.Time, lag time.Duration) {
	d.graceUntil = now.Add(rewriteTime + lag)
}

// Put adds or updates an entry. It reports whether the directory changes other than
// in the sequence number or warmup time of an upstream.
func (d *Directory) Put(u Upstream) bool {
	if d.entries == nil {
		d.entries = make(map[string]*entry)
	}
	if r, ok := d.removed.Get(u.ID); ok && r.covers(u) {
		return false
	}
	old := d.entries[u.ID]
	if old == nil {
		d.entries[u.ID] = &entry{upstream: u}
		return true
	}
	// Ignore entries of older processes and older entries of the same process. Draining
	// is permanent for a process.
	if u.Born < old.upstream.Born || u.Born == old.upstream.Born && u.Seq < old.upstream.Seq {
		return false
	}
	if u.Born == old.upstream.Born && old.upstream.Draining {
		u.Draining = true
	}
	previous := old.upstream
	previous.Seq, previous.Warmup, previous.WarmupUnstated = u.Seq, u.Warmup, u.WarmupUnstated
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
	d.removed.Limit = maxRemovals
	d.removed.Put(u.ID, Removal{ID: u.ID, Born: u.Born, Seq: u.Seq})
	delete(d.entries, u.ID)
}

// Removed returns the removed upstreams that the directory remembers.
func (d *Directory) Removed() []Removal {
	removals := make([]Removal, 0, d.removed.Len())
	for _, id := range d.removed.Keys() {
		r, _ := d.removed.Get(id)
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
		if ok && !r.covers(Upstream{Born: known.Born, Seq: known.Seq}) {
			continue
		}
		e := d.entries[r.ID]
		if e != nil && !r.covers(e.upstream) {
			continue
		}
		changed = changed || e != nil
		d.remove(Upstream{ID: r.ID, Born: r.Born, Seq: r.Seq})
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
