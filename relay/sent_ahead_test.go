package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"teaselplank/platform/stand"
)

// sentAheadDelay is how long a request takes at its upstream.
const sentAheadDelay = time.Second

// pipelined returns requests as they are written one after the other on a connection, and their IDs.
func pipelined(t *testing.T, n *testNode, name, path string, count int) (text []byte, ids []string) {
	t.Helper()
	var b bytes.Buffer
	for i := range count {
		id := fmt.Sprint(name, "-", i)
		r, err := stand.NewRequest(n.addr, path, id)
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Write(&b); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, id)
	}
	return b.Bytes(), ids
}

// Guards against requests that run for a client that has left: it had sent them ahead, so that its
// close was not seen behind them.
func TestRequestsSentAheadByClientThatLeft(t *testing.T) {
	const sent = 4
	closes := []struct {
		name  string
		close func(c *net.TCPConn) error
	}{
		{"close", (*net.TCPConn).Close},
		{"reset", func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		}},
	}
	for _, path := range []string{stand.PathSafe, stand.PathUnsafe} {
		for _, c := range closes {
			t.Run(path+" "+c.name, func(t *testing.T) {
				t.Parallel()
				d := deploy(t, 1, func(w *stand.Worker) { w.Delay = sentAheadDelay })
				n := d.nodes[0]
				text, ids := pipelined(t, n, "left", path, sent)
				conn, err := net.Dial("tcp", n.addr)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := conn.Write(text); err != nil {
					t.Fatal(err)
				}
				d.await("the first request runs", func() bool { return d.runs(ids[0], stand.ServiceDesk) > 0 })
				if err := c.close(conn.(*net.TCPConn)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(sentAheadDelay + 500*time.Millisecond)
				for _, id := range ids[1:] {
					d.wantRuns(id, stand.ServiceDesk, 0, 0)
				}
			})
		}
	}
}

// A client that sends requests ahead and stays gets all answers, in order.
func TestRequestsSentAheadByClientThatStays(t *testing.T) {
	const sent = 3
	d := deploy(t, 1, func(w *stand.Worker) { w.Delay = sentAheadDelay / 2 })
	n := d.nodes[0]
	text, ids := pipelined(t, n, "stays", stand.PathSafe, sent)
	k := dialKept(t, n.addr)
	if _, err := k.conn.Write(text); err != nil {
		t.Fatal(err)
	}
	for _, id := range ids {
		r, err := http.ReadResponse(k.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Fatal(err)
		}
		if r.StatusCode != http.StatusOK {
			t.Errorf("answer of %s has status %d, want 200", id, r.StatusCode)
		}
		d.wantRuns(id, stand.ServiceDesk, 1, 1)
	}
}
