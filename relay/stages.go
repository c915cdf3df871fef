package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"teaselplank/batch"
	"teaselplank/member"
	"teaselplank/peerpb"
	"teaselplank/proxy"
	"teaselplank/trace"
	"teaselplank/wire"
)

// maxOwnerAttempts bounds how many owners a job is submitted to in turn when owners
// cannot be reached.
const maxOwnerAttempts = 3

// runStage runs a job and returns its outcome. If no owner runs it, or the owner's
// configuration lacks its service, this node runs the job itself, also while it is
// stopping: it admitted the request, so it has the service and its workers.
func (s *Server) runStage(ctx context.Context, number uint64, job batch.Job) proxy.Event {
	outcome := s.runAtOwners(ctx, number, job)
	if ctx.Err() != nil || outcome != nil && !failedFor(outcome, batch.ReasonUnknownService) {
		return outcome
	}
	job.LastResort = true
	if event, ok := s.runAt(ctx, s.self, number, job); ok {
		return event
	}
	return proxy.StageFailed{Number: number, Stage: job.Ref.Stage, Reason: batch.ReasonNoWorker}
}

// runAtOwners runs a job at the owner of its zone and returns its outcome. If the owner
// does not run it, the job is retried at the next one, and if it has no worker, at the
// owner of another zone. It returns nil if no owner runs the job.
func (s *Server) runAtOwners(ctx context.Context, number uint64, job batch.Job) proxy.Event {
	zone := job.Zone
	var outcome proxy.Event
	for range maxOwnerAttempts {
		event, ok := s.runAt(ctx, s.stageOwner(zone), number, job)
		if ok {
			outcome = event
		}
		if ctx.Err() != nil || ok && !failedFor(event, batch.ReasonNoWorker) {
			return outcome
		}
		if !ok {
			continue
		}
		next := s.zoneAfter(zone)
		if next == zone {
			return outcome
		}
		zone = next
	}
	return outcome
}

// failedFor reports whether a stage failed for a reason.
func failedFor(e proxy.Event, reason batch.Reason) bool {
	failed, ok := e.(proxy.StageFailed)
	return ok && failed.Reason == reason
}

// runAt runs a job at a node. It returns false if the node does not run it.
func (s *Server) runAt(ctx context.Context, node member.Node, number uint64, job batch.Job) (event proxy.Event, ok bool) {
	if node.ID != s.self.ID {
		return s.runRemote(ctx, node, number, job)
	}
	e := s.owner.run(ctx, job)
	if refused, ok := e.(batch.Refused); ok && refused.Reason == batch.ReasonNotOwner {
		return nil, false // This node is leaving, or has not read the workers yet.
	}
	return stageEvent(number, job, e), true
}

// zoneAfter returns the zone whose owner may run a job that the owner of a zone has no
// worker for.
func (s *Server) zoneAfter(zone string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.division.Next(zone)
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

// stageOwner returns the owner of the stage workers of a zone in this node's view. One
// node owns all services there, as admitting a request depends on all the stages that it
// needs. A node whose heartbeats are late remains a candidate: nodes must agree on the
// owner, and each of them sees different heartbeats late. Failed calls exclude a node. If
// no node of the zone is left, a node of another zone is the owner.
func (s *Server) stageOwner(zone string) member.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := slices.DeleteFunc(s.group.Live(), func(n member.Node) bool {
		return n.ID != s.self.ID && s.peers.isSuspect(n.Addr) || n.Leaving
	})
	if len(candidates) == 0 {
		return s.self
	}
	local := slices.DeleteFunc(slices.Clone(candidates), func(n member.Node) bool {
		return !s.division.Same(n.Zone, zone)
	})
	if len(local) > 0 {
		candidates = local
	}
	return slices.MinFunc(candidates, compareOwners)
}

// compareOwners orders candidates for the owner. Nodes with the largest CPU share come
// first, and among those the node that started first, so that a joining node seldom
// changes the owner.
func compareOwners(a, b member.Node) int {
	if a.Processor != b.Processor {
		return cmp.Compare(b.Processor, a.Processor)
	}
	return strings.Compare(a.Incarnation, b.Incarnation)
}

