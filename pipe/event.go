package pipe

import (
	"time"

	"teaselplank/wire"
)

// An Event is an input of the reducer.
type Event interface{ PipeEvent() }

// An Effect is an output of the reducer.
type Effect interface{ PipeEffect() }

// Ref names an attempt. Upstreams echo it.
type Ref struct {
	Request string
	Stage   int
	// Attempt counts from 1 within the request, over all its stages.
	Attempt int
}

// Submit asks to run a request.
type Submit struct{ Request Request }

// Progress reports how many tokens of a stream have been passed on.
type Progress struct {
	Ref Ref
	// Tokens is the index of the next token that is wanted.
	Tokens int
}

// Replied reports a whole answer to an attempt.
type Replied struct {
	Ref    Ref
	Output string
	Status int
	// Tokens is the number of tokens of the whole stream.
	Tokens int
	Work   int
}

// Failed reports that an attempt ended without a whole answer.
type Failed struct {
	Ref     Ref
	Failure Failure
	// Tokens is the index of the next token that is wanted.
	Tokens int
	Work   int
}

// Left reports that the caller of a request has gone.
type Left struct{ Request string }

// Tick lets the reducer act on the time.
type Tick struct{}

func (Submit) PipeEvent()   {}
func (Progress) PipeEvent() {}
func (Replied) PipeEvent()  {}
func (Failed) PipeEvent()   {}
func (Left) PipeEvent()     {}
func (Tick) PipeEvent()     {}

// Failure says how an attempt failed.
type Failure int

// The failures of attempts.
const (
	// Unsent means that nothing reached the upstream.
	Unsent Failure = iota
	// Busy means that the upstream refused for lack of room.
	Busy
	// Stale means that the upstream refused the fencing number.
	Stale
	// Broken means that the connection failed after the call was sent.
	Broken
	// Faulty means that the upstream answered with an error.
	Faulty
	// Silent means that the answer or the next token did not come in time.
	Silent
	// Crossed means that the answer echoed another attempt.
	Crossed
)

// Call asks to send an attempt to a worker.
type Call struct {
	Ref    Ref
	Worker wire.Host
	Step   Step
	Input  string
	Prefix string
	Tokens int
	// ResumeFrom is the index of the first token that is wanted.
	ResumeFrom int
	Deadline   time.Time
	Number     int64
	Key        string
}

// Cancel asks to stop an attempt. No event answers it.
type Cancel struct {
	Ref    Ref
	Worker wire.Host
}

// Answer is the final answer to a request.
type Answer struct {
	Request string
	Outcome wire.Outcome
	Output  string
	Status  int
	Tokens  int
	Reason  Reason
	// Dispatched is true when an attempt was sent.
	Dispatched bool
	RetryAfter time.Duration
	// Work is the cost by pool in work units.
	Work map[string]int
}

func (Call) PipeEffect()   {}
func (Cancel) PipeEffect() {}
func (Answer) PipeEffect() {}

// Reason says why a request has no result.
type Reason string

// The reasons of answers.
const (
	ReasonDeadline Reason = "deadline exceeded"
	ReasonTooLate  Reason = "deadline cannot be met"
	ReasonShare    Reason = "account is over its share"
	ReasonFull     Reason = "queue is full"
	ReasonNoWorker Reason = "no upstream is available"
	ReasonFailed   Reason = "upstream failed"
	ReasonLeft     Reason = "caller has left"
)
