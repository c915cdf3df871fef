package proxy

import (
	"time"

	"teaselplank/batch"
	"teaselplank/fleet"
	"teaselplank/origin"
	"teaselplank/pace"
	"teaselplank/poison"
	"teaselplank/trace"
)

// A Request is a client's request as parsed by the protocol adapter.
type Request struct {
	// Number is unique among the requests of this process.
	Number uint64
	// ID is the client's identifier of this attempt.
	ID   string
	Host string
	Path string
	// APIKey is the client's credential, or empty.
	APIKey string
	// Timeout is how long the client waits, or 0 if it is not known.
	Timeout time.Duration
	// PromptTokens is the length of the prompt. SharedPrefix identifies the part of
	// it that other requests share.
	PromptTokens int
	SharedPrefix string
	// SharedTokens is the length of the part that SharedPrefix identifies.
	SharedTokens int
	// PromptParts are the IDs of the parts of the prompt that other requests may share,
	// in order. OwnPart is that of the last part, which belongs to this request alone.
	PromptParts []string
	OwnPart     string
	// Pieces is the number of pieces of each stage. PieceKey
	// identifies the work of the stages without inputs to their workers.
	Pieces   []int
	PieceKey string
	// LastEventID is the ID of the last event that the client has received if it
	// resumes a stream, or empty.
	LastEventID string
	// Resumes is the ID of the attempt whose response had the first event of the stream
	// that the client resumes, or empty.
	Resumes string
	// Digest is the same for requests with the same path, caller and body. It is empty if it
	// is not known.
	Digest string
	// BodyUnread is true if the body was not read, as Accepts was false.
	BodyUnread bool
	// Connection describes the client's connection. It is only logged.
	Connection Connection
}

// A Connection is a client's connection as a request arrives on it.
type Connection struct {
	Age time.Duration
	// Earlier is the number of requests that arrived on it before.
	Earlier int
}

// An Event is an input of the reducer.
type Event interface{ ProxyEvent() }

