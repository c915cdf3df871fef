package relay

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"teaselplank/platform/stand"
)

// newKey is the API key of the configurations that replace the first one in these tests.
const newKey = "new-key"

func withNewKey(r *http.Request) { stand.SetAPIKey(r, newKey) }

// withPieces returns a change that gives a request a number of pieces in each of some stages.
func withPieces(stages, pieces int) func(*http.Request) {
	list := slices.Repeat([]string{fmt.Sprint(pieces)}, stages)
	return func(r *http.Request) { stand.SetPieces(r, strings.Join(list, ",")) }
}

// wantInForce checks that a node accepts only the new key and serves all routes of the first
// configuration.
func (d *deployment) wantInForce(t *testing.T, n *testNode) {
	t.Helper()
	d.await("the old key is not accepted", func() bool { return d.ask(n, stand.PathSafe).status == http.StatusUnauthorized })
	for _, path := range []string{stand.PathSafe, stand.PathUnsafe, stand.PathStream, stand.PathOnce} {
		wantWhole(t, d.ask(n, path, withNewKey), path)
	}
}

// Guards against a version that is refused as a whole, also the removal of a key, because a stage
// needs the results of one with a higher number.
func TestStageNeedsLaterStage(t *testing.T) {
	encode := func(after ...int) stand.RouteStage {
		return stand.RouteStage{Service: stand.ServiceEncode, After: after}
	}
	rank := func(after ...int) stand.RouteStage { return stand.RouteStage{Service: stand.ServiceRank, After: after} }
	routes := map[string][]stand.RouteStage{
		"/swapped/":  {rank(1), encode()},
		"/reversed/": {rank(1), rank(2), encode()},
		"/rotated/":  {rank(2), encode(), rank(1)},
		"/joined/":   {rank(1, 2), encode(), encode()},
		"/listed/":   {encode(), encode(0), rank(0, 1)},
	}
	d := deploy(t, 2)
	stand.PutConfigWithStages(d.store, 2, newKey, routes)
	d.addNode("late")
	d.await("the new node is ready", func() bool { return d.isReady(d.nodes[2]) })
	for _, n := range d.nodes {
		d.wantInForce(t, n)
		for path, stages := range routes {
			t.Run(n.server.settings.Node+path, func(t *testing.T) {
				r := d.ask(n, path, withNewKey, withPieces(len(stages), 2))
				wantWhole(t, r, stand.PathStream)
				d.wantInputs(t, r.id, stages, 2)
			})
		}
	}
	if crossed := d.crossedInputs(); crossed > 0 {
		t.Errorf("%d requests or pieces had results of other requests", crossed)
	}
}

// wantInputs checks that a request and each of its pieces had the results that the stages name,
// each once.
func (d *deployment) wantInputs(t *testing.T, id string, stages []stand.RouteStage, pieces int) {
	t.Helper()
	needed := make(map[int][]int)
	last := make(map[int]bool)
	for i, s := range stages {
		needed[i] = s.After
		last[i] = true
	}
	for _, s := range stages {
		for _, i := range s.After {
			last[i] = false
		}
	}
	for i := range stages {
		if last[i] {
			needed[stand.RequestItself] = append(needed[stand.RequestItself], i)
		}
	}
	for stage, after := range needed {
		var want []int
		for _, i := range after {
			want = append(want, slices.Repeat([]int{i}, pieces)...)
		}
		slices.Sort(want)
		if got := d.inputStages(id, stage); !slices.Equal(got, want) {
			t.Errorf("stage %d of request %s had results of the stages %v, want %v", stage, id, got, want)
		}
	}
	d.wantRuns(id, stand.ServiceEngine, 1, 1)
}

// inputStages returns the stages of the results that a worker was given for a stage of a request.
func (d *deployment) inputStages(id string, stage int) []int {
	for _, w := range d.workers {
		if stages := w.InputStages(id, stage); len(stages) > 0 {
			return stages
		}
	}
	return nil
}

func (d *deployment) crossedInputs() int {
	crossed := 0
	for _, w := range d.workers {
		crossed += w.CrossedInputs()
	}
	return crossed
}

// Guards against a version that is refused as a whole because of one route with stages that can
// never run. Requests for such stages must be refused at once.
func TestStagesThatNeverRun(t *testing.T) {
	rank := func(after ...int) stand.RouteStage { return stand.RouteStage{Service: stand.ServiceRank, After: after} }
	routes := map[string][]stand.RouteStage{
		"/cycle/":        {rank(1), rank(0)},
		"/itself/":       {rank(0)},
		"/after-cycle/":  {rank(2), rank(0), rank(1), rank(2)},
		"/missing/":      {rank(7)},
		"/before-first/": {rank(-1)},
	}
	d := deploy(t, 1)
	stand.PutConfigWithStages(d.store, 2, newKey, routes)
	n := d.nodes[0]
	d.wantInForce(t, n)
	if got := metricOf(t, n.server, "teaselplank_invalid_records_total", "route"); got != float64(len(routes)) {
		t.Errorf("%v invalid routes are counted, want %d", got, len(routes))
	}
	for path, stages := range routes {
		t.Run(path, func(t *testing.T) {
			// The route may have fewer stages than the request.
			for _, count := range []int{len(stages), 9} {
				r := d.askAtOnce(t, n, path, withPieces(count, 1))
				wantStatus(t, r, http.StatusServiceUnavailable)
				if r.header.Get("Retry-After") == "" {
					t.Error("answer has no Retry-After")
				}
				d.wantRuns(r.id, stand.ServiceRank, 0, 0)
				d.wantRuns(r.id, stand.ServiceEngine, 0, 0)
			}
			r := d.ask(n, path, withNewKey, withPieces(len(stages), 0))
			wantWhole(t, r, stand.PathStream)
			d.wantRuns(r.id, stand.ServiceEngine, 1, 1)
		})
	}
	d.wantInForce(t, n)
}

// Guards against a version that is refused as a whole because of one route of an unknown type.
// Requests of that route must not run, as nothing says whether they may be repeated.
func TestRouteOfUnknownType(t *testing.T) {
	d := deploy(t, 1)
	stand.PutConfigWithType(d.store, 2, newKey, "/other/", "other")
	n := d.nodes[0]
	d.wantInForce(t, n)
	r := d.askAtOnce(t, n, "/other/")
	wantStatus(t, r, http.StatusServiceUnavailable)
	d.wantRuns(r.id, stand.ServiceDesk, 0, 0)
}

// askAtOnce sends a request with the new key that must be answered at once.
func (d *deployment) askAtOnce(t *testing.T, n *testNode, path string, change ...func(*http.Request)) result {
	t.Helper()
	started := time.Now()
	r := d.ask(n, path, append(change, withNewKey)...)
	if took := time.Since(started); took > promptly {
		t.Errorf("answer took %s, want at most %s", took, promptly)
	}
	return r
}
