package batch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"teaselplank/fleet"
)

// never is a slowness with which a call does not end in a test.
const never = 1000

// end ends a call of the harness now.
func (h *harness) end(c Call, failure Failure) {
	h.t.Helper()
	for i, running := range h.calls {
		if running.call.Number == c.Number {
			h.calls = append(h.calls[:i], h.calls[i+1:]...)
			break
		}
	}
	if failure != NoFailure {
		h.step(CallEnded{Call: c.Number, Failure: failure})
		return
	}
	h.step(h.outcome(c))
}

// runUntilCalls runs until a number of calls were sent.
func (h *harness) runUntilCalls(count int) {
	h.t.Helper()
	for end := h.now.Add(5 * time.Second); len(h.sent) < count; h.run(5 * time.Millisecond) {
		if h.now.After(end) {
			h.t.Fatalf("%d calls were sent, want %d", len(h.sent), count)
		}
	}
}

// wantWorker checks which worker has the results of a job.
func (h *harness) wantWorker(ref Ref, c Call) {
	h.t.Helper()
	for _, r := range h.done[ref] {
		if r.Addr != c.Worker.Addr {
			h.t.Errorf("result of %v is at %s, want %s", ref, r.Addr, c.Worker.Addr)
		}
	}
}

// wantFreed checks how many results were freed, and that no memory counts as used once
// those of the jobs that are done have been released.
func (h *harness) wantFreed(count int) {
	h.t.Helper()
	h.run(50 * time.Millisecond)
	if h.freed != count {
		h.t.Errorf("%d results were freed, want %d", h.freed, count)
	}
	h.releaseAll()
	h.run(50 * time.Millisecond)
	for _, w := range h.scheduler.pools["s"].workers {
		if w.usedBytes != 0 || w.reservedBytes != 0 {
			h.t.Errorf("worker %s has %d bytes used and %d reserved, want none", w.upstream.ID, w.usedBytes, w.reservedBytes)
		}
	}
}

// newOverdueHarness returns a harness with a job of two pieces in two calls: one that is
// overdue and never ends by itself, and a second one at another worker.
func newOverdueHarness(t *testing.T) (h *harness, ref Ref, first, second Call) {
	t.Helper()
	h = newHarness(t, "a1", "a2")
	h.slow["a1"], h.slow["a2"] = never, never
	ref = h.submit("r", "a", 2, 3*time.Second)
	h.runUntilCalls(2)
	first, second = h.sent[0], h.sent[1]
	if first.Worker.ID == second.Worker.ID || len(second.Items) != 2 {
		t.Fatalf("second call has %d pieces at %s, want both pieces at another worker", len(second.Items), second.Worker.ID)
	}
	return h, ref, first, second
}

