// Package evac tracks which availability zones the operator has evacuated: their upstreams get
// no new work until the evacuation ends. The state comes from the operator's records in the
// platform's store, as read by this node or another one. The package has no clock and no I/O.
package evac

import (
	"slices"

	"teaselplank/queue"
)

// A State says whether a zone is evacuated, as of a record of the store.
type State struct {
	Zone      string
	Evacuated bool
	// Epoch is that of the store, and Offset that of the record in the store of that epoch.
	Epoch, Offset int64
}

// Supersedes reports whether a state is newer than another one of its zone. The records of a
// restored store are newer than all of the store before, whose offsets are given out again.
func (s State) Supersedes(old State) bool {
	if s.Epoch != old.Epoch {
		return s.Epoch > old.Epoch
	}
	return s.Offset > old.Offset
}

// A Record is a record of the operator on a zone.
type Record struct {
	Zone   string
	Offset int64
	// Present is false if the record removes its key. Unreadable records are present and say
	// nothing.
	Present    bool
	Unreadable bool
}

// A Page holds the records of one read of the store.
type Page struct {
	Records []Record
	// Whole is true if the page has the newest record of each key that is present. Otherwise
	// it has the records from an offset on.
	Whole bool
	// Epoch is that of the store, and End the offset after the last record that the page
	// covers.
	Epoch, End int64
}

// maxZones bounds the number of zones in a Table; the oldest are removed.
const maxZones = 256

// A Table holds the newest known state of each zone. In the zero value no zone is evacuated.
type Table struct {
	states queue.FIFOMap[string, State]
	// All records before the offset end of the store in an epoch were read, if read is true.
	read       bool
	epoch, end int64
	// unreadable holds the zones of which an unreadable record was read.
	unreadable queue.FIFOMap[string, struct{}]
}

// Read records a page and returns the states that are new, also those of which only the
// version is.
func (t *Table) Read(p Page) []State {
	var news []State
	listed := make(map[string]bool)
	t.read, t.epoch, t.end = t.read || p.Whole, p.Epoch, p.End
	t.unreadable.Limit = maxZones
	for _, r := range p.Records {
		listed[r.Zone] = true
		if r.Unreadable {
			t.unreadable.Put(r.Zone, struct{}{})
			continue
		}
		s := State{Zone: r.Zone, Evacuated: r.Present, Epoch: p.Epoch, Offset: r.Offset}
		if t.Merge(s) {
			news = append(news, s)
		}
	}
	if !p.Whole {
		return news
	}
	for _, known := range t.All() {
		// A store that was restored from a copy may have lost the record. That it is missing
		// says something only in the epoch of the record.
		if listed[known.Zone] || !known.Evacuated || known.Epoch != p.Epoch {
			continue
		}
		s := State{Zone: known.Zone, Epoch: p.Epoch, Offset: p.End - 1}
		if t.Merge(s) {
			news = append(news, s)
		}
	}
	return news
}

// Learn records a state that another node knows. It returns the state that is
// new to this node: that of the other node, or a later one if this node has read that the record
// is gone, so that the evacuation has ended.
func (t *Table) Learn(s State) (news State, ok bool) {
	old, known := t.states.Get(s.Zone)
	_, isUnreadable := t.unreadable.Get(s.Zone)
	isNew := !known || s.Supersedes(old)
	if isNew && !isUnreadable && t.read && s.Epoch == t.epoch && s.Offset < t.end {
		s = State{Zone: s.Zone, Epoch: t.epoch, Offset: t.end - 1}
	}
	return s, t.Merge(s)
}

// Merge records a state and reports whether it is newer than the one known.
func (t *Table) Merge(s State) bool {
	old, known := t.states.Get(s.Zone)
	if s.Zone == "" || known && !s.Supersedes(old) {
		return false
	}
	t.states.Limit = maxZones
	t.states.Put(s.Zone, s)
	return true
}

// State returns what is known of a zone.
func (t *Table) State(zone string) State {
	s, _ := t.states.Get(zone)
	return s
}

// All returns what is known of all zones, also of those whose evacuation has ended.
func (t *Table) All() []State {
	var all []State
	for _, zone := range t.states.Keys() {
		s, _ := t.states.Get(zone)
		all = append(all, s)
	}
	return all
}

// Zones returns the zones that are evacuated, sorted.
func (t *Table) Zones() []string {
	var zones []string
	for _, s := range t.All() {
		if s.Evacuated {
			zones = append(zones, s.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}
