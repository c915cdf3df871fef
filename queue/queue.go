// Package queue holds the generic containers that the reducers share.
package queue

import (
	"container/heap"
	"time"
)

// Timers is a queue of values ordered by the time at which they are due. The
// zero value is empty and ready to use. Values that are due at the same time
// leave in the order in which they entered.
type Timers[T any] struct {
	items timerHeap
	// values holds the values of the items by their slot; free are the slots
	// that are not in use. Items stay small, for the heap moves them around.
	values []T
	free   []int32
	// count numbers the entries, so that ties keep their order.
	count uint64
}

type timer struct {
	due   time.Time
	order uint64
	slot  int32
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if order := h[i].due.Compare(h[j].due); order != 0 {
		return order < 0
	}
	return h[i].order < h[j].order
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]
	return item
}

// Add enters value, to be due at the given time.
func (t *Timers[T]) Add(due time.Time, value T) {
	t.count++
	heap.Push(&t.items, timer{due: due, order: t.count, slot: t.keep(value)})
}

// keep stores a value and returns its slot.
func (t *Timers[T]) keep(value T) int32 {
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

// Pop removes and returns the earliest value that is due at now.
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

// Recent is a map that keeps only the entries put last, Limit at most. The
// zero value keeps DefaultRecent entries. Putting a key again does not move
// it.
type Recent[K comparable, V any] struct {
	// Limit bounds the number of entries; it must not change after Put.
	Limit  int
	values map[K]V
	// order holds the keys of values, oldest first, from head on.
	order []K
	head  int
}

// DefaultRecent is the limit of a Recent whose Limit is 0.
const DefaultRecent = 1024

// Put sets the value of key and drops the oldest entry when over the limit.
func (r *Recent[K, V]) Put(key K, value V) {
	if r.values == nil {
		r.values = make(map[K]V)
	}
	_, known := r.values[key]
	r.values[key] = value
	if known {
		return
	}
	r.order = append(r.order, key)
	limit := r.Limit
	if limit == 0 {
		limit = DefaultRecent
	}
	if len(r.order)-r.head > limit {
		delete(r.values, r.order[r.head])
		r.head++
	}
	if r.head > limit {
		r.order = append([]K(nil), r.order[r.head:]...)
		r.head = 0
	}
}

// Get returns the value of key.
func (r *Recent[K, V]) Get(key K) (V, bool) {
	v, ok := r.values[key]
	return v, ok
}

// Len returns the number of entries.
func (r *Recent[K, V]) Len() int { return len(r.values) }

// Keys returns the keys, oldest first.
func (r *Recent[K, V]) Keys() []K { return append([]K(nil), r.order[r.head:]...) }