// The first result of a piece at two workers is used, and the second one freed.
func TestResultLostOrDoubledByOverdueCall(t *testing.T) {
	t.Run("second worker ends first", func(t *testing.T) {
		h, ref, first, second := newOverdueHarness(t)
		h.end(second, NoFailure)
		h.wantDone(ref, 2)
		h.wantWorker(ref, second)
		h.end(first, NoFailure)
		h.wantFreed(2)
	})
	t.Run("first worker ends first", func(t *testing.T) {
		h, ref, first, second := newOverdueHarness(t)
		h.end(first, NoFailure)
		h.wantDone(ref, 2)
		h.wantWorker(ref, first)
		h.end(second, NoFailure)
		h.wantFreed(2)
	})
	t.Run("first worker ends before there is a second", func(t *testing.T) {
		h := newHarness(t, "a1")
		h.slow["a1"] = 7
		ref := h.submit("r", "a", 2, 3*time.Second)
		h.run(3 * time.Second)
		h.wantDone(ref, 2)
		h.wantCalls(1)
		h.wantFreed(0)
	})
	t.Run("each worker has one of the pieces", func(t *testing.T) {
		h, ref, first, second := newOverdueHarness(t)
		h.step(CallEnded{Call: first.Number, Outcomes: []Outcome{{Handle: "first"}, {Failure: Errored}}})
		h.step(CallEnded{Call: second.Number, Outcomes: []Outcome{{Failure: Errored}, {Handle: "second"}}})
		h.wantDone(ref, 2)
		h.wantCalls(2)
	})
	t.Run("job is withdrawn", func(t *testing.T) {
		h, ref, first, second := newOverdueHarness(t)
		h.step(Withdraw{Ref: ref})
		h.end(second, NoFailure)
		h.end(first, NoFailure)
		h.wantFreed(4)
	})
	t.Run("job is submitted again", func(t *testing.T) {
		h, ref, first, second := newOverdueHarness(t)
		h.slow["a1"], h.slow["a2"] = 1, 1
		h.submit("r", "a", 2, 3*time.Second)
		h.end(second, NoFailure)
		h.end(first, NoFailure)
		h.run(2 * time.Second)
		h.wantDone(ref, 2)
		h.wantFreed(4)
	})
	t.Run("owner leaves", func(t *testing.T) {
		h, ref, first, second := newOverdueHarness(t)
		h.step(Drain{})
		h.end(second, NoFailure)
		h.end(first, NoFailure)
		h.wantDone(ref, 2)
		h.wantFreed(2)
	})
	t.Run("owner closes", func(t *testing.T) {
		h, ref, first, second := newOverdueHarness(t)
		h.step(Close{})
		h.wantRefused(ref, ReasonNotOwner)
		h.end(second, NoFailure)
		h.end(first, NoFailure)
		h.wantFreed(4)
	})
	t.Run("first worker is removed", func(t *testing.T) {
		h, ref, first, second := newOverdueHarness(t)
		h.step(SetWorkers{Services: []fleet.Service{{Name: "s", Batch: &testBatch}}, Upstreams: upstreams("a1", "a2")[1:]})
		h.end(first, ConnectionFailed)
		h.end(second, NoFailure)
		h.wantDone(ref, 2)
		h.wantFreed(0)
	})
	t.Run("first worker is restarted", func(t *testing.T) {
		h, ref, first, second := newOverdueHarness(t)
		list := upstreams("a1", "a2")
		list[0].Born = 1
		h.step(SetWorkers{Services: []fleet.Service{{Name: "s", Batch: &testBatch}}, Upstreams: list})
		h.end(first, ConnectionFailed)
		if w := h.scheduler.worker(first.Worker.ID); w.health.HasFailed() {
			t.Error("the new process has the failure of the old one")
		}
		h.end(second, NoFailure)
		h.wantDone(ref, 2)
		h.wantFreed(0)
	})
}

// A failure of the second call must not refuse a job that the first worker still does.
func TestJobLostToSecondAttempt(t *testing.T) {
	for _, failure := range []Failure{Full, Unreachable, ConnectTimeout, ConnectionFailed} {
		t.Run(string(failure), func(t *testing.T) {
			h, ref, first, second := newOverdueHarness(t)
			h.end(second, failure)
			h.run(100 * time.Millisecond)
			h.end(first, NoFailure)
			h.wantDone(ref, 2)
		})
	}
	for _, failure := range []PieceFailure{Expired, InputLost, NoRoom, Errored} {
		t.Run(string(failure), func(t *testing.T) {
			h, ref, first, second := newOverdueHarness(t)
			h.step(CallEnded{Call: second.Number, Outcomes: []Outcome{{Failure: failure}, {Failure: failure}}})
			h.run(100 * time.Millisecond)
			h.end(first, NoFailure)
			h.wantDone(ref, 2)
		})
	}
	t.Run("too many failures", func(t *testing.T) {
		h, ref, first, second := newOverdueHarness(t)
		h.slow["a2"] = 1
		h.failure["a2"] = ConnectionFailed
		h.end(second, ConnectionFailed)
		h.run(4 * time.Second)
		h.wantRefused(ref, "")
		h.end(first, NoFailure)
		h.wantDone(ref, 2)
	})
	t.Run("both fail", func(t *testing.T) {
		h, ref, first, second := newOverdueHarness(t)
		h.step(CallEnded{Call: second.Number, Outcomes: []Outcome{{Failure: InputLost}, {Failure: InputLost}}})
		h.step(CallEnded{Call: first.Number, Outcomes: []Outcome{{Failure: InputLost}, {Failure: InputLost}}})
		h.wantRefused(ref, ReasonInputLost)
	})
}

