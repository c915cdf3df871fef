package server

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"teaselplank/core"
	"teaselplank/member"
	"teaselplank/pipe"
	"teaselplank/wire"
)

// upstreams is the client of all upstreams.
type upstreams struct {
	// shared reuses connections; once opens one for each call, so that
	// net/http has no reason to send a call again.
	shared *http.Client
	once   *http.Client

	mu sync.Mutex
	// cancels stops the attempts under way.
	cancels map[pipe.Ref]context.CancelFunc
}

func (u *upstreams) begin(ref pipe.Ref, cancel context.CancelFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancels[ref] = cancel
}

// stop ends an attempt if it is under way.
func (u *upstreams) stop(ref pipe.Ref) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if cancel := u.cancels[ref]; cancel != nil {
		cancel()
		delete(u.cancels, ref)
	}
}

// The bounds of connections to upstreams.
const (
	dialTimeout    = time.Second
	dialIdle       = 30 * time.Second
	idlePerHost    = 64
	cancelTimeout  = time.Second
	maxTokenLine   = 64 << 10
	retryAfterUnit = time.Second
)

func newUpstreams() *upstreams {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	shared := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: dialIdle}
	once := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	return &upstreams{
		shared:  &http.Client{Transport: shared, CheckRedirect: noRedirect},
		once:    &http.Client{Transport: once, CheckRedirect: noRedirect},
		cancels: make(map[pipe.Ref]context.CancelFunc),
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// post sends a body that net/http cannot replay.
func post(ctx context.Context, h wire.Host, path string, body []byte) (*http.Request, error) {
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Addr+path, reader)
	if err != nil {
		return nil, fmt.Errorf("build call to %q: %w", h.ID, err)
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

func (u *upstreams) getJSON(ctx context.Context, h wire.Host, path string, header http.Header, to any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Addr+path, nil)
	if err != nil {
		return fmt.Errorf("build call to %q: %w", h.ID, err)
	}
	for name, values := range header {
		r.Header[name] = values
	}
	answer, err := u.shared.Do(r)
	if err != nil {
		return fmt.Errorf("call %q: %w", h.ID, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("call %q: upstream answered %s", h.ID, answer.Status)
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, wire.MaxBody)).Decode(to); err != nil {
		return fmt.Errorf("decode answer of %q: %w", h.ID, err)
	}
	return nil
}

func (u *upstreams) load(ctx context.Context, h wire.Host) (wire.Load, error) {
	var load wire.Load
	err := u.getJSON(ctx, h, "/load", nil, &load)
	return load, err
}

func (u *upstreams) status(ctx context.Context, h wire.Host, key string, number int64) (wire.ServiceStatus, error) {
	header := http.Header{}
	header.Set(wire.HeaderKey, key)
	header.Set(wire.HeaderFence, strconv.FormatInt(number, 10))
	var status wire.ServiceStatus
	err := u.getJSON(ctx, h, "/status", header, &status)
	return status, err
}

// order sends an order to an engine.
func (u *upstreams) order(ctx context.Context, h wire.Host, o wire.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order to %q: %w", h.ID, err)
	}
	r, err := post(ctx, h, "/order", body)
	if err != nil {
		return err
	}
	answer, err := u.once.Do(r)
	if err != nil {
		return fmt.Errorf("order to %q: %w", h.ID, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("order to %q under number %d: engine answered %s", h.ID, o.Number, answer.Status)
	}
	return nil
}

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
	s.fail(e, failure, 0, 0)
	return nil
}

func (s *Server) noteLeaving(h wire.Host, answer *http.Response) {
	if answer.Header.Get(wire.HeaderLeaving) == "true" {
		s.Post(member.Seen{Mark: member.Mark{Host: h.ID, Incarnation: h.Incarnation}})
	}
}

func (s *Server) fail(e pipe.Call, failure pipe.Failure, tokens int, wait time.Duration) {
	s.metrics.upstreamFailure(e.Worker.Pool, failureNames[failure])
	s.Post(pipe.Failed{Ref: e.Ref, Failure: failure, Tokens: tokens, RetryAfter: wait})
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
	seconds, _ := strconv.Atoi(answer.Header.Get("Retry-After"))
	s.fail(e, failure, 0, time.Duration(seconds)*retryAfterUnit)
}

func (s *Server) callStage(ctx context.Context, e pipe.Call) {
	body, err := stageCall(e)
	if err != nil {
		s.fail(e, pipe.Unsent, 0, 0)
		return
	}
	r, err := post(ctx, e.Worker, "/stage", body)
	if err != nil {
		s.fail(e, pipe.Unsent, 0, 0)
		return
	}
	answer := s.send(ctx, s.upstreams.shared, e, r)
	if answer == nil {
		return
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		s.refused(e, answer)
		return
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, wire.MaxBody+1))
	var reply wire.StageReply
	if err != nil || len(data) > wire.MaxBody || json.Unmarshal(data, &reply) != nil {
		s.fail(e, pipe.Broken, 0, 0)
		return
	}
	if (pipe.Ref{Request: reply.Request, Stage: reply.Stage, Attempt: reply.Attempt}) != e.Ref {
		answer.Close = true
		s.upstreams.shared.CloseIdleConnections()
		s.fail(e, pipe.Crossed, 0, 0)
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
		s.fail(e, pipe.Unsent, 0, 0)
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
		s.fail(e, pipe.Stale, 0, 0)
		return
	}
	if answer.StatusCode >= http.StatusInternalServerError || answer.StatusCode == http.StatusTooManyRequests {
		s.refused(e, answer)
		return
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, wire.MaxBody+1))
	if err != nil || len(data) > wire.MaxBody {
		s.fail(e, pipe.Broken, 0, 0)
		return
	}
	s.Post(pipe.Replied{Ref: e.Ref, Output: string(data), Status: answer.StatusCode, Work: 1})
}

// callStream passes the tokens of a generation on to the caller's sink.
func (s *Server) callStream(ctx context.Context, e pipe.Call, sink *sink) {
	body, err := stageCall(e)
	if err != nil || sink == nil {
		s.fail(e, pipe.Unsent, 0, 0)
		return
	}
	r, err := post(ctx, e.Worker, "/stream", body)
	if err != nil {
		s.fail(e, pipe.Unsent, 0, 0)
		return
	}
	answer := s.send(ctx, s.upstreams.shared, e, r)
	if answer == nil {
		return
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		s.refused(e, answer)
		return
	}
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
			s.fail(e, pipe.Crossed, sink.len(e.Ref), 0)
			return
		}
		if t.End {
			s.endStream(e, t, sink)
			return
		}
		if !sink.add(e.Ref, t.Index, t.Text) {
			s.fail(e, pipe.Silent, sink.len(e.Ref), 0)
			return
		}
		next++
		if now := time.Now(); now.Sub(told) >= progressEvery {
			told = now
			s.Post(pipe.Progress{Ref: e.Ref, Tokens: next})
		}
	}
	s.fail(e, pipe.Broken, sink.len(e.Ref), 0)
}

func (s *Server) endStream(e pipe.Call, t wire.Token, sink *sink) {
	if t.Load != nil {
		s.Post(core.Load{Host: e.Worker.ID, Load: *t.Load})
	}
	s.Post(pipe.Replied{Ref: e.Ref, Output: sink.text(), Status: http.StatusOK, Tokens: t.Index, Work: t.Work})
}
