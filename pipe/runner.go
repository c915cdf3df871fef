package pipe

import (
	"maps"
	"slices"
	"time"

	"teaselplank/route"
	"teaselplank/wire"
)

// enqueue adds a request to the queue of its step's pool.
func (r *Runner) enqueue(now time.Time, req *activeRequest) {
	p := req.pool()
	req.inQueue, req.enqueuedAt = true, now
	account, weight := req.spec.Account, req.spec.Weight
	if !r.config.FairQueues {
		account, weight = "", 1
	}
	p.queue.Push(account, weight, req.spec.ID)
	r.dispatch(now, p)
}

// enqueueRetry adds a request whose attempt failed to the queue of retries, which
// precede other requests.
func (r *Runner) enqueueRetry(now time.Time, req *activeRequest) {
	p := req.pool()
	req.inQueue, req.enqueuedAt = true, now
	p.retries = append(p.retries, req.spec.ID)
	r.dispatch(now, p)
}

func (req *activeRequest) pool() *pool { return req.pools[req.stage] }

func (req *activeRequest) step() Step { return req.spec.Steps[req.stage] }

// queueCheckInterval is the interval at which a pool dispatches its queue when no event
// triggers it earlier.
const queueCheckInterval = 20 * time.Millisecond

// dispatch starts queued steps of a pool while the pool has capacity.
func (r *Runner) dispatch(now time.Time, p *pool) {
	if !r.table.HasWorkers(p.name) {
		r.endQueued(now, p)
		return
	}
	for p.queueLen() > 0 && r.table.HasCapacity(now, p.name, route.Query{Stream: p.stream}) {
		id, ok := p.dequeue()
		req := r.requests[id]
		if !ok || req == nil || !req.inQueue || req.pool() != p {
			continue
		}
		if !r.startStep(now, p, req) {
			p.retries = append(p.retries, id)
			break
		}
	}
	if p.queueLen() > 0 && !p.queueTimerSet {
		p.queueTimerSet = true
		r.timers.Add(now.Add(queueCheckInterval), timer{kind: timerQueue, pool: p.name})
	}
}

// endQueued answers all queued requests of a pool that has no workers left, because
// waiting cannot succeed.
func (r *Runner) endQueued(now time.Time, p *pool) {
	for p.queueLen() > 0 {
		id, _ := p.dequeue()
		req := r.requests[id]
		if req == nil || !req.inQueue || req.pool() != p {
			continue
		}
		answer := req.failureAnswer(ReasonNoWorker)
		answer.RetryAfter = noWorkerRetryAfter
		r.end(now, req, answer)
	}
}

func (p *pool) queueLen() int { return p.queue.Len() + len(p.retries) }

func (p *pool) dequeue() (string, bool) {
	if len(p.retries) > 0 {
		id := p.retries[0]
		p.retries = p.retries[1:]
		return id, true
	}
	return p.queue.Pop()
}

// waitSmoothing is the divisor of the moving average of a pool's queueing time: the
// newest sample has a weight of 1/waitSmoothing.
const waitSmoothing = 8

// startStep sends the request's step to a worker, or ends the request if it is expected
// to miss its deadline. It returns false if no worker has capacity for the step. It
// avoids workers that failed the step unless no other has capacity.
func (r *Runner) startStep(now time.Time, p *pool, req *activeRequest) bool {
	if r.wouldMissDeadline(now, req) {
		r.end(now, req, req.failureAnswer(ReasonTooLate))
		return true
	}
	q := route.Query{Prefix: req.spec.Prefix, Avoid: req.failedWorkers, Stream: req.step().Stream}
	if !req.step().Stream {
		q.Prefix = ""
	}
	w := r.table.BeginCall(now, p.name, q)
	if w == nil {
		q.Avoid = nil
		w = r.table.BeginCall(now, p.name, q)
	}
	if w == nil {
		return false
	}
	req.inQueue = false
	waited := now.Sub(req.enqueuedAt)
	p.meanWait += (waited - p.meanWait) / waitSmoothing
	p.shares.recordWait(now, waited, req.spec.Deadline.Sub(req.enqueuedAt))
	if req.stepAttempts == 0 {
		p.addRetryBudget(r.config.RetryPercent)
	}
	r.sendAttempt(now, p, req, w.Host(), false)
	return true
}

// giveUpFraction is a fraction of the expected time that a request still takes. A started
// request with less time left than that is abandoned between two steps, because it is very
// unlikely to meet its deadline.
const giveUpFraction = 0.5

// advance moves a request to its next step.
func (r *Runner) advance(now time.Time, req *activeRequest) {
	r.transition(req, stepDone)
	req.stage++
	req.stepAttempts, req.failedWorkers, req.nextToken = 0, nil, 0
	timeLeft := req.spec.Deadline.Sub(now)
	expected := req.expectedTimeLeft(now)
	if r.config.EarlyRefusal && float64(timeLeft) < giveUpFraction*float64(expected) {
		r.end(now, req, Answer{Outcome: wire.Unknown, Reason: ReasonTooLate, RetryAfter: minRetryAfter})
		return
	}
	r.enqueue(now, req)
}

func (r *Runner) callerDisconnected(now time.Time, id string) {
	req := r.requests[id]
	if req == nil || req.step().AtMostOnce {
		return
	}
	r.end(now, req, req.failureAnswer(ReasonCallerLeft))
}

// end answers a request, cancels its attempts and dispatches queued steps to the
// capacity that becomes free.
func (r *Runner) end(now time.Time, req *activeRequest, answer Answer) {
	r.transition(req, requestEnded)
	answer.Request = req.spec.ID
	answer.Dispatched = req.sentAttempts > 0
	answer.Work = req.work
	switch answer.Outcome {
	case wire.Done:
		r.counts.Done++
		for _, p := range req.pools {
			p.shares.recordServed(now)
		}
	case wire.NotRun:
		r.counts.NotRun++
	default:
		r.counts.Unknown++
	}
	delete(r.requests, req.spec.ID)
	cancelled := append([]attempt(nil), req.attempts...)
	r.cancelAttempts(now, req)
	r.emit(answer)
	for _, a := range cancelled {
		r.dispatch(now, r.pool(a.worker.Pool))
	}
}

// transition changes the status of a request. The state machine lists every transition
// that the package makes, so an error is a bug in the package.
func (r *Runner) transition(req *activeRequest, event requestEvent) {
	next, err := requestMachine.Next(req.status, event)
	if err != nil {
		panic(err)
	}
	req.status = next
}

// runTimers handles the timers that are due.
func (r *Runner) runTimers(now time.Time) {
	for {
		t, ok := r.timers.Pop(now)
		if !ok {
			return
		}
		if t.kind == timerQueue {
			p := r.pool(t.pool)
			p.queueTimerSet = false
			r.dispatch(now, p)
			continue
		}
		req := r.requests[t.ref.Request]
		if req == nil {
			continue
		}
		switch t.kind {
		case timerCheck:
			if t.due.Equal(req.nextCheck) {
				r.checkTimeouts(now, req)
			}
		case timerHedge:
			r.hedge(now, req, t.ref)
		}
	}
}

// Refresh dispatches queued steps after the workers or their loads have changed, and
// ends requests whose pool has no workers left. It returns effects as Step does.
func (r *Runner) Refresh(now time.Time) []Effect {
	r.effects = r.effects[:0]
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		if p := r.pools[name]; p.queueLen() > 0 {
			r.dispatch(now, p)
		}
	}
	return r.effects
}