// Silences must cost few second calls.
func TestPiecesRepeatedWithoutEnd(t *testing.T) {
	t.Run("all workers are silent", func(t *testing.T) {
		h := newHarness(t, "a1", "a2", "a3")
		h.slow["a1"], h.slow["a2"], h.slow["a3"] = never, never, never
		h.submit("r", "a", 1, 5*time.Second)
		h.run(5 * time.Second)
		h.wantCalls(2)
	})
	t.Run("first call fails while the second runs", func(t *testing.T) {
		h, ref, first, second := newOverdueHarness(t)
		h.end(first, ConnectionFailed)
		h.run(time.Second)
		h.end(second, NoFailure)
		h.wantDone(ref, 2)
		h.wantCalls(2)
	})
	t.Run("first call fails before there is a second", func(t *testing.T) {
		h := newHarness(t, "a1")
		h.slow["a1"], h.slow["a2"] = never, 4
		ref := h.submit("r", "a", 1, 5*time.Second)
		h.run(1400 * time.Millisecond)
		h.end(h.sent[0], ConnectionFailed)
		h.step(SetWorkers{Services: []fleet.Service{{Name: "s", Batch: &testBatch}}, Upstreams: upstreams("a1", "a2")})
		h.run(time.Second)
		h.wantDone(ref, 1)
		h.wantCalls(2)
		if got := len(h.sent[1].Items); got != 1 {
			t.Errorf("%d pieces were sent for one", got)
		}
	})
	t.Run("job is withdrawn before its call is overdue", func(t *testing.T) {
		h := newHarness(t, "a1", "a2")
		h.slow["a1"] = never
		h.step(Withdraw{Ref: h.submit("r", "a", 1, 3*time.Second)})
		h.run(3 * time.Second)
		h.wantCalls(1)
	})
	t.Run("second worker would be too late", func(t *testing.T) {
		h := newHarness(t, "a1", "a2")
		h.slow["a1"] = 1480.0 / 210
		due := h.now.Add(1500 * time.Millisecond)
		ref := Ref{Request: "r"}
		h.step(Submit{Job: Job{Ref: ref, Service: "s", Pieces: 1, ResultBytes: 10, Key: "k", Zone: "a", Due: due, StagesDue: due, Deadline: due}})
		h.run(2 * time.Second)
		h.wantDone(ref, 1)
		h.wantCalls(1)
	})
	t.Run("inputs were freed", func(t *testing.T) {
		h := newHarness(t, "a1", "a2", "a3")
		h.scheduler.worker("a3").addResult(h.now, "input", 900)
		h.slow["a1"], h.slow["a2"] = never, never
		due := h.now.Add(3 * time.Second)
		h.step(Submit{Job: Job{Ref: Ref{Request: "r"}, Service: "s", Pieces: 1, ResultBytes: 10, Inputs: []string{"input"}, SoleConsumer: true,
			Started: true, Zone: "a", Due: due, StagesDue: due, Deadline: due}})
		h.run(2 * time.Second)
		h.wantCalls(1)
	})
}

