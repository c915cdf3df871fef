package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"teaselplank/conns"
	"teaselplank/evac"
	"teaselplank/fleet"
	"teaselplank/health"
	"teaselplank/limit"
	"teaselplank/member"
	"teaselplank/origin"
	"teaselplank/pace"
	"teaselplank/peerpb"
	"teaselplank/poison"
	"teaselplank/proxy"
	"teaselplank/wire"
)

// peers holds the connections to the other nodes and their health.
type peers struct {
	client *http.Client
	mu     sync.Mutex
	byAddr map[string]*peerConn
}

// A peerConn holds the clients of another node and its health.
type peerConn struct {
	gossip peerpb.Peer
	stages peerpb.Stages
	// health counts the calls that failed since the last success.
	health health.Record
	// cancels holds the calls in flight, which are cancelled if the node becomes
	// unresponsive.
	cancels map[*context.CancelFunc]bool
	pinging bool
}

const (
	// peerDialTimeout bounds making a connection to another node.
	peerDialTimeout = 400 * time.Millisecond
	// gossipTimeout and stateTimeout bound calls to other nodes.
	gossipTimeout = time.Second
	stateTimeout  = 2 * time.Second
	// pingInterval is how often a node with calls in flight is pinged, pingTimeout
	// bounds a ping, and maxMissedPings is the number of consecutive failed pings
	// after which the node counts as unresponsive.
	pingInterval   = 400 * time.Millisecond
	pingTimeout    = 600 * time.Millisecond
	maxMissedPings = 2
)

// peerBackoff bounds how long a node that could not be reached gets no work.
var peerBackoff = health.Backoff{Min: 1500 * time.Millisecond, Max: 12 * time.Second}

func newPeers() *peers {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: conns.MaxHeadBytes,
	}
	return &peers{client: &http.Client{Transport: boundedTransport{transport}}, byAddr: make(map[string]*peerConn)}
}

// maxPeerBytes bounds a message from another node, of which the upstreams of a large
// deployment are the longest.
const maxPeerBytes = 8 << 20

// maxPeerCases bounds the cases that are sent to another node, with at most 300 bytes each,
// to leave room for the upstreams.
const maxPeerCases = 12 << 10

// peerType is the media type of messages from other nodes.
const peerType = "application/protobuf"

// errForeignReply means that a success is no message of a node. Another process may listen at
// the address of a node that is gone.
var errForeignReply = errors.New("response is not a message of a node")

// A boundedTransport bounds the bodies of responses, which the generated clients read
// whole, and refuses those of other types, as an empty body is a valid message. It also refuses
// those with neither a length nor chunks, as a message that breaks off between two fields is valid.
type boundedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (b boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := b.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, fmt.Errorf("call node: %w", err)
	}
	if response.StatusCode == http.StatusOK && (mediaType(response) != peerType || endsWithConnection(response)) {
		response.Body.Close()
		return nil, fmt.Errorf("call node: %w", errForeignReply)
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxPeerBytes)
	return response, nil
}

// getOrCreate returns the entry of a node. The lock must be held.
func (p *peers) getOrCreate(addr string) *peerConn {
	found := p.byAddr[addr]
	if found == nil {
		found = &peerConn{
			gossip:  peerpb.NewPeerProtobufClient("http://"+addr, p.client),
			stages:  peerpb.NewStagesProtobufClient("http://"+addr, p.client),
			cancels: make(map[*context.CancelFunc]bool),
		}
		p.byAddr[addr] = found
	}
	return found
}

func (p *peers) gossip(addr string) peerpb.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.getOrCreate(addr).gossip
}

func (p *peers) stages(addr string) peerpb.Stages {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.getOrCreate(addr).stages
}

// markSuspect records a failed call: the node gets no work for the backoff time.
func (p *peers) markSuspect(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.getOrCreate(addr).health.Fail(time.Now(), peerBackoff)
}

// markReachable records a successful call to a node.
func (p *peers) markReachable(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.getOrCreate(addr).health.Clear()
}

func (p *peers) isSuspect(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byAddr[addr]
	return known != nil && known.health.Suspect(time.Now())
}

// cancelOnSilence cancels a call if its node becomes unresponsive. The caller calls
// the returned function when the call has ended.
func (p *peers) cancelOnSilence(addr string, cancel context.CancelFunc) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.getOrCreate(addr)
	target.cancels[&cancel] = true
	if !target.pinging {
		target.pinging = true
		go p.pingLoop(addr, target)
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(target.cancels, &cancel)
	}
}