type (
	// RequestArrived reports a new client request.
	RequestArrived struct{ Request Request }
	// OriginFound reports the result of FindOrigin.
	OriginFound struct {
		Number uint64
		// Source is OriginUnknown if there is no record of the stream. Age is the time
		// since the node got the record.
		Source OriginSource
		Record origin.Record
		Age    time.Duration
		// Complete is true if the records of all nodes and the default versions were read.
		Complete bool
		// Default is the default version of the service. It is zero if the store does not
		// have it, or has one that is changing or may be older than one that it has lost.
		Default origin.Default
		// ViewAge is the time since the node last read the upstreams.
		ViewAge time.Duration
		// Peers has what other nodes know. They are asked if the records cannot be read.
		Peers PeerVersions
	}
	// StageDone reports the results of a stage.
	StageDone struct {
		Number  uint64
		Stage   int
		Results []batch.Result
	}
	// StageFailed reports that a stage ended without results.
	StageFailed struct {
		Number     uint64
		Stage      int
		Reason     batch.Reason
		RetryAfter time.Duration
	}
	// HeadReceived reports the head of an upstream's response.
	HeadReceived struct {
		Number  uint64
		Attempt int
		Head    ResponseHead
	}
	// FirstEvent reports the first event of a stream.
	FirstEvent struct {
		Number  uint64
		Attempt int
	}
	// AttemptStalled reports that an upstream has sent nothing for longer than usual: no
	// head, or no event of a stream that may be resumed.
	AttemptStalled struct {
		Number  uint64
		Attempt int
		// Silence is the time since the upstream last sent something.
		Silence time.Duration
		// LastEventID and ResponseStarted are those of AttemptFailed.
		LastEventID     string
		ResponseStarted bool
	}
	// AttemptContinued reports that an upstream has sent something again after
	// AttemptStalled was reported.
	AttemptContinued struct {
		Number  uint64
		Attempt int
		Silence time.Duration
	}
	// Finished reports that the client has the complete response.
	Finished struct {
		Number  uint64
		Attempt int
		Status  int
		// HasGaps is true if the ids of the events of a stream left gaps.
		HasGaps bool
	}
	// AttemptFailed reports that an attempt ended without a complete response.
	AttemptFailed struct {
		Number  uint64
		Attempt int
		Failure Failure
		// Silence is the time since the last bytes from the upstream, or since the
		// request was sent.
		Silence time.Duration
		// Cause is the text of the error, or empty.
		Cause string
		// LastEventID is the ID of the last event forwarded to the client, or empty.
		LastEventID string
		// ResponseStarted is true if the client already has part of the response.
		ResponseStarted bool
	}
	// ClientDisconnected reports that the client has disconnected.
	ClientDisconnected struct{ Number uint64 }
	// TimedOut reports that the deadline of the request has passed, or that a stopping
	// node ends it early.
	TimedOut struct {
		Number          uint64
		ResponseStarted bool
		// Unsent is true if the attempts in progress have sent nothing and never will.
		Unsent bool
	}
	// Configured carries a version of the configuration. It has no effect unless it
	// is newer than the one in force.
	Configured struct{ Table *fleet.Table }
	// UpstreamsRegistered carries all registered upstreams of the deployment.
	UpstreamsRegistered struct{ Upstreams []fleet.Upstream }
	// UpstreamHeld reports that an upstream process wants no requests from this node
	// until the given time.
	UpstreamHeld struct {
		ID    string
		Born  int64
		Until time.Time
	}
	// LoadReported carries a load report of an upstream process that came without a request of a
	// client, as in the response to a health check.
	LoadReported struct {
		ID   string
		Born int64
		Load Load
	}
	// UpstreamLimited sets the rate at which this node may send requests to an upstream
	// process, or removes the limit.
	UpstreamLimited struct {
		ID      string
		Born    int64
		Limited bool
		// Rate is what this node may send, and Total what all nodes together may send, in
		// requests per second.
		Rate, Total float64
		// Spread is the number of nodes for each one that may send requests there.
		Spread float64
		// Paced is true if the upstream is in a slow start.
		Paced bool
	}
	// ZonesEvacuated sets the zones whose upstreams get no new requests. Requests in progress
	// go on.
	ZonesEvacuated struct{ Zones []string }
	// UpstreamChecked reports whether the process of an upstream has ended.
	UpstreamChecked struct {
		ID    string
		Born  int64
		Ended bool
	}
	// CasesRead carries cases of parts of requests that other nodes have shared, and
	// CasesForgotten those that another node has forgotten.
	CasesRead      struct{ Cases []poison.Case }
	CasesForgotten struct{ Cases []poison.Case }
	// OriginUnrecorded reports that the first event of a stream has arrived, and the record
	// that AwaitRecord is about could not be written in time.
	OriginUnrecorded struct {
		Number  uint64
		Attempt int
	}
	// DefaultsTick lets the node keep the default versions of services up to date.
	DefaultsTick struct {
		// ViewAge is the time since the node last read the upstreams from the store, which
		// is in epoch Epoch if EpochKnown is true.
		ViewAge    time.Duration
		Epoch      int64
		EpochKnown bool
		// Rank is the number of nodes that write default versions before this one does.
		Rank int
	}
	// DefaultsLearned carries default versions that another node knows, in the store's epoch
	// Epoch.
	DefaultsLearned struct {
		Defaults []origin.Default
		Epoch    int64
	}
	// DefaultsRead carries all default versions of services in the store, which is in epoch
	// Epoch. The next one to be written has the offset End.
	DefaultsRead struct {
		Defaults []origin.Default
		Epoch    int64
		End      int64
	}
	// CasesTick lets the node note the parts of responses that go on, and forget parts that
	// were not seen for a long time.
	CasesTick struct{}
	// NodeCount carries the number of nodes that share the work.
	NodeCount struct{ Count int }
	// Stop marks the node as shutting down, so that it is no longer ready.
	Stop struct {
		// Unlisted is when the front end has taken the node out of rotation. It may still
		// send clients after that if it has no other nodes.
		Unlisted time.Time
		// Until is when all requests get their final answers.
		Until time.Time
	}
)

func (RequestArrived) ProxyEvent()      {}
func (OriginFound) ProxyEvent()         {}
func (StageDone) ProxyEvent()           {}
func (StageFailed) ProxyEvent()         {}
func (HeadReceived) ProxyEvent()        {}
func (FirstEvent) ProxyEvent()          {}
func (AttemptStalled) ProxyEvent()      {}
func (AttemptContinued) ProxyEvent()    {}
func (Finished) ProxyEvent()            {}
func (AttemptFailed) ProxyEvent()       {}
func (ClientDisconnected) ProxyEvent()  {}
func (TimedOut) ProxyEvent()            {}
func (Configured) ProxyEvent()          {}
func (UpstreamsRegistered) ProxyEvent() {}
func (UpstreamHeld) ProxyEvent()        {}
func (LoadReported) ProxyEvent()        {}
func (UpstreamLimited) ProxyEvent()     {}
func (ZonesEvacuated) ProxyEvent()      {}
func (UpstreamChecked) ProxyEvent()     {}
func (CasesRead) ProxyEvent()           {}
func (CasesForgotten) ProxyEvent()      {}
func (OriginUnrecorded) ProxyEvent()    {}
func (DefaultsTick) ProxyEvent()        {}
func (DefaultsLearned) ProxyEvent()     {}
func (DefaultsRead) ProxyEvent()        {}
func (CasesTick) ProxyEvent()           {}
func (NodeCount) ProxyEvent()           {}
func (Stop) ProxyEvent()                {}

