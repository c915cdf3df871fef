package proxy

import (
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselplank/batch"
	"teaselplank/budget"
	"teaselplank/fleet"
)

// streamThatStalls lets a stream stall at attempt 1 after the given event.
func (h *harness) streamThatStalls(lastEventID string) {
	h.arrive("/stream/1", 1, 1)
	h.stageDone(0, "a", "h1")
	h.stageDone(1, "a", "h2")
	h.respond(1, http.StatusOK, false)
	h.step(FirstEvent{Number: h.number, Attempt: 1})
	h.stall(1, lastEventID)
}

func (h *harness) stall(attempt int, lastEventID string) {
	h.step(AttemptStalled{Number: h.number, Attempt: attempt, Silence: time.Second, LastEventID: lastEventID, ResponseStarted: lastEventID != ""})
}

func (h *harness) wantNone(what string, unwanted func(Effect) bool) {
	h.t.Helper()
	for _, e := range h.effects {
		if unwanted(e) {
			h.t.Errorf("%s: effect %T %+v", what, e, e)
		}
	}
}

func isEnd(e Effect) bool {
	switch e.(type) {
	case Abort, Reply:
		return true
	}
	return false
}

func isSend(e Effect) bool { _, ok := e.(Send); return ok }

func isCancel(e Effect) bool { _, ok := e.(Cancel); return ok }

// A stalled attempt stays open until the response of another one goes on.
func TestStalledAttempts(t *testing.T) {
	t.Run("goes on while the stages run", func(t *testing.T) {
		h := newHarness(t)
		h.streamThatStalls("4")
		find[RunStage](h)
		h.step(AttemptContinued{Number: h.number, Attempt: 1})
		find[Withdraw](h)
		h.step(Finished{Number: h.number, Attempt: 1, Status: http.StatusOK})
		h.wantIdle()
	})
	t.Run("goes on before the other attempt", func(t *testing.T) {
		h := newHarness(t)
		h.streamThatStalls("4")
		h.stageDone(0, "a", "h3")
		h.stageDone(1, "a", "h4")
		if s := find[Send](h); s.LastEventID != "4" {
			t.Errorf("second attempt resumes after event %q, want 4", s.LastEventID)
		}
		h.respond(2, http.StatusOK, false)
		find[Deliver](h)
		h.step(AttemptContinued{Number: h.number, Attempt: 1})
		if c := find[Cancel](h); c.Attempt != 2 {
			t.Errorf("attempt %d is cancelled, want 2", c.Attempt)
		}
		h.step(Finished{Number: h.number, Attempt: 1, Status: http.StatusOK})
		h.wantIdle()
	})
	t.Run("cancelled attempts count", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/stream/1")
		h.respond(1, http.StatusOK, false)
		h.step(FirstEvent{Number: h.number, Attempt: 1})
		h.stall(1, "4")
		find[Send](h)
		h.step(AttemptContinued{Number: h.number, Attempt: 1})
		h.stall(1, "5")
		h.wantNone("two upstreams may have executed it", isSend)
	})
	t.Run("other attempt goes on first", func(t *testing.T) {
		h := newHarness(t)
		h.streamThatStalls("4")
		h.stageDone(0, "a", "h3")
		h.stageDone(1, "a", "h4")
		h.respond(2, http.StatusOK, false)
		h.wantNone("nothing is given up before the first event", isCancel)
		h.step(FirstEvent{Number: h.number, Attempt: 2})
		if c := find[Cancel](h); c.Attempt != 1 {
			t.Errorf("attempt %d is cancelled, want 1", c.Attempt)
		}
		h.step(Finished{Number: h.number, Attempt: 2, Status: http.StatusOK})
		h.wantIdle()
	})
	t.Run("stage is refused", func(t *testing.T) {
		h := newHarness(t)
		h.streamThatStalls("4")
		h.step(StageFailed{Number: h.number, Stage: 0, Reason: batch.ReasonLate})
		h.wantNone("the stalled attempt may go on", isEnd)
		h.attemptFailed(1, ConnectionFailed, "4")
		find[RunStage](h)
		h.step(StageFailed{Number: h.number, Stage: 0, Reason: batch.ReasonLate})
		find[Abort](h)
		h.wantIdle()
	})
	t.Run("fails while the stages run", func(t *testing.T) {
		h := newHarness(t)
		h.streamThatStalls("4")
		h.attemptFailed(1, ConnectionFailed, "4")
		h.wantNone("another attempt is being made", isEnd)
		h.stageDone(0, "a", "h3")
		h.stageDone(1, "a", "h4")
		find[Send](h)
		h.attemptFailed(2, ConnectionFailed, "4")
		find[Abort](h)
		h.wantIdle()
	})
	t.Run("deadline passes", func(t *testing.T) {
		h := newHarness(t)
		h.streamThatStalls("4")
		h.step(TimedOut{Number: h.number, ResponseStarted: true})
		find[Abort](h)
		h.wantIdle()
	})
	t.Run("before the head", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/safe/1")
		first := find[Send](h)
		h.stall(1, "")
		if second := find[Send](h); second.Upstream.ID == first.Upstream.ID {
			t.Errorf("both attempts go to upstream %q", first.Upstream.ID)
		}
		h.respond(2, http.StatusServiceUnavailable, true)
		h.wantNone("the stalled attempt may go on", isEnd)
		h.respond(1, http.StatusOK, false)
		find[Deliver](h)
		h.step(Finished{Number: h.number, Attempt: 1, Status: http.StatusOK})
		h.wantIdle()
	})
	t.Run("other attempt breaks after its head", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/safe/1")
		h.stall(1, "")
		h.respond(2, http.StatusOK, false)
		h.wantNone("the body of attempt 2 has not arrived", isCancel)
		h.attemptFailed(2, ConnectionFailed, "")
		h.wantNone("the stalled attempt may go on", isEnd)
		h.respond(1, http.StatusOK, false)
		h.step(Finished{Number: h.number, Attempt: 1, Status: http.StatusOK})
		h.wantIdle()
	})
	t.Run("before the head, until the deadline", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/safe/1")
		h.stall(1, "")
		h.respond(2, http.StatusInternalServerError, false)
		h.wantNone("the stalled attempt may go on", isEnd)
		h.step(TimedOut{Number: h.number})
		h.wantReply(http.StatusGatewayTimeout, ReasonTimeout)
	})
	t.Run("unsafe request", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/unsafe/1")
		h.stall(1, "")
		h.wantNone("it may have been executed", isSend)
	})
	t.Run("without a budget", func(t *testing.T) {
		h := newHarness(t)
		h.node.config.Budget = budget.Config{Window: time.Second}
		h.arrive("/safe/1")
		h.stall(1, "")
		h.wantNone("the budget is used up", isSend)
	})
	t.Run("stream without a budget", func(t *testing.T) {
		h := newHarness(t)
		h.node.config.Budget = budget.Config{Window: time.Second}
		h.streamThatStalls("4")
		h.wantNone("the budget is used up", func(e Effect) bool { _, ok := e.(RunStage); return ok })
	})
	t.Run("attempts are used up", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/safe/1")
		h.stall(1, "")
		h.attemptFailed(1, ConnectionFailed, "")
		h.stall(2, "")
		h.wantNone("two upstreams may have executed it", isSend)
	})
}

