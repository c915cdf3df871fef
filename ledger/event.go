package ledger

import (
	"time"

	"teaselplank/wire"
)

// An Event is an input of the reducer.
type Event interface{ LedgerEvent() }

// An Effect is an output of the reducer: work for its shell.
type Effect interface{ LedgerEffect() }

// Submit asks to run a call at most once.
type Submit struct {
	// Attempt is unique among all attempts of all nodes.
	Attempt string
	Key     Key
	Service string
	// Digest identifies the call's service and body.
	Digest string
	// Fenced is true when the service checks fencing numbers and offers a
	// status lookup.
	Fenced   bool
	Deadline time.Time
}

// Appended reports the offset of a batch that the log has taken.
type Appended struct {
	Shard  int
	Batch  int64
	Offset int64
}

// AppendFailed reports a batch that the log has not confirmed. It may have been
// appended all the same.
type AppendFailed struct {
	Shard int
	Batch int64
}

// Folded brings a page of a shard's stream.
type Folded struct {
	Shard int
	Page  wire.Page
}

// ReadFailed reports that a page could not be read.
type ReadFailed struct{ Shard int }

// Finished reports how a dispatch ended.
type Finished struct {
	Attempt string
	// Outcome is Done when the upstream has answered, NotRun when nothing
	// reached it or it refused the fencing number, and Unknown otherwise.
	Outcome wire.Outcome
	Result  Result
}

// LookedUp reports the answer to a status lookup.
type LookedUp struct {
	Attempt string
	// Failed is true when there was no answer or the number was refused.
	Failed bool
	Status wire.ServiceStatus
}

// Abandon reports that the caller of an attempt has left or that the node is
// asked to stop before dispatching it.
type Abandon struct{ Attempt string }

// Tick lets the reducer act on the time.
type Tick struct{}

// Tune sets the least time between appends, which follows the number of nodes
// that share the log.
type Tune struct{ AppendInterval time.Duration }

func (Submit) LedgerEvent()       {}
func (Appended) LedgerEvent()     {}
func (AppendFailed) LedgerEvent() {}
func (Folded) LedgerEvent()       {}
func (ReadFailed) LedgerEvent()   {}
func (Finished) LedgerEvent()     {}
func (LookedUp) LedgerEvent()     {}
func (Abandon) LedgerEvent()      {}
func (Tick) LedgerEvent()         {}
func (Tune) LedgerEvent()         {}

// Append asks to append entries as one record. Exactly one Appended or
// AppendFailed answers it.
type Append struct {
	Shard   int
	Batch   int64
	Entries []Entry
}

// Read asks to read a shard's stream from an offset, now. Folded or ReadFailed
// answers it.
type Read struct {
	Shard int
	From  int64
}

// Dispatch asks to send the call upstream, once, on a connection of its own.
type Dispatch struct {
	Attempt  string
	Number   int64
	Deadline time.Time
}

// Lookup asks the upstream for the status of the attempt's key and to refuse
// lower fencing numbers from then on.
type Lookup struct {
	Attempt string
	Key     Key
	Number  int64
}

// Answer is the final answer to a Submit.
type Answer struct {
	Attempt string
	Outcome wire.Outcome
	Result  Result
	// Reason is set unless Outcome is Done.
	Reason Reason
	// Dispatched is true when this attempt has sent the call upstream.
	Dispatched bool
	// Replayed is true when Result is that of an earlier attempt.
	Replayed   bool
	RetryAfter time.Duration
}

func (Append) LedgerEffect()   {}
func (Read) LedgerEffect()     {}
func (Dispatch) LedgerEffect() {}
func (Lookup) LedgerEffect()   {}
func (Answer) LedgerEffect()   {}

// Reason says why an answer is not Done.
type Reason string

// The reasons of answers.
const (
	ReasonLogDown    Reason = "log service is unavailable"
	ReasonExpired    Reason = "key is older than the window"
	ReasonBadKey     Reason = "key is not a UUID of version 7"
	ReasonFutureKey  Reason = "key was issued in the future"
	ReasonConflict   Reason = "key was used with another body"
	ReasonDeadline   Reason = "deadline exceeded"
	ReasonEarlier    Reason = "an earlier attempt of the key has not finished"
	ReasonNoAnswer   Reason = "upstream did not answer"
	ReasonUnsent     Reason = "call did not reach an upstream"
	ReasonAbandoned  Reason = "caller has left"
	ReasonOverloaded Reason = "too many calls wait for the log"
	ReasonLost       Reason = "the node that issued the key is gone"
)
