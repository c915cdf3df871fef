package core

import (
	"net/http"
	"time"

	"teaselplank/ledger"
	"teaselplank/pipe"
	"teaselplank/wire"
)

// defaultRetryAfter is the retry delay in answers that have no better estimate.
const defaultRetryAfter = time.Second

// errorAnswer returns an answer without a result.
func errorAnswer(id string, outcome wire.Outcome, reason string, retryAfter time.Duration) wire.Answer {
	return wire.Answer{Request: id, Outcome: outcome, Error: reason, RetryAfter: retryAfter.Milliseconds()}
}

// pipeAnswered handles the end of a run.
func (n *Node) pipeAnswered(now time.Time, a pipe.Answer) {
	c := n.calls[a.Request]
	if c == nil {
		return
	}
	c.running = false
	if !c.inLedger {
		n.replyPipe(c, a)
		return
	}
	finished := ledger.DispatchFinished{Attempt: a.Request, Outcome: a.Outcome}
	finished.Result = ledger.Result{Status: a.Status, Output: a.Output}
	if c.service == nil && a.Outcome != wire.Done {
		// A pipeline has no side effects and may run again under its key.
		finished.Outcome = wire.NotRun
	}
	if c.service == nil {
		n.replyPipe(c, a)
		n.calls[a.Request] = &callState{call: c.call, replied: true, inLedger: true}
	}
	n.stepLedger(now, finished)
	if c := n.calls[a.Request]; c != nil && c.replied {
		delete(n.calls, a.Request)
	}
}

// ledgerAnswered handles the ledger's answer to a call.
func (n *Node) ledgerAnswered(now time.Time, a ledger.Answer) {
	c := n.calls[a.Attempt]
	if c == nil || c.replied {
		return
	}
	if c.service == nil && !a.Dispatched && a.Reason == ledger.ReasonLogDown {
		c.inLedger = false
		n.submitPipe(now, c, 0)
		return
	}
	if a.Replayed {
		n.counts.Replays++
	}
	answer := wire.Answer{
		Request: a.Attempt, Outcome: a.Outcome, Output: a.Result.Output,
		Error: string(a.Reason), Dispatched: a.Dispatched, RetryAfter: a.RetryAfter.Milliseconds(),
	}
	status := statusOfOutcome(a.Outcome, a.Result.Status)
	if s, ok := statusOfReason[a.Reason]; ok {
		status = s
	}
	if a.Outcome == wire.Done {
		answer.RetryAfter = 0
	}
	running := c.running
	n.reply(a.Attempt, answer, status, a.Replayed)
	if running {
		c.replied = true
		n.calls[a.Attempt] = c // The run continues, and its result is recorded.
	}
}

var statusOfReason = map[ledger.Reason]int{
	ledger.ReasonKeyExpired: http.StatusGone,
	ledger.ReasonBadKey:     http.StatusBadRequest,
	ledger.ReasonFutureKey:  http.StatusBadRequest,
	ledger.ReasonConflict:   http.StatusUnprocessableEntity,
}

func statusOfOutcome(o wire.Outcome, status int) int {
	switch {
	case o == wire.Done && status != 0:
		return status
	case o == wire.Done:
		return http.StatusOK
	case o == wire.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

func (n *Node) replyPipe(c *callState, a pipe.Answer) {
	answer := wire.Answer{
		Request: a.Request, Outcome: a.Outcome, Output: a.Output, Tokens: a.Tokens,
		Error: string(a.Reason), Dispatched: a.Dispatched, Work: a.Work,
		RetryAfter: a.RetryAfter.Milliseconds(),
	}
	status := statusOfOutcome(a.Outcome, a.Status)
	if a.Reason == pipe.ReasonShare {
		status = http.StatusTooManyRequests
	}
	n.reply(a.Request, answer, status, false)
}

// reply answers a caller. Further replies to the same call have no effect.
func (n *Node) reply(id string, answer wire.Answer, status int, replayed bool) {
	c := n.calls[id]
	if c == nil || c.replied {
		return
	}
	delete(n.calls, id)
	n.counts.Outcomes[answer.Outcome]++
	n.emit(Reply{ID: id, Answer: answer, Status: status, Replayed: replayed})
}
