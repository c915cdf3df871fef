package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRate is the rate at which an upstream gets requests that wants none, as only a
	// response can show that it takes some again.
	minRate = 0.1 // requests per second
	// minShare is the rate below which a limit is not divided further. A node with a small
	// share could send nothing for seconds, and one with a share for later adds to a burst.
	minShare = 1 // requests per second
)

// A Share is the part of a limit that each of some nodes may use.
type Share struct {
	// Rate is in requests per second.
	Rate float64
	// Holders are the nodes with a share.
	Holders []string
}

// Divide divides a limit among nodes, given by their IDs. There are total nodes, of which some
// may be out of reach: they may use their part of the limit by themselves. All nodes with the
// same view get the same result, and a node that comes or goes changes few shares.
func Divide(l Limit, nodes []string, total int) Share {
	return DivideAmong(l, nodes, total, len(nodes))
}

// DivideAmong is like Divide, but gives shares to most nodes at most.
func DivideAmong(l Limit, nodes []string, total, most int) Share {
	if len(nodes) == 0 {
		return Share{}
	}
	rate := max(l.Rate, minRate) * float64(len(nodes)) / float64(max(total, len(nodes)))
	holders := max(min(int(rate/minShare), len(nodes), most), 1)
	return Share{Rate: rate / float64(holders), Holders: rank(nodes, l.Process.ID)[:holders]}
}

// rank orders nodes for an upstream by rendezvous hashing.
func rank(nodes []string, upstream string) []string {
	type ranked struct {
		node  string
		score uint64
	}
	order := make([]ranked, len(nodes))
	for i, node := range nodes {
		order[i] = ranked{node, xxhash.Sum64String(node + "\x00" + upstream)}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node)) })
	names := make([]string, len(order))
	for i, r := range order {
		names[i] = r.node
	}
	return names
}

// Of returns the rate that a node may use.
func (s Share) Of(node string) float64 {
	if slices.Contains(s.Holders, node) {
		return s.Rate
	}
	return 0
}
