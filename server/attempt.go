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

// startCall performs an attempt in a goroutine of its own.
func (s *Server) startCall(e pipe.Call) {
	ctx, cancel := context.WithDeadline(s.context, e.Deadline)
	sink := s.sink(e.Ref.Request)
	if sink != nil {
		sink.begin(e.Ref)
	}
	s.upstreams.begin(e.Ref, cancel)
	go func() {
		defer s.upstreams.stop(e.Ref)
		switch {
		case e.Step.Kind == core.StepService:
			s.callService(ctx, e)
		case e.Step.Stream:
			s.callStream(ctx, e, sink)
		default:
			s.callStage(ctx, e)
		}
	}()
}

// cancelCall tells an upstream that an attempt is no longer wanted.
func (s *Server) cancelCall(e pipe.Cancel) {
	s.upstreams.stop(e.Ref)
	ctx, cancel := context.WithTimeout(s.context, cancelTimeout)
	defer cancel()
	body, err := json.Marshal(wire.StageCall{Request: e.Ref.Request, Stage: e.Ref.Stage, Attempt: e.Ref.Attempt})
	if err != nil {
		return
	}
	r, err := post(ctx, e.Worker, "/cancel", body)
	if err != nil {
		return
	}
	answer, err := s.upstreams.shared.Do(r)
	if err != nil {
		s.metrics.upstreamFailure(e.Worker.Pool, "cancel")
		return
	}
	answer.Body.Close()
}

func stageCall(e pipe.Call) ([]byte, error) {
	body, err := json.Marshal(wire.StageCall{
		Request: e.Ref.Request, Stage: e.Ref.Stage, Attempt: e.Ref.Attempt,
		Kind: e.Step.Kind, Model: e.Step.Model, Input: e.Input, Prefix: e.Prefix,
		MaxTokens: e.Tokens, ResumeFrom: e.ResumeFrom,
	})
	if err != nil {
		return nil, fmt.Errorf("encode call of request %q: %w", e.Ref.Request, err)
	}
	return body, nil
}

// send performs a call and reports its failure. A nil answer was reported.
func (s *Server) send(ctx context.Context, client *http.Client, e pipe.Call, r *http.Request) *http.Response {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	answer, err := client.Do(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		s.noteLeaving(e.Worker, answer)
		return answer
	}
	failure := pipe.Broken
	if !connected.Load() {
		failure = pipe.Unsent
	}
	s.fail(e, failure, 0)
	return nil
}

func (s *Server) noteLeaving(h wire.Host, answer *http.Response) {
	if answer.Header.Get(wire.HeaderLeaving) == "true" {
		s.Post(member.MarkObserved{Mark: member.Mark{Host: h.ID, Incarnation: h.Incarnation}})
	}
}

func (s *Server) fail(e pipe.Call, failure pipe.Failure, tokens int) {
	s.metrics.upstreamFailure(e.Worker.Pool, failureNames[failure])
	s.Post(pipe.Failed{Ref: e.Ref, Failure: failure, Tokens: tokens})
}

var failureNames = map[pipe.Failure]string{
	pipe.Unsent: "unsent", pipe.Busy: "busy", pipe.Stale: "stale", pipe.Broken: "broken",
	pipe.Faulty: "faulty", pipe.Silent: "silent", pipe.Crossed: "crossed",
}

// refused reports an answer whose status is not 200.
func (s *Server) refused(e pipe.Call, answer *http.Response) {
	failure := pipe.Faulty
	if answer.StatusCode == http.StatusTooManyRequests || answer.StatusCode == http.StatusServiceUnavailable {
		failure = pipe.Busy
	}
	s.fail(e, failure, 0)
}

// open sends a stage call and returns an answer of status 200. A nil answer was
// reported as a failure.
func (s *Server) open(ctx context.Context, e pipe.Call, path string) *http.Response {
	body, err := stageCall(e)
	if err != nil {
		s.fail(e, pipe.Unsent, 0)
		return nil
	}
	r, err := post(ctx, e.Worker, path, body)
	if err != nil {
		s.fail(e, pipe.Unsent, 0)
		return nil
	}
	answer := s.send(ctx, s.upstreams.shared, e, r)
	if answer != nil && answer.StatusCode != http.StatusOK {
		answer.Body.Close()
		s.refused(e, answer)
		return nil
	}
	return answer
}

