package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"teaselplank/batch"
	"teaselplank/conns"
	"teaselplank/fleet"
	"teaselplank/memory"
)

// A reply is the whole answer of a stage worker. It does not name the call that it belongs to.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// A verdict says whether a reply belongs to the call just made, or may be a copy of one to an
// earlier call on its connection. The zero value is that of a reply that cannot belong to it.
type verdict struct {
	// belongs is true if the reply is no copy.
	belongs bool
	// reusable is true if the connection may be used again. A copy of the reply is then either
	// recognised or does no harm.
	reusable bool
}

// checkedResults are the results in a reply to a call that runs pieces.
type checkedResults struct {
	verdict  verdict
	outcomes []batch.Outcome
	failure  batch.Failure
}

// checkResults decodes the reply to a call that runs pieces. No two calls have the same
// result, by which a copy is recognised. A reply without results ends its connection, so it
// is no copy either.
func (s *Server) checkResults(conn *conns.Conn, p reply, pieces int) checkedResults {
	outcomes, failure := s.protocol.ParseStageResponse(p.status, p.header, p.body, pieces)
	if failure != batch.NoFailure {
		return checkedResults{verdict: verdict{belongs: p.status != http.StatusOK}, failure: failure}
	}
	var handles []string
	for _, o := range outcomes {
		if o.Handle != "" {
			handles = append(handles, o.Handle)
		}
	}
	if conn.Repeats(handles) {
		return checkedResults{}
	}
	return checkedResults{verdict: verdict{belongs: true, reusable: len(handles) > 0}, outcomes: outcomes}
}

// checkControl returns a check of replies to calls that run no pieces, given whether a reply
// with status 200 has the form that the call asks for. Other replies end their connections,
// so they are no copies.
//
// A copy of one with status 200 may name a limit that has ended. It cannot end one or raise
// it, as these calls have connections of their own while a limit is known.
func checkControl(hasForm func(body []byte) bool) func(*conns.Conn, reply) verdict {
	return func(_ *conns.Conn, p reply) verdict {
		if p.status != http.StatusOK {
			return verdict{belongs: true}
		}
		if !hasForm(p.body) {
			return verdict{}
		}
		return verdict{belongs: true, reusable: true}
	}
}

// A workerCall is a call to a stage worker.
type workerCall struct {
	request *http.Request
	worker  fleet.Upstream
	timeout time.Duration
	// newConn is true if the call may not use a connection that was used before.
	newConn bool
	check   func(*conns.Conn, reply) verdict
}

// controlTimeout bounds a call that frees results or asks for a report.
const controlTimeout = time.Second

// postControl makes a call that runs no pieces.
func (s *Server) postControl(r *http.Request, u fleet.Upstream, hasForm func(body []byte) bool) (reply, batch.Failure) {
	return s.post(workerCall{
		request: r, worker: u, timeout: controlTimeout, newConn: s.isLimited(u), check: checkControl(hasForm),
	})
}

// post makes a call to a stage worker, and reads and checks the whole reply.
func (s *Server) post(call workerCall) (reply, batch.Failure) {
	u := call.worker
	ctx, cancel := context.WithTimeout(s.context, call.timeout)
	defer cancel()
	c, err := s.connect(ctx, u, call.newConn)
	if errors.Is(err, errConnectTimeout) {
		return reply{}, batch.ConnectTimeout
	}
	if err != nil {
		return reply{}, batch.Unreachable
	}
	sent := s.now()
	response, err := c.RoundTrip(call.request, int(call.request.ContentLength), call.timeout)
	if err != nil {
		c.Close()
		s.metrics.countUpstreamFailure(u.Service, "exchange")
		return reply{}, batch.ConnectionFailed
	}
	c.SetReadTimeout(time.Until(sent.Add(call.timeout)))
	body, err := readReply(response.Body)
	if err != nil {
		s.observeNotice(u, response, sent, response.StatusCode != http.StatusOK)
		c.Close()
		s.metrics.countUpstreamFailure(u.Service, "read")
		return reply{}, batch.ConnectionFailed
	}
	s.bounds.results.Add(memory.Results, int64(len(body)))
	defer s.bounds.results.Release(memory.Results, int64(len(body)))
	p := reply{response.StatusCode, response.Header, body}
	v := call.check(c, p)
	s.observeNotice(u, response, sent, v.belongs)
	if !v.reusable || response.Close {
		c.Close()
	} else {
		c.PutBack(response.Header)
	}
	if v == (verdict{}) {
		s.metrics.countUpstreamFailure(u.Service, "mismatch")
		return reply{}, batch.ConnectionFailed
	}
	return p, batch.NoFailure
}

// maxReplyBytes bounds the reply of a stage worker.
const maxReplyBytes = 256 << 10

// readReply reads the whole reply of a stage worker.
func readReply(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxReplyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read reply: %w", err)
	}
	if len(data) > maxReplyBytes {
		return nil, fmt.Errorf("read reply: %w", conns.ErrTooLong)
	}
	return data, nil
}
