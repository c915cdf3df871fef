package pipe

import (
	"maps"
	"slices"
	"time"

	"teaselplank/route"
	"teaselplank/wire"
)

// enter lets a request wait for its step's pool.
func (r *Runner) enter(now time.Time, run *running) {
	p := run.pool()
	run.waiting, run.entered = true, now
	account, weight := run.request.Account, run.request.Weight
	if !r.config.Fair {
		account, weight = "", 1
	}
	p.fair.Push(account, weight, run.request.ID)
	r.pump(now, p)
}

// enterAgain lets a request whose attempt failed go first.
func (r *Runner) enterAgain(now time.Time, run *running) {
	p := run.pool()
	run.waiting, run.entered = true, now
	p.urgent = append(p.urgent, run.request.ID)
	r.pump(now, p)
}

func (run *running) pool() *pool { return run.pools[run.stage] }

func (run *running) step() Step { return run.request.Steps[run.stage] }

// queueTick is how often a queue is looked at when nothing else happens.
const queueTick = 20 * time.Millisecond

// pump starts the steps that wait for a pool as long as it has room.
func (r *Runner) pump(now time.Time, p *pool) {
	if !r.table.Serves(p.name) {
		r.endWaiting(now, p)
		return
	}
	for p.waiting() > 0 && r.table.HasRoom(now, p.name, route.Query{Stream: p.stream}) {
		id, ok := p.pop()
		run := r.requests[id]
		if !ok || run == nil || !run.waiting || run.pool() != p {
			continue
		}
		if !r.start(now, p, run) {
			p.urgent = append(p.urgent, id)
			break
		}
	}
	if p.waiting() > 0 && !p.ticking {
		p.ticking = true
		r.timers.Add(now.Add(queueTick), timer{kind: timerQueue, pool: p.name})
	}
}

// endWaiting answers the requests that wait for a pool whose last worker has
// left: nothing is gained by letting them wait.
func (r *Runner) endWaiting(now time.Time, p *pool) {
	for p.waiting() > 0 {
		id, _ := p.pop()
		run := r.requests[id]
		if run == nil || !run.waiting || run.pool() != p {
			continue
		}
		answer := run.failure(ReasonNoWorker)
		answer.RetryAfter = noWorkerPause
		r.end(now, run, answer)
	}
}

func (p *pool) waiting() int { return p.fair.Len() + len(p.urgent) }

func (p *pool) pop() (string, bool) {
	if len(p.urgent) > 0 {
		id := p.urgent[0]
		p.urgent = p.urgent[1:]
		return id, true
	}
	return p.fair.Pop()
}

// waitWeight is the weight of the newest sample in a pool's mean wait.
const waitWeight = 8

// start sends the step of a request, or ends a request that would be late. It
// returns false when no worker has room for the step.
func (r *Runner) start(now time.Time, p *pool, run *running) bool {
	if r.hopeless(now, run) {
		r.end(now, run, run.failure(ReasonTooLate))
		return true
	}
	q := route.Query{Prefix: run.request.Prefix, Avoid: run.avoid, Stream: run.step().Stream}
	if !run.step().Stream {
		q.Prefix = ""
	}
	w := r.table.Begin(now, p.name, q)
	if w == nil {
		q.Avoid = nil
		w = r.table.Begin(now, p.name, q)
	}
	if w == nil {
		return false
	}
	run.waiting = false
	waited := now.Sub(run.entered)
	p.wait += (waited - p.wait) / waitWeight
	p.shares.waited(now, waited, run.request.Deadline.Sub(run.entered))
	if run.tries == 0 {
		p.refill(r.config.RetryPercent)
	}
	r.call(now, p, run, w.Host(), false)
	return true
}

// lateFactor is the part of the usual time below which a request that is under
// way is given up, for then it can hardly make its deadline.
const lateFactor = 0.5

// advance lets a request go on to its next step.
func (r *Runner) advance(now time.Time, run *running) {
	r.move(run, pass)
	run.stage++
	run.tries, run.avoid, run.tokens = 0, nil, 0
	left := run.request.Deadline.Sub(now)
	need := run.remaining(now)
	if r.config.Early && float64(left) < lateFactor*float64(need) {
		r.end(now, run, Answer{Outcome: wire.Unknown, Reason: ReasonTooLate, RetryAfter: minPause})
		return
	}
	r.enter(now, run)
}

func (r *Runner) left(now time.Time, id string) {
	run := r.requests[id]
	if run == nil || run.step().Once {
		return
	}
	r.end(now, run, run.failure(ReasonLeft))
}

// end answers a request and frees what it holds.
func (r *Runner) end(now time.Time, run *running, answer Answer) {
	r.move(run, finish)
	answer.Request = run.request.ID
	answer.Dispatched = run.sent > 0
	answer.Work = run.work
	switch answer.Outcome {
	case wire.Done:
		r.counts.Done++
		for _, p := range run.pools {
			p.shares.serve(now)
		}
	case wire.NotRun:
		r.counts.NotRun++
	default:
		r.counts.Unknown++
	}
	delete(r.requests, run.request.ID)
	held := append([]attempt(nil), run.attempts...)
	r.cancelAll(now, run)
	r.emit(answer)
	for _, a := range held {
		r.pump(now, r.pool(a.worker.Pool))
	}
}

// move changes the state of a request. The table lists every move that the
// package makes, so an error is a fault of the package itself.
func (r *Runner) move(run *running, event input) {
	next, err := machine.Next(run.status, event)
	if err != nil {
		panic(err)
	}
	run.status = next
}

// expire acts on the timers that are due.
func (r *Runner) expire(now time.Time) {
	for {
		t, ok := r.timers.Pop(now)
		if !ok {
			return
		}
		if t.kind == timerQueue {
			p := r.pool(t.pool)
			p.ticking = false
			r.pump(now, p)
			continue
		}
		run := r.requests[t.ref.Request]
		if run == nil {
			continue
		}
		switch t.kind {
		case timerCheck:
			if t.due.Equal(run.armed) {
				r.check(now, run)
			}
		case timerHedge:
			r.hedge(now, run, t.ref)
		}
	}
}

// Refresh starts what waits after the workers or their loads have changed, and
// ends requests whose pool has no workers left. It returns effects like Step.
func (r *Runner) Refresh(now time.Time) []Effect {
	r.effects = r.effects[:0]
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		if p := r.pools[name]; p.waiting() > 0 {
			r.pump(now, p)
		}
	}
	return r.effects
}
