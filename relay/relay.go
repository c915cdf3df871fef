// Package relay is the shell of an entry host in a deployment. It accepts requests
// from clients, runs their stages, sends them to upstreams and passes the answers
// on. The reducers of packages proxy, batch and member make the decisions; relay
// performs their effects and returns the outcomes to them as events.
//
// A Protocol defines the names and formats of a deployment's messages, and an
// infra.Registry is its store, so the package depends on neither.
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
	"teaselplank/budget"
	"teaselplank/cases"
	"teaselplank/conf"
	"teaselplank/conns"
	"teaselplank/fleet"
	"teaselplank/infra"
	"teaselplank/limit"
	"teaselplank/listen"
	"teaselplank/member"
	"teaselplank/pace"
	"teaselplank/proxy"
	"teaselplank/share"
	"teaselplank/trace"
)

// A Protocol translates the messages of a deployment.
type Protocol interface {
	// ParseConfig decodes the operator's configuration. A *fleet.InvalidRoutesError means that
	// the configuration is valid but for the routes that it lists.
	ParseConfig(data []byte) (fleet.Config, error)
	// ParseEvacuation checks the value of a record that evacuates a zone.
	ParseEvacuation(data []byte) error
	// ParseUpstream decodes an upstream's entry.
	ParseUpstream(id string, data []byte) (fleet.Upstream, error)
	// ParseRequest parses a client's request.
	ParseRequest(r *http.Request) (proxy.Request, error)
	// ForwardHeader returns the headers of an attempt, given those of the client's request.
	ForwardHeader(client http.Header, s proxy.Send, now time.Time) http.Header
	// ParseNotice decodes what an upstream's response of any kind says about the
	// upstream.
	ParseNotice(r *http.Response) fleet.Notice
	// ParseResponse parses the head of an upstream's answer. The id is that of the request
	// it belongs to.
	ParseResponse(r *http.Response) (id string, answer proxy.ResponseHead)
	// SetReplyHeader sets the headers of an answer that the node itself generates.
	SetReplyHeader(h http.Header, id string, retry time.Duration)
	// StageCall returns the request that runs a call at a stage worker, and
	// FreeCall the one that frees results there. ParseStageResponse decodes the answer to a
	// call with the given number of pieces.
	StageCall(c batch.Call) (*http.Request, error)
	FreeCall(f batch.Free) (*http.Request, error)
	// IsFreeResponse reports whether the body of an answer can be that to a call that frees
	// results.
	IsFreeResponse(body []byte) bool
	// ReportCall returns the request that asks a stage worker for its free memory.
	// ParseReport decodes the answer and returns an upper bound in bytes.
	ReportCall(u fleet.Upstream) (*http.Request, error)
	ParseReport(body []byte) (int64, error)
	ParseStageResponse(status int, header http.Header, body []byte, pieces int) ([]batch.Outcome, batch.Failure)
}

// Options configure a Server.
type Options struct {
	Settings *conf.EntrySettings
	Registry infra.Registry
	// Origins is the log of the versions that streams began at, or nil if there is none.
	Origins  infra.OriginLog
	Protocol Protocol
	Logger   *slog.Logger
}

