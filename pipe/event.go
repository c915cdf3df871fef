package pipe

import (
	"time"

	"teaselplank/wire"
)

// An Event is an input of the reducer.
type Event interface{ PipeEvent() }

// An Effect is an output of the reducer.
type Effect interface{ PipeEffect() }

// Ref identifies an attempt. Upstreams echo it in their responses.
type Ref struct {
	Request string
	Stage   int
	// Attempt numbers the attempts of the request from 1, across all stages.
	Attempt int
}

// Submit submits a request.
type Submit struct{ Request Request }

// Progress reports the tokens of a stream that have been forwarded to the caller.
type Progress struct {
	Ref Ref
	// Tokens is the index of the next token to forward.
	Tokens int
}

// Replied reports a complete response to an attempt.
type Replied struct {
	Ref    Ref
	Output string
	Status int
	// Tokens is the number of tokens of the whole stream.
	Tokens int
	// Work is the cost in work units.
	Work int
}

// Failed reports that an attempt ended without a complete response.
type Failed struct {
	Ref     Ref
	Failure Failure
	// Tokens is the index of the next token to forward.
	Tokens int
	// Work is the cost in work units.
	Work int
}

// CallerDisconnected reports that the caller of a request has disconnected.
type CallerDisconnected struct{ Request string }

// Tick runs the timers that are due.
type Tick struct{}

func (Submit) PipeEvent()             {}
func (Progress) PipeEvent()           {}
func (Replied) PipeEvent()            {}
func (Failed) PipeEvent()             {}
func (CallerDisconnected) PipeEvent() {}
func (Tick) PipeEvent()               {}

// Failure is the way in which an attempt failed.
type Failure int

// The failures of attempts.
const (
	// Unsent means that the call did not reach the upstream.
	Unsent Failure = iota
	// Busy means that the upstream refused the call because it is overloaded.
	Busy
	// FencingRefused means that the upstream refused the fencing number as outdated.
	FencingRefused
	// ConnectionFailed means that the connection failed after the call had been sent.
	ConnectionFailed
	// UpstreamError means that the upstream returned an error.
	UpstreamError
	// ResponseTimeout means that the response or the next token timed out.
	ResponseTimeout
	// ResponseMismatch means that the response carries the Ref of another attempt.
	ResponseMismatch
)

// Call sends an attempt to a worker.
type Call struct {
	Ref    Ref
	Worker wire.Host
	Step   Step
	Input  string
	Prefix string
	Tokens int
	// ResumeFrom is the index of the first token to send.
	ResumeFrom    int
	Deadline      time.Time
	FencingNumber int64
	Key           string
}

// Cancel cancels an attempt. It has no result event.
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
	// Dispatched is true if an attempt may have reached an upstream.
	Dispatched bool
	RetryAfter time.Duration
	// Work is the cost of the request in work units, by pool.
	Work map[string]int
}

func (Call) PipeEffect()   {}
func (Cancel) PipeEffect() {}
func (Answer) PipeEffect() {}

// Reason is the reason why a request has no result.
type Reason string

// The reasons of answers.
const (
	ReasonDeadline   Reason = "deadline exceeded"
	ReasonTooLate    Reason = "deadline cannot be met"
	ReasonShare      Reason = "account is over its share"
	ReasonFull       Reason = "queue is full"
	ReasonNoWorker   Reason = "no upstream is available"
	ReasonFailed     Reason = "upstream failed"
	ReasonCallerLeft Reason = "caller has left"
)