// callStage performs an attempt whose answer comes as a whole.
func (s *Server) callStage(ctx context.Context, e pipe.Call) {
	answer := s.open(ctx, e, "/stage")
	if answer == nil {
		return
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, wire.MaxBody+1))
	var reply wire.StageReply
	if err != nil || len(data) > wire.MaxBody || json.Unmarshal(data, &reply) != nil {
		s.fail(e, pipe.Broken, 0)
		return
	}
	if (pipe.Ref{Request: reply.Request, Stage: reply.Stage, Attempt: reply.Attempt}) != e.Ref {
		answer.Close = true
		s.upstreams.shared.CloseIdleConnections()
		s.fail(e, pipe.Crossed, 0)
		return
	}
	s.Post(core.Load{Host: e.Worker.ID, Load: reply.Load})
	s.Post(pipe.Replied{Ref: e.Ref, Output: reply.Output, Status: http.StatusOK, Work: reply.Work})
}

// callService performs a call of a plain service. One that must not repeat goes
// over a connection of its own.
func (s *Server) callService(ctx context.Context, e pipe.Call) {
	r, err := post(ctx, e.Worker, "/call", []byte(e.Input))
	if err != nil {
		s.fail(e, pipe.Unsent, 0)
		return
	}
	client := s.upstreams.shared
	if e.Step.Once {
		client = s.upstreams.once
	}
	if e.Key != "" {
		r.Header.Set(wire.HeaderKey, e.Key)
		r.Header.Set(wire.HeaderFence, strconv.FormatInt(e.Number, 10))
	}
	answer := s.send(ctx, client, e, r)
	if answer == nil {
		return
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusPreconditionFailed {
		s.fail(e, pipe.Stale, 0)
		return
	}
	if answer.StatusCode >= http.StatusInternalServerError || answer.StatusCode == http.StatusTooManyRequests {
		s.refused(e, answer)
		return
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, wire.MaxBody+1))
	if err != nil || len(data) > wire.MaxBody {
		s.fail(e, pipe.Broken, 0)
		return
	}
	s.Post(pipe.Replied{Ref: e.Ref, Output: string(data), Status: answer.StatusCode, Work: 1})
}

// callStream passes the tokens of a generation on to the caller's sink.
func (s *Server) callStream(ctx context.Context, e pipe.Call, sink *sink) {
	if sink == nil {
		s.fail(e, pipe.Unsent, 0)
		return
	}
	answer := s.open(ctx, e, "/stream")
	if answer == nil {
		return
	}
	defer answer.Body.Close()
	s.relay(e, answer.Body, sink)
}

// progressEvery bounds how often the reducer hears of a stream's progress.
const progressEvery = 50 * time.Millisecond

// relay reads a stream to its end. A token is passed on only when it echoes the
// attempt and its index is the next one.
func (s *Server) relay(e pipe.Call, body io.Reader, sink *sink) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxTokenLine)
	next := e.ResumeFrom
	var told time.Time
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
			s.fail(e, pipe.Crossed, sink.len(e.Ref))
			return
		}
		if t.End {
			s.endStream(e, t, sink)
			return
		}
		if !sink.add(e.Ref, t.Index, t.Text) {
			s.fail(e, pipe.Silent, sink.len(e.Ref))
			return
		}
		next++
		if now := time.Now(); now.Sub(told) >= progressEvery {
			told = now
			s.Post(pipe.Progress{Ref: e.Ref, Tokens: next})
		}
	}
	s.fail(e, pipe.Broken, sink.len(e.Ref))
}

func (s *Server) endStream(e pipe.Call, t wire.Token, sink *sink) {
	if t.Load != nil {
		s.Post(core.Load{Host: e.Worker.ID, Load: *t.Load})
	}
	s.Post(pipe.Replied{Ref: e.Ref, Output: sink.text(), Status: http.StatusOK, Tokens: t.Index, Work: t.Work})
}