// runRemote runs a job at another node. It returns false if the node could not be
// reached, became unresponsive, is leaving, has not read the workers yet or lacks results
// in its reply, or if the outer context has ended.
func (s *Server) runRemote(outer context.Context, node member.Node, number uint64, job batch.Job) (event proxy.Event, ok bool) {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	defer s.peers.cancelOnSilence(node.Addr, cancel)()
	reply, err := s.peers.stages(node.Addr).Run(ctx, jobMessage(s.now(), job))
	if outer.Err() != nil {
		// The client has disconnected, or the deadline has passed.
		return nil, false
	}
	if err != nil || batch.Reason(reply.GetReason()) == batch.ReasonNotOwner || !isWhole(reply, job.Pieces) {
		s.metrics.countPeerFailure("run")
		s.logDecision(trace.OwnerFailed, "request", job.Ref.Request, "service", job.Service, "owner", node.ID,
			"silent", ctx.Err() != nil, "moved", err == nil)
		if ctx.Err() == nil && !isRefusedMessage(err) {
			// A silent node was marked when its calls were cancelled.
			s.peers.markSuspect(node.Addr)
		}
		return nil, false
	}
	if len(reply.GetResults()) == 0 {
		return proxy.StageFailed{
			Number: number, Stage: job.Ref.Stage, Reason: batch.Reason(reply.GetReason()),
			RetryAfter: wire.Milliseconds(reply.GetRetryAfterMs()),
		}, true
	}
	return proxy.StageDone{Number: number, Stage: job.Ref.Stage, Results: resultsOf(reply.GetResults())}, true
}

// isRefusedMessage reports whether a node has answered that a message is not valid, which says nothing
// against the node.
func isRefusedMessage(err error) bool {
	var answer twirp.Error
	return errors.As(err, &answer) && (answer.Code() == twirp.InvalidArgument || answer.Code() == twirp.Malformed)
}

// isWhole reports whether a reply has a result for each piece, or the reason why there are
// none.
func isWhole(reply *peerpb.JobReply, pieces int) bool {
	if len(reply.GetResults()) == 0 {
		return reply.GetReason() != ""
	}
	return len(reply.GetResults()) == pieces
}

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

func needMessages(downstream []batch.DownstreamStage) []*peerpb.NeedMessage {
	messages := make([]*peerpb.NeedMessage, len(downstream))
	for i, n := range downstream {
		messages[i] = &peerpb.NeedMessage{Stage: int32(n.Stage), Service: n.Service, Pieces: int32(n.Pieces)}
	}
	return messages
}

// jobMessage returns the message of a job. Times are relative, as the clocks of nodes differ.
func jobMessage(now time.Time, job batch.Job) *peerpb.JobMessage {
	return &peerpb.JobMessage{
		Request: job.Ref.Request, Stage: int32(job.Ref.Stage), Service: job.Service, Pieces: int32(job.Pieces),
		ResultBytes: job.ResultBytes, Key: job.Key, Inputs: job.Inputs, Zone: job.Zone,
		DueMs: job.Due.Sub(now).Milliseconds(), LeftMs: job.Deadline.Sub(now).Milliseconds(),
		Rank: int32(job.Rank), Account: job.Account, Begun: job.Started, Ahead: needMessages(job.Downstream),
		FinishMs: job.StagesDue.Sub(now).Milliseconds(), OnlyUser: job.SoleConsumer, Run: int32(job.Ref.Run),
	}
}

// jobOf returns the job of a message.
func jobOf(now time.Time, m *peerpb.JobMessage) batch.Job {
	job := batch.Job{
		Ref: batch.Ref{Request: m.GetRequest(), Stage: int(m.GetStage()), Run: int(m.GetRun())}, Service: m.GetService(),
		Pieces: int(m.GetPieces()), ResultBytes: min(max(m.GetResultBytes(), 0), batch.MaxResultBytes), Key: m.GetKey(), Inputs: m.GetInputs(),
		Zone: m.GetZone(), Due: now.Add(wire.Milliseconds(m.GetDueMs())), Deadline: now.Add(wire.Milliseconds(m.GetLeftMs())),
		Rank: int(m.GetRank()), Account: m.GetAccount(), Started: m.GetBegun(), StagesDue: now.Add(wire.Milliseconds(m.GetFinishMs())),
		SoleConsumer: m.GetOnlyUser(),
	}
	for _, need := range m.GetAhead() {
		job.Downstream = append(job.Downstream, batch.DownstreamStage{Stage: int(need.GetStage()), Service: need.GetService(), Pieces: int(need.GetPieces())})
	}
	return job
}

