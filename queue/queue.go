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
	items timerHeap[T]
	// count numbers the entries, so that ties keep their order.
	count uint64
}

type timer[T any] struct {
	due   time.Time
	order uint64
	value T
}

type timerHeap[T any] []timer[T]

func (h timerHeap[T]) Len() int { return len(h) }

func (h timerHeap[T]) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].order < h[j].order
	}
	return h[i].due.Before(h[j].due)
}

func (h timerHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap[T]) Push(x any) { *h = append(*h, x.(timer[T])) }

func (h *timerHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer[T]{}
	*h = old[:len(old)-1]
	return last
}

// Add enters value, to be due at the given time.
func (t *Timers[T]) Add(due time.Time, value T) {
	t.count++
	heap.Push(&t.items, timer[T]{due: due, order: t.count, value: value})
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
	return heap.Pop(&t.items).(timer[T]).value, true
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
