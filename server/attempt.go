package server

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"teaselplank/core"
	"teaselplank/member"
	"teaselplank/pipe"
	"teaselplank/wire"
)

// startCall runs an attempt in a separate goroutine.
func (s *Server) startCall(e pipe.Call) {
	ctx, cancel := context.WithDeadline(s.context, e.Deadline)
	buffer := s.tokenBuffer(e.Ref.Request)
	if buffer != nil {
		buffer.setWriter(e.Ref)
	}
	s.upstreams.track(e.Ref, cancel)
	go func() {
		defer s.upstreams.cancel(e.Ref)
		switch {
		case e.Step.Kind == core.StepService:
			s.callService(ctx, e)
		case e.Step.Stream:
			s.callStream(ctx, e, buffer)
		default:
			s.callStage(ctx, e)
		}
	}()
}

// cancelCall stops an attempt and sends its upstream a cancel request.
func (s *Server) cancelCall(e pipe.Cancel) {
	s.upstreams.cancel(e.Ref)
	ctx, cancel := context.WithTimeout(s.context, cancelTimeout)
	defer cancel()
	body, err := json.Marshal(wire.StageCall{Request: e.Ref.Request, Stage: e.Ref.Stage, Attempt: e.Ref.Attempt})
	if err != nil {
		return
	}
	r, err := newPost(ctx, e.Worker, "/cancel", body)
	if err != nil {
		return
	}
	response, err := s.upstreams.shared.Do(r)
	if err != nil {
		s.metrics.countUpstreamFailure(e.Worker.Pool, "cancel")
		return
	}
	response.Body.Close()
}

func encodeStageCall(e pipe.Call) ([]byte, error) {
	body, err := json.Marshal(wire.StageCall{
		Request: e.Ref.Request, Stage: e.Ref.Stage, Attempt: e.Ref.Attempt,
		Kind: e.Step.Kind, Model: e.Step.Model, Input: e.Input, Prefix: e.Prefix,
		MaxTokens: e.Tokens, ResumeFrom: e.ResumeFrom,
	})
	if err != nil {
		return nil, fmt.Errorf("encode stage call of request %q: %w", e.Ref.Request, err)
	}
	return body, nil
}

// sendCall sends a request and returns the response. If there is none, it reports the
// failure and returns nil.
func (s *Server) sendCall(ctx context.Context, client *http.Client, e pipe.Call, r *http.Request) *http.Response {
	var connected atomic.Bool
	clientTrace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := client.Do(r.WithContext(httptrace.WithClientTrace(ctx, clientTrace)))
	if err == nil && wire.CheckFinal(response.StatusCode) != nil {
		response.Body.Close()
		s.reportFailure(e, pipe.ResponseMismatch, 0)
		return nil
	}
	if err == nil {
		s.reportLeaving(e.Worker, response)
		return response
	}
	failure := pipe.ConnectionFailed
	if !connected.Load() {
		failure = pipe.Unsent
	}
	s.reportFailure(e, failure, 0)
	return nil
}

func (s *Server) reportLeaving(h wire.Host, response *http.Response) {
	if response.Header.Get(wire.HeaderLeaving) == "true" {
		s.Post(member.MarkObserved{Mark: member.Mark{Host: h.ID, Incarnation: h.Incarnation}})
	}
}

func (s *Server) reportFailure(e pipe.Call, failure pipe.Failure, tokens int) {
	s.metrics.countUpstreamFailure(e.Worker.Pool, failureNames[failure])
	s.Post(pipe.Failed{Ref: e.Ref, Failure: failure, Tokens: tokens})
}

var failureNames = map[pipe.Failure]string{
	pipe.Unsent: "unsent", pipe.Busy: "busy", pipe.FencingRefused: "stale", pipe.ConnectionFailed: "broken",
	pipe.UpstreamError: "faulty", pipe.ResponseTimeout: "silent", pipe.ResponseMismatch: "crossed",
}

// reportErrorStatus reports a response whose status is an error as a failure: Busy for
// 429 and 503, Faulty for all others.
func (s *Server) reportErrorStatus(e pipe.Call, response *http.Response) {
	failure := pipe.UpstreamError
	if response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable {
		failure = pipe.Busy
	}
	s.reportFailure(e, failure, 0)
}

// sendStageCall sends a stage call and returns a response with status 200. On any other
// result it reports the failure and returns nil.
func (s *Server) sendStageCall(ctx context.Context, e pipe.Call, path string) *http.Response {
	body, err := encodeStageCall(e)
	if err != nil {
		s.reportFailure(e, pipe.Unsent, 0)
		return nil
	}
	r, err := newPost(ctx, e.Worker, path, body)
	if err != nil {
		s.reportFailure(e, pipe.Unsent, 0)
		return nil
	}
	response := s.sendCall(ctx, s.upstreams.shared, e, r)
	if response != nil && response.StatusCode != http.StatusOK {
		response.Body.Close()
		s.reportErrorStatus(e, response)
		return nil
	}
	return response
}

