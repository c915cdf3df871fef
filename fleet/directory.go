package fleet

import (
	"slices"
	"strings"
	"time"
)

// An Upstream is one process that serves calls, as it has registered itself.
type Upstream struct {
	// ID is unique among the upstreams that are registered at the same time.
	ID string
	// Born is when the process started, in milliseconds of Unix time. The same
	// ID with another Born is another process, which knows nothing of before.
	Born int64
	// Seq numbers the entries that the process has written.
	Seq     int64
	Service string
	// Addr is an IP address and port. It may pass to an upstream of another
	// service after this one has ended.
	Addr string
	Zone string
	// Slots is the number of requests that it runs at the same time.
	Slots int
	// Draining upstreams get no new work.
	Draining bool
	// Warmup is how much longer the upstream is slow after its start.
	Warmup time.Duration
}

// lapseGrace is how long after an outage of the store an upstream whose entry has
// expired is still kept: entries of live upstreams are back after two seconds.
const lapseGrace = 2200 * time.Millisecond

// A Directory holds the upstreams that are registered. The zero value is empty.
//
// An upstream whose entry goes is dropped at once, unless the store was away
// just before: then its lease may have run out only for that, and the upstream is
// kept for a while in case its entry comes back.
type Directory struct {
	entries map[string]*entry
	// calmAt is when expired entries count as gone again.
	calmAt time.Time
}

type entry struct {
	upstream Upstream
	// goneAt is when an upstream without an entry is dropped, or zero.
	goneAt time.Time
}

// StoreReturned notes that the store answers again after an outage.
func (d *Directory) StoreReturned(now time.Time) { d.calmAt = now.Add(lapseGrace) }

// Put takes in an entry and reports whether it changes anything.
func (d *Directory) Put(u Upstream) bool {
	if d.entries == nil {
		d.entries = make(map[string]*entry)
	}
	old := d.entries[u.ID]
	if old == nil {
		d.entries[u.ID] = &entry{upstream: u}
		return true
	}
	// An older process, or one that was leaving, does not come back.
	if u.Born < old.upstream.Born || u.Born == old.upstream.Born && u.Seq < old.upstream.Seq {
		return false
	}
	if u.Born == old.upstream.Born && old.upstream.Draining {
		u.Draining = true
	}
	before := old.upstream
	before.Seq, before.Warmup = u.Seq, u.Warmup
	changed := before != u
	old.upstream, old.goneAt = u, time.Time{}
	return changed
}

// Remove takes out the entry of an upstream and reports whether that changes
// anything.
func (d *Directory) Remove(now time.Time, id string) bool {
	e := d.entries[id]
	if e == nil {
		return false
	}
	if now.Before(d.calmAt) && !e.upstream.Draining {
		e.goneAt = d.calmAt
		return false
	}
	delete(d.entries, id)
	return true
}

// Replace takes in all entries at once: those that are not among them are removed.
func (d *Directory) Replace(now time.Time, upstreams []Upstream) bool {
	named := make(map[string]bool, len(upstreams))
	changed := false
	for _, u := range upstreams {
		named[u.ID] = true
		changed = d.Put(u) || changed
	}
	for id := range d.entries {
		if !named[id] {
			changed = d.Remove(now, id) || changed
		}
	}
	return changed
}

// Expire drops the upstreams whose entries have not come back.
func (d *Directory) Expire(now time.Time) bool {
	changed := false
	for id, e := range d.entries {
		if !e.goneAt.IsZero() && !now.Before(e.goneAt) {
			delete(d.entries, id)
			changed = true
		}
	}
	return changed
}

// Drain marks an upstream as leaving, as another node has heard it.
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
