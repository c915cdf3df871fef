package batch

import (
	"time"

	"teaselplank/fleet"
)

// A Ref names a job: one stage of one run of a request.
type Ref struct {
	Request string
	Stage   int
	// Run counts how often the stages of the request were begun anew, so that
	// what belongs to a run before does not touch this one.
	Run int
}

// A Job is the work of one stage of one request.
type Job struct {
	Ref     Ref
	Service string
	// Pieces is the number of pieces; at least 1.
	Pieces int
	// ResultBytes is about the size of the result of one piece.
	ResultBytes int64
	// Key tells the workers what to work on, in a stage that needs no results
	// of others. In all others, Inputs are the results that each piece needs.
	Key    string
	Inputs []string
	// OnlyUser is true if no other stage needs the inputs.
	OnlyUser bool
	// Zone is where the job's inputs are, or where its results are needed.
	Zone string
	// Due is when the job has to be done for its request to be on time.
	Due time.Time
	// Deadline is when the result is of no use any more.
	Deadline time.Time
	// Rank is the request's urgency; 0 is the most urgent.
	Rank int
	// Begun is true if work was already spent on the request. Such a job is
	// not refused only because it will be late.
	Begun bool
	// Ahead lists the stages that the request needs once this one is done, in
	// their order. Finish is when the last of them has to be done.
	Ahead  []Need
	Finish time.Time
}

// A Need is a stage that a request will need later.
type Need struct {
	Stage   int
	Service string
	Pieces  int
}

// A Result is where the result of a piece lies.
type Result struct {
	Handle string
	// Addr and Zone are those of the worker that keeps it.
	Addr string
	Zone string
}

// A Reason says why a job was not done.
type Reason string

// The reasons of refusals.
const (
	// ReasonLate means that the job cannot be done in time.
	ReasonLate Reason = "stage cannot finish in time"
	// ReasonNoWorker means that no worker of the service can be used.
	ReasonNoWorker Reason = "stage has no worker"
	// ReasonGone means that an input is lost: the stages before must run again.
	ReasonGone Reason = "stage input is gone"
	// ReasonFailed means that workers failed the job too often.
	ReasonFailed Reason = "stage failed"
	// ReasonMoved means that another node owns the service now.
	ReasonMoved Reason = "stage is owned by another node"
)

// An Event is an input of the reducer.
type Event interface{ BatchEvent() }

type (
	// Submit brings a job. Done or Refused answers it, unless it is withdrawn.
	Submit struct{ Job Job }
	// Withdraw takes a job back.
	Withdraw struct{ Ref Ref }
	// Release gives results up.
	Release struct{ Results []Result }
	// Returned brings the end of a Call.
	Returned struct {
		Call int
		// Outcomes has one entry a piece; it is empty if the call failed.
		Outcomes []Outcome
		Failure  Failure
	}
	// Freed reports the end of a Free.
	Freed struct {
		Worker  string
		Handles []string
		OK      bool
	}
	// Reported brings the memory for results that a worker has left, in bytes.
	Reported struct {
		Worker string
		Space  int64
	}
	// Workers brings the configuration and the upstreams of stage services.
	Workers struct {
		Services  []fleet.Service
		Upstreams []fleet.Upstream
	}
	// Leave asks to take no more jobs, and to give those back that have not
	// begun. Calls under way are still finished.
	Leave struct{}
	// Tick lets the reducer act on the time.
	Tick struct{}
)

func (Submit) BatchEvent()   {}
func (Withdraw) BatchEvent() {}
func (Release) BatchEvent()  {}
func (Returned) BatchEvent() {}
func (Freed) BatchEvent()    {}
func (Reported) BatchEvent() {}
func (Workers) BatchEvent()  {}
func (Leave) BatchEvent()    {}
func (Tick) BatchEvent()     {}

// Failure says how a call as a whole failed.
type Failure string

// The failures of calls.
const (
	// NoFailure means that the worker has answered each piece.
	NoFailure Failure = ""
	// Full means that the worker had no room for the call and did not run it.
	Full Failure = "full"
	// Unreached means that the call did not reach the worker.
	Unreached Failure = "unreached"
	// Unanswered is the same for a worker that did not answer to a connection
	// at all: the way to its zone may be cut.
	Unanswered Failure = "unanswered"
	// Broken means that no whole answer came; the call may have run.
	Broken Failure = "broken"
)

// An Outcome is what became of a piece.
type Outcome struct {
	// Handle names the result if Trouble is NoTrouble.
	Handle  string
	Trouble Trouble
}

// Trouble says why a piece has no result.
type Trouble string

// The troubles of pieces.
const (
	NoTrouble Trouble = ""
	// Expired pieces came to their turn after their deadline.
	Expired Trouble = "late"
	// InputGone pieces lack an input.
	InputGone Trouble = "gone"
	// NoRoom pieces found no memory for their result.
	NoRoom Trouble = "room"
	// Errored pieces failed at the worker.
	Errored Trouble = "error"
)

// An Effect is an output of the reducer.
type Effect interface{ BatchEffect() }

type (
	// Call asks to send pieces to a worker. Returned answers it.
	Call struct {
		Number  int
		Worker  fleet.Upstream
		Items   []Item
		Timeout time.Duration
	}
	// Free asks to free results at a worker, once.
	Free struct {
		Worker  fleet.Upstream
		Handles []string
	}
	// Ask asks a worker how much memory for results it has left. Reported
	// answers it, or nothing does.
	Ask struct{ Worker fleet.Upstream }
	// Done brings the results of all pieces of a job, in their order.
	Done struct {
		Ref     Ref
		Results []Result
		// Service is the job's. Took is how long the job took, and Expected how
		// long it was expected to.
		Service  string
		Took     time.Duration
		Expected time.Duration
	}
	// Admitted tells on what a job was taken: the pieces before it, and when
	// it and all that its request needs after it should be done.
	Admitted struct {
		Ref     Ref
		Waiting int
		Coming  int
		Workers int
		Done    time.Duration
	}
	// Refused ends a job without results.
	Refused struct {
		Ref    Ref
		Reason Reason
		// RetryAfter is when there is likely to be room again.
		RetryAfter time.Duration
	}
)

func (Call) BatchEffect()     {}
func (Free) BatchEffect()     {}
func (Ask) BatchEffect()      {}
func (Done) BatchEffect()     {}
func (Admitted) BatchEffect() {}
func (Refused) BatchEffect()  {}

// An Item is one piece in a call.
type Item struct {
	Ref    Ref
	Piece  int
	Key    string
	Inputs []string
	// Left is the time until the piece is of no use.
	Left time.Duration
}
