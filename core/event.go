package core

import (
	"time"

	"teaselplank/rules"
	"teaselplank/wire"
)

// A Call is what a caller asks for: a pipeline or a service.
type Call struct {
	// ID is unique among all calls of all nodes.
	ID      string
	Account string
	// Pipeline or Service is set.
	Pipeline string
	Service  string
	Input    string
	Prefix   string
	Tokens   int
	// Key is the idempotency key, or empty.
	Key string
	// Within shortens the rule's deadline; 0 leaves it.
	Within time.Duration
	// Forwarded is true for a call that another node has passed on.
	Forwarded bool
}

// Events of the core itself. The events of packages ledger, member and pipe are
// events of the core as well.
type (
	// Arrive brings a call. Exactly one Reply answers it.
	Arrive struct{ Call Call }
	// Left reports that the caller of a call has gone.
	Left struct{ ID string }
	// Forwarded brings the answer of the node that a call was passed on to.
	Forwarded struct {
		ID     string
		Answer wire.Answer
		Status int
	}
	// ForwardFailed reports that the node did not answer.
	ForwardFailed struct{ ID string }
	// StreamRead brings a page of the rules or the lease stream.
	StreamRead struct {
		Stream string
		Page   wire.Page
	}
	// ModelSeen brings what an engine has loaded.
	ModelSeen struct {
		Host   wire.Host
		Loaded wire.Loaded
	}
	// StateFetched brings what a peer knows.
	StateFetched struct {
		Rules *rules.Checkpoint
		Hosts []wire.Host
	}
	// Load brings the load that an upstream reports of itself.
	Load struct {
		Host string
		Load wire.Load
	}
	// Stop asks the node to leave: it tells the others, goes on serving what
	// it gets, and is drained once Drained reports so.
	Stop struct{}
	// Tick lets the node act on the time.
	Tick struct{}
)

// Effects of the core itself. The effects of packages ledger, member and pipe
// but for their answers are effects of the core as well.
type (
	// Reply is the final answer to a call.
	Reply struct {
		ID     string
		Answer wire.Answer
		// Status is the HTTP status.
		Status int
		// Replayed is true for a result of an earlier call of the key.
		Replayed bool
	}
	// Forward asks to pass a call on to another node.
	Forward struct {
		Node     string
		Addr     string
		Call     Call
		Deadline time.Time
	}
	// ReadStream asks for a stream from an offset. StreamRead brings a page;
	// nothing is brought when it cannot be read.
	ReadStream struct {
		Stream string
		From   int64
	}
	// AppendStream asks to append a record once, whatever comes of it.
	AppendStream struct {
		Stream string
		Data   []byte
	}
	// AskModel asks an engine what it has loaded.
	AskModel struct{ Host wire.Host }
	// GiveOrder gives an engine an order, once.
	GiveOrder struct {
		Host  wire.Host
		Order wire.Order
	}
	// FetchState asks a peer for what it knows.
	FetchState struct{ Addr string }
	// ListHosts asks for the platform's host list.
	ListHosts struct{}
	// AskLoad asks an upstream for its load.
	AskLoad struct{ Host wire.Host }
)

// An Event is one of the events of this package or of packages ledger, member
// and pipe.
type Event any

// An Effect is one of the effects of this package or of packages ledger, member
// and pipe.
type Effect any
