package relay

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"teaselplank/platform/stand"
)

// A client that ends its own side of the connection must not take an answer that was given
// up for a complete one.
func TestAnswerToHalfClosedConnection(t *testing.T) {
	const delay = 100 * time.Millisecond
	d := deploy(t, 1, func(w *stand.Worker) {
		if w.Kind != stand.Stage {
			w.Delay = delay
		}
	})
	ask := func(t *testing.T, path string) (status int, body string, err error) {
		t.Helper()
		k := dialKept(t, d.nodes[0].addr)
		r, err := stand.NewRequest(k.addr, path, "half-closed")
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Write(k.conn); err != nil {
			t.Fatal(err)
		}
		time.Sleep(delay / 2)
		if err := k.conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		answer, err := http.ReadResponse(k.reader, r)
		if err != nil {
			return 0, "", err
		}
		data, err := io.ReadAll(answer.Body)
		return answer.StatusCode, string(data), err
	}
	for path, whole := range map[string]string{stand.PathSafe: "answer to half-closed", stand.PathOnce: allEvents} {
		t.Run(path, func(t *testing.T) {
			if status, body, err := ask(t, path); err == nil && body != whole {
				t.Errorf("answer is %d %q, want it whole or cut", status, body)
			}
		})
	}
}
