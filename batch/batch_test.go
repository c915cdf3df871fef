package batch

import (
	"fmt"
	"testing"
	"time"

	"teaselplank/fleet"
)

// Requests that arrive while a worker is busy must share its next call.
func TestPiecesShareCalls(t *testing.T) {
	h := newHarness(t, "a1")
	first := h.submit("first", "a", 1, time.Second)
	var rest []Ref
	for i := range 4 {
		rest = append(rest, h.submit(fmt.Sprint(i), "a", 2, time.Second))
	}
	h.run(time.Second)
	h.wantDone(first, 1)
	for _, ref := range rest {
		h.wantDone(ref, 2)
	}
	h.wantCalls(2)
}

// A job with more pieces than fit into a call takes several calls and ends once, with a
// distinct result for each piece.
func TestLargeJob(t *testing.T) {
	h := newHarness(t, "a1", "a2")
	ref := h.submit("large", "a", 25, 3*time.Second)
	h.run(2 * time.Second)
	h.wantDone(ref, 25)
	seen := make(map[string]bool)
	for _, result := range h.done[ref] {
		if seen[result.Handle] {
			t.Errorf("result %q appears twice", result.Handle)
		}
		seen[result.Handle] = true
	}
}

// Under overload, the jobs that cannot be done in time are refused with a retry time,
// and the workers' capacity is still used for the others.
func TestOverload(t *testing.T) {
	h := newHarness(t, "a1", "b1")
	const due = 800 * time.Millisecond
	var refs []Ref
	submitted := make(map[Ref]time.Time)
	for i := range 400 {
		ref := h.submit(fmt.Sprint(i), []string{"a", "b"}[i%2], 3, due)
		refs = append(refs, ref)
		submitted[ref] = h.now
		h.run(10 * time.Millisecond)
		h.releaseAll()
	}
	h.run(2 * time.Second)
	done, withoutRetry := 0, 0
	for _, ref := range refs {
		if h.done[ref] != nil {
			done++
		} else if h.refused[ref].RetryAfter <= 0 {
			withoutRetry++
		}
	}
	// Two workers each do 10 pieces in 300 ms: in 4 s that is 266 pieces, or 88 jobs.
	// At least nine tenths of these must be done.
	if done < 80 {
		t.Errorf("%d jobs were done, want 80 or more", done)
	}
	if withoutRetry > 0 {
		t.Errorf("%d jobs were refused without a retry time", withoutRetry)
	}
}

// When the worker in a job's own zone is busy, the job waits for it if the wait is
// short, and runs in another zone otherwise.
func TestCrossing(t *testing.T) {
	t.Run("short wait", func(t *testing.T) {
		h := newHarness(t, "a1", "b1")
		h.submit("first", "a", 1, time.Second)
		h.run(150 * time.Millisecond)
		second := h.submit("second", "a", 1, time.Second)
		h.run(time.Second)
		if zone := h.done[second][0].Zone; zone != "a" {
			t.Errorf("job ran in zone %q, want %q", zone, "a")
		}
	})
	t.Run("long wait", func(t *testing.T) {
		h := newHarness(t, "a1", "b1")
		h.submit("first", "a", 10, time.Second)
		second := h.submit("second", "a", 1, time.Second)
		h.run(time.Second)
		if zone := h.done[second][0].Zone; zone != "b" {
			t.Errorf("job ran in zone %q, want %q", zone, "b")
		}
	})
	t.Run("no worker in own zone", func(t *testing.T) {
		h := newHarness(t, "b1")
		ref := h.submit("job", "a", 1, time.Second)
		h.run(time.Second)
		h.wantDone(ref, 1)
	})
}

// Results that are not freed fill a worker's memory. The worker must not get more pieces
// than it has memory for.
func TestResultMemory(t *testing.T) {
	h := newHarness(t, "a1")
	for i := range 12 {
		h.submit(fmt.Sprint(i), "a", 10, 20*time.Second)
		h.run(320 * time.Millisecond)
	}
	sent := 0
	for _, c := range h.sent {
		sent += len(c.Items)
	}
	if want := 92; sent > want {
		t.Errorf("%d pieces were sent to a worker with memory for %d", sent, want)
	}
	// Freed results make memory available again.
	h.releaseAll()
	h.run(time.Second)
	more := 0
	for _, c := range h.sent {
		more += len(c.Items)
	}
	if more <= sent {
		t.Errorf("%d pieces were sent after results were freed, want more than %d", more, sent)
	}
}

