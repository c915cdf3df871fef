package server

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"teaselplank/core"
	"teaselplank/ledger"
	"teaselplank/rules"
	"teaselplank/wire"
)

// A waiter is a caller that is waiting for the answer to its call.
type waiter struct {
	// reply receives exactly one value.
	reply  chan core.Reply
	tokens *tokenBuffer
}

func (s *Server) addWaiter(id string) *waiter {
	w := &waiter{reply: make(chan core.Reply, 1), tokens: newTokenBuffer()}
	s.waitersLock.Lock()
	defer s.waitersLock.Unlock()
	s.waiters[id] = w
	return w
}

func (s *Server) waiter(id string) *waiter {
	s.waitersLock.Lock()
	defer s.waitersLock.Unlock()
	return s.waiters[id]
}

func (s *Server) removeWaiter(id string) {
	s.waitersLock.Lock()
	defer s.waitersLock.Unlock()
	delete(s.waiters, id)
}

func (s *Server) waiterCount() int {
	s.waitersLock.Lock()
	defer s.waitersLock.Unlock()
	return len(s.waiters)
}

func (s *Server) tokenBuffer(id string) *tokenBuffer {
	if w := s.waiter(id); w != nil {
		return w.tokens
	}
	return nil
}

// deliver sends the final answer to the waiting caller, if there is one.
func (s *Server) deliver(e core.Reply) {
	s.metrics.countOutcome(e.Answer.Outcome)
	if w := s.waiter(e.ID); w != nil {
		w.reply <- e
	}
}

// callerHandler returns the handler of the listener for callers.
func (s *Server) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{name}", s.servePipeline)
	mux.HandleFunc("POST /v1/services/{name}", s.serveService)
	mux.HandleFunc("POST /v1/keys", s.serveKey)
	mux.HandleFunc("GET /livez", serveLive)
	mux.HandleFunc("GET /readyz", s.serveReady)
	return s.closeWhileDraining(mux)
}

// closeWhileDraining wraps a handler so that callers of a draining node connect elsewhere
// for their next call.
func (s *Server) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func serveLive(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "live\n") }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := "node is closed"
	s.Query(func(n *core.Node) { reason = n.Unready() })
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// authenticate returns the client account whose credential is in the request. It answers
// a request without a valid credential with 401.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request) (*rules.Account, bool) {
	credential, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if found {
		sum := sha256.Sum256([]byte(credential))
		if a, ok := s.rules().AccountByToken(hex.EncodeToString(sum[:])); ok {
			return a, true
		}
	}
	s.metrics.countUnauthorized("callers")
	s.answerError(w, "", http.StatusUnauthorized, "credential of the client account is wrong or missing")
	return nil, false
}

// answerError answers a request that fails before its call reaches the node.
func (s *Server) answerError(w http.ResponseWriter, id string, status int, message string) {
	writeAnswer(w, status, wire.Answer{Request: id, Outcome: wire.NotRun, Error: message})
}

// readBody reads the body. It answers a request whose body exceeds the size limit with 413.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(io.LimitReader(r.Body, s.settings.MaxBody+1))
	if err != nil {
		s.answerError(w, "", http.StatusBadRequest, "body could not be read")
		return nil, false
	}
	if int64(len(data)) > s.settings.MaxBody {
		message := fmt.Sprintf("body is larger than %d bytes", s.settings.MaxBody)
		s.answerError(w, "", http.StatusRequestEntityTooLarge, message)
		return nil, false
	}
	return data, true
}

