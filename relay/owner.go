package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"teaselplank/batch"
	"teaselplank/fleet"
	"teaselplank/trace"
)

// An owner runs the scheduler of the stage services that this node owns, for the
// requests of all nodes. Which node owns a service is for those that have work to
// decide; this one does whatever it is asked to.
type owner struct {
	server *Server
	mu     sync.Mutex
	sched  batch.Scheduler
	// waiters holds who waits for a job.
	waiters map[batch.Ref]chan batch.Effect
	ticking bool
}

func newOwner(s *Server) *owner {
	return &owner{server: s, waiters: make(map[batch.Ref]chan batch.Effect)}
}

// run has a job done and returns its end, or nil if the context ended first.
func (o *owner) run(ctx context.Context, job batch.Job) batch.Effect {
	done := make(chan batch.Effect, 1)
	o.mu.Lock()
	o.waiters[job.Ref] = done
	o.mu.Unlock()
	o.step(batch.Submit{Job: job})
	select {
	case e := <-done:
		return e
	case <-ctx.Done():
	}
	o.mu.Lock()
	if o.waiters[job.Ref] == done {
		delete(o.waiters, job.Ref)
	}
	o.mu.Unlock()
	o.step(batch.Withdraw{Ref: job.Ref})
	select {
	case e := <-done:
		// The results came at the same moment; nobody uses them.
		if e, ok := e.(batch.Done); ok {
			o.step(batch.Release{Results: e.Results})
		}
	default:
	}
	return nil
}

// step gives the scheduler an event and performs its effects.
func (o *owner) step(event batch.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range o.sched.Step(o.server.now(), event) {
		switch e := e.(type) {
		case batch.Call:
			go o.call(e)
		case batch.Free:
			go o.free(e)
		case batch.Ask:
			go o.ask(e.Worker)
		case batch.Admitted:
			o.server.decided(trace.StageAdmitted, "request", e.Ref.Request, "stage", e.Ref.Stage, "waiting", e.Waiting,
				"coming", e.Coming, "workers", e.Workers, "done_ms", e.Done.Milliseconds())
		case batch.Done:
			o.server.metrics.stage(e)
			o.finish(e.Ref, e)
		case batch.Refused:
			o.server.decided(trace.StageRefused, "request", e.Ref.Request, "stage", e.Ref.Stage, "reason", string(e.Reason),
				"retry_after_ms", e.RetryAfter.Milliseconds())
			o.finish(e.Ref, e)
		}
	}
	if o.sched.Len() > 0 && !o.ticking {
		o.ticking = true
		go o.tick()
	}
}

func (o *owner) finish(ref batch.Ref, e batch.Effect) {
	if done := o.waiters[ref]; done != nil {
		delete(o.waiters, ref)
		done <- e
	}
}

// tick lets the scheduler act on the time while it has jobs.
func (o *owner) tick() {
	ticker := time.NewTicker(batch.TickEvery)
	defer ticker.Stop()
	for range ticker.C {
		o.step(batch.Tick{})
		o.mu.Lock()
		idle := o.sched.Len() == 0
		o.ticking = !idle
		o.mu.Unlock()
		if idle {
			return
		}
	}
}

// busy reports whether jobs are under way.
func (o *owner) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sched.Len() > 0
}

func (o *owner) counts() batch.Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sched.Counts()
}

func (o *owner) pools(now time.Time) []batch.PoolState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sched.Pools(now)
}

// call sends pieces to a worker and brings their ends back.
func (o *owner) call(c batch.Call) {
	started := time.Now()
	outcomes, failure := o.exchange(c)
	o.server.metrics.call(c.Worker.Service, string(failure), time.Since(started))
	o.server.logger.Info("stage call", "service", c.Worker.Service, "worker", c.Worker.ID, "zone", c.Worker.Zone,
		"pieces", len(c.Items), "first", c.Items[0].Ref.Request, "last", c.Items[len(c.Items)-1].Ref.Request,
		"took_ms", time.Since(started).Milliseconds(), "failure", string(failure))
	o.step(batch.Returned{Call: c.Number, Outcomes: outcomes, Failure: failure})
}

func (o *owner) exchange(c batch.Call) ([]batch.Outcome, batch.Failure) {
	r, err := o.server.protocol.StageCall(c)
	if err != nil {
		o.server.logger.Error("stage call is not sent", "service", c.Worker.Service, "error", err.Error())
		return nil, batch.Unreached
	}
	status, header, body, failure := o.server.post(r, c.Worker, c.Timeout)
	if failure != batch.NoFailure {
		return nil, failure
	}
	return o.server.protocol.StageAnswer(status, header, body, len(c.Items))
}

// freeTimeout bounds a call that frees results.
const freeTimeout = time.Second

func (o *owner) free(f batch.Free) {
	r, err := o.server.protocol.FreeCall(f)
	if err != nil {
		o.server.logger.Error("results are not freed", "service", f.Worker.Service, "error", err.Error())
		return
	}
	status, _, _, failure := o.server.post(r, f.Worker, freeTimeout)
	ok := failure == batch.NoFailure && status == http.StatusOK
	if !ok {
		// The results expire by themselves.
		o.server.metrics.upstreamFailure(f.Worker.Service, "free")
	}
	o.step(batch.Freed{Worker: f.Worker.ID, Handles: f.Handles, OK: ok})
}

// ask asks a worker for the memory that it has left. No answer changes nothing.
func (o *owner) ask(u fleet.Upstream) {
	r, err := o.server.protocol.ReportCall(u)
	if err != nil {
		o.server.logger.Error("worker is not asked", "worker", u.ID, "error", err.Error())
		return
	}
	status, _, body, failure := o.server.post(r, u, freeTimeout)
	if failure != batch.NoFailure || status != http.StatusOK {
		o.server.metrics.upstreamFailure(u.Service, "report")
		return
	}
	space, err := o.server.protocol.ReportAnswer(body)
	if err != nil {
		o.server.metrics.upstreamFailure(u.Service, "report")
		return
	}
	o.server.logger.Info("worker reports", "worker", u.ID, "service", u.Service, "space", space)
	o.step(batch.Reported{Worker: u.ID, Space: space})
}

// post sends a call to a worker of a stage service and reads the whole answer.
func (s *Server) post(r *http.Request, u fleet.Upstream, timeout time.Duration) (int, http.Header, []byte, batch.Failure) {
	ctx, cancel := context.WithTimeout(s.context, timeout)
	defer cancel()
	c, err := s.connect(ctx, u)
	if errors.Is(err, errUnanswered) {
		return 0, nil, nil, batch.Unanswered
	}
	if err != nil {
		return 0, nil, nil, batch.Unreached
	}
	response, err := c.exchange(r, int(r.ContentLength), timeout)
	if err != nil {
		c.Close()
		s.metrics.upstreamFailure(u.Service, "exchange")
		return 0, nil, nil, batch.Broken
	}
	c.patience(ctx, timeout)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		c.Close()
		s.metrics.upstreamFailure(u.Service, "read")
		return 0, nil, nil, batch.Broken
	}
	if response.Close {
		c.Close()
	} else {
		c.finish(response.Header)
	}
	return response.StatusCode, response.Header, body, batch.NoFailure
}
