package relay

import (
	"net/http"
	"testing"
	"time"

	"teaselplank/budget"
	"teaselplank/platform/stand"
)

// Streams that are slow but healthy must not be cut, and stalled ones must end, even if
// they send a byte now and then.
func TestSlowAndStalledStreams(t *testing.T) {
	const slow = 1300 * time.Millisecond // longer than streamIdleTimeout
	setDelay := func(d *deployment, events int) {
		for _, w := range d.workers {
			if w.Kind == stand.Engine {
				w.Delay, w.Events = slow, events
			}
		}
	}
	const twoEvents = "id: 0\ndata: token 0\n\nid: 1\ndata: token 1\n\n"
	wantEvents := func(t *testing.T, r result, want string) {
		t.Helper()
		wantStatus(t, r, http.StatusOK)
		if r.body != want {
			t.Errorf("events are %q (%v), want %q", r.body, r.err, want)
		}
	}
	t.Run("slow and resumable without a budget for retries", func(t *testing.T) {
		d := deploy(t, 0)
		settings := d.settings("alone")
		settings.Budget = budget.Config{Window: time.Second}
		n := d.addNodeWith(settings)
		d.await("the node is ready", func() bool { return d.isReady(n) })
		setDelay(d, 2)
		wantEvents(t, d.ask(n, stand.PathStream), twoEvents)
	})
	t.Run("slow and not resumable", func(t *testing.T) {
		d := deploy(t, 1)
		setDelay(d, 2)
		wantEvents(t, d.ask(d.nodes[0], stand.PathOnce), twoEvents)
	})
	t.Run("stalled and resumable", func(t *testing.T) {
		d := deploy(t, 1)
		d.workers["engine-a"].SetFault(stand.FaultStallStream)
		d.workers["engine-b"].SetFault(stand.FaultStallStream)
		started := time.Now()
		go func() {
			time.Sleep(streamIdleTimeout / 2)
			d.setFaults(stand.ServiceEngine, stand.FaultNone)
		}()
		wantEvents(t, d.ask(d.nodes[0], stand.PathStream), allEvents)
		if took := time.Since(started); took > 2*streamIdleTimeout {
			t.Errorf("stream took %s, want it resumed after %s", took, streamIdleTimeout)
		}
	})
	t.Run("stalled and not resumable", func(t *testing.T) {
		d := deploy(t, 1)
		d.setFaults(stand.ServiceEngine, stand.FaultStallStream)
		started := time.Now()
		if r := d.ask(d.nodes[0], stand.PathOnce); r.err == nil {
			t.Errorf("stalled stream ends as complete: %q", r.body)
		}
		if took := time.Since(started); took > 4*time.Second {
			t.Errorf("stalled stream ended after %s, want its deadline of 3 s", took)
		}
	})
}
