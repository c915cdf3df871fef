package batch

import (
	"fmt"
	"testing"
	"time"

	"teaselplank/fleet"
)

var start = time.Unix(1_800_000_000, 0)

// testBatch is a worker like those of the users: a call costs 200 ms, a piece 10.
var testBatch = fleet.Batch{
	Running: 1, Waiting: 2, MaxItems: 10, CallTime: 200 * time.Millisecond, ItemTime: 10 * time.Millisecond,
	ResultSpace: 1000, ResultLife: 4 * time.Second,
}

// A rig drives a scheduler and plays its workers, whose calls take what they
// should unless slow says otherwise.
type rig struct {
	t     *testing.T
	sched Scheduler
	now   time.Time
	calls []running
	// slow is the slowness of workers by id; failure is how their calls fail.
	slow    map[string]float64
	failure map[string]Failure
	made    int
	done    map[Ref][]Result
	refused map[Ref]Refused
	freed   int
	log     []Call
}

type running struct {
	call Call
	ends time.Time
}

func newRig(t *testing.T, workers ...string) *rig {
	t.Helper()
	r := &rig{
		t: t, now: start, slow: make(map[string]float64), failure: make(map[string]Failure),
		done: make(map[Ref][]Result), refused: make(map[Ref]Refused),
	}
	r.step(Workers{Services: []fleet.Service{{Name: "s", Batch: &testBatch}}, Upstreams: upstreams(workers...)})
	return r
}

// upstreams returns workers that are named zone/name.
func upstreams(names ...string) []fleet.Upstream {
	var list []fleet.Upstream
	for i, name := range names {
		list = append(list, fleet.Upstream{ID: name, Service: "s", Addr: fmt.Sprintf("10.0.0.%d:1", i), Zone: name[:1], Slots: 1})
	}
	return list
}

func (r *rig) step(e Event) {
	var frees []Event
	for _, effect := range r.sched.Step(r.now, e) {
		switch effect := effect.(type) {
		case Call:
			slow := max(r.slow[effect.Worker.ID], 1)
			took := time.Duration(slow * float64(callTime(testBatch, len(effect.Items))))
			r.calls = append(r.calls, running{effect, r.now.Add(took)})
			r.log = append(r.log, effect)
		case Done:
			r.done[effect.Ref] = effect.Results
		case Refused:
			r.refused[effect.Ref] = effect
		case Free:
			r.freed += len(effect.Handles)
			frees = append(frees, Freed{Worker: effect.Worker.ID, Handles: effect.Handles, OK: true})
		}
	}
	for _, e := range frees {
		r.step(e)
	}
}

// run lets time pass, in steps of a tick.
func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(5 * time.Millisecond)
		var rest []running
		ended := r.calls
		r.calls = nil
		for _, c := range ended {
			if c.ends.After(r.now) {
				rest = append(rest, c)
				continue
			}
			r.calls = append(r.calls, rest...)
			rest = nil
			r.step(r.outcome(c.call))
		}
		r.calls = append(r.calls, rest...)
		r.step(Tick{})
	}
}

func (r *rig) outcome(c Call) Event {
	if f := r.failure[c.Worker.ID]; f != NoFailure {
		return Returned{Call: c.Number, Failure: f}
	}
	outcomes := make([]Outcome, len(c.Items))
	for i := range outcomes {
		r.made++
		outcomes[i].Handle = fmt.Sprintf("%s/%d", c.Worker.Addr, r.made)
	}
	return Returned{Call: c.Number, Outcomes: outcomes}
}

func (r *rig) submit(name string, zone string, pieces int, due time.Duration) Ref {
	ref := Ref{Request: name}
	r.step(Submit{Job: Job{
		Ref: ref, Service: "s", Pieces: pieces, ResultBytes: 10, Key: "k", Zone: zone,
		Due: r.now.Add(due), Finish: r.now.Add(due), Deadline: r.now.Add(6 * time.Second),
	}})
	return ref
}

func (r *rig) wantDone(ref Ref, pieces int) {
	r.t.Helper()
	if got := len(r.done[ref]); got != pieces {
		r.t.Errorf("job %v has %d results, want %d (refused: %q)", ref, got, pieces, r.refused[ref].Reason)
	}
}

func (r *rig) wantRefused(ref Ref, reason Reason) {
	r.t.Helper()
	if got := r.refused[ref].Reason; got != reason {
		r.t.Errorf("job %v is refused for %q, want %q", ref, got, reason)
	}
}

