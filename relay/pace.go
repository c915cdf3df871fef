package relay

import (
	"time"

	"teaselplank/fleet"
	"teaselplank/limit"
	"teaselplank/pace"
)

// A rateBound is what all nodes together may send to a process.
type rateBound struct {
	// limit is Ended if nothing bounds the requests to the process.
	limit limit.Limit
	// holders is the largest number of nodes that share the rate, or 0 if any number may.
	holders int
	// paced is true if the process is in a slow start.
	paced bool
}

// narrow lowers the bound to a quota.
func (b *rateBound) narrow(q pace.Quota) {
	if b.limit.Ended || q.Rate < b.limit.Rate {
		b.limit.Rate, b.limit.Ended = q.Rate, false
	}
	if b.holders == 0 || q.Holders < b.holders {
		b.holders = q.Holders
	}
}

// rateBounds returns the bounds of the request rates of registered upstreams: the limits that these
// name, and quotas while they are cold or in a slow start. It includes upstreams whose limits have
// ended. It also returns the IDs of the nodes that may share the bounds, and the number of nodes
// including silent ones.
func (s *Server) rateBounds() (bounds []rateBound, ids []string, total int) {
	limits, ids, total := s.registeredLimits()
	byProcess := make(map[limit.Process]int, len(limits))
	for i, l := range limits {
		bounds = append(bounds, rateBound{limit: l})
		byProcess[l.Process] = i
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.warmingUpstreams() {
		p := c.process()
		i, known := byProcess[p]
		if !known {
			i = len(bounds)
			bounds = append(bounds, rateBound{limit: limit.Limit{Process: p, Ended: true}})
		}
		if c.left > 0 {
			bounds[i].narrow(s.settings.Warmup.Quota(c.service.WarmupRate))
		}
		if paced := s.group.Pace(p); !paced.Ended && c.service.Batch == nil {
			bounds[i].narrow(pace.StartQuota(paced.Rate))
			bounds[i].paced = true
		}
	}
	if ids == nil {
		ids, total = s.settledIDs()
	}
	return bounds, ids, total
}

// mayHoldShares reports whether this node may use its shares of quotas, which no two nodes may
// use at once.
func (s *Server) mayHoldShares() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.MayHoldShares()
}

// A warmingUpstream is an upstream whose service has slow starts.
type warmingUpstream struct {
	upstream fleet.Upstream
	service  *fleet.Service
	// left is how much longer it is cold, or 0.
	left time.Duration
}

func (w warmingUpstream) process() limit.Process {
	return limit.Process{ID: w.upstream.ID, Born: w.upstream.Born}
}

// warmingUpstreams returns the upstreams whose services have slow starts. The lock must be
// held.
func (s *Server) warmingUpstreams() []warmingUpstream {
	if s.config.table == nil || !s.config.table.HasSlowStarts() {
		return nil
	}
	now := s.now()
	var all []warmingUpstream
	for _, u := range s.directory.All() {
		if service := s.config.table.Service(u.Service); service.SlowStarts() {
			all = append(all, warmingUpstream{u, service, s.warmups.Left(now, u, service)})
		}
	}
	return all
}

// observeWarmups records the remaining warm-up times in entries. The entries
// are the newest of all upstreams, or those that were written since the last ones. It reports
// whether an upstream may have become cold or warm. The lock must be held.
func (s *Server) observeWarmups(upstreams []fleet.Upstream, newest bool) bool {
	now := s.now()
	s.warmups.Read(now, newest)
	changed := false
	for _, u := range upstreams {
		changed = s.warmups.Entry(now, u) && (s.config.table == nil || s.config.table.Service(u.Service).WarmsUp()) || changed
	}
	return changed
}

// forgetWarmups removes the state of upstreams that are no longer registered.
func (s *Server) forgetWarmups() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmups.Forget(func(id string) bool {
		_, ok := s.directory.Get(id)
		return ok
	})
}

// agedUpstreams returns the registered upstreams with their remaining warm-up as of now. The lock
// must be held.
func (s *Server) agedUpstreams() []fleet.Upstream {
	now := s.now()
	all := s.directory.All()
	for i := range all {
		all[i] = s.warmups.Aged(now, all[i])
	}
	return all
}

// coldUpstreams returns the upstreams that are cold. The lock must be held.
func (s *Server) coldUpstreams() []pace.Cold {
	var cold []pace.Cold
	for _, w := range s.warmingUpstreams() {
		if w.left > 0 {
			cold = append(cold, pace.Cold{Process: w.process(), LeftMS: w.left.Milliseconds()})
		}
	}
	return cold
}

// logWarmups logs the upstreams that have become cold or warm.
func (s *Server) logWarmups() {
	s.mu.Lock()
	warming := s.warmingUpstreams()
	before := s.cold
	s.cold = make(map[limit.Process]bool)
	for _, w := range warming {
		if w.left > 0 {
			s.cold[w.process()] = true
		}
	}
	now := s.cold
	s.mu.Unlock()
	for _, w := range warming {
		p := w.process()
		if now[p] == before[p] {
			continue
		}
		s.logger.Info("warm-up of an upstream has changed", "upstream", p.ID, "born", p.Born, "service", w.upstream.Service, "zone", w.upstream.Zone,
			"cold", now[p], "left_ms", w.left.Milliseconds(), "entry_ms", w.upstream.Warmup.Milliseconds(), "seq", w.upstream.Seq, "rate", w.service.WarmupRate)
	}
}
