package proxy

import (
	"net/http"
	"testing"
	"time"

	"teaselplank/batch"
	"teaselplank/budget"
)

// streamTo lets a stream reach its first event at attempt 1, after both stages.
func (h *harness) streamTo(lastEventID string) {
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
		h.streamTo("4")
		find[RunStage](h)
		h.step(AttemptContinued{Number: h.number, Attempt: 1})
		find[Withdraw](h)
		h.step(Finished{Number: h.number, Attempt: 1, Status: http.StatusOK})
		h.wantIdle()
	})
	t.Run("goes on before the other attempt", func(t *testing.T) {
		h := newHarness(t)
		h.streamTo("4")
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
	t.Run("other attempt goes on first", func(t *testing.T) {
		h := newHarness(t)
		h.streamTo("4")
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
		h.streamTo("4")
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
		h.streamTo("4")
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
		h.streamTo("4")
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