// pingLoop pings a node while calls to it are in flight.
func (p *peers) pingLoop(addr string, target *peerConn) {
	missed := 0
	for {
		time.Sleep(pingInterval)
		p.mu.Lock()
		if len(target.cancels) == 0 {
			target.pinging = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		_, err := target.stages.Release(ctx, &peerpb.ReleaseMessage{})
		cancel()
		if err == nil {
			missed = 0
			continue
		}
		if missed++; missed >= maxMissedPings {
			p.cancelCalls(target)
		}
	}
}

// cancelCalls marks an unresponsive node as suspect and cancels the calls to it.
func (p *peers) cancelCalls(target *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target.health.Fail(time.Now(), peerBackoff)
	for cancel := range target.cancels {
		(*cancel)()
	}
}

// peerHandler serves the listener for other nodes.
func (s *Server) peerHandler() http.Handler {
	mux := http.NewServeMux()
	gossipServer := peerpb.NewPeerServer(peerService{s})
	stagesServer := peerpb.NewStagesServer(stageService{s})
	mux.Handle(gossipServer.PathPrefix(), gossipServer)
	mux.Handle(stagesServer.PathPrefix(), stagesServer)
	return http.MaxBytesHandler(mux, maxPeerBytes)
}

// peerService implements peerpb.Peer.
type peerService struct{ server *Server }

// Exchange merges another node's digest and returns this node's.
func (p peerService) Exchange(_ context.Context, m *peerpb.DigestMessage) (*peerpb.DigestMessage, error) {
	s := p.server
	s.memberStep(member.DigestReceived{Digest: member.DigestFromMessage(m)})
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.group.Digest().Message()
	reply.View = s.viewMessage()
	return reply, nil
}

// State returns the configuration's document and the upstreams.
func (p peerService) State(_ context.Context, m *peerpb.StateRequest) (*peerpb.StateReply, error) {
	s := p.server
	s.mu.Lock()
	var document []byte
	if s.configVersion() > m.GetVersion() {
		document = s.config.document
	}
	state := peerState{
		Upstreams: s.agedUpstreams(), Removed: s.directory.Removed(), Cases: s.node.PoisonCases(), Limits: s.group.Limits(),
		Defaults: s.node.KnownDefaults(), Epoch: int64(s.epoch), Paces: s.group.Paces(), Evacuations: s.group.Evacuations(), Cold: s.coldUpstreams(),
	}
	s.mu.Unlock()
	state.Cases = state.Cases[:min(len(state.Cases), maxPeerCases)]
	hosts, err := json.Marshal(state)
	if err != nil {
		return nil, twirp.InternalErrorWith(fmt.Errorf("encode upstreams: %w", err))
	}
	return &peerpb.StateReply{Rules: document, Hosts: hosts}, nil
}

// A peerState is a node's view of the upstreams, of their limits and of what in requests
// crashes them, as it is sent to other nodes.
type peerState struct {
	Upstreams []fleet.Upstream
	Removed   []fleet.Removal
	Cases     []poison.Case
	Limits    []limit.Limit
	// Paces are those of upstreams in a slow start.
	Paces []limit.Limit
	// Evacuations are those of zones, and Cold the upstreams that are cold.
	Evacuations []evac.State
	Cold        []pace.Cold
	// Defaults are the default versions of services in the store's epoch Epoch.
	Defaults []origin.Default
	Epoch    int64
}

// Forward belongs to the project's own protocol; an entry host of a deployment does
// not implement it.
func (p peerService) Forward(context.Context, *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "node serves a deployment")
}

// Changes returns records of a stream that this node reads from the store.
func (p peerService) Changes(ctx context.Context, m *peerpb.ChangesRequest) (*peerpb.ChangesReply, error) {
	return p.server.serveChanges(ctx, m), nil
}

// A memberOutcome is what is left to do after a step of the group, without the lock.
type memberOutcome struct {
	sends       []member.Gossip
	limits      []limit.Limit
	paces       []limit.Limit
	evacuations []evac.State
	// draining is true if an upstream has begun to drain.
	draining bool
	live     int
	// newer is the address of a node with a newer configuration, or empty.
	newer string
}

// memberStep applies an event to the group and performs its effects.
func (s *Server) memberStep(event member.Event) {
	o := s.stepGroup(event)
	s.step(proxy.NodeCount{Count: o.live})
	s.limitsChanged(o.limits)
	s.pacesChanged(o.paces)
	s.evacuationsChanged(o.evacuations, event)
	if o.draining {
		s.updateReducers()
	}
	for _, g := range o.sends {
		go s.sendDigest(g)
	}
	if o.newer != "" {
		go s.fetchState(o.newer)
	}
}

// stepGroup applies an event to the group. A panic leaves the lock free.
func (s *Server) stepGroup(event member.Event) memberOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	var o memberOutcome
	for _, e := range s.group.Step(s.now(), event) {
		switch e := e.(type) {
		case member.Gossip:
			o.sends = append(o.sends, e)
		case member.MarkAdded:
			o.draining = s.applyMark(e.Mark) || o.draining
		case member.LimitChanged:
			o.limits = append(o.limits, e.Limit)
		case member.PaceChanged:
			o.paces = append(o.paces, e.Pace)
		case member.EvacuationChanged:
			s.applyEvacuation(e.State)
			o.evacuations = append(o.evacuations, e.State)
		}
	}
	o.live = len(s.group.Live())
	if received, ok := event.(member.DigestReceived); ok {
		o.newer = s.newerConfigAddr(received.Digest)
	}
	return o
}

