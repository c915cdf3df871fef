package relay

import (
	"net/http"
	"strings"
	"testing"

	"teaselplank/platform/stand"
)

// closeDelimited makes all workers send answers that end with their connections.
func closeDelimited(w *stand.Worker) { w.CloseDelimited = true }

// Answers that end with their upstreams' connections must reach the client whole, with an
// end that it can tell from a failure.
func TestCloseDelimitedAnswers(t *testing.T) {
	d := deploy(t, 1, closeDelimited)
	for _, path := range []string{stand.PathSafe, stand.PathUnsafe, stand.PathStream, stand.PathOnce} {
		t.Run(path, func(t *testing.T) {
			for range 4 {
				r := d.ask(d.nodes[0], path)
				wantWhole(t, r, path)
				if !r.delimited {
					t.Error("answer to the client has neither a length nor chunks")
				}
			}
		})
	}
}

// An answer that broke off must not end like a complete one because neither a length nor
// chunks say where it ends.
func TestBrokenCloseDelimitedAnswerLooksComplete(t *testing.T) {
	for _, c := range []struct {
		name  string
		path  string
		fault stand.Fault
	}{
		{"resumable stream closed inside an event", stand.PathStream, stand.FaultTruncateStream},
		{"resumable stream reset between events", stand.PathStream, stand.FaultReset},
		{"stream closed inside an event", stand.PathOnce, stand.FaultTruncateStream},
		{"stream reset between events", stand.PathOnce, stand.FaultReset},
		{"safe body reset", stand.PathSafe, stand.FaultReset},
		{"unsafe body reset", stand.PathUnsafe, stand.FaultReset},
	} {
		t.Run(c.name+" by one worker", func(t *testing.T) {
			d := deploy(t, 1, closeDelimited)
			d.workers["desk-a"].SetFault(c.fault)
			d.workers["engine-a"].SetFault(c.fault)
			for range 6 {
				r := d.ask(d.nodes[0], c.path)
				if c.path == stand.PathStream || c.path == stand.PathSafe {
					wantWhole(t, r, c.path)
					continue
				}
				wantWholeOrBroken(t, r, c.path)
			}
		})
		t.Run(c.name+" by all workers", func(t *testing.T) {
			d := deploy(t, 1, closeDelimited)
			d.setFaults(stand.ServiceDesk, c.fault)
			d.setFaults(stand.ServiceEngine, c.fault)
			for range 2 {
				wantBroken(t, d.ask(d.nodes[0], c.path), c.path)
			}
		})
	}
}

// wantBroken checks that the client can tell that an answer is not the whole one.
func wantBroken(t *testing.T, r result, path string) {
	t.Helper()
	switch {
	case r.status == http.StatusBadGateway:
	case r.err == nil:
		t.Errorf("answer that broke off ends like a complete one: %d %q", r.status, r.body)
	case isStreamPath(path) && !strings.HasPrefix(allEvents, r.body):
		t.Errorf("answer that broke off is %q, not the first events", r.body)
	}
}

func wantWholeOrBroken(t *testing.T, r result, path string) {
	t.Helper()
	if r.err != nil || r.status != http.StatusOK {
		wantBroken(t, r, path)
		return
	}
	wantWhole(t, r, path)
}

func isStreamPath(path string) bool { return path == stand.PathStream || path == stand.PathOnce }
