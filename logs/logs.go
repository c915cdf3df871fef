// Package logs writes log lines without ever making their writers wait. Lines go
// to a bounded buffer that one goroutine empties; what does not fit is dropped and
// counted, and the count is written as a line of its own.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// flushEvery is how long lines wait to be written together.
	flushEvery = 100 * time.Millisecond
	// maxBuffer bounds the lines that wait, in bytes.
	maxBuffer = 256 << 10
	// maxRate bounds the lines of one flush, in bytes: so much a flush is about
	// 640 kB a second.
	maxRate = 64 << 10
)

// A Writer takes lines and writes them in the background. Create it with New.
type Writer struct {
	out io.Writer
	// mu guards buffer and closed.
	mu      sync.Mutex
	buffer  []byte
	closed  bool
	dropped atomic.Int64
	wake    chan struct{}
	done    chan struct{}
}

// New returns a writer whose lines go to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Logger returns a logger of JSON lines that go to the writer. Lines of the debug
// level are left out while the buffer is half full, so that there is room for what
// tells more.
func (w *Writer) Logger() *slog.Logger {
	return slog.New(&handler{slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelDebug}), w})
}

// A handler leaves lines out before they cost the encoding.
type handler struct {
	slog.Handler
	writer *Writer
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool {
	if level >= slog.LevelInfo || h.writer.roomy() {
		return true
	}
	h.writer.dropped.Add(1)
	return false
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.Handler.WithAttrs(attrs), h.writer}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.Handler.WithGroup(name), h.writer}
}

// roomy reports whether less than half of the buffer is taken.
func (w *Writer) roomy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.buffer) < maxBuffer/2
}

// Write takes one line. It never blocks and always reports success; a line for
// which there is no room is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buffer)+len(line) > maxBuffer {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is left and ends the writer.
func (w *Writer) Close() {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if !closed {
		close(w.wake)
	}
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	told := int64(0)
	for {
		open := true
		select {
		case <-ticker.C:
		case _, open = <-w.wake:
		}
		w.flush(open)
		if dropped := w.Dropped(); dropped > told {
			w.write([]byte(fmt.Sprintf(`{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped-told)))
			told = dropped
		}
		if !open {
			return
		}
	}
}

// flush writes waiting lines; with bounded set, at most maxRate bytes of them.
func (w *Writer) flush(bounded bool) {
	w.mu.Lock()
	lines := w.buffer
	w.buffer = nil
	if bounded && len(lines) > maxRate {
		cut := maxRate
		for cut < len(lines) && lines[cut-1] != '\n' {
			cut++
		}
		w.buffer = append(w.buffer, lines[cut:]...)
		lines = lines[:cut]
	}
	w.mu.Unlock()
	w.write(lines)
}

func (w *Writer) write(lines []byte) {
	if len(lines) == 0 {
		return
	}
	if _, err := w.out.Write(lines); err != nil {
		// There is nowhere left to say so but the count of dropped lines.
		w.dropped.Add(1)
	}
}
