package proxy

import (
	"net/http"
	"testing"
	"time"
)

// stopTime is how long a stopping node of these tests serves.
const stopTime = 7 * time.Second

// stop makes the node stop.
func (h *harness) stop() {
	h.step(Stop{Until: h.now.Add(stopTime)})
}

// answerStream serves a stream without stages that ends after the given time.
func (h *harness) answerStream(took time.Duration) {
	h.arrive("/stream/1")
	h.respond(1, http.StatusOK, false)
	h.step(FirstEvent{Number: h.number, Attempt: 1})
	h.now = h.now.Add(took)
	h.step(Finished{Number: h.number, Attempt: 1, Status: http.StatusOK})
}

// A stopping node must not take or send a request whose answer may outlast it.
func TestAnswerCutByStop(t *testing.T) {
	t.Run("answer takes longer than the average", func(t *testing.T) {
		h := newHarness(t)
		for range 20 {
			h.answerStream(400 * time.Millisecond)
		}
		h.stop()
		h.now = h.now.Add(4400 * time.Millisecond)
		h.arrive("/stream/1")
		h.wantReply(http.StatusServiceUnavailable, ReasonStopping)
	})
	t.Run("stages take longer than expected", func(t *testing.T) {
		h := newHarness(t)
		for range 20 {
			h.answerStream(400 * time.Millisecond)
		}
		h.stop()
		h.now = h.now.Add(2 * time.Second)
		h.arrive("/stream/1", 1, 1)
		h.stageDone(0, "a", "h1")
		h.now = h.now.Add(stopTime - 2200*time.Millisecond)
		h.stageDone(1, "a", "h2")
		h.wantReply(http.StatusServiceUnavailable, ReasonStopping)
	})
	t.Run("answers vary", func(t *testing.T) {
		h := newHarness(t)
		for range 10 {
			h.answerStream(400 * time.Millisecond)
			h.answerStream(3200 * time.Millisecond)
		}
		h.stop()
		h.now = h.now.Add(stopTime - 3*time.Second)
		h.arrive("/stream/1")
		h.wantReply(http.StatusServiceUnavailable, ReasonStopping)
	})
	t.Run("answer must end before the stop", func(t *testing.T) {
		h := newHarness(t)
		h.stop()
		h.now = h.now.Add(stopTime - time.Second)
		h.arrive("/safe/1")
		find[Send](h)
	})
}