// wantIdle checks that no request and no load is left.
func (h *harness) wantIdle() {
	h.t.Helper()
	if h.node.Len() != 0 {
		h.t.Errorf("%d requests are left, want none", h.node.Len())
	}
	for _, p := range h.node.pools {
		for _, u := range p.upstreams {
			if u.inFlight != 0 || u.pendingTokens != 0 {
				h.t.Errorf("upstream %q has %d requests and %d tokens, want none", u.ID, u.inFlight, u.pendingTokens)
			}
		}
	}
}

// In any order of events, at most two attempts are open, an end leaves no load, a 503 is
// true, and an answer is aborted only if nothing could still complete it.
func TestStalledAttemptsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		path := rapid.SampledFrom([]string{"/safe/1", "/stream/1"}).Draw(rt, "path")
		open, sent, executed, begun, ended := map[int]bool{}, 0, false, false, false
		running := map[int]bool{}
		observe := func(timedOut bool) {
			for _, e := range h.effects {
				switch e := e.(type) {
				case Send:
					sent++
					open[e.Attempt] = true
				case Cancel:
					if !open[e.Attempt] {
						rt.Errorf("attempt %d is cancelled, but not open", e.Attempt)
					}
					delete(open, e.Attempt)
				case RunStage:
					running[e.Job.Ref.Stage] = true
				case Withdraw:
					for _, stage := range e.Stages {
						delete(running, stage)
					}
				case Reply:
					ended = true
					if e.Status == http.StatusServiceUnavailable && (executed || len(open) > 0) {
						rt.Error("request may have been executed, but the reply is 503")
					}
				case Abort:
					ended = true
					if len(open) > 0 && !timedOut {
						rt.Errorf("answer is aborted with attempts %v open", open)
					}
				}
			}
			if len(open) > 2 {
				rt.Errorf("attempts %v are open", open)
			}
		}
		h.arrive(path, 1, 1)
		observe(false)
		for step := 0; step < 40 && !ended && h.node.Len() > 0; step++ {
			h.now, h.effects = h.now.Add(20*time.Millisecond), nil
			attempt := rapid.IntRange(1, max(sent, 1)).Draw(rt, "attempt")
			last := ""
			if begun {
				last = "3"
			}
			a := h.node.requests[h.number].find(attempt)
			headPending := a != nil && !a.responding
			event := rapid.SampledFrom([]string{"head", "refused", "error", "event", "stall", "continue", "broken", "unreached", "stage", "late", "timeout"}).Draw(rt, "event")
			switch event {
			case "head", "refused", "error", "unreached":
				if !headPending {
					continue // An attempt has one head and is unreachable only before it.
				}
			case "event", "continue":
				if a == nil || !a.responding || path != "/stream/1" {
					continue
				}
			}
			switch event {
			case "head":
				executed = true
				h.respond(attempt, http.StatusOK, false)
			case "refused":
				h.respond(attempt, http.StatusServiceUnavailable, true)
				delete(open, attempt)
			case "error":
				executed = true
				h.respond(attempt, http.StatusInternalServerError, false)
				if !deliversAttempt(h, attempt) {
					delete(open, attempt)
				}
			case "event":
				begun = true
				h.step(FirstEvent{Number: h.number, Attempt: attempt})
			case "stall":
				h.stall(attempt, last)
			case "continue":
				h.step(AttemptContinued{Number: h.number, Attempt: attempt})
			case "broken":
				executed = executed || open[attempt]
				delete(open, attempt)
				h.attemptFailed(attempt, ConnectionFailed, last)
			case "unreached":
				delete(open, attempt)
				h.attemptFailed(attempt, Unreachable, last)
			case "stage":
				for stage := range running {
					delete(running, stage)
					h.stageDone(stage, "a", "h")
					break
				}
			case "late":
				for stage := range running {
					delete(running, stage)
					h.step(StageFailed{Number: h.number, Stage: stage, Reason: batch.ReasonLate})
					break
				}
			case "timeout":
				h.step(TimedOut{Number: h.number, ResponseStarted: begun})
				observe(true)
				continue
			}
			observe(false)
		}
		if ended {
			h.wantIdle()
		}
	})
}

