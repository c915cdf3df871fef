package bench

import (
	"time"

	"teaselplank/core"
	"teaselplank/pipe"
	"teaselplank/queue"
	"teaselplank/wire"
)

// A worker is a fake upstream: a queue before a number of slots. An engine's
// tokens come slower the more calls it runs, and a prefix that it has cached
// saves most of the time to the first token.
type worker struct {
	world   *world
	pool    Pool
	host    wire.Host
	index   int
	waiting []*job
	running map[pipe.Ref]*job
	cache   queue.FIFOMap[string, bool]
	// slow multiplies the time of a call, fail is the part that fails.
	slow   float64
	fail   float64
	frozen bool
	// work is what it has spent, in work units.
	work int
	// reports are past loads, newest last.
	reports []stamped
}

type stamped struct {
	at   time.Time
	load wire.Load
}

// A job is an attempt at a worker.
type job struct {
	node    *node
	call    pipe.Call
	delay   time.Duration
	silence int
	began   time.Time
	done    bool
	work    int
}

// cachedPrefixes bounds the prefixes that an engine keeps.
const cachedPrefixes = 6

// Work units of a call of each kind; an engine spends prefillWork on a prompt
// whose prefix is not cached, and 1 for tokensPerUnit tokens.
const (
	prefillWork   = 8
	cachedWork    = 2
	tokensPerUnit = 4
)

var kindWork = map[string]int{"encoder": 1, "retriever": 2, "reranker": 3, core.StepService: 1}

func (k *worker) take(j *job) {
	if k.running == nil {
		k.running = make(map[pipe.Ref]*job)
	}
	k.waiting = append(k.waiting, j)
	k.next()
	k.note()
}

// next starts waiting jobs while there are slots.
func (k *worker) next() {
	for len(k.waiting) > 0 && len(k.running) < k.pool.Slots && !k.frozen {
		j := k.waiting[0]
		k.waiting = k.waiting[1:]
		if j.done {
			continue
		}
		k.running[j.call.Ref] = j
		j.began = k.world.now
		if j.call.Step.Stream {
			k.generate(j)
		} else {
			k.serve(j)
		}
	}
}

func (k *worker) stretch(d time.Duration) time.Duration {
	noise := 0.7 + 0.6*k.world.random.Float64()
	if k.world.random.IntN(50) == 0 {
		noise *= 4 // The tail that every real host has.
	}
	return time.Duration(float64(d) * noise * k.slow)
}

func (k *worker) serve(j *job) {
	fails := k.world.random.Float64() < k.fail
	k.world.after(k.stretch(k.pool.Time), func() {
		if !k.finish(j, kindWork[k.pool.Kind]) {
			return
		}
		k.world.send(j, func() {
			if fails {
				k.world.step(j.node, pipe.Failed{Ref: j.call.Ref, Failure: pipe.Faulty, Work: j.work})
				return
			}
			k.world.step(j.node, pipe.Replied{Ref: j.call.Ref, Output: j.call.Input, Status: 200, Work: j.work})
		})
	})
}

// generate runs a stream: the first token, progress from time to time, the end.
func (k *worker) generate(j *job) {
	first, work := k.pool.Time, prefillWork
	if _, cached := k.cache.Get(j.call.Prefix); cached && j.call.Prefix != "" {
		first, work = first/4, cachedWork
	} else if j.call.Prefix != "" {
		k.cache.Put(j.call.Prefix, true)
	}
	k.spend(j, work)
	busy := 1 + 0.6*float64(len(k.running))/float64(k.pool.Slots)
	pace := time.Duration(float64(k.pool.Token) * busy * k.slow)
	k.world.after(k.stretch(first), func() { k.emit(j, j.call.ResumeFrom, pace) })
}

// tokensAStep is how many tokens are sent at a time.
const tokensAStep = 8

func (k *worker) emit(j *job, token int, pace time.Duration) {
	if j.done {
		return
	}
	if k.frozen {
		return
	}
	if token >= j.call.Tokens {
		if k.finish(j, 0) {
			k.world.send(j, func() {
				k.world.step(j.node, pipe.Replied{Ref: j.call.Ref, Output: j.call.Input, Status: 200, Tokens: token, Work: j.work})
			})
		}
		return
	}
	step := min(tokensAStep, j.call.Tokens-token)
	k.spend(j, step/tokensPerUnit)
	next := token + 1
	if token > j.call.ResumeFrom {
		next = token + step
	}
	k.world.send(j, func() { k.world.progress(j, next) })
	k.world.after(time.Duration(next-token)*pace, func() { k.emit(j, next, pace) })
}

func (w *world) progress(j *job, tokens int) {
	r := w.calls[j.call.Ref.Request]
	if r.first == 0 {
		r.first = w.now.Sub(w.start) - r.arrival.at
	}
	w.step(j.node, pipe.Progress{Ref: j.call.Ref, Tokens: tokens})
}

func (k *worker) spend(j *job, work int) {
	j.work += work
	k.work += work
}

// finish frees the job's slot and reports whether the job still ran.
func (k *worker) finish(j *job, work int) bool {
	if j.done || k.frozen {
		return false
	}
	k.spend(j, work)
	j.done = true
	delete(k.running, j.call.Ref)
	k.next()
	k.note()
	return true
}

// cancel stops a job. What it has spent is spent.
func (k *worker) cancel(ref pipe.Ref) {
	if j := k.running[ref]; j != nil {
		j.done = true
		delete(k.running, ref)
		k.next()
	}
	for _, j := range k.waiting {
		if j.call.Ref == ref {
			j.done = true
		}
	}
	k.note()
}

func (k *worker) freeze() { k.frozen = true }

// thaw lets the worker go on; what it ran when it froze has been given up.
func (k *worker) thaw() {
	k.frozen = false
	for ref, j := range k.running {
		j.done = true
		delete(k.running, ref)
	}
	k.next()
}

// note keeps the load, which is reported after the lag.
func (k *worker) note() {
	queued := 0
	for _, j := range k.waiting {
		if !j.done {
			queued++
		}
	}
	load := wire.Load{Slots: k.pool.Slots, Running: len(k.running), Queued: queued}
	k.reports = append(k.reports, stamped{k.world.now, load})
}

// reported returns the newest load that is older than the lag.
func (k *worker) reported() wire.Load {
	horizon := k.world.now.Add(-k.world.loadLag)
	found := wire.Load{Slots: k.pool.Slots}
	kept := 0
	for i, r := range k.reports {
		if r.at.After(horizon) {
			break
		}
		found, kept = r.load, i
	}
	k.reports = k.reports[kept:]
	return found
}
