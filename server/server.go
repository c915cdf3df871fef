// Package server connects the reducer of a node to the network. One goroutine owns the
// reducer and passes events to it. Other goroutines perform the effects that it returns and
// post the results as new events. The package also serves three listeners: for callers, for
// other nodes and for operators.
package server

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

	"teaselplank/conf"
	"teaselplank/core"
	"teaselplank/infra"
	"teaselplank/listen"
	"teaselplank/rules"
)

// Options holds the settings and the dependencies of a Server.
type Options struct {
	Settings *conf.Settings
	Log      infra.Log
	Hosts    infra.Directory
	Logger   *slog.Logger
}

// A Server runs one node. Create it with New.
type Server struct {
	settings    *conf.Settings
	incarnation string
	log         infra.Log
	hosts       infra.Directory
	logger      *slog.Logger
	metrics     *metrics

	// node is accessed only by the goroutine of loop.
	node  *core.Node
	inbox chan message

	// waiters holds the waiting callers by the id of their call.
	waitersLock sync.Mutex
	waiters     map[string]*waiter

	upstreams *upstreams
	peers     *peers

	// context is canceled when the server closes.
	context  context.Context
	cancel   context.CancelFunc
	loopDone chan struct{}
	// lastLogged is the state that loop logged last, and changesCheckedAt the time at
	// which it last checked for changes.
	lastLogged       loggedState
	changesCheckedAt time.Time
	// currentRules holds the rules in force, for handlers.
	currentRules atomic.Pointer[rules.Set]
	// draining is true once the node has been asked to stop.
	draining atomic.Bool
}

// rules returns the rules in force.
func (s *Server) rules() *rules.Set { return s.currentRules.Load() }

// A message is an event for the node or a query of its state.
type message struct {
	event core.Event
	query func(*core.Node)
	done  chan struct{}
}

// inboxSize is the maximum number of messages that wait for the loop.
const inboxSize = 4096

// New returns a server and starts its loop. Close stops the loop.
func New(o Options) (*Server, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("generate incarnation: %w", err)
	}
	config := o.Settings.Core
	config.Member.Self.Incarnation = id.String()
	config.Ledger.Incarnation = id.String()
	config.Seed = uint64(id.Time())
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		settings:    o.Settings,
		incarnation: id.String(),
		log:         o.Log,
		hosts:       o.Hosts,
		logger:      o.Logger,
		node:        core.New(config),
		inbox:       make(chan message, inboxSize),
		waiters:     make(map[string]*waiter),
		upstreams:   newUpstreams(),
		peers:       newPeers(o.Settings.PeerToken),
		context:     ctx,
		cancel:      cancel,
		loopDone:    make(chan struct{}),
	}
	s.currentRules.Store(s.node.Replica().Set())
	s.metrics = newMetrics(s)
	go s.loop()
	return s, nil
}

// Close stops the loop and cancels all calls in flight.
func (s *Server) Close() {
	s.cancel()
	<-s.loopDone
}

// Incarnation returns the id of this incarnation of the node.
func (s *Server) Incarnation() string { return s.incarnation }

// Post sends an event to the node. It blocks while the inbox is full.
func (s *Server) Post(event core.Event) {
	select {
	case s.inbox <- message{event: event}:
	case <-s.context.Done():
	}
}

// Query calls f with the node between two events. It returns false if the server has
// closed.
func (s *Server) Query(f func(*core.Node)) bool {
	done := make(chan struct{})
	select {
	case s.inbox <- message{query: f, done: done}:
	case <-s.context.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-s.loopDone:
		return false
	}
}

// maxSleep is the maximum time between two ticks.
const maxSleep = time.Second

// loop processes messages and ticks until the server closes. It owns the node.
func (s *Server) loop() {
	defer close(s.loopDone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.context.Done():
			return
		case m := <-s.inbox:
			s.handle(m)
		case <-timer.C:
			s.step(core.Tick{})
		}
		sleep := min(max(time.Until(s.node.Wake()), 0), maxSleep)
		timer.Reset(sleep)
	}
}

func (s *Server) handle(m message) {
	if m.query != nil {
		m.query(s.node)
		close(m.done)
		return
	}
	s.step(m.event)
}

func (s *Server) step(event core.Event) {
	for _, e := range s.node.Step(time.Now(), event) {
		s.perform(e)
	}
	if set := s.node.Replica().Set(); set != s.currentRules.Load() {
		s.currentRules.Store(set)
	}
	if now := time.Now(); now.Sub(s.changesCheckedAt) >= changeCheckInterval {
		s.changesCheckedAt = now
		s.logChanges()
	}
}

