package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"teaselplank/batch"
	"teaselplank/fleet"
	"teaselplank/infra"
	"teaselplank/member"
	"teaselplank/proxy"
)

const (
	// configWait is how long a read waits for a change of the configuration.
	configWait = 15 * time.Second
	// upstreamWait is the same for the upstreams, whose entries change constantly.
	upstreamWait = 2 * time.Second
	// minUpstreamPause and maxUpstreamPause bound the pause between two reads of the
	// upstreams. The pause is minimal up to nodesAtMinPause nodes and grows with
	// their number, because the first node that reads that an upstream is leaving
	// informs the others. The maximum leaves time to react to a leaving upstream
	// within two seconds.
	minUpstreamPause = 450 * time.Millisecond
	maxUpstreamPause = 1200 * time.Millisecond
	nodesAtMinPause  = 12
	// minReadBackoff and maxReadBackoff bound the backoff after a failed read.
	minReadBackoff = 150 * time.Millisecond
	maxReadBackoff = 900 * time.Millisecond
	// storeOutageAfter is how long reads must fail before the node assumes a store
	// outage and fetches state from a peer every peerFetchInterval.
	storeOutageAfter  = 1200 * time.Millisecond
	peerFetchInterval = time.Second
	// memberTickInterval is the interval of the group's ticks, sweepInterval that of
	// closing stale connections, and maxNodesPause the longest pause between two
	// reads of the nodes from the store.
	memberTickInterval = 100 * time.Millisecond
	sweepInterval      = time.Second
	maxNodesPause      = time.Minute
	// minNodesPause is the first pause between reads of the nodes. It is short
	// because nodes that start together read too early to find each other, and grows
	// with each read.
	minNodesPause = 400 * time.Millisecond
)

// startLoops starts the loops that keep the node's view up to date.
func (s *Server) startLoops() {
	go s.followConfig()
	go s.followUpstreams()
	go s.followNodes()
	go s.memberLoop()
	go s.releaseLoop()
	go s.sweepLoop()
}

// A feed describes how a stream is read.
type feed struct {
	stream infra.Stream
	// wait is how long a read waits for changes, and pause the time between two reads.
	wait  time.Duration
	pause func() time.Duration
	// await waits until the node is to read. It reports whether reads were left out.
	await func() bool
	// apply applies records: all newest ones, or changes in order.
	apply func(records []infra.KeyedRecord, all bool)
}

func (s *Server) followConfig() {
	s.follow(feed{
		stream: infra.StreamConfig, wait: configWait, pause: func() time.Duration { return 0 },
		await: func() bool { return false }, apply: s.applyConfigRecords,
	})
}

// followUpstreams reads the upstreams while this node is one of those that do.
func (s *Server) followUpstreams() {
	s.follow(feed{
		stream: infra.StreamUpstreams, wait: upstreamWait, pause: s.upstreamPause,
		await: s.awaitReader, apply: s.applyUpstreamRecords,
	})
}

// sleep waits and reports whether the server is still open.
func (s *Server) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.context.Done():
		return false
	}
}

