// Package pipe runs requests. A request is a chain of steps under one deadline, and
// each step is served by a worker of its pool. The package decides which requests to
// admit, when and on which worker a step starts, when it is retried or hedged, and
// when a request is abandoned. It is a reducer: Step takes an event and returns
// effects.
package pipe

import (
	"time"

	"teaselplank/admit"
	"teaselplank/queue"
	"teaselplank/route"
	"teaselplank/state"
	"teaselplank/wire"
)

// Config holds the limits and switches of a Runner.
type Config struct {
	// EarlyRefusal refuses a request as soon as it is expected to miss its deadline.
	EarlyRefusal bool
	// FairQueues gives each account its own queue, instead of one queue for all.
	FairQueues bool
	// Hedge starts a second attempt in parallel to a slow one.
	Hedge bool
	// Admission limits accounts to their share while a pool is overloaded.
	Admission bool
	// RetryPercent is the retry budget: the number of retries and hedges as a
	// percentage of the first attempts at a pool. A negative value means no limit.
	RetryPercent int
	// MaxAttempts is the maximum number of attempts of a step.
	MaxAttempts int
	// StreamIdleTimeout is the maximum time between two tokens of a stream.
	StreamIdleTimeout time.Duration
	// AttemptTimeout is the maximum time of an attempt to its response or first token.
	// With EarlyRefusal the timeout follows the pool's latency and may be shorter.
	AttemptTimeout time.Duration
	// MaxQueue is the maximum number of steps in the queue of a pool.
	MaxQueue int
	// Cancel sends cancellations to upstreams when an attempt is no longer needed.
	Cancel bool
}

// DefaultConfig returns the defaults of the node's settings.
func DefaultConfig() Config {
	return Config{
		EarlyRefusal:      true,
		FairQueues:        true,
		Hedge:             true,
		Admission:         true,
		RetryPercent:      10,
		MaxAttempts:       4,
		StreamIdleTimeout: 500 * time.Millisecond,
		AttemptTimeout:    2 * time.Second,
		MaxQueue:          4096,
		Cancel:            true,
	}
}

// BaselineConfig returns the baseline of benchmarks: no admission control, three
// retries without a budget, no hedging.
func BaselineConfig() Config {
	return Config{
		RetryPercent:      -1,
		MaxAttempts:       4,
		StreamIdleTimeout: 500 * time.Millisecond,
		AttemptTimeout:    2 * time.Second,
		MaxQueue:          1 << 20,
	}
}

// A Step is one call in the chain of a request.
type Step struct {
	// Pool is the name of the stage or service whose workers serve the step.
	Pool string
	// Kind is the stage's kind, or "service".
	Kind string
	// Stream is true if the response is a stream of tokens.
	Stream bool
	// Hedge allows a second attempt in parallel to a slow one.
	Hedge bool
	// AtMostOnce forbids a retry after an attempt that may have been executed.
	AtMostOnce bool
	// Model is the name of a generator's model.
	Model string
}

// A Request is a request of a caller. Its fields do not change after Submit.
type Request struct {
	ID      string
	Account string
	// Weight is the account's weight in fair queues.
	Weight int
	// Steps is not empty.
	Steps []Step
	// Input is the input of the first step. The runner does not interpret it.
	Input    string
	Prefix   string
	Tokens   int
	Deadline time.Time
	// FencingNumber is sent to services that check fencing numbers; 0 for others.
	FencingNumber int64
	// Key is the idempotency key sent to the upstream.
	Key string
}

// status is the state of a request.
type status string

const (
	// queued: the request waits for capacity in the pool of its step.
	queued status = "queued"
	// calling: at least one attempt is in flight.
	calling status = "calling"
	// ended: the request has been answered.
	ended status = "ended"
)

// requestEvent is an event of the state machine of requests.
type requestEvent string

const (
	attemptStarted requestEvent = "begin"
	attemptsFailed requestEvent = "lose"
	stepDone       requestEvent = "pass"
	requestEnded   requestEvent = "finish"
)

var requestMachine = state.New("request",
	state.Transition[status, requestEvent]{Event: attemptStarted, From: []status{queued, calling}, To: calling},
	state.Transition[status, requestEvent]{Event: attemptsFailed, From: []status{calling, queued}, To: queued},
	state.Transition[status, requestEvent]{Event: stepDone, From: []status{calling}, To: queued},
	state.Transition[status, requestEvent]{Event: requestEnded, From: []status{queued, calling}, To: ended},
)

