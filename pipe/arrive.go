package pipe

import (
	"time"

	"teaselplank/wire"
)

// submit takes a request, or refuses it before it costs anything.
func (r *Runner) submit(now time.Time, q Request) {
	r.counts.Submitted++
	run := &running{request: q, pools: r.poolsOf(q), status: queued, input: q.Input}
	for _, p := range run.pools {
		p.shares.arrive(now, q.Account)
	}
	if reason, wait := r.refusal(now, run); reason != "" {
		r.refuse(q, reason, wait)
		return
	}
	r.requests[q.ID] = run
	r.enter(now, run)
	r.arm(run)
}

// refusal returns why a request is not taken, and when to come back.
func (r *Runner) refusal(now time.Time, run *running) (Reason, time.Duration) {
	q, first := run.request, run.pools[0]
	wait := first.expectedWait(now)
	if !now.Before(q.Deadline) {
		return ReasonDeadline, 0
	}
	for _, s := range q.Steps {
		if !r.table.Serves(s.Pool) {
			return ReasonNoWorker, noWorkerPause
		}
	}
	if first.fair.Len() >= r.config.MaxQueue {
		return ReasonFull, wait
	}
	if r.config.Admission && !r.admitted(now, run) {
		return ReasonShare, sharePause
	}
	if r.config.Early && now.Add(run.remaining(now)).After(q.Deadline) {
		return ReasonTooLate, wait
	}
	return "", 0
}

// admitted reports whether the request's account may use all of its pools now.
func (r *Runner) admitted(now time.Time, run *running) bool {
	for _, p := range run.pools {
		if !p.shares.admit(now, run.request.Account, r.weights) {
			return false
		}
	}
	return true
}

// What callers are told to wait where the queue does not tell, and the bounds
// of it where it does.
const (
	noWorkerPause = 2 * time.Second
	sharePause    = time.Second
	minPause      = 200 * time.Millisecond
	maxPause      = 10 * time.Second
)

func (r *Runner) refuse(q Request, reason Reason, wait time.Duration) {
	r.counts.Refused++
	r.counts.NotRun++
	switch reason {
	case ReasonShare:
		r.counts.RefusedShare++
	case ReasonTooLate:
		r.counts.RefusedLate++
	}
	pause := min(max(wait, minPause), maxPause)
	r.emit(Answer{Request: q.ID, Outcome: wire.NotRun, Reason: reason, RetryAfter: pause})
}

// poolsOf returns the pool of each step.
func (r *Runner) poolsOf(q Request) []*pool {
	pools := make([]*pool, len(q.Steps))
	for i, s := range q.Steps {
		pools[i] = r.pool(s.Pool)
		pools[i].stream = s.Stream
	}
	return pools
}

// remaining estimates how long a request still takes from its stage on: what is
// usual of each stage, and the waiting.
func (run *running) remaining(now time.Time) time.Duration {
	total := run.usual()
	for _, p := range run.pools[run.stage:] {
		total += p.expectedWait(now)
	}
	return total
}

// usual is how long a request usually takes from its stage on without waiting.
func (run *running) usual() time.Duration {
	var total time.Duration
	tokens := run.tokens
	for i := run.stage; i < len(run.pools); i++ {
		p := run.pools[i]
		if !p.latency.known {
			continue
		}
		usual := p.latency.p50
		if run.request.Steps[i].Stream {
			usual = p.first.p50 + usual*time.Duration(max(run.request.Tokens-tokens, 0))
			tokens = 0
		}
		total += usual
	}
	return total
}

// expectedWait estimates how long a step that enters the queue stands in it.
func (p *pool) expectedWait(now time.Time) time.Duration {
	waiting := p.fair.Len() + len(p.urgent)
	if waiting == 0 {
		return 0
	}
	rate := p.rate.value(now)
	if rate <= 0 {
		return p.wait
	}
	return time.Duration(float64(waiting) / rate * float64(time.Second))
}
