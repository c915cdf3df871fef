package relay

import (
	"net/http"
	"strings"
	"testing"

	"teaselplank/batch"
	"teaselplank/platform"
	"teaselplank/platform/stand"
	"teaselplank/proxy"
)

// A panickingProtocol panics at some requests, those with panicID in their ID, where it is told to.
type panickingProtocol struct {
	platform.Adapter
	at workKind
}

const panicID = "panics"

func (p panickingProtocol) panicAt(k workKind, id string) {
	if k == p.at && strings.Contains(id, panicID) {
		panic("test")
	}
}

// ParseRequest implements Protocol.
func (p panickingProtocol) ParseRequest(r *http.Request) (proxy.Request, error) {
	q, err := p.Adapter.ParseRequest(r)
	p.panicAt(workRequest, q.ID)
	return q, err
}

// ParseResponse implements Protocol.
func (p panickingProtocol) ParseResponse(r *http.Response) (string, proxy.ResponseHead) {
	id, head := p.Adapter.ParseResponse(r)
	p.panicAt(workAttempt, id)
	return id, head
}

// StageCall implements Protocol.
func (p panickingProtocol) StageCall(c batch.Call) (*http.Request, error) {
	p.panicAt(workStageCall, c.Items[0].Ref.Request)
	return p.Adapter.StageCall(c)
}

// Guards against a process that ends, or hangs, with the work of all as the work of one request
// panics.
func TestPanicIsContained(t *testing.T) {
	for _, k := range []workKind{workRequest, workAttempt, workStageCall} {
		t.Run(string(k), func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 0)
			d.protocol = panickingProtocol{at: k}
			n := d.addNode("node")
			d.await("the node is ready", func() bool { return d.isReady(n) })
			for i, path := range []string{stand.PathUnsafe, stand.PathStream, stand.PathSafe} {
				r := d.askAs(n, panicID+path, path)
				switch fails := k != workStageCall || path == stand.PathStream; {
				case fails && (r.err != nil || r.status == http.StatusOK):
					t.Errorf("request %d gets %d (%v), want a failure", i, r.status, r.err)
				case !fails:
					wantStatus(t, r, http.StatusOK)
				}
				d.wantRuns(r.id, stand.ServiceDesk, 0, 4)
			}
			d.wantRuns(panicID+stand.PathUnsafe, stand.ServiceDesk, 0, 1)
			if got := metricOf(t, n.server, "teaselplank_panics_total", string(k)); got == 0 {
				t.Error("no panic was counted")
			}
			for _, path := range []string{stand.PathUnsafe, stand.PathStream, stand.PathSafe} {
				wantStatus(t, d.ask(n, path), http.StatusOK)
			}
			d.await("no request is in progress", func() bool { return n.server.requestCount() == 0 })
		})
	}
}
