package core

import (
	"time"

	"teaselplank/rules"
	"teaselplank/wire"
)

// A Call is a caller's call of a pipeline or a service.
type Call struct {
	// ID is unique among all calls of all nodes.
	ID      string
	Account string
	// Either Pipeline or Service is set.
	Pipeline string
	Service  string
	Input    string
	Prefix   string
	Tokens   int
	// Key is the idempotency key, or empty.
	Key string
	// Timeout shortens the deadline of the rule; 0 leaves it unchanged.
	Timeout time.Duration
	// Forwarded is true for a call that another node has forwarded.
	Forwarded bool
}

// Events of this package. The events of packages ledger, member and pipe are also
// events of a Node.
type (
	// CallArrived submits a call. Exactly one Reply answers it.
	CallArrived struct{ Call Call }
	// CallerDisconnected reports that the caller of a call has disconnected.
	CallerDisconnected struct{ ID string }
	// ForwardAnswered reports the answer of the node that a call was forwarded to.
	ForwardAnswered struct {
		ID     string
		Answer wire.Answer
		Status int
	}
	// ForwardFailed reports that the node that a call was forwarded to did not
	// answer.
	ForwardFailed struct{ ID string }
	// StreamRead reports a page of the rules stream or the lease stream.
	StreamRead struct {
		Stream string
		Page   wire.Page
	}
	// ModelReported reports the model that an engine has loaded.
	ModelReported struct {
		Host   wire.Host
		Loaded wire.LoadedModel
	}
	// StateFetched reports the rules and hosts that a peer knows.
	StateFetched struct {
		Rules *rules.Checkpoint
		Hosts []wire.Host
	}
	// LoadReported reports the load of an upstream, as stated by the upstream.
	LoadReported struct {
		Host string
		Load wire.Load
	}
	// Stop asks the node to shut down. The node announces this to its peers and
	// continues to serve the calls that it gets until Drained reports true, but for
	// those that may not end in time.
	Stop struct {
		// Unlisted is when load balancers have stopped sending calls here.
		Unlisted time.Time
		// Until is when the node no longer waits for calls. Zero means that it always
		// waits.
		Until time.Time
	}
	// Tick runs the timers and tasks that are due.
	Tick struct{}
)

// Effects of this package. The effects of packages ledger, member and pipe, except
// those that the Node handles itself, such as answers, are also effects of a Node.
type (
	// Reply is the final answer to a call.
	Reply struct {
		ID     string
		Answer wire.Answer
		// Status is the HTTP status.
		Status int
		// Replayed is true for the result of an earlier call with the same key.
		Replayed bool
	}
	// Forward asks to forward a call to another node.
	Forward struct {
		Node     string
		Addr     string
		Call     Call
		Deadline time.Time
	}
	// ReadStream asks for a page of a stream from an offset on. StreamRead
	// reports the page; no event reports a failed read.
	ReadStream struct {
		Stream string
		From   int64
	}
	// AppendStream asks to append a record, without a retry and without an event
	// for the result.
	AppendStream struct {
		Stream string
		Data   []byte
	}
	// QueryModel asks an engine which model it has loaded.
	QueryModel struct{ Host wire.Host }
	// SendOrder asks to send an order to an engine, without a retry.
	SendOrder struct {
		Host  wire.Host
		Order wire.Order
	}
	// FetchState asks a peer for its rules and hosts.
	FetchState struct{ Addr string }
	// ListHosts asks for the platform's host list.
	ListHosts struct{}
	// QueryLoad asks an upstream for its load.
	QueryLoad struct{ Host wire.Host }
)

// An Event is one of the events of this package or of packages ledger, member
// and pipe.
type Event any

// An Effect is one of the effects of this package or of packages ledger, member
// and pipe.
type Effect any
