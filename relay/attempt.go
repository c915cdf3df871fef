package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"teaselplank/fleet"
	"teaselplank/proxy"
)

// An answer is an upstream's answer after its head was read.
type answer struct {
	send     proxy.Send
	response *http.Response
	conn     *conn
	// stop keeps the end of the context from closing the connection. It returns false
	// if the context has already ended and closed the connection.
	stop func() bool
}

// finish returns the connection to the pool if the whole answer was read, and closes
// it otherwise.
func (a *answer) finish(whole bool) {
	if !a.stop() || !whole || a.response.Close {
		a.conn.Close()
		return
	}
	a.conn.putBack(a.response.Header)
}

// discard reads the rest of an answer that is not passed on, if it is short and arrives
// soon. The request has to wait meanwhile.
func (a *answer) discard() {
	a.conn.setReadTimeout(discardTimeout)
	n, err := io.Copy(io.Discard, io.LimitReader(a.response.Body, maxDiscardBytes+1))
	a.finish(err == nil && n <= maxDiscardBytes)
}

// send makes an attempt and handles the head of its answer.
func (x *exchange) send(e proxy.Send) {
	a, failure := x.startAttempt(e)
	if failure != "" {
		if x.context.Err() != nil {
			x.step(x.endEvent())
			return
		}
		x.step(x.failureEvent(e.Attempt, failure))
		return
	}
	id, head := x.server.protocol.ParseResponse(a.response)
	if id != x.request.ID && !(head.NotExecuted && id == "") || head.Status/100 == 2 && !head.Sealed {
		a.finish(false)
		x.step(x.failureEvent(e.Attempt, proxy.ResponseMismatch))
		return
	}
	x.answer = a
	effects := x.server.step(proxy.HeadReceived{Number: e.Number, Attempt: e.Attempt, Head: head})
	if !delivers(effects) {
		a.discard()
		x.answer = nil
	}
	x.perform(effects)
}

// maxDiscardBytes and discardTimeout bound reading an answer that is not passed on.
const (
	maxDiscardBytes = 64 << 10
	discardTimeout  = 100 * time.Millisecond
)

func delivers(effects []proxy.Effect) bool {
	for _, e := range effects {
		if _, ok := e.(proxy.Deliver); ok {
			return true
		}
	}
	return false
}

func (x *exchange) failureEvent(attempt int, failure proxy.Failure) proxy.Event {
	return proxy.AttemptFailed{Number: x.request.Number, Attempt: attempt, Failure: failure, LastEventID: x.lastEventID, ResponseStarted: x.headSent}
}

// startAttempt sends the request and reads the head of the answer.
func (x *exchange) startAttempt(e proxy.Send) (*answer, proxy.Failure) {
	ctx := x.context
	c, err := x.server.connect(ctx, e.Upstream)
	switch {
	case errors.Is(err, errConnectTimeout):
		return nil, proxy.ConnectTimeout
	case errors.Is(err, errUpstreamUnusable):
		return nil, proxy.UpstreamUnusable
	case err != nil:
		return nil, proxy.Unreachable
	}
	r, err := x.newRequest(e)
	if err != nil {
		c.putBack(nil)
		return nil, proxy.Unreachable
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	response, err := c.roundTrip(r, len(x.body), e.HeaderTimeout)
	if err != nil {
		stop()
		c.Close()
		return nil, failureOf(err)
	}
	x.server.observeNotice(e.Upstream, response)
	return &answer{send: e, response: response, conn: c, stop: stop}, ""
}

// failureOf returns the failure for an error of reading an answer.
func failureOf(err error) proxy.Failure {
	switch {
	case errors.Is(err, errResponseTooLong):
		return proxy.ResponseTooLong
	case isTimeout(err):
		return proxy.ResponseTimeout
	}
	return proxy.ConnectionFailed
}

// newRequest returns the request of an attempt. This package writes it to the
// connection itself, exactly once, so no lower layer retries it.
func (x *exchange) newRequest(e proxy.Send) (*http.Request, error) {
	target, err := url.ParseRequestURI(x.httpRequest.RequestURI)
	if err != nil {
		return nil, fmt.Errorf("parse target: %w", err)
	}
	if !strings.HasPrefix(x.httpRequest.RequestURI, "//") {
		// An opaque URL is sent exactly as the client wrote it.
		target = &url.URL{Opaque: x.httpRequest.RequestURI}
	}
	r := &http.Request{
		Method: x.httpRequest.Method, URL: target, Host: x.httpRequest.Host,
		Header: x.server.protocol.ForwardHeader(x.httpRequest.Header, e, x.server.now()),
	}
	r.Body = http.NoBody
	if len(x.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(x.body))
		r.ContentLength = int64(len(x.body))
	}
	return r, nil
}

