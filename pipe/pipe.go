// Package pipe runs requests: each is a chain of steps, a step is served by a
// worker of its pool, and one deadline spans the chain. The package decides
// which requests to take, when a step may start and on which worker, when it is
// tried again or beside a slow attempt, and when a request is given up. It is a
// reducer: Step takes an event and returns effects.
package pipe

import (
	"time"

	"teaselplank/admit"
	"teaselplank/queue"
	"teaselplank/route"
	"teaselplank/state"
	"teaselplank/wire"
)

// Config holds the bounds and switches of a Runner.
type Config struct {
	// Early refuses a request that cannot make its deadline, at once.
	Early bool
	// Fair queues steps by account, in place of one queue for all.
	Fair bool
	// Hedge starts a second attempt beside one that is slow.
	Hedge bool
	// Admission keeps accounts to their share while there is too little
	// room for all.
	Admission bool
	// RetryPercent is the share of first attempts that retries and hedges
	// may add to a pool. Below 0 there is no such bound.
	RetryPercent int
	// MaxAttempts bounds the attempts of a step.
	MaxAttempts int
	// Silence is how long a stream may go without a token.
	Silence time.Duration
	// AttemptTimeout bounds an attempt where Early is off; otherwise the
	// bound follows the pool's latency.
	AttemptTimeout time.Duration
	// MaxQueue bounds the steps that wait for a pool.
	MaxQueue int
	// Cancel tells upstreams when an attempt is no longer wanted.
	Cancel bool
}

// DefaultConfig returns what a node uses where its settings name no others.
func DefaultConfig() Config {
	return Config{
		Early:          true,
		Fair:           true,
		Hedge:          true,
		Admission:      true,
		RetryPercent:   10,
		MaxAttempts:    4,
		Silence:        500 * time.Millisecond,
		AttemptTimeout: 2 * time.Second,
		MaxQueue:       4096,
		Cancel:         true,
	}
}

// BaselineConfig returns the plain behaviour that others are measured against:
// no admission, three retries without a budget, no hedging.
func BaselineConfig() Config {
	return Config{
		RetryPercent:   -1,
		MaxAttempts:    4,
		Silence:        500 * time.Millisecond,
		AttemptTimeout: 2 * time.Second,
		MaxQueue:       1 << 20,
	}
}

// A Step is one part of a request.
type Step struct {
	// Pool names the workers: a stage or a service.
	Pool string
	// Kind is the stage's kind, or "service".
	Kind string
	// Stream is true for a stage that generates tokens.
	Stream bool
	// Hedge allows a second attempt beside a slow one.
	Hedge bool
	// Once forbids another attempt after one that may have run.
	Once bool
	// Model names the model for a generator.
	Model string
}

// A Request is what a caller asks for. Its fields do not change after Submit.
type Request struct {
	ID      string
	Account string
	// Weight is the account's share.
	Weight int
	// Steps has at least one step.
	Steps []Step
	// Input is the input of the first step. The runner only passes it on.
	Input    string
	Prefix   string
	Tokens   int
	Deadline time.Time
	// Number is a fencing number for services that check them, or 0.
	Number int64
	// Key is the idempotency key that the upstream is told.
	Key string
}

// status is the state of a request.
type status string

const (
	// queued requests wait for room at the pool of their step.
	queued status = "queued"
	// calling requests have at least one attempt under way.
	calling status = "calling"
	// ended requests are answered.
	ended status = "ended"
)

type input string

const (
	begin  input = "begin"
	lose   input = "lose"
	pass   input = "pass"
	finish input = "finish"
)

var machine = state.New("request",
	state.Rule[status, input]{Event: begin, From: []status{queued, calling}, To: calling},
	state.Rule[status, input]{Event: lose, From: []status{calling, queued}, To: queued},
	state.Rule[status, input]{Event: pass, From: []status{calling}, To: queued},
	state.Rule[status, input]{Event: finish, From: []status{queued, calling}, To: ended},
)

