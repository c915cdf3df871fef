// Package server is the shell around a node's reducer. One goroutine owns the
// reducer and feeds it events; the effects that come back are performed by
// others, whose ends become events again. The package also serves the three
// listeners: for callers, for the other nodes and for operators.
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
	"teaselplank/rules"
)

// Options are what a Server needs besides its settings.
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

	// node is used by the loop's goroutine only.
	node  *core.Node
	inbox chan message

	// waiters holds the callers that wait, by call.
	waitersLock sync.Mutex
	waiters     map[string]*waiter

	upstreams *upstreams
	peers     *peers

	// context ends when the server closes.
	context context.Context
	close   context.CancelFunc
	loopEnd chan struct{}
	// last is the loop's memory of what it has logged, observed when it last
	// looked.
	last     observation
	observed time.Time
	// set is the rules in force, for handlers.
	set atomic.Pointer[rules.Set]
}

// rules returns the rules in force.
func (s *Server) rules() *rules.Set { return s.set.Load() }

// A message is an event for the node or a question about it.
type message struct {
	event core.Event
	query func(*core.Node)
	done  chan struct{}
}

// inboxSize bounds the events that wait for the loop.
const inboxSize = 4096

// New returns a server whose loop runs. Close ends it.
func New(o Options) (*Server, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("choose incarnation: %w", err)
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
		close:       cancel,
		loopEnd:     make(chan struct{}),
	}
	s.set.Store(s.node.Book().Set())
	s.metrics = newMetrics(s)
	go s.loop()
	return s, nil
}

// Close ends the loop and drops what is under way.
func (s *Server) Close() {
	s.close()
	<-s.loopEnd
}

// Incarnation returns the id of this run of the node.
func (s *Server) Incarnation() string { return s.incarnation }

// Post gives the node an event. It blocks while the inbox is full.
func (s *Server) Post(event core.Event) {
	select {
	case s.inbox <- message{event: event}:
	case <-s.context.Done():
	}
}

// Query lets f look at the node between two events. It reports false when the
// server has closed.
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
	case <-s.loopEnd:
		return false
	}
}

// maxSleep bounds the time between two ticks.
const maxSleep = time.Second

// loop owns the node.
func (s *Server) loop() {
	defer close(s.loopEnd)
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
	if set := s.node.Book().Set(); set != s.set.Load() {
		s.set.Store(set)
	}
	if now := time.Now(); now.Sub(s.observed) >= observeEvery {
		s.observed = now
		s.observe()
	}
}

// observeEvery is the least time between two looks for changes to log.
const observeEvery = 50 * time.Millisecond

// Serve listens at the three addresses and serves them until ctx ends; then it
// drains the node and returns. Nothing that is under way is cut.
func (s *Server) Serve(ctx context.Context) error {
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	handlers := []http.Handler{s.callerHandler(), s.peerHandler(), s.operatorHandler()}
	servers := make([]*http.Server, len(handlers))
	failed := make(chan error, len(handlers))
	for i, h := range handlers {
		servers[i] = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader}
		go func() { failed <- servers[i].Serve(listeners[i]) }()
	}
	s.logger.Info("node started", "node", s.settings.Node, "incarnation", s.incarnation)
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	// Callers with open connections are led away while the node drains.
	servers[0].SetKeepAlivesEnabled(false)
	s.drain()
	for _, one := range servers {
		s.shutdown(one)
	}
	return nil
}

// The bounds of a request's header.
const (
	headerTimeout = 5 * time.Second
	maxHeader     = 64 << 10
)

func (s *Server) listen() ([]net.Listener, error) {
	addresses := []string{s.settings.Callers, s.settings.Peers, s.settings.Operators}
	var listeners []net.Listener
	for _, addr := range addresses {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			for _, open := range listeners {
				open.Close()
			}
			return nil, fmt.Errorf("listen at %q: %w", addr, err)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// drainPoll is how often it is looked whether a node is drained.
const drainPoll = 20 * time.Millisecond

// drain tells the others, goes on serving for the balancer's lag, and waits for
// what is under way.
func (s *Server) drain() {
	s.logger.Info("node leaves", "node", s.settings.Node)
	s.Post(core.Stop{})
	time.Sleep(s.settings.DrainLag)
	limit := time.Now().Add(s.settings.DrainLimit)
	for time.Now().Before(limit) {
		drained := false
		s.Query(func(n *core.Node) { drained = n.Drained() })
		if drained {
			s.logger.Info("node drained", "node", s.settings.Node)
			return
		}
		time.Sleep(drainPoll)
	}
	s.logger.Warn("node stops before it is drained", "node", s.settings.Node, "limit", s.settings.DrainLimit)
}

// shutdownLimit bounds the wait for the last answers to be written. A publish has
// its whole time.
const shutdownLimit = publishLimit + 5*time.Second

func (s *Server) shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		s.logger.Warn("listener closed before its answers were written", "error", err)
	}
}

// observation is what the loop has last logged of the node's state.
type observation struct {
	version int64
	unready string
	live    int
}

// observe logs changes of the node's state.
func (s *Server) observe() {
	now := observation{s.node.Book().Version(), s.node.Unready(), len(s.node.Group().Live())}
	if now == s.last {
		return
	}
	if now.version != s.last.version {
		s.logger.Info("rules in force", "version", now.version)
	}
	if now.unready != s.last.unready {
		s.logger.Info("readiness changed", "ready", now.unready == "", "reason", now.unready)
	}
	if now.live != s.last.live {
		s.logger.Info("live nodes changed", "count", now.live)
	}
	s.last = now
}