func deliversAttempt(h *harness, attempt int) bool {
	for _, e := range h.effects {
		if d, ok := e.(Deliver); ok && d.Attempt == attempt {
			return true
		}
	}
	return false
}

// Silences that end by themselves must not use up the budget, as no attempt was made.
func TestBudgetLostToSilences(t *testing.T) {
	h := newHarness(t)
	for range 30 {
		h.streamThatStalls("1")
		h.step(AttemptContinued{Number: h.number, Attempt: 1})
		h.step(Finished{Number: h.number, Attempt: 1, Status: http.StatusOK})
	}
	if left := h.node.RetriesLeft(h.now)["engine"]; left < 14 {
		t.Errorf("%.1f retries are left, want 14 or more", left)
	}
}

// A request that is too late for another attempt must not lose the one that is open.
func TestStalledAttemptLostNearDeadline(t *testing.T) {
	h := newHarness(t)
	h.streamThatStalls("4")
	h.stageDone(0, "a", "h3")
	h.now = h.now.Add(6*time.Second - minTimeLeft/2)
	h.stageDone(1, "a", "h4")
	h.wantNone("the stalled attempt may go on", isEnd)
	h.step(Finished{Number: h.number, Attempt: 1, Status: http.StatusOK})
	h.wantIdle()
}

// A request must not be sent without the results that its upstream needs, whatever its kind.
func TestSentWithoutResults(t *testing.T) {
	h := newHarness(t)
	c := testConfig()
	c.Version, c.Routes[0].Stages = 2, c.Routes[2].Stages
	h.step(Configured{Table: fleet.NewTable(c)})
	h.arrive("/safe/1", 1, 1)
	h.stageDone(0, "a", "h1")
	h.stageDone(1, "a", "h2")
	h.stall(1, "")
	h.respond(2, http.StatusConflict, true)
	h.step(StageFailed{Number: h.number, Stage: 0, Reason: batch.ReasonLate})
	h.attemptFailed(1, Unreachable, "")
	for _, e := range h.effects {
		if s, ok := e.(Send); ok && len(s.Inputs) == 0 {
			t.Error("request is sent without inputs")
		}
	}
}

// A silence must not use up the one time that lost results are made again.
func TestLostResultAfterSilence(t *testing.T) {
	h := newHarness(t)
	h.streamThatStalls("4")
	h.step(StageFailed{Number: h.number, Stage: 0, Reason: batch.ReasonInputLost})
	find[RunStage](h)
}
