package pipe

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselplank/route"
	"teaselplank/verify"
	"teaselplank/wire"
)

func TestMain(m *testing.M) {
	verify.Main(m, map[string]string{"rapid.checks": "3000", "rapid.steps": "80"})
}

// A world is one runner before workers whose answers the test chooses.
type world struct {
	now     time.Time
	table   *route.Table
	runner  *Runner
	history verify.History
	// calls are the attempts that no event has ended yet; late ones were
	// cancelled or given up and may still be answered.
	calls []Call
	late  []Call
	// sent counts the attempts of a step that may have run.
	sent  map[string]int
	count int
	hosts []wire.Host
	open  map[string]Request
}

var worldPools = []string{"encode", "retrieve", "generate", "filing"}

func newWorld() *world {
	w := &world{now: time.Unix(1_800_000_000, 0), sent: make(map[string]int), open: make(map[string]Request)}
	w.table = route.New(route.DefaultConfig(), route.Balanced{}, 1)
	w.runner = New(DefaultConfig(), w.table)
	for _, p := range worldPools {
		for i := range 3 {
			w.hosts = append(w.hosts, wire.Host{ID: fmt.Sprintf("%s-%d", p, i), Incarnation: "1", Pool: p, Zone: "a"})
		}
	}
	w.table.Update(w.hosts)
	return w
}

// result is what a step answers to an input.
func result(pool, input string) string { return pool + "(" + input + ")" }

func (w *world) submit(once bool, deadline time.Duration) {
	w.count++
	q := Request{
		ID: fmt.Sprint("r", w.count), Account: fmt.Sprint("a", w.count%3), Weight: 1, Input: fmt.Sprint("i", w.count),
		Tokens: 10, Deadline: w.now.Add(deadline),
	}
	want := q.Input
	if once {
		q.Steps = []Step{{Pool: "filing", Once: true}}
	} else {
		q.Steps = []Step{{Pool: "encode", Hedge: true}, {Pool: "retrieve", Hedge: true}, {Pool: "generate", Stream: true}}
	}
	for _, s := range q.Steps {
		want = result(s.Pool, want)
	}
	w.open[q.ID] = q
	w.history.Asked(w.now, q.ID, q.ID, q.Input, want)
	w.step(Submit{q})
}

func (w *world) step(e Event) { w.take(w.runner.Step(w.now, e)) }

func (w *world) take(effects []Effect) {
	for _, effect := range append([]Effect(nil), effects...) {
		switch e := effect.(type) {
		case Call:
			w.calls = append(w.calls, e)
			w.sent[fmt.Sprint(e.Ref.Request, "/", e.Ref.Stage)]++
			w.history.Given(w.now, e.Worker.ID, e.Ref.Request)
		case Cancel:
			for i, c := range w.calls {
				if c.Ref == e.Ref {
					w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
					w.late = append(w.late, c)
					break
				}
			}
		case Answer:
			delete(w.open, e.Request)
			w.history.Answered(w.now, e.Request, e.Request, e.Outcome, e.Output)
		}
	}
}

// answer ends a call whole.
func (w *world) answer(c Call) {
	w.history.Executed(w.now, c.Ref.Request, fmt.Sprint(c.Ref.Request, "/", c.Ref.Stage, "/", c.Ref.Attempt), c.Input)
	w.step(Replied{Ref: c.Ref, Output: result(c.Step.Pool, c.Input), Status: 200, Tokens: c.Tokens, Work: 1})
}

func (w *world) check(t *rapid.T) {
	if err := verify.OwnWholeAnswer(&w.history); err != nil {
		t.Fatal(err)
	}
	if err := verify.NoWorkForLeaving(&w.history, 0); err != nil {
		t.Fatal(err)
	}
	for id, q := range w.open {
		if w.now.After(q.Deadline) {
			t.Fatalf("request %q has no answer although its deadline has passed", id)
		}
	}
	for step, n := range w.sent {
		if n > w.runner.config.MaxAttempts {
			t.Fatalf("step %q was sent %d times", step, n)
		}
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	call := func(t *rapid.T) Call {
		if len(w.calls) == 0 {
			t.Skip("no call is under way")
		}
		i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
		c := w.calls[i]
		w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
		return c
	}
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			w.submit(rapid.IntRange(0, 3).Draw(t, "once") == 0, time.Duration(rapid.IntRange(50, 5000).Draw(t, "deadline"))*time.Millisecond)
		},
		"answer": func(t *rapid.T) { w.answer(call(t)) },
		"fail": func(t *rapid.T) {
			c := call(t)
			f := rapid.SampledFrom([]Failure{Unsent, Busy, Stale, Broken, Faulty, Silent, Crossed}).Draw(t, "failure")
			if c.Step.Once && f != Unsent {
				w.sent[fmt.Sprint(c.Ref.Request, "/0")] = w.runner.config.MaxAttempts // No other may follow.
			}
			tokens := 0
			if c.Step.Stream {
				tokens = rapid.IntRange(c.ResumeFrom, c.Tokens).Draw(t, "tokens")
			}
			w.step(Failed{Ref: c.Ref, Failure: f, Tokens: tokens})
		},
		"progress": func(t *rapid.T) {
			c := call(t)
			w.calls = append(w.calls, c)
			w.step(Progress{c.Ref, rapid.IntRange(0, 9).Draw(t, "tokens")})
		},
		"late answer": func(t *rapid.T) {
			if len(w.late) == 0 {
				t.Skip("nothing is late")
			}
			w.answer(rapid.SampledFrom(w.late).Draw(t, "late"))
		},
		"caller leaves": func(t *rapid.T) { w.step(Left{fmt.Sprint("r", rapid.IntRange(1, w.count+1).Draw(t, "request"))}) },
		"worker leaves": func(t *rapid.T) {
			h := rapid.SampledFrom(w.hosts).Draw(t, "host")
			w.history.Left(w.now, h.ID)
			w.table.MarkLeaving(h.ID, "1")
			w.take(w.runner.Refresh(w.now))
			w.now = w.now.Add(time.Nanosecond)
		},
		"pass time": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			w.step(Tick{})
		},
		"": w.check,
	}
}

