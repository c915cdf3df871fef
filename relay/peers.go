package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"teaselplank/fleet"
	"teaselplank/health"
	"teaselplank/member"
	"teaselplank/peerpb"
	"teaselplank/proxy"
	"teaselplank/wire"
)

// peers holds the clients of the other nodes and what is known of the way to them.
type peers struct {
	client *http.Client
	mu     sync.Mutex
	byAddr map[string]*peer
}

// A peer is the way to one other node.
type peer struct {
	gossip peerpb.Peer
	stages peerpb.Stages
	// health has the calls that failed since the last that did not.
	health health.Record
	// attended are the calls under way that end if the node falls silent.
	attended map[*context.CancelFunc]bool
	watched  bool
}

const (
	// peerDialTimeout bounds the making of a connection to another node.
	peerDialTimeout = 400 * time.Millisecond
	// gossipTimeout and stateTimeout bound calls to other nodes.
	gossipTimeout = time.Second
	stateTimeout  = 2 * time.Second
	// pingEvery is how often a node with calls under way is asked whether it is
	// there, pingTimeout how long it has to answer, and maxPings how many
	// answers in a row may be missing.
	pingEvery   = 400 * time.Millisecond
	pingTimeout = 600 * time.Millisecond
	maxPings    = 2
)

// peerBackoff is how long a node that could not be reached is given no work.
var peerBackoff = health.Backoff{Least: 1500 * time.Millisecond, Most: 12 * time.Second}

func newPeers() *peers {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
	return &peers{client: &http.Client{Transport: transport}, byAddr: make(map[string]*peer)}
}

// at returns the way to a node. The lock must be held.
func (p *peers) at(addr string) *peer {
	one := p.byAddr[addr]
	if one == nil {
		one = &peer{
			gossip:   peerpb.NewPeerProtobufClient("http://"+addr, p.client),
			stages:   peerpb.NewStagesProtobufClient("http://"+addr, p.client),
			attended: make(map[*context.CancelFunc]bool),
		}
		p.byAddr[addr] = one
	}
	return one
}

func (p *peers) gossip(addr string) peerpb.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at(addr).gossip
}

func (p *peers) stages(addr string) peerpb.Stages {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at(addr).stages
}

// avoid keeps work from a node for a while.
func (p *peers) avoid(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at(addr).health.Fail(time.Now(), peerBackoff)
}

// reached notes that a node has answered.
func (p *peers) reached(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at(addr).health.Clear()
}

func (p *peers) avoided(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.byAddr[addr]
	return one != nil && one.health.Suspect(time.Now())
}

// attend ends a call if its node falls silent. The function that it returns ends
// that.
func (p *peers) attend(addr string, cancel context.CancelFunc) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.at(addr)
	one.attended[&cancel] = true
	if !one.watched {
		one.watched = true
		go p.watch(addr, one)
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(one.attended, &cancel)
	}
}

// watch asks a node whether it is there while calls to it are under way.
func (p *peers) watch(addr string, one *peer) {
	missed := 0
	for {
		time.Sleep(pingEvery)
		p.mu.Lock()
		if len(one.attended) == 0 {
			one.watched = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		_, err := one.stages.Release(ctx, &peerpb.ReleaseMessage{})
		cancel()
		if err == nil {
			missed = 0
			continue
		}
		if missed++; missed >= maxPings {
			p.lose(one)
		}
	}
}

// lose ends the calls to a node that has fallen silent.
func (p *peers) lose(one *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one.health.Fail(time.Now(), peerBackoff)
	for cancel := range one.attended {
		(*cancel)()
	}
}

// peerHandler serves the listener for other nodes.
func (s *Server) peerHandler() http.Handler {
	mux := http.NewServeMux()
	gossip := peerpb.NewPeerServer(peerService{s})
	stages := peerpb.NewStagesServer(stageService{s})
	mux.Handle(gossip.PathPrefix(), gossip)
	mux.Handle(stages.PathPrefix(), stages)
	return mux
}

// peerService implements peerpb.Peer.
type peerService struct{ server *Server }

// Exchange takes in a digest and returns the node's own.
func (p peerService) Exchange(_ context.Context, m *peerpb.DigestMessage) (*peerpb.DigestMessage, error) {
	s := p.server
	s.memberStep(member.Heard{Digest: member.DigestOf(m)})
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.Digest().Message(), nil
}

// State returns the configuration's document and the upstreams.
func (p peerService) State(context.Context, *peerpb.StateRequest) (*peerpb.StateReply, error) {
	s := p.server
	s.mu.Lock()
	document, upstreams := s.config, s.directory.All()
	s.mu.Unlock()
	hosts, err := json.Marshal(upstreams)
	if err != nil {
		return nil, twirp.InternalErrorWith(fmt.Errorf("encode upstreams: %w", err))
	}
	return &peerpb.StateReply{Rules: document, Hosts: hosts}, nil
}

// Forward is of the project's own interface and not served here.
func (p peerService) Forward(context.Context, *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "node serves a deployment")
}