// The failure of a worker must cost a retry, not the job.
func TestWorkerFailures(t *testing.T) {
	for _, failure := range []Failure{Full, Unreachable, ConnectionFailed} {
		t.Run(string(failure), func(t *testing.T) {
			h := newHarness(t, "a1", "b1")
			h.failure["a1"] = failure
			ref := h.submit("job", "a", 2, 2*time.Second)
			h.run(2 * time.Second)
			h.wantDone(ref, 2)
		})
	}
	t.Run("slow", func(t *testing.T) {
		h := newHarness(t, "a1", "a2")
		h.slow["a1"] = 6
		for i := range 12 {
			h.submit(fmt.Sprint(i), "a", 1, 2*time.Second)
			h.run(150 * time.Millisecond)
		}
		h.run(3 * time.Second)
		byWorker := make(map[string]int)
		for _, c := range h.sent {
			byWorker[c.Worker.ID]++
		}
		if byWorker["a1"] > 2 {
			t.Errorf("slow worker got %d calls, want 2 at most", byWorker["a1"])
		}
	})
	t.Run("no workers", func(t *testing.T) {
		h := newHarness(t)
		ref := h.submit("job", "a", 1, time.Second)
		h.wantRefused(ref, ReasonNoWorker)
	})
	t.Run("draining", func(t *testing.T) {
		h := newHarness(t, "a1", "a2")
		list := upstreams("a1", "a2")
		list[0].Draining = true
		h.step(SetWorkers{Services: []fleet.Service{{Name: "s", Batch: &testBatch}}, Upstreams: list})
		h.submit("job", "a", 1, time.Second)
		h.run(time.Second)
		for _, c := range h.sent {
			if c.Worker.ID == "a1" {
				t.Errorf("a draining worker got a call")
			}
		}
	})
}

// After a client disconnects, its pending pieces must not be sent, and the results of
// calls in flight must be freed.
func TestWithdraw(t *testing.T) {
	h := newHarness(t, "a1")
	ref := h.submit("job", "a", 2, time.Second)
	waiting := h.submit("waiting", "a", 2, time.Second)
	h.step(Withdraw{Ref: waiting})
	h.step(Withdraw{Ref: ref})
	h.run(time.Second)
	h.wantCalls(1)
	if h.freed != 2 {
		t.Errorf("%d results were freed, want 2", h.freed)
	}
	if h.scheduler.Len() != 0 {
		t.Errorf("%d jobs are left, want none", h.scheduler.Len())
	}
}

// A job with a lost input must end at once, since its request has to run all its stages
// again.
func TestInputGone(t *testing.T) {
	h := newHarness(t, "a1")
	ref := h.submit("job", "a", 2, time.Second)
	h.step(CallEnded{Call: h.sent[0].Number, Outcomes: []Outcome{{Handle: "h"}, {Failure: InputLost}}})
	h.wantRefused(ref, ReasonInputLost)
	h.run(50 * time.Millisecond)
	if h.freed != 1 {
		t.Errorf("%d results were freed, want 1", h.freed)
	}
}

// A request is restarted, and the withdrawal of its previous run arrives after the new
// run was submitted. It must end the previous run only.
func TestWithdrawOfPreviousRun(t *testing.T) {
	h := newHarness(t, "a1")
	h.submit("busy", "a", 1, time.Second)
	job := Job{Ref: Ref{Request: "r"}, Service: "s", Pieces: 1, ResultBytes: 10, Key: "k", Zone: "a",
		Due: h.now.Add(time.Second), StagesDue: h.now.Add(time.Second), Deadline: h.now.Add(time.Second)}
	h.step(Submit{Job: job})
	again := job
	again.Ref.Run = 1
	h.step(Submit{Job: again})
	h.step(Withdraw{Ref: job.Ref})
	h.run(time.Second)
	h.wantDone(again.Ref, 1)
	if h.done[job.Ref] != nil {
		t.Error("the withdrawn run was done as well")
	}
}

