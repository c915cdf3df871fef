package member

import (
	"teaselplank/wire"
)

// An Event is an input of the reducer.
type Event interface{ MemberEvent() }

// An Effect is an output of the reducer.
type Effect interface{ MemberEffect() }

// Listed brings the platform's host list.
type Listed struct{ Hosts []wire.Host }

// Heard brings a digest of another node.
type Heard struct{ Digest Digest }

// Seen brings a mark that was learned on the data path or from the host itself.
type Seen struct{ Mark Mark }

// Stop says that this node is asked to stop.
type Stop struct{}

// Told sets what this node tells of itself.
type Told struct {
	Version int64
	Rates   map[string]float64
}

// Tick lets the reducer act on the time.
type Tick struct{}

func (Listed) MemberEvent() {}
func (Heard) MemberEvent()  {}
func (Seen) MemberEvent()   {}
func (Stop) MemberEvent()   {}
func (Told) MemberEvent()   {}
func (Tick) MemberEvent()   {}

// Gossip asks to send a digest to a node, and to bring back its own as Heard.
type Gossip struct {
	Addr   string
	Digest Digest
}

// Changed says that the upstreams or the live nodes are no longer the same.
type Changed struct{}

// Marked says that a mark is new.
type Marked struct{ Mark Mark }

func (Gossip) MemberEffect()  {}
func (Changed) MemberEffect() {}
func (Marked) MemberEffect()  {}
