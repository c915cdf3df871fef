package relay

import (
	"net/http"
	"testing"
	"time"

	"teaselplank/platform/stand"
)

// A worker whose responses say that it is leaving, while its entry does not, must get no
// new work from any node. It says so in responses of every kind.
func TestLeavingInResponses(t *testing.T) {
	for _, service := range services {
		t.Run(service, func(t *testing.T) {
			d := deploy(t, 2)
			id := d.preferred(service)
			d.workers[id].SetLeaving()
			d.await("the nodes know that the worker is leaving", func() bool {
				d.ask(d.nodes[0], stand.PathSafe)
				d.ask(d.nodes[0], stand.PathStream)
				return d.knownAsLeaving(id)
			})
			before := d.workers[id].TotalRuns()
			for range 5 {
				for _, n := range d.nodes {
					wantStatus(t, d.ask(n, stand.PathSafe), http.StatusOK)
					wantStatus(t, d.ask(n, stand.PathStream), http.StatusOK)
				}
			}
			if got := d.workers[id].TotalRuns(); got != before {
				t.Errorf("a leaving worker ran %d more requests or pieces", got-before)
			}
		})
	}
}

// services are the services of each kind of worker.
var services = []string{stand.ServiceDesk, stand.ServiceEngine, stand.ServiceEncode, stand.ServiceRank}

// preferred returns the id of the worker of a service that gets the requests of node-0.
func (d *deployment) preferred(service string) string {
	d.t.Helper()
	for range 4 {
		wantStatus(d.t, d.ask(d.nodes[0], stand.PathSafe), http.StatusOK)
		wantStatus(d.t, d.ask(d.nodes[0], stand.PathStream), http.StatusOK)
	}
	best := ""
	for id, w := range d.workers {
		if w.Service == service && (best == "" || w.TotalRuns() > d.workers[best].TotalRuns()) {
			best = id
		}
	}
	return best
}

func (d *deployment) knownAsLeaving(id string) bool {
	for _, n := range d.nodes {
		n.server.mu.Lock()
		u, _ := n.server.directory.Get(id)
		n.server.mu.Unlock()
		if !u.Draining {
			return false
		}
	}
	return true
}

// A worker that refuses with a time to retry must get nothing from this node until then:
// no requests, stage calls, releases or reports. After that it must get work as soon as
// it is the only worker that accepts some.
func TestPauseInResponses(t *testing.T) {
	const pause = 1500 * time.Millisecond
	for _, service := range services {
		t.Run(service, func(t *testing.T) {
			d := deploy(t, 1)
			n := d.nodes[0]
			id := d.preferred(service)
			d.workers[id].Hold(pause)
			before := d.workers[id].Arrivals()
			var refused time.Time
			d.await("the worker has refused a request", func() bool {
				// The pause begins at the refusal, and the answer may come much later.
				refused = time.Now()
				d.ask(n, stand.PathSafe)
				d.ask(n, stand.PathStream)
				return d.workers[id].Arrivals() > before
			})
			time.Sleep(50 * time.Millisecond)
			before = d.workers[id].Arrivals()
			for time.Since(refused) < pause-200*time.Millisecond {
				wantStatus(t, d.ask(n, stand.PathSafe), http.StatusOK)
				wantStatus(t, d.ask(n, stand.PathStream), http.StatusOK)
			}
			if got := d.workers[id].Arrivals() - before; got > 0 {
				t.Errorf("%d requests reached the worker during its pause", got)
			}
			runs := d.workers[id].TotalRuns()
			d.workers[id].Hold(0)
			d.holdOthers(id)
			d.await("the worker is used again", func() bool {
				d.ask(n, stand.PathSafe)
				d.ask(n, stand.PathStream)
				return d.workers[id].TotalRuns() > runs
			})
		})
	}
}

// holdOthers makes the other workers of a worker's service refuse all requests and ask for
// a pause that outlasts the test.
func (d *deployment) holdOthers(id string) {
	for _, w := range d.workers {
		if w.ID != id && w.Service == d.workers[id].Service {
			w.Hold(time.Minute)
		}
	}
}
