package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"teaselplank/conns"
	"teaselplank/events"
	"teaselplank/fleet"
	"teaselplank/proxy"
	"teaselplank/stall"
	"teaselplank/wire"
)

// An attempt is one try to get the answer of a request from an upstream. A goroutine of
// its own connects, sends and reads, and passes what it reads to the exchange.
type attempt struct {
	exchange *exchange
	send     proxy.Send
	// cancel ends the attempt and closes its connection.
	cancel   context.CancelFunc
	conn     *conns.Conn
	response *http.Response
	// sentAt is when the request was sent.
	sentAt time.Time
	// fate is set once: by the attempt when it is about to send, or by the exchange when it ends
	// the request before that.
	fate atomic.Int32
	// stopClosing keeps cancel from closing the connection. It returns false if the
	// connection was closed already.
	stopClosing func() bool

	// Only the exchange's goroutine uses the fields below, but for the flags, which the
	// attempt reads after a call to the exchange has set them.
	silence stall.Timer
	// delivers is true once the answer is to be passed on, and awaitsRecord if its first event
	// has to wait until the version of the stream is recorded.
	delivers     bool
	awaitsRecord bool

	// hasGaps is true if the ids of the events left gaps. It is set before the exchange gets
	// the end of the stream.
	hasGaps bool
}

// The fates of an attempt.
const (
	fateOpen int32 = iota
	fateSent
	fateWithheld
)

// claimSend reports whether the request may be sent. Afterwards the upstream may run it.
func (t *attempt) claimSend() bool { return t.fate.CompareAndSwap(fateOpen, fateSent) }

// withhold prevents the request from being sent. It returns false if sending may have begun.
func (t *attempt) withhold() bool {
	return t.fate.CompareAndSwap(fateOpen, fateWithheld) || t.fate.Load() == fateWithheld
}

// run makes the attempt.
func (t *attempt) run(ctx context.Context) {
	defer t.cancel()
	defer t.containAttempt()
	x := t.exchange
	if failure, err := t.open(ctx); failure != "" {
		x.post(func() { x.attemptFailed(t, failure, err) })
		return
	}
	id, head := x.server.protocol.ParseResponse(t.response)
	// Upstreams echo the ID. An answer without it may be a copy from another connection.
	belongs := id == x.request.ID
	x.server.observeNotice(t.send.Upstream, t.response, t.sentAt, belongs)
	if !belongs || head.Status/100 == 2 && !head.Sealed {
		t.finish(false)
		x.post(func() { x.attemptFailed(t, proxy.ResponseMismatch, nil) })
		return
	}
	switch ok := x.call(func() { x.headReceived(t, head) }); {
	case !ok:
		t.finish(false)
	case !t.delivers:
		t.discard()
	case !t.isSound():
		t.finish(false)
		x.post(func() { x.attemptFailed(t, proxy.ResponseMismatch, errUnsound) })
	case t.isStream():
		t.readEvents(ctx)
	default:
		t.readBody()
	}
}

// maxDiscardBytes and discardTimeout bound reading an answer that is not passed on.
const (
	maxDiscardBytes = 64 << 10
	discardTimeout  = 100 * time.Millisecond
)

