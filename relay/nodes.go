package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"teaselplank/infra"
	"teaselplank/member"
)

const (
	// minNodesPause is the first pause between reads of the nodes. It is short because
	// nodes that start together read too early to find each other, and grows with each
	// read up to maxNodesPause.
	minNodesPause = 400 * time.Millisecond
	maxNodesPause = 20 * time.Second
	// earlyNodesPause and largeNodesPause are for deployments in which nodes follow others.
	// After the reads of the first seconds a node learns of others by gossip: each that
	// starts sends its digest to all that are listed. Later reads only recover nodes that
	// gossip has lost.
	earlyNodesPause = 3 * minNodesPause
	largeNodesPause = time.Minute
)

// nextNodesPause returns the pause between two reads of the nodes after a pause.
func nextNodesPause(pause time.Duration, nodes int) time.Duration {
	switch {
	case nodes < minFollowNodes:
		return min(3*pause, maxNodesPause)
	case pause < earlyNodesPause:
		return earlyNodesPause
	}
	return largeNodesPause
}

// followNodes writes the node's entry to the store and reads those of the others. Nodes
// that have read each other's entries share everything else by gossip.
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
		s.recordStoreRead(infra.StreamNodes, storeRead{started: started, err: err})
		if err != nil {
			s.sleep(maxReadBackoff)
			continue
		}
		if s.sleepUnlessRestored(pause) {
			pause = nextNodesPause(pause, s.nodeCount())
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
		n, err := parseNode(r)
		if err != nil {
			s.metrics.countInvalid("node")
			continue
		}
		if n.ID != s.self.ID {
			nodes = append(nodes, n)
		}
	}
	s.memberStep(listedEvent(nodes))
	s.mu.Lock()
	s.join.Listed(len(nodes))
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

// parseNode decodes the entry of a node. One that another program has written must not count
// as a node, for which others wait or which they call.
func parseNode(r infra.KeyedRecord) (member.Node, error) {
	var n member.Node
	if err := json.Unmarshal(r.Value, &n); err != nil {
		return n, fmt.Errorf("decode entry of node %q: %w", r.Key, err)
	}
	if n.ID != r.Key || n.Incarnation == "" {
		return n, fmt.Errorf("decode entry of node %q: it is that of %q, incarnation %q", r.Key, n.ID, n.Incarnation)
	}
	if a, err := netip.ParseAddrPort(n.Addr); err != nil || a.Port() == 0 {
		return n, fmt.Errorf("decode entry of node %q: address %q is not an IP address and port", r.Key, n.Addr)
	}
	return n, nil
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
