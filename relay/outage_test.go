package relay

import (
	"net/http"
	"testing"
	"time"

	"teaselplank/infra"
	"teaselplank/platform/stand"
)

const (
	// settleTime is how long after the end of an outage nodes and store work as usual again.
	settleTime = 3 * time.Second
	// drainTime is how long after its removal an upstream may still get requests.
	drainTime = 2 * time.Second
)

// An outage keeps nodes from reading the store.
type outage struct {
	name   string
	length time.Duration
	// begin starts the outage and returns what ends it.
	begin func(d *deployment) (end func())
}

// silentStore lets the store answer nobody.
func silentStore(d *deployment) (end func()) {
	d.store.SetStalled(true)
	return func() { d.store.SetStalled(false) }
}

// refusingStore lets the store refuse all calls.
func refusingStore(d *deployment) (end func()) {
	d.store.SetUnavailable(true)
	return func() { d.store.SetUnavailable(false) }
}

// An upstream that is removed once the store serves again must get no requests for longer than
// others, however late nodes notice that the store is back.
func TestRemovedUpstreamUsedAfterOutage(t *testing.T) {
	for _, c := range []outage{
		{"silent for a moment", time.Second, silentStore},
		{"silent for longer than a read takes", 2500 * time.Millisecond, silentStore},
		{"silent for long", 8 * time.Second, silentStore},
		{"refuses calls for long", 8 * time.Second, refusingStore},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 2)
			d.endure(c)
			time.Sleep(settleTime)
			wantUnusedAfterRemoval(d, "desk-a")
		})
	}
}

// A node that alone was cut off from the store must act on removals like the others once it
// reaches the store again.
func TestRemovedUpstreamUsedAfterCut(t *testing.T) {
	for name, length := range map[string]time.Duration{"cut for a moment": time.Second, "cut for long": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 0)
			registry := &faultyRegistry{}
			d.wrapRegistry = func(_ string, r infra.Registry) infra.Registry {
				registry.Registry = r
				return registry
			}
			n := d.addNode("node-0")
			d.await("the node is ready", func() bool { return d.isReady(n) })
			d.endure(outage{name, length, func(*deployment) func() {
				registry.silent.Store(true)
				return func() { registry.silent.Store(false) }
			}})
			time.Sleep(settleTime)
			wantUnusedAfterRemoval(d, "desk-a")
		})
	}
}

// endure waits until the nodes have read the store, and lets an outage begin and end.
func (d *deployment) endure(o outage) {
	time.Sleep(700 * time.Millisecond)
	end := o.begin(d)
	time.Sleep(o.length)
	end()
}

// wantUnusedAfterRemoval removes the entry of a worker, which goes on serving, and checks that the
// worker gets no requests once drainTime is over.
func wantUnusedAfterRemoval(d *deployment, id string) {
	d.t.Helper()
	const after = 1500 * time.Millisecond
	w := d.workers[id]
	w.StopHeartbeat()
	d.store.RemoveEntry(id)
	removed := time.Now()
	for time.Since(removed) < drainTime+after {
		for _, n := range d.nodes {
			wantStatus(d.t, d.ask(n, stand.PathSafe), http.StatusOK)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if late := w.ArrivalsBetween(removed.Add(drainTime), time.Now()); late > 0 {
		d.t.Errorf("%d requests reached the worker over %s after its removal, the last one after %s", late, drainTime, w.LastRun().Sub(removed))
	}
}

// An upstream whose entry has expired in an outage of the store, and is written again in time,
// must stay in use, however short the outage was.
func TestUpstreamDroppedAfterOutage(t *testing.T) {
	// rewriteTime is how long after the end of an outage a live upstream's entry is back.
	const rewriteTime = 2 * time.Second
	for _, c := range []outage{
		{"silent for a moment", time.Second, silentStore},
		{"silent for long", 4 * time.Second, silentStore},
		{"refuses calls", 2 * time.Second, refusingStore},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 1)
			w := d.workers["desk-a"]
			end := time.Now()
			d.endure(outage{c.name, c.length, func(d *deployment) func() {
				finish := c.begin(d)
				w.StopHeartbeat()
				d.store.RemoveEntry(w.ID)
				return func() {
					finish()
					end = time.Now()
				}
			}})
			for time.Since(end) < rewriteTime {
				wantInUse(d, w)
			}
			if err := d.store.PutNextEntry(w); err != nil {
				t.Fatal(err)
			}
			for time.Since(end) < 2*rewriteTime {
				wantInUse(d, w)
			}
		})
	}
}

func wantInUse(d *deployment, w *stand.Worker) {
	d.t.Helper()
	time.Sleep(10 * time.Millisecond)
	if !d.knows(d.nodes[0], w.ID) {
		d.t.Fatal("a live upstream was dropped after the outage")
	}
}