// A ResponseHead is the head of an upstream's response.
type ResponseHead struct {
	Status int
	// Sealed is true if the response carries the upstream's seal. A success without a
	// seal is not accepted.
	Sealed bool
	// NotExecuted is true if the upstream states that it did not execute the request.
	NotExecuted bool
	// Load is the load that the upstream reports, or nil.
	Load *Load
}

// Load is the load that an upstream reports.
type Load struct {
	// Running, Waiting and Slots are UnknownLoad if the report does not say.
	Running, Waiting, Slots int
	// Slowness is how long work takes at present, in percent of the usual time, or 0 if the
	// report does not say.
	Slowness int
}

// UnknownLoad is a number of a load report that is not known.
const UnknownLoad = -1

// Failure is the way in which an attempt ended without a complete response.
type Failure string

// The failures of attempts.
const (
	// Unreachable means that nothing was sent to the upstream, for example because it
	// refused the connection.
	Unreachable Failure = "unreached"
	// ConnectTimeout means that the upstream did not respond to the connection
	// attempt and nothing was sent: its zone may be unreachable.
	ConnectTimeout Failure = "unanswered"
	// UpstreamUnusable means that the upstream was found to be draining or removed
	// before anything was sent.
	UpstreamUnusable Failure = "withheld"
	// ConnectionFailed means that the connection failed after the request was sent.
	ConnectionFailed Failure = "broken"
	// ResponseMismatch means that the response belongs to another request, is not valid, or
	// does not continue the stream.
	ResponseMismatch Failure = "crossed"
	// ResponseTimeout means that the connection timed out after the request was sent:
	// nothing arrived from the upstream's host.
	ResponseTimeout Failure = "silent"
	// ResponseTooLong means that the response exceeded a bound, as one without end does.
	ResponseTooLong Failure = "overlong"
	// RefusalUnproven means that the upstream refused the request without stating that it has
	// not executed it.
	RefusalUnproven Failure = "unproven"
)

// Unsent reports whether nothing was sent to the upstream.
func (f Failure) Unsent() bool {
	return f == Unreachable || f == ConnectTimeout || f == UpstreamUnusable
}

// An Effect is an output of the reducer.
type Effect interface{ ProxyEffect() }

type (
	// RunStage requests that the owner of the job's service run the job.
	RunStage struct {
		Number uint64
		Job    batch.Job
	}
	// Send requests that the request be sent to an upstream.
	Send struct {
		Number   uint64
		Attempt  int
		Upstream fleet.Upstream
		Route    *fleet.Route
		// NewConn is true if the upstream has been sent the request before. A copy of its
		// answer could arrive on a connection that was used then.
		NewConn bool
		// Account is the client account's name, or empty.
		Account string
		// Engine is true if the upstream is a model engine. Priority is then the
		// priority class of the request; 0 is the most urgent.
		Engine   bool
		Priority int
		Inputs   []string
		// LastEventID is the ID of the last event that the client has received, or
		// empty.
		LastEventID string
		// AllowGap is true if the id of the next event may be any higher one.
		AllowGap bool
		// Deadline is the time after which the response is of no use.
		Deadline time.Time
		// StallAfter is how long the head of the response may take before AttemptStalled
		// is to be reported; 0 means that it is not limited.
		StallAfter time.Duration
	}
	// Deliver requests that the response of an attempt be forwarded to the client.
	Deliver struct {
		Number  uint64
		Attempt int
	}
	// Cancel requests that an attempt be ended, since the response of another one
	// continues.
	Cancel struct {
		Number  uint64
		Attempt int
	}
	// Reply requests a final response that the node generates itself.
	Reply struct {
		Number     uint64
		Status     int
		Reason     Reason
		RetryAfter time.Duration
	}
	// Abort requests that a started response be aborted, so that the client sees
	// that it is incomplete.
	Abort struct {
		Number uint64
		Reason Reason
	}
	// Release requests that stage results be released.
	Release struct{ Results []batch.Result }
	// Withdraw requests that unfinished stages of a request be canceled.
	Withdraw struct {
		Number uint64
		Stages []int
	}
	// Admitted reports the deadline of an admitted request.
	Admitted struct {
		Number   uint64
		Deadline time.Time
	}
	// FindOrigin requests the record of the stream that a client resumes. ID is that of
	// the attempt whose response had the first event. OriginFound reports the result, after
	// the time Wait at most.
	FindOrigin struct {
		Number  uint64
		ID      string
		Service string
		Wait    time.Duration
	}
	// RecordOrigin requests that the version that a stream is sent to be recorded, and
	// that the record be shared with the other nodes if Share is true.
	RecordOrigin struct {
		Record origin.Record
		Share  bool
	}
	// AwaitRecord requests that the first event of an attempt be passed on only once the
	// records of its request are in the store. OriginUnrecorded reports if they are not.
	AwaitRecord struct {
		Number  uint64
		Attempt int
	}
	// ReadDefaults requests that the default versions of services be read. DefaultsRead
	// reports the result.
	ReadDefaults struct{}
	// WriteDefaults requests that default versions be written, unless the next one has
	// another offset than End.
	WriteDefaults struct {
		Defaults []origin.Default
		End      int64
	}
	// CheckUpstream requests that UpstreamChecked report whether an upstream's process
	// has ended.
	CheckUpstream struct{ Upstream fleet.Upstream }
	// UpstreamAnswered reports the outcome of an attempt at an upstream whose service has slow
	// starts.
	UpstreamAnswered struct{ Answer pace.Answer }
	// ShareCases requests that cases be shared with all nodes, and ForgetCases that they
	// be forgotten.
	ShareCases  struct{ Cases []poison.Case }
	ForgetCases struct{ Cases []poison.Case }
	// PoisonChanged reports the sets of parts that requests are held back for, and the
	// number of such sets before.
	PoisonChanged struct {
		Groups [][]string
		Before int
	}
	// RecordDecision requests that a decision be logged and counted.
	RecordDecision struct{ Record DecisionRecord }
)

