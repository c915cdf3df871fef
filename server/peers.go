package server

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"teaselplank/core"
	"teaselplank/member"
	"teaselplank/peerpb"
	"teaselplank/rules"
	"teaselplank/wire"
)

// peers holds the clients of the other nodes.
type peers struct {
	client *http.Client
	mu     sync.Mutex
	byAddr map[string]peerpb.Peer
}

// Limits of calls between nodes.
const (
	gossipTimeout  = time.Second
	stateTimeout   = 3 * time.Second
	maxIdlePerPeer = 4
)

// bearerTransport adds a credential to each request.
type bearerTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return b.next.RoundTrip(r)
}

func newPeers(token string) *peers {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleTimeout}
	return &peers{
		client: &http.Client{Transport: bearerTransport{token, transport}},
		byAddr: make(map[string]peerpb.Peer),
	}
}

// maxPeerClients is the maximum number of cached clients.
const maxPeerClients = 4096

func (p *peers) clientFor(addr string) peerpb.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.byAddr[addr]
	if c == nil {
		if len(p.byAddr) >= maxPeerClients {
			clear(p.byAddr)
		}
		c = peerpb.NewPeerProtobufClient("http://"+addr, p.client)
		p.byAddr[addr] = c
	}
	return c
}

// authorized wraps a handler so that it serves only requests with the credential. It also
// limits the size of their bodies.
func (s *Server) authorized(listener, token string, next http.Handler) http.Handler {
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			s.metrics.countUnauthorized(listener)
			http.Error(w, "credential is wrong or missing", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxAuthorizedBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// maxAuthorizedBodyBytes is the maximum body size of a request from a node or an operator.
const maxAuthorizedBodyBytes = 16 << 20

// peerHandler returns the handler of the listener for other nodes.
func (s *Server) peerHandler() http.Handler {
	return s.authorized("peers", s.settings.PeerToken, peerpb.NewPeerServer(peerService{s}))
}

// peerService implements peerpb.Peer.
type peerService struct{ server *Server }

// Exchange processes the digest of another node and returns the digest of this node.
func (p peerService) Exchange(_ context.Context, m *peerpb.DigestMessage) (*peerpb.DigestMessage, error) {
	p.server.Post(member.DigestReceived{Digest: member.DigestFromMessage(m)})
	var own member.Digest
	if !p.server.Query(func(n *core.Node) { own = n.Group().Digest() }) {
		return nil, twirp.NewError(twirp.Unavailable, "node is closed")
	}
	return own.Message(), nil
}

// State returns the rules and the host list.
func (p peerService) State(context.Context, *peerpb.StateRequest) (*peerpb.StateReply, error) {
	var checkpoint *rules.Checkpoint
	var hosts []wire.Host
	p.server.Query(func(n *core.Node) {
		checkpoint = n.Replica().Snapshot()
		hosts = n.Group().Hosts()
	})
	reply := &peerpb.StateReply{}
	var err error
	if checkpoint != nil {
		if reply.Rules, err = json.Marshal(checkpoint); err != nil {
			return nil, twirp.InternalErrorWith(fmt.Errorf("encode rules: %w", err))
		}
	}
	if reply.Hosts, err = json.Marshal(hosts); err != nil {
		return nil, twirp.InternalErrorWith(fmt.Errorf("encode hosts: %w", err))
	}
	return reply, nil
}

// Changes is not served: nodes read the log of the rules by themselves.
func (p peerService) Changes(context.Context, *peerpb.ChangesRequest) (*peerpb.ChangesReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "node reads its streams itself")
}

// Origin is not served: streams of the project's own interface are not resumed.
func (p peerService) Origin(context.Context, *peerpb.OriginRequest) (*peerpb.OriginReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "node resumes no streams")
}

// Forward runs a call that another node forwards to this one.
func (p peerService) Forward(ctx context.Context, m *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	s := p.server
	call := core.Call{
		ID: m.GetId(), Account: m.GetAccount(), Pipeline: m.GetPipeline(), Service: m.GetService(),
		Input: m.GetInput(), Prefix: m.GetPrefix(), Tokens: int(m.GetTokens()), Key: m.GetKey(),
		Timeout: time.Duration(m.GetWithinMs()) * time.Millisecond, Forwarded: true,
	}
	waiter := s.addWaiter(call.ID)
	defer s.removeWaiter(call.ID)
	s.Post(core.CallArrived{Call: call})
	select {
	case reply := <-waiter.reply:
		answer, err := json.Marshal(reply.Answer)
		if err != nil {
			return nil, twirp.InternalErrorWith(fmt.Errorf("encode answer: %w", err))
		}
		return &peerpb.ForwardReply{Answer: answer, Status: int32(reply.Status)}, nil
	case <-ctx.Done():
		s.Post(core.CallerDisconnected{ID: call.ID})
		return nil, twirp.NewError(twirp.Canceled, "caller has left")
	case <-s.context.Done():
		return nil, twirp.NewError(twirp.Unavailable, "node is closed")
	}
}

// gossip sends a digest to another node and posts the digest that it returns.
func (s *Server) gossip(e member.Gossip) {
	ctx, cancel := context.WithTimeout(s.context, gossipTimeout)
	defer cancel()
	m, err := s.peers.clientFor(e.Addr).Exchange(ctx, e.Digest.Message())
	if err != nil {
		s.metrics.countPeerFailure("exchange")
		return
	}
	s.Post(member.DigestReceived{Digest: member.DigestFromMessage(m)})
}

// fetchState fetches the rules and the host list of a peer.
func (s *Server) fetchState(e core.FetchState) {
	ctx, cancel := context.WithTimeout(s.context, stateTimeout)
	defer cancel()
	var fetched core.StateFetched
	m, err := s.peers.clientFor(e.Addr).State(ctx, &peerpb.StateRequest{})
	if err == nil && len(m.GetRules()) > 0 {
		err = json.Unmarshal(m.GetRules(), &fetched.Rules)
	}
	if err == nil && len(m.GetHosts()) > 0 {
		err = json.Unmarshal(m.GetHosts(), &fetched.Hosts)
	}
	if err != nil {
		s.metrics.countPeerFailure("state")
		fetched = core.StateFetched{}
	}
	s.Post(fetched)
}

// forward sends a call to another node and posts its answer.
func (s *Server) forward(e core.Forward) {
	ctx, cancel := context.WithDeadline(s.context, e.Deadline)
	defer cancel()
	c := e.Call
	m, err := s.peers.clientFor(e.Addr).Forward(ctx, &peerpb.ForwardRequest{
		Id: c.ID + "@" + s.settings.Node, Account: c.Account, Pipeline: c.Pipeline, Service: c.Service,
		Input: c.Input, Prefix: c.Prefix, Tokens: int32(c.Tokens), Key: c.Key,
		WithinMs: time.Until(e.Deadline).Milliseconds(),
	})
	var answer wire.Answer
	if err == nil {
		err = json.Unmarshal(m.GetAnswer(), &answer)
	}
	if err != nil {
		s.metrics.countPeerFailure("forward")
		s.Post(core.ForwardFailed{ID: c.ID})
		return
	}
	answer.Request = c.ID
	s.Post(core.ForwardAnswered{ID: c.ID, Answer: answer, Status: int(m.GetStatus())})
}