// A streamState is the state of reading a stream of the store. The zero value has read
// nothing.
type streamState struct {
	// lastRead is when a read last succeeded, or when the node started reading.
	// failing is true if the last read failed.
	lastRead time.Time
	failing  bool
	// cancel cancels the latest read for changes. It is nil before the first one.
	cancel context.CancelFunc
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

// upstreamPause returns the pause between two reads of the upstreams.
func (s *Server) upstreamPause() time.Duration {
	s.mu.Lock()
	nodes := len(s.group.Peers()) + 1
	s.mu.Unlock()
	return upstreamPauseFor(nodes)
}

func upstreamPauseFor(nodes int) time.Duration {
	pause := minUpstreamPause * time.Duration(nodes) / nodesAtMinPause
	return min(max(pause, minUpstreamPause), maxUpstreamPause)
}

// follow reads a stream while the server is open and passes the records to apply: all
// newest records at first, after a gap and after the store was restored, changes
// otherwise.
func (s *Server) follow(f feed) {
	var cursor infra.Cursor
	backoff, pollWait := minReadBackoff, f.wait
	for s.context.Err() == nil {
		if f.await() {
			cursor.Reset()
		}
		started := s.now()
		all := cursor.Whole()
		page, err := s.readPage(f.stream, &cursor, pollWait)
		s.recordStoreRead(f.stream, started, err)
		if err == nil {
			s.observeEpoch(page.Epoch)
		}
		pollWait = f.wait
		if err != nil {
			pollWait = min(f.wait, probeWait)
		}
		switch {
		case errors.Is(err, infra.ErrOffsetOutOfRange):
			cursor.Reset()
		case errors.Is(err, context.Canceled):
		case err != nil:
			s.sleep(backoff)
			backoff = min(2*backoff, maxReadBackoff)
		case cursor.Advance(page):
			backoff = minReadBackoff
			if all || len(page.Records) > 0 {
				f.apply(page.Records, all)
			}
			s.sleep(f.pause())
		}
	}
}

func (s *Server) readPage(stream infra.Stream, cursor *infra.Cursor, wait time.Duration) (infra.Page, error) {
	if cursor.Whole() {
		return s.readNewest(stream)
	}
	return s.readChanges(stream, cursor.Next(), wait)
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
		s.directory.StoreRecovered(s.now())
		for _, state := range s.streams {
			state.cancelRead()
		}
	}
	s.mu.Unlock()
	if !known {
		return
	}
	s.logger.Warn("store was restored from a copy", "epoch", int64(epoch), "before", int64(before))
	select {
	case s.restored <- struct{}{}:
	default:
		// The loop has not handled the restoration before this one yet.
	}
}

// probeWait is how long the read after a failed one waits for changes. It is short,
// because a silent store may never answer that read, which then delays the next ones.
const probeWait = 300 * time.Millisecond

// readChanges reads the changes from an offset, unless the read is cancelled.
func (s *Server) readChanges(stream infra.Stream, from int64, wait time.Duration) (infra.Page, error) {
	ctx, cancel := context.WithCancel(s.context)
	defer cancel()
	s.mu.Lock()
	s.streamState(stream).cancel = cancel
	s.mu.Unlock()
	return s.registry.Changes(ctx, stream, from, wait)
}

// storeTimeout bounds reading all newest records and writing the node's own entry.
const storeTimeout = 4 * time.Second

func (s *Server) readNewest(stream infra.Stream) (infra.Page, error) {
	ctx, cancel := context.WithTimeout(s.context, storeTimeout)
	defer cancel()
	return s.registry.Newest(ctx, stream)
}