// parseCall authenticates a request and reads its body and headers, which pipeline and
// service calls share. If it returns false, it has answered the request.
func (s *Server) parseCall(w http.ResponseWriter, r *http.Request) (core.Call, []byte, bool) {
	a, ok := s.authenticate(w, r)
	if !ok {
		return core.Call{}, nil, false
	}
	body, ok := s.readBody(w, r)
	if !ok {
		return core.Call{}, nil, false
	}
	c := core.Call{ID: uuid.NewString(), Account: a.Name, Key: r.Header.Get(wire.HeaderKey)}
	if len(c.Key) > maxKeyBytes {
		s.answerError(w, c.ID, http.StatusBadRequest, fmt.Sprintf("key is longer than %d bytes", maxKeyBytes))
		return core.Call{}, nil, false
	}
	if text := r.Header.Get(wire.HeaderDeadline); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			message := fmt.Sprintf("header %s: %q is not a duration above 0 such as 5s", wire.HeaderDeadline, text)
			s.answerError(w, c.ID, http.StatusBadRequest, message)
			return core.Call{}, nil, false
		}
		c.Timeout = timeout
	}
	if s.waiterCount() >= s.settings.MaxCalls {
		answer := wire.Answer{Request: c.ID, Outcome: wire.NotRun, Error: "node has too many calls under way", RetryAfter: 1000}
		writeAnswer(w, http.StatusServiceUnavailable, answer)
		return core.Call{}, nil, false
	}
	return c, body, true
}

const maxKeyBytes = 256

func (s *Server) servePipeline(w http.ResponseWriter, r *http.Request) {
	c, body, ok := s.parseCall(w, r)
	if !ok {
		return
	}
	var call wire.PipelineCall
	if err := json.Unmarshal(body, &call); err != nil {
		s.answerError(w, c.ID, http.StatusBadRequest, fmt.Sprintf("body is not a pipeline call: %v", err))
		return
	}
	c.Pipeline, c.Input, c.Prefix, c.Tokens = r.PathValue("name"), call.Input, call.Prefix, call.MaxTokens
	s.runCall(w, r, c, call.Stream)
}

func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	c, body, ok := s.parseCall(w, r)
	if !ok {
		return
	}
	c.Service, c.Input = r.PathValue("name"), string(body)
	s.runCall(w, r, c, false)
}

// serveKey issues an idempotency key that is bound to this incarnation of the node.
func (s *Server) serveKey(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.authenticate(w, r); !ok {
		return
	}
	id, err := uuid.NewV7()
	if err != nil {
		s.answerError(w, "", http.StatusInternalServerError, "key could not be made")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	key := ledger.BindKey(id.String(), s.settings.Node, s.incarnation)
	_ = json.NewEncoder(w).Encode(struct {
		Key string `json:"key"`
	}{key})
}

// runCall submits a call to the node, waits for its answer and writes it. If there is
// none, it closes the connection.
func (s *Server) runCall(w http.ResponseWriter, r *http.Request, c core.Call, stream bool) {
	waiter := s.addWaiter(c.ID)
	defer s.removeWaiter(c.ID)
	w.Header().Set(wire.HeaderRequest, c.ID)
	started := time.Now()
	s.Post(core.CallArrived{Call: c})
	var reply core.Reply
	var ok bool
	if stream {
		reply, ok = s.streamReply(w, r, c, waiter, started)
	} else {
		reply, ok = s.awaitReply(r, c.ID, waiter)
	}
	if !ok {
		// Closes the connection; net/http would end the answer as if it were complete.
		panic(http.ErrAbortHandler)
	}
	s.metrics.observeCall(c, time.Since(started))
	if !stream {
		writeAnswer(w, reply.Status, reply.Answer)
	}
}

// awaitReply returns the answer, or false if the caller disconnects or the server closes.
func (s *Server) awaitReply(r *http.Request, id string, waiter *waiter) (core.Reply, bool) {
	select {
	case reply := <-waiter.reply:
		return reply, true
	case <-r.Context().Done():
		s.Post(core.CallerDisconnected{ID: id})
	case <-s.context.Done():
	}
	return core.Reply{}, false
}

// writeAnswer writes a final answer as JSON.
func writeAnswer(w http.ResponseWriter, status int, answer wire.Answer) {
	w.Header().Set(wire.HeaderOutcome, string(answer.Outcome))
	w.Header().Set("Content-Type", "application/json")
	if answer.RetryAfter > 0 {
		seconds := (answer.RetryAfter + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(status)
	// A write fails only if the connection is lost, which the caller notices itself.
	_ = json.NewEncoder(w).Encode(answer)
}
