package relay

import (
	"context"
	"errors"
	"time"

	"teaselplank/follow"
	"teaselplank/hedge"
	"teaselplank/infra"
)

const (
	// storeTimeout bounds reading all newest records and writing the node's own entry.
	storeTimeout = 4 * time.Second
	// repeatReadAfter is how much longer than asked for a read may take before it is repeated
	// beside the first one. A store that was silent for a moment, or a link that was cut, never
	// answers the reads of that time.
	repeatReadAfter = 400 * time.Millisecond
)

// A pageAnswer is the store's answer to a read: a page, or that it does not have the offset.
type pageAnswer struct {
	page       infra.Page
	outOfRange error
}

// readPage reads all newest records, or the changes since the position of a cursor. It reports
// whether a repeat of the read was answered while the read itself was not.
func (s *Server) readPage(f feed, cursor *infra.Cursor, wait time.Duration) (page infra.Page, repeated bool, err error) {
	whole, from := cursor.Whole(), cursor.Next()
	if whole {
		wait = 0
	}
	ctx, cancel := f.reading.bound(s.context, wait, whole)
	defer cancel()
	s.mu.Lock()
	state := s.streamState(f.stream)
	state.cancel, state.waitsUntil = cancel, s.now().Add(wait)
	s.mu.Unlock()
	answer, number, err := hedge.Do(ctx, f.reading.hedging(wait), func(ctx context.Context, number int) (pageAnswer, error) {
		page, err := s.readOnce(ctx, f.stream, whole, from, waitOf(number, wait))
		if errors.Is(err, infra.ErrOffsetOutOfRange) {
			return pageAnswer{outOfRange: err}, nil
		}
		return pageAnswer{page: page}, err
	})
	if err == nil {
		err = answer.outOfRange
	}
	return answer.page, number > 0, err
}

// waitOf returns how long the call with a number waits for changes. Only the read itself does,
// not its repeats.
func waitOf(number int, wait time.Duration) time.Duration {
	if number > 0 {
		return 0
	}
	return wait
}

// readOnce reads all newest records, or the changes from an offset.
func (s *Server) readOnce(ctx context.Context, stream infra.Stream, whole bool, from int64, wait time.Duration) (infra.Page, error) {
	if whole {
		return s.registry.Newest(ctx, stream)
	}
	return s.registry.Changes(ctx, stream, from, wait)
}

func (s *Server) readNewest(stream infra.Stream) (infra.Page, error) {
	ctx, cancel := context.WithTimeout(s.context, storeTimeout)
	defer cancel()
	return s.registry.Newest(ctx, stream)
}

// bound returns the context of a read of the store, which the node can cancel. In a large
// deployment it bounds a read that waits for changes more closely.
func (r *reading) bound(ctx context.Context, wait time.Duration, whole bool) (context.Context, context.CancelFunc) {
	if whole {
		return context.WithTimeout(ctx, storeTimeout)
	}
	if r == nil || r.role() == follow.Alone {
		return context.WithCancel(ctx)
	}
	timeout := readerTimeout
	if r.failing() {
		timeout = retryTimeout
	}
	return context.WithTimeout(ctx, wait+timeout)
}

// hedging returns when a read of the store that waits for changes is repeated. The reads of a
// large deployment are not: they have close bounds, and other nodes read beside this one.
func (r *reading) hedging(wait time.Duration) hedge.Policy {
	if r != nil && r.role() != follow.Alone {
		return hedge.Policy{}
	}
	return hedge.Policy{After: wait + repeatReadAfter, Interval: repeatReadAfter}
}

// A storeRead is the outcome of a read of the store.
type storeRead struct {
	started time.Time
	// repeated is true if the store answered a repeat of the read, but not the read itself.
	repeated bool
	err      error
}

// recordStoreRead records the outcome of a read of the store and logs the start and
// end of a store outage.
func (s *Server) recordStoreRead(stream infra.Stream, read storeRead) {
	if errors.Is(read.err, context.Canceled) {
		// The node itself ended the read, so it says nothing about the store.
		return
	}
	now := s.now()
	ok := read.err == nil || errors.Is(read.err, infra.ErrOffsetOutOfRange)
	s.metrics.observeRead(stream, ok, now.Sub(read.started))
	if !ok {
		if !s.readings[stream].excuses(now) {
			s.viewFailed(stream, read.err)
		}
		return
	}
	s.metrics.views.WithLabelValues(string(stream), "store").Inc()
	s.viewed(stream, now, read.repeated)
}