// A Server runs one entry host. Create it with New.
type Server struct {
	settings *conf.EntrySettings
	registry infra.Registry
	protocol Protocol
	logger   *slog.Logger
	metrics  *metrics
	self     member.Node
	// started is when the server was created. All times derive from it and the
	// monotonic clock, so they never jump.
	started time.Time

	// mu guards the reducers proxy.Node and member.Group and their inputs.
	mu        sync.Mutex
	node      *proxy.Node
	group     *member.Group
	directory fleet.Directory
	// outages tells whether entries of live upstreams may have expired in an outage of the store.
	outages fleet.Outages
	// config is the configuration in force. fetchingVersion is the version being
	// fetched from a peer, or 0.
	config          configuration
	fetchingVersion int64
	// division assigns the stage workers to owners.
	division batch.Division
	// upstreamsKnown is true once upstreams were read from the store or a peer.
	upstreamsKnown bool
	// casesKnown is true once the cases of parts of requests that crash upstreams were read
	// from the store or a peer.
	casesKnown bool
	streams    map[infra.Stream]*streamState
	// readings has the streams that nodes learn from one another. The map does not change.
	readings map[infra.Stream]*reading
	// warmups knows which upstreams are cold, and cold holds those that were when that was
	// last logged.
	warmups pace.Warmups
	cold    map[limit.Process]bool
	// pacer decides from answers how the paces of upstreams in a slow start change.
	pacer pace.Pacer
	// epoch is the newest epoch of the store that was seen, if epochKnown is true.
	epoch      infra.Epoch
	epochKnown bool
	// join decides how long the node waits for the state of a peer after its start.
	join member.Join

	// notifyMu serializes updates of upstreams and services in the reducers. It is
	// locked before mu and the owner's lock.
	notifyMu sync.Mutex

	// limitMu serializes updates of the shares of limits. It is locked before mu and the
	// owner's lock.
	limitMu sync.Mutex
	// unbounded holds the processes that the reducers know to have no bound. It is guarded by
	// limitMu.
	unbounded map[limit.Process]bool

	owner    *owner
	peers    *peers
	conns    *conns.Pool
	bodies   conns.BodyPool
	releases releaseQueue
	origins  *share.Origins
	crashes  *cases.Log
	bounds   *bounds

	// restored gets a value when the store was restored.
	restored chan struct{}

	lastNumber atomic.Uint64
	draining   atomic.Bool
	// invalidLoadLogged is when a load report was last logged as invalid, in nanoseconds of
	// Unix time.
	invalidLoadLogged atomic.Int64
	// context ends when the server closes, and requests when the requests in progress
	// must end.
	context     context.Context
	close       context.CancelFunc
	requests    context.Context
	endRequests context.CancelFunc
}

// New returns a server that does nothing until Serve is called.
func New(o Options) (*Server, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("generate incarnation: %w", err)
	}
	started := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	requests, endRequests := context.WithCancel(ctx)
	s := &Server{
		settings: o.Settings,
		protocol: o.Protocol,
		logger:   o.Logger,
		started:  started,
		self:     member.Node{ID: o.Settings.Node, Incarnation: id.String(), Addr: o.Settings.PeerAddr(), Zone: o.Settings.Zone, Processor: o.Settings.Processor},
		node: proxy.New(proxy.Config{
			Zone: o.Settings.Zone, Budget: retryBudget(o.Settings, started), KeepDelay: keepDelay(o.Settings.Node),
		}),
		peers:    newPeers(),
		bounds:   newBounds(o.Settings),
		streams:  make(map[infra.Stream]*streamState),
		restored: make(chan struct{}, 1),
		outages:  fleet.Outages{Lease: fleet.Lease{Heartbeat: o.Settings.Heartbeat}},
		context:  ctx,
		close:    cancel,

		requests:    requests,
		endRequests: endRequests,
	}
	config := member.DefaultConfig()
	config.Self, config.Seeds = s.self, o.Settings.Seeds
	config.SuspectAfter = peerSuspectAfter
	s.group = member.New(config, uint64(s.started.UnixNano()))
	s.conns = conns.NewPool()
	s.owner = newOwner(s)
	s.metrics = newMetrics(s)
	s.registry = countedRegistry{o.Registry, s.metrics}
	var origins infra.OriginLog
	if o.Origins != nil {
		origins = countedOrigins{o.Origins, s.metrics}
	}
	s.origins = share.New(ctx, originHost{s}, origins, s.registry, s.logger)
	s.readings = newReadings(s)
	s.crashes = cases.New(caseHost{s}, s.logger)
	context.AfterFunc(ctx, func() { s.owner.step(batch.Close{}) })
	return s, nil
}

