package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"

	"teaselplank/batch"
	"teaselplank/conns"
	"teaselplank/listen"
	"teaselplank/proxy"
	"teaselplank/trace"
)

// defaultMaxBodyBytes bounds a client's body if no configuration does.
const defaultMaxBodyBytes = 4 << 20

// serveClient serves one request of a client.
func (s *Server) serveClient(w http.ResponseWriter, r *http.Request) {
	var x *exchange
	var q proxy.Request
	defer func() { s.containRequest(w, q.ID, x, recover()) }()
	q, err := s.protocol.ParseRequest(r)
	if err != nil {
		s.replyInvalid(w, q, http.StatusBadRequest, err.Error(), err)
		return
	}
	table := s.table()
	var body clientBody
	if q.BodyUnread = !proxy.Accepts(table, q); q.BodyUnread {
		leaveBody(w, r)
	} else if body, err = readBody(r, maxBodyBytes(table)); err != nil {
		s.replyBodyError(w, r, q, err)
		return
	}
	q.Number = s.lastNumber.Add(1)
	q.Connection = connectionOf(r)
	q.Digest = digestOf(r, q.APIKey, body)
	x = &exchange{
		server: s, writer: w, httpRequest: r, body: body, holder: responseHolder(r), request: q,
		inbox: make(chan func()), ended: make(chan struct{}), attempts: make(map[int]*attempt), stageCancels: make(map[int]context.CancelFunc),
	}
	x.run()
}