// memberStep gives the group an event and performs its effects.
func (s *Server) memberStep(event member.Event) {
	s.mu.Lock()
	var sends []member.Gossip
	changed := false
	for _, e := range s.group.Step(s.now(), event) {
		switch e := e.(type) {
		case member.Gossip:
			sends = append(sends, e)
		case member.Marked:
			changed = s.marked(e.Mark) || changed
		}
	}
	live := len(s.group.Live())
	var newer string
	if heard, ok := event.(member.Heard); ok {
		newer = s.newer(heard.Digest)
	}
	s.mu.Unlock()
	s.step(proxy.Nodes{Count: live})
	if changed {
		s.upstreamsChanged()
	}
	for _, g := range sends {
		go s.exchange(g)
	}
	if newer != "" {
		go s.fetch(newer)
	}
}

// marked takes in that a host leaves, and reports whether that is an upstream.
func (s *Server) marked(m member.Mark) bool {
	born, err := parseBorn(m.Incarnation)
	if err != nil {
		// The mark is of another node, whose incarnation is a UUID.
		return false
	}
	return s.directory.Drain(m.Host, born)
}

// newer returns the address of a node that has a newer configuration in force, or
// an empty string.
func (s *Server) newer(d member.Digest) string {
	version := s.version()
	for _, n := range append([]member.Node{d.From}, d.Nodes...) {
		if n.Version > version && n.Version > s.hearing && n.ID != s.self.ID {
			s.hearing = n.Version
			return n.Addr
		}
	}
	return ""
}

// version returns the version of the configuration in force. The lock must be held.
func (s *Server) version() int64 {
	if t := s.node.Table(); t != nil {
		return t.Version()
	}
	return 0
}

// exchange sends a digest and takes in the other node's.
func (s *Server) exchange(g member.Gossip) {
	ctx, cancel := context.WithTimeout(s.context, gossipTimeout)
	defer cancel()
	m, err := s.peers.gossip(g.Addr).Exchange(ctx, g.Digest.Message())
	if err != nil {
		s.metrics.peerFailure("exchange")
		return
	}
	s.peers.reached(g.Addr)
	s.memberStep(member.Heard{Digest: member.DigestOf(m)})
}

// fetch takes over what another node knows of the configuration and, while the
// store cannot be read, of the upstreams.
func (s *Server) fetch(addr string) {
	defer func() {
		s.mu.Lock()
		s.hearing = 0
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(s.context, stateTimeout)
	defer cancel()
	m, err := s.peers.gossip(addr).State(ctx, &peerpb.StateRequest{})
	if err != nil {
		s.metrics.peerFailure("state")
		return
	}
	if len(m.GetRules()) > 0 {
		s.configure(m.GetRules(), "peer "+addr)
	}
	var upstreams []fleet.Upstream
	if err := json.Unmarshal(m.GetHosts(), &upstreams); err != nil {
		s.metrics.peerFailure("state")
		return
	}
	s.learn(upstreams)
}

// learn adds upstreams that another node knows, unless the store tells of them.
func (s *Server) learn(upstreams []fleet.Upstream) {
	s.mu.Lock()
	if s.registered && !s.storeAway() {
		s.mu.Unlock()
		return
	}
	changed := false
	for _, u := range upstreams {
		changed = s.directory.Put(u) || changed
	}
	s.registered = s.registered || len(upstreams) > 0
	s.mu.Unlock()
	if changed {
		s.upstreamsChanged()
	}
}

// listed returns the other nodes as the registry lists them, for the group.
func listed(nodes []member.Node) member.Event {
	hosts := make([]wire.Host, len(nodes))
	for i, n := range nodes {
		hosts[i] = wire.Host{ID: n.ID, Incarnation: n.Incarnation, Role: member.RoleEntry, Zone: n.Zone, Addr: n.Addr}
	}
	return member.Listed{Hosts: hosts}
}
