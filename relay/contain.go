package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"slices"

	"teaselplank/batch"
	"teaselplank/proxy"
)

// A panic in the work of one request must not end the process, and with it the work of all others. It is
// contained where that work begins: the request fails, and one line and a counter say it. Input is checked
// where it is parsed; nothing relies on this.

// A workKind is a kind of work of a request.
type workKind string

// The kinds of work.
const (
	workRequest   workKind = "request"
	workAttempt   workKind = "attempt"
	workStage     workKind = "stage"
	workStageCall workKind = "stage call"
)

// errPanicked means that the code that handles a request has panicked.
var errPanicked = errors.New("panic in the work of the request")

// maxStackBytes bounds what a line in the log has of a stack.
const maxStackBytes = 4 << 10

// reportPanic logs and counts a panic in the work of a request.
func (s *Server) reportPanic(w workKind, request string, value any) {
	s.metrics.panics.WithLabelValues(string(w)).Inc()
	stack := debug.Stack()
	s.logger.Error("panic in the work of a request", "work", string(w), "request", request, "panic", fmt.Sprint(value),
		"stack", string(stack[:min(len(stack), maxStackBytes)]))
}

// containRequest answers a request whose handler has panicked with a value, or does nothing if that is
// nil. There may be no exchange yet.
func (s *Server) containRequest(w http.ResponseWriter, id string, x *exchange, value any) {
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler {
		panic(value)
	}
	s.reportPanic(workRequest, id, value)
	if x != nil {
		x.leave()
	}
	if x != nil && x.headSent {
		panic(http.ErrAbortHandler)
	}
	// The request may have run, which 502 does not deny.
	s.protocol.SetReplyHeader(w.Header(), id, 0)
	w.Header().Set("Connection", "close")
	http.Error(w, http.StatusText(http.StatusBadGateway), http.StatusBadGateway)
}

// leave makes the node forget the request. What has panicked may do so again.
func (x *exchange) leave() {
	defer func() {
		if value := recover(); value != nil {
			x.server.reportPanic(workRequest, x.request.ID, value)
		}
	}()
	x.step(proxy.ClientDisconnected{Number: x.request.Number})
}

// containAttempt fails an attempt whose goroutine panics. It is deferred by that goroutine.
func (t *attempt) containAttempt() {
	value := recover()
	if value == nil {
		return
	}
	x := t.exchange
	x.server.reportPanic(workAttempt, x.request.ID, value)
	failure := proxy.ConnectionFailed
	if t.withhold() {
		failure = proxy.Unreachable
	}
	x.post(func() { x.attemptFailed(t, failure, errPanicked) })
}

// containedStage runs a stage, which fails if that panics.
func (x *exchange) containedStage(ctx context.Context, job batch.Job) (event proxy.Event) {
	defer func() {
		if value := recover(); value != nil {
			x.server.reportPanic(workStage, x.request.ID, value)
			event = proxy.StageFailed{Number: x.request.Number, Stage: job.Ref.Stage, Reason: batch.ReasonFailed}
		}
	}()
	return x.server.runStage(ctx, x.request.Number, job)
}

// containedCall calls a stage worker. If that panics, the pieces of the call fail, and the worker does
// not count as faulty.
func (o *owner) containedCall(c batch.Call) (outcomes []batch.Outcome, failure batch.Failure) {
	defer func() {
		if value := recover(); value != nil {
			o.server.reportPanic(workStageCall, c.Items[0].Ref.Request, value)
			outcomes, failure = slices.Repeat([]batch.Outcome{{Failure: batch.Errored}}, len(c.Items)), batch.NoFailure
		}
	}()
	return o.callWorker(c)
}
