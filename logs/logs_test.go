package logs

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stuck) Write(data []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(data)
}

// An output that is stuck makes no writer of lines wait; what does not fit is
// counted, and the count is written once the output goes on.
func TestStuckOutput(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := New(out)
	logger := w.Logger()
	started := time.Now()
	for range 20_000 {
		logger.Info("a decision", "request", "0123456789abcdef", "reason", "cannot be answered in time")
	}
	if took := time.Since(started); took > 2*time.Second {
		t.Errorf("writing took %s beside a stuck output", took)
	}
	if w.Dropped() == 0 {
		t.Error("no line is dropped although the output takes none")
	}
	close(out.release)
	w.Close()
	if !strings.Contains(out.written.String(), `"log lines dropped"`) {
		t.Error("the dropped lines are not told")
	}
}

func TestLinesAreWhole(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	close(out.release)
	w := New(out)
	for range 1000 {
		w.Logger().Info("line")
	}
	w.Close()
	lines := strings.Split(strings.TrimSpace(out.written.String()), "\n")
	if len(lines) != 1000 {
		t.Fatalf("%d lines were written, want 1000", len(lines))
	}
	for _, l := range lines {
		if !strings.HasPrefix(l, "{") || !strings.HasSuffix(l, "}") {
			t.Fatalf("line %q is not whole", l)
		}
	}
	if n, err := w.Write([]byte("after the end")); n == 0 || err != nil || w.Dropped() != 1 {
		t.Errorf("a line after the end counts %d (%v), %d dropped", n, err, w.Dropped())
	}
}

// A burst of lines of both levels meets an output that is stuck: what tells more
// finds room after what goes as usual has filled its half.
func TestUsualLinesAreDroppedFirst(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := New(out)
	logger := w.Logger()
	for range 20_000 {
		logger.Debug("as usual", "request", "0123456789abcdef")
	}
	for range 500 {
		logger.Info("refused", "request", "0123456789abcdef")
	}
	close(out.release)
	w.Close()
	if got := strings.Count(out.written.String(), `"msg":"refused"`); got != 500 {
		t.Errorf("%d of 500 lines that tell more were written", got)
	}
	if w.Dropped() < 1000 {
		t.Errorf("%d lines are counted as dropped, want 1000 or more", w.Dropped())
	}
}

// BenchmarkLine measures a usual decision's line, written to an output that costs
// nothing.
func BenchmarkLine(b *testing.B) {
	w := New(io.Discard)
	defer w.Close()
	logger := w.Logger()
	for b.Loop() {
		logger.Info("reply", "request", "0123456789abcdef", "reason", "cannot be answered in time", "took_ms", 12,
			"status", 503, "retry_after_ms", 800, "attempts", 0, "version", 5)
	}
}