// recordStoreRead records the outcome of a read of the store and logs the start and
// end of a store outage.
func (s *Server) recordStoreRead(stream infra.Stream, started time.Time, err error) {
	if errors.Is(err, context.Canceled) {
		// The node itself ended the read, so it says nothing about the store.
		return
	}
	now := s.now()
	ok := err == nil || errors.Is(err, infra.ErrOffsetOutOfRange)
	s.metrics.observeRead(stream, ok, now.Sub(started))
	s.mu.Lock()
	state := s.streamState(stream)
	away, wasFailing := now.Sub(state.lastRead), state.failing
	state.failing = !ok
	if ok {
		state.lastRead = now
		if wasFailing && stream == infra.StreamUpstreams {
			s.directory.StoreRecovered(now)
			// If the read of the configuration was sent before the store stopped
			// answering, it may get no answer although newer reads do.
			s.streamState(infra.StreamConfig).cancelRead()
		}
	}
	s.mu.Unlock()
	switch {
	case !ok && !wasFailing:
		s.logger.Warn("store is unreachable", "stream", string(stream), "error", err.Error())
	case ok && wasFailing:
		s.logger.Info("store is reachable again", "stream", string(stream), "away_ms", away.Milliseconds())
	}
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
func (s *Server) storeOutage() bool {
	state := s.streams[infra.StreamUpstreams]
	return state == nil || state.failing && s.now().Sub(state.lastRead) > storeOutageAfter
}

// applyConfigRecords applies records of the configuration.
func (s *Server) applyConfigRecords(records []infra.KeyedRecord, _ bool) {
	for _, r := range records {
		if r.Key == infra.KeyConfig && len(r.Value) > 0 {
			s.applyConfig(r.Value, "store")
		}
	}
}

// applyConfig puts a configuration in force if it is newer than the current one.
func (s *Server) applyConfig(document []byte, source string) {
	config, err := s.protocol.ParseConfig(document)
	if err != nil {
		s.logger.Error("configuration is not valid", "source", source, "error", err.Error())
		s.metrics.countInvalid("config")
		return
	}
	table := fleet.NewTable(config)
	s.mu.Lock()
	before := s.configVersion()
	if config.Version <= before {
		s.mu.Unlock()
		return
	}
	s.config = document
	s.node.Step(s.now(), proxy.Configured{Table: table})
	s.mu.Unlock()
	s.logger.Info("configuration in force", "version", config.Version, "before", before, "source", source, "routes", len(config.Routes))
	s.updateReducers()
	s.memberStep(member.SelfUpdated{Version: config.Version})
	time.AfterFunc(announceDelay, func() { s.memberStep(member.Announce{}) })
}

// applyUpstreamRecords applies records of upstreams: all of them, or changes in order.
func (s *Server) applyUpstreamRecords(records []infra.KeyedRecord, all bool) {
	now := s.now()
	entries := s.parseEntries(records)
	s.mu.Lock()
	first := !s.upstreamsKnown
	s.upstreamsKnown = true
	before := s.directory.Len()
	marks := s.newLeavingMarks(entries)
	s.keepDraining(entries)
	var changed bool
	if all {
		changed = s.directory.Replace(now, presentUpstreams(entries))
	} else {
		changed = s.applyEntries(now, entries)
	}
	after := s.directory.Len()
	if first {
		// Other nodes read the same at their start.
		s.directory.TakeChanges()
	}
	s.mu.Unlock()
	for _, m := range marks {
		s.logger.Info("upstream is leaving", "upstream", m.Host, "born", m.Incarnation, "source", "store")
		s.memberStep(member.MarkObserved{Mark: m})
	}
	if changed {
		s.logger.Info("upstreams changed", "count", after, "before", before, "whole", all, "source", "store")
		s.directoryChanged()
	}
}

// keepDraining marks the upstreams as draining that announced earlier that they are
// leaving, even if their entry was removed in between. The lock must be held.
func (s *Server) keepDraining(entries []upstreamEntry) {
	for i := range entries {
		entries[i].upstream = s.withMark(entries[i].upstream)
	}
}

// An upstreamEntry is a parsed record of an upstream. It has no upstream if the record
// removes it or cannot be parsed.
type upstreamEntry struct {
	id       string
	present  bool
	upstream fleet.Upstream
}

func (s *Server) parseEntries(records []infra.KeyedRecord) []upstreamEntry {
	entries := make([]upstreamEntry, len(records))
	for i, r := range records {
		entries[i].id = r.Key
		if len(r.Value) == 0 {
			continue
		}
		u, err := s.protocol.ParseUpstream(r.Key, r.Value)
		if err != nil {
			s.metrics.countInvalid("upstream")
			continue
		}
		entries[i].present, entries[i].upstream = true, u
	}
	return entries
}

// presentUpstreams returns the upstreams of the entries that have one.
func presentUpstreams(entries []upstreamEntry) []fleet.Upstream {
	var upstreams []fleet.Upstream
	for _, e := range entries {
		if e.present {
			upstreams = append(upstreams, e.upstream)
		}
	}
	return upstreams
}

// applyEntries applies changes in order and reports whether they changed the
// directory. The lock must be held.
func (s *Server) applyEntries(now time.Time, entries []upstreamEntry) bool {
	changed := false
	for _, e := range entries {
		if e.present {
			changed = s.directory.Put(e.upstream) || changed
		} else {
			changed = s.directory.Remove(now, e.id) || changed
		}
	}
	return changed
}

// newLeavingMarks returns the marks of upstreams that announce for the first time that
// they are leaving. The lock must be held.
func (s *Server) newLeavingMarks(entries []upstreamEntry) []member.Mark {
	var marks []member.Mark
	for _, u := range presentUpstreams(entries) {
		known, ok := s.directory.Get(u.ID)
		if u.Draining && (!ok || !known.Draining) {
			marks = append(marks, leavingMark(u))
		}
	}
	return marks
}

// leavingMark returns the mark of a leaving upstream. The mark's incarnation is the
// start time of the upstream's process; parseBorn parses it.
func leavingMark(u fleet.Upstream) member.Mark {
	return member.Mark{Host: u.ID, Incarnation: strconv.FormatInt(u.Born, 10)}
}

func parseBorn(incarnation string) (int64, error) { return strconv.ParseInt(incarnation, 10, 64) }

// updateReducers passes the current upstreams and services to the reducers. Concurrent
// calls run one after the other, so that the newest state is passed last.
func (s *Server) updateReducers() {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.mu.Lock()
	upstreams := s.directory.All()
	var services []fleet.Service
	if t := s.node.Table(); t != nil {
		services = t.Services()
	}
	s.node.Step(s.now(), proxy.UpstreamsRegistered{Upstreams: upstreams})
	before := s.division
	s.division = batch.Divide(services, upstreams)
	owners, workers := s.division.Owners(), s.division.Workers(s.self.Zone, upstreams)
	s.mu.Unlock()
	if owners != before.Owners() {
		s.logger.Info("stages are divided", "owners", owners, "before", before.Owners(), "upstreams", len(upstreams))
	}
	s.owner.step(batch.SetWorkers{Services: services, Upstreams: workers})
}

// memberLoop ticks the group, expires upstreams, and fetches state from peers during a
// store outage.
func (s *Server) memberLoop() {
	lastFetch := s.now()
	for s.sleep(memberTickInterval) {
		s.memberStep(member.Tick{})
		now := s.now()
		s.mu.Lock()
		changed := s.directory.Expire(now)
		peer := s.joinPeer(now)
		if peers := s.group.Peers(); peer == "" && s.storeOutage() && len(peers) > 0 && now.Sub(lastFetch) >= peerFetchInterval {
			lastFetch = now
			peer = peers[int(now.UnixNano()/int64(peerFetchInterval))%len(peers)].Node().Addr
		}
		s.mu.Unlock()
		if changed {
			s.directoryChanged()
		}
		if peer != "" {
			go s.fetchState(peer)
		}
	}
}

const (
	// joinTime is how long a new node waits for the state of a peer before it is ready
	// without it. joinInterval is the pause between attempts.
	joinTime     = 1500 * time.Millisecond
	joinInterval = 300 * time.Millisecond
)

// joinPeer returns the address of a peer from which a new node is to fetch what the store
// may have lost: newer configurations, and which upstreams are gone. It returns an empty
// string if there is no such peer or the node has this state. The lock must be held.
func (s *Server) joinPeer(now time.Time) string {
	elders := s.group.Elders()
	if len(elders) == 0 || !s.joining(now) || now.Sub(s.lastJoin) < joinInterval {
		return ""
	}
	s.lastJoin = now
	return elders[int(now.UnixNano()/int64(joinInterval))%len(elders)].Addr
}

// joining reports whether a new node still waits for the state of a peer, or to learn
// whether there is a peer that was running before. The lock must be held.
func (s *Server) joining(now time.Time) bool {
	switch {
	case s.joined || now.Sub(s.started) >= joinTime:
		return false
	case len(s.group.Peers()) == 0:
		return !s.nodesRead || s.nodesListed > 0
	}
	return len(s.group.Elders()) > 0
}

// sweepLoop closes stale idle connections.
func (s *Server) sweepLoop() {
	for s.sleep(sweepInterval) {
		s.conns.sweep(func(id string, born int64) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			u, ok := s.directory.Get(id)
			return ok && u.Born == born
		})
	}
}