// A new configuration removes a stage service while calls to its workers are in flight.
// Their jobs must still end.
func TestServiceIsDropped(t *testing.T) {
	h := newHarness(t, "a1")
	ref := h.submit("job", "a", 1, 2*time.Second)
	h.step(SetWorkers{})
	h.calls = nil
	h.step(CallEnded{Call: 1, Failure: Full})
	h.run(3 * time.Second)
	h.step(Withdraw{Ref: ref})
	if h.scheduler.Len() != 0 {
		t.Errorf("%d jobs are left, want none", h.scheduler.Len())
	}
}

// A worker that asked for a pause must get no call of any kind until the pause is over:
// no pieces, no releases of results and no question for its memory.
func TestPauseOfWorker(t *testing.T) {
	const pause = time.Second
	workers := []fleet.Upstream{{ID: "w", Born: 1, Service: "s", Addr: "w:1", Zone: "a"}}
	var s Scheduler
	s.Step(start, SetWorkers{Services: []fleet.Service{{Name: "s", Batch: &fleet.Batch{
		MaxRunning: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultMemory: 1 << 20, ResultTTL: time.Second,
	}}}, Upstreams: workers})
	s.Step(start, Held{Worker: "w", Born: 1, Until: start.Add(pause)})
	job := Job{Ref: Ref{Request: "r"}, Service: "s", Pieces: 2, Key: "k", Zone: "a",
		Due: start.Add(pause), StagesDue: start.Add(pause), Deadline: start.Add(2 * pause)}
	for _, e := range s.Step(start, Submit{Job: job}) {
		refused, ok := e.(Refused)
		if !ok {
			t.Fatalf("effect %#v during the pause, want only a refusal", e)
		}
		if refused.Reason != ReasonNoWorker || refused.RetryAfter < pause {
			t.Errorf("job is refused for %q with retry after %s, want %q and at least %s", refused.Reason, refused.RetryAfter, ReasonNoWorker, pause)
		}
	}
	if effects := s.Step(start.Add(pause/2), Release{Results: []Result{{Handle: "h", Addr: "w:1"}}}); len(effects) > 0 {
		t.Errorf("effects %#v during the pause, want none", effects)
	}
	after := s.Step(start.Add(pause), Tick{})
	if len(after) != 1 {
		t.Fatalf("effects %#v after the pause, want the release", after)
	}
	if free, ok := after[0].(Free); !ok || len(free.Handles) != 1 {
		t.Errorf("effect %#v after the pause, want the release", after[0])
	}
}

// A worker whose pause is over must get the jobs of its zone again at once, and no job of
// another zone whose own worker is free.
func TestWorkerUnusedAfterPause(t *testing.T) {
	for _, c := range []struct{ paused, zone, want string }{{"a1", "a", "a1"}, {"b1", "b", "b1"}, {"a1", "b", "b1"}, {"b1", "a", "a1"}} {
		t.Run(c.paused+" with jobs of zone "+c.zone, func(t *testing.T) {
			const pause = 1500 * time.Millisecond
			h := newHarness(t, "a1", "b1")
			end := h.now.Add(pause)
			h.step(Held{Worker: c.paused, Until: end})
			for i := 0; h.now.Before(end); i++ {
				h.runJob(fmt.Sprint("during", i), c.zone)
			}
			during := len(h.sent)
			for i := range 5 {
				h.runJob(fmt.Sprint("after", i), c.zone)
			}
			for i, call := range h.sent {
				if i < during && call.Worker.ID == c.paused {
					t.Errorf("call %d is to %s, which is paused", i, c.paused)
				}
				if i >= during && call.Worker.ID != c.want {
					t.Errorf("call %d, after the pause, is to %s, want %s", i, call.Worker.ID, c.want)
				}
			}
			h.wantCalls(during + 5)
		})
	}
}

// A worker process that replaces another under the same id and address starts without the
// failures, the pause, the slowness and the results of the earlier one.
func TestReplacedWorker(t *testing.T) {
	service := fleet.Service{Name: "s", Batch: &fleet.Batch{
		MaxRunning: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultMemory: 1 << 20, ResultTTL: time.Second,
	}}
	set := func(born int64) SetWorkers {
		return SetWorkers{Services: []fleet.Service{service}, Upstreams: []fleet.Upstream{{ID: "w", Born: born, Service: "s", Addr: "w:1", Zone: "a"}}}
	}
	var s Scheduler
	s.Step(start, set(1))
	old := s.worker("w")
	old.slowness = 9
	old.addResult(start, "h", 1<<19)
	old.health.Fail(start, backoff)
	s.Step(start, Held{Worker: "w", Born: 1, Until: start.Add(time.Minute)})
	s.Step(start, set(1))
	if s.worker("w") != old {
		t.Error("the same process lost its state")
	}
	s.Step(start, set(2))
	w := s.worker("w")
	if !w.usable(start) || w.slowness != 1 || w.usedBytes != 0 {
		t.Errorf("new process is usable: %v, slowness %v, %d bytes used; want a fresh state", w.usable(start), w.slowness, w.usedBytes)
	}
}

