package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"teaselplank/batch"
	"teaselplank/conns"
	"teaselplank/fleet"
	"teaselplank/trace"
)

// An owner runs the scheduler of the stage services for the requests of all nodes.
// The nodes that submit jobs decide which node is the owner; this one runs every job
// that it receives.
type owner struct {
	server    *Server
	mu        sync.Mutex
	scheduler batch.Scheduler
	// waiters holds the channels that receive the outcomes of jobs.
	waiters map[batch.Ref]chan batch.Effect
	ticking bool
}

func newOwner(s *Server) *owner {
	return &owner{server: s, waiters: make(map[batch.Ref]chan batch.Effect)}
}

// run runs a job and returns its outcome, or nil if the context ended first.
func (o *owner) run(ctx context.Context, job batch.Job) batch.Effect {
	done := make(chan batch.Effect, 1)
	o.mu.Lock()
	o.waiters[job.Ref] = done
	o.mu.Unlock()
	if o.server.context.Err() != nil {
		o.step(batch.Close{})
	}
	o.step(batch.Submit{Job: job})
	select {
	case e := <-done:
		return e
	case <-ctx.Done():
	}
	o.withdraw(job.Ref, done)
	select {
	case e := <-done:
		// The job finished at the same moment. Nothing uses its results.
		if e, ok := e.(batch.Done); ok {
			o.step(batch.Release{Results: e.Results})
		}
	default:
	}
	return nil
}

// withdraw withdraws a job, unless it has been submitted again and has another waiter.
func (o *owner) withdraw(ref batch.Ref, waiter chan batch.Effect) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiters[ref] != waiter {
		return
	}
	delete(o.waiters, ref)
	o.stepLocked(batch.Withdraw{Ref: ref})
}

// step applies an event to the scheduler and performs its effects.
func (o *owner) step(event batch.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stepLocked(event)
}

// stepLocked is step for callers that hold the lock.
func (o *owner) stepLocked(event batch.Event) {
	for _, e := range o.scheduler.Step(o.server.now(), event) {
		switch e := e.(type) {
		case batch.Call:
			go o.sendCall(e)
		case batch.Overdue:
			// All connections to the worker may be lost. The probe makes a new one.
			o.server.conns.CloseIdle(e.Worker)
			o.server.logger.Warn("stage call is overdue", "call", e.Call, "service", e.Worker.Service, "worker", e.Worker.ID,
				"zone", e.Worker.Zone, "pieces", e.Pieces, "repeated", e.Repeated, "first", e.First.Request, "last", e.Last.Request)
		case batch.Free:
			go o.freeResults(e)
		case batch.QueryMemory:
			go o.requestReport(e.Worker)
		case batch.Admitted:
			o.server.logDecision(trace.StageAdmitted, "request", e.Ref.Request, "stage", e.Ref.Stage, "waiting", e.Queued,
				"coming", e.Upcoming, "workers", e.Workers, "done_ms", e.Estimate.Milliseconds())
		case batch.Done:
			o.server.metrics.observeStage(e)
			o.notifyWaiter(e.Ref, e)
		case batch.Refused:
			o.server.logDecision(trace.StageRefused, "request", e.Ref.Request, "stage", e.Ref.Stage, "reason", string(e.Reason),
				"retry_after_ms", e.RetryAfter.Milliseconds(), "done_ms", e.Estimate.Milliseconds(), "left_ms", e.TimeLeft.Milliseconds(),
				"waiting", e.Queued, "coming", e.Upcoming, "short", e.Short, "share", e.Share, "used", e.Used)
			o.notifyWaiter(e.Ref, e)
		}
	}
	if o.scheduler.Len() > 0 && !o.ticking {
		o.ticking = true
		go o.tickLoop()
	}
}

func (o *owner) notifyWaiter(ref batch.Ref, e batch.Effect) {
	if done := o.waiters[ref]; done != nil {
		delete(o.waiters, ref)
		done <- e
	}
}

