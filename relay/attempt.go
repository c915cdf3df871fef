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

// An answer is an upstream's answer whose head was read.
type answer struct {
	send     proxy.Send
	response *http.Response
	conn     *conn
	// release ends the watch of the context over the connection. It reports
	// false if the context has ended and the connection is closed.
	release func() bool
}

// done gives the connection back if the whole answer was read, or closes it.
func (a *answer) done(whole bool) {
	if !a.release() || !whole || a.response.Close {
		a.conn.Close()
		return
	}
	a.conn.finish(a.response.Header)
}

// send performs an attempt up to the head of its answer.
func (x *exchange) send(e proxy.Send) {
	a, failure := x.open(e)
	if failure != "" {
		if x.context.Err() != nil {
			x.step(x.ended())
			return
		}
		x.step(x.broke(e.Attempt, failure))
		return
	}
	id, head := x.server.protocol.Answer(a.response)
	if id != x.query.ID && !(head.NotRun && id == "") || head.Status/100 == 2 && !head.Sealed {
		a.done(false)
		x.step(x.broke(e.Attempt, proxy.Crossed))
		return
	}
	x.answer = a
	effects := x.server.step(proxy.Answered{Number: e.Number, Attempt: e.Attempt, Answer: head})
	if !delivers(effects) {
		_, err := io.Copy(io.Discard, io.LimitReader(a.response.Body, maxRefusal))
		a.done(err == nil)
		x.answer = nil
	}
	x.perform(effects)
}

// maxRefusal bounds what is read of an answer that is not passed on, in bytes.
const maxRefusal = 64 << 10

func delivers(effects []proxy.Effect) bool {
	for _, e := range effects {
		if _, ok := e.(proxy.Deliver); ok {
			return true
		}
	}
	return false
}

func (x *exchange) broke(attempt int, failure proxy.Failure) proxy.Event {
	return proxy.Broke{Number: x.query.Number, Attempt: attempt, Failure: failure, LastEvent: x.last, Opened: x.opened}
}

// open sends the request and reads the head of the answer.
func (x *exchange) open(e proxy.Send) (*answer, proxy.Failure) {
	ctx := x.context
	c, err := x.server.connect(ctx, e.Upstream)
	switch {
	case errors.Is(err, errUnanswered):
		return nil, proxy.Unanswered
	case errors.Is(err, errWithheld):
		return nil, proxy.Withheld
	case err != nil:
		return nil, proxy.Unreached
	}
	r, err := x.outgoing(e)
	if err != nil {
		c.finish(nil)
		return nil, proxy.Unreached
	}
	release := context.AfterFunc(ctx, func() { c.Close() })
	response, err := c.exchange(r, len(x.body), e.Patience)
	if err != nil {
		release()
		c.Close()
		failure := proxy.Broken
		if isTimeout(err) {
			failure = proxy.Silent
		}
		return nil, failure
	}
	return &answer{send: e, response: response, conn: c, release: release}, ""
}

// outgoing returns the request of an attempt. It is written by this package
// itself, once: nothing below repeats it.
func (x *exchange) outgoing(e proxy.Send) (*http.Request, error) {
	target, err := url.ParseRequestURI(x.request.RequestURI)
	if err != nil {
		return nil, fmt.Errorf("parse target: %w", err)
	}
	if !strings.HasPrefix(x.request.RequestURI, "//") {
		// An opaque target is written as the client wrote it.
		target = &url.URL{Opaque: x.request.RequestURI}
	}
	r := &http.Request{
		Method: x.request.Method, URL: target, Host: x.request.Host,
		Header: x.server.protocol.Forward(x.request.Header, e, x.server.now()),
	}
	r.Body = http.NoBody
	if len(x.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(x.body))
		r.ContentLength = int64(len(x.body))
	}
	return r, nil
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHead sets the headers of the client's answer.
func (x *exchange) copyHead(a *answer) {
	h := x.writer.Header()
	for name, values := range a.response.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	if x.server.stopped.Load() {
		h.Set("Connection", "close")
	}
}

// deliver passes the answer on.
func (x *exchange) deliver() {
	a := x.answer
	x.answer = nil
	if a.send.Route.Kind == fleet.Stream && a.response.StatusCode == http.StatusOK {
		x.stream(a)
		return
	}
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxAnswer+1))
	whole := err == nil && len(body) <= maxAnswer
	a.done(whole)
	switch {
	case x.context.Err() != nil && !whole:
		x.step(x.ended())
	case !whole:
		x.step(x.broke(a.send.Attempt, proxy.Broken))
	default:
		x.copyHead(a)
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		x.writer.WriteHeader(a.response.StatusCode)
		// A client that does not take its answer has left.
		_, _ = x.writer.Write(body)
		x.finish(a)
	}
}

// maxAnswer bounds an answer that does not stream, in bytes.
const maxAnswer = 16 << 20

func (x *exchange) finish(a *answer) {
	x.final = true
	x.step(proxy.Finished{Number: x.query.Number, Attempt: a.send.Attempt, Status: a.response.StatusCode})
}

// stream passes events on as they come, each as a whole.
func (x *exchange) stream(a *answer) {
	events := newEvents(a.response.Body, x.last)
	flush := http.NewResponseController(x.writer)
	began := false
	for {
		if a.send.Route.Resumable {
			a.conn.patience(x.context, silentAfter)
		}
		data, id, err := events.next()
		if err == io.EOF {
			a.done(true)
			x.open200(a)
			x.finish(a)
			return
		}
		if err != nil {
			a.done(false)
			x.streamFailed(a, err)
			return
		}
		if !began {
			began = true
			x.step(proxy.Began{Number: x.query.Number, Attempt: a.send.Attempt})
		}
		x.open200(a)
		if !x.pass(data, flush) {
			// The client's connection has failed: nothing is left to do for it.
			x.cancel()
		}
		if id != "" {
			x.last = id
		}
	}
}

// pass writes events to the client.
func (x *exchange) pass(data []byte, flush *http.ResponseController) bool {
	if _, err := x.writer.Write(data); err != nil {
		return false
	}
	return flush.Flush() == nil
}

// silentAfter is how long the events of a resumable stream may pause before it is
// taken up at another upstream.
const silentAfter = 1200 * time.Millisecond

// open200 writes the head of a stream's answer, once.
func (x *exchange) open200(a *answer) {
	if x.opened {
		return
	}
	x.opened = true
	x.copyHead(a)
	x.writer.Header().Del("Content-Length")
	x.writer.WriteHeader(a.response.StatusCode)
}

func (x *exchange) streamFailed(a *answer, err error) {
	if x.context.Err() != nil {
		x.step(x.ended())
		return
	}
	failure := proxy.Broken
	if isTimeout(err) {
		failure = proxy.Silent
	}
	x.step(x.broke(a.send.Attempt, failure))
}
