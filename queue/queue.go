// Package queue provides generic containers shared by the state machines of the system.
package queue

import (
	"container/heap"
	"time"
)

// Timers is a priority queue of values ordered by due time. The zero value is empty and
// ready to use. Values with the same due time are removed in insertion order.
type Timers[T any] struct {
	items timerHeap
	// values holds the values of the items by slot, and free the unused slots. Items
	// hold no values because the heap moves items, so they should be small.
	values []T
	free   []int32
	// lastSeq is the sequence number of the last added item. It breaks ties of due times.
	lastSeq uint64
}

type timer struct {
	due  time.Time
	seq  uint64
	slot int32
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if cmp := h[i].due.Compare(h[j].due); cmp != 0 {
		return cmp < 0
	}
	return h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]
	return item
}

// Add adds a value with the given due time.
func (t *Timers[T]) Add(due time.Time, value T) {
	t.lastSeq++
	heap.Push(&t.items, timer{due: due, seq: t.lastSeq, slot: t.store(value)})
}

// store stores a value and returns its slot.
func (t *Timers[T]) store(value T) int32 {
	if last := len(t.free) - 1; last >= 0 {
		slot := t.free[last]
		t.free = t.free[:last]
		t.values[slot] = value
		return slot
	}
	t.values = append(t.values, value)
	return int32(len(t.values) - 1)
}

// Len returns the number of values in the queue.
func (t *Timers[T]) Len() int { return len(t.items) }

// Next returns the earliest due time; ok is false when the queue is empty.
func (t *Timers[T]) Next() (due time.Time, ok bool) {
	if len(t.items) == 0 {
		return time.Time{}, false
	}
	return t.items[0].due, true
}

// Pop removes and returns the earliest value that is due at now; ok is false if there is
// none.
func (t *Timers[T]) Pop(now time.Time) (value T, ok bool) {
	if len(t.items) == 0 || t.items[0].due.After(now) {
		return value, false
	}
	slot := heap.Pop(&t.items).(timer).slot
	value = t.values[slot]
	var zero T
	t.values[slot] = zero
	t.free = append(t.free, slot)
	return value, true
}

// FIFOMap is a map that holds at most Limit entries and evicts the oldest one first. The
// zero value holds up to DefaultLimit entries. Putting an existing key again does not
// change its age.
type FIFOMap[K comparable, V any] struct {
	// Limit is the maximum number of entries; it must not change after the first Put.
	Limit  int
	values map[K]V
	// keys holds the keys of the entries from index head on, oldest first.
	keys []K
	head int
}

// DefaultLimit is the limit of a FIFOMap whose Limit is 0.
const DefaultLimit = 1024

// Put sets the value of key and evicts the oldest entry if the limit is exceeded.
func (m *FIFOMap[K, V]) Put(key K, value V) {
	if m.values == nil {
		m.values = make(map[K]V)
	}
	_, exists := m.values[key]
	m.values[key] = value
	if exists {
		return
	}
	m.keys = append(m.keys, key)
	limit := m.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	if len(m.keys)-m.head > limit {
		delete(m.values, m.keys[m.head])
		m.head++
	}
	if m.head > limit {
		m.keys = append([]K(nil), m.keys[m.head:]...)
		m.head = 0
	}
}

// Get returns the value of key.
func (m *FIFOMap[K, V]) Get(key K) (V, bool) {
	v, ok := m.values[key]
	return v, ok
}

// Len returns the number of entries.
func (m *FIFOMap[K, V]) Len() int { return len(m.values) }

// Keys returns the keys, oldest first.
func (m *FIFOMap[K, V]) Keys() []K { return append([]K(nil), m.keys[m.head:]...) }
