package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselplank/limit"
)

// A Notice is what an upstream says about itself in a response, whatever the response
// is to.
type Notice struct {
	// Leaving is true if the process is about to end and must get no new work.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests from this node, or 0.
	RetryAfter time.Duration
	// Limit is the rate of requests that the upstream takes from all nodes together.
	Limit limit.Statement
	// InvalidLoad is the upstream's load report if a value of it is missing, unreadable or out
	// of range, and empty otherwise.
	InvalidLoad string
}

// maxHoldSpread is the largest share of RetryAfter that is added to a hold, so that the
// nodes an upstream has turned away do not all come back at once.
const maxHoldSpread = 0.25

// Hold returns how long a node sends nothing to the upstream.
func (n Notice) Hold(node, upstream string) time.Duration {
	hash := xxhash.Sum64String(node + "\x00" + upstream)
	spread := maxHoldSpread * float64(hash) / math.MaxUint64
	return n.RetryAfter + time.Duration(spread*float64(n.RetryAfter))
}
