package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"teaselplank/fleet"
	"teaselplank/infra"
	"teaselplank/member"
	"teaselplank/peerpb"
	"teaselplank/wire"
)

const (
	// maxWitnesses bounds the nodes that are asked whether the store was away.
	maxWitnesses = 3
	// witnessTimeout bounds a question to one of them, and witnessPause is the time from one
	// that does not know to the next.
	witnessTimeout = 300 * time.Millisecond
	witnessPause   = 300 * time.Millisecond
)

// viewFailed records that the view of a stream could not be learned because of err. It logs the
// start of a store outage.
func (s *Server) viewFailed(stream infra.Stream, err error) {
	s.mu.Lock()
	state := s.streamState(stream)
	wasFailing := state.failing
	state.failing = true
	s.mu.Unlock()
	if !wasFailing {
		s.logger.Warn("store is unreachable", "stream", string(stream), "error", err.Error())
	}
}

// viewed records that the view of a stream was whole at a time. It logs the end of a series of
// failed calls, which has also ended if the store answered a repeat of a read, but not the read
// itself.
func (s *Server) viewed(stream infra.Stream, at time.Time, repeated bool) {
	s.mu.Lock()
	state := s.streamState(stream)
	missed, recovered := fleet.Gap{From: state.lastRead, Until: at}, state.failing || repeated
	grace := false
	if recovered && stream == infra.StreamUpstreams {
		grace = s.upstreamsMissed(missed, state.known)
		// If the long reads were sent before the store stopped answering, they may
		// get no answer although newer reads do.
		s.streamState(infra.StreamConfig).cancelRead()
		s.streamState(infra.StreamCrashes).cancelRead()
	}
	state.viewed(at, recovered)
	s.mu.Unlock()
	if recovered {
		s.logger.Info("store is reachable again", "stream", string(stream), "missed_ms", missed.Until.Sub(missed.From).Milliseconds(),
			"repeated", repeated, "grace", grace)
	}
}

// upstreamsMissed handles a gap in the view of the upstreams after calls have failed, and reports
// whether a grace period starts. Calls that have failed do not mean that the store was away:
// another node, or the next call, may have had the records in time. Only the time without a view
// counts. A node that had no view before does not know for how long the store was away. The lock must
// be held.
func (s *Server) upstreamsMissed(g fleet.Gap, known bool) (grace bool) {
	if !s.outages.Add(g) && known {
		return false
	}
	s.directory.StoreRecovered(s.now(), s.upstreamsLag())
	if known {
		go s.checkOutage(s.directory.GraceUntil())
	}
	return true
}

// checkOutage ends the grace period with the given end if another node shows that the store was not
// away. Only nodes of the own zone are asked, whose links to the store failed if those of the zone
// did: a node that has missed nothing but its own calls then acts as they do, but one of a zone
// that was cut off keeps the upstreams that were cut off with it.
func (s *Server) checkOutage(graceUntil time.Time) {
	for _, n := range s.witnesses() {
		if v, ok := s.askView(n.Addr); ok && s.endGrace(v, graceUntil) {
			s.logger.Info("store was not away", "witness", n.ID)
			return
		}
		if !s.sleep(witnessPause) {
			return
		}
	}
}

// witnesses returns some of the other nodes of the zone that are live.
func (s *Server) witnesses() []member.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var nodes []member.Node
	for _, p := range s.group.Peers() {
		if p.State() == member.Live && p.Node().Zone == s.self.Zone {
			nodes = append(nodes, p.Node())
		}
	}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes[:min(len(nodes), maxWitnesses)]
}

// askView returns the view that another node has of the upstreams, if it answers.
func (s *Server) askView(addr string) (v fleet.View, ok bool) {
	ctx, cancel := context.WithTimeout(s.context, witnessTimeout)
	defer cancel()
	s.mu.Lock()
	digest := s.group.Digest().Message()
	s.mu.Unlock()
	reply, err := s.peers.gossip(addr).Exchange(ctx, digest)
	if err != nil || reply.GetView() == nil {
		s.metrics.countPeerFailure("view")
		return fleet.View{}, false
	}
	v.Until = s.now().Add(-wire.Milliseconds(reply.GetView().GetAgeMs()))
	v.Since = v.Until.Add(-wire.Milliseconds(reply.GetView().GetLengthMs()))
	return v, true
}

// endGrace ends the grace period with the given end if no lease may have expired in what another
// node has not seen, and reports whether it does.
func (s *Server) endGrace(v fleet.View, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.directory.GraceUntil().Equal(until) || s.outages.Narrow(v) {
		return false
	}
	s.directory.EndGrace(s.now())
	return true
}

// viewMessage returns this node's view of the upstreams for other nodes, or nil if it has none. The
// lock must be held.
func (s *Server) viewMessage() *peerpb.ViewMessage {
	state := s.streamState(infra.StreamUpstreams)
	if !state.known {
		return nil
	}
	return &peerpb.ViewMessage{
		LengthMs: state.lastRead.Sub(state.since).Milliseconds(),
		AgeMs:    s.now().Sub(state.lastRead).Milliseconds(),
	}
}
