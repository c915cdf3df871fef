package batch

import (
	"time"

	"teaselplank/fleet"
)

// A Ref names a job: one stage of one run of a request.
type Ref struct {
	Request string
	Stage   int
	// Run is the number of times the stages of the request were restarted, so that
	// events of a previous run do not affect this one.
	Run int
}

// MaxJobPieces bounds the pieces of a job. Whoever decodes a number of pieces checks it: the
// estimates of a job are products of it.
const MaxJobPieces = 1 << 16

// MaxResultBytes bounds the size of the result of a piece, like MaxJobPieces.
const MaxResultBytes = 1 << 40

// A Job is the work of one stage of one request.
type Job struct {
	Ref     Ref
	Service string
	// Pieces is the number of pieces, from 1 to MaxJobPieces.
	Pieces int
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes int64
	// Key identifies the work of a stage that needs no results of other stages. In
	// any other stage, Inputs holds the handles of the results that each piece needs.
	Key    string
	Inputs []string
	// SoleConsumer is true if no other stage needs the inputs.
	SoleConsumer bool
	// Zone is the zone that holds the job's inputs, or that needs its results.
	Zone string
	// Due is the time by which the job must end for its request to be in time.
	Due time.Time
	// Deadline is the time after which the results are useless.
	Deadline time.Time
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// Account is the name of the client account, or empty.
	Account string
	// Started is true if work was already done for the request. Such a job is not
	// refused for missing Due, only for missing Deadline.
	Started bool
	// LastResort is true if no other node runs the job, so that a draining one does.
	LastResort bool
	// Downstream lists the stages that follow this one, in order. StagesDue is the
	// time by which the last of them must end.
	Downstream []DownstreamStage
	StagesDue  time.Time
}

// A DownstreamStage is a stage of a request that follows the stage of a job.
type DownstreamStage struct {
	Stage   int
	Service string
	Pieces  int
}

// A Result is the location of the result of a piece.
type Result struct {
	Handle string
	// Addr and Zone are those of the worker that holds it.
	Addr string
	Zone string
}

// A Reason says why a job was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonLate means that the job cannot be done in time.
	ReasonLate Reason = "stage cannot finish in time"
	// ReasonNoWorker means that the service has no usable worker.
	ReasonNoWorker Reason = "stage has no worker"
	// ReasonUnknownService means that the service is not in this owner's configuration.
	// It may be in a newer one that another node has.
	ReasonUnknownService Reason = "stage service is not known"
	// ReasonInputLost means that an input is lost: the preceding stages must run again.
	ReasonInputLost Reason = "stage input is gone"
	// ReasonFailed means that too many pieces of the job failed at workers.
	ReasonFailed Reason = "stage failed"
	// ReasonNotOwner means that another node now owns the service, or that this one
	// has not received the services and workers yet.
	ReasonNotOwner Reason = "stage is owned by another node"
)

// An Event is an input of the reducer.
type Event interface{ BatchEvent() }

type (
	// Submit submits a job. Done or Refused ends it, unless it is withdrawn.
	Submit struct{ Job Job }
	// Withdraw cancels a job.
	Withdraw struct{ Ref Ref }
	// Release releases results that are no longer needed.
	Release struct{ Results []Result }
	// CallEnded reports the end of a Call.
	CallEnded struct {
		Call int
		// Outcomes has one entry per piece; it is empty if the call failed.
		Outcomes []Outcome
		Failure  Failure
	}
	// FreeEnded reports the end of a Free.
	FreeEnded struct {
		Worker  string
		Handles []string
		OK      bool
	}
	// SpaceReported reports the free memory for results at a worker, in bytes.
	SpaceReported struct {
		Worker string
		Space  int64
	}
	// SetWorkers sets the configuration and the upstreams of stage services, both as
	// the deployment has them.
	SetWorkers struct {
		Services  []fleet.Service
		Upstreams []fleet.Upstream
	}
	// Held reports that a worker process wants no calls until the given time.
	Held struct {
		Worker string
		Born   int64
		Until  time.Time
	}
	// Limited sets the rate at which this node may send calls of all kinds to a worker
	// process, or removes the limit.
	Limited struct {
		Worker  string
		Born    int64
		Limited bool
		// Rate is in calls per second.
		Rate float64
	}
	// ZonesEvacuated sets the zones whose workers get no calls of any kind. Calls in
	// progress go on.
	ZonesEvacuated struct{ Zones []string }
	// Drain refuses the jobs of which no piece was sent, and new ones but for those
	// submitted as a last resort. The other jobs still finish.
	Drain struct{}
	// Close refuses all jobs, also those in progress, since the node no longer gets
	// answers from workers. The next owner runs them again.
	Close struct{}
	// Tick lets the reducer act on the passage of time.
	Tick struct{}
)

