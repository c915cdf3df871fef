package batch

import (
	"fmt"
	"testing"
	"time"

	"teaselplank/fleet"
)

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
			r.step(Submit{Job: Job{Ref: Ref{"r", 1, 0}, Service: "s", Pieces: 1, ResultBytes: 1, Inputs: []string{r.done[ref][0].Handle},
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

// A worker is slow while others are not: it is tried with one piece of the job that
// can wait longest, not with a call of what is urgent.
func TestSlowWorkerIsTried(t *testing.T) {
	r := newRig(t, "a1", "a2")
	r.slow["a1"] = 5
	for i := range 40 {
		r.submit(fmt.Sprint("urgent", i), "a", 2, 1500*time.Millisecond)
		r.submit(fmt.Sprint("patient", i), "a", 2, 5*time.Second)
		r.run(150 * time.Millisecond)
		r.free()
	}
	var tries []Call
	for _, c := range r.log {
		if c.Worker.ID == "a1" {
			tries = append(tries, c)
		}
	}
	if len(tries) < 3 {
		t.Fatalf("slow worker was tried %d times, want 3 or more", len(tries))
	}
	for _, c := range tries[1:] {
		if len(c.Items) != 1 || c.Items[0].Ref.Request[0] != 'p' {
			t.Errorf("try has %d pieces, the first of %q, want one of a patient job", len(c.Items), c.Items[0].Ref.Request)
		}
	}
}

// A backlog of work that is late already meets work that can be on time: the latter
// goes first, and what is late is done once there is room.
func TestLateWorkYields(t *testing.T) {
	r := newRig(t, "a1")
	submit := func(name string, due time.Duration) Ref {
		ref := Ref{Request: name}
		r.step(Submit{Job: Job{
			Ref: ref, Service: "s", Pieces: 1, ResultBytes: 10, Key: "k", Zone: "a", Begun: true,
			Due: r.now.Add(due), Deadline: r.now.Add(6 * time.Second),
		}})
		return ref
	}
	var late, timely []Ref
	for i := range 3 * testBatch.MaxItems {
		late = append(late, submit(fmt.Sprint("late", i), 100*time.Millisecond))
	}
	for i := range testBatch.MaxItems {
		timely = append(timely, submit(fmt.Sprint("timely", i), 700*time.Millisecond))
	}
	r.run(700 * time.Millisecond)
	for _, ref := range timely {
		r.wantDone(ref, 1)
	}
	r.run(time.Second)
	for _, ref := range late {
		r.wantDone(ref, 1)
	}
}

// Workers that run two calls at once meet twice the load that others carry: all of
// it is done in time, and none has more than two calls under way.
func TestCallsAtOnce(t *testing.T) {
	r := newRig(t)
	wide := testBatch
	wide.Running = 2
	r.step(Workers{Services: []fleet.Service{{Name: "s", Batch: &wide}}, Upstreams: upstreams("a1", "a2")})
	most := 0
	for i := range 400 {
		// Two workers do 133 pieces a second in two full calls each.
		r.submit(fmt.Sprint(i), "a", 1, time.Second)
		r.run(10 * time.Millisecond)
		r.free()
		for _, w := range r.sched.pools["s"].workers {
			most = max(most, len(w.calls))
		}
	}
	r.run(time.Second)
	if len(r.refused) > 0 || len(r.done) != 400 {
		t.Errorf("%d requests are done and %d refused, want all done", len(r.done), len(r.refused))
	}
	if most != 2 {
		t.Errorf("a worker had %d calls at once, want 2", most)
	}
}