func (RunStage) ProxyEffect()         {}
func (Send) ProxyEffect()             {}
func (Deliver) ProxyEffect()          {}
func (Cancel) ProxyEffect()           {}
func (Reply) ProxyEffect()            {}
func (Abort) ProxyEffect()            {}
func (Release) ProxyEffect()          {}
func (Withdraw) ProxyEffect()         {}
func (Admitted) ProxyEffect()         {}
func (FindOrigin) ProxyEffect()       {}
func (RecordOrigin) ProxyEffect()     {}
func (AwaitRecord) ProxyEffect()      {}
func (ReadDefaults) ProxyEffect()     {}
func (WriteDefaults) ProxyEffect()    {}
func (CheckUpstream) ProxyEffect()    {}
func (UpstreamAnswered) ProxyEffect() {}
func (ShareCases) ProxyEffect()       {}
func (ForgetCases) ProxyEffect()      {}
func (PoisonChanged) ProxyEffect()    {}
func (RecordDecision) ProxyEffect()   {}

// Reason is the reason for the outcome of a request.
type Reason string

// The reasons of replies, aborts and decision records.
const (
	ReasonNoConfig       Reason = "configuration is not known yet"
	ReasonNoRoute        Reason = "no route for the host and path"
	ReasonUnknownKey     Reason = "API key is not known"
	ReasonStopping       Reason = "node is stopping"
	ReasonLate           Reason = "cannot be answered in time"
	ReasonNoUpstream     Reason = "no upstream is available"
	ReasonFull           Reason = "upstreams are full"
	ReasonStageFailed    Reason = "stage failed"
	ReasonTimeout        Reason = "time is over"
	ReasonUpstreamFailed Reason = "upstream broke off"
	ReasonBudget         Reason = "repeat budget is used up"
	ReasonClientLeft     Reason = "client has left"
	ReasonAnswered       Reason = "answered"
	ReasonInvalidRequest Reason = "request is not valid"
	ReasonUnknownOrigin  Reason = "version that began the stream is not known"
	ReasonUnrecorded     Reason = "version of the stream cannot be recorded"
	ReasonLimit          Reason = "upstreams are at their limits"
	ReasonPoison         Reason = "a part of the request crashes upstreams"
	ReasonInvalidRoute   Reason = "the route is not valid"
	// ReasonRefusalUnproven means that a refusal does not state that the request was not executed.
	ReasonRefusalUnproven Reason = "upstream refused and may have executed"
)

// A DecisionRecord is a decision on a request. Attrs are the values that it was based
// on, as keys and values of a log line.
type DecisionRecord struct {
	Request  string
	Decision trace.Decision
	Reason   Reason
	// Took is the duration of the step that ends with the decision, or 0.
	Took  time.Duration
	Attrs []any
}
