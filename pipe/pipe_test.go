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

// A simulation runs one Runner whose workers are simulated: the test chooses the result
// of each call.
type simulation struct {
	now     time.Time
	table   *route.Table
	runner  *Runner
	history verify.History
	// calls are the attempts in flight. cancelled holds the attempts that the runner
	// has cancelled; they may still be answered.
	calls     []Call
	cancelled []Call
	// stepAttempts counts the attempts of a step that may have been executed.
	stepAttempts map[string]int
	count        int
	hosts        []wire.Host
	unanswered   map[string]Request
}

var simulationPools = []string{"encode", "retrieve", "generate", "filing"}

func newSimulation() *simulation {
	sim := &simulation{now: time.Unix(1_800_000_000, 0), stepAttempts: make(map[string]int), unanswered: make(map[string]Request)}
	sim.table = route.New(route.DefaultConfig(), route.Balanced{}, 1)
	sim.runner = New(DefaultConfig(), sim.table)
	for _, p := range simulationPools {
		for i := range 3 {
			sim.hosts = append(sim.hosts, wire.Host{ID: fmt.Sprintf("%s-%d", p, i), Incarnation: "1", Pool: p, Zone: "a"})
		}
	}
	sim.table.Update(sim.hosts)
	return sim
}

// result returns the output of a step for an input.
func result(pool, input string) string { return pool + "(" + input + ")" }

func (sim *simulation) submit(atMostOnce bool, deadline time.Duration) {
	sim.count++
	q := Request{
		ID: fmt.Sprint("r", sim.count), Account: fmt.Sprint("a", sim.count%3), Weight: 1, Input: fmt.Sprint("i", sim.count),
		Tokens: 10, Deadline: sim.now.Add(deadline),
	}
	want := q.Input
	if atMostOnce {
		q.Steps = []Step{{Pool: "filing", AtMostOnce: true}}
	} else {
		q.Steps = []Step{{Pool: "encode", Hedge: true}, {Pool: "retrieve", Hedge: true}, {Pool: "generate", Stream: true}}
	}
	for _, s := range q.Steps {
		want = result(s.Pool, want)
	}
	sim.unanswered[q.ID] = q
	sim.history.Requested(sim.now, q.ID, q.ID, q.Input, want)
	sim.step(Submit{q})
}

func (sim *simulation) step(e Event) { sim.handleEffects(sim.runner.Step(sim.now, e)) }

func (sim *simulation) handleEffects(effects []Effect) {
	for _, effect := range append([]Effect(nil), effects...) {
		switch e := effect.(type) {
		case Call:
			sim.calls = append(sim.calls, e)
			sim.stepAttempts[fmt.Sprint(e.Ref.Request, "/", e.Ref.Stage)]++
			sim.history.WorkAssigned(sim.now, e.Worker.ID, e.Ref.Request)
		case Cancel:
			for i, c := range sim.calls {
				if c.Ref == e.Ref {
					sim.calls = append(sim.calls[:i:i], sim.calls[i+1:]...)
					sim.cancelled = append(sim.cancelled, c)
					break
				}
			}
		case Answer:
			delete(sim.unanswered, e.Request)
			sim.history.Answered(sim.now, e.Request, e.Request, e.Outcome, e.Output)
		}
	}
}

// answer completes a call.
func (sim *simulation) answer(c Call) {
	sim.history.Executed(sim.now, c.Ref.Request, fmt.Sprint(c.Ref.Request, "/", c.Ref.Stage, "/", c.Ref.Attempt), c.Input)
	sim.step(Replied{Ref: c.Ref, Output: result(c.Step.Pool, c.Input), Status: 200, Tokens: c.Tokens, Work: 1})
}