// The call of a silent worker must stay open until the last of its jobs can end.
func TestTimeoutOfCall(t *testing.T) {
	h := newHarness(t, "a1")
	h.submit("busy", "a", 1, 5*time.Second)
	h.submit("first", "a", 1, 5*time.Second)
	h.run(100 * time.Millisecond)
	h.submit("last", "a", 1, 5*time.Second)
	h.run(300 * time.Millisecond)
	last := h.sent[1]
	if want := last.Items[1].TimeLeft; len(last.Items) != 2 || last.Timeout != want {
		t.Errorf("call of %d jobs has a timeout of %s, want %s", len(last.Items), last.Timeout, want)
	}
	t.Run("end of the timeout", func(t *testing.T) {
		h := newHarness(t, "a1")
		h.slow["a1"] = never
		ref := h.submit("r", "a", 1, 5*time.Second)
		h.run(h.sent[0].Timeout)
		h.wantRefused(ref, "")
		for _, c := range h.sent {
			h.end(c, ConnectionFailed)
		}
		h.wantRefused(ref, ReasonLate)
	})
}

// A worker with an overdue call gets a probe besides, and no further calls until it
// answers.
func TestSilentWorkerIsSentCallsWithoutEnd(t *testing.T) {
	for _, slots := range []int{1, 2} {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			h := newHarness(t)
			wide := testBatch
			wide.MaxRunning = slots
			h.step(SetWorkers{Services: []fleet.Service{{Name: "s", Batch: &wide}}, Upstreams: upstreams("a1", "a2")})
			h.slow["a1"] = never
			for i := range 100 {
				h.submit(fmt.Sprint(i), "a", 1, 2*time.Second)
				h.run(100 * time.Millisecond)
				h.releaseAll()
			}
			silent := 0
			for _, c := range h.sent {
				if c.Worker.ID == "a1" {
					silent++
				}
			}
			if silent > slots+1 {
				t.Errorf("silent worker was sent %d calls, want %d at most", silent, slots+1)
			}
			h.run(2 * time.Second)
			if len(h.done) != 100 {
				t.Errorf("%d jobs are done, want all 100", len(h.done))
			}
		})
	}
}

// A job must be refused at once while its only worker answers neither a call nor a probe.
func TestJobAdmittedToSilentWorker(t *testing.T) {
	h := newHarness(t, "a1")
	h.slow["a1"] = never
	h.submit("first", "a", 1, 5*time.Second)
	h.submit("probe", "a", 1, 5*time.Second)
	h.run(4 * time.Second)
	h.wantCalls(2)
	h.wantRefused(h.submit("next", "a", 1, 5*time.Second), ReasonNoWorker)
	h.end(h.sent[0], NoFailure)
	h.wantRefused(h.submit("later", "a", 1, 5*time.Second), "")
}

// A call whose connection is lost must not keep its worker from work when the worker
// answers another call.
func TestWorkerLostToSilentConnection(t *testing.T) {
	h := newHarness(t, "a1")
	h.slow["a1"] = never
	ref := h.submit("r", "a", 1, 5*time.Second)
	h.slow["a1"] = 1
	h.run(2 * time.Second)
	h.wantDone(ref, 1)
	h.wantCalls(2)
	next := h.submit("next", "a", 1, time.Second)
	h.run(time.Second)
	h.wantDone(next, 1)
	h.wantCalls(3)
	t.Run("both calls of a piece are lost", func(t *testing.T) {
		h, ref, _, _ := newOverdueHarness(t)
		h.slow["a1"], h.slow["a2"] = 1, 1
		for i := range 30 {
			h.submit(fmt.Sprint(i), "a", 1, 3*time.Second)
			h.run(100 * time.Millisecond)
		}
		h.wantDone(ref, 2)
	})
	t.Run("answers in another order", func(t *testing.T) {
		h := newHarness(t, "a1")
		h.slow["a1"] = never
		first, probe := h.submit("first", "a", 2, 5*time.Second), h.submit("probe", "a", 1, 5*time.Second)
		h.runUntilCalls(2)
		h.end(h.sent[1], NoFailure)
		h.run(20 * time.Millisecond)
		h.end(h.sent[0], NoFailure)
		h.run(time.Second)
		h.wantDone(first, 2)
		h.wantDone(probe, 1)
		h.wantCalls(2)
	})
}

