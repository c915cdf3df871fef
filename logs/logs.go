// Package logs writes log lines without blocking the caller. Lines go to a bounded
// buffer that a background goroutine flushes. Lines that do not fit are dropped and
// counted, and the count is written as a separate line.
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
	// flushInterval is the time between two flushes, so that lines are written in batches.
	flushInterval = 100 * time.Millisecond
	// maxBufferBytes bounds the size of the buffered lines.
	maxBufferBytes = 256 << 10
	// maxFlushBytes bounds the size of one flush. At one flush per flushInterval,
	// this limits output to about 640 kB per second.
	maxFlushBytes = 64 << 10
)

// A Writer buffers lines and writes them in the background. Create it with New.
type Writer struct {
	out io.Writer
	// mu guards buffer and closed.
	mu      sync.Mutex
	buffer  []byte
	closed  bool
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Logger returns a logger that writes JSON lines to the writer. Lines of the debug
// level are dropped while the buffer is at least half full, which leaves room for
// lines of higher levels.
func (w *Writer) Logger() *slog.Logger {
	return slog.New(&handler{slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelDebug}), w})
}

// A handler drops lines before the cost of encoding them.
type handler struct {
	slog.Handler
	writer *Writer
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool {
	if level >= slog.LevelInfo || h.writer.hasRoom() {
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

// hasRoom reports whether less than half of the buffer is used.
func (w *Writer) hasRoom() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.buffer) < maxBufferBytes/2
}

// Write buffers one line. It does not wait for the output and always reports success.
// A line that does not fit is dropped and counted, as is a line after Close.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buffer)+len(line) > maxBufferBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Dropped returns the number of dropped lines since the start. A failed write to the
// output counts as one.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and stops the writer.
func (w *Writer) Close() {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if !closed {
		close(w.closing)
	}
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		open := true
		select {
		case <-ticker.C:
		case _, open = <-w.closing:
		}
		w.flush(open)
		if dropped := w.Dropped(); dropped > reported {
			w.write([]byte(fmt.Sprintf(`{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped-reported)))
			reported = dropped
		}
		if !open {
			return
		}
	}
}

// flush writes buffered lines. If limited is set, it writes whole lines until they
// reach maxFlushBytes.
func (w *Writer) flush(limited bool) {
	w.mu.Lock()
	lines := w.buffer
	w.buffer = nil
	if limited && len(lines) > maxFlushBytes {
		cut := maxFlushBytes
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
		// The output itself failed, so the error can only be counted.
		w.dropped.Add(1)
	}
}
