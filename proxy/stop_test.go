package proxy

import (
	"net/http"
	"testing"
	"time"
)

const (
	// stopTime is how long a stopping node of these tests serves, and unlistedAfter the
	// time after which it is out of rotation.
	stopTime      = 7 * time.Second
	unlistedAfter = 2600 * time.Millisecond
)

// stop makes the node stop.
func (h *harness) stop() {
	h.step(Stop{Unlisted: h.now.Add(unlistedAfter), Until: h.now.Add(stopTime)})
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
	t.Run("errors were faster than answers", func(t *testing.T) {
		h := newHarness(t)
		for range 20 {
			h.answerStream(5 * time.Second)
		}
		for range 40 {
			h.arrive("/stream/1")
			h.respond(1, http.StatusBadRequest, false)
			h.step(Finished{Number: h.number, Attempt: 1, Status: http.StatusBadRequest})
		}
		h.stop()
		h.now = h.now.Add(2500 * time.Millisecond)
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

// A stopping node serves the requests that still fit.
func TestServedWhileStopping(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		answer time.Duration
		after  time.Duration
		served bool
	}{
		{"in rotation and enough time", "/stream/1", 400 * time.Millisecond, time.Second, true},
		{"in rotation and too little time", "/stream/1", 5 * time.Second, 2500 * time.Millisecond, false},
		{"out of rotation", "/stream/1", 10 * time.Millisecond, unlistedAfter, false},
		{"out of rotation and bounded by its deadline", "/safe/1", 10 * time.Millisecond, stopTime - time.Second, true},
		{"deadline after the stop", "/safe/1", 10 * time.Millisecond, stopTime - time.Second + time.Millisecond, false},
		{"after the stop", "/safe/1", 10 * time.Millisecond, stopTime + time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			for range 20 {
				h.answerStream(c.answer)
			}
			h.stop()
			h.now = h.now.Add(c.after)
			h.arrive(c.path)
			if !c.served {
				h.wantReply(http.StatusServiceUnavailable, ReasonStopping)
				return
			}
			find[Send](h)
		})
	}
	t.Run("a request that may have been executed is retried", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/stream/1")
		h.stop()
		h.now = h.now.Add(2 * time.Second)
		h.attemptFailed(1, ConnectionFailed, "")
		find[Send](h)
	})
	t.Run("no duration is known", func(t *testing.T) {
		h := newHarness(t)
		h.stop()
		h.now = h.now.Add(2 * time.Second)
		h.arrive("/stream/1")
		h.wantReply(http.StatusServiceUnavailable, ReasonStopping)
	})
}

func TestDurationEstimate(t *testing.T) {
	const short, long = 100 * time.Millisecond, 900 * time.Millisecond
	var steady, varying durationEstimate
	for range 50 {
		steady.add(short)
		varying.add(short)
		varying.add(long)
	}
	if got := steady.upperBound(); got > 2*short {
		t.Errorf("upper bound of durations of %s is %s", short, got)
	}
	if got := varying.upperBound(); got < long {
		t.Errorf("upper bound of durations of up to %s is %s", long, got)
	}
}
