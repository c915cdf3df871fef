package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"teaselplank/core"
	"teaselplank/wire"
)

// Names of the server-sent events of a stream.
const (
	eventToken  = "token"
	eventAnswer = "answer"
)

// streamToken is the data of a token event.
type streamToken struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// streamReply writes the tokens of a call's last stage as they arrive, followed by the
// final answer. If the call fails before its first token, it writes the status and the
// answer as JSON instead, as for a call that does not stream.
func (s *Server) streamReply(w http.ResponseWriter, r *http.Request, c core.Call, waiter *waiter, started time.Time) (core.Reply, bool) {
	lastStage := s.lastStage(c.Pipeline)
	sent := 0
	for {
		tokens, changed := waiter.tokens.tokensFrom(lastStage, sent)
		if len(tokens) > 0 && sent == 0 {
			w.Header().Set("Content-Type", "text/event-stream")
			s.metrics.observeFirstToken(time.Since(started))
		}
		for _, text := range tokens {
			writeEvent(w, eventToken, streamToken{sent, text})
			sent++
		}
		if sent > 0 {
			flush(w)
		}
		select {
		case reply := <-waiter.reply:
			s.finishStream(w, waiter, lastStage, sent, reply)
			return reply, true
		case <-changed:
		case <-r.Context().Done():
			s.Post(core.CallerDisconnected{ID: c.ID})
			return core.Reply{}, false
		case <-s.context.Done():
			return core.Reply{}, false
		}
	}
}

// finishStream writes the remaining tokens of a stream and the final answer.
func (s *Server) finishStream(w http.ResponseWriter, waiter *waiter, lastStage, sent int, reply core.Reply) {
	if sent == 0 && reply.Answer.Outcome != wire.Done {
		writeAnswer(w, reply.Status, reply.Answer)
		return
	}
	if sent == 0 {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	tokens, _ := waiter.tokens.tokensFrom(lastStage, sent)
	for _, text := range tokens {
		writeEvent(w, eventToken, streamToken{sent, text})
		sent++
	}
	writeEvent(w, eventAnswer, reply.Answer)
	flush(w)
}

func (s *Server) lastStage(pipeline string) int {
	p := s.rules().Pipelines[pipeline]
	if p == nil {
		return 0
	}
	return len(p.Stages) - 1
}

func writeEvent(w http.ResponseWriter, name string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		return
	}
	// The request's context reports that the caller has disconnected.
	_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data)
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
