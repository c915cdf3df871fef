package member

import (
	"time"

	"teaselplank/evac"
	"teaselplank/limit"
	"teaselplank/wire"
)

// An Event is an input of the reducer.
type Event interface{ MemberEvent() }

// An Effect is an output of the reducer.
type Effect interface{ MemberEffect() }

// HostsListed carries the platform's host list.
type HostsListed struct{ Hosts []wire.Host }

// DigestReceived carries a digest from another node.
type DigestReceived struct{ Digest Digest }

// MarkObserved carries a mark learned on the data path or from the host itself.
type MarkObserved struct{ Mark Mark }

// LimitStated carries what a response to a request that was sent at SentAt says of the limit
// of its upstream.
type LimitStated struct {
	Process   limit.Process
	Statement limit.Statement
	SentAt    time.Time
}

// PaceStated carries what this node concludes on the pace of an upstream from the answer to a
// request that was sent at SentAt.
type PaceStated struct {
	Process   limit.Process
	Statement limit.Statement
	SentAt    time.Time
}

// EvacuationsRead carries the operator's records on evacuations that this node has read.
type EvacuationsRead struct{ Page evac.Page }

// Stop asks this node to announce that it is leaving.
type Stop struct{}

// SelfUpdated sets the rules version and the rates that this node announces.
type SelfUpdated struct {
	Version int64
	Rates   map[string]float64
}

// SelfSpread sends the digest of this node to some nodes at once.
type SelfSpread struct{}

// Tick advances the reducer to the current time.
type Tick struct{}

func (HostsListed) MemberEvent()     {}
func (DigestReceived) MemberEvent()  {}
func (MarkObserved) MemberEvent()    {}
func (LimitStated) MemberEvent()     {}
func (PaceStated) MemberEvent()      {}
func (EvacuationsRead) MemberEvent() {}
func (Stop) MemberEvent()            {}
func (SelfUpdated) MemberEvent()     {}
func (SelfSpread) MemberEvent()      {}
func (Tick) MemberEvent()            {}

// Gossip asks the caller to send a digest to a node and to pass the digest that the
// node replies with to the reducer as DigestReceived.
type Gossip struct {
	Addr   string
	Digest Digest
}

// Changed reports that the set of upstreams, the set of nodes or the state of one
// of them may have changed.
type Changed struct{}

// MarkAdded reports a new mark.
type MarkAdded struct{ Mark Mark }

// LimitChanged reports what is newly known of the limit of an upstream.
type LimitChanged struct{ Limit limit.Limit }

// PaceChanged reports what is newly known of the pace of an upstream.
type PaceChanged struct{ Pace limit.Limit }

// EvacuationChanged reports that the evacuation of a zone has begun or ended.
type EvacuationChanged struct{ State evac.State }

func (PaceChanged) MemberEffect()       {}
func (EvacuationChanged) MemberEffect() {}
func (Gossip) MemberEffect()            {}
func (Changed) MemberEffect()           {}
func (MarkAdded) MemberEffect()         {}
func (LimitChanged) MemberEffect()      {}
