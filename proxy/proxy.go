// Package proxy decides how a node handles client requests for the upstreams of a
// deployment: whether a request is admitted, which stages run for it, which upstream
// gets it, whether it is retried and how it ends.
//
// The decisions are designed for overload. Stage workers are scarce, and work that does
// not finish in time is wasted twice: it fails its own request and takes capacity from
// others. A request is therefore admitted only if all its stages are expected to finish
// within its objective. Otherwise it is rejected at once, with the time after which
// there will be capacity.
//
// The package is a reducer: Step takes the time and an event and returns effects,
// which are plain data. It has no clock, no I/O and no goroutines. A Node is not safe
// for concurrent use.
package proxy

import (
	"time"

	"teaselplank/budget"
	"teaselplank/fleet"
	"teaselplank/origin"
	"teaselplank/poison"
)

// Config holds the settings of a Node.
type Config struct {
	// Zone is the node's availability zone.
	Zone string
	// Budget bounds the retries of all nodes together.
	Budget budget.Config
	// KeepDelay is how much longer than poison.KeepTime this node keeps cases of
	// parts. It differs between nodes, so that they do not all forget them at once.
	KeepDelay time.Duration
}

// A Node is the state of the reducer. Create it with New.
type Node struct {
	config Config
	// table is the configuration in force, or nil. Its version never decreases.
	table *fleet.Table
	pools map[string]*pool
	// retryBudgets has the retry budget of each service that has upstreams or had some lately.
	retryBudgets map[string]*budget.Meter
	requests     map[uint64]*request
	// versions are the software versions that each service has had lately.
	versions origin.Versions
	// defaults are the default versions of services. defaultsRank is the number of nodes that
	// write them before this one does, and defaultsDue since when one is to be written, or
	// zero.
	defaults     origin.Defaults
	defaultsRank int
	defaultsDue  time.Time
	// defaultsWritten is when this node last wrote some, or zero.
	defaultsWritten time.Time
	// ticked is when the last DefaultsTick came, viewRead when the upstreams were last read
	// from the store, and recordFailed when a record last could not be written in time. Each
	// is zero if it is not known.
	ticked       time.Time
	viewRead     time.Time
	recordFailed time.Time
	// evacuated holds the zones that are evacuated.
	evacuated map[string]bool
	// stageWorkers is the number of stage workers by zone.
	stageWorkers map[string]int
	// firstEventTimes is the moving average of the time from sending a request to
	// its first event, by route.
	firstEventTimes map[string]time.Duration
	// beginTimes is the time from the end of the last stage of a request to its first event.
	beginTimes durationsByRoute
	// nodes is the largest number of nodes seen; they share the budget.
	nodes int
	// answerTimes is the time from the arrival of a request to the end of its answer,
	// and responseTimes the time from sending it to that end. Answers that are errors
	// do not count.
	answerTimes   durationsByRoute
	responseTimes durationsByRoute
	// stop is how the node shuts down, or zero.
	stop Stop
	// poison finds parts of requests that crash upstreams. crashChecks are the upstreams that
	// are being checked, and poisonGroups the sets of parts that were last reported.
	poison       poison.Detector
	crashChecks  map[poison.Process]crashCheck
	poisonGroups [][]string

	effects []Effect
	counts  Counts
}

// Counts are totals since the process started. They are encoded as JSON under the
// names of their fields.
type Counts struct {
	Arrived, Admitted, Finished, Left int64
	Sent, Repeated, Resumed, Cut      int64
	Replies                           map[Reason]int64
}

// New returns a node without a configuration.
func New(config Config) *Node {
	return &Node{
		config:          config,
		pools:           make(map[string]*pool),
		retryBudgets:    make(map[string]*budget.Meter),
		requests:        make(map[uint64]*request),
		firstEventTimes: make(map[string]time.Duration),
		beginTimes:      make(durationsByRoute),
		answerTimes:     make(durationsByRoute),
		responseTimes:   make(durationsByRoute),
		crashChecks:     make(map[poison.Process]crashCheck),
		nodes:           1,
		counts:          Counts{Replies: make(map[Reason]int64)},
	}
}