// checkPieces checks the numbers of pieces in a message, which another program may have sent.
func checkPieces(m *peerpb.JobMessage) error {
	counts := []int32{m.GetPieces()}
	for _, need := range m.GetAhead() {
		counts = append(counts, need.GetPieces())
	}
	for _, count := range counts {
		if count < 0 || count > batch.MaxJobPieces {
			return fmt.Errorf("%d is not a number of pieces from 0 to %d", count, batch.MaxJobPieces)
		}
	}
	return nil
}

// stageService implements peerpb.Stages for other nodes.
type stageService struct{ server *Server }

// Run runs a stage of another node's request.
func (t stageService) Run(ctx context.Context, m *peerpb.JobMessage) (*peerpb.JobReply, error) {
	s := t.server
	if err := checkPieces(m); err != nil {
		return nil, twirp.InvalidArgumentError("pieces", err.Error())
	}
	reply := &peerpb.JobReply{}
	switch e := s.owner.run(ctx, jobOf(s.now(), m)).(type) {
	case batch.Done:
		reply.Results = resultMessages(e.Results)
	case batch.Refused:
		reply.Reason, reply.RetryAfterMs = string(e.Reason), e.RetryAfter.Milliseconds()
	default:
		reply.Reason = string(batch.ReasonLate)
	}
	return reply, nil
}

// Release releases results. Nodes also call it without results, as a ping.
func (t stageService) Release(_ context.Context, m *peerpb.ReleaseMessage) (*peerpb.ReleaseReply, error) {
	if len(m.GetResults()) > 0 {
		t.server.owner.step(batch.Release{Results: resultsOf(m.GetResults())})
	}
	return &peerpb.ReleaseReply{}, nil
}

// A releaseQueue collects results to be released, so that one call to the owner
// releases those of many requests. The zero value is empty.
type releaseQueue struct {
	mu      sync.Mutex
	results []batch.Result
}

func (r *releaseQueue) add(results []batch.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, results...)
}

func (r *releaseQueue) takeAll() []batch.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	results := r.results
	r.results = nil
	return results
}

const (
	// releaseInterval is how often the collected results are released.
	releaseInterval = 25 * time.Millisecond
	// releaseTimeout bounds the call that sends them to the owner.
	releaseTimeout = time.Second
)

// releaseLoop periodically sends the collected results to their owners.
func (s *Server) releaseLoop() {
	for s.sleep(releaseInterval) {
		if results := s.releases.takeAll(); len(results) > 0 {
			s.sendReleases(results)
		}
	}
}

// sendReleases sends results to the owners of the zones where they are.
func (s *Server) sendReleases(results []batch.Result) {
	byOwner := make(map[string][]batch.Result)
	owners := make(map[string]member.Node)
	for _, r := range results {
		node, ok := owners[r.Zone]
		if !ok {
			node = s.stageOwner(r.Zone)
			owners[r.Zone] = node
		}
		byOwner[node.ID] = append(byOwner[node.ID], r)
	}
	for _, node := range owners {
		if released := byOwner[node.ID]; len(released) > 0 {
			delete(byOwner, node.ID)
			go s.sendRelease(node, released)
		}
	}
}

func (s *Server) sendRelease(node member.Node, results []batch.Result) {
	if node.ID == s.self.ID {
		s.owner.step(batch.Release{Results: results})
		return
	}
	ctx, cancel := context.WithTimeout(s.context, releaseTimeout)
	defer cancel()
	if _, err := s.peers.stages(node.Addr).Release(ctx, &peerpb.ReleaseMessage{Results: resultMessages(results)}); err != nil {
		// Results that are not released expire at the worker.
		s.metrics.countPeerFailure("release")
	}
}
