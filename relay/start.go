package relay

import (
	"slices"

	"teaselplank/fleet"
	"teaselplank/limit"
	"teaselplank/member"
	"teaselplank/pace"
)

// observeAnswer passes on what an answer says about the pace of its upstream.
func (s *Server) observeAnswer(a pace.Answer) {
	s.mu.Lock()
	paced := s.group.Pace(a.Process)
	var fleet pace.Fleet
	if !paced.Ended || a.Outcome == pace.Gone {
		fleet = s.fleetOf(a.Service)
	}
	statement, ok := s.pacer.Answer(s.now(), a, paced, fleet)
	s.mu.Unlock()
	if ok {
		s.memberStep(member.PaceStated{Process: a.Process, Statement: statement, SentAt: a.SentAt})
	}
}

// fleetOf returns the numbers of nodes and upstreams that share the requests of a service. The
// lock must be held.
func (s *Server) fleetOf(service string) pace.Fleet {
	f := pace.Fleet{Nodes: len(s.group.Peers()) + 1}
	evacuated := s.group.EvacuatedZones()
	for _, u := range s.directory.All() {
		if u.Service != service || u.Draining || slices.Contains(evacuated, u.Zone) {
			continue
		}
		f.Upstreams++
		if !s.group.Pace(limit.Process{ID: u.ID, Born: u.Born}).Ended {
			f.Paced++
		}
	}
	return f
}

// newProcesses returns the processes of entries that have just appeared and say that they are
// not cold, if their service has slow starts. The entries are not known to the directory yet.
// The lock must be held.
func (s *Server) newProcesses(upstreams []fleet.Upstream) []fleet.Upstream {
	var found []fleet.Upstream
	for _, u := range upstreams {
		known, ok := s.directory.Get(u.ID)
		if isNew := !ok || u.Replaces(known); isNew && !u.Draining && u.Warmup == 0 && s.startsSlowly(u.Service) {
			found = append(found, u)
		}
	}
	return found
}

// startsSlowly reports whether a service has slow starts.
func (s *Server) startsSlowly(service string) bool {
	return s.config.table != nil && s.config.table.Service(service).SlowStarts()
}

// startSlowly begins slow starts of processes that have just appeared.
func (s *Server) startSlowly(upstreams []fleet.Upstream) {
	now := s.now()
	for _, u := range upstreams {
		s.mu.Lock()
		p := limit.Process{ID: u.ID, Born: u.Born}
		statement, ok := pace.Begin(s.group.Pace(p), s.fleetOf(u.Service))
		s.mu.Unlock()
		if ok {
			s.memberStep(member.PaceStated{Process: p, Statement: statement, SentAt: now})
		}
	}
}

// raiseStalePaces raises paces that have not changed for some seconds.
func (s *Server) raiseStalePaces() {
	now := s.now()
	var statements []member.PaceStated
	s.mu.Lock()
	for _, l := range s.group.Paces() {
		u, ok := s.directory.Get(l.Process.ID)
		if !ok || u.Born != l.Process.Born {
			continue
		}
		if statement, ok := s.pacer.Stale(now, u.Service, l, s.fleetOf(u.Service)); ok {
			statements = append(statements, member.PaceStated{Process: l.Process, Statement: statement, SentAt: now})
		}
	}
	s.mu.Unlock()
	for _, statement := range statements {
		s.memberStep(statement)
	}
}

// pacesChanged logs and applies paces that have changed.
func (s *Server) pacesChanged(paces []limit.Limit) {
	if len(paces) == 0 {
		return
	}
	for _, l := range paces {
		s.logger.Info("pace of an upstream has changed", "upstream", l.Process.ID, "born", l.Process.Born, "rate", l.Rate, "ended", l.Ended, "version", l.Version)
	}
	s.applyLimits()
}