// TestRequests states that every request gets one answer, its own and whole or
// an honest refusal, by its deadline, and that nothing is held afterwards.
func TestRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(w.actions())
		w.now = w.now.Add(10 * time.Second)
		w.step(Tick{})
		w.check(t)
		if w.runner.Len() != 0 {
			t.Fatalf("%d requests are left", w.runner.Len())
		}
		for _, h := range w.hosts {
			if k, _ := w.table.Worker(h.ID); k.Flight() != 0 {
				t.Fatalf("worker %s has %d calls under way in the end", h.ID, k.Flight())
			}
		}
	})
}

func TestRefusals(t *testing.T) {
	w := newWorld()
	for _, h := range w.hosts {
		if h.Pool == "retrieve" {
			w.table.MarkLeaving(h.ID, "1")
		}
	}
	var answers []Answer
	for _, e := range w.runner.Step(w.now, Submit{Request{ID: "x", Steps: []Step{{Pool: "encode"}, {Pool: "retrieve"}}, Deadline: w.now.Add(time.Second)}}) {
		if a, ok := e.(Answer); ok {
			answers = append(answers, a)
		}
	}
	if len(answers) != 1 || answers[0].Outcome != wire.NotRun || answers[0].Reason != ReasonNoWorker || answers[0].RetryAfter <= 0 || answers[0].Dispatched {
		t.Errorf("answers are %+v", answers)
	}
}

// TestOnceIsNotRepeated goes through every failure of a call that must not
// repeat.
func TestOnceIsNotRepeated(t *testing.T) {
	tests := []struct {
		failure Failure
		outcome wire.Outcome
		calls   int
	}{
		{Unsent, "", 2}, {Stale, wire.NotRun, 1}, {Busy, wire.Unknown, 1}, {Broken, wire.Unknown, 1},
		{Faulty, wire.Unknown, 1}, {Silent, wire.Unknown, 1}, {Crossed, wire.Unknown, 1},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint("failure ", int(test.failure)), func(t *testing.T) {
			w := newWorld()
			w.submit(true, time.Second)
			w.step(Failed{Ref: w.calls[0].Ref, Failure: test.failure})
			if len(w.calls) != test.calls {
				t.Errorf("%d calls were sent, want %d", len(w.calls), test.calls)
			}
			got := w.history.Outcomes()
			if test.outcome == "" && len(got) != 0 || test.outcome != "" && (len(got) != 1 || got[0] != test.outcome) {
				t.Errorf("callers were told %v, want %q", got, test.outcome)
			}
		})
	}
}

// TestResume states that a stream goes on at another worker from the next token.
func TestResume(t *testing.T) {
	w := newWorld()
	w.submit(false, 5*time.Second)
	w.answer(w.calls[0])
	w.answer(w.calls[1])
	first := w.calls[2]
	w.step(Progress{first.Ref, 4})
	w.now = w.now.Add(DefaultConfig().Silence)
	w.step(Tick{})
	second := w.calls[len(w.calls)-1]
	if second.Ref == first.Ref || second.ResumeFrom != 4 || second.Worker.ID == first.Worker.ID {
		t.Errorf("after %+v the stream goes on with %+v", first, second)
	}
}

// TestLateAnswer states that an answer which comes after its step has been passed
// is dropped.
func TestLateAnswer(t *testing.T) {
	w := newWorld()
	w.submit(false, 5*time.Second)
	first := w.calls[0]
	w.now = w.now.Add(DefaultConfig().AttemptTimeout)
	w.step(Tick{})
	w.answer(w.calls[0]) // The second attempt; the first has been cancelled.
	w.answer(first)
	if got := w.runner.Counts().Late; got != 1 {
		t.Errorf("%d answers were late, want 1", got)
	}
	for len(w.open) > 0 {
		w.answer(w.calls[len(w.calls)-1])
	}
	if err := verify.OwnWholeAnswer(&w.history); err != nil {
		t.Error(err)
	}
}