// An owner that has closed its connections must give up the jobs whose pieces are at
// workers, so that the next owner runs them.
func TestClose(t *testing.T) {
	h := newHarness(t, "a1")
	ref := h.submit("r", "a", 2, time.Second)
	h.step(Close{})
	h.wantRefused(ref, ReasonNotOwner)
	h.wantRefused(h.submit("later", "a", 2, time.Second), ReasonNotOwner)
}

// A draining owner must run a job that no other node runs, until it closes.
func TestLastResort(t *testing.T) {
	h := newHarness(t, "a1")
	submit := func(name string) Ref {
		ref, due := Ref{Request: name}, h.now.Add(time.Second)
		h.step(Submit{Job: Job{Ref: ref, Service: "s", Pieces: 1, ResultBytes: 10, Key: "k", Zone: "a",
			Due: due, StagesDue: due, Deadline: due, LastResort: true}})
		return ref
	}
	h.step(Drain{})
	h.wantRefused(h.submit("other", "a", 1, time.Second), ReasonNotOwner)
	ref := submit("draining")
	h.run(time.Second)
	h.wantDone(ref, 1)
	h.step(Close{})
	h.wantRefused(submit("closed"), ReasonNotOwner)
}

// Workers that do not respond for a moment must not make others of their zone unusable.
func TestSilentWorkerTakesItsZoneAlong(t *testing.T) {
	t.Run("others run the next job", func(t *testing.T) {
		h := newHarness(t, "a1", "a2", "a3")
		h.submit("first", "a", 1, 5*time.Second)
		h.now = h.now.Add(450 * time.Millisecond)
		h.step(CallEnded{Call: h.sent[0].Number, Failure: ConnectTimeout})
		ref := h.submit("second", "a", 1, 5*time.Second)
		if r, refused := h.refused[ref]; refused {
			t.Errorf("job is refused: %q, want it at one of two sound workers", r.Reason)
		}
	})
	t.Run("calls at the same time are one failure", func(t *testing.T) {
		h := newHarness(t, "a1", "a2", "a3", "a4", "a5")
		for i := range 4 {
			h.submit(fmt.Sprint(i), "a", 10, 5*time.Second)
		}
		calls := h.sent
		h.now = h.now.Add(450 * time.Millisecond)
		for _, c := range calls {
			h.step(CallEnded{Call: c.Number, Failure: ConnectTimeout})
		}
		for _, w := range h.scheduler.pools["s"].workers {
			if left := w.health.SuspectUntil().Sub(h.now); left > backoff.Min {
				t.Errorf("worker %s is suspect for %s, want %s at most", w.upstream.ID, left, backoff.Min)
			}
		}
	})
}

// A job whose worker is silent for longer than its call should take must not be refused
// while the worker would still end it in time.
func TestJobLostToSilence(t *testing.T) {
	const silence, left = 1500 * time.Millisecond, 1700 * time.Millisecond
	h := newHarness(t, "a1")
	ref := Ref{Request: "r"}
	deadline := h.now.Add(left)
	h.step(Submit{Job: Job{
		Ref: ref, Service: "s", Pieces: 1, ResultBytes: 10, Key: "k", Zone: "a", Due: deadline, StagesDue: deadline, Deadline: deadline,
	}})
	call := h.sent[0]
	h.calls = nil // The worker is silent.
	if call.Timeout < silence {
		h.run(call.Timeout)
		h.step(CallEnded{Call: call.Number, Failure: ConnectionFailed})
		h.run(silence - call.Timeout)
	} else {
		h.run(silence)
		h.step(h.outcome(call))
	}
	h.run(time.Second)
	h.wantDone(ref, 1)
}