// digestOf returns a digest of the method, target, caller and body of a request. Clients
// cannot make up a request that has the digest of another one.
func digestOf(r *http.Request, key string, body clientBody) string {
	h := sha256.New()
	for _, field := range []string{r.Method, r.Host, r.RequestURI, key} {
		// Neither a request line nor a header has the byte 0.
		_, _ = io.WriteString(h, field+"\x00") // A hash has no errors.
	}
	for _, chunk := range body.chunks {
		_, _ = h.Write(chunk)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// digestBytes is the length of a digest.
const digestBytes = 16

// connectionOf describes the connection of a request that is being served.
func connectionOf(r *http.Request) proxy.Connection {
	c := listen.ConnOf(r)
	if c == nil {
		return proxy.Connection{}
	}
	return proxy.Connection{Age: c.Age(), Earlier: c.Requests() - 1}
}

// replyInvalid answers a request that cannot be parsed, with a text for its client.
func (s *Server) replyInvalid(w http.ResponseWriter, q proxy.Request, status int, text string, cause error) {
	s.logDecision(trace.Replied, "request", q.ID, "reason", string(proxy.ReasonInvalidRequest), "status", status, "cause", cause.Error())
	s.protocol.SetReplyHeader(w.Header(), q.ID, 0)
	http.Error(w, text, status)
}

// An exchange is one request of a client from its arrival to its final answer. Only
// the handler's goroutine uses it. Stages and attempts run in goroutines of their own,
// which post functions to be run by the handler's.
type exchange struct {
	server      *Server
	writer      http.ResponseWriter
	httpRequest *http.Request
	body        clientBody
	// holder accounts for the response, or is nil.
	holder  conns.Holder
	request proxy.Request

	// context ends when the client disconnects, the deadline passes or the node stops.
	// cancel ends it early; stopTimer releases the timer of the deadline.
	context   context.Context
	cancel    context.CancelFunc
	stopTimer context.CancelFunc
	// inbox receives the functions to run, and ended is closed once none runs any more.
	inbox chan func()
	ended chan struct{}
	// attempts holds the attempts in progress by number.
	attempts map[int]*attempt
	// stageCancels cancels the stages that were started.
	stageCancels map[int]context.CancelFunc
	// headSent is true once the head of a stream's answer was written, and
	// lastEventID is the id of the last event that was written.
	headSent    bool
	lastEventID string
	// finished is true once the request has ended, and aborted if its answer was cut
	// off.
	finished bool
	aborted  bool
}

// run serves the request until it has ended.
func (x *exchange) run() {
	x.context, x.cancel = context.WithCancel(x.httpRequest.Context())
	x.stopTimer = x.cancel
	defer x.close()
	defer context.AfterFunc(x.server.requests, x.cancel)()
	x.step(proxy.RequestArrived{Request: x.request})
	for !x.finished {
		select {
		case f := <-x.inbox:
			f()
		case <-x.context.Done():
			x.finishLate()
		}
	}
	if x.aborted {
		// Closes the connection, so the client sees that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// close ends all that still runs for the request.
func (x *exchange) close() {
	close(x.ended)
	for _, t := range x.attempts {
		t.silence.Stop()
	}
	x.stopTimer()
	x.cancel()
}

// finishLate handles the end of the context. What has already arrived goes first, such as
// the rest of an answer.
func (x *exchange) finishLate() {
	select {
	case f := <-x.inbox:
		f()
	default:
		x.step(x.endEvent())
	}
}

// post hands a function to the exchange's goroutine. It returns false if the exchange has
// ended instead.
func (x *exchange) post(f func()) bool {
	select {
	case x.inbox <- f:
		return true
	case <-x.ended:
		return false
	}
}

// call is like post and waits until the function has returned.
func (x *exchange) call(f func()) bool {
	done := make(chan struct{})
	if !x.post(func() { defer close(done); f() }) {
		return false
	}
	<-done
	return true
}

// endEvent returns the event for a context that is done. It cuts the answer to a client that
// has disconnected, since a client that has only stopped sending still reads.
func (x *exchange) endEvent() proxy.Event {
	if x.httpRequest.Context().Err() != nil {
		x.finished, x.aborted = true, true
		return proxy.ClientDisconnected{Number: x.request.Number}
	}
	return proxy.TimedOut{Number: x.request.Number, ResponseStarted: x.headSent, Unsent: x.withhold()}
}

// withhold prevents the open attempts from sending the request, and reports whether none of them
// has sent any of it.
func (x *exchange) withhold() bool {
	unsent := true
	for _, t := range x.attempts {
		unsent = t.withhold() && unsent
	}
	return unsent
}

func (x *exchange) step(e proxy.Event) { x.perform(x.server.step(e)) }

// perform performs effects in order.
func (x *exchange) perform(effects []proxy.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case proxy.Admitted:
			x.context, x.stopTimer = context.WithDeadline(x.context, e.Deadline)
		case proxy.FindOrigin:
			x.findOrigin(e)
		case proxy.RunStage:
			x.runStage(e.Job)
		case proxy.Withdraw:
			for _, stage := range e.Stages {
				x.stageCancels[stage]()
			}
		case proxy.Send:
			x.send(e)
		case proxy.Deliver:
			x.deliver(e.Attempt)
		case proxy.AwaitRecord:
			x.awaitRecord(e.Attempt)
		case proxy.Cancel:
			x.cancelAttempt(e.Attempt)
		case proxy.Reply:
			x.reply(e)
		case proxy.Abort:
			x.finished, x.aborted = true, true
		}
	}
}

// runStage runs a stage in a goroutine of its own.
func (x *exchange) runStage(job batch.Job) {
	ctx, cancel := context.WithCancel(x.context)
	x.stageCancels[job.Ref.Stage] = cancel
	go func() {
		defer cancel()
		event := x.containedStage(ctx, job)
		if ctx.Err() != nil {
			x.server.discard(event)
			return
		}
		select {
		case x.inbox <- func() { x.step(event) }:
		case <-ctx.Done():
			x.server.discard(event)
		}
	}()
}

// discard releases the results of a stage whose request no longer needs them.
func (s *Server) discard(event proxy.Event) {
	if done, ok := event.(proxy.StageDone); ok {
		s.releases.add(done.Results)
	}
}

// reply writes a final answer that the node itself generates.
func (x *exchange) reply(e proxy.Reply) {
	x.finished = true
	h := x.writer.Header()
	x.server.protocol.SetReplyHeader(h, x.request.ID, e.RetryAfter)
	if x.server.draining.Load() {
		h.Set("Connection", "close")
	}
	http.Error(x.writer, string(e.Reason), e.Status)
}
