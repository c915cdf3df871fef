package relay

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"teaselplank/batch"
	"teaselplank/member"
	"teaselplank/peerpb"
	"teaselplank/proxy"
	"teaselplank/trace"
)

// maxOwners bounds the nodes that a job is given to, one after the other, when
// owners cannot be reached.
const maxOwners = 3

// runStage has a job done by the owner of the stages and returns its end. An
// owner that cannot be reached costs a repeat: the next one takes the job.
func (s *Server) runStage(ctx context.Context, number uint64, job batch.Job) proxy.Event {
	for range maxOwners {
		node := s.ownerOf()
		if node.ID == s.self.ID {
			e := s.owner.run(ctx, job)
			if refused, ok := e.(batch.Refused); ok && refused.Reason == batch.ReasonMoved {
				continue // This node leaves; the next owner takes the job.
			}
			return stageEvent(number, job, e)
		}
		if e, ok := s.runRemote(ctx, node, number, job); ok {
			return e
		}
		if ctx.Err() != nil {
			break
		}
	}
	return proxy.StageFailed{Number: number, Stage: job.Ref.Stage, Reason: batch.ReasonNoWorker}
}

func stageEvent(number uint64, job batch.Job, e batch.Effect) proxy.Event {
	switch e := e.(type) {
	case batch.Done:
		return proxy.StageDone{Number: number, Stage: job.Ref.Stage, Results: e.Results}
	case batch.Refused:
		return proxy.StageFailed{Number: number, Stage: job.Ref.Stage, Reason: e.Reason, RetryAfter: e.RetryAfter}
	}
	return proxy.StageFailed{Number: number, Stage: job.Ref.Stage, Reason: batch.ReasonLate}
}

// ownerOf returns the node that owns the stage services, as this node sees it. One
// node owns all services, for whether a request is admitted depends on all stages
// that it needs. A node whose heartbeats are late still counts, as nodes must agree
// on the owner and each sees other heartbeats late; calls show whether it is there.
func (s *Server) ownerOf() member.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := slices.DeleteFunc(s.group.Live(), func(n member.Node) bool {
		return n.ID != s.self.ID && s.peers.avoided(n.Addr) || n.Leaving
	})
	if len(candidates) == 0 {
		return s.self
	}
	return slices.MinFunc(candidates, compareOwners)
}

// compareOwners orders nodes by how well they can own the stages: those with most
// of a processor come first, and of these the one that started first, so that nodes
// which come seldom change anything.
func compareOwners(a, b member.Node) int {
	if a.Processor != b.Processor {
		return cmp.Compare(b.Processor, a.Processor)
	}
	return strings.Compare(a.Incarnation, b.Incarnation)
}

