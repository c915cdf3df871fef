// Package relay is the shell of an entry host in a deployment: it takes the
// requests of clients, has their stages done, sends them to upstreams and passes
// the answers on. What is to be done is decided by the reducers of packages proxy,
// batch and member; relay performs their effects and brings the ends back as
// events.
//
// The names and formats of a deployment's messages are those of a Protocol, and
// its store is a infra.Registry, so that the package knows neither.
package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"teaselplank/batch"
	"teaselplank/conf"
	"teaselplank/fleet"
	"teaselplank/infra"
	"teaselplank/member"
	"teaselplank/proxy"
	"teaselplank/trace"
)

// A Protocol translates the messages of a deployment.
type Protocol interface {
	// ParseConfig decodes the operator's configuration.
	ParseConfig(data []byte) (fleet.Config, error)
	// ParseUpstream decodes the entry of an upstream.
	ParseUpstream(id string, data []byte) (fleet.Upstream, error)
	// Request reads what a client asks for.
	Request(r *http.Request) (proxy.Request, error)
	// Forward returns the headers of an attempt, from those of the client.
	Forward(client http.Header, s proxy.Send, now time.Time) http.Header
	// Answer reads the head of an upstream's answer and the id of the request
	// that it belongs to.
	Answer(r *http.Response) (id string, answer proxy.Answer)
	// Reply sets the headers of an answer of the system's own.
	Reply(h http.Header, id string, retry time.Duration)
	// StageCall and FreeCall return the requests to workers of stages, and
	// StageAnswer decodes the answer to a call of so many pieces.
	StageCall(c batch.Call) (*http.Request, error)
	FreeCall(f batch.Free) (*http.Request, error)
	// ReportCall returns the request for the memory that a worker of stages has
	// left, and ReportAnswer decodes the most that it may be, in bytes.
	ReportCall(u fleet.Upstream) (*http.Request, error)
	ReportAnswer(body []byte) (int64, error)
	StageAnswer(status int, header http.Header, body []byte, pieces int) ([]batch.Outcome, batch.Failure)
}

// Options are what a Server needs.
type Options struct {
	Settings *conf.Entry
	Registry infra.Registry
	Protocol Protocol
	Logger   *slog.Logger
}

// A Server runs one entry host. Create it with New.
type Server struct {
	settings *conf.Entry
	registry infra.Registry
	protocol Protocol
	logger   *slog.Logger
	metrics  *metrics
	self     member.Node
	// started is when the server was created. All times are worked out from
	// it by the steady clock, so that they never jump.
	started time.Time

	// mu guards the reducers and what they are fed from.
	mu        sync.Mutex
	node      *proxy.Node
	group     *member.Group
	directory fleet.Directory
	// config is the document of the configuration in force, and hearing the
	// version that is being fetched from a peer, or 0.
	config  []byte
	hearing int64
	// registered is true once the upstreams were read.
	registered bool
	watchers   map[infra.Stream]*watcher

	// telling is held while the reducers are told of upstreams and services. It
	// is taken before mu.
	telling sync.Mutex

	owner     *owner
	peers     *peers
	upstreams *connections
	releases  releases

	number  atomic.Uint64
	stopped atomic.Bool
	// context ends when the server closes.
	context context.Context
	close   context.CancelFunc
}

// New returns a server that does nothing until Serve is called.
func New(o Options) (*Server, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("choose incarnation: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		settings: o.Settings,
		registry: o.Registry,
		protocol: o.Protocol,
		logger:   o.Logger,
		started:  time.Now(),
		self:     member.Node{ID: o.Settings.Node, Incarnation: id.String(), Addr: o.Settings.PeerAddr(), Zone: o.Settings.Zone, Processor: o.Settings.Processor},
		node:     proxy.New(proxy.Config{Zone: o.Settings.Zone, Budget: o.Settings.Budget}),
		peers:    newPeers(),
		watchers: make(map[infra.Stream]*watcher),
		context:  ctx,
		close:    cancel,
	}
	config := member.DefaultConfig()
	config.Self, config.Seeds = s.self, o.Settings.Seeds
	config.SuspectAfter = peerSuspectAfter
	s.group = member.New(config, uint64(s.started.UnixNano()))
	s.upstreams = newConnections()
	s.owner = newOwner(s)
	s.metrics = newMetrics(s)
	return s, nil
}