// Step applies an event and returns its effects, which are valid until the next call.
// Except for Release, RecordDecision and the effects about origins and cases, the
// effects of a request's event concern only that request.
func (n *Node) Step(now time.Time, event Event) []Effect {
	n.effects = nil
	switch e := event.(type) {
	case RequestArrived:
		n.arrive(now, e.Request)
	case OriginFound:
		n.originFound(now, e)
	case StageDone:
		n.stageDone(now, e)
	case StageFailed:
		n.stageFailed(now, e)
	case HeadReceived:
		n.headReceived(now, e)
	case FirstEvent:
		n.firstEvent(now, e)
	case AttemptStalled:
		n.attemptStalled(now, e)
	case AttemptContinued:
		n.attemptContinued(now, e)
	case Finished:
		n.finished(now, e)
	case AttemptFailed:
		n.attemptFailed(now, e)
	case ClientDisconnected:
		n.clientDisconnected(now, e.Number)
	case TimedOut:
		n.timedOut(now, e)
	case Configured:
		n.configure(e.Table)
	case UpstreamsRegistered:
		n.register(now, e.Upstreams)
	case UpstreamHeld:
		n.pauseUpstream(e)
	case LoadReported:
		n.loadReported(now, e)
	case UpstreamLimited:
		n.limitUpstream(now, e)
	case ZonesEvacuated:
		n.evacuate(now, e.Zones)
	case UpstreamChecked:
		n.upstreamChecked(now, e)
	case CasesRead:
		n.casesRead(now, e.Cases)
	case CasesForgotten:
		n.casesForgotten(now, e.Cases)
	case OriginUnrecorded:
		n.originUnrecorded(now, e)
	case DefaultsTick:
		n.defaultsTick(now, e)
	case DefaultsLearned:
		n.defaults.Learn(now, e.Epoch, e.Defaults)
	case DefaultsRead:
		n.defaultsRead(now, e)
	case CasesTick:
		n.proveParts(now)
		n.expireCases(now)
	case NodeCount:
		n.nodes = max(n.nodes, e.Count)
	case Stop:
		n.stop = e
	}
	return n.effects
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) configure(t *fleet.Table) {
	if n.table == nil || t.Version() > n.table.Version() {
		n.table = t
		n.countWorkers()
	}
}

// Table returns the configuration in force, or nil.
func (n *Node) Table() *fleet.Table { return n.table }

// Unready returns why the node cannot serve requests, or an empty string.
func (n *Node) Unready() string {
	switch {
	case n.stopping():
		return string(ReasonStopping)
	case n.table == nil:
		return string(ReasonNoConfig)
	case len(n.pools) == 0:
		return "upstreams are not known yet"
	}
	return ""
}

// Len returns the number of requests in progress.
func (n *Node) Len() int { return len(n.requests) }

// Counts returns the totals.
func (n *Node) Counts() Counts { return n.counts }

// RetriesLeft returns how many retries the budget of each service currently allows.
func (n *Node) RetriesLeft(now time.Time) map[string]float64 {
	left := make(map[string]float64, len(n.pools))
	for name, p := range n.pools {
		left[name] = p.retryBudget.Remaining(n.config.Budget, now, n.nodes)
	}
	return left
}

// Usable reports whether requests may still be sent to an upstream. Callers check it
// again after they have connected, because the upstream may have started to drain or
// asked for a pause, or its zone may have been evacuated, in the meantime.
func (n *Node) Usable(now time.Time, id string, born int64) bool {
	u := n.upstream(id)
	return u != nil && u.Born == born && !u.Draining && !u.evacuated && !u.pause.Active(now)
}

// upstream returns an upstream by its id, or nil.
func (n *Node) upstream(id string) *upstream {
	for _, p := range n.pools {
		if u := p.byID[id]; u != nil {
			return u
		}
	}
	return nil
}
