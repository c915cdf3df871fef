package relay

import (
	"slices"
	"time"

	"teaselplank/batch"
	"teaselplank/fleet"
	"teaselplank/limit"
	"teaselplank/member"
	"teaselplank/proxy"
)

// observeLimit records what a response to a request that was sent at the given time says of
// its upstream's limit.
func (s *Server) observeLimit(u fleet.Upstream, statement limit.Statement, sentAt time.Time) {
	if statement.Unreadable {
		s.metrics.countInvalid("limit")
	}
	process := limit.Process{ID: u.ID, Born: u.Born}
	s.mu.Lock()
	concerns := s.group.ConcernsLimit(process, statement)
	s.mu.Unlock()
	if concerns {
		s.memberStep(member.LimitStated{Process: process, Statement: statement, SentAt: sentAt})
	}
}

// limitsChanged logs and applies limits that have changed.
func (s *Server) limitsChanged(limits []limit.Limit) {
	if len(limits) == 0 {
		return
	}
	for _, l := range limits {
		s.logger.Info("limit of an upstream has changed", "upstream", l.Process.ID, "born", l.Process.Born, "limit", l.Rate, "ended", l.Ended, "version", l.Version)
	}
	s.applyLimits()
}

// isLimited reports whether an upstream is known to have a limit.
func (s *Server) isLimited(u fleet.Upstream) bool {
	process := limit.Process{ID: u.ID, Born: u.Born}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.group.Limits(), func(l limit.Limit) bool { return l.Process == process && !l.Ended })
}

// applyLimits passes this node's shares of the limits of upstreams to the reducers. Concurrent
// calls run one after the other, so that the newest shares are passed last.
func (s *Server) applyLimits() {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.applyLimitsLocked()
}

// applyAllLimits is like applyLimits, also for upstreams without a bound. After events such as a
// registration the reducers send nothing to an upstream until they know whether it has a bound.
func (s *Server) applyAllLimits() {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.unbounded = nil
	s.applyLimitsLocked()
}

// applyLimitsLocked is applyLimits for callers that hold limitMu.
func (s *Server) applyLimitsLocked() {
	unbounded := make(map[limit.Process]bool)
	bounds, ids, total := s.rateBounds()
	mayHold := s.mayHoldShares()
	for _, b := range bounds {
		l := b.limit
		if l.Ended {
			unbounded[l.Process] = true
			if s.unbounded[l.Process] {
				continue
			}
		}
		share := s.divideBound(b, ids, total)
		rate := share.Of(s.self.ID)
		_, isStage := s.stageZone(l.Process)
		if b.holders > 0 && !mayHold && !isStage {
			rate = 0
		}
		s.step(proxy.UpstreamLimited{
			ID: l.Process.ID, Born: l.Process.Born, Limited: !l.Ended, Rate: rate, Total: l.Rate,
			Spread: float64(len(ids)) / float64(max(len(share.Holders), 1)), Paced: b.paced,
		})
		if isStage {
			s.owner.step(batch.Limited{Worker: l.Process.ID, Born: l.Process.Born, Limited: !l.Ended, Rate: rate})
		}
	}
	s.unbounded = unbounded
}

// registeredLimits returns the limits of registered upstreams as this node may use them, the IDs
// of the nodes that may share them, and the number of nodes with those that are silent.
func (s *Server) registeredLimits() (limits []limit.Limit, ids []string, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.group.Limits() {
		if u, ok := s.directory.Get(l.Process.ID); ok && u.Born == l.Process.Born {
			l.Rate = s.group.UsableRate(l)
			limits = append(limits, l)
		}
	}
	if len(limits) == 0 {
		return nil, nil, 0
	}
	ids, total = s.settledIDs()
	return limits, ids, total
}

// settledIDs returns the IDs of the nodes that may share limits, and the number of nodes including
// silent ones. The lock must be held.
func (s *Server) settledIDs() (ids []string, total int) {
	nodes, total := s.group.Settled()
	for _, n := range nodes {
		ids = append(ids, n.ID)
	}
	return ids, total
}

// activeLimits returns the limits of registered upstreams that have not ended.
func (s *Server) activeLimits() []limit.Limit {
	limits, _, _ := s.registeredLimits()
	return slices.DeleteFunc(limits, func(l limit.Limit) bool { return l.Ended })
}

// divide divides the limit of an upstream among nodes. That of a stage worker belongs to the
// owner of its zone.
func (s *Server) divide(l limit.Limit, ids []string, total int) limit.Share {
	return s.divideBound(rateBound{limit: l}, ids, total)
}

// divideBound is like divide for anything that bounds the requests to an upstream.
func (s *Server) divideBound(b rateBound, ids []string, total int) limit.Share {
	l := b.limit
	if l.Ended || len(ids) == 0 {
		return limit.Share{}
	}
	most := len(ids)
	if b.holders > 0 {
		most = min(most, b.holders)
	}
	share := limit.DivideAmong(l, ids, total, most)
	if zone, ok := s.stageZone(l.Process); ok {
		return limit.Share{Rate: share.Rate * float64(len(share.Holders)), Holders: []string{s.stageOwner(zone).ID}}
	}
	return share
}

// stageZone returns the zone of an upstream if it is a stage worker.
func (s *Server) stageZone(p limit.Process) (zone string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.directory.Get(p.ID)
	if !known || s.config.table == nil {
		return "", false
	}
	service := s.config.table.Service(u.Service)
	return u.Zone, service != nil && service.Batch != nil
}