// peerSuspectAfter is how long another node may be silent before others take over
// what it owns.
const peerSuspectAfter = 2500 * time.Millisecond

// now returns the time by the steady clock.
func (s *Server) now() time.Time { return s.started.Add(time.Since(s.started)) }

// step gives the node an event and returns the effects for the request.
func (s *Server) step(event proxy.Event) []proxy.Effect {
	s.mu.Lock()
	effects := s.node.Step(s.now(), event)
	s.mu.Unlock()
	rest := effects[:0]
	for _, e := range effects {
		switch e := e.(type) {
		case proxy.Noted:
			s.log(e.Note)
		case proxy.Free:
			s.releases.add(e.Results)
		default:
			rest = append(rest, e)
		}
	}
	return rest
}

// log writes the line of a decision on a request.
func (s *Server) log(n proxy.Note) {
	s.metrics.decision(n)
	args := append([]any{"request", n.Request, "reason", string(n.Reason)}, n.Inputs...)
	s.decided(n.Decision, args...)
}

// decided writes the line of a decision.
func (s *Server) decided(d trace.Decision, args ...any) {
	s.logger.Log(s.context, d.Level(), string(d), args...)
}

// Serve listens and serves until ctx ends; then it lets what is under way end,
// within the grace of the settings, and returns.
func (s *Server) Serve(ctx context.Context) error {
	defer s.close()
	addresses := []string{s.settings.Callers, s.settings.Ready, s.settings.Peers, s.settings.Metrics}
	handlers := []http.Handler{http.HandlerFunc(s.serveClient), http.HandlerFunc(s.serveReady), s.peerHandler(), s.operatorHandler()}
	servers := make([]*http.Server, len(addresses))
	failed := make(chan error, len(addresses))
	for i, addr := range addresses {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("listen at %q: %w", addr, err)
		}
		servers[i] = &http.Server{
			Handler: handlers[i], ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
			ErrorLog: slog.NewLogLogger(s.logger.Handler(), slog.LevelDebug),
		}
		go func() { failed <- servers[i].Serve(l) }()
	}
	s.logger.Info("node started", "node", s.self.ID, "incarnation", s.self.Incarnation, "zone", s.self.Zone)
	s.watch()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	s.drain(servers[0])
	s.logger.Info("node stopped", "node", s.self.ID)
	return nil
}

const (
	// headerTimeout bounds the reading of a request's header, and idleTimeout
	// the time between the requests of a connection. Clients may use
	// connections again that are idle for longer than operators usually allow.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeader bounds a request's header in bytes.
	maxHeader = 64 << 10
	// leaveTime is how long the platform's front may go on bringing new
	// connections to a node that says it is not ready.
	leaveTime = 2600 * time.Millisecond
	// stopMargin is the part of the grace that is left unused, so that the
	// process ends by itself.
	stopMargin = 700 * time.Millisecond
)

// drain says that the node is not ready, goes on serving what still comes, and
// then waits for what is under way.
func (s *Server) drain(clients *http.Server) {
	end := time.Now().Add(s.settings.Grace - stopMargin)
	s.logger.Info("node leaves", "node", s.self.ID, "requests", s.requests())
	s.stopped.Store(true)
	s.step(proxy.Stop{})
	s.memberStep(member.Stop{})
	go s.leaveRegistry()
	if s.ownerOf().ID != s.self.ID {
		s.owner.step(batch.Leave{})
	}
	clients.SetKeepAlivesEnabled(false)
	time.Sleep(min(leaveTime, s.settings.Grace/3))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := clients.Shutdown(ctx); err != nil {
		s.logger.Warn("node stops before its requests have ended", "requests", s.requests(), "error", err.Error())
	}
	// What this node owns for others is theirs again once it is gone; give the
	// jobs under way the rest of the time.
	for s.owner.busy() && time.Now().Before(end) {
		time.Sleep(drainPoll)
	}
}

// drainPoll is how often it is looked whether the work for others has ended.
const drainPoll = 20 * time.Millisecond

func (s *Server) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Len()
}

// serveReady answers whether the node can serve.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	why := s.node.Unready()
	s.mu.Unlock()
	if why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
