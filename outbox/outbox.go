// Package outbox writes items, in order and several at a time, to a place that may be away.
package outbox

import (
	"sync"
	"time"
)

// A Config describes how items are written.
type Config[T any] struct {
	// Write writes items and reports whether that succeeded. They may have been written even
	// if it did not.
	Write func(items []T) bool
	// Sleep waits and reports whether items are still to be written. A Box whose Sleep has
	// returned false writes nothing more.
	Sleep func(time.Duration) bool
	// Keep reports whether an item that waits is still to be written. If it is nil, all are.
	Keep func(item T) bool
	// Again reports whether an item is to be written again after Write has failed. If it is
	// nil, all are.
	Again func(item T) bool
	// Dropped is called with the items that were dropped because too many wait.
	Dropped func(items []T)
	// MaxPending bounds the items that wait, and MaxBatch those of one Write. Both are
	// positive.
	MaxPending, MaxBatch int
	// Delay is how long items are collected before they are written.
	Delay time.Duration
	// MinBackoff and MaxBackoff bound the pause after Write has failed, which doubles each
	// time in a row.
	MinBackoff, MaxBackoff time.Duration
}

// A Box holds the items that wait. Create it with New.
type Box[T any] struct {
	config Config[T]

	mu sync.Mutex
	// pending holds the items that wait, oldest first.
	pending []T
	// writing is true while a goroutine writes. Only one does, so that items stay in order.
	writing bool
}

// New returns an empty box.
func New[T any](c Config[T]) *Box[T] { return &Box[T]{config: c} }

// Add adds items. If too many wait, the oldest are dropped.
func (b *Box[T]) Add(items ...T) {
	if len(items) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, items...)
	if excess := len(b.pending) - b.config.MaxPending; excess > 0 {
		b.config.Dropped(b.pending[:excess])
		b.pending = b.pending[excess:]
	}
	if !b.writing {
		b.writing = true
		go b.write()
	}
}

// Idle reports whether no item waits or is being written.
func (b *Box[T]) Idle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.writing
}

// write writes the items until none waits.
func (b *Box[T]) write() {
	pause, backoff := b.config.Delay, b.config.MinBackoff
	for b.config.Sleep(pause) {
		batch := b.next()
		if len(batch) == 0 {
			return
		}
		if b.config.Write(batch) {
			pause, backoff = b.config.Delay, b.config.MinBackoff
			continue
		}
		b.putBack(batch)
		pause, backoff = backoff, min(2*backoff, b.config.MaxBackoff)
	}
}

// next takes the oldest items. If there are none, the goroutine that writes ends.
func (b *Box[T]) next() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []T
	for len(b.pending) > 0 && len(batch) < b.config.MaxBatch {
		item := b.pending[0]
		b.pending = b.pending[1:]
		if b.config.Keep == nil || b.config.Keep(item) {
			batch = append(batch, item)
		}
	}
	b.writing = len(batch) > 0
	return batch
}

// putBack makes items that were not written the next ones.
func (b *Box[T]) putBack(batch []T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var again []T
	for _, item := range batch {
		if b.config.Again == nil || b.config.Again(item) {
			again = append(again, item)
		}
	}
	b.pending = append(again, b.pending...)
}
