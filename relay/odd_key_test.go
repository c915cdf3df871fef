package relay

import (
	"net/http"
	"testing"

	"teaselplank/platform/stand"
)

// Guards against stages that run under a key that no client has sent: bytes that are not UTF-8 were
// replaced on the way to the workers, so that keys that differ became the same.
func TestPieceKeyThatIsNoText(t *testing.T) {
	d := deploy(t, 2)
	for _, key := range []string{"claim-caf\xe9", "claim-caf\xe8"} {
		for _, n := range d.nodes {
			r := d.ask(n, stand.PathStream, func(r *http.Request) { stand.SetPieceKey(r, key) })
			wantStatus(t, r, http.StatusBadRequest)
			d.wantRuns(r.id, stand.ServiceEncode, 0, 0)
			d.wantRuns(r.id, stand.ServiceEngine, 0, 0)
		}
	}
}

// Other keys reach the workers as they are, also by way of the node that owns them.
func TestPieceKeyIsUnchanged(t *testing.T) {
	d := deploy(t, 2)
	for _, key := range []string{"claim-café", "\ufffd", "<a&b>\u2028", "%e9"} {
		for _, n := range d.nodes {
			r := d.ask(n, stand.PathStream, func(r *http.Request) { stand.SetPieceKey(r, key) })
			wantStatus(t, r, http.StatusOK)
			for _, id := range []string{"encode-a", "encode-b"} {
				w := d.workers[id]
				if got := w.Key(r.id); w.Runs(r.id) > 0 && got != key {
					t.Errorf("%s was asked with key %q, want %q", id, got, key)
				}
			}
			d.wantRuns(r.id, stand.ServiceEncode, 1, 6)
		}
	}
}
