package relay

import (
	"net/http"
	"testing"
	"time"

	"teaselplank/platform/stand"
)

// An upstream that is silent for a while and goes on must not cost the client its answer,
// whatever happens to the attempts that are made meanwhile.
func TestAnswerLostToSilence(t *testing.T) {
	refuseStages := func(d *deployment, _ *stand.Worker) {
		d.setFaults(stand.ServiceEncode, stand.FaultRefuse)
		d.setFaults(stand.ServiceRank, stand.FaultRefuse)
	}
	otherFails := func(fault stand.Fault) func(*deployment, *stand.Worker) {
		return func(d *deployment, silent *stand.Worker) {
			for _, w := range d.workers {
				if w.Service == silent.Service && w != silent {
					w.SetFault(fault)
				}
			}
		}
	}
	for _, c := range []struct {
		name, path, service string
		// meanwhile is called once the silent upstream has the request.
		meanwhile func(d *deployment, silent *stand.Worker)
	}{
		{"stream, stages are refused", stand.PathStream, stand.ServiceEngine, refuseStages},
		{"stream, other upstream refuses", stand.PathStream, stand.ServiceEngine, otherFails(stand.FaultRefuse)},
		{"stream, other upstream breaks", stand.PathStream, stand.ServiceEngine, otherFails(stand.FaultDropConnection)},
		{"stream, other upstream fails", stand.PathStream, stand.ServiceEngine, otherFails(stand.FaultServerError)},
		{"plain, other upstream refuses", stand.PathSafe, stand.ServiceDesk, otherFails(stand.FaultRefuse)},
		{"plain, other upstream breaks", stand.PathSafe, stand.ServiceDesk, otherFails(stand.FaultDropConnection)},
		{"plain, other upstream breaks within its answer", stand.PathSafe, stand.ServiceDesk, otherFails(stand.FaultTruncateBody)},
		{"plain, other upstream fails", stand.PathSafe, stand.ServiceDesk, otherFails(stand.FaultServerError)},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 1)
			d.setFaults(c.service, stand.FaultPause)
			started := time.Now()
			answered := make(chan result, 1)
			go func() { answered <- d.askAs(d.nodes[0], "silent", c.path) }()
			c.meanwhile(d, d.awaitRun("silent", c.service))
			r := <-answered
			wantWhole(t, r, c.path)
			if took := time.Since(started); took > stand.PauseTime+time.Second {
				t.Errorf("answer took %s, want it when the upstream goes on after %s", took, stand.PauseTime)
			}
		})
	}
}

// awaitRun returns the worker of a service that runs a request.
func (d *deployment) awaitRun(id, service string) *stand.Worker {
	d.t.Helper()
	var running *stand.Worker
	d.await("the request is at a worker of "+service, func() bool {
		for _, w := range d.workers {
			if w.Service == service && w.Runs(id) > 0 {
				running = w
			}
		}
		return running != nil
	})
	return running
}

// wantWhole checks that an answer is the whole one of an upstream.
func wantWhole(t *testing.T, r result, path string) {
	t.Helper()
	want := "answer to " + r.id
	if isStreamPath(path) {
		want = allEvents
	}
	if r.err != nil || r.status != http.StatusOK || r.body != want {
		t.Errorf("answer is %d %q (%v), want 200 %q", r.status, r.body, r.err, want)
	}
}

// A stream that broke off must not be ended like a complete one when its second attempt
// gets an error.
func TestTruncatedStreamLooksComplete(t *testing.T) {
	d := deploy(t, 1)
	d.setFaults(stand.ServiceEngine, stand.FaultTruncateStream)
	answered := make(chan result, 1)
	go func() { answered <- d.askAs(d.nodes[0], "truncated", stand.PathStream) }()
	first := d.awaitRun("truncated", stand.ServiceEngine)
	for _, w := range d.workers {
		if w.Service == stand.ServiceEngine && w != first {
			w.SetFault(stand.FaultServerError)
		}
	}
	if r := <-answered; r.err == nil {
		t.Errorf("truncated answer ends without an error: %d %q", r.status, r.body)
	}
}

// A request whose stage workers are silent for a while and go on must get its answer, sooner
// if one of them is not silent. The results that are not used must be freed.
func TestStageLostToSilence(t *testing.T) {
	for _, c := range []struct {
		name    string
		silent  []string
		maxTime time.Duration
	}{
		{"all workers", []string{"encode-a", "encode-b"}, stand.PauseTime + time.Second},
		{"the worker in one zone", []string{"encode-a"}, stand.PauseTime},
		{"the worker in the other zone", []string{"encode-b"}, stand.PauseTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 1)
			for _, id := range c.silent {
				d.workers[id].SetFault(stand.FaultPause)
			}
			started := time.Now()
			r := d.askAs(d.nodes[0], "silent", stand.PathStream)
			wantWhole(t, r, stand.PathStream)
			if took := time.Since(started); took > c.maxTime {
				t.Errorf("answer took %s, want %s at most", took, c.maxTime)
			}
			d.await("the silent workers have gone on", func() bool {
				calls := 0
				for _, p := range d.nodes[0].server.owner.pools(time.Now()) {
					calls += p.Calls
				}
				return calls == 0
			})
			d.await("no result is left", func() bool { return d.heldResults() == 0 })
			d.wantRuns("silent", stand.ServiceEncode, 2, 4) // Each of two pieces at most twice.
		})
	}
}

// heldResults returns the number of results that the workers keep.
func (d *deployment) heldResults() int {
	held := 0
	for _, w := range d.workers {
		held += w.HeldResults()
	}
	return held
}
