package relay

import (
	"net/http"
	"testing"
	"time"

	"teaselplank/platform/stand"
)

// Guards against a worker that gets requests while it drains, as its process is taken for an older
// one than that before it: the clock of its machine was set back between their starts.
func TestDrainingAfterClockWasSetBack(t *testing.T) {
	const ahead = 20 * time.Second
	for _, c := range []struct {
		name string
		// down is how long the worker is down. Its entry is removed meanwhile with expires.
		down    time.Duration
		expires bool
	}{
		{"entry is replaced", 100 * time.Millisecond, false},
		{"entry has expired", 500 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 2)
			d.workers["desk-b"].Crash()
			d.store.RemoveEntry("desk-b")
			w := d.workers["desk-a"]
			w.SetClockAhead(ahead)
			d.restart(t, w, 0)
			first := w.Born()
			w.SetClockAhead(0)
			if c.expires {
				time.AfterFunc(c.down/2, func() { d.store.RemoveEntry("desk-a") })
			}
			d.restart(t, w, c.down)
			if second := w.Born(); second >= first {
				t.Fatalf("the second process started at %d, want earlier than %d", second, first)
			}
			d.start(&stand.Worker{ID: "desk-c", Service: stand.ServiceDesk, Zone: "a", Kind: stand.Plain, Slots: 4})
			w.Drain()
			time.Sleep(2 * time.Second)
			before := w.TotalRuns()
			for range 20 {
				wantStatus(t, d.ask(d.nodes[0], stand.PathSafe), http.StatusOK)
			}
			if late := w.TotalRuns() - before; late > 0 {
				t.Errorf("%d requests reached the worker 2 s after it began to drain, want none", late)
			}
		})
	}
}

// restart ends a worker, starts it again after a time, and waits until it gets requests.
func (d *deployment) restart(t *testing.T, w *stand.Worker, after time.Duration) {
	t.Helper()
	ended := w.Born()
	w.Restart(after)
	d.await("the worker has started again", func() bool { return w.Born() != ended })
	runs := w.TotalRuns()
	d.await("the worker gets requests", func() bool {
		d.ask(d.nodes[0], stand.PathSafe)
		return w.TotalRuns() > runs
	})
}
