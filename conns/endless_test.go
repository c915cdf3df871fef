package conns

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"teaselplank/platform/stand"
)

const (
	// maxResponseMemory is the memory that a response may take up on a small host, which has
	// 184 MB and bears 300 responses at a time with half of it.
	maxResponseMemory = 184_000_000 / 2 / 300
	// promptly is the time within which a connection with endless bytes is closed.
	promptly = time.Second
)

// A head or interim responses without end must not cost more memory than any other answer.
func TestEndlessHead(t *testing.T) {
	for name, text := range map[string]string{
		"header lines": "X-Filler: x\r\n", "one line": "x", "interim responses": "HTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			begin := "HTTP/1.1 200 OK\r\n"
			if name == "interim responses" {
				begin = ""
			}
			ours, theirs := net.Pipe()
			defer ours.Close()
			var read atomic.Int64
			go func() { _, _ = io.Copy(io.Discard, theirs) }()
			go func() {
				defer theirs.Close()
				limited := io.LimitReader(stand.NewEndlessReader(text), 16*maxResponseMemory)
				_, _ = io.Copy(theirs, stand.CountingReader{Reader: io.MultiReader(strings.NewReader(begin), limited), Count: &read})
			}()
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			if _, err := newConn(ours, NewPool(), endpoint{}).RoundTrip(r, 0, 0); err == nil {
				t.Error("an endless head was read")
			}
			if n := read.Load(); n > maxResponseMemory {
				t.Errorf("%d bytes were read, want at most %d", n, maxResponseMemory)
			}
		})
	}
}

// A connection on which bytes arrive after a complete answer must be closed before its next
// use, as the system's buffers would fill up.
func TestEndlessExtraBytes(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	newConn(ours, NewPool(), endpoint{}).PutBack(nil)
	// A pipe whose other end is closed takes no deadline.
	if err := theirs.SetReadDeadline(time.Now().Add(promptly)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(theirs, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := theirs.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("connection has the error %v, want it closed", err)
	}
}