func (r *rig) wantCalls(count int) {
	r.t.Helper()
	if got := len(r.log); got != count {
		r.t.Errorf("%d calls were sent, want %d", got, count)
	}
}

// Many requests arrive while a worker is busy: their pieces share the next call.
func TestPiecesShareCalls(t *testing.T) {
	r := newRig(t, "a1")
	first := r.submit("first", "a", 1, time.Second)
	var rest []Ref
	for i := range 4 {
		rest = append(rest, r.submit(fmt.Sprint(i), "a", 2, time.Second))
	}
	r.run(time.Second)
	r.wantDone(first, 1)
	for _, ref := range rest {
		r.wantDone(ref, 2)
	}
	r.wantCalls(2)
}

// A job of more pieces than a call holds takes several calls and ends once.
func TestLargeJob(t *testing.T) {
	r := newRig(t, "a1", "a2")
	ref := r.submit("large", "a", 25, 3*time.Second)
	r.run(2 * time.Second)
	r.wantDone(ref, 25)
	seen := make(map[string]bool)
	for _, result := range r.done[ref] {
		if seen[result.Handle] {
			t.Errorf("result %q stands twice", result.Handle)
		}
		seen[result.Handle] = true
	}
}

// At more load than the workers carry, what cannot be done in time is refused at
// once, and what is admitted is done in time.
func TestOverload(t *testing.T) {
	r := newRig(t, "a1", "b1")
	const due = 800 * time.Millisecond
	var refs []Ref
	submitted := make(map[Ref]time.Time)
	for i := range 400 {
		ref := r.submit(fmt.Sprint(i), []string{"a", "b"}[i%2], 3, due)
		refs = append(refs, ref)
		submitted[ref] = r.now
		r.run(10 * time.Millisecond)
		r.free()
	}
	r.run(2 * time.Second)
	done, lateRefusals := 0, 0
	for _, ref := range refs {
		if r.done[ref] != nil {
			done++
		} else if r.refused[ref].RetryAfter <= 0 {
			lateRefusals++
		}
	}
	// Two workers do 10 pieces in 300 ms each: 4 s of them are 266 pieces, or
	// 88 jobs. Nine tenths of that is the least that may be done.
	if done < 80 {
		t.Errorf("%d jobs were done, want 80 or more", done)
	}
	if lateRefusals > 0 {
		t.Errorf("%d jobs were refused without a time to come back", lateRefusals)
	}
}

// free releases all results that are there, as their users would.
func (r *rig) free() {
	for ref, results := range r.done {
		r.step(Release{Results: results})
		r.done[ref] = results
	}
}

// A zone's own worker is busy: its jobs wait for it as long as that is not too
// long, and cross to another zone's worker otherwise.
func TestCrossing(t *testing.T) {
	t.Run("short wait", func(t *testing.T) {
		r := newRig(t, "a1", "b1")
		r.submit("first", "a", 1, time.Second)
		r.run(150 * time.Millisecond)
		second := r.submit("second", "a", 1, time.Second)
		r.run(time.Second)
		if zone := r.done[second][0].Zone; zone != "a" {
			t.Errorf("job ran in zone %q, want %q", zone, "a")
		}
	})
	t.Run("long wait", func(t *testing.T) {
		r := newRig(t, "a1", "b1")
		r.submit("first", "a", 10, time.Second)
		second := r.submit("second", "a", 1, time.Second)
		r.run(time.Second)
		if zone := r.done[second][0].Zone; zone != "b" {
			t.Errorf("job ran in zone %q, want %q", zone, "b")
		}
	})
	t.Run("no worker at home", func(t *testing.T) {
		r := newRig(t, "b1")
		ref := r.submit("job", "a", 1, time.Second)
		r.run(time.Second)
		r.wantDone(ref, 1)
	})
}

// Results that nobody frees fill a worker's memory: it gets no more pieces than it
// has room for.
func TestResultMemory(t *testing.T) {
	r := newRig(t, "a1")
	for i := range 12 {
		r.submit(fmt.Sprint(i), "a", 10, 20*time.Second)
		r.run(320 * time.Millisecond)
	}
	sent := 0
	for _, c := range r.log {
		sent += len(c.Items)
	}
	if want := 92; sent > want {
		t.Errorf("%d pieces were sent to a worker with room for %d", sent, want)
	}
	// Freed results make room again.
	r.free()
	r.run(time.Second)
	more := 0
	for _, c := range r.log {
		more += len(c.Items)
	}
	if more <= sent {
		t.Errorf("%d pieces were sent after results were freed, want more than %d", more, sent)
	}
}

