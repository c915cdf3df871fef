// Package ledger decides which attempt of a call that must not repeat may be
// dispatched. It is a reducer: Step takes an event and returns effects, and it
// has no clock, no I/O and no goroutines of its own.
//
// Nodes do not agree among themselves, because they cannot across a network
// partition. The order of records in the platform's log decides instead. A node
// appends a Claim before it dispatches and reads the log through that claim;
// the claim counts only when no live claim of the same key stands before it. A
// node that gives up appends a Release, which voids its claim wherever the two
// stand in the log. The recorded Result is replayed to every later call of the
// key. Where a holder died after its claim, the outcome stays unknown, unless
// the upstream checks fencing numbers and offers a status lookup.
//
// A key may also be issued by a node and bound to its incarnation. Only that
// process may run it, so its own memory decides, and no claim is needed; such
// calls go on while the log is away.
package ledger

import (
	"time"

	"teaselplank/queue"
	"teaselplank/state"
)

// Config holds the bounds of a Ledger.
type Config struct {
	// Node and Incarnation name the process; Incarnation is unique among
	// all processes that ever ran as Node.
	Node        string
	Incarnation string
	// Shards is the number of log streams that the keys are spread over.
	Shards int
	// Window is the age up to which keys are accepted.
	Window time.Duration
	// Retention is how long the log keeps records: at least Window and twice
	// MaxSkew.
	Retention time.Duration
	// MaxSkew bounds the difference between any two clocks.
	MaxSkew time.Duration
	// AppendInterval is the least time between two appends to a shard.
	AppendInterval time.Duration
	// DownAfter is how long appends must fail before calls are refused at
	// once instead of waiting for the log.
	DownAfter time.Duration
	// RetryAfter is what a refused caller is told to wait.
	RetryAfter time.Duration
	// TakeoverAfter is the age from which a claim without a result counts as
	// abandoned by its node. Another node may then take it over where the
	// service checks fencing numbers; elsewhere callers no longer wait for it.
	TakeoverAfter time.Duration
}

// DefaultConfig returns the bounds that a node uses where its settings name
// no others.
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

// maxBatch bounds the entries of one append.
const maxBatch = 1024

// maxPending bounds the entries that wait for an append to one shard; calls are
// refused beyond it.
const maxPending = 1 << 16

// A Ledger is the state of the reducer. Create it with New.
type Ledger struct {
	config Config
	shards []*shard
	// attempts holds the attempts of this node that are not over.
	attempts map[string]*attempt
	// bound holds the calls of keys that this incarnation issued.
	bound  map[Key]*boundCall
	timers queue.Timers[timerEvent]
	// effects collects what the current Step returns.
	effects []Effect
	counts  Counts
	batch   int64
}

// Counts are the totals since the ledger was created.
type Counts struct {
	Claims, Releases, Results, Dispatches, Replays, Takeovers int64
	Refused, Unknown, NotRun, Conflicts                       int64
	Appends, AppendFailures                                   int64
	// Malformed counts log records that could not be decoded.
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
	// claiming attempts wait until their claim is read from the log.
	claiming status = "claiming"
	// blocked attempts wait for an earlier claim of the key.
	blocked status = "blocked"
	// looking attempts wait for a status lookup.
	looking status = "looking"
	// running attempts are dispatched. Their answer is not known yet.
	running status = "running"
	// ended attempts are answered.
	ended status = "ended"
)

type input string

const (
	lose     input = "lose"
	look     input = "look"
	dispatch input = "dispatch"
	finish   input = "finish"
)

var machine = state.New("ledger attempt",
	state.Rule[status, input]{Event: lose, From: []status{claiming, looking, running, blocked}, To: blocked},
	state.Rule[status, input]{Event: look, From: []status{blocked}, To: looking},
	state.Rule[status, input]{Event: dispatch, From: []status{claiming, blocked, looking}, To: running},
	state.Rule[status, input]{Event: finish, From: []status{claiming, blocked, looking, running}, To: ended},
)

// An attempt is one Submit of this node.
type attempt struct {
	submit Submit
	status status
	// number is the fencing number: the place of the claim in the log. It
	// is 0 until the claim is folded.
	number int64
	// dispatched never goes back to false: an attempt dispatches once.
	dispatched bool
	// answered is true once the caller has its answer. A running attempt
	// stays until its dispatch has finished.
	answered bool
	// sent is true once its claim was part of an append, so that the claim
	// may be in the log.
	sent bool
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
	case Folded:
		l.folded(now, e)
	case ReadFailed:
		l.shards[e.Shard].reading = false
	case Finished:
		l.finished(now, e)
	case LookedUp:
		l.lookedUp(now, e)
	case Abandon:
		l.abandon(now, e.Attempt)
	case Tune:
		l.config.AppendInterval = e.AppendInterval
	case Tick:
	}
	l.expire(now)
	l.flush(now)
	return l.effects
}

// Wake returns the time of the next Tick that the ledger needs.
func (l *Ledger) Wake() (time.Time, bool) { return l.timers.Next() }

// Idle reports whether nothing of this node is under way: no attempt is open
// and no entry waits for the log.
func (l *Ledger) Idle() bool {
	for _, s := range l.shards {
		if len(s.pending)+len(s.flight) > 0 {
			return false
		}
	}
	return len(l.attempts) == 0 && l.openBound() == 0
}

// Counts returns the totals.
func (l *Ledger) Counts() Counts { return l.counts }

func (l *Ledger) emit(e Effect) { l.effects = append(l.effects, e) }

// Open returns the number of this node's attempts that are not over.
func (l *Ledger) Open() int { return len(l.attempts) }

// Waiting reports whether an attempt of this node waits for a shard's stream.
func (l *Ledger) Waiting(shard int) bool {
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
	// Pending counts the entries that wait for an append.
	Pending int `json:"pending"`
	Flight  int `json:"flight"`
	// Failing is when appends began to fail.
	Failing time.Time `json:"failing,omitzero"`
}

// Dump returns the state of all shards.
func (l *Ledger) Dump() []ShardDump {
	dumps := make([]ShardDump, len(l.shards))
	for i, s := range l.shards {
		dumps[i] = ShardDump{Stream(s.index), s.next, len(s.keys), len(s.pending), len(s.flight), s.failing}
	}
	return dumps
}
