package proxy

import (
	"time"

	"teaselplank/batch"
)

// defaultFirstEventTime is the estimate for routes without a measurement.
const defaultFirstEventTime = 150 * time.Millisecond

// stageTime estimates how long a stage takes once its inputs are available. It assumes
// half-full calls.
func (n *Node) stageTime(r *request, stage int) time.Duration {
	service := n.table.Service(r.route.Stages[stage].Service)
	if service == nil || service.Batch == nil {
		return 0
	}
	b := service.Batch
	return b.CallTime + time.Duration(b.MaxPieces/2)*b.PieceTime
}

// firstEventTime estimates the time from sending a request to the first event of its
// stream.
func (n *Node) firstEventTime(r *request) time.Duration {
	if average, ok := n.firstEventTimes[r.route.Name]; ok {
		return average
	}
	return defaultFirstEventTime
}

// downstreamTime estimates how long the downstream stages take once a stage is done.
func (n *Node) downstreamTime(r *request, stage int) time.Duration {
	var longest time.Duration
	for _, consumer := range r.consumers(stage) {
		longest = max(longest, n.stageTime(r, consumer)+n.downstreamTime(r, consumer))
	}
	return longest
}

// downstreamStages returns the stages that depend on a stage, directly or indirectly,
// in their order.
func (n *Node) downstreamStages(r *request, stage int) []batch.DownstreamStage {
	downstream := make([]bool, len(r.route.Stages))
	downstream[stage] = true
	var list []batch.DownstreamStage
	for i, s := range r.route.Stages {
		for _, predecessor := range s.After {
			downstream[i] = downstream[i] || downstream[predecessor]
		}
		if i > stage && downstream[i] && r.pieces(i) > 0 {
			list = append(list, batch.DownstreamStage{Stage: i, Service: s.Service, Pieces: r.pieces(i)})
		}
	}
	return list
}
