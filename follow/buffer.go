package follow

import (
	"cmp"
	"slices"
	"time"

	"teaselplank/infra"
)

const (
	// maxRecords bounds the changes that a buffer keeps; the oldest are dropped.
	maxRecords = 4096
	// maxWholeBytes bounds the records of all keys that are passed on at once.
	maxWholeBytes = 6 << 20
	// minRefresh is the interval at which the record of a key is passed on although its state
	// is unchanged. It bounds how long a follower lacks a record that it has missed, and by how
	// many entries its sequence numbers are behind. With more than 166 keys the interval is
	// refreshPerKey for each key, so that these records stay below 5 KB/s per follower.
	minRefresh    = 10 * time.Second
	refreshPerKey = 60 * time.Millisecond
	// trailTime is how far back a node starts to read the store after it has followed a reader.
	// It is longer than the heartbeat interval of upstreams, so that the node reads a heartbeat
	// of each.
	trailTime = 3 * time.Second
)

// A Record is a record of the stream with a hash of its state: records of a key with the same
// State differ only in what each heartbeat changes. A State of 0 equals no other.
type Record struct {
	infra.KeyedRecord
	State uint64
}

// A change is a record that is passed on. One that is not urgent waits for the next reply.
type change struct {
	record infra.KeyedRecord
	urgent bool
}

// A keyState is what a buffer knows of a key.
type keyState struct {
	record infra.KeyedRecord
	state  uint64
	// passed is true if the record itself was passed on, and passedAt when one was.
	passed   bool
	passedAt time.Time
}

// A mark is the offset of the end of the view at a time.
type mark struct {
	at  time.Time
	end int64
}

// A Buffer holds the newest record of each key of a stream and the latest changes, which a reader
// passes on to its followers. Each node keeps one, as it may become a reader. The zero
// value is empty.
//
// Heartbeats are not passed on. The last one of a key is passed on together with the removal
// of the key, so that followers remember the same sequence number of a removed upstream as
// the reader, and do not take an older entry for a new one after the store was restored.
type Buffer struct {
	// valid is true if the buffer has a whole view.
	valid bool
	epoch infra.Epoch
	// start and end are the offsets between which all changes are kept.
	start, end int64
	changes    []change
	keys       map[string]*keyState
	trail      []mark
}

// Reset empties the buffer, as after a restoration of the store.
func (b *Buffer) Reset() { *b = Buffer{} }

// SetWhole replaces the content by the newest record of each key.
func (b *Buffer) SetWhole(now time.Time, epoch infra.Epoch, end int64, records []Record) {
	*b = Buffer{valid: true, epoch: epoch, start: end, end: end, keys: make(map[string]*keyState, len(records))}
	for _, r := range records {
		if len(r.Value) > 0 {
			b.keys[r.Key] = &keyState{record: r.KeyedRecord, state: r.State, passed: true, passedAt: now}
		}
	}
	b.note(now)
}

// News returns the records that are new to the node. A node that has followed a reader reads
// some records before the end of its view again. Of these only heartbeats are new, as they were
// not passed on: a removal that is applied again would hide an upstream that has come back since.
func (b *Buffer) News(records []Record) []Record {
	if !b.valid || len(records) == 0 || records[0].Offset >= b.end {
		return records
	}
	return slices.DeleteFunc(records, func(r Record) bool {
		k := b.keys[r.Key]
		return r.Offset < b.end && (k == nil || r.State != k.state || r.Offset <= k.record.Offset)
	})
}

// Add adds the records from an offset up to end, without those that News leaves out. It
// reports whether there is something to pass on at once.
func (b *Buffer) Add(now time.Time, epoch infra.Epoch, from, end int64, records []Record) bool {
	if !b.valid || epoch != b.epoch || from > b.end {
		// There is a gap, which only a whole view closes.
		b.Reset()
		return false
	}
	urgent := false
	for _, r := range records {
		if k := b.keys[r.Key]; r.Offset < b.end && k != nil {
			k.record, k.passed = r.KeyedRecord, false
			continue
		}
		urgent = b.add(now, r) || urgent
	}
	b.end = max(b.end, end)
	if excess := len(b.changes) - maxRecords; excess > 0 {
		b.start = b.changes[excess-1].record.Offset + 1
		b.changes = slices.DeleteFunc(b.changes, func(c change) bool { return c.record.Offset < b.start })
	}
	b.note(now)
	return urgent
}

