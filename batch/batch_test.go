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

// chainRig has two services; the second one's workers do a tenth of the first's.
func chainRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t)
	narrow := testBatch
	narrow.MaxItems = 1
	list := upstreams("a1", "a2")
	list[1].Service = "narrow"
	r.step(Workers{Services: []fleet.Service{{Name: "s", Batch: &testBatch}, {Name: "narrow", Batch: &narrow}}, Upstreams: list})
	return r
}

func (r *rig) submitChain(name string, due time.Duration) Ref {
	ref := Ref{Request: name}
	r.step(Submit{Job: Job{
		Ref: ref, Service: "s", Pieces: 1, ResultBytes: 10, Key: "k", Zone: "a", Due: r.now.Add(due / 2), Finish: r.now.Add(due),
		Deadline: r.now.Add(6 * time.Second), Ahead: []Need{{Stage: 1, Service: "narrow", Pieces: 1}},
	}})
	return ref
}

// A burst comes to a chain whose later stage is narrow: requests are refused by
// what that stage will do, before the first stage has worked for them.
func TestAdmissionByChain(t *testing.T) {
	r := chainRig(t)
	var refs []Ref
	for i := range 12 {
		refs = append(refs, r.submitChain(fmt.Sprint(i), 1500*time.Millisecond))
	}
	admitted := 0
	for _, ref := range refs {
		if r.refused[ref].Reason == "" {
			admitted++
		}
	}
	// The narrow stage does one piece in 210 ms: 1.5 s are 7 of them, less the
	// time of the first stage.
	if admitted < 3 || admitted > 7 {
		t.Errorf("%d requests of 12 were admitted, want 3 to 7", admitted)
	}
	t.Run("room again once some have left", func(t *testing.T) {
		for _, ref := range refs {
			r.step(Withdraw{Ref: ref})
		}
		ref := r.submitChain("next", 1500*time.Millisecond)
		r.wantRefused(ref, "")
	})
}

// Many are refused in the same moment: they are told to come back one after the
// other, not together.
func TestReturnsAreSpread(t *testing.T) {
	var line returns
	last := time.Duration(0)
	for i := range 10 {
		at := line.next(start, 100*time.Millisecond, 30*time.Millisecond)
		if at < 100*time.Millisecond || i > 0 && at-last < 90*time.Millisecond {
			t.Errorf("request %d returns after %s, the one before it after %s", i, at, last)
		}
		last = at
	}
	if at := line.next(start.Add(time.Minute), 0, 30*time.Millisecond); at > 0 {
		t.Errorf("after a minute a request returns after %s, want at once", at)
	}
}

// The owner leaves: what has not begun goes back to be given to the next one, and
// what has begun is finished.
func TestLeave(t *testing.T) {
	r := newRig(t, "a1")
	begun := r.submit("begun", "a", 1, time.Second)
	waiting := r.submit("waiting", "a", 1, time.Second)
	r.step(Leave{})
	r.wantRefused(waiting, ReasonMoved)
	r.wantRefused(r.submit("new", "a", 1, time.Second), ReasonMoved)
	r.run(time.Second)
	r.wantDone(begun, 1)
}

// An owner takes over while results of the one before it lie at the workers: it
// frees them when they are given up, once.
func TestResultsOfOtherOwners(t *testing.T) {
	r := newRig(t, "a1")
	result := Result{Handle: "other/1", Addr: "10.0.0.0:1"}
	r.step(Release{Results: []Result{result}})
	r.run(50 * time.Millisecond)
	r.step(Release{Results: []Result{result}})
	r.run(50 * time.Millisecond)
	if r.freed != 1 {
		t.Errorf("%d results were freed, want 1", r.freed)
	}
}

// A worker says that it has no room although this owner has put nothing there: it
// gets no more pieces until that may have changed.
func TestUnknownResults(t *testing.T) {
	r := newRig(t, "a1", "a2")
	ref := r.submit("job", "a", 1, 2*time.Second)
	first := r.log[0]
	r.calls = nil
	r.step(Returned{Call: first.Number, Outcomes: []Outcome{{Trouble: NoRoom}}})
	r.run(400 * time.Millisecond)
	r.wantDone(ref, 1)
	if again := r.log[1].Worker.ID; again == first.Worker.ID {
		t.Errorf("worker %q got the piece again at once", again)
	}
}