// An activeRequest is the state of a request that has no answer yet.
type activeRequest struct {
	spec Request
	// pools holds the pool of each step.
	pools  []*pool
	status status
	// stage is the index of the current step.
	stage int
	// input is the input of the current step: the output of the previous one.
	input string
	// nextToken is the index of the next token to forward to the caller.
	nextToken int
	// attempts are the attempts in flight, at most two.
	attempts []attempt
	// attemptCount counts the attempts of the request.
	attemptCount int
	// stepAttempts counts the attempts of the current step.
	stepAttempts int
	// failedWorkers are the workers that failed the current step. Overloaded workers
	// are not included.
	failedWorkers []string
	// sentAttempts counts the attempts that may have reached an upstream.
	sentAttempts int
	// work is the cost so far in work units, by pool.
	work map[string]int
	// nextCheck is when the deadline and timeouts are checked next, or zero. Only the
	// timer that is due at this time has an effect.
	nextCheck time.Time
	// inQueue is true while the request is in the queue of its pool.
	inQueue    bool
	enqueuedAt time.Time
}

type attempt struct {
	ref       Ref
	worker    wire.Host
	startedAt time.Time
	// lastProgress is when the attempt started or last made progress.
	lastProgress time.Time
	// keptAt is when the attempt last timed out and was kept, or zero.
	keptAt time.Time
	// firstTokenAt is when the first progress of the stream was reported, or zero.
	// firstTokenIndex is the Tokens value of that report.
	firstTokenAt    time.Time
	firstTokenIndex int
	// isHedge is true for a second attempt in parallel to a slow one.
	isHedge bool
	// stream is true for a streaming attempt, whose first token shows that the worker
	// has started it.
	stream bool
}

// timerKind is the purpose of a timer.
type timerKind int

const (
	// timerCheck checks a request's deadline and the timeouts of its attempts.
	timerCheck timerKind = iota
	// timerHedge starts a hedge if the attempt is still in flight.
	timerHedge
	// timerQueue dispatches the steps in a pool's queue.
	timerQueue
)

type timer struct {
	kind timerKind
	ref  Ref
	pool string
	// due is the time for which a timerCheck is set.
	due time.Time
}

// Counts are the totals since the runner was created.
type Counts struct {
	Submitted, Done, NotRun, Unknown           int64
	Refused, RefusedShare, RefusedLate         int64
	Calls, Retries, Hedges, HedgeWins          int64
	Late, Crossed, Resumed, Cancelled, Expired int64
	// RetriesDenied counts retries refused for lack of retry budget.
	RetriesDenied int64
}

// A Runner is the state of the reducer. Create it with New.
type Runner struct {
	config   Config
	table    *route.Table
	requests map[string]*activeRequest
	pools    map[string]*pool
	timers   queue.Timers[timer]
	effects  []Effect
	counts   Counts
	// weights are the weights of the accounts from the rules.
	weights map[string]int
}

// New returns a runner that sends calls to the workers of the table.
func New(config Config, table *route.Table) *Runner {
	return &Runner{
		config:   config,
		table:    table,
		requests: make(map[string]*activeRequest),
		pools:    make(map[string]*pool),
	}
}

// Configure updates the parameters that come from the rules.
func (r *Runner) Configure(retryPercent int, hedge, admission bool) {
	r.config.RetryPercent, r.config.Hedge, r.config.Admission = retryPercent, hedge, admission
}

// Step applies an event and returns its effects. The slice is valid until the
// next call.
func (r *Runner) Step(now time.Time, event Event) []Effect {
	r.effects = r.effects[:0]
	switch e := event.(type) {
	case Submit:
		r.submit(now, e.Request)
	case Progress:
		r.progress(now, e)
	case Replied:
		r.replied(now, e)
	case Failed:
		r.failed(now, e)
	case CallerDisconnected:
		r.callerDisconnected(now, e.Request)
	case Tick:
	}
	r.runTimers(now)
	return r.effects
}

// Wake returns the time at which the runner needs the next Tick, if any.
func (r *Runner) Wake() (time.Time, bool) { return r.timers.Next() }

// Len returns the number of active requests.
func (r *Runner) Len() int { return len(r.requests) }

// Counts returns the totals.
func (r *Runner) Counts() Counts { return r.counts }

func (r *Runner) emit(e Effect) { r.effects = append(r.effects, e) }

// A pool holds the queue and statistics of one stage or service.
type pool struct {
	name string
	// stream is true if responses are streams of tokens.
	stream bool
	// queue holds the ids of requests that wait for their first attempt at the step.
	// Without Config.FairQueues all of them count as one account.
	queue admit.FairQueue[string]
	// retries holds the ids of requests that precede those in queue: requests whose
	// step is retried, and requests that found no worker when they were dispatched.
	retries []string
	// queueTimerSet is true while a timerQueue is set.
	queueTimerSet bool
	// latency holds the latencies of answered attempts; for streams, the time per
	// token after the first.
	latency latency
	// firstTokenLatency holds the times to the first token.
	firstTokenLatency latency
	// retryBudget is the number of retries allowed now.
	retryBudget float64
	// meanWait is a moving average of the queueing time of steps.
	meanWait time.Duration
	// answerRate is a moving average of complete responses per second.
	answerRate meter
	shares     shares
}

func (r *Runner) pool(name string) *pool {
	p := r.pools[name]
	if p == nil {
		p = &pool{name: name, retryBudget: maxRetryBudget}
		r.pools[name] = p
	}
	return p
}