// retryBudget returns the retry budget of a process that was started at a time.
func retryBudget(settings *conf.EntrySettings, started time.Time) budget.Config {
	c := settings.Budget
	if settings.TakesOver {
		c.Started = started
	}
	return c
}

// peerSuspectAfter is how long another node may be silent before others take over
// what it owns.
const peerSuspectAfter = 2500 * time.Millisecond

// now returns the current time by the monotonic clock.
func (s *Server) now() time.Time { return s.started.Add(time.Since(s.started)) }

// uptime returns the time since the server was created.
func (s *Server) uptime() time.Duration { return time.Since(s.started) }

// step applies an event to the node. It performs the effects that concern no single
// request and returns the others.
func (s *Server) step(event proxy.Event) []proxy.Effect {
	return s.perform(s.stepNode(event))
}

// stepNode applies an event to the node and returns the effects. A panic leaves the lock free.
func (s *Server) stepNode(event proxy.Event) []proxy.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Step(s.now(), event)
}

// perform performs the effects that concern no single request and returns the others.
func (s *Server) perform(effects []proxy.Effect) []proxy.Effect {
	rest := effects[:0]
	for _, e := range effects {
		switch e := e.(type) {
		case proxy.RecordDecision:
			s.recordDecision(e.Record)
		case proxy.Release:
			s.releases.add(e.Results)
		case proxy.RecordOrigin:
			s.origins.Record(e.Record, e.Share)
		case proxy.ReadDefaults:
			go s.origins.ReadDefaults()
		case proxy.WriteDefaults:
			go s.origins.WriteDefaults(e)
		case proxy.CheckUpstream:
			go s.checkUpstream(e.Upstream)
		case proxy.UpstreamAnswered:
			s.observeAnswer(e.Answer)
		case proxy.ShareCases:
			s.crashes.Share(e.Cases)
		case proxy.ForgetCases:
			s.crashes.Forget(e.Cases)
		case proxy.PoisonChanged:
			s.logger.Warn("parts of requests that crash upstreams", "parts", e.Groups, "groups", len(e.Groups), "before", e.Before)
		default:
			rest = append(rest, e)
		}
	}
	return rest
}

// recordDecision counts and logs a decision on a request.
func (s *Server) recordDecision(record proxy.DecisionRecord) {
	s.metrics.observeDecision(record)
	args := append([]any{"request", record.Request, "reason", string(record.Reason)}, record.Attrs...)
	s.logDecision(record.Decision, args...)
}

// logDecision writes a decision's log line.
func (s *Server) logDecision(d trace.Decision, args ...any) {
	s.logger.Log(s.context, d.Level(), string(d), args...)
}

// Serve serves requests until ctx ends. It then drains the requests in flight within
// the grace period of the settings and returns.
func (s *Server) Serve(ctx context.Context) error {
	defer s.close()
	addresses := []string{s.settings.Callers, s.settings.Ready, s.settings.Peers, s.settings.Metrics}
	handlers := []http.Handler{http.HandlerFunc(s.serveClient), http.HandlerFunc(s.serveReady), s.peerHandler(), s.operatorHandler()}
	var clients *listen.Listener
	errs := make(chan error, len(addresses))
	for i, addr := range addresses {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("listen on %q: %w", addr, err)
		}
		server := &http.Server{
			Handler: handlers[i], ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: slog.NewLogLogger(s.logger.Handler(), slog.LevelDebug),
		}
		switch addr {
		case s.settings.Callers:
			clients = listen.NewBounded(l, s.clientBounds())
			clients.Attach(server)
			l = clients
		case s.settings.Ready:
			probes := listen.NewBounded(l, s.probeBounds())
			probes.Attach(server)
			l = probes
		}
		go func() { errs <- server.Serve(l) }()
	}
	s.logger.Info("node started", "node", s.self.ID, "incarnation", s.self.Incarnation, "zone", s.self.Zone)
	s.startLoops()
	go s.boundsLoop(clients)
	select {
	case err := <-errs:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	s.drain(clients)
	s.logger.Info("node stopped", "node", s.self.ID)
	return nil
}

