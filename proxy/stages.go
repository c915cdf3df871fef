package proxy

import (
	"slices"
	"time"

	"teaselplank/batch"
	"teaselplank/trace"
)

// advance runs the stages that can run, or sends the request once all are done.
func (n *Node) advance(now time.Time, r *request) {
	waiting := false
	for i := range r.stages {
		if r.pieces(i) == 0 || r.stages[i].done {
			continue
		}
		waiting = true
		if !r.stages[i].asked && n.inputsDone(r, i) {
			n.runStage(now, r, i)
		}
	}
	if !waiting {
		n.send(now, r)
	}
}

func (n *Node) inputsDone(r *request, stage int) bool {
	for _, before := range r.route.Stages[stage].After {
		if r.pieces(before) > 0 && !r.stages[before].done {
			return false
		}
	}
	return true
}

func (n *Node) runStage(now time.Time, r *request, i int) {
	s := r.route.Stages[i]
	r.stages[i].asked, r.stages[i].askedAt = true, now
	job := batch.Job{
		Ref: batch.Ref{Request: r.ID, Stage: i, Run: r.restarts}, Service: s.Service, Pieces: r.pieces(i),
		ResultBytes: s.ResultBytes, Zone: r.zone, Deadline: r.deadline, Rank: r.rank,
		Begun: n.begun(r), Ahead: n.ahead(r, i),
	}
	// A client may give up before the answer is due.
	latest := r.due
	if r.deadline.Before(latest) {
		latest = r.deadline
	}
	job.Finish = latest.Add(-n.firstTime(r))
	job.Due = job.Finish.Add(-n.after(r, i))
	for _, before := range s.After {
		for _, result := range r.stages[before].results {
			job.Inputs = append(job.Inputs, result.Handle)
		}
	}
	if len(job.Inputs) == 0 {
		job.Key = r.PieceKey
	}
	job.OnlyUser = r.onlyUser(i)
	n.emit(RunStage{Number: r.Number, Job: job})
}

// onlyUser reports whether no other stage needs what a stage needs.
func (r *request) onlyUser(stage int) bool {
	for _, before := range r.route.Stages[stage].After {
		if len(r.users(before)) > 1 {
			return false
		}
	}
	return true
}

// begun reports whether work was spent on the request.
func (n *Node) begun(r *request) bool {
	for _, s := range r.stages {
		if s.done {
			return true
		}
	}
	return r.restarts > 0
}

func (n *Node) stageDone(now time.Time, e StageDone) {
	r := n.requests[e.Number]
	if r == nil || r.status != staging || r.stages[e.Stage].done {
		return
	}
	s := &r.stages[e.Stage]
	s.done, s.results = true, e.Results
	n.settleZone(r)
	n.noteSince(now, s.askedAt, r, trace.StageDone, "", "stage", e.Stage, "pieces", len(e.Results), "zone", r.zone,
		"due_ms", r.due.Sub(now).Milliseconds())
	n.freeUsed(r)
	n.advance(now, r)
}

// settleZone moves the request to the zone where most bytes of its results lie.
func (n *Node) settleZone(r *request) {
	bytes := make(map[string]int64)
	for i, s := range r.stages {
		if s.freed {
			continue
		}
		for _, result := range s.results {
			bytes[result.Zone] += r.route.Stages[i].ResultBytes
		}
	}
	for zone, sum := range bytes {
		if sum > bytes[r.zone] || sum == bytes[r.zone] && zone < r.zone {
			r.zone = zone
		}
	}
}

// freeUsed frees the results that every stage which needs them has used.
func (n *Node) freeUsed(r *request) {
	for i := range r.stages {
		users := r.users(i)
		waits := func(user int) bool { return !r.stages[user].done }
		if r.stages[i].done && len(users) > 0 && !slices.ContainsFunc(users, waits) {
			n.free(r, i)
		}
	}
}

// users lists the stages that need the results of a stage.
func (r *request) users(stage int) []int {
	var users []int
	for i, s := range r.route.Stages {
		if r.pieces(i) > 0 && slices.Contains(s.After, stage) {
			users = append(users, i)
		}
	}
	return users
}

func (n *Node) free(r *request, stage int) {
	s := &r.stages[stage]
	if s.freed || len(s.results) == 0 {
		return
	}
	s.freed = true
	n.emit(Free{Results: s.results})
}

func (n *Node) freeAll(r *request) {
	for i := range r.stages {
		n.free(r, i)
	}
}

// maxRestarts bounds how often the stages of a request are run again.
const maxRestarts = 1

func (n *Node) stageFailed(now time.Time, e StageFailed) {
	r := n.requests[e.Number]
	if r == nil || r.status != staging || r.stages[e.Stage].done {
		return
	}
	if e.Reason == batch.ReasonGone && r.restarts < maxRestarts {
		n.restart(now, r)
		return
	}
	reason := ReasonStage
	if e.Reason == batch.ReasonLate {
		reason = ReasonLate
	}
	n.note(r, trace.StageFailed, reason, "stage", e.Stage, "cause", string(e.Reason))
	n.giveUp(now, r, reason, max(e.RetryAfter, fullPause))
}

// restart runs all stages again, since a result is lost.
func (n *Node) restart(now time.Time, r *request) {
	r.restarts++
	if !r.move(stage) {
		return
	}
	n.withdraw(r)
	n.freeAll(r)
	r.stages = make([]stageState, len(r.route.Stages))
	n.advance(now, r)
}

func (n *Node) withdraw(r *request) {
	var open []int
	for i, s := range r.stages {
		if s.asked && !s.done {
			open = append(open, i)
		}
	}
	if len(open) > 0 {
		n.emit(Withdraw{Number: r.Number, Stages: open})
	}
}
