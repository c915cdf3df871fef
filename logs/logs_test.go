package logs

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (o *blockedOutput) Write(data []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(data)
}

// A blocked output must not block callers that log. Lines that do not fit are counted,
// and the count is written once the output accepts writes again.
func TestStuckOutput(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := New(out)
	logger := w.Logger()
	started := time.Now()
	for range 20_000 {
		logger.Info("a decision", "request", "0123456789abcdef", "reason", "cannot be answered in time")
	}
	if took := time.Since(started); took > 2*time.Second {
		t.Errorf("logging took %s while the output was blocked, want at most 2s", took)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped although the output was blocked")
	}
	close(out.release)
	w.Close()
	if !strings.Contains(out.written.String(), `"log lines dropped"`) {
		t.Error("the number of dropped lines was not logged")
	}
}

func TestLinesAreWhole(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
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
			t.Fatalf("line %q is incomplete", l)
		}
	}
	if n, err := w.Write([]byte("after the end")); n == 0 || err != nil || w.Dropped() != 1 {
		t.Errorf("Write after Close returned %d, %v and %d lines were dropped, want more than 0, no error and 1", n, err, w.Dropped())
	}
}

// While the output is blocked, a burst of debug lines could fill the buffer and push
// out lines that explain failures. Debug lines may use only half of the buffer.
func TestDebugLinesDroppedFirst(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := New(out)
	logger := w.Logger()
	for range 20_000 {
		logger.Debug("routine", "request", "0123456789abcdef")
	}
	for range 500 {
		logger.Info("refused", "request", "0123456789abcdef")
	}
	close(out.release)
	w.Close()
	if got := strings.Count(out.written.String(), `"msg":"refused"`); got != 500 {
		t.Errorf("%d of 500 lines of the info level were written", got)
	}
	if w.Dropped() < 1000 {
		t.Errorf("%d lines were counted as dropped, want at least 1000", w.Dropped())
	}
}

// BenchmarkLine measures the cost of logging a typical decision to an output that
// discards it.
func BenchmarkLine(b *testing.B) {
	w := New(io.Discard)
	defer w.Close()
	logger := w.Logger()
	for b.Loop() {
		logger.Info("reply", "request", "0123456789abcdef", "reason", "cannot be answered in time", "took_ms", 12,
			"status", 503, "retry_after_ms", 800, "attempts", 0, "version", 5)
	}
}