func (sim *simulation) checkInvariants(t *rapid.T) {
	if err := verify.CompleteOwnAnswer(&sim.history); err != nil {
		t.Fatal(err)
	}
	if err := verify.NoWorkAfterDrain(&sim.history, 0); err != nil {
		t.Fatal(err)
	}
	for id, q := range sim.unanswered {
		if sim.now.After(q.Deadline) {
			t.Fatalf("request %q has no answer although its deadline has passed", id)
		}
	}
	for step, n := range sim.stepAttempts {
		if n > sim.runner.config.MaxAttempts {
			t.Fatalf("step %q was sent %d times", step, n)
		}
	}
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	call := func(t *rapid.T) Call {
		if len(sim.calls) == 0 {
			t.Skip("no call is in flight")
		}
		i := rapid.IntRange(0, len(sim.calls)-1).Draw(t, "call")
		c := sim.calls[i]
		sim.calls = append(sim.calls[:i:i], sim.calls[i+1:]...)
		return c
	}
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			sim.submit(rapid.IntRange(0, 3).Draw(t, "once") == 0, time.Duration(rapid.IntRange(50, 5000).Draw(t, "deadline"))*time.Millisecond)
		},
		"answer": func(t *rapid.T) { sim.answer(call(t)) },
		"fail": func(t *rapid.T) {
			c := call(t)
			f := rapid.SampledFrom([]Failure{Unsent, Busy, FencingRefused, ConnectionFailed, UpstreamError, ResponseTimeout, ResponseMismatch}).Draw(t, "failure")
			if c.Step.AtMostOnce && f != Unsent {
				sim.stepAttempts[fmt.Sprint(c.Ref.Request, "/0")] = sim.runner.config.MaxAttempts // No further attempt is allowed.
			}
			tokens := 0
			if c.Step.Stream {
				tokens = rapid.IntRange(c.ResumeFrom, c.Tokens).Draw(t, "tokens")
			}
			sim.step(Failed{Ref: c.Ref, Failure: f, Tokens: tokens})
		},
		"progress": func(t *rapid.T) {
			c := call(t)
			sim.calls = append(sim.calls, c)
			sim.step(Progress{c.Ref, rapid.IntRange(0, 9).Draw(t, "tokens")})
		},
		"late answer": func(t *rapid.T) {
			if len(sim.cancelled) == 0 {
				t.Skip("no call has been cancelled")
			}
			sim.answer(rapid.SampledFrom(sim.cancelled).Draw(t, "late"))
		},
		"caller leaves": func(t *rapid.T) {
			sim.step(CallerDisconnected{fmt.Sprint("r", rapid.IntRange(1, sim.count+1).Draw(t, "request"))})
		},
		"worker leaves": func(t *rapid.T) {
			h := rapid.SampledFrom(sim.hosts).Draw(t, "host")
			sim.history.DrainStarted(sim.now, h.ID)
			sim.table.MarkLeaving(h.ID, "1")
			sim.handleEffects(sim.runner.Refresh(sim.now))
			sim.now = sim.now.Add(time.Nanosecond)
		},
		"pass time": func(t *rapid.T) {
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			sim.step(Tick{})
		},
		"": sim.checkInvariants,
	}
}

// TestRequests checks with random events that every request gets exactly one answer by
// its deadline: its own complete result, or a failure with the correct outcome. No
// requests and no calls may remain afterwards.
func TestRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		t.Repeat(sim.actions())
		sim.now = sim.now.Add(10 * time.Second)
		sim.step(Tick{})
		sim.checkInvariants(t)
		if sim.runner.Len() != 0 {
			t.Fatalf("%d requests are still active", sim.runner.Len())
		}
		for _, h := range sim.hosts {
			if w, _ := sim.table.Worker(h.ID); w.InFlight() != 0 {
				t.Fatalf("worker %s still has %d calls in flight", h.ID, w.InFlight())
			}
		}
	})
}

// TestRefusals checks that a request is refused before its first step if all workers of a
// later step are leaving.
func TestRefusals(t *testing.T) {
	sim := newSimulation()
	for _, h := range sim.hosts {
		if h.Pool == "retrieve" {
			sim.table.MarkLeaving(h.ID, "1")
		}
	}
	var answers []Answer
	for _, e := range sim.runner.Step(sim.now, Submit{Request{ID: "x", Steps: []Step{{Pool: "encode"}, {Pool: "retrieve"}}, Deadline: sim.now.Add(time.Second)}}) {
		if a, ok := e.(Answer); ok {
			answers = append(answers, a)
		}
	}
	if len(answers) != 1 || answers[0].Outcome != wire.NotRun || answers[0].Reason != ReasonNoWorker || answers[0].RetryAfter <= 0 || answers[0].Dispatched {
		t.Errorf("answers are %+v, want one refusal for lack of a worker, with a retry delay", answers)
	}
}

// TestOnceIsNotRepeated checks that a step with AtMostOnce is retried only if the call
// did not reach the upstream, and otherwise ends with the right outcome.
func TestOnceIsNotRepeated(t *testing.T) {
	tests := []struct {
		failure Failure
		outcome wire.Outcome
		calls   int
	}{
		{Unsent, "", 2}, {FencingRefused, wire.NotRun, 1}, {Busy, wire.Unknown, 1}, {ConnectionFailed, wire.Unknown, 1},
		{UpstreamError, wire.Unknown, 1}, {ResponseTimeout, wire.Unknown, 1}, {ResponseMismatch, wire.Unknown, 1},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint("failure ", int(test.failure)), func(t *testing.T) {
			sim := newSimulation()
			sim.submit(true, time.Second)
			sim.step(Failed{Ref: sim.calls[0].Ref, Failure: test.failure})
			if len(sim.calls) != test.calls {
				t.Errorf("%d calls were sent, want %d", len(sim.calls), test.calls)
			}
			got := sim.history.Outcomes()
			if test.outcome == "" && len(got) != 0 || test.outcome != "" && (len(got) != 1 || got[0] != test.outcome) {
				t.Errorf("outcomes are %v, want %q", got, test.outcome)
			}
		})
	}
}

