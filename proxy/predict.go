package proxy

import (
	"time"

	"teaselplank/batch"
)

// firstDefault is the time to the first event of a stream where none was seen yet.
const firstDefault = 150 * time.Millisecond

// stageTime estimates how long a stage takes from when its inputs are there, if
// calls are half full.
func (n *Node) stageTime(r *request, stage int) time.Duration {
	service := n.table.Service(r.route.Stages[stage].Service)
	if service == nil || service.Batch == nil {
		return 0
	}
	b := service.Batch
	return b.CallTime + time.Duration(b.MaxItems/2)*b.ItemTime
}

// firstTime estimates the time from sending a request to its first event.
func (n *Node) firstTime(r *request) time.Duration {
	if first, ok := n.first[r.route.Name]; ok {
		return first
	}
	return firstDefault
}

// after estimates how long the stages take that need a stage, once it is done.
func (n *Node) after(r *request, stage int) time.Duration {
	var longest time.Duration
	for _, user := range r.users(stage) {
		longest = max(longest, n.stageTime(r, user)+n.after(r, user))
	}
	return longest
}

// ahead lists the stages that need a stage, directly or through others, in their
// order.
func (n *Node) ahead(r *request, stage int) []batch.Need {
	needs := make([]bool, len(r.route.Stages))
	needs[stage] = true
	var list []batch.Need
	for i, s := range r.route.Stages {
		for _, before := range s.After {
			needs[i] = needs[i] || needs[before]
		}
		if i > stage && needs[i] && r.pieces(i) > 0 {
			list = append(list, batch.Need{Stage: i, Service: s.Service, Pieces: r.pieces(i)})
		}
	}
	return list
}