// callStage runs an attempt of a stage whose response is not streamed.
func (s *Server) callStage(ctx context.Context, e pipe.Call) {
	response := s.sendStageCall(ctx, e, "/stage")
	if response == nil {
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, wire.MaxBody+1))
	var reply wire.StageReply
	if err != nil || len(data) > wire.MaxBody || json.Unmarshal(data, &reply) != nil {
		s.reportFailure(e, pipe.ConnectionFailed, 0)
		return
	}
	if (pipe.Ref{Request: reply.Request, Stage: reply.Stage, Attempt: reply.Attempt}) != e.Ref {
		response.Close = true
		s.upstreams.shared.CloseIdleConnections()
		s.reportFailure(e, pipe.ResponseMismatch, 0)
		return
	}
	s.Post(core.LoadReported{Host: e.Worker.ID, Load: reply.Load})
	s.Post(pipe.Replied{Ref: e.Ref, Output: reply.Output, Status: http.StatusOK, Work: reply.Work})
}

// callService runs an attempt of a plain service. A call that must run at most once uses
// a new connection, so that net/http does not retry it.
func (s *Server) callService(ctx context.Context, e pipe.Call) {
	r, err := newPost(ctx, e.Worker, "/call", []byte(e.Input))
	if err != nil {
		s.reportFailure(e, pipe.Unsent, 0)
		return
	}
	client := s.upstreams.shared
	if e.Step.AtMostOnce {
		client = s.upstreams.singleUse
	}
	if e.Key != "" {
		r.Header.Set(wire.HeaderKey, e.Key)
		r.Header.Set(wire.HeaderFence, strconv.FormatInt(e.FencingNumber, 10))
	}
	response := s.sendCall(ctx, client, e, r)
	if response == nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusPreconditionFailed {
		s.reportFailure(e, pipe.FencingRefused, 0)
		return
	}
	if response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusTooManyRequests {
		s.reportErrorStatus(e, response)
		return
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, wire.MaxBody+1))
	if err != nil || len(data) > wire.MaxBody {
		s.reportFailure(e, pipe.ConnectionFailed, 0)
		return
	}
	s.Post(pipe.Replied{Ref: e.Ref, Output: string(data), Status: response.StatusCode, Work: 1})
}

// callStream copies the tokens of a generation stage to the caller's token buffer.
func (s *Server) callStream(ctx context.Context, e pipe.Call, buffer *tokenBuffer) {
	if buffer == nil {
		s.reportFailure(e, pipe.Unsent, 0)
		return
	}
	response := s.sendStageCall(ctx, e, "/stream")
	if response == nil {
		return
	}
	defer response.Body.Close()
	s.relayTokens(e, response.Body, buffer)
}

// progressInterval is the minimum time between two progress events of a stream.
const progressInterval = 50 * time.Millisecond

// relayTokens reads a stream to its end. It relays a token only if the token echoes the
// attempt and has the next index; otherwise it fails the attempt.
func (s *Server) relayTokens(e pipe.Call, body io.Reader, buffer *tokenBuffer) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxTokenLineBytes)
	next := e.ResumeFrom
	var reportedAt time.Time
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		var t wire.Token
		if err := json.Unmarshal([]byte(data), &t); err != nil {
			break
		}
		if (pipe.Ref{Request: t.Request, Stage: t.Stage, Attempt: t.Attempt}) != e.Ref || t.Index != next {
			s.reportFailure(e, pipe.ResponseMismatch, buffer.nextIndex(e.Ref))
			return
		}
		if t.End {
			s.reportStreamEnd(e, t, buffer)
			return
		}
		if !buffer.add(e.Ref, t.Index, t.Text) {
			s.reportFailure(e, pipe.ResponseTimeout, buffer.nextIndex(e.Ref))
			return
		}
		next++
		if now := time.Now(); now.Sub(reportedAt) >= progressInterval {
			reportedAt = now
			s.Post(pipe.Progress{Ref: e.Ref, Tokens: next})
		}
	}
	s.reportFailure(e, pipe.ConnectionFailed, buffer.nextIndex(e.Ref))
}

func (s *Server) reportStreamEnd(e pipe.Call, t wire.Token, buffer *tokenBuffer) {
	if t.Load != nil {
		s.Post(core.LoadReported{Host: e.Worker.ID, Load: *t.Load})
	}
	s.Post(pipe.Replied{Ref: e.Ref, Output: buffer.text(), Status: http.StatusOK, Tokens: t.Index, Work: t.Work})
}
