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
	// upstreamWait is the same for the upstreams, whose entries are written
	// all the time.
	upstreamWait = 2 * time.Second
	// upstreamLeast and upstreamMost bound the pause between two reads of the
	// upstreams. It is the shorter one up to fewNodes nodes and grows with
	// their number, for one that has read of a leaving upstream tells the
	// others. The longer one leaves time to act within two seconds.
	upstreamLeast = 450 * time.Millisecond
	upstreamMost  = 1200 * time.Millisecond
	fewNodes      = 12
	// retryLeast and retryMost bound the pause after a read that failed.
	retryLeast = 150 * time.Millisecond
	retryMost  = 900 * time.Millisecond
	// lostAfter is from when the store counts as away, and peers are asked for
	// what they know.
	lostAfter = 1200 * time.Millisecond
	askEvery  = time.Second
	// memberEvery is the pace of the group's clock, sweepEvery that of looking
	// for connections to close, and nodesEvery that of reading the other nodes
	// from the store.
	memberEvery = 100 * time.Millisecond
	sweepEvery  = time.Second
	nodesEvery  = 20 * time.Second
	// nodesFirst is the first pause between such reads; it grows from then on,
	// for nodes that start together read too early to find each other.
	nodesFirst = 400 * time.Millisecond
)

// watch starts the loops that keep the node's beliefs up to date.
func (s *Server) watch() {
	go s.follow(infra.StreamConfig, configWait, func() time.Duration { return 0 }, s.takeConfig)
	go s.follow(infra.StreamUpstreams, upstreamWait, s.upstreamPause, s.takeUpstreams)
	go s.followNodes()
	go s.memberLoop()
	go s.releaseLoop()
	go s.sweepLoop()
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

// A watcher knows how the reading of the store goes. The zero value has read
// nothing.
type watcher struct {
	// read is when a read last succeeded, and lost whether one has failed since.
	read time.Time
	lost bool
	// cancel ends the read under way, or is nil.
	cancel context.CancelFunc
}

// watcher returns what is known of the reading of a stream. The lock must be held.
func (s *Server) watcher(stream infra.Stream) *watcher {
	w := s.watchers[stream]
	if w == nil {
		w = &watcher{read: s.now()}
		s.watchers[stream] = w
	}
	return w
}

// upstreamPause returns the pause between two reads of the upstreams.
func (s *Server) upstreamPause() time.Duration {
	s.mu.Lock()
	nodes := len(s.group.Peers()) + 1
	s.mu.Unlock()
	return pauseAmong(nodes)
}

func pauseAmong(nodes int) time.Duration {
	pause := upstreamLeast * time.Duration(nodes) / fewNodes
	return min(max(pause, upstreamLeast), upstreamMost)
}

// follow reads a stream for as long as the server is open. What it reads is given
// to take: all newest records at first and after a gap, changes otherwise.
func (s *Server) follow(stream infra.Stream, wait time.Duration, pace func() time.Duration, take func(records []infra.KeyedRecord, all bool)) {
	next, known := int64(0), false
	pause, patience := retryLeast, wait
	for s.context.Err() == nil {
		var records []infra.KeyedRecord
		var err error
		began := s.now()
		all := !known
		if all {
			records, next, err = s.newest(stream)
		} else {
			var after int64
			if records, after, err = s.changes(stream, next, patience); err == nil {
				next = after
			}
		}
		s.heardStore(stream, began, err)
		patience = wait
		if err != nil {
			patience = min(wait, probeWait)
		}
		switch {
		case errors.Is(err, infra.ErrDropped):
			known = false
		case err != nil:
			s.sleep(pause)
			pause = min(2*pause, retryMost)
		default:
			known = true
			pause = retryLeast
			if all || len(records) > 0 {
				take(records, all)
			}
			s.sleep(pace())
		}
	}
}

// probeWait is how long the read after one that failed waits for changes: one that a
// silent store never answers must not hold up those that it would.
const probeWait = 300 * time.Millisecond

// changes reads what has changed, unless the read is cancelled.
func (s *Server) changes(stream infra.Stream, from int64, wait time.Duration) ([]infra.KeyedRecord, int64, error) {
	ctx, cancel := context.WithCancel(s.context)
	defer cancel()
	s.mu.Lock()
	s.watcher(stream).cancel = cancel
	s.mu.Unlock()
	return s.registry.Changes(ctx, stream, from, wait)
}

// newestTimeout bounds the reading of all newest records.
const newestTimeout = 4 * time.Second

func (s *Server) newest(stream infra.Stream) ([]infra.KeyedRecord, int64, error) {
	ctx, cancel := context.WithTimeout(s.context, newestTimeout)
	defer cancel()
	return s.registry.Newest(ctx, stream)
}

// heardStore notes how a read of the store went, and logs when it is lost and
// regained.
func (s *Server) heardStore(stream infra.Stream, began time.Time, err error) {
	now := s.now()
	ok := err == nil || errors.Is(err, infra.ErrDropped)
	s.metrics.read(stream, ok, now.Sub(began))
	s.mu.Lock()
	w := s.watcher(stream)
	away, wasLost := now.Sub(w.read), w.lost
	w.lost = !ok
	if ok {
		w.read = now
		if wasLost && stream == infra.StreamUpstreams {
			s.directory.StoreReturned(now)
			s.renewConfigRead()
		}
	}
	s.mu.Unlock()
	switch {
	case !ok && !wasLost:
		s.logger.Warn("store lost", "stream", string(stream), "error", err.Error())
	case ok && wasLost:
		s.logger.Info("store regained", "stream", string(stream), "away_ms", away.Milliseconds())
	}
}

// renewConfigRead ends the read of the configuration that is under way. It may have
// begun before the store fell silent and then gets no answer, although others do.
// The lock must be held.
func (s *Server) renewConfigRead() {
	if w := s.watcher(infra.StreamConfig); w.cancel != nil {
		w.cancel()
	}
}

// storeAway reports whether the upstreams cannot be read from the store. The lock
// must be held.
func (s *Server) storeAway() bool {
	w := s.watchers[infra.StreamUpstreams]
	return w == nil || w.lost && s.now().Sub(w.read) > lostAfter
}

// takeConfig takes in records of the configuration.
func (s *Server) takeConfig(records []infra.KeyedRecord, _ bool) {
	for _, r := range records {
		if r.Key == infra.KeyConfig && len(r.Value) > 0 {
			s.configure(r.Value, "store")
		}
	}
}

// configure puts a configuration in force, if it is newer than the one that is.
func (s *Server) configure(document []byte, source string) {
	config, err := s.protocol.ParseConfig(document)
	if err != nil {
		s.logger.Error("configuration is not valid", "source", source, "error", err.Error())
		s.metrics.invalid("config")
		return
	}
	table := fleet.NewTable(config)
	s.mu.Lock()
	before := s.version()
	if config.Version <= before {
		s.mu.Unlock()
		return
	}
	s.config = document
	s.node.Step(s.now(), proxy.Configured{Table: table})
	s.mu.Unlock()
	s.logger.Info("configuration in force", "version", config.Version, "before", before, "source", source, "routes", len(config.Routes))
	s.upstreamsChanged()
	s.memberStep(member.Told{Version: config.Version})
}

// takeUpstreams takes in entries of upstreams: all of them, or changes in their
// order.
func (s *Server) takeUpstreams(records []infra.KeyedRecord, all bool) {
	now := s.now()
	entries := s.parseEntries(records)
	s.mu.Lock()
	s.registered = true
	before := s.directory.Len()
	marks := s.leaving(entries)
	s.keepLeaving(entries)
	var changed bool
	if all {
		changed = s.directory.Replace(now, named(entries))
	} else {
		changed = s.apply(now, entries)
	}
	after := s.directory.Len()
	s.mu.Unlock()
	for _, m := range marks {
		s.logger.Info("upstream leaves", "upstream", m.Host, "born", m.Incarnation, "source", "store")
		s.memberStep(member.Seen{Mark: m})
	}
	if changed {
		s.logger.Info("upstreams changed", "count", after, "before", before, "whole", all)
		s.upstreamsChanged()
	}
}

// keepLeaving marks the upstreams that were known to leave before, also if their
// entry was gone in between. The lock must be held.
func (s *Server) keepLeaving(entries []entry) {
	for i := range entries {
		u := &entries[i].upstream
		mark := markOf(*u)
		u.Draining = u.Draining || s.group.IsLeaving(mark.Host, mark.Incarnation)
	}
}

// An entry is a record of an upstream. It names none if the record removes it or
// cannot be read.
type entry struct {
	id       string
	named    bool
	upstream fleet.Upstream
}

func (s *Server) parseEntries(records []infra.KeyedRecord) []entry {
	entries := make([]entry, len(records))
	for i, r := range records {
		entries[i].id = r.Key
		if len(r.Value) == 0 {
			continue
		}
		u, err := s.protocol.ParseUpstream(r.Key, r.Value)
		if err != nil {
			s.metrics.invalid("upstream")
			continue
		}
		entries[i].named, entries[i].upstream = true, u
	}
	return entries
}

// named returns the upstreams that the entries name.
func named(entries []entry) []fleet.Upstream {
	var upstreams []fleet.Upstream
	for _, e := range entries {
		if e.named {
			upstreams = append(upstreams, e.upstream)
		}
	}
	return upstreams
}

// apply takes in changes in their order. The lock must be held.
func (s *Server) apply(now time.Time, entries []entry) bool {
	changed := false
	for _, e := range entries {
		if e.named {
			changed = s.directory.Put(e.upstream) || changed
		} else {
			changed = s.directory.Remove(now, e.id) || changed
		}
	}
	return changed
}

// leaving returns the marks of upstreams that say they leave, as far as that is
// news. The lock must be held.
func (s *Server) leaving(entries []entry) []member.Mark {
	var marks []member.Mark
	for _, u := range named(entries) {
		known, ok := s.directory.Get(u.ID)
		if u.Draining && (!ok || !known.Draining) {
			marks = append(marks, markOf(u))
		}
	}
	return marks
}

// markOf returns the mark that says of an upstream that it leaves, and parseBorn
// reads from one when the process started.
func markOf(u fleet.Upstream) member.Mark {
	return member.Mark{Host: u.ID, Incarnation: strconv.FormatInt(u.Born, 10)}
}

func parseBorn(incarnation string) (int64, error) { return strconv.ParseInt(incarnation, 10, 64) }

// upstreamsChanged gives the reducers the upstreams as they are now. Those who call it
// at the same time do so one after the other: what was read last is told last.
func (s *Server) upstreamsChanged() {
	s.telling.Lock()
	defer s.telling.Unlock()
	s.mu.Lock()
	upstreams := s.directory.All()
	var services []fleet.Service
	if t := s.node.Table(); t != nil {
		services = t.Services()
	}
	s.node.Step(s.now(), proxy.Registered{Upstreams: upstreams})
	s.mu.Unlock()
	s.owner.step(batch.Workers{Services: services, Upstreams: upstreams})
}

// memberLoop lets the group act on the time, and asks peers while the store is
// away.
func (s *Server) memberLoop() {
	asked := s.now()
	for s.sleep(memberEvery) {
		s.memberStep(member.Tick{})
		now := s.now()
		s.mu.Lock()
		changed := s.directory.Expire(now)
		away := s.storeAway()
		var peer string
		if peers := s.group.Peers(); away && len(peers) > 0 && now.Sub(asked) >= askEvery {
			asked = now
			peer = peers[int(now.UnixNano()/int64(askEvery))%len(peers)].Node().Addr
		}
		s.mu.Unlock()
		if changed {
			s.upstreamsChanged()
		}
		if peer != "" {
			go s.fetch(peer)
		}
	}
}

// sweepLoop closes connections that are not used any more.
func (s *Server) sweepLoop() {
	for s.sleep(sweepEvery) {
		s.upstreams.sweep(func(id string, born int64) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			u, ok := s.directory.Get(id)
			return ok && u.Born == born
		})
	}
}

