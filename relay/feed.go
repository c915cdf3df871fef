package relay

import (
	"context"
	"time"

	"teaselplank/fleet"
	"teaselplank/member"
	"teaselplank/peerpb"
)

// In a large deployment only a few nodes of each zone read the upstreams from the store.
// They tell a few others of each change, and every node that learns something new tells a
// few others in turn. A node whose upstreams differ from those of others for longer than a
// change takes to spread fetches them from another node.
const (
	// readersPerZone is the number of nodes that read the upstreams in each zone, of
	// more than nodesAtMinPause nodes. One of them may be cut off from the store.
	readersPerZone = 2
	// readerCheckInterval is how often a node that does not read checks whether it has
	// to, because a reader has left or is silent.
	readerCheckInterval = 200 * time.Millisecond
	// updateFanout is the number of nodes that a node tells of a change.
	updateFanout = 5
	// maxUpdate bounds the changes of one message. Directories that differ by more are
	// fetched as a whole.
	maxUpdate = 64
	// updateTimeout bounds telling another node.
	updateTimeout = time.Second
	// announceDelay is how long after a configuration a node tells others of it. Most
	// nodes have read it from the store by then.
	announceDelay = 500 * time.Millisecond
)

// isReader reports whether a node reads the upstreams from the store, given the live
// peers.
func isReader(self member.Node, peers []member.Node) bool {
	if len(peers)+1 <= nodesAtMinPause {
		return true
	}
	ahead := 0
	for _, n := range peers {
		if n.Zone == self.Zone && !n.Leaving && compareOwners(n, self) < 0 {
			ahead++
		}
	}
	return ahead < readersPerZone
}

// readsUpstreams reports whether this node reads the upstreams from the store now. Each
// node does so at its start.
func (s *Server) readsUpstreams() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []member.Node
	for _, p := range s.group.Peers() {
		if p.State() == member.Live {
			live = append(live, p.Node())
		}
	}
	reads := !s.upstreamsKnown || isReader(s.self, live)
	if reads != s.reader {
		s.logger.Info("reading of upstreams changes", "reads", reads, "live", len(live)+1)
	}
	s.reader = reads
	return reads
}

// awaitReader waits until this node reads the upstreams, or the server closes. It reports
// whether the node had stopped reading in between.
func (s *Server) awaitReader() bool {
	paused := false
	for !s.readsUpstreams() {
		paused = true
		if !s.sleep(readerCheckInterval) {
			break
		}
	}
	return paused
}

// takeUpdate returns the changes of the directory that other nodes are to be told of, and
// the addresses of these nodes. The lock must be held.
func (s *Server) takeUpdate() (*peerpb.UpdateMessage, []string) {
	changes := s.directory.TakeChanges()
	if len(changes) == 0 || len(changes) > maxUpdate || len(s.group.Peers()) < nodesAtMinPause {
		return nil, nil
	}
	return updateMessage(changes), s.group.RandomAddrs(updateFanout)
}

// sendUpdate tells other nodes of changes.
func (s *Server) sendUpdate(m *peerpb.UpdateMessage, addrs []string) {
	for _, addr := range addrs {
		go func() {
			ctx, cancel := context.WithTimeout(s.context, updateTimeout)
			defer cancel()
			if _, err := s.peers.gossip(addr).Update(ctx, m); err != nil {
				s.metrics.countPeerFailure("update")
			}
		}()
	}
}

// directoryChanged passes a change of the directory on: to the reducers, and to other
// nodes.
func (s *Server) directoryChanged() {
	s.mu.Lock()
	m, addrs := s.takeUpdate()
	s.mu.Unlock()
	s.updateReducers()
	s.sendUpdate(m, addrs)
}

// Update applies changes that another node has seen.
func (p peerService) Update(_ context.Context, m *peerpb.UpdateMessage) (*peerpb.UpdateReply, error) {
	s := p.server
	changes := changesOf(m)
	s.mu.Lock()
	for i := range changes {
		changes[i].Upstream = s.withMark(changes[i].Upstream)
	}
	changed := s.directory.Merge(changes)
	s.mu.Unlock()
	if changed {
		s.logger.Info("upstreams changed", "source", "peer", "changes", len(changes), "first", changes[0].Upstream.ID, "removed", changes[0].Removed)
		s.directoryChanged()
	}
	return &peerpb.UpdateReply{}, nil
}

// withMark returns the upstream, which drains if it has announced that it is leaving. The
// lock must be held.
func (s *Server) withMark(u fleet.Upstream) fleet.Upstream {
	mark := leavingMark(u)
	u.Draining = u.Draining || s.group.IsLeaving(mark.Host, mark.Incarnation)
	return u
}

// upstreamsHash returns the hash of the upstreams for digests, or 0 if they are not known
// yet. The lock must be held.
func (s *Server) upstreamsHash() uint64 {
	if !s.upstreamsKnown {
		return 0
	}
	return s.directory.Fingerprint()
}

// repairAddr returns the address of the sender of a digest if this node must fetch its
// upstreams, or an empty string. The lock must be held.
func (s *Server) repairAddr(d member.Digest) string {
	if s.reader || d.Upstreams == 0 || !s.repair.Needed(s.now(), s.directory.Fingerprint(), d.Upstreams) {
		return ""
	}
	s.logger.Info("upstreams differ from those of another node", "node", d.From.ID)
	return d.From.Addr
}

func updateMessage(changes []fleet.Change) *peerpb.UpdateMessage {
	m := &peerpb.UpdateMessage{}
	for _, c := range changes {
		u := c.Upstream
		m.Upstreams = append(m.Upstreams, &peerpb.UpstreamMessage{
			Id: u.ID, Born: u.Born, Seq: u.Seq, Removed: c.Removed, Service: u.Service, Addr: u.Addr, Zone: u.Zone,
			Slots: int32(u.Slots), Draining: u.Draining, WarmupMs: u.Warmup.Milliseconds(),
		})
	}
	return m
}

func changesOf(m *peerpb.UpdateMessage) []fleet.Change {
	var changes []fleet.Change
	for _, u := range m.GetUpstreams() {
		changes = append(changes, fleet.Change{Removed: u.GetRemoved(), Upstream: fleet.Upstream{
			ID: u.GetId(), Born: u.GetBorn(), Seq: u.GetSeq(), Service: u.GetService(), Addr: u.GetAddr(), Zone: u.GetZone(),
			Slots: int(u.GetSlots()), Draining: u.GetDraining(), Warmup: milliseconds(u.GetWarmupMs()),
		}})
	}
	return changes
}