// A worker that was silent once must be used like before.
func TestSilenceCountsAgainstWorker(t *testing.T) {
	t.Run("calls during one silence are one failure", func(t *testing.T) {
		h := newHarness(t)
		wide := testBatch
		wide.MaxRunning = 2
		h.step(SetWorkers{Services: []fleet.Service{{Name: "s", Batch: &wide}}, Upstreams: upstreams("a1")})
		h.slow["a1"] = never
		h.submit("first", "a", 1, 5*time.Second)
		h.run(50 * time.Millisecond)
		h.submit("second", "a", 1, 5*time.Second)
		h.run(1310 * time.Millisecond)
		w := h.scheduler.worker("a1")
		if got := w.overdueCalls(); got != 2 {
			t.Errorf("%d calls are overdue, want 2", got)
		}
		if left := w.health.SuspectUntil().Sub(h.now); left > backoff.Min {
			t.Errorf("worker is suspect for %s, want %s at most", left, backoff.Min)
		}
		h.end(h.sent[0], ConnectionFailed)
		if left := w.health.SuspectUntil().Sub(h.now); left > backoff.Min {
			t.Errorf("worker is suspect for %s after its overdue call has failed, want %s at most", left, backoff.Min)
		}
	})
	t.Run("others in its zone", func(t *testing.T) {
		h := newHarness(t, "a1", "a2")
		h.slow["a1"] = never
		h.submit("r", "a", 1, 5*time.Second)
		h.run(1320 * time.Millisecond)
		if !h.scheduler.worker("a2").usable(h.now) {
			t.Error("a worker without calls is not usable")
		}
	})
	t.Run("after it went on", func(t *testing.T) {
		h := newHarness(t, "a1")
		h.slow["a1"] = never
		h.submit("r", "a", 1, 5*time.Second)
		h.run(1400 * time.Millisecond)
		h.slow["a1"] = 1
		h.end(h.sent[0], NoFailure)
		w := h.scheduler.worker("a1")
		if !w.usable(h.now) || w.slowness != 1 {
			t.Errorf("worker is usable: %v, slowness %v; want it usable and not slow", w.usable(h.now), w.slowness)
		}
		h.submit("next", "a", 5, 5*time.Second)
		h.run(time.Second)
		if h.wantCalls(3); len(h.sent[1].Items) != 1 {
			t.Errorf("worker was sent %d pieces at first, want a probe", len(h.sent[1].Items))
		}
	})
}

// A ledger follows each result of a scheduler's workers to its end.
type resultLedger struct {
	t       *testing.T
	random  *rand.Rand
	s       Scheduler
	now     time.Time
	running []runningCall
	made    int
	// open holds the results that were neither freed nor given to a job.
	open map[string]bool
	// jobs maps the jobs that have not ended to their number of pieces.
	jobs map[Ref]int
	done int
}

func (l *resultLedger) step(e Event) {
	var next []Event
	for _, effect := range l.s.Step(l.now, e) {
		switch effect := effect.(type) {
		case Call:
			l.running = append(l.running, runningCall{effect, l.now.Add(min(l.duration(len(effect.Items)), effect.Timeout))})
		case Free:
			for _, handle := range effect.Handles {
				l.take(handle)
			}
			next = append(next, FreeEnded{Worker: effect.Worker.ID, Handles: effect.Handles, OK: true})
		case Done:
			l.end(effect.Ref)
			l.done++
			for i, r := range effect.Results {
				l.take(r.Handle)
				if want := fmt.Sprintf("%s/%d/", effect.Ref.Request, i); !strings.HasPrefix(r.Handle, want) {
					l.t.Errorf("piece %d of %v got the result %q", i, effect.Ref, r.Handle)
				}
				// Its consumer releases it.
				l.open[r.Handle] = true
			}
			next = append(next, Release{Results: effect.Results})
		case Refused:
			l.end(effect.Ref)
		}
	}
	for _, e := range next {
		l.step(e)
	}
}