// tickLoop ticks the scheduler while it has jobs.
func (o *owner) tickLoop() {
	ticker := time.NewTicker(batch.TickInterval)
	defer ticker.Stop()
	for range ticker.C {
		o.step(batch.Tick{})
		o.mu.Lock()
		idle := o.scheduler.Len() == 0
		o.ticking = !idle
		o.mu.Unlock()
		if idle {
			return
		}
	}
}

// busy reports whether the scheduler has jobs.
func (o *owner) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.Len() > 0
}

func (o *owner) counts() batch.Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.Counts()
}

func (o *owner) pools(now time.Time) []batch.PoolState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.Pools(now)
}

// sendCall sends pieces to a worker and passes their outcomes to the scheduler.
func (o *owner) sendCall(c batch.Call) {
	started := time.Now()
	outcomes, failure := o.containedCall(c)
	if o.server.context.Err() != nil {
		// The call may have failed only because this node has closed its connections.
		o.step(batch.Close{})
		return
	}
	o.server.metrics.observeCall(c, failure, time.Since(started))
	o.server.logger.Info("stage call", "call", c.Number, "service", c.Worker.Service, "worker", c.Worker.ID, "zone", c.Worker.Zone,
		"pieces", len(c.Items), "crossed", c.Crossed, "first", c.Items[0].Ref.Request, "last", c.Items[len(c.Items)-1].Ref.Request,
		"took_ms", time.Since(started).Milliseconds(), "failure", string(failure))
	o.step(batch.CallEnded{Call: c.Number, Outcomes: outcomes, Failure: failure})
}

func (o *owner) callWorker(c batch.Call) ([]batch.Outcome, batch.Failure) {
	r, err := o.server.protocol.StageCall(c)
	if err != nil {
		o.server.logger.Error("cannot build the stage call", "service", c.Worker.Service, "error", err.Error())
		return nil, batch.Unreachable
	}
	var results checkedResults
	check := func(conn *conns.Conn, p reply) verdict {
		results = o.server.checkResults(conn, p, len(c.Items))
		return results.verdict
	}
	if _, failure := o.server.post(workerCall{request: r, worker: c.Worker, timeout: c.Timeout, check: check}); failure != batch.NoFailure {
		return nil, failure
	}
	return results.outcomes, results.failure
}

func (o *owner) freeResults(f batch.Free) {
	r, err := o.server.protocol.FreeCall(f)
	if err != nil {
		o.server.logger.Error("cannot build the call that frees results", "service", f.Worker.Service, "error", err.Error())
		return
	}
	p, failure := o.server.postControl(r, f.Worker, o.server.protocol.IsFreeResponse)
	ok := failure == batch.NoFailure && p.status == http.StatusOK
	if !ok {
		// Results that are not freed expire at the worker.
		o.server.metrics.countUpstreamFailure(f.Worker.Service, "free")
	}
	o.step(batch.FreeEnded{Worker: f.Worker.ID, Handles: f.Handles, OK: ok})
}

// requestReport asks a worker for its free memory. If the call fails, the scheduler
// keeps its current value.
func (o *owner) requestReport(u fleet.Upstream) {
	r, err := o.server.protocol.ReportCall(u)
	if err != nil {
		o.server.logger.Error("cannot build the report call", "worker", u.ID, "error", err.Error())
		return
	}
	var space int64
	p, failure := o.server.postControl(r, u, func(body []byte) bool {
		var err error
		space, err = o.server.protocol.ParseReport(body)
		return err == nil
	})
	if failure != batch.NoFailure || p.status != http.StatusOK {
		o.server.metrics.countUpstreamFailure(u.Service, "report")
		return
	}
	o.server.logger.Info("worker reported its free memory", "worker", u.ID, "service", u.Service, "space", space)
	o.step(batch.SpaceReported{Worker: u.ID, Space: space})
}
