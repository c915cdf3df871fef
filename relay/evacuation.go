package relay

import (
	"strings"

	"teaselplank/batch"
	"teaselplank/evac"
	"teaselplank/infra"
	"teaselplank/member"
	"teaselplank/proxy"
)

// observeEvacuations passes the operator's records on evacuations in a page of
// infra.StreamConfig to the group.
func (s *Server) observeEvacuations(page infra.Page, all bool) {
	p := evac.Page{Whole: all, Epoch: int64(page.Epoch), End: page.Next}
	for _, r := range page.Records {
		zone, ok := strings.CutPrefix(r.Key, infra.KeyEvacuation)
		if !ok {
			continue
		}
		record := evac.Record{Zone: zone, Offset: r.Offset, Present: len(r.Value) > 0}
		if record.Present {
			if err := s.protocol.ParseEvacuation(r.Value); err != nil {
				s.logger.Error("evacuation is not valid", "zone", zone, "offset", r.Offset, "error", err.Error())
				s.metrics.countInvalid("evacuation")
				record.Unreadable = true
			}
		}
		p.Records = append(p.Records, record)
	}
	s.memberStep(member.EvacuationsRead{Page: p})
}

// applyEvacuation passes the evacuated zones to the node at the moment at which the group
// learns of a change. The lock must be held.
func (s *Server) applyEvacuation(changed evac.State) {
	now := s.now()
	if !changed.Evacuated {
		s.warmups.Doubt(now, changed.Zone)
	}
	s.node.Step(now, proxy.ZonesEvacuated{Zones: s.group.EvacuatedZones()})
}

// evacuationsChanged logs changes and passes the evacuated zones to the scheduler. Concurrent
// calls run one after the other, so that the newest zones are passed last.
func (s *Server) evacuationsChanged(changed []evac.State, event member.Event) {
	if len(changed) == 0 {
		return
	}
	source := "node"
	if _, ok := event.(member.EvacuationsRead); ok {
		source = "store"
	}
	for _, c := range changed {
		s.logger.Info("evacuation of a zone has changed", "zone", c.Zone, "evacuated", c.Evacuated, "epoch", c.Epoch, "offset", c.Offset, "source", source)
	}
	s.limitMu.Lock()
	s.mu.Lock()
	zones := s.group.EvacuatedZones()
	s.mu.Unlock()
	s.owner.step(batch.ZonesEvacuated{Zones: zones})
	s.limitMu.Unlock()
	s.applyAllLimits()
}