// duration returns how long a call takes: a fifth of them meet a silence of up to 4 s.
func (l *resultLedger) duration(pieces int) time.Duration {
	took := callTime(testBatch, pieces)
	if l.random.IntN(5) == 0 {
		took += time.Duration(l.random.Int64N(int64(4 * time.Second)))
	}
	return took
}

func (l *resultLedger) take(handle string) {
	if !l.open[handle] {
		l.t.Errorf("result %q is used or freed twice, or does not exist", handle)
	}
	delete(l.open, handle)
}

func (l *resultLedger) end(ref Ref) {
	if l.jobs[ref] == 0 {
		l.t.Errorf("job %v ends twice", ref)
	}
	delete(l.jobs, ref)
}

func (l *resultLedger) outcome(c runningCall) Event {
	ended := CallEnded{Call: c.call.Number}
	if l.random.IntN(10) == 0 {
		ended.Failure = []Failure{Full, Unreachable, ConnectionFailed}[l.random.IntN(3)]
		return ended
	}
	for _, item := range c.call.Items {
		if l.random.IntN(20) == 0 {
			ended.Outcomes = append(ended.Outcomes, Outcome{Failure: []PieceFailure{Errored, NoRoom, InputLost, Expired}[l.random.IntN(4)]})
			continue
		}
		l.made++
		handle := fmt.Sprintf("%s/%d/%d", item.Ref.Request, item.Piece, l.made)
		l.open[handle] = true
		ended.Outcomes = append(ended.Outcomes, Outcome{Handle: handle})
	}
	return ended
}

func (l *resultLedger) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(5 * time.Millisecond)
		ended := l.running
		l.running = nil
		for _, c := range ended {
			if c.endsAt.After(l.now) {
				l.running = append(l.running, c)
				continue
			}
			l.step(l.outcome(c))
		}
		l.step(Tick{})
	}
}

// Whatever is silent, fails or is withdrawn: each job ends once with the results of its own
// pieces, and each other result is freed once.
func TestResultsAmongSilences(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			l := &resultLedger{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, open: make(map[string]bool), jobs: make(map[Ref]int)}
			wide := testBatch
			wide.MaxRunning = 1 + int(seed%2)
			l.step(SetWorkers{Services: []fleet.Service{{Name: "s", Batch: &wide}}, Upstreams: upstreams("a1", "a2", "a3", "b1")})
			for i := range 100 {
				ref := Ref{Request: fmt.Sprint(i)}
				l.jobs[ref] = 1 + l.random.IntN(4)
				due := l.now.Add(time.Second + time.Duration(l.random.Int64N(int64(4*time.Second))))
				l.step(Submit{Job: Job{Ref: ref, Service: "s", Pieces: l.jobs[ref], ResultBytes: 10, Key: "k", Zone: "a", Due: due, StagesDue: due, Deadline: due}})
				l.run(time.Duration(l.random.IntN(150)) * time.Millisecond)
				if withdrawn := (Ref{Request: fmt.Sprint(l.random.IntN(100))}); l.jobs[withdrawn] > 0 && l.random.IntN(4) == 0 {
					delete(l.jobs, withdrawn)
					l.step(Withdraw{Ref: withdrawn})
				}
			}
			l.run(12 * time.Second)
			if len(l.jobs) > 0 || l.s.Len() > 0 {
				t.Errorf("jobs %v have not ended; the scheduler has %d", l.jobs, l.s.Len())
			}
			if len(l.open) > 0 {
				t.Errorf("results %v were neither used nor freed", l.open)
			}
			if l.done < 30 {
				t.Errorf("%d jobs of 100 were done, want 30 or more", l.done)
			}
			for _, w := range l.s.pools["s"].workers {
				if len(w.calls) > 0 || w.reservedBytes != 0 {
					t.Errorf("worker %s has %d calls and %d bytes reserved, want none", w.upstream.ID, len(w.calls), w.reservedBytes)
				}
			}
		})
	}
}