const (
	// headerTimeout bounds reading a request's header. idleTimeout bounds the time
	// between requests on a connection. It is long, as clients may reuse connections
	// that are idle for longer than operators usually allow.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
	// notReadyDelay is how long the platform's front end takes until a node that reports
	// not ready is out of rotation.
	notReadyDelay = 2600 * time.Millisecond
	// answerMargin is how long before the end of the grace period the requests in
	// progress get their final answers, and exitMargin how long before it the process
	// exits, so that the platform does not kill it.
	answerMargin = 700 * time.Millisecond
	exitMargin   = 350 * time.Millisecond
	// drainPollInterval is how often a draining node checks for work in progress.
	drainPollInterval = 20 * time.Millisecond
	// handOverTime is how long a stopping owner takes to tell other nodes that it has
	// given up their jobs.
	handOverTime = 50 * time.Millisecond
)

// drain reports the node as not ready and keeps serving the requests that still arrive.
// Once the front end has noticed, it closes idle connections and waits until all requests
// and the jobs of other nodes have ended. It then accepts no more connections and waits
// for the requests of the last ones. Requests in progress near the end of the grace period
// get a final answer.
func (s *Server) drain(clients *listen.Listener) {
	begin := s.now()
	answerBy := begin.Add(s.settings.Grace - answerMargin)
	exitBy := begin.Add(s.settings.Grace - exitMargin)
	s.logger.Info("node is draining", "node", s.self.ID, "requests", s.requestCount())
	s.draining.Store(true)
	unlisted := begin.Add(min(notReadyDelay, s.settings.Grace/3))
	s.step(proxy.Stop{Unlisted: unlisted, Until: answerBy})
	s.memberStep(member.Stop{})
	go s.deregister()
	if s.stageOwner(s.self.Zone).ID != s.self.ID {
		s.owner.step(batch.Drain{})
	}
	overdue := time.AfterFunc(time.Until(answerBy), s.endRequests)
	defer overdue.Stop()
	time.Sleep(time.Until(unlisted))
	s.awaitIdle(clients, answerBy)
	s.stopAccepting(clients)
	s.awaitIdle(clients, exitBy)
	if s.owner.busy() {
		s.owner.step(batch.Close{})
		time.Sleep(handOverTime)
	}
	if left := s.requestCount(); left > 0 {
		s.logger.Warn("node stops with requests in progress", "requests", left)
	}
}

// awaitIdle closes idle connections until there is neither a connection nor work in
// progress, or the time has come.
func (s *Server) awaitIdle(clients *listen.Listener, by time.Time) {
	for time.Now().Before(by) && (clients.Len() > 0 || s.requestCount() > 0 || s.owner.busy()) {
		clients.CloseIdle(time.Now())
		time.Sleep(drainPollInterval)
	}
}

// stopAccepting makes new connections fail, so that clients turn to other nodes instead of
// sending a request that the exit would cut.
func (s *Server) stopAccepting(clients *listen.Listener) {
	if err := clients.Listener.Close(); err != nil {
		s.logger.Warn("cannot close the listener for clients", "error", err.Error())
	}
	// A connection that was just accepted is counted now.
	time.Sleep(drainPollInterval)
}

func (s *Server) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Len()
}

// serveReady serves the readiness probe.
func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	leaveBody(w, r)
	s.mu.Lock()
	reason := s.node.Unready()
	if reason == "" && s.join.Waits(s.uptime(), s.group) {
		reason = "state of other nodes is not known yet"
	}
	if reason == "" && !s.casesKnown && s.uptime() < maxCasesWait {
		reason = "parts of requests that crash upstreams are not known yet"
	}
	s.mu.Unlock()
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