// followNodes writes the node's entry to the store and reads those of the others. Nodes
// that know each other share everything else by gossip.
func (s *Server) followNodes() {
	pause := minNodesPause
	announced := false
	var announcedIn infra.Epoch
	for s.context.Err() == nil && !s.draining.Load() {
		err := error(nil)
		started := s.now()
		if !announced || s.storeEpoch() > announcedIn {
			announcedIn, err = s.announceSelf()
			announced = err == nil
		}
		if err == nil {
			err = s.readNodes()
		}
		s.recordStoreRead(infra.StreamNodes, started, err)
		if err != nil {
			s.sleep(maxReadBackoff)
			continue
		}
		if s.sleepUnlessRestored(pause) {
			pause = min(3*pause, maxNodesPause)
		}
	}
}

// sleepUnlessRestored waits and reports whether the time has passed. It returns early if
// the store was restored. The node's entry may then be lost.
func (s *Server) sleepUnlessRestored(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.restored:
		return false
	case <-s.context.Done():
		return false
	}
}

// storeEpoch returns the newest known epoch of the store.
func (s *Server) storeEpoch() infra.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// announceSelf writes the node's entry and returns the epoch of the store that has it.
func (s *Server) announceSelf() (infra.Epoch, error) {
	value, err := json.Marshal(s.self)
	if err != nil {
		return 0, fmt.Errorf("encode entry of node %q: %w", s.self.ID, err)
	}
	ctx, cancel := context.WithTimeout(s.context, storeTimeout)
	defer cancel()
	epoch, err := s.registry.Put(ctx, infra.StreamNodes, infra.KeyedRecord{Key: s.self.ID, Value: value})
	if err != nil {
		return 0, fmt.Errorf("write entry of node %q: %w", s.self.ID, err)
	}
	return epoch, nil
}