// applyMark marks a leaving upstream as draining and reports whether that changes the
// directory.
func (s *Server) applyMark(m member.Mark) bool {
	born, err := parseBorn(m.Incarnation)
	if err != nil {
		// The mark is for a node, whose incarnation is a UUID.
		return false
	}
	return s.directory.Drain(m.Host, born)
}

// newerConfigAddr returns the address of a node with a newer configuration, or an
// empty string.
func (s *Server) newerConfigAddr(d member.Digest) string {
	version := s.configVersion()
	for _, n := range append([]member.Node{d.From}, d.Nodes...) {
		if n.Version > version && n.Version > s.fetchingVersion && n.ID != s.self.ID {
			s.fetchingVersion = n.Version
			return n.Addr
		}
	}
	return ""
}

// configVersion returns the version of the configuration in force, or 0. The lock must
// be held.
func (s *Server) configVersion() int64 {
	if t := s.node.Table(); t != nil {
		return t.Version()
	}
	return 0
}

// sendDigest sends a digest to another node and merges the one it returns.
func (s *Server) sendDigest(g member.Gossip) {
	ctx, cancel := context.WithTimeout(s.context, gossipTimeout)
	defer cancel()
	m, err := s.peers.gossip(g.Addr).Exchange(ctx, g.Digest.Message())
	if err != nil {
		s.metrics.countPeerFailure("exchange")
		return
	}
	s.peers.markReachable(g.Addr)
	s.memberStep(member.DigestReceived{Digest: member.DigestFromMessage(m)})
}

// fetchState fetches the configuration and the upstreams from another node. It applies the
// configuration if it is newer, and the upstreams while the store cannot be read.
func (s *Server) fetchState(addr string) {
	defer func() {
		s.mu.Lock()
		s.fetchingVersion = 0
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(s.context, stateTimeout)
	defer cancel()
	s.mu.Lock()
	version := s.configVersion()
	s.mu.Unlock()
	m, err := s.peers.gossip(addr).State(ctx, &peerpb.StateRequest{Version: version})
	if err != nil {
		s.metrics.countPeerFailure("state")
		return
	}
	var state peerState
	err = json.Unmarshal(m.GetHosts(), &state)
	if err == nil {
		// The node may accept requests once it has a configuration.
		s.memberStep(member.DigestReceived{Digest: member.Digest{Evacuations: state.Evacuations}})
	}
	if len(m.GetRules()) > 0 && s.applyConfig(m.GetRules(), "peer "+addr) && version > 0 {
		s.configLearned()
	}
	if err != nil {
		s.metrics.countPeerFailure("state")
		return
	}
	s.mergeState(state)
}

// mergeState merges the upstreams of another node: it removes those that the node has
// removed, and adds the others unless they can be read from the store.
func (s *Server) mergeState(state peerState) {
	s.mu.Lock()
	s.join.Finish()
	s.casesKnown = true
	changed := s.directory.MergeRemoved(state.Removed)
	unread := !s.upstreamsKnown || s.storeOutage()
	if unread {
		changed = s.putUpstreams(state.Upstreams) || changed
	}
	s.warmups.Merge(s.now(), state.Cold)
	s.mu.Unlock()
	if unread {
		s.step(proxy.DefaultsLearned{Defaults: state.Defaults, Epoch: state.Epoch})
	}
	if changed {
		s.logger.Info("upstreams merged with those of another node", "upstreams", len(state.Upstreams), "removed", len(state.Removed))
		s.updateReducers()
	}
	s.step(proxy.CasesRead{Cases: state.Cases})
	s.memberStep(member.DigestReceived{Digest: member.Digest{Limits: state.Limits, Paces: state.Paces}})
}

// putUpstreams adds upstreams received from another node and reports whether that changes
// the directory. The lock must be held.
func (s *Server) putUpstreams(upstreams []fleet.Upstream) bool {
	changed := false
	s.observeWarmups(upstreams, true)
	for _, u := range upstreams {
		changed = s.directory.Put(s.withMark(u)) || changed
	}
	s.upstreamsKnown = s.upstreamsKnown || len(upstreams) > 0
	return changed
}

// listedEvent returns the event that gives the group the nodes listed in the store.
func listedEvent(nodes []member.Node) member.Event {
	hosts := make([]wire.Host, len(nodes))
	for i, n := range nodes {
		hosts[i] = wire.Host{ID: n.ID, Incarnation: n.Incarnation, Role: member.RoleEntry, Zone: n.Zone, Addr: n.Addr}
	}
	return member.HostsListed{Hosts: hosts}
}