// followNodes tells the store where this node is, and learns of the others. Nodes
// that know each other tell the rest by gossip.
func (s *Server) followNodes() {
	pause := nodesFirst
	told := false
	for s.context.Err() == nil && !s.stopped.Load() {
		err := error(nil)
		began := s.now()
		if !told {
			err = s.tellSelf()
			told = err == nil
		}
		if err == nil {
			err = s.readNodes()
		}
		s.heardStore(infra.StreamNodes, began, err)
		if err != nil {
			s.sleep(retryMost)
			continue
		}
		s.sleep(pause)
		pause = min(3*pause, nodesEvery)
	}
}

func (s *Server) tellSelf() error {
	value, err := json.Marshal(s.self)
	if err != nil {
		return fmt.Errorf("encode entry of node %q: %w", s.self.ID, err)
	}
	ctx, cancel := context.WithTimeout(s.context, newestTimeout)
	defer cancel()
	if err := s.registry.Put(ctx, infra.StreamNodes, infra.KeyedRecord{Key: s.self.ID, Value: value}); err != nil {
		return fmt.Errorf("write entry of node %q: %w", s.self.ID, err)
	}
	return nil
}

func (s *Server) readNodes() error {
	records, _, err := s.newest(infra.StreamNodes)
	if err != nil {
		return fmt.Errorf("read nodes: %w", err)
	}
	var nodes []member.Node
	for _, r := range records {
		var n member.Node
		if err := json.Unmarshal(r.Value, &n); err != nil {
			s.metrics.invalid("node")
			continue
		}
		if n.ID != s.self.ID {
			nodes = append(nodes, n)
		}
	}
	s.memberStep(listed(nodes))
	s.mu.Lock()
	digest := s.group.Digest()
	nodes = slices.DeleteFunc(nodes, func(n member.Node) bool {
		p, known := s.group.Peer(n.ID)
		return known && p.Node().Incarnation == n.Incarnation
	})
	s.mu.Unlock()
	for _, n := range nodes {
		go s.exchange(member.Gossip{Addr: n.Addr, Digest: digest})
	}
	return nil
}

// leaveTimeout bounds the removal of the node's own entry.
const leaveTimeout = time.Second

// leaveRegistry removes the node's entry.
func (s *Server) leaveRegistry() {
	ctx, cancel := context.WithTimeout(s.context, leaveTimeout)
	defer cancel()
	if err := s.registry.Put(ctx, infra.StreamNodes, infra.KeyedRecord{Key: s.self.ID}); err != nil {
		// Others find out that the node is gone by themselves.
		s.logger.Warn("entry of the node is not removed", "error", err.Error())
	}
}