func (s *Server) readNodes() error {
	page, err := s.readNewest(infra.StreamNodes)
	if err != nil {
		return fmt.Errorf("read nodes: %w", err)
	}
	s.observeEpoch(page.Epoch)
	var nodes []member.Node
	for _, r := range page.Records {
		var n member.Node
		if err := json.Unmarshal(r.Value, &n); err != nil {
			s.metrics.countInvalid("node")
			continue
		}
		if n.ID != s.self.ID {
			nodes = append(nodes, n)
		}
	}
	s.memberStep(listedEvent(nodes))
	s.mu.Lock()
	s.nodesRead, s.nodesListed = true, len(nodes)
	digest := s.group.Digest()
	nodes = slices.DeleteFunc(nodes, func(n member.Node) bool {
		p, known := s.group.Peer(n.ID)
		return known && p.Node().Incarnation == n.Incarnation
	})
	s.mu.Unlock()
	for _, n := range nodes {
		go s.sendDigest(member.Gossip{Addr: n.Addr, Digest: digest})
	}
	return nil
}

// deregisterTimeout bounds removing the node's own entry.
const deregisterTimeout = time.Second

// deregister removes the node's entry from the store.
func (s *Server) deregister() {
	ctx, cancel := context.WithTimeout(s.context, deregisterTimeout)
	defer cancel()
	if _, err := s.registry.Put(ctx, infra.StreamNodes, infra.KeyedRecord{Key: s.self.ID}); err != nil {
		// Other nodes detect by gossip that the node has stopped.
		s.logger.Warn("cannot remove the node's entry from the store", "error", err.Error())
	}
}