// changeCheckInterval is the minimum time between two checks for state changes to log.
const changeCheckInterval = 50 * time.Millisecond

// Serve listens on the three addresses and serves them until ctx ends. Then it drains the
// node and returns. Requests in flight may finish; see drain and shutdown for the limits.
func (s *Server) Serve(ctx context.Context) error {
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	return s.serve(ctx, listeners)
}

// serve is Serve on listeners for callers, other nodes and operators.
func (s *Server) serve(ctx context.Context, listeners []net.Listener) error {
	handlers := []http.Handler{s.callerHandler(), s.peerHandler(), s.operatorHandler()}
	servers := make([]*http.Server, len(handlers))
	serveErrors := make(chan error, len(handlers))
	callers := listen.New(listeners[0])
	for i, h := range handlers {
		servers[i] = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
		l := listeners[i]
		if i == 0 {
			callers.Attach(servers[i])
			l = callers
		}
		go func() { serveErrors <- servers[i].Serve(l) }()
	}
	s.logger.Info("node started", "node", s.settings.Node, "incarnation", s.incarnation)
	select {
	case err := <-serveErrors:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	until := s.drain(callers)
	for _, srv := range servers {
		s.shutdown(srv, until)
	}
	return nil
}

// Limits of request headers.
const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
)

func (s *Server) listen() ([]net.Listener, error) {
	addresses := []string{s.settings.Callers, s.settings.Peers, s.settings.Operators}
	var listeners []net.Listener
	for _, addr := range addresses {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			for _, opened := range listeners {
				opened.Close()
			}
			return nil, fmt.Errorf("listen on %q: %w", addr, err)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// drainPollInterval is the time between two checks whether the node is drained.
const drainPollInterval = 20 * time.Millisecond

// drain announces to the other nodes that this node is leaving, keeps serving for DrainLag
// until load balancers stop sending it requests, and then waits up to DrainLimit for the
// calls in flight. Callers are asked to reconnect elsewhere; the connections that they keep
// idle are closed after DrainLag. It returns when DrainLimit ends.
func (s *Server) drain(callers *listen.Listener) (until time.Time) {
	s.logger.Info("node is draining", "node", s.settings.Node)
	s.draining.Store(true)
	unlisted := time.Now().Add(s.settings.DrainLag)
	until = unlisted.Add(s.settings.DrainLimit)
	s.Post(core.Stop{Unlisted: unlisted, Until: until})
	time.Sleep(time.Until(unlisted))
	for time.Now().Before(until) {
		callers.CloseIdle(time.Now())
		drained := false
		s.Query(func(n *core.Node) { drained = n.Drained() })
		if drained && callers.Len() == 0 {
			s.logger.Info("node drained", "node", s.settings.Node)
			return until
		}
		time.Sleep(drainPollInterval)
	}
	s.logger.Warn("drain limit reached before node was drained", "node", s.settings.Node, "limit", s.settings.DrainLimit)
	return until
}

// shutdownTimeout is the minimum timeout for the last responses of a listener. It exceeds
// publishTimeout, so that a publish can use its full time.
const shutdownTimeout = publishTimeout + 5*time.Second

// shutdownTime returns how long a listener waits for its last responses: also for those of
// calls that arrived after the node was drained, which may take until the given time.
func shutdownTime(now, until time.Time) time.Duration { return max(until.Sub(now), shutdownTimeout) }

func (s *Server) shutdown(server *http.Server, until time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime(time.Now(), until))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		s.logger.Warn("listener shut down before all responses were written", "error", err)
	}
}

// loggedState is the part of the node's state whose changes are logged.
type loggedState struct {
	version       int64
	unreadyReason string
	liveNodes     int
}

// logChanges logs changes of the node's state since its last call.
func (s *Server) logChanges() {
	current := loggedState{s.node.Replica().Version(), s.node.Unready(), len(s.node.Group().Live())}
	if current == s.lastLogged {
		return
	}
	if current.version != s.lastLogged.version {
		s.logger.Info("rules version changed", "version", current.version)
	}
	if current.unreadyReason != s.lastLogged.unreadyReason {
		s.logger.Info("readiness changed", "ready", current.unreadyReason == "", "reason", current.unreadyReason)
	}
	if current.liveNodes != s.lastLogged.liveNodes {
		s.logger.Info("number of live nodes changed", "count", current.liveNodes)
	}
	s.lastLogged = current
}
