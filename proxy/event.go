package proxy

import (
	"time"

	"teaselplank/batch"
	"teaselplank/fleet"
	"teaselplank/trace"
)

// A Request is what a client asks for, as the front has read it.
type Request struct {
	// Number is unique among the requests of this process.
	Number uint64
	// ID is the client's name for this attempt.
	ID   string
	Host string
	Path string
	// APIKey is the client's credential, or empty.
	APIKey string
	// Patience is how long the client waits.
	Patience time.Duration
	// PromptTokens is the length of the prompt, and Shared the part of it that
	// other requests share as well.
	PromptTokens int
	Shared       string
	// Pieces is the number of pieces of each stage, and PieceKey what their
	// workers work on.
	Pieces   []int
	PieceKey string
	// LastEvent is the last event that the client has, if it resumes a stream.
	LastEvent string
}

// An Event is an input of the reducer.
type Event interface{ FlowEvent() }

type (
	// Arrive brings a request.
	Arrive struct{ Request Request }
	// StageDone brings the results of a stage.
	StageDone struct {
		Number  uint64
		Stage   int
		Results []batch.Result
	}
	// StageFailed ends a stage without results.
	StageFailed struct {
		Number     uint64
		Stage      int
		Reason     batch.Reason
		RetryAfter time.Duration
	}
	// Answered brings the head of an upstream's answer.
	Answered struct {
		Number  uint64
		Attempt int
		Answer  Answer
	}
	// Began reports the first event of a stream.
	Began struct {
		Number  uint64
		Attempt int
	}
	// Finished reports that the client has the whole answer.
	Finished struct {
		Number  uint64
		Attempt int
		Status  int
	}
	// Broke reports that an attempt ended without a whole answer.
	Broke struct {
		Number  uint64
		Attempt int
		Failure Failure
		// LastEvent is the last event that was passed on, or empty.
		LastEvent string
		// Opened is true if the client has a part of the answer already.
		Opened bool
	}
	// Left reports that the client has gone.
	Left struct{ Number uint64 }
	// TimedOut reports that the time for the request is over.
	TimedOut struct {
		Number uint64
		Opened bool
	}
	// Configured brings a version of the configuration. Older ones than the one
	// in force change nothing.
	Configured struct{ Table *fleet.Table }
	// Registered brings the upstreams of the deployment.
	Registered struct{ Upstreams []fleet.Upstream }
	// Nodes brings the number of nodes that share the work.
	Nodes struct{ Count int }
	// Stop asks to take no more requests than the front still brings.
	Stop struct{}
)

func (Arrive) FlowEvent()      {}
func (StageDone) FlowEvent()   {}
func (StageFailed) FlowEvent() {}
func (Answered) FlowEvent()    {}
func (Began) FlowEvent()       {}
func (Finished) FlowEvent()    {}
func (Broke) FlowEvent()       {}
func (Left) FlowEvent()        {}
func (TimedOut) FlowEvent()    {}
func (Configured) FlowEvent()  {}
func (Registered) FlowEvent()  {}
func (Nodes) FlowEvent()       {}
func (Stop) FlowEvent()        {}

// An Answer is the head of an upstream's answer.
type Answer struct {
	Status int
	// Sealed is true if the upstream vouches for the answer; a success that is
	// not sealed is none.
	Sealed bool
	// NotRun is true if the upstream says that it has not run the request.
	NotRun bool
	// Load is what the upstream reports of itself, or nil.
	Load *Load
}

// Load is what an upstream reports of itself.
type Load struct{ Running, Waiting, Slots int }

// Failure says how an attempt ended without a whole answer.
type Failure string

// The failures of attempts.
const (
	// Unreached means that nothing was sent to the upstream.
	Unreached Failure = "unreached"
	// Unanswered is the same for an upstream that did not answer to a
	// connection at all: the way to its zone may be cut.
	Unanswered Failure = "unanswered"
	// Withheld means that the upstream was found to be leaving before
	// anything was sent.
	Withheld Failure = "withheld"
	// Broken means that the connection failed after the request was sent.
	Broken Failure = "broken"
	// Crossed means that the answer belongs to another request, or is none.
	Crossed Failure = "crossed"
	// Silent means that no answer came for longer than is usual.
	Silent Failure = "silent"
)

// An Effect is an output of the reducer.
type Effect interface{ FlowEffect() }

type (
	// RunStage asks to have a job done by the owner of its service.
	RunStage struct {
		Number uint64
		Job    batch.Job
	}
	// Send asks to send the request to an upstream.
	Send struct {
		Number   uint64
		Attempt  int
		Upstream fleet.Upstream
		Route    *fleet.Route
		// Account is the client account's name, or empty.
		Account string
		// Engine is true if the upstream is a model engine, and Priority then
		// the request's priority class, 0 first.
		Engine   bool
		Priority int
		Inputs   []string
		// LastEvent is the last event that the client has, or empty.
		LastEvent string
		// Deadline is when the request is of no use.
		Deadline time.Time
		// Patience bounds the wait for the head of the answer; 0 is no bound.
		Patience time.Duration
	}
	// Deliver asks to pass on the answer of the attempt under way.
	Deliver struct {
		Number  uint64
		Attempt int
	}
	// Reply is a final answer of the system itself.
	Reply struct {
		Number     uint64
		Status     int
		Reason     Reason
		RetryAfter time.Duration
	}
	// Cut asks to break off an answer that was begun, so that the client sees
	// that it is not whole.
	Cut struct {
		Number uint64
		Reason Reason
	}
	// Free gives results of stages up.
	Free struct{ Results []batch.Result }
	// Withdraw takes the open stages of a request back.
	Withdraw struct {
		Number uint64
		Stages []int
	}
	// Admitted tells how long a request has at most.
	Admitted struct {
		Number   uint64
		Deadline time.Time
	}
	// Noted describes a decision for the log.
	Noted struct{ Note Note }
)

func (RunStage) FlowEffect() {}
func (Send) FlowEffect()     {}
func (Deliver) FlowEffect()  {}
func (Reply) FlowEffect()    {}
func (Cut) FlowEffect()      {}
func (Free) FlowEffect()     {}
func (Withdraw) FlowEffect() {}
func (Admitted) FlowEffect() {}
func (Noted) FlowEffect()    {}

// Reason says why a request was answered as it was.
type Reason string

// The reasons of replies, cuts and notes.
const (
	ReasonNoConfig   Reason = "configuration is not known yet"
	ReasonNoRoute    Reason = "no route for the host and path"
	ReasonNoKey      Reason = "API key is not known"
	ReasonStopping   Reason = "node is stopping"
	ReasonLate       Reason = "cannot be answered in time"
	ReasonNoUpstream Reason = "no upstream is available"
	ReasonFull       Reason = "upstreams are full"
	ReasonStage      Reason = "stage failed"
	ReasonTimeout    Reason = "time is over"
	ReasonBroken     Reason = "upstream broke off"
	ReasonBudget     Reason = "repeat budget is used up"
	ReasonLeft       Reason = "client has left"
	ReasonAnswered   Reason = "answered"
	ReasonBad        Reason = "request is not valid"
)

// A Note is a decision on a request with what it was based on.
type Note struct {
	Request  string
	Decision trace.Decision
	Reason   Reason
	// Took is how long that which ends with the decision took, or 0.
	Took   time.Duration
	Inputs []any
}
