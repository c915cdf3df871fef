// Package pace sets the request rate of upstreams that have just started, have recovered or were
// out of use. An upstream whose service announces a warm-up can process few requests while it is
// cold: Warmups tracks which upstreams are cold, and Bounds limits what all nodes together send to
// one. A Pacer controls the slow start of upstreams that are not cold. The package has no clock
// and no I/O.
package pace

import "math"

// Bounds say what a cold upstream may get at most.
type Bounds struct {
	// In any second, all nodes together send no more than the announced rate times Overrun
	// and Slack requests more.
	Overrun, Slack float64
}

// DefaultBounds returns the bounds that hold if the settings name none.
func DefaultBounds() Bounds { return Bounds{Overrun: 1.5, Slack: 5} }

// Max returns the largest number of requests that a cold upstream may get in a second.
func (b Bounds) Max(rate float64) float64 { return rate*b.Overrun + b.Slack }

const (
	// maxHolders bounds the number of nodes that share a cold upstream, as each may have saved
	// a token of its bucket, and all may use these at the same moment.
	maxHolders = 4
	// worstSeconds is the largest number of seconds of the rate that may reach an upstream
	// within one second, besides the saved token of each node: 2 while nodes disagree on who
	// has the shares, or while a link delivers a second of delayed requests, and 0.25 for the
	// bursts of token buckets.
	worstSeconds = 2.25
)

// A Quota is what all nodes together send to a cold upstream.
type Quota struct {
	// Rate is in requests per second.
	Rate float64
	// Holders is the largest number of nodes that share it.
	Holders int
}

// Quota returns what nodes may send to an upstream that announces a rate for its warm-up, so
// that the bounds hold also while the shares move to other nodes.
func (b Bounds) Quota(rate float64) Quota {
	most := math.Floor(b.Max(rate))
	holders := min(max(int((most-rate)/2), 1), maxHolders)
	return Quota{Rate: min(rate, max(most-float64(holders), 0)/worstSeconds), Holders: holders}
}
