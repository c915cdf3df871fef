package relay

import (
	"math"
	"net/http"
	"testing"
	"time"

	"teaselplank/batch"
	"teaselplank/peerpb"
	"teaselplank/platform/stand"
)

// A request with an absurd number of pieces ended the host that got it, with the requests of all
// others there.
func TestHostEndedByOddPieceCount(t *testing.T) {
	d := deploy(t, 2)
	for _, pieces := range []string{"1764940000000000,3", "3,9223372036854775807", "4294967298,1"} {
		for _, n := range d.nodes {
			r := d.ask(n, stand.PathStream, func(r *http.Request) { stand.SetPieces(r, pieces) })
			wantStatus(t, r, http.StatusBadRequest)
			d.wantRuns(r.id, stand.ServiceEngine, 0, 0)
			d.wantRuns(r.id, stand.ServiceEncode, 0, 0)
			wantStatus(t, d.ask(n, stand.PathStream), http.StatusOK)
		}
	}
}

// Guards against a sound node that others take for a faulty one, and do not ask any more, as it has
// refused a job that is not valid.
func TestNodeSuspectedForRefusingJob(t *testing.T) {
	d := deploy(t, 2)
	asker, asked := d.nodes[0].server, d.nodes[1].server
	job := batch.Job{Ref: batch.Ref{Request: "odd"}, Service: stand.ServiceEncode, Pieces: batch.MaxJobPieces + 1, Key: "key", Deadline: time.Now().Add(time.Second)}
	if event, ok := asker.runRemote(t.Context(), asked.self, 1, job); ok {
		t.Errorf("the job has the outcome %v, want that the node does not run it", event)
	}
	if asker.peers.isSuspect(asked.self.Addr) {
		t.Error("the node that refused the job is suspected")
	}
}

// A message from another program with such a number must be refused, not run.
func TestJobWithOddPieceCount(t *testing.T) {
	d := deploy(t, 1)
	n := d.nodes[0]
	client := newPeers().stages(n.server.settings.Peers)
	for _, count := range []int32{-1, math.MinInt32, math.MaxInt32, batch.MaxJobPieces + 1} {
		for _, m := range []*peerpb.JobMessage{
			{Request: "odd", Service: stand.ServiceEncode, Pieces: count, Key: "key", LeftMs: 1000, DueMs: 1000},
			{Request: "odd", Service: stand.ServiceEncode, Pieces: 1, Key: "key", LeftMs: 1000, DueMs: 1000, Ahead: []*peerpb.NeedMessage{{Service: stand.ServiceRank, Pieces: count}}},
		} {
			if reply, err := client.Run(t.Context(), m); err == nil {
				t.Errorf("job with %d pieces has the reply %v, want an error", count, reply)
			}
		}
	}
	d.wantRuns("odd", stand.ServiceEncode, 0, 0)
	wantStatus(t, d.ask(n, stand.PathStream), http.StatusOK)
}
