package relay

import (
	"context"
	"errors"
	"time"

	"teaselplank/infra"
)

const (
	// upstreamWait is how long a read waits for a change of the upstreams, whose entries change
	// constantly.
	upstreamWait = 1500 * time.Millisecond
	// minUpstreamPause and maxUpstreamPause bound the pause between two reads of the
	// upstreams. The pause is minimal up to nodesAtMinPause nodes and grows with
	// their number, because the first node that reads that an upstream is leaving
	// informs the others. The maximum leaves time to react to a leaving upstream
	// within two seconds.
	minUpstreamPause = 450 * time.Millisecond
	maxUpstreamPause = 1200 * time.Millisecond
	nodesAtMinPause  = 12
	// maxReadTime bounds the time of a read that finds changes, while the store serves.
	maxReadTime = 200 * time.Millisecond
	// minReadBackoff and maxReadBackoff bound the backoff after a failed read.
	minReadBackoff = 150 * time.Millisecond
	maxReadBackoff = 900 * time.Millisecond
	// storeOutageAfter is how long reads must fail before the node assumes a store
	// outage.
	storeOutageAfter = 1200 * time.Millisecond
	// probeWait is how long the read after a failed one waits for changes. It is short,
	// because a silent store may never answer that read, which then delays the next ones.
	probeWait = 300 * time.Millisecond
)

// A feed describes how a stream is read.
type feed struct {
	stream infra.Stream
	// wait returns how long a read waits for changes, and pause the time between two
	// reads.
	wait  func() time.Duration
	pause func() time.Duration
	// apply applies a page: the newest record of each key, or changes in order.
	apply func(page infra.Page, all bool)
	// reading decides whether the node reads the stream itself or learns its records from
	// another node. If it is nil, each node reads the stream.
	reading *reading
	// observe, if set, gets each page before its records are applied.
	observe func(page infra.Page, all bool)
	// missed, if set, is called after records were applied that a read may have missed while it
	// waited: it or one that was sent in its place returned them late.
	missed func()
}

func (s *Server) followConfig() {
	s.follow(feed{
		stream: infra.StreamConfig, wait: s.configWait, pause: always(0),
		apply: s.applyConfigPage, observe: s.observeEvacuations, missed: s.spreadConfig,
	})
}

func (s *Server) followUpstreams() {
	s.follow(feed{
		stream: infra.StreamUpstreams, wait: always(upstreamWait), pause: s.upstreamPause,
		apply: s.applyUpstreamPage, reading: s.readings[infra.StreamUpstreams],
	})
}

// always returns a function that returns d.
func always(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

// upstreamPause returns the pause between two reads of the upstreams.
func (s *Server) upstreamPause() time.Duration {
	return upstreamPauseFor(s.nodeCount())
}

// upstreamsLag returns how much later than written the node knows an entry of an upstream at
// most while the store serves. The lock must be held.
func (s *Server) upstreamsLag() time.Duration {
	return upstreamPauseFor(s.countNodes()) + maxReadTime
}

// nodeCount returns the number of nodes, with this one.
func (s *Server) nodeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countNodes()
}

// countNodes is nodeCount. The lock must be held.
func (s *Server) countNodes() int { return len(s.group.Peers()) + 1 }

func upstreamPauseFor(nodes int) time.Duration {
	pause := minUpstreamPause * time.Duration(nodes) / nodesAtMinPause
	return min(max(pause, minUpstreamPause), maxUpstreamPause)
}

// A streamState is the state of reading a stream of the store. The zero value has read
// nothing.
type streamState struct {
	// lastRead is when the view was last known to be whole, or when the node started
	// reading. known is true once it was. since is when it was first so after the last failed
	// call.
	lastRead, since time.Time
	known           bool
	// failing is true if the last read failed.
	failing bool
	// cancel cancels the latest read for changes, which waits for them until waitsUntil. It is
	// nil before the first one.
	cancel     context.CancelFunc
	waitsUntil time.Time
}

// streamState returns the state of reading a stream. The lock must be held.
func (s *Server) streamState(stream infra.Stream) *streamState {
	state := s.streams[stream]
	if state == nil {
		state = &streamState{lastRead: s.now()}
		s.streams[stream] = state
	}
	return state
}

