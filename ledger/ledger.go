// Package ledger decides which attempt of a call that must run at most once may be
// dispatched. It is a reducer: Step takes an event and returns effects. It has no
// clock, I/O or goroutines.
//
// The order of records in the platform's log decides, because nodes cannot agree
// among themselves across a network partition. A node appends a claim before it
// dispatches, and reads the log up to and including that claim. The claim counts only
// when no live claim of the same key precedes it. A node that gives up appends a
// release, which voids its claim whether it precedes or follows the claim in the log.
// The recorded Result is replayed to every later call of the key. If a node crashes
// after its claim, the outcome stays unknown unless the upstream checks fencing
// numbers and offers a status lookup.
//
// A node can also issue a key that is bound to its incarnation. Only that process may
// run the call, so its memory decides and no claim is needed. Such calls continue to
// run during an outage of the log.
package ledger

import (
	"time"

	"teaselplank/queue"
	"teaselplank/state"
)

// Config holds the bounds of a Ledger.
type Config struct {
	// Node and Incarnation identify the process. Incarnation is unique among all
	// processes that have run as Node.
	Node        string
	Incarnation string
	// Shards is the number of log streams over which keys are distributed.
	Shards int
	// Window is the maximum age of an accepted key.
	Window time.Duration
	// Retention is how long the log keeps records: at least Window plus twice
	// MaxSkew.
	Retention time.Duration
	// MaxSkew bounds the difference between any two clocks.
	MaxSkew time.Duration
	// AppendInterval is the minimum time between two appends to a shard.
	AppendInterval time.Duration
	// DownAfter is how long appends must fail before calls are refused
	// immediately instead of waiting for the log.
	DownAfter time.Duration
	// RetryAfter is the retry delay that is returned to a refused caller.
	RetryAfter time.Duration
	// TakeoverAfter is the age from which a claim without a result counts as
	// abandoned by its node. If the service checks fencing numbers, another node
	// may then take the call over; otherwise callers stop waiting for its result.
	TakeoverAfter time.Duration
}

// DefaultConfig returns the bounds that apply unless the settings override them.
func DefaultConfig() Config {
	return Config{
		Shards:         4,
		Window:         24 * time.Hour,
		Retention:      48 * time.Hour,
		MaxSkew:        time.Minute,
		AppendInterval: 20 * time.Millisecond,
		DownAfter:      time.Second,
		RetryAfter:     2 * time.Second,
		TakeoverAfter:  10 * time.Second,
	}
}

// maxBatch is the maximum number of entries in one append.
const maxBatch = 1024

// maxPending is the number of pending entries of one shard at which calls are refused.
const maxPending = 1 << 16

// A Ledger is the state of the reducer. Create it with New.
type Ledger struct {
	config Config
	shards []*shard
	// attempts holds the active attempts of this node.
	attempts map[string]*attempt
	// bound holds the calls of keys that this incarnation issued.
	bound  map[Key]*boundCall
	timers queue.Timers[timerEvent]
	// effects collects the effects of the current Step.
	effects []Effect
	counts  Counts
	// lastBatch is the number of the last append to any shard.
	lastBatch int64
}

// Counts are the totals since the ledger was created.
type Counts struct {
	Claims, Releases, Results, Dispatches, Replays, Takeovers int64
	Refused, Unknown, NotRun, Conflicts                       int64
	Appends, AppendFailures                                   int64
	// Malformed counts log records that could not be decoded and entries that
	// belong to another shard.
	Malformed int64
}

// New returns an empty ledger.
func New(config Config) *Ledger {
	l := &Ledger{
		config:   config,
		attempts: make(map[string]*attempt),
		bound:    make(map[Key]*boundCall),
	}
	for i := range config.Shards {
		l.shards = append(l.shards, newShard(i))
	}
	return l
}

// status is the state of an attempt of this node.
type status string

const (
	// claiming attempts wait for their claim to be read from the log.
	claiming status = "claiming"
	// blocked attempts wait for an earlier claim of the key.
	blocked status = "blocked"
	// lookingUp attempts wait for a status lookup.
	lookingUp status = "looking"
	// running attempts are dispatched, or wait for a dispatched attempt of the
	// same bound key.
	running status = "running"
	// ended attempts are answered.
	ended status = "ended"
)

