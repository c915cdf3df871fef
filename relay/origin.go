package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"teaselplank/member"
	"teaselplank/origin"
	"teaselplank/peerpb"
	"teaselplank/proxy"
)

// askTimeout bounds the call that asks another node for the version that began a stream, whose
// client waits.
const askTimeout = 300 * time.Millisecond

// AskPeers implements share.Host. In a large deployment it asks nobody: each node would ask all
// others for each stream that clients resume in an outage of the store.
func (h originHost) AskPeers(ctx context.Context, e proxy.FindOrigin) proxy.OriginFound {
	peers := h.server.otherNodes()
	if len(peers) == 0 || len(peers)+1 >= minFollowNodes {
		return proxy.OriginFound{Number: e.Number}
	}
	replies := h.server.askOrigin(ctx, peers, &peerpb.OriginRequest{Id: e.ID, Service: e.Service})
	return originOfReplies(e.Number, replies, h.server.upstreamsAge())
}

// otherNodes returns all other nodes that the group remembers, also those that seem to have ended.
func (s *Server) otherNodes() []member.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var nodes []member.Node
	for _, p := range s.group.Peers() {
		nodes = append(nodes, p.Node())
	}
	return nodes
}

// askOrigin asks nodes for the version that began a stream. The reply of a node that does not
// answer is nil.
func (s *Server) askOrigin(ctx context.Context, nodes []member.Node, request *peerpb.OriginRequest) []*peerpb.OriginReply {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	replies := make([]*peerpb.OriginReply, len(nodes))
	var calls sync.WaitGroup
	for i, n := range nodes {
		calls.Go(func() {
			reply, err := s.peers.gossip(n.Addr).Origin(ctx, request)
			if err != nil {
				s.metrics.countPeerFailure("origin")
				return
			}
			replies[i] = reply
		})
	}
	calls.Wait()
	return replies
}

// originOfReplies returns the record of a stream from the replies of all other nodes, or the
// versions that they know. The age of this node's view of the upstreams tells which of them may
// have replaced a process that had begun streams since.
func originOfReplies(number uint64, replies []*peerpb.OriginReply, viewAge time.Duration) proxy.OriginFound {
	found := proxy.OriginFound{Number: number, Peers: proxy.PeerVersions{Complete: true}}
	for _, r := range replies {
		if r.GetFound() {
			return proxy.OriginFound{
				Number: number, Source: proxy.OriginPeer, Age: time.Duration(r.GetAgeMs()) * time.Millisecond,
				Record: origin.Record{Service: r.GetService(), Version: r.GetVersion(), Attempt: int(r.GetAttempt())},
			}
		}
		if r == nil || time.Duration(r.GetUptimeMs())*time.Millisecond <= viewAge {
			found.Peers.Complete = false
			continue
		}
		found.Peers.Versions = append(found.Peers.Versions, r.GetVersions()...)
	}
	slices.Sort(found.Peers.Versions)
	found.Peers.Versions = slices.Compact(found.Peers.Versions)
	return found
}

// Origin returns what this node itself knows of the version that began a stream.
func (p peerService) Origin(_ context.Context, m *peerpb.OriginRequest) (*peerpb.OriginReply, error) {
	s := p.server
	reply := &peerpb.OriginReply{UptimeMs: s.uptime().Milliseconds()}
	if r, age, ok := s.origins.Own(m.GetId()); ok {
		reply.Found, reply.Service, reply.Version = true, r.Service, r.Version
		reply.Attempt, reply.AgeMs = int32(r.Attempt), age.Milliseconds()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Versions = s.node.RecentVersions(s.now(), m.GetService())
	return reply, nil
}
