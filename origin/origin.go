// Package origin keeps what a host knows about the software versions of upstreams: those
// that each service has had lately, and the one that began each stream. Events of
// different versions do not fit together, so that a stream may be resumed only at the
// version that began it.
//
// The types are plain data without a clock. They are not safe for concurrent use.
package origin

import (
	"time"

	"teaselplank/queue"
)

// Window is how long a version or a stream is remembered. It is longer than a stream
// lives, with all retries of its client.
const Window = 20 * time.Second

// A Record says which version a client's attempt was sent to.
type Record struct {
	// ID is the client's identifier of the attempt.
	ID      string
	Service string
	Version string
	// Attempt counts the records of the client's attempt. The one with the highest number
	// counts: the store may carry out an append again after later ones.
	Attempt int
}

// A Memory holds the newest records by ID, each for the duration Window. The zero value is
// empty.
type Memory struct {
	// Limit is the maximum number of records; it must not change after the first Put.
	// The default is that of queue.FIFOMap.
	Limit   int
	records queue.FIFOMap[string, entry]
}

type entry struct {
	record Record
	at     time.Time
}

// Put adds a record unless a later one of the same ID is known.
func (m *Memory) Put(now time.Time, r Record) {
	m.records.Limit = m.Limit
	if known, ok := m.records.Get(r.ID); ok && known.record.Attempt > r.Attempt {
		return
	}
	m.records.Put(r.ID, entry{record: r, at: now})
}

// Get returns the record of an ID and its age.
func (m *Memory) Get(now time.Time, id string) (r Record, age time.Duration, ok bool) {
	e, ok := m.records.Get(id)
	age = now.Sub(e.at)
	if !ok || age >= Window {
		return Record{}, 0, false
	}
	return e.record, age, true
}

// All returns all records, oldest first.
func (m *Memory) All(now time.Time) []Record {
	var list []Record
	for _, id := range m.records.Keys() {
		if r, _, ok := m.Get(now, id); ok {
			list = append(list, r)
		}
	}
	return list
}