// A running is a request under way.
type running struct {
	request Request
	// pools has the pool of each step.
	pools  []*pool
	status status
	// stage is the index of the step under way.
	stage int
	// input is the output of the step before.
	input string
	// tokens is the index of the next token that the caller wants.
	tokens int
	// attempts are those under way, at most two.
	attempts []attempt
	// count numbers the attempts of the request.
	count int
	// tries counts the attempts of the step.
	tries int
	// avoid are the workers that have failed the step.
	avoid []string
	// sent counts the attempts that may have reached an upstream.
	sent int
	work map[string]int
	// armed is when the request is to be checked next, or zero. At most one
	// timer that counts is set for a request.
	armed time.Time
	// waiting is true while the request stands in its pool's queue.
	waiting bool
	entered time.Time
}

type attempt struct {
	ref    Ref
	worker wire.Host
	began  time.Time
	// moved is when the attempt last made progress.
	moved time.Time
	// first is when the attempt brought its first token, or zero, and from
	// is the index of that token.
	first time.Time
	from  int
	// hedge is true for a second attempt beside a slow one.
	hedge bool
	// stream is true for an attempt whose first token tells that it started.
	stream bool
}

// timerKind says what a timer is for.
type timerKind int

const (
	// timerCheck is for a request's deadline and the silence of its attempts.
	timerCheck timerKind = iota
	timerHedge
	timerQueue
)

type timer struct {
	kind timerKind
	ref  Ref
	pool string
	// due is when a timerCheck was set for.
	due time.Time
}

// Counts are the totals since the runner was created.
type Counts struct {
	Submitted, Done, NotRun, Unknown           int64
	Refused, RefusedShare, RefusedLate         int64
	Calls, Retries, Hedges, HedgeWins          int64
	Late, Crossed, Resumed, Cancelled, Expired int64
	// RetriesDenied counts retries that the budget did not allow.
	RetriesDenied int64
}

// A Runner is the state of the reducer. Create it with New.
type Runner struct {
	config   Config
	table    *route.Table
	requests map[string]*running
	pools    map[string]*pool
	timers   queue.Timers[timer]
	effects  []Effect
	counts   Counts
	// weights are the shares of the accounts by the rules.
	weights map[string]int
}

// New returns a runner that sends its calls to the workers of the table.
func New(config Config, table *route.Table) *Runner {
	return &Runner{
		config:   config,
		table:    table,
		requests: make(map[string]*running),
		pools:    make(map[string]*pool),
	}
}

// Configure changes the switches that the rules set.
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
	case Left:
		r.left(now, e.Request)
	case Tick:
	}
	r.expire(now)
	return r.effects
}

// Wake returns the time of the next Tick that the runner needs.
func (r *Runner) Wake() (time.Time, bool) { return r.timers.Next() }

// Len returns the number of requests under way.
func (r *Runner) Len() int { return len(r.requests) }

// Counts returns the totals.
func (r *Runner) Counts() Counts { return r.counts }

func (r *Runner) emit(e Effect) { r.effects = append(r.effects, e) }

// A pool is what the runner knows of the workers of one stage or service.
type pool struct {
	name string
	// stream is true for a pool whose calls are answered token by token.
	stream bool
	// fair holds the requests that wait; with Fair off all are of one account.
	fair admit.Fair[string]
	// urgent holds the requests whose step is tried again; they go first.
	urgent []string
	// ticking is true while a timer for the queue is set.
	ticking bool
	// latency is of attempts that were answered; for streams, of a token
	// after the first.
	latency latency
	// first is of first tokens.
	first latency
	// budget is the number of retries that may be made now.
	budget float64
	// wait is a moving mean of the time that steps stood in the queue.
	wait time.Duration
	// rate is a moving mean of the answers a second.
	rate   meter
	shares shares
}

func (r *Runner) pool(name string) *pool {
	p := r.pools[name]
	if p == nil {
		p = &pool{name: name, budget: maxBudget}
		r.pools[name] = p
	}
	return p
}