// open sends the request and reads the head of the answer.
func (t *attempt) open(ctx context.Context) (proxy.Failure, error) {
	x := t.exchange
	c, err := x.server.connect(ctx, t.send.Upstream, t.send.NewConn)
	switch {
	case errors.Is(err, errConnectTimeout):
		return proxy.ConnectTimeout, err
	case errors.Is(err, errUpstreamUnusable):
		return proxy.UpstreamUnusable, err
	case err != nil:
		return proxy.Unreachable, err
	}
	r, err := x.newRequest(t.send)
	if err == nil {
		err = ctx.Err()
	}
	if err == nil && !t.claimSend() {
		err = context.Canceled
	}
	if err != nil {
		c.PutBack(nil)
		return proxy.Unreachable, err
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	sent := x.server.now()
	response, err := c.RoundTrip(r, x.body.size, 0)
	if err != nil {
		stop()
		c.Close()
		return failureOf(err), err
	}
	t.conn, t.response, t.sentAt, t.stopClosing = c, response, sent, stop
	return "", nil
}

// finish returns the connection to the pool if the whole answer was read, and closes
// it otherwise.
func (t *attempt) finish(whole bool) {
	if !t.stopClosing() || !whole || t.response.Close {
		t.conn.Close()
		return
	}
	t.conn.PutBack(t.response.Header)
}

// discard reads the rest of an answer that is not passed on, if it is short and arrives
// soon.
func (t *attempt) discard() {
	t.conn.SetReadTimeout(discardTimeout)
	n, err := io.Copy(io.Discard, io.LimitReader(t.response.Body, maxDiscardBytes+1))
	t.finish(err == nil && n <= maxDiscardBytes)
}

func (t *attempt) isStream() bool {
	return t.send.Route.Kind == fleet.Stream && t.response.StatusCode == http.StatusOK
}

// begin reports the first event of a stream and returns once it may be passed on. It returns
// false if the attempt has ended instead.
func (t *attempt) begin(ctx context.Context) bool {
	x := t.exchange
	if !x.call(func() { x.streamBegan(t) }) {
		return false
	}
	if !t.awaitsRecord {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if x.server.origins.Await(ctx, x.request.ID) {
		return true
	}
	open := false
	ok := x.call(func() {
		x.step(proxy.OriginUnrecorded{Number: x.request.Number, Attempt: t.send.Attempt})
		open = x.isOpen(t)
	})
	return ok && open
}

// errUnsound means that an answer cannot be what was asked for, by its status and headers.
var errUnsound = errors.New("success is of another type than was asked for")

// isSound reports whether an answer may be what was asked for, by its status and headers.
// Requests ask for no encoding, and each success of a stream is a stream of events.
func (t *attempt) isSound() bool {
	switch {
	case t.response.StatusCode/100 != 2:
		return true
	case t.response.Header.Get("Content-Encoding") != "":
		return false
	case t.send.Route.Kind == fleet.Stream:
		return t.response.StatusCode == http.StatusOK && hasEvents(t.response)
	}
	return true
}

// readEvents passes events on as they arrive, each of them whole.
func (t *attempt) readEvents(ctx context.Context) {
	x := t.exchange
	reader := events.NewReader(t.response.Body, t.send.LastEventID)
	if t.send.AllowGap {
		reader.AllowGap()
	}
	if endsWithConnection(t.response) {
		// A resumed stream may have no event left, but nothing would show that.
		reader.RequireEvent()
	}
	for first := true; ; first = false {
		data, id, err := reader.Next()
		if err != nil {
			t.hasGaps = reader.HasGaps()
			t.finish(err == io.EOF)
		}
		if first && err == nil && !t.begin(ctx) {
			t.finish(false)
			return
		}
		ok := x.post(func() { x.eventsRead(t, data, id, err) })
		if err != nil {
			return
		}
		if !ok {
			t.finish(false)
			return
		}
	}
}

// eventType is the media type of a stream of events.
const eventType = "text/event-stream"

// hasEvents reports whether an answer may be a stream of events. One without a type is judged
// by its content alone.
func hasEvents(r *http.Response) bool {
	return r.Header.Get("Content-Type") == "" || mediaType(r) == eventType
}

// mediaType returns the type of a body without its parameters, or an empty string if it is
// not known.
func mediaType(r *http.Response) string {
	t, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return t
}

// endsWithConnection reports whether an answer has neither a length nor chunks. Its end then
// looks the same as a connection that its upstream closed too early.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// readBody passes the body on once it is complete.
func (t *attempt) readBody() {
	x := t.exchange
	b, err := x.server.bodies.ReadAllFor(t.response.Body, x.holder)
	t.finish(err == nil)
	if !x.post(func() { x.bodyRead(t, b, err) }) {
		b.Release()
	}
}

// failureOf returns the failure for an error of reading an answer.
func failureOf(err error) proxy.Failure {
	switch {
	case errors.Is(err, conns.ErrTooLong), errors.Is(err, events.ErrTooLong):
		return proxy.ResponseTooLong
	case errors.Is(err, events.ErrInvalid), errors.Is(err, wire.ErrInvalidStatus):
		return proxy.ResponseMismatch
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
	if x.body.size > 0 {
		r.Body = io.NopCloser(x.body.reader())
		r.ContentLength = int64(x.body.size)
	}
	return r, nil
}

// hopHeaders are the hop-by-hop headers.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader copies the headers of an upstream's answer to the client's.
func (x *exchange) copyHeader(t *attempt) {
	h := x.writer.Header()
	for name, values := range t.response.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	if x.server.draining.Load() {
		h.Set("Connection", "close")
	}
}