func (Submit) BatchEvent()         {}
func (Withdraw) BatchEvent()       {}
func (Release) BatchEvent()        {}
func (CallEnded) BatchEvent()      {}
func (FreeEnded) BatchEvent()      {}
func (SpaceReported) BatchEvent()  {}
func (SetWorkers) BatchEvent()     {}
func (Held) BatchEvent()           {}
func (Limited) BatchEvent()        {}
func (ZonesEvacuated) BatchEvent() {}
func (Drain) BatchEvent()          {}
func (Close) BatchEvent()          {}
func (Tick) BatchEvent()           {}

// A Failure says how a whole call failed.
type Failure string

// The failures of calls.
const (
	// NoFailure means that the worker returned an outcome for each piece.
	NoFailure Failure = ""
	// Full means that the worker had no capacity for the call and did not run it.
	Full Failure = "full"
	// Unreachable means that the call did not reach the worker.
	Unreachable Failure = "unreached"
	// ConnectTimeout means that the worker did not answer the connection attempt at
	// all, so the call did not reach it: its zone may be unreachable.
	ConnectTimeout Failure = "unanswered"
	// ConnectionFailed means that no complete answer was received; the call may have run.
	ConnectionFailed Failure = "broken"
)

// An Outcome is the result or the failure of a piece.
type Outcome struct {
	// Handle names the result if Failure is NoPieceFailure.
	Handle  string
	Failure PieceFailure
}

// A PieceFailure says why a piece has no result.
type PieceFailure string

// The failures of pieces.
const (
	NoPieceFailure PieceFailure = ""
	// Expired means that the worker reached the piece after its deadline.
	Expired PieceFailure = "late"
	// InputLost means that an input of the piece is lost.
	InputLost PieceFailure = "gone"
	// NoRoom means that the worker had no memory for the result.
	NoRoom PieceFailure = "room"
	// Errored means that the piece failed at the worker.
	Errored PieceFailure = "error"
)

// An Effect is an output of the reducer.
type Effect interface{ BatchEffect() }

type (
	// Call sends pieces to a worker. CallEnded reports its end. The timeout is not before
	// the deadline of any of its items: a worker may be silent for a while and go on.
	Call struct {
		Number int
		Worker fleet.Upstream
		Items  []Item
		// Crossed is the number of items whose results leave the zone that needs them.
		Crossed int
		Timeout time.Duration
	}
	// Overdue reports that a call takes much longer than expected. It stays open.
	// Repeated is the number of its pieces that another worker may do as well. First and
	// Last name the jobs of its first and last piece.
	Overdue struct {
		Call        int
		Worker      fleet.Upstream
		Pieces      int
		Repeated    int
		First, Last Ref
	}
	// Free frees results at a worker. FreeEnded reports its end; a failed Free is not
	// retried.
	Free struct {
		Worker  fleet.Upstream
		Handles []string
	}
	// QueryMemory asks a worker for its free memory for results. SpaceReported
	// reports the answer, if there is one.
	QueryMemory struct{ Worker fleet.Upstream }
	// Done ends a job with the results of all its pieces, in order.
	Done struct {
		Ref     Ref
		Results []Result
		// Service is that of the job. Took is the duration of the job, and Expected
		// its estimate.
		Service  string
		Took     time.Duration
		Expected time.Duration
	}
	// Admitted reports the state on which a job was admitted: the pieces queued and
	// upcoming before it, the usable workers, and the estimated time until it and
	// all downstream stages are done.
	Admitted struct {
		Ref      Ref
		Queued   int
		Upcoming int
		Workers  int
		Estimate time.Duration
	}
	// Refused ends a job without results.
	Refused struct {
		Ref    Ref
		Reason Reason
		// RetryAfter is the time until capacity is likely to be available.
		RetryAfter time.Duration
		// The other fields are set for a job that was not admitted as it would be late: the
		// estimated time until it and all downstream stages are done, the time until they have
		// to be, and the pieces queued and upcoming.
		Estimate, TimeLeft time.Duration
		Queued, Upcoming   int
		// Short is true if a service was asked for more than its capacity. Share and Used are
		// the pieces per second of the job's service that its account may use with its rank, and
		// has used.
		Short       bool
		Share, Used float64
	}
)

func (Call) BatchEffect()        {}
func (Overdue) BatchEffect()     {}
func (Free) BatchEffect()        {}
func (QueryMemory) BatchEffect() {}
func (Done) BatchEffect()        {}
func (Admitted) BatchEffect()    {}
func (Refused) BatchEffect()     {}

// An Item is one piece in a call.
type Item struct {
	Ref    Ref
	Piece  int
	Key    string
	Inputs []string
	// TimeLeft is the time until the deadline of the piece.
	TimeLeft time.Duration
}