// trigger is an event that changes the state of an attempt.
type trigger string

const (
	block    trigger = "lose"
	lookUp   trigger = "look"
	dispatch trigger = "dispatch"
	finish   trigger = "finish"
)

var attemptMachine = state.New("ledger attempt",
	state.Transition[status, trigger]{Event: block, From: []status{claiming, lookingUp, running, blocked}, To: blocked},
	state.Transition[status, trigger]{Event: lookUp, From: []status{blocked}, To: lookingUp},
	state.Transition[status, trigger]{Event: dispatch, From: []status{claiming, blocked, lookingUp}, To: running},
	state.Transition[status, trigger]{Event: finish, From: []status{claiming, blocked, lookingUp, running}, To: ended},
)

// An attempt is one Submit of this node.
type attempt struct {
	submit Submit
	status status
	// number is the fencing number: the position of the claim in the log. It
	// is 0 until the claim is folded.
	number int64
	// dispatched is never reset: an attempt dispatches at most once.
	dispatched bool
	// answered is true once the caller has its answer. A dispatched attempt is
	// kept until its dispatch has finished.
	answered bool
	// claimSent is true once an append has included the claim, which may thus be
	// in the log.
	claimSent bool
}

type timerEvent struct {
	// attempt is empty for a timer of the shard.
	attempt string
	shard   int
}

// Step applies an event and returns its effects. The slice is valid until the
// next call.
func (l *Ledger) Step(now time.Time, event Event) []Effect {
	l.effects = l.effects[:0]
	switch e := event.(type) {
	case Submit:
		l.submit(now, e)
	case Appended:
		l.appended(now, e)
	case AppendFailed:
		l.appendFailed(now, e)
	case PageRead:
		l.pageRead(now, e)
	case ReadFailed:
		l.shards[e.Shard].reading = false
	case DispatchFinished:
		l.dispatchFinished(now, e)
	case LookupFinished:
		l.lookupFinished(now, e)
	case Cancel:
		l.cancel(now, e.Attempt)
	case SetAppendInterval:
		l.config.AppendInterval = e.AppendInterval
	case Tick:
	}
	l.fireTimers(now)
	l.flush(now)
	return l.effects
}

// Wake returns the time of the next Tick that the ledger needs.
func (l *Ledger) Wake() (time.Time, bool) { return l.timers.Next() }

// Idle reports whether this node has no active attempt and no entry that is pending or
// in flight.
func (l *Ledger) Idle() bool {
	for _, s := range l.shards {
		if len(s.pending)+len(s.inFlight) > 0 {
			return false
		}
	}
	return len(l.attempts) == 0 && l.countInFlightBound() == 0
}

// Counts returns the totals since the ledger was created.
func (l *Ledger) Counts() Counts { return l.counts }

func (l *Ledger) emit(e Effect) { l.effects = append(l.effects, e) }

// ActiveAttempts returns the number of this node's attempts that have not ended.
func (l *Ledger) ActiveAttempts() int { return len(l.attempts) }

// HasAttempts reports whether this node has an active attempt whose key belongs to a
// shard.
func (l *Ledger) HasAttempts(shard int) bool {
	for _, a := range l.attempts {
		if a.submit.Key.Shard(len(l.shards)) == shard {
			return true
		}
	}
	return false
}

// A ShardDump is the state of one shard.
type ShardDump struct {
	Stream string `json:"stream"`
	Next   int64  `json:"next"`
	Keys   int    `json:"keys"`
	// Pending is the number of entries that wait for an append, and InFlight the
	// number of entries in the append in flight.
	Pending  int `json:"pending"`
	InFlight int `json:"flight"`
	// FailingSince is when appends began to fail, or zero.
	FailingSince time.Time `json:"failing,omitzero"`
}

// Dump returns the state of all shards.
func (l *Ledger) Dump() []ShardDump {
	dumps := make([]ShardDump, len(l.shards))
	for i, s := range l.shards {
		dumps[i] = ShardDump{Stream(s.index), s.next, len(s.keys), len(s.pending), len(s.inFlight), s.failingSince}
	}
	return dumps
}
