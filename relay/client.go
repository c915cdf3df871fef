package relay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"teaselplank/batch"
	"teaselplank/proxy"
	"teaselplank/trace"
)

// defaultMaxBody bounds a client's body, in bytes, while no configuration does.
const defaultMaxBody = 4 << 20

// serveClient serves one request of a client.
func (s *Server) serveClient(w http.ResponseWriter, r *http.Request) {
	q, err := s.protocol.Request(r)
	if err != nil {
		s.notValid(w, q, http.StatusBadRequest, err.Error(), err)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxBody()))
	if err != nil {
		s.bodyFailed(w, q, err)
		return
	}
	q.Number = s.number.Add(1)
	x := &exchange{server: s, writer: w, request: r, body: body, query: q, events: make(chan proxy.Event), stages: make(map[int]context.CancelFunc)}
	x.run()
}

func (s *Server) maxBody() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.node.Table(); t != nil && t.Limits().BodyBytes > 0 {
		return t.Limits().BodyBytes
	}
	return defaultMaxBody
}

// bodyFailed answers a request whose body is too large or did not come.
func (s *Server) bodyFailed(w http.ResponseWriter, q proxy.Request, err error) {
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	s.notValid(w, q, status, http.StatusText(status), err)
}

// notValid answers a request that cannot be read, with a text for its client.
func (s *Server) notValid(w http.ResponseWriter, q proxy.Request, status int, text string, cause error) {
	s.decided(trace.Replied, "request", q.ID, "reason", string(proxy.ReasonBad), "status", status, "cause", cause.Error())
	s.protocol.Reply(w.Header(), q.ID, 0)
	http.Error(w, text, status)
}

// An exchange is one request of a client from its arrival to its final answer. It
// belongs to the goroutine of its handler; stages are done by others, which bring
// their ends through events.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	body    []byte
	query   proxy.Request

	// context ends when the client leaves or the time is over.
	context context.Context
	cancel  context.CancelFunc
	events  chan proxy.Event
	// stages holds the ends of the stages under way.
	stages map[int]context.CancelFunc
	// answer is the answer of the attempt under way, or nil.
	answer *answer
	// opened is true once a part of an answer was written, and last the last
	// event that was.
	opened bool
	last   string
	final  bool
	cut    bool
}

// run serves the request to its end.
func (x *exchange) run() {
	x.context, x.cancel = context.WithCancel(x.request.Context())
	defer func() { x.cancel() }()
	x.step(proxy.Arrive{Request: x.query})
	for !x.final {
		select {
		case e := <-x.events:
			x.step(e)
		case <-x.context.Done():
			x.step(x.ended())
		}
	}
	if x.cut {
		// The client sees that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

// ended returns the event for a context that is done.
func (x *exchange) ended() proxy.Event {
	if x.request.Context().Err() != nil {
		x.final = true
		return proxy.Left{Number: x.query.Number}
	}
	return proxy.TimedOut{Number: x.query.Number, Opened: x.opened}
}

func (x *exchange) step(e proxy.Event) { x.perform(x.server.step(e)) }

// perform performs effects, in their order.
func (x *exchange) perform(effects []proxy.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case proxy.Admitted:
			x.context, x.cancel = context.WithDeadline(x.request.Context(), e.Deadline)
		case proxy.RunStage:
			x.runStage(e.Job)
		case proxy.Withdraw:
			for _, stage := range e.Stages {
				x.stages[stage]()
			}
		case proxy.Send:
			x.send(e)
		case proxy.Deliver:
			x.deliver()
		case proxy.Reply:
			x.reply(e)
		case proxy.Cut:
			x.final, x.cut = true, true
		}
	}
}

// runStage has a stage done in a goroutine of its own.
func (x *exchange) runStage(job batch.Job) {
	ctx, cancel := context.WithCancel(x.context)
	x.stages[job.Ref.Stage] = cancel
	number := x.query.Number
	go func() {
		defer cancel()
		event := x.server.runStage(ctx, number, job)
		if ctx.Err() != nil {
			x.server.discard(event)
			return
		}
		select {
		case x.events <- event:
		case <-ctx.Done():
			x.server.discard(event)
		}
	}()
}

// discard frees the results of a stage that nobody waits for any more.
func (s *Server) discard(event proxy.Event) {
	if done, ok := event.(proxy.StageDone); ok {
		s.releases.add(done.Results)
	}
}

// reply writes a final answer of the system's own.
func (x *exchange) reply(e proxy.Reply) {
	x.final = true
	h := x.writer.Header()
	x.server.protocol.Reply(h, x.query.ID, e.RetryAfter)
	if x.server.stopped.Load() {
		h.Set("Connection", "close")
	}
	http.Error(x.writer, string(e.Reason), e.Status)
}