// hopHeaders are the hop-by-hop headers.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader copies the headers of an upstream's answer to the client's.
func (x *exchange) copyHeader(a *answer) {
	h := x.writer.Header()
	for name, values := range a.response.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	if x.server.draining.Load() {
		h.Set("Connection", "close")
	}
}

// deliver passes the answer on to the client.
func (x *exchange) deliver() {
	a := x.answer
	x.answer = nil
	if a.send.Route.Kind == fleet.Stream && a.response.StatusCode == http.StatusOK {
		x.stream(a)
		return
	}
	body, err := x.server.bodies.read(a.response.Body)
	a.finish(err == nil)
	switch {
	case err != nil && x.context.Err() != nil:
		x.step(x.endEvent())
	case err != nil:
		x.step(x.failureEvent(a.send.Attempt, failureOf(err)))
	default:
		defer body.release()
		x.copyHeader(a)
		x.writer.Header().Set("Content-Length", strconv.Itoa(body.size))
		x.writer.WriteHeader(a.response.StatusCode)
		body.writeTo(x.writer)
		x.reportFinished(a)
	}
}

func (x *exchange) reportFinished(a *answer) {
	x.finished = true
	x.step(proxy.Finished{Number: x.request.Number, Attempt: a.send.Attempt, Status: a.response.StatusCode})
}

// stream passes events on as they arrive, each of them whole.
func (x *exchange) stream(a *answer) {
	events := newEventReader(a.response.Body, x.lastEventID)
	flush := http.NewResponseController(x.writer)
	started := false
	var watch *idleWatch
	if a.send.Route.Resumable {
		watch = x.watchIdle(a)
		defer watch.stop()
	}
	for {
		data, id, err := events.next()
		watch.reset()
		if err == io.EOF {
			a.finish(true)
			x.writeStreamHead(a)
			x.reportFinished(a)
			return
		}
		if err != nil {
			a.finish(false)
			x.streamFailed(a, err)
			return
		}
		if !started {
			started = true
			x.step(proxy.FirstEvent{Number: x.request.Number, Attempt: a.send.Attempt})
		}
		x.writeStreamHead(a)
		if !x.writeEvents(data, flush) {
			// The client's connection has failed; end the exchange.
			x.cancel()
		}
		if id != "" {
			x.lastEventID = id
		}
	}
}

// writeEvents writes events to the client and reports whether that succeeded.
func (x *exchange) writeEvents(data []byte, flush *http.ResponseController) bool {
	if _, err := x.writer.Write(data); err != nil {
		return false
	}
	return flush.Flush() == nil
}

// writeStreamHead writes the head of a stream's answer, once.
func (x *exchange) writeStreamHead(a *answer) {
	if x.headSent {
		return
	}
	x.headSent = true
	x.copyHeader(a)
	x.writer.Header().Del("Content-Length")
	x.writer.WriteHeader(a.response.StatusCode)
}

func (x *exchange) streamFailed(a *answer, err error) {
	if x.context.Err() != nil {
		x.step(x.endEvent())
		return
	}
	x.step(x.failureEvent(a.send.Attempt, failureOf(err)))
}
