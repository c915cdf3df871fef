package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"teaselplank/platform/stand"
)

// refusalStatuses are the statuses which promise that a request has not run. 421 proves it by
// itself.
var refusalStatuses = []string{"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"}

// unprovenFields are the heads of refusals that do not say that the request has not run.
var unprovenFields = map[string][]string{
	"alone":                        nil,
	"with a time to retry":         {"Retry-After: 1"},
	"with an empty statement":      {stand.NotExecutedField("")},
	"with a closing connection":    {"Connection: close"},
	"with a fraction of a second":  {"Retry-After: 0.05"},
	"with a time and a connection": {"Retry-After: 1", "Connection: close", stand.NotExecutedField("")},
}

// refuse returns a script that refuses each request after it was run.
func refuse(status string, fields []string) stand.Script {
	return func(a *stand.RawAnswer) {
		a.Write(a.Head(status, append([]string{"Content-Length: 7"}, fields...)...) + "refused")
	}
}

// eachUnprovenRefusal runs a test for each status and head of a refusal that proves nothing.
func eachUnprovenRefusal(t *testing.T, run func(t *testing.T, status string, script stand.Script)) {
	for _, status := range refusalStatuses {
		for name, fields := range unprovenFields {
			t.Run(status[:3]+" "+name, func(t *testing.T) {
				t.Parallel()
				run(t, status, refuse(status, fields))
			})
		}
	}
}

func (d *deployment) setScripts(service string, s stand.Script) {
	for _, w := range d.workers {
		if w.Service == service {
			w.SetScript(s)
		}
	}
}

// Guards against a client that is told that its unsafe request has not run, as its upstream
// refused it without saying so, and sends it again.
func TestRefusalAfterRunIsPassedOn(t *testing.T) {
	const requests = 6
	eachUnprovenRefusal(t, func(t *testing.T, _ string, script stand.Script) {
		d := deploy(t, 1)
		d.setScripts(stand.ServiceDesk, script)
		d.setScripts(stand.ServiceEngine, script)
		for _, path := range []string{stand.PathUnsafe, stand.PathOnce} {
			ran := 0
			for i := range requests {
				r := d.askAbout(i, path)
				runs := d.runs(r.id, stand.ServiceDesk) + d.runs(r.id, stand.ServiceEngine)
				ran += runs
				// Upstreams that ask for a pause get no more requests.
				want := http.StatusServiceUnavailable
				if runs > 0 {
					want = http.StatusBadGateway
				}
				wantStatus(t, r, want)
				if runs > 1 {
					t.Errorf("request %s was run %d times", r.id, runs)
				}
				if stand.Sealed(r.header) {
					t.Errorf("answer %d to request %s has the seal of an upstream", r.status, r.id)
				}
			}
			if ran == 0 {
				t.Error("no request was run; the test shows nothing")
			}
		}
	})
}

// Guards against requests that may be repeated and lose their upstream's own answer.
func TestRefusalOfRepeatableRequest(t *testing.T) {
	eachUnprovenRefusal(t, func(t *testing.T, status string, script stand.Script) {
		d := deploy(t, 1)
		d.setScripts(stand.ServiceDesk, script)
		r := d.ask(d.nodes[0], stand.PathSafe)
		if got := fmt.Sprintf("%d %s", r.status, http.StatusText(r.status)); got != status || r.body != "refused" || !stand.Sealed(r.header) {
			t.Errorf("answer is %s %q with headers %v, want the upstream's", got, r.body, r.header)
		}
	})
}

// Guards against requests that are given up, or answered 502, although an upstream said that it has
// not run them.
func TestProvenRefusal(t *testing.T) {
	const requests = 6
	proven := append([]string{"421 Misdirected Request"}, refusalStatuses...)
	for _, status := range proven {
		t.Run(status[:3], func(t *testing.T) {
			t.Parallel()
			var fields []string
			if !strings.HasPrefix(status, "421") {
				fields = []string{stand.NotExecutedField("1")}
			}
			script := refuse(status, fields)
			d := deploy(t, 1)
			d.workers["desk-a"].SetScript(script)
			d.workers["engine-a"].SetScript(script)
			for i := range requests {
				for _, path := range []string{stand.PathUnsafe, stand.PathOnce} {
					wantWhole(t, d.askAbout(i, path), path)
				}
			}
			d.setScripts(stand.ServiceDesk, script)
			for range requests {
				wantStatus(t, d.ask(d.nodes[0], stand.PathUnsafe), http.StatusServiceUnavailable)
			}
		})
	}
}
