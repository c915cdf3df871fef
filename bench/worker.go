package bench

import (
	"time"

	"teaselplank/core"
	"teaselplank/pipe"
	"teaselplank/queue"
	"teaselplank/wire"
)

// A worker is a fake upstream: a queue in front of a fixed number of slots. An engine
// generates tokens more slowly the more calls it runs, and a cached prefix saves most of
// the time to the first token.
type worker struct {
	sim     *simulation
	pool    Pool
	host    wire.Host
	index   int
	queue   []*attempt
	running map[pipe.Ref]*attempt
	cache   queue.FIFOMap[string, bool]
	// slowdown multiplies the duration of a call; failureRate is the fraction of
	// calls that fail.
	slowdown    float64
	failureRate float64
	frozen      bool
	// work is the work done so far, in work units.
	work int
	// loads are past loads, newest last.
	loads []timedLoad
}

// A timedLoad is a load and the time at which it was current.
type timedLoad struct {
	at   time.Time
	load wire.Load
}

// An attempt is one attempt of a call at a worker.
type attempt struct {
	node      *node
	call      pipe.Call
	linkDelay time.Duration
	connEpoch int
	started   time.Time
	ended     bool
	work      int
}

// maxCachedPrefixes limits the prefixes that an engine caches.
const maxCachedPrefixes = 6

// Work units of an engine's call: prefillWork for a prompt whose prefix is not cached,
// cachedWork for one whose prefix is, and 1 per tokensPerUnit tokens.
const (
	prefillWork   = 8
	cachedWork    = 2
	tokensPerUnit = 4
)

// workByKind holds the work units of a call to each kind of worker other than an engine.
var workByKind = map[string]int{"encoder": 1, "retriever": 2, "reranker": 3, core.StepService: 1}

func (w *worker) enqueue(a *attempt) {
	if w.running == nil {
		w.running = make(map[pipe.Ref]*attempt)
	}
	w.queue = append(w.queue, a)
	w.startQueued()
	w.recordLoad()
}

// startQueued starts queued attempts while slots are free.
func (w *worker) startQueued() {
	for len(w.queue) > 0 && len(w.running) < w.pool.Slots && !w.frozen {
		a := w.queue[0]
		w.queue = w.queue[1:]
		if a.ended {
			continue
		}
		w.running[a.call.Ref] = a
		a.started = w.sim.now
		if a.call.Step.Stream {
			w.generate(a)
		} else {
			w.serve(a)
		}
	}
}

// sampleDuration returns a random duration around d.
func (w *worker) sampleDuration(d time.Duration) time.Duration {
	noise := 0.7 + 0.6*w.sim.random.Float64()
	if w.sim.random.IntN(50) == 0 {
		noise *= 4 // Models the latency tail of a real host.
	}
	return time.Duration(float64(d) * noise * w.slowdown)
}

func (w *worker) serve(a *attempt) {
	fails := w.sim.random.Float64() < w.failureRate
	w.sim.after(w.sampleDuration(w.pool.MeanTime), func() {
		if !w.finish(a, workByKind[w.pool.Kind]) {
			return
		}
		w.sim.deliver(a, func() {
			if fails {
				w.sim.step(a.node, pipe.Failed{Ref: a.call.Ref, Failure: pipe.UpstreamError, Work: a.work})
				return
			}
			w.sim.step(a.node, pipe.Replied{Ref: a.call.Ref, Output: a.call.Input, Status: 200, Work: a.work})
		})
	})
}

// generate runs a stream: the first token, then progress events, then the end.
func (w *worker) generate(a *attempt) {
	firstToken, work := w.pool.MeanTime, prefillWork
	if _, cached := w.cache.Get(a.call.Prefix); cached && a.call.Prefix != "" {
		firstToken, work = firstToken/4, cachedWork
	} else if a.call.Prefix != "" {
		w.cache.Put(a.call.Prefix, true)
	}
	w.addWork(a, work)
	busyFactor := 1 + 0.6*float64(len(w.running))/float64(w.pool.Slots)
	interval := time.Duration(float64(w.pool.TokenInterval) * busyFactor * w.slowdown)
	w.sim.after(w.sampleDuration(firstToken), func() { w.emitTokens(a, a.call.ResumeFrom, interval) })
}

// tokensPerStep is the number of tokens in a progress event after the first.
const tokensPerStep = 8

func (w *worker) emitTokens(a *attempt, index int, interval time.Duration) {
	if a.ended {
		return
	}
	if w.frozen {
		return
	}
	if index >= a.call.Tokens {
		if w.finish(a, 0) {
			w.sim.deliver(a, func() {
				w.sim.step(a.node, pipe.Replied{Ref: a.call.Ref, Output: a.call.Input, Status: 200, Tokens: index, Work: a.work})
			})
		}
		return
	}
	step := min(tokensPerStep, a.call.Tokens-index)
	w.addWork(a, step/tokensPerUnit)
	nextIndex := index + 1
	if index > a.call.ResumeFrom {
		nextIndex = index + step
	}
	w.sim.deliver(a, func() { w.sim.deliverProgress(a, nextIndex) })
	w.sim.after(time.Duration(nextIndex-index)*interval, func() { w.emitTokens(a, nextIndex, interval) })
}

func (s *simulation) deliverProgress(a *attempt, tokens int) {
	r := s.calls[a.call.Ref.Request]
	if r.firstToken == 0 {
		r.firstToken = s.now.Sub(s.start) - r.arrival.at
	}
	s.step(a.node, pipe.Progress{Ref: a.call.Ref, Tokens: tokens})
}

func (w *worker) addWork(a *attempt, work int) {
	a.work += work
	w.work += work
}

// finish frees the slot of an attempt. It reports whether the attempt was still running.
func (w *worker) finish(a *attempt, work int) bool {
	if a.ended || w.frozen {
		return false
	}
	w.addWork(a, work)
	a.ended = true
	delete(w.running, a.call.Ref)
	w.startQueued()
	w.recordLoad()
	return true
}

// cancel stops an attempt. The work it has done still counts.
func (w *worker) cancel(ref pipe.Ref) {
	if a := w.running[ref]; a != nil {
		a.ended = true
		delete(w.running, ref)
		w.startQueued()
	}
	for _, a := range w.queue {
		if a.call.Ref == ref {
			a.ended = true
		}
	}
	w.recordLoad()
}

func (w *worker) freeze() { w.frozen = true }

// unfreeze resumes the worker without the attempts that were running when it froze: their
// nodes have given up on them.
func (w *worker) unfreeze() {
	w.frozen = false
	for ref, a := range w.running {
		a.ended = true
		delete(w.running, ref)
	}
	w.startQueued()
}

// recordLoad stores the current load, which is reported after the lag.
func (w *worker) recordLoad() {
	queued := 0
	for _, a := range w.queue {
		if !a.ended {
			queued++
		}
	}
	load := wire.Load{Slots: w.pool.Slots, Running: len(w.running), Queued: queued}
	w.loads = append(w.loads, timedLoad{w.sim.now, load})
}

// reportedLoad returns the newest load that is at least as old as the lag.
func (w *worker) reportedLoad() wire.Load {
	cutoff := w.sim.now.Add(-w.sim.loadLag)
	newest := wire.Load{Slots: w.pool.Slots}
	first := 0
	for i, r := range w.loads {
		if r.at.After(cutoff) {
			break
		}
		newest, first = r.load, i
	}
	w.loads = w.loads[first:]
	return newest
}