// Workers that fail cost a repeat, not a job.
func TestWorkerFailures(t *testing.T) {
	for _, failure := range []Failure{Full, Unreached, Broken} {
		t.Run(string(failure), func(t *testing.T) {
			r := newRig(t, "a1", "b1")
			r.failure["a1"] = failure
			ref := r.submit("job", "a", 2, 2*time.Second)
			r.run(2 * time.Second)
			r.wantDone(ref, 2)
		})
	}
	t.Run("slow", func(t *testing.T) {
		r := newRig(t, "a1", "a2")
		r.slow["a1"] = 6
		for i := range 12 {
			r.submit(fmt.Sprint(i), "a", 1, 2*time.Second)
			r.run(150 * time.Millisecond)
		}
		r.run(3 * time.Second)
		byWorker := make(map[string]int)
		for _, c := range r.log {
			byWorker[c.Worker.ID]++
		}
		if byWorker["a1"] > 2 {
			t.Errorf("slow worker got %d calls, want 2 at most", byWorker["a1"])
		}
	})
	t.Run("all gone", func(t *testing.T) {
		r := newRig(t)
		ref := r.submit("job", "a", 1, time.Second)
		r.wantRefused(ref, ReasonNoWorker)
	})
	t.Run("draining", func(t *testing.T) {
		r := newRig(t, "a1", "a2")
		list := upstreams("a1", "a2")
		list[0].Draining = true
		r.step(Workers{Services: []fleet.Service{{Name: "s", Batch: &testBatch}}, Upstreams: list})
		r.submit("job", "a", 1, time.Second)
		r.run(time.Second)
		for _, c := range r.log {
			if c.Worker.ID == "a1" {
				t.Errorf("a worker that leaves got a call")
			}
		}
	})
}

// A client leaves: its pieces are not sent, and results that come all the same
// are freed.
func TestWithdraw(t *testing.T) {
	r := newRig(t, "a1")
	ref := r.submit("job", "a", 2, time.Second)
	waiting := r.submit("waiting", "a", 2, time.Second)
	r.step(Withdraw{Ref: waiting})
	r.step(Withdraw{Ref: ref})
	r.run(time.Second)
	r.wantCalls(1)
	if r.freed != 2 {
		t.Errorf("%d results were freed, want 2", r.freed)
	}
	if r.sched.Len() != 0 {
		t.Errorf("%d jobs are left, want none", r.sched.Len())
	}
}

// An input is lost: the job ends at once, for its request has to begin again.
func TestInputGone(t *testing.T) {
	r := newRig(t, "a1")
	ref := r.submit("job", "a", 2, time.Second)
	r.step(Returned{Call: r.log[0].Number, Outcomes: []Outcome{{Handle: "h"}, {Trouble: InputGone}}})
	r.wantRefused(ref, ReasonGone)
	r.run(50 * time.Millisecond)
	if r.freed != 1 {
		t.Errorf("%d results were freed, want 1", r.freed)
	}
}

// The stages of a request are run again while one of the run before is still taken
// back: that ends the old one only.
func TestWithdrawOfRunBefore(t *testing.T) {
	r := newRig(t, "a1")
	r.submit("busy", "a", 1, time.Second)
	job := Job{Ref: Ref{Request: "r"}, Service: "s", Pieces: 1, ResultBytes: 10, Key: "k", Zone: "a",
		Due: r.now.Add(time.Second), Finish: r.now.Add(time.Second), Deadline: r.now.Add(time.Second)}
	r.step(Submit{Job: job})
	again := job
	again.Ref.Run = 1
	r.step(Submit{Job: again})
	r.step(Withdraw{Ref: job.Ref})
	r.run(time.Second)
	r.wantDone(again.Ref, 1)
	if r.done[job.Ref] != nil {
		t.Error("the run that was taken back was done as well")
	}
}

// A version of the configuration drops a stage service while calls to its workers
// are under way: their jobs end as they would have.
func TestServiceIsDropped(t *testing.T) {
	r := newRig(t, "a1")
	ref := r.submit("job", "a", 1, 2*time.Second)
	r.step(Workers{})
	r.calls = nil
	r.step(Returned{Call: 1, Failure: Full})
	r.run(3 * time.Second)
	r.step(Withdraw{Ref: ref})
	if r.sched.Len() != 0 {
		t.Errorf("%d jobs are left, want none", r.sched.Len())
	}
}