// A node begins to own a pool at whose workers the results of another lie: it asks
// them for their memory, and sends no more pieces than there is room for.
func TestReportedMemory(t *testing.T) {
	r := newRig(t, "a1")
	asked := 0
	for _, e := range r.sched.Step(r.now, Submit{Job: Job{Ref: Ref{Request: "first"}, Service: "s", Pieces: 1, ResultBytes: 10,
		Key: "k", Zone: "a", Due: r.now.Add(time.Second), Finish: r.now.Add(time.Second), Deadline: r.now.Add(time.Second)}}) {
		if _, ok := e.(Ask); ok {
			asked++
		}
	}
	if asked != 1 {
		t.Errorf("%d workers were asked, want 1", asked)
	}
	r.step(Returned{Call: 1, Outcomes: []Outcome{{Handle: "h"}}})
	r.step(Reported{Worker: "a1", Space: 30})
	r.submit("second", "a", 8, time.Second)
	if got := len(r.log[0].Items); got != 3 {
		t.Errorf("%d pieces of 10 bytes were sent, want 3", got)
	}
}

// Memory is short at the maker of an input: the input is freed as soon as the call
// that needs it has fetched it. Elsewhere it stays until the job has ended.
func TestInputsAreFreedEarly(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int64
		want  int
	}{{"tight", 700, 1}, {"roomy", 10, 0}} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, "a1", "a2")
			ref := Ref{Request: "r"}
			r.step(Submit{Job: Job{Ref: ref, Service: "s", Pieces: 1, ResultBytes: c.bytes, Key: "k", Zone: "a",
				Due: r.now.Add(time.Second), Finish: r.now.Add(time.Second), Deadline: r.now.Add(time.Second)}})
			r.run(300 * time.Millisecond)
			r.step(Submit{Job: Job{Ref: Ref{"r", 1}, Service: "s", Pieces: 1, ResultBytes: 1, Inputs: []string{r.done[ref][0].Handle},
				OnlyUser: true, Begun: true, Zone: "a", Due: r.now.Add(time.Second), Deadline: r.now.Add(time.Second)}})
			r.run(100 * time.Millisecond)
			if r.freed != c.want {
				t.Errorf("%d inputs were freed, want %d", r.freed, c.want)
			}
		})
	}
}

// A burst is refused in part; after it, load that the workers carry is admitted as
// before. What they do in calls that are not full says nothing of what they could.
func TestRecoveryAfterBurst(t *testing.T) {
	r := newRig(t, "a1", "b1")
	number := 0
	offer := func(pause time.Duration, d time.Duration) (refused int) {
		for end := r.now.Add(d); r.now.Before(end); {
			number++
			ref := r.submit(fmt.Sprint(number), []string{"a", "b"}[number%2], 1, 900*time.Millisecond)
			r.run(pause)
			if r.refused[ref].Reason != "" {
				refused++
			}
			if number%10 == 0 {
				r.free()
			}
		}
		return refused
	}
	// Two workers do 66 pieces a second in full calls.
	offer(5*time.Millisecond, 4*time.Second)
	before := len(r.done)
	offer(10*time.Millisecond, 6*time.Second)
	if got := len(r.done) - before; got < 6*66*8/10 {
		t.Errorf("%d pieces were done in 6 s of too much load, want %d or more", got, 6*66*8/10)
	}
	offer(25*time.Millisecond, 2*time.Second)
	if refused := offer(25*time.Millisecond, 6*time.Second); refused > 0 {
		t.Errorf("%d requests were refused at six tenths of the workers' capacity", refused)
	}
}

// Requests have their first stage done here and their second by another owner, as
// views of who owns differ for a while: what was expected of them is forgotten, and
// admission does not go on counting it.
func TestExpectedStagesThatDoNotCome(t *testing.T) {
	r := chainRig(t)
	for i := range 6 {
		r.submitChain(fmt.Sprint(i), 2*time.Second)
	}
	r.run(6 * time.Second)
	if coming := r.sched.pools["narrow"].coming; coming != 0 {
		t.Errorf("%d pieces are still expected, want none", coming)
	}
	r.wantRefused(r.submitChain("next", 1500*time.Millisecond), "")
}

// Results of another owner fill the workers' memory for two seconds under more load
// than the workers carry. Once they are gone, as much is admitted as before: small
// calls that follow from refusals are no reason for further refusals.
func TestRecoveryAfterShortMemory(t *testing.T) {
	r := newRig(t, "a1", "b1")
	number := 0
	offer := func(d time.Duration, space int64) {
		for end := r.now.Add(d); r.now.Before(end); {
			number++
			r.submit(fmt.Sprint(number), []string{"a", "b"}[number%2], 1, 700*time.Millisecond)
			if space > 0 {
				r.step(Reported{Worker: "a1", Space: space})
				r.step(Reported{Worker: "b1", Space: space})
			}
			r.run(10 * time.Millisecond)
			r.free()
		}
	}
	offer(2*time.Second, 20)
	before := len(r.done)
	offer(6*time.Second, 0)
	// Two workers do 66 pieces a second in full calls.
	if got := len(r.done) - before; got < 6*66*8/10 {
		t.Errorf("%d pieces were done in 6 s of too much load, want %d or more", got, 6*66*8/10)
	}
}