// runRemote has a job done by another node; ok is false if that could not be
// reached, or fell silent.
func (s *Server) runRemote(outer context.Context, node member.Node, number uint64, job batch.Job) (event proxy.Event, ok bool) {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	defer s.peers.attend(node.Addr, cancel)()
	now := s.now()
	reply, err := s.peers.stages(node.Addr).Run(ctx, &peerpb.JobMessage{
		Request: job.Ref.Request, Stage: int32(job.Ref.Stage), Service: job.Service, Pieces: int32(job.Pieces),
		ResultBytes: job.ResultBytes, Key: job.Key, Inputs: job.Inputs, Zone: job.Zone,
		DueMs: job.Due.Sub(now).Milliseconds(), LeftMs: job.Deadline.Sub(now).Milliseconds(),
		Rank: int32(job.Rank), Begun: job.Begun, Ahead: needMessages(job.Ahead), FinishMs: job.Finish.Sub(now).Milliseconds(),
		OnlyUser: job.OnlyUser, Run: int32(job.Ref.Run),
	})
	if outer.Err() != nil {
		// The client has left, or the time is over.
		return nil, false
	}
	if err != nil || batch.Reason(reply.GetReason()) == batch.ReasonMoved {
		s.metrics.peerFailure("run")
		s.decided(trace.OwnerFailed, "request", job.Ref.Request, "service", job.Service, "owner", node.ID,
			"silent", ctx.Err() != nil, "moved", err == nil)
		s.peers.avoid(node.Addr)
		return nil, false
	}
	if len(reply.GetResults()) == 0 {
		return proxy.StageFailed{
			Number: number, Stage: job.Ref.Stage, Reason: batch.Reason(reply.GetReason()),
			RetryAfter: milliseconds(reply.GetRetryAfterMs()),
		}, true
	}
	return proxy.StageDone{Number: number, Stage: job.Ref.Stage, Results: resultsOf(reply.GetResults())}, true
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func resultsOf(messages []*peerpb.ResultMessage) []batch.Result {
	results := make([]batch.Result, len(messages))
	for i, m := range messages {
		results[i] = batch.Result{Handle: m.GetHandle(), Addr: m.GetAddr(), Zone: m.GetZone()}
	}
	return results
}

func resultMessages(results []batch.Result) []*peerpb.ResultMessage {
	messages := make([]*peerpb.ResultMessage, len(results))
	for i, r := range results {
		messages[i] = &peerpb.ResultMessage{Handle: r.Handle, Addr: r.Addr, Zone: r.Zone}
	}
	return messages
}

func needMessages(needs []batch.Need) []*peerpb.NeedMessage {
	messages := make([]*peerpb.NeedMessage, len(needs))
	for i, n := range needs {
		messages[i] = &peerpb.NeedMessage{Stage: int32(n.Stage), Service: n.Service, Pieces: int32(n.Pieces)}
	}
	return messages
}

// stageService implements peerpb.Stages for other nodes.
type stageService struct{ server *Server }

// Run has a stage of another node's request done.
func (t stageService) Run(ctx context.Context, m *peerpb.JobMessage) (*peerpb.JobReply, error) {
	s := t.server
	now := s.now()
	job := batch.Job{
		Ref: batch.Ref{Request: m.GetRequest(), Stage: int(m.GetStage()), Run: int(m.GetRun())}, Service: m.GetService(),
		Pieces: int(m.GetPieces()), ResultBytes: m.GetResultBytes(), Key: m.GetKey(), Inputs: m.GetInputs(),
		Zone: m.GetZone(), Due: now.Add(milliseconds(m.GetDueMs())), Deadline: now.Add(milliseconds(m.GetLeftMs())),
		Rank: int(m.GetRank()), Begun: m.GetBegun(), Finish: now.Add(milliseconds(m.GetFinishMs())),
		OnlyUser: m.GetOnlyUser(),
	}
	for _, need := range m.GetAhead() {
		job.Ahead = append(job.Ahead, batch.Need{Stage: int(need.GetStage()), Service: need.GetService(), Pieces: int(need.GetPieces())})
	}
	reply := &peerpb.JobReply{}
	switch e := s.owner.run(ctx, job).(type) {
	case batch.Done:
		reply.Results = resultMessages(e.Results)
	case batch.Refused:
		reply.Reason, reply.RetryAfterMs = string(e.Reason), e.RetryAfter.Milliseconds()
	default:
		reply.Reason = string(batch.ReasonLate)
	}
	return reply, nil
}

// Release gives results up.
func (t stageService) Release(_ context.Context, m *peerpb.ReleaseMessage) (*peerpb.ReleaseReply, error) {
	if len(m.GetResults()) > 0 {
		t.server.owner.step(batch.Release{Results: resultsOf(m.GetResults())})
	}
	return &peerpb.ReleaseReply{}, nil
}

// releases gathers results to be freed, so that one call to the owner frees those
// of many requests. The zero value is empty.
type releases struct {
	mu      sync.Mutex
	results []batch.Result
}

func (r *releases) add(results []batch.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, results...)
}

func (r *releases) take() []batch.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.results
	r.results = nil
	return taken
}

const (
	// releaseEvery is how long results to be freed are gathered.
	releaseEvery = 25 * time.Millisecond
	// releaseTimeout bounds a call that passes them to their owner.
	releaseTimeout = time.Second
)

// releaseLoop passes the results to be freed to the owner.
func (s *Server) releaseLoop() {
	for s.sleep(releaseEvery) {
		if results := s.releases.take(); len(results) > 0 {
			go s.release(results)
		}
	}
}

func (s *Server) release(results []batch.Result) {
	node := s.ownerOf()
	if node.ID == s.self.ID {
		s.owner.step(batch.Release{Results: results})
		return
	}
	ctx, cancel := context.WithTimeout(s.context, releaseTimeout)
	defer cancel()
	if _, err := s.peers.stages(node.Addr).Release(ctx, &peerpb.ReleaseMessage{Results: resultMessages(results)}); err != nil {
		// The results expire by themselves.
		s.metrics.peerFailure("release")
	}
}
