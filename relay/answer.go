package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"teaselplank/conns"
	"teaselplank/proxy"
)

// streamIdleTimeout is how long a resumable stream may send no event before the reducer
// decides whether to make another attempt.
const streamIdleTimeout = 1200 * time.Millisecond

// send starts an attempt.
func (x *exchange) send(e proxy.Send) {
	ctx, cancel := context.WithCancel(x.context)
	t := &attempt{exchange: x, send: e, cancel: cancel}
	x.attempts[e.Attempt] = t
	t.silence.Start(e.StallAfter, func() { x.post(func() { x.checkSilence(t) }) })
	go t.run(ctx)
}

// end removes an attempt that has ended or is to end.
func (x *exchange) end(t *attempt) {
	t.silence.Stop()
	delete(x.attempts, t.send.Attempt)
}

// isOpen reports whether an attempt has neither ended nor been cancelled.
func (x *exchange) isOpen(t *attempt) bool { return x.attempts[t.send.Attempt] == t }

// cancelAttempt ends an attempt whose answer is not needed.
func (x *exchange) cancelAttempt(number int) {
	if t := x.attempts[number]; t != nil {
		x.end(t)
		t.cancel()
	}
}

// checkSilence reports an attempt whose upstream is silent.
func (x *exchange) checkSilence(t *attempt) {
	if !x.isOpen(t) || !t.silence.Expired() {
		return
	}
	x.step(proxy.AttemptStalled{
		Number: x.request.Number, Attempt: t.send.Attempt, Silence: t.silence.Length(),
		LastEventID: x.lastEventID, ResponseStarted: x.headSent,
	})
}

// received records that an upstream has sent something.
func (x *exchange) received(t *attempt) {
	length, reported := t.silence.End()
	if reported {
		x.step(proxy.AttemptContinued{Number: x.request.Number, Attempt: t.send.Attempt, Silence: length})
	}
}

// attemptFailed handles the end of an attempt without a whole answer. The error may be
// nil.
func (x *exchange) attemptFailed(t *attempt, failure proxy.Failure, err error) {
	if x.context.Err() != nil {
		x.step(x.endEvent())
		return
	}
	if !x.isOpen(t) {
		return
	}
	x.end(t)
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	x.step(proxy.AttemptFailed{
		Number: x.request.Number, Attempt: t.send.Attempt, Failure: failure, Silence: t.silence.Length(), Cause: cause,
		LastEventID: x.lastEventID, ResponseStarted: x.headSent,
	})
}

// headReceived handles the head of an answer.
func (x *exchange) headReceived(t *attempt, head proxy.ResponseHead) {
	if !x.isOpen(t) {
		return
	}
	x.step(proxy.HeadReceived{Number: x.request.Number, Attempt: t.send.Attempt, Head: head})
	if !t.delivers {
		x.end(t)
	}
}

// deliver lets an attempt forward its answer to the client.
func (x *exchange) deliver(number int) {
	t := x.attempts[number]
	if t == nil {
		return
	}
	t.delivers = true
	limit := time.Duration(0)
	if t.isStream() && t.send.Route.Resumable {
		limit = streamIdleTimeout
	}
	t.silence.Restart(limit)
}

// streamBegan reports the first event of a stream.
func (x *exchange) streamBegan(t *attempt) {
	if !x.isOpen(t) {
		return
	}
	x.received(t)
	x.step(proxy.FirstEvent{Number: x.request.Number, Attempt: t.send.Attempt})
}

// awaitRecord lets an attempt pass its first event on only once the version of the stream is
// recorded.
func (x *exchange) awaitRecord(number int) {
	if t := x.attempts[number]; t != nil {
		t.awaitsRecord = true
	}
}

// eventsRead writes events to the client and ends the answer at the end of the stream.
func (x *exchange) eventsRead(t *attempt, data []byte, id string, err error) {
	if !x.isOpen(t) {
		return
	}
	if err != nil && err != io.EOF {
		x.attemptFailed(t, failureOf(err), err)
		return
	}
	x.received(t)
	if err == io.EOF {
		x.writeStreamHead(t)
		x.reportFinished(t)
		return
	}
	x.writeStreamHead(t)
	if !x.writeEvents(data) {
		// The client's connection has failed; end the exchange.
		x.cancel()
	}
	if id != "" {
		x.lastEventID = id
	}
}

// writeEvents writes events to the client and reports whether that succeeded.
func (x *exchange) writeEvents(data []byte) bool {
	if _, err := x.writer.Write(data); err != nil {
		return false
	}
	return http.NewResponseController(x.writer).Flush() == nil
}

// writeStreamHead writes the head of a stream's answer, once.
func (x *exchange) writeStreamHead(t *attempt) {
	if x.headSent {
		return
	}
	x.headSent = true
	x.copyHeader(t)
	x.writer.Header().Del("Content-Length")
	x.writer.WriteHeader(t.response.StatusCode)
}

// bodyRead writes an answer that is not a stream. The body is nil if there is an error.
func (x *exchange) bodyRead(t *attempt, b *conns.Body, err error) {
	defer b.Release()
	if !x.isOpen(t) {
		return
	}
	if err != nil {
		x.attemptFailed(t, failureOf(err), err)
		return
	}
	x.copyHeader(t)
	x.writer.Header().Set("Content-Length", strconv.Itoa(b.Size()))
	x.writer.WriteHeader(t.response.StatusCode)
	b.CopyTo(x.writer)
	x.reportFinished(t)
}

func (x *exchange) reportFinished(t *attempt) {
	x.finished = true
	x.step(proxy.Finished{Number: x.request.Number, Attempt: t.send.Attempt, Status: t.response.StatusCode})
}
