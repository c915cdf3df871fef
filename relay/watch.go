package relay

import (
	"errors"
	"strconv"
	"time"

	"teaselplank/batch"
	"teaselplank/fleet"
	"teaselplank/infra"
	"teaselplank/member"
	"teaselplank/proxy"
)

const (
	// memberTickInterval is the interval of the group's ticks, and sweepInterval that of
	// closing stale connections.
	memberTickInterval = 100 * time.Millisecond
	sweepInterval      = time.Second
	// peerFetchInterval is the interval at which a node fetches state from a peer while it
	// cannot read upstreams or cases from the store.
	peerFetchInterval = time.Second
	// limitInterval is the interval at which the limits of upstreams are divided anew, as
	// nodes come and go.
	limitInterval = 500 * time.Millisecond
)

// startLoops starts the loops that keep the node's view up to date.
func (s *Server) startLoops() {
	go s.followConfig()
	go s.followUpstreams()
	go s.followNodes()
	go s.followCrashes()
	go s.memberLoop()
	go s.defaultsLoop()
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

// applyConfigPage applies records of the configuration.
func (s *Server) applyConfigPage(page infra.Page, _ bool) {
	for _, r := range page.Records {
		if r.Key == infra.KeyConfig && len(r.Value) > 0 {
			s.applyConfig(r.Value, "store")
		}
	}
}

// A configuration is the operator's configuration and the document that it was parsed
// from. The zero value means that the node has not received one.
type configuration struct {
	document []byte
	table    *fleet.Table
}

// applyConfig puts a configuration in force if it is newer than the current one, and reports
// whether it is.
func (s *Server) applyConfig(document []byte, source string) bool {
	config, err := s.protocol.ParseConfig(document)
	var invalid *fleet.InvalidRoutesError
	if err != nil && !errors.As(err, &invalid) {
		s.logger.Error("configuration is not valid", "source", source, "error", err.Error())
		s.metrics.countInvalid("config")
		return false
	}
	before, newer := s.useConfig(configuration{document, fleet.NewTable(config)})
	if !newer {
		return false
	}
	s.logger.Info("configuration in force", "version", config.Version, "before", before, "source", source, "routes", len(config.Routes))
	s.reportInvalidRoutes(config.Version, invalid)
	s.memberStep(member.SelfUpdated{Version: config.Version})
	return true
}

// reportInvalidRoutes logs and counts the routes of a configuration in force that are not valid.
// There are none if the error is nil.
func (s *Server) reportInvalidRoutes(version int64, invalid *fleet.InvalidRoutesError) {
	if invalid == nil {
		return
	}
	for _, r := range invalid.Routes {
		s.logger.Error("route is not valid", "version", version, "route", r.Route, "error", r.Reason)
		s.metrics.countInvalid("route")
	}
}

// useConfig passes a configuration to the reducers if it is newer than the current one,
// and returns the version of that one.
func (s *Server) useConfig(c configuration) (before int64, newer bool) {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.mu.Lock()
	before = s.configVersion()
	s.mu.Unlock()
	if c.table.Version() <= before {
		return before, false
	}
	s.setReducers(c)
	return before, true
}

// applyUpstreamPage applies records of upstreams: all of them, or changes in order.
func (s *Server) applyUpstreamPage(page infra.Page, all bool) {
	now := s.now()
	entries := s.parseEntries(page)
	s.mu.Lock()
	s.upstreamsKnown = true
	before, deferredBefore := s.directory.Len(), s.directory.Deferred()
	marks := s.newLeavingMarks(entries)
	paced := s.observeWarmups(presentUpstreams(entries), all)
	s.keepDraining(entries)
	var changed bool
	var started []fleet.Upstream
	if !all {
		started = s.newProcesses(presentUpstreams(entries))
	}
	if all {
		changed = s.directory.Replace(now, presentUpstreams(entries))
	} else {
		changed = s.applyEntries(now, entries)
	}
	after, deferred := s.directory.Len(), s.directory.Deferred()
	s.mu.Unlock()
	if deferred > deferredBefore {
		s.logger.Info("removal of upstreams is deferred after an outage of the store", "count", deferred, "before", deferredBefore)
	}
	for _, m := range marks {
		s.logger.Info("upstream is leaving", "upstream", m.Host, "born", m.Incarnation, "source", "store")
		s.memberStep(member.MarkObserved{Mark: m})
	}
	// An upstream gets nothing before applyLimits, so its slow start is known in time.
	s.startSlowly(started)
	if changed {
		s.logger.Info("upstreams changed", "count", after, "before", before, "whole", all, "source", "store")
		s.updateReducers()
	} else if paced {
		s.applyLimits()
	}
}

// keepDraining marks the upstreams as draining that announced earlier that they are
// leaving, even if their entry was removed in between. The lock must be held.
func (s *Server) keepDraining(entries []upstreamEntry) {
	for i := range entries {
		entries[i].upstream = s.withMark(entries[i].upstream)
	}
}

// withMark returns the upstream, which drains if it has announced that it is leaving. The
// lock must be held.
func (s *Server) withMark(u fleet.Upstream) fleet.Upstream {
	mark := leavingMark(u)
	u.Draining = u.Draining || s.group.IsLeaving(mark.Host, mark.Incarnation)
	return u
}

// An upstreamEntry is a parsed record of an upstream. It has no upstream if the record
// removes it or cannot be parsed.
type upstreamEntry struct {
	id       string
	present  bool
	upstream fleet.Upstream
}

func (s *Server) parseEntries(page infra.Page) []upstreamEntry {
	entries := make([]upstreamEntry, len(page.Records))
	for i, r := range page.Records {
		entries[i].id = r.Key
		if len(r.Value) == 0 {
			continue
		}
		u, err := s.protocol.ParseUpstream(r.Key, r.Value)
		if err != nil {
			s.metrics.countInvalid("upstream")
			continue
		}
		u.Position = fleet.Position{Known: true, Epoch: int64(page.Epoch), Offset: r.Offset}
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

// updateReducers passes the current upstreams to the reducers. Concurrent calls run one
// after the other, so that the newest state is passed last.
func (s *Server) updateReducers() {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.mu.Lock()
	config := s.config
	s.mu.Unlock()
	s.setReducers(config)
}

// setReducers passes a configuration and the current upstreams to the reducers. The
// scheduler gets them first: the node accepts a request as soon as it knows its route, and
// the scheduler must be able to run the request's stages then. It gets nothing until both
// are known. The lock notifyMu must be held.
func (s *Server) setReducers(c configuration) {
	s.mu.Lock()
	upstreams, complete := s.directory.All(), c.table != nil && s.upstreamsKnown
	s.mu.Unlock()
	var services []fleet.Service
	if c.table != nil {
		services = c.table.Services()
	}
	division := batch.Divide(services, upstreams)
	if complete {
		s.owner.step(batch.SetWorkers{Services: services, Upstreams: division.Workers(s.self.Zone, upstreams)})
	}
	s.mu.Lock()
	if c.table != nil {
		s.node.Step(s.now(), proxy.Configured{Table: c.table})
	}
	effects := s.node.Step(s.now(), proxy.UpstreamsRegistered{Upstreams: upstreams})
	before := s.division
	s.config, s.division = c, division
	s.mu.Unlock()
	s.perform(effects)
	s.applyAllLimits()
	s.shareConns()
	if division.Owners() != before.Owners() {
		s.logger.Info("stages are divided", "owners", division.Owners(), "before", before.Owners(), "upstreams", len(upstreams))
	}
}

// memberLoop ticks the group, expires upstreams, and fetches state from peers while it cannot
// be read from the store.
func (s *Server) memberLoop() {
	lastFetch, lastLimits := s.now(), s.now()
	for s.sleep(memberTickInterval) {
		s.memberStep(member.Tick{})
		now := s.now()
		s.mu.Lock()
		s.keepConfigTurn()
		expired := s.directory.Expire(now)
		count := s.directory.Len()
		peer := ""
		if elder, ok := s.join.Ask(now, s.uptime(), s.group); ok {
			peer = elder.Addr
		}
		lacksState := s.storeOutage() || s.cannotRead(infra.StreamCrashes)
		if peers := s.group.Peers(); peer == "" && lacksState && len(peers) > 0 && now.Sub(lastFetch) >= peerFetchInterval {
			lastFetch = now
			peer = peers[int(now.UnixNano()/int64(peerFetchInterval))%len(peers)].Node().Addr
		}
		s.mu.Unlock()
		if expired > 0 {
			s.logger.Info("upstreams changed", "count", count, "before", count+expired, "whole", false, "source", "grace period")
			s.updateReducers()
		}
		if now.Sub(lastLimits) >= limitInterval {
			lastLimits = now
			s.applyLimits()
			s.logWarmups()
			s.raiseStalePaces()
		}
		if peer != "" {
			go s.fetchState(peer)
		}
	}
}

// shareConns bounds the idle connections to upstreams by this node's part of what they take.
func (s *Server) shareConns() {
	s.mu.Lock()
	table := s.config.table
	s.mu.Unlock()
	if table != nil {
		s.conns.ShareIdle(table.Services(), s.nodeCount())
	}
}

// sweepLoop closes stale idle connections.
func (s *Server) sweepLoop() {
	for s.sleep(sweepInterval) {
		s.forgetWarmups()
		s.step(proxy.CasesTick{})
		s.shareConns()
		s.conns.Sweep(func(id string, born int64) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			u, ok := s.directory.Get(id)
			return ok && u.Born == born
		})
	}
}
