package ledger

import (
	"time"

	"teaselplank/wire"
)

// An Event is an input of the reducer.
type Event interface{ LedgerEvent() }

// An Effect is an output of the reducer, which its caller carries out.
type Effect interface{ LedgerEffect() }

// Submit requests that a call run at most once.
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

// Appended reports the offset at which a batch was appended to the log.
type Appended struct {
	Shard  int
	Batch  int64
	Offset int64
}

// AppendFailed reports a batch that the log has not confirmed. It may have been
// appended nevertheless.
type AppendFailed struct {
	Shard int
	Batch int64
}

// PageRead reports a page that was read from a shard's stream.
type PageRead struct {
	Shard int
	Page  wire.Page
}

// ReadFailed reports that a page could not be read.
type ReadFailed struct{ Shard int }

// DispatchFinished reports how a dispatch ended.
type DispatchFinished struct {
	Attempt string
	// Outcome is Done when the upstream has answered, NotRun when the call did
	// not reach it or it refused the fencing number, and Unknown otherwise.
	Outcome wire.Outcome
	Result  Result
}

// LookupFinished reports the result of a status lookup.
type LookupFinished struct {
	Attempt string
	// Failed is true when there was no answer or the fencing number was refused.
	Failed bool
	Status wire.KeyStatus
}

// Cancel requests that an attempt end without being dispatched, because its caller has
// left or the node shuts down. It has no effect on a dispatched attempt.
type Cancel struct{ Attempt string }

// Tick makes the reducer handle due timers and appends.
type Tick struct{}

// SetAppendInterval sets the minimum time between two appends to a shard, which
// depends on the number of nodes that share the log.
type SetAppendInterval struct{ AppendInterval time.Duration }

func (Submit) LedgerEvent()            {}
func (Appended) LedgerEvent()          {}
func (AppendFailed) LedgerEvent()      {}
func (PageRead) LedgerEvent()          {}
func (ReadFailed) LedgerEvent()        {}
func (DispatchFinished) LedgerEvent()  {}
func (LookupFinished) LedgerEvent()    {}
func (Cancel) LedgerEvent()            {}
func (Tick) LedgerEvent()              {}
func (SetAppendInterval) LedgerEvent() {}

// Append requests that entries be appended as one record. Exactly one Appended or
// AppendFailed follows.
type Append struct {
	Shard   int
	Batch   int64
	Entries []Entry
}

// Read requests an immediate read of a shard's stream from an offset. PageRead or
// ReadFailed follows.
type Read struct {
	Shard int
	From  int64
}

// Dispatch requests that the call be sent upstream, once, on a separate connection.
type Dispatch struct {
	Attempt  string
	Number   int64
	Deadline time.Time
}

// Lookup requests the status of the attempt's key from the upstream, which from then
// on refuses lower fencing numbers.
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
	// Dispatched is true when this attempt sent the call upstream.
	Dispatched bool
	// Replayed is true when Result is that of another attempt.
	Replayed   bool
	RetryAfter time.Duration
}

func (Append) LedgerEffect()   {}
func (Read) LedgerEffect()     {}
func (Dispatch) LedgerEffect() {}
func (Lookup) LedgerEffect()   {}
func (Answer) LedgerEffect()   {}

// Reason states why the outcome of an answer is not Done.
type Reason string

// The reasons of answers.
const (
	ReasonLogDown        Reason = "log service is unavailable"
	ReasonKeyExpired     Reason = "key is older than the window"
	ReasonBadKey         Reason = "key is not a UUID of version 7"
	ReasonFutureKey      Reason = "key was issued in the future"
	ReasonConflict       Reason = "key was used with another body"
	ReasonDeadline       Reason = "deadline exceeded"
	ReasonEarlierAttempt Reason = "an earlier attempt of the key has not finished"
	ReasonNoAnswer       Reason = "upstream did not answer"
	ReasonUnsent         Reason = "call did not reach an upstream"
	ReasonCallerLeft     Reason = "caller has left"
	ReasonOverloaded     Reason = "too many calls wait for the log"
	ReasonOtherIssuer    Reason = "the node that issued the key is gone"
)