// add adds one record and reports whether it is to be passed on at once.
func (b *Buffer) add(now time.Time, r Record) bool {
	old := b.keys[r.Key]
	if len(r.Value) == 0 {
		if old != nil && !old.passed {
			last := old.record
			last.Offset = r.Offset
			b.changes = append(b.changes, change{last, true})
		}
		delete(b.keys, r.Key)
		b.changes = append(b.changes, change{r.KeyedRecord, true})
		return true
	}
	if old == nil || r.State == 0 || r.State != old.state {
		b.keys[r.Key] = &keyState{record: r.KeyedRecord, state: r.State, passed: true, passedAt: now}
		b.changes = append(b.changes, change{r.KeyedRecord, true})
		return true
	}
	old.record, old.passed = r.KeyedRecord, false
	if now.Sub(old.passedAt) >= max(minRefresh, time.Duration(len(b.keys))*refreshPerKey) {
		old.passed, old.passedAt = true, now
		b.changes = append(b.changes, change{r.KeyedRecord, false})
	}
	return false
}

// note records the end of the view for ReadFrom.
func (b *Buffer) note(now time.Time) {
	b.trail = append(b.trail, mark{now, b.end})
	for len(b.trail) > 1 && now.Sub(b.trail[1].at) >= trailTime {
		b.trail = b.trail[1:]
	}
}

// Valid reports whether the buffer has a whole view.
func (b *Buffer) Valid() bool { return b.valid }

// ReadFrom returns the offset at which a node begins to read by itself after it has followed
// a reader. It lies before the end of its view, so that the node sees a heartbeat of each
// upstream.
func (b *Buffer) ReadFrom() (offset int64, ok bool) {
	if !b.valid || len(b.trail) == 0 {
		return 0, false
	}
	return b.trail[0].end, true
}

// A Page is what a reader passes on to a follower.
type Page struct {
	Epoch   infra.Epoch
	Records []infra.KeyedRecord
	End     int64
	// Urgent is true if the page is to be sent at once rather than at the end of the long poll.
	Urgent bool
}

// Since returns the changes from an offset on. It returns false if the buffer does not have them;
// the page then has an End above 0 if Whole can supply the follower. If the epoch of the store is
// newer than the follower's, the page has no records, and the follower needs a whole view.
func (b *Buffer) Since(epoch infra.Epoch, from int64) (Page, bool) {
	switch {
	case !b.valid || epoch > b.epoch:
		return Page{}, false
	case epoch < b.epoch:
		return Page{Epoch: b.epoch, End: b.end, Urgent: true}, true
	case from < b.start:
		return Page{End: b.end}, false
	}
	// A follower that has followed another reader may be ahead of this one.
	page := Page{Epoch: b.epoch, End: max(b.end, from)}
	first, _ := slices.BinarySearchFunc(b.changes, from, func(c change, from int64) int { return cmp.Compare(c.record.Offset, from) })
	for _, c := range b.changes[first:] {
		page.Records = append(page.Records, c.record)
		page.Urgent = page.Urgent || c.urgent
	}
	return page, true
}

// Whole returns the newest record of each key, ordered by their offsets. It returns false if
// the buffer does not have them in the follower's epoch, or if they are too long for one reply.
func (b *Buffer) Whole(epoch infra.Epoch) (Page, bool) {
	if !b.valid || epoch > b.epoch {
		return Page{}, false
	}
	page := Page{Epoch: b.epoch, End: b.end, Urgent: true}
	size := 0
	for _, k := range b.keys {
		if size += len(k.record.Key) + len(k.record.Value); size > maxWholeBytes {
			return Page{}, false
		}
		page.Records = append(page.Records, k.record)
	}
	slices.SortFunc(page.Records, func(a, b infra.KeyedRecord) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Key, b.Key))
	})
	return page, true
}