// TestResume checks that a stream without progress resumes at another worker from the
// next token.
func TestResume(t *testing.T) {
	sim := newSimulation()
	sim.submit(false, 5*time.Second)
	sim.answer(sim.calls[0])
	sim.answer(sim.calls[1])
	first := sim.calls[2]
	sim.step(Progress{first.Ref, 4})
	sim.now = sim.now.Add(DefaultConfig().StreamIdleTimeout)
	sim.step(Tick{})
	second := sim.calls[len(sim.calls)-1]
	if second.Ref == first.Ref || second.ResumeFrom != 4 || second.Worker.ID == first.Worker.ID {
		t.Errorf("after call %+v the stream resumes with call %+v, want token 4 at another worker", first, second)
	}
}

// An attempt that is silent for longer than usual must not be cut while no other can take
// its place: its worker may be slow but sound.
func TestSlowAnswerCutWithoutRetry(t *testing.T) {
	// empty uses up the retry budget of a pool.
	empty := func(sim *simulation, pool string) { sim.runner.pool(pool).retryBudget = 0 }
	wantDone := func(t *testing.T, sim *simulation) {
		t.Helper()
		if got := sim.history.Outcomes(); len(got) != 1 || got[0] != wire.Done {
			t.Errorf("outcomes are %v, want the answer", got)
		}
		if err := verify.CompleteOwnAnswer(&sim.history); err != nil {
			t.Error(err)
		}
	}
	// passTime passes time in short steps, as ticks do.
	passTime := func(sim *simulation, d time.Duration) {
		for range d / (50 * time.Millisecond) {
			sim.now = sim.now.Add(50 * time.Millisecond)
			sim.step(Tick{})
		}
	}
	t.Run("stream", func(t *testing.T) {
		sim := newSimulation()
		sim.submit(false, 5*time.Second)
		sim.answer(sim.calls[0])
		sim.answer(sim.calls[1])
		stream := sim.calls[2]
		sim.step(Progress{stream.Ref, 4})
		empty(sim, "generate")
		passTime(sim, 3*DefaultConfig().StreamIdleTimeout)
		sim.answer(stream)
		wantDone(t, sim)
	})
	t.Run("stage", func(t *testing.T) {
		sim := newSimulation()
		empty(sim, "encode")
		sim.submit(false, 10*time.Second)
		passTime(sim, 2*DefaultConfig().AttemptTimeout)
		for i := 0; i < len(sim.calls) && i < 3; i++ {
			sim.answer(sim.calls[i])
		}
		wantDone(t, sim)
	})
	t.Run("worker that stays silent", func(t *testing.T) {
		sim := newSimulation()
		empty(sim, "encode")
		sim.submit(false, 5*time.Second)
		silent := sim.calls[0].Worker.ID
		passTime(sim, DefaultConfig().AttemptTimeout)
		if w, _ := sim.table.Worker(silent); !w.Suspect(sim.now) {
			t.Error("silent worker is not suspect")
		}
		passTime(sim, 5*time.Second)
		if got := sim.history.Outcomes(); len(got) != 1 || got[0] != wire.Unknown {
			t.Errorf("outcomes are %v, want one unknown at the deadline", got)
		}
	})
}

// TestLateAnswer checks that a response to a cancelled attempt is dropped when it
// arrives after the step has been completed by another attempt.
func TestLateAnswer(t *testing.T) {
	sim := newSimulation()
	sim.submit(false, 5*time.Second)
	first := sim.calls[0]
	sim.now = sim.now.Add(DefaultConfig().AttemptTimeout)
	sim.step(Tick{})
	sim.answer(sim.calls[0]) // The second attempt; the first has been cancelled.
	sim.answer(first)
	if got := sim.runner.Counts().Late; got != 1 {
		t.Errorf("%d answers were late, want 1", got)
	}
	for len(sim.unanswered) > 0 {
		sim.answer(sim.calls[len(sim.calls)-1])
	}
	if err := verify.CompleteOwnAnswer(&sim.history); err != nil {
		t.Error(err)
	}
}
