package proxy

import (
	"slices"
	"time"

	"teaselplank/batch"
	"teaselplank/trace"
)

// advance starts the stages whose inputs are ready, or sends the request once all
// stages are done.
func (n *Node) advance(now time.Time, r *request) {
	pending := false
	for i := range r.stages {
		if r.pieces(i) == 0 || r.stages[i].done {
			continue
		}
		pending = true
		if !r.stages[i].started && n.inputsReady(r, i) {
			n.runStage(now, r, i)
		}
	}
	if !pending {
		r.readyAt = now
		n.send(now, r)
	}
}

func (n *Node) inputsReady(r *request, stage int) bool {
	for _, predecessor := range r.route.Stages[stage].After {
		if r.pieces(predecessor) > 0 && !r.stages[predecessor].done {
			return false
		}
	}
	return true
}

func (n *Node) runStage(now time.Time, r *request, i int) {
	s := r.route.Stages[i]
	r.stages[i].started, r.stages[i].startedAt = true, now
	// Results are useless once the request would be too late for its response.
	deadline := r.deadline.Add(-n.minResponseTime(r))
	job := batch.Job{
		Ref: batch.Ref{Request: r.ID, Stage: i, Run: r.restarts}, Service: s.Service, Pieces: r.pieces(i),
		ResultBytes: s.ResultBytes, Zone: r.dataZone, Deadline: deadline, Rank: r.rank, Account: r.account,
		Started: n.workStarted(r), Downstream: r.downstreamStages(i),
	}
	// The client may time out before the request is due.
	end := r.due
	if r.deadline.Before(end) {
		end = r.deadline
	}
	job.StagesDue = end.Add(-n.firstEventTime(r))
	if deadline.Before(job.StagesDue) {
		job.StagesDue = deadline
	}
	job.Due = job.StagesDue.Add(-n.downstreamTime(r, i))
	for _, predecessor := range s.After {
		for _, result := range r.stages[predecessor].results {
			job.Inputs = append(job.Inputs, result.Handle)
		}
	}
	if len(job.Inputs) == 0 {
		job.Key = r.PieceKey
	}
	job.SoleConsumer = r.onlyConsumer(i)
	n.emit(RunStage{Number: r.Number, Job: job})
}

// onlyConsumer reports whether no other stage consumes the inputs of a stage.
func (r *request) onlyConsumer(stage int) bool {
	for _, predecessor := range r.route.Stages[stage].After {
		if len(r.consumers(predecessor)) > 1 {
			return false
		}
	}
	return true
}

// workStarted reports whether work was already spent on the request.
func (n *Node) workStarted(r *request) bool {
	for _, s := range r.stages {
		if s.done {
			return true
		}
	}
	return r.restarts > 0
}

func (n *Node) stageDone(now time.Time, e StageDone) {
	r := n.requests[e.Number]
	if r == nil || r.status != statusStaging || r.stages[e.Stage].done {
		n.emit(Release{Results: e.Results})
		return
	}
	s := &r.stages[e.Stage]
	s.done, s.results = true, e.Results
	n.updateDataZone(r)
	n.recordSince(now, s.startedAt, r, trace.StageDone, "", "stage", e.Stage, "pieces", len(e.Results), "zone", r.dataZone,
		"due_ms", r.due.Sub(now).Milliseconds())
	n.releaseUsed(r)
	n.advance(now, r)
}

// updateDataZone sets the request's data zone to the zone that holds most bytes of its
// stage results.
func (n *Node) updateDataZone(r *request) {
	bytes := make(map[string]int64)
	for i, s := range r.stages {
		if s.released {
			continue
		}
		for _, result := range s.results {
			bytes[result.Zone] += r.route.Stages[i].ResultBytes
		}
	}
	for zone, sum := range bytes {
		if sum > bytes[r.dataZone] || sum == bytes[r.dataZone] && zone < r.dataZone {
			r.dataZone = zone
		}
	}
}

// releaseUsed releases the results that all their consumers have used.
func (n *Node) releaseUsed(r *request) {
	for i := range r.stages {
		consumers := r.consumers(i)
		unfinished := func(consumer int) bool { return !r.stages[consumer].done }
		if r.stages[i].done && len(consumers) > 0 && !slices.ContainsFunc(consumers, unfinished) {
			n.release(r, i)
		}
	}
}

// consumers returns the stages that need the results of a stage.
func (r *request) consumers(stage int) []int {
	var consumers []int
	for i, s := range r.route.Stages {
		if r.pieces(i) > 0 && slices.Contains(s.After, stage) {
			consumers = append(consumers, i)
		}
	}
	return consumers
}

func (n *Node) release(r *request, stage int) {
	s := &r.stages[stage]
	if s.released || len(s.results) == 0 {
		return
	}
	s.released = true
	n.emit(Release{Results: s.results})
}

func (n *Node) releaseAll(r *request) {
	for i := range r.stages {
		n.release(r, i)
	}
}

// maxLosses bounds how many times the stages of a request are run again because a result
// was lost.
const maxLosses = 1

func (n *Node) stageFailed(now time.Time, e StageFailed) {
	r := n.requests[e.Number]
	if r == nil || r.status != statusStaging || r.stages[e.Stage].done {
		return
	}
	if e.Reason == batch.ReasonInputLost && r.losses < maxLosses {
		r.losses++
		n.restart(now, r)
		return
	}
	reason := ReasonStageFailed
	if e.Reason == batch.ReasonLate {
		reason = ReasonLate
	}
	n.record(r, trace.StageFailed, reason, "stage", e.Stage, "cause", string(e.Reason))
	n.fail(now, r, reason, max(e.RetryAfter, busyRetryAfter))
}

// restart runs all stages again after their results were lost or released.
func (n *Node) restart(now time.Time, r *request) {
	r.restarts++
	if !r.apply(transitionStage) {
		return
	}
	n.withdraw(r)
	n.releaseAll(r)
	r.stages = make([]stageState, len(r.route.Stages))
	n.advance(now, r)
}

func (n *Node) withdraw(r *request) {
	var running []int
	for i, s := range r.stages {
		if s.started && !s.done {
			running = append(running, i)
		}
	}
	if len(running) > 0 {
		n.emit(Withdraw{Number: r.Number, Stages: running})
	}
}