// viewed records that the view was whole at a time, either for the first time after calls of the store
// have failed or not.
func (s *streamState) viewed(at time.Time, afterFailure bool) {
	if !s.known || afterFailure {
		s.since = at
	}
	s.known, s.failing = true, false
	if at.After(s.lastRead) {
		s.lastRead = at
	}
}

// follow reads a stream while the server is open and passes the pages to apply: all
// newest records at first, after a gap and after the store was restored, changes
// otherwise.
func (s *Server) follow(f feed) {
	var cursor infra.Cursor
	backoff, pollWait, resent := minReadBackoff, f.wait(), false
	for s.context.Err() == nil {
		if !s.readsNext(f, &cursor) {
			continue
		}
		started := s.now()
		all, from := cursor.Whole(), cursor.Next()
		page, repeated, err := s.readPage(f, &cursor, pollWait)
		s.recordStoreRead(f.stream, storeRead{started: started, repeated: repeated, err: err})
		f.reading.ownRead(s.now(), err)
		if err == nil {
			s.observeEpoch(page.Epoch)
		}
		late := repeated || resent || s.now().Sub(started) >= pollWait
		resent = errors.Is(err, context.Canceled)
		pollWait = f.reading.wait(f.wait())
		if err != nil && !resent {
			pollWait = min(pollWait, probeWait)
		}
		switch {
		case errors.Is(err, infra.ErrOffsetOutOfRange):
			cursor.Reset()
		case errors.Is(err, context.Canceled):
		case err != nil && f.reading.decidesRetry():
			// The node learns the records from others meanwhile.
		case err != nil:
			s.sleep(backoff)
			backoff = min(2*backoff, maxReadBackoff)
		case cursor.Advance(page):
			backoff = minReadBackoff
			s.applyNews(f, news{page: page, all: all, from: from, late: late})
			s.sleep(f.reading.pause(f.pause()))
		default:
			f.reading.reset()
		}
	}
}

// The news of a stream are a page that a read has returned, of which a part may be known already.
type news struct {
	page infra.Page
	// all is true if the page has the newest record of each key, and not the changes from the
	// offset from on.
	all  bool
	from int64
	// late is true if a read before may have missed the changes.
	late bool
}

// applyNews passes on what a page says that is new.
func (s *Server) applyNews(f feed, n news) {
	if f.observe != nil {
		f.observe(n.page, n.all)
	}
	n.page.Records = f.reading.add(s.now(), n.all, n.from, n.page)
	if !n.all && len(n.page.Records) == 0 {
		return
	}
	f.apply(n.page, n.all)
	if n.late && !n.all && f.missed != nil {
		f.missed()
	}
}

// observeEpoch starts a grace period for upstreams if the store was restored from a copy,
// restarts the reads that wait for changes, and lets the node write its own entry again.
func (s *Server) observeEpoch(epoch infra.Epoch) {
	s.mu.Lock()
	before, known := s.epoch, s.epochKnown
	if known && epoch <= before {
		s.mu.Unlock()
		return
	}
	s.epoch, s.epochKnown = epoch, true
	if known {
		s.directory.StoreRecovered(s.now(), s.upstreamsLag())
		for _, state := range s.streams {
			state.cancelRead()
		}
	}
	s.mu.Unlock()
	if !known {
		return
	}
	s.origins.Restored()
	s.logger.Warn("store was restored from a copy", "epoch", int64(epoch), "before", int64(before))
	select {
	case s.restored <- struct{}{}:
	default:
		// The loop has not handled the restoration before this one yet.
	}
}

// upstreamsAge returns the time since the upstreams were last read from the store.
func (s *Server) upstreamsAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Sub(s.streamState(infra.StreamUpstreams).lastRead)
}

// cancelRead cancels the latest read for changes, so that a new one starts. The lock must
// be held.
func (s *streamState) cancelRead() {
	if s.cancel != nil {
		s.cancel()
	}
}

// storeOutage reports whether the upstreams cannot be read from the store. The lock
// must be held.
func (s *Server) storeOutage() bool { return s.cannotRead(infra.StreamUpstreams) }

// cannotRead reports whether a stream cannot be read from the store. The lock must be held.
func (s *Server) cannotRead(stream infra.Stream) bool {
	state := s.streams[stream]
	return state == nil || state.failing && s.now().Sub(state.lastRead) > storeOutageAfter
}
