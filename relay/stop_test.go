package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselplank/platform/stand"
)

// Clients send on connections that they kept open at each millisecond around the stop of
// a node. Each of them must get its answer.
func TestKeptConnectionsAtStop(t *testing.T) {
	const (
		connections = 120
		lead        = 40 * time.Millisecond
	)
	d := deploy(t, 1)
	n := d.nodes[0]
	clients := make([]*keptConn, connections)
	for i := range clients {
		clients[i] = dialKept(t, n.addr)
		if err := clients[i].ask(fmt.Sprint("first-", i)); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Now()
	var group sync.WaitGroup
	for i, c := range clients {
		group.Go(func() {
			time.Sleep(time.Until(start.Add(time.Duration(i) * time.Millisecond)))
			if err := c.ask(fmt.Sprint("second-", i)); err != nil {
				t.Errorf("request %s after the stop: %v", time.Duration(i)*time.Millisecond-lead, err)
			}
		})
	}
	time.Sleep(time.Until(start.Add(lead)))
	n.stop()
	group.Wait()
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
}

// A keptConn is a client's connection that stays open between requests.
type keptConn struct {
	conn   net.Conn
	reader *bufio.Reader
	addr   string
}

func dialKept(t *testing.T, addr string) *keptConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &keptConn{conn: c, reader: bufio.NewReader(c), addr: addr}
}

// ask sends a request and reads the whole answer. It fails unless the answer is the
// upstream's.
func (k *keptConn) ask(id string) error {
	r, err := stand.NewRequest(k.addr, stand.PathSafe, id)
	if err != nil {
		return err
	}
	if err := r.Write(k.conn); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	answer, err := http.ReadResponse(k.reader, r)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status is %d", answer.StatusCode)
	}
	return nil
}

// A request whose stage never ends must have its final answer before the grace period of
// a stopping node is over. It was not sent, so the answer is that it was not run.
func TestStopEndsRequests(t *testing.T) {
	d := deploy(t, 0)
	for _, w := range d.workers {
		if w.Kind == stand.Stage {
			w.Delay = time.Minute
		}
	}
	settings := d.settings("alone")
	settings.Grace = 2 * time.Second
	n := d.addNodeWith(settings)
	d.await("the node is ready", func() bool { return d.isReady(n) })
	answered := make(chan result, 1)
	go func() { answered <- d.ask(n, stand.PathStream) }()
	d.await("the request is in progress", func() bool { return n.server.requestCount() == 1 })
	stopped := time.Now()
	n.stop()
	r := <-answered
	wantStatus(t, r, http.StatusServiceUnavailable)
	if took := time.Since(stopped); took > settings.Grace {
		t.Errorf("answer came %s after the stop, want at most %s", took, settings.Grace)
	}
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
}

// A stopping node must refuse at once a request that would outlast its grace period.
func TestStopRefusesLongRequests(t *testing.T) {
	d := deploy(t, 1)
	n := d.nodes[0]
	for _, w := range d.workers {
		if w.Kind == stand.Engine {
			w.Delay = 300 * time.Millisecond
		}
	}
	wantStatus(t, d.ask(n, stand.PathStream), http.StatusOK)
	settings := d.settings("short")
	settings.Grace = 2 * time.Second
	short := d.addNodeWith(settings)
	d.await("the node is ready", func() bool { return d.isReady(short) })
	wantStatus(t, d.ask(short, stand.PathStream), http.StatusOK)
	short.stop()
	d.await("the node is draining", func() bool { return short.server.draining.Load() })
	sent := time.Now()
	r := d.ask(short, stand.PathStream)
	wantStatus(t, r, http.StatusServiceUnavailable)
	if took := time.Since(sent); took > 200*time.Millisecond {
		t.Errorf("refusal came after %s, want it at once", took)
	}
	if r.header.Get("Retry-After") == "" || !r.closes {
		t.Errorf("headers are %v, connection closes: %v; want a time to retry and the connection closed", r.header, r.closes)
	}
}

// A stopping node must not cut an answer that takes longer than the answers before.
func TestLongAnswerCutByStop(t *testing.T) {
	const (
		grace = 3 * time.Second
		// wait is when the last clients connect after the stop, and eventDelay makes
		// their answers outlast it.
		wait       = 1200 * time.Millisecond
		eventDelay = 250 * time.Millisecond
		// early is when a client connects that keeps the node from exiting at once.
		early = 800 * time.Millisecond
	)
	d := deploy(t, 0)
	settings := d.settings("alone")
	settings.Grace = grace
	n := d.addNodeWith(settings)
	d.await("the node is ready", func() bool { return d.isReady(n) })
	for range 3 {
		wantStatus(t, d.ask(n, stand.PathOnce), http.StatusOK)
	}
	for _, w := range d.workers {
		if w.Kind == stand.Engine {
			w.Delay = eventDelay
		}
	}
	n.stop()
	time.Sleep(early)
	dialKept(t, n.addr)
	time.Sleep(wait - early)
	r := d.ask(n, stand.PathOnce)
	if r.status == http.StatusOK {
		if r.err != nil || r.body != allEvents {
			t.Errorf("request %s was cut after %q (%v)", r.id, r.body, r.err)
		}
	} else {
		wantStatus(t, r, http.StatusServiceUnavailable)
		d.wantRuns(r.id, stand.ServiceEngine, 0, 0)
	}
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
}

// Clients that connect until the node exits must get an answer to each request that was
// sent to an upstream.
func TestRequestTakenAtExit(t *testing.T) {
	const interval = 3 * time.Millisecond
	d := deploy(t, 0, func(w *stand.Worker) {
		if w.Kind == stand.Plain {
			w.Delay = 30 * time.Millisecond
		}
	})
	settings := d.settings("alone")
	settings.Grace = 2 * time.Second
	n := d.addNodeWith(settings)
	d.await("the node is ready", func() bool { return d.isReady(n) })
	n.stop()
	var group sync.WaitGroup
	for i := 0; ; i++ {
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			break // The node has exited.
		}
		group.Go(func() {
			defer conn.Close()
			k := &keptConn{conn: conn, reader: bufio.NewReader(conn), addr: n.addr}
			id := fmt.Sprint("at-exit-", i)
			if err := k.ask(id); err != nil && d.runs(id, stand.ServiceDesk) > 0 {
				t.Errorf("request %s was sent to an upstream and got no answer: %v", id, err)
			}
		})
		time.Sleep(interval)
		if i > int(2*settings.Grace/interval) {
			t.Error("the node still accepts connections after its grace period")
			break
		}
	}
	group.Wait()
}

// A request that arrived together with the one before it must get its answer although the
// node closes idle connections.
func TestPipelinedRequestCutByStop(t *testing.T) {
	const delay = time.Second
	d := deploy(t, 0, func(w *stand.Worker) {
		if w.Kind == stand.Plain {
			w.Delay = delay
		}
	})
	settings := d.settings("alone")
	settings.Grace = 2 * delay
	n := d.addNodeWith(settings)
	d.await("the node is ready", func() bool { return d.isReady(n) })
	k := dialKept(t, n.addr)
	var both bytes.Buffer
	for _, id := range []string{"first", "second"} {
		r, err := stand.NewRequest(n.addr, stand.PathSafe, id)
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Write(&both); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := k.conn.Write(both.Bytes()); err != nil {
		t.Fatal(err)
	}
	wantAnswer := func(id string) {
		t.Helper()
		answer, err := http.ReadResponse(k.reader, nil)
		if err != nil {
			t.Fatalf("request %s: %v", id, err)
		}
		body, err := io.ReadAll(answer.Body)
		if err != nil || answer.StatusCode != http.StatusOK || string(body) != "answer to "+id {
			t.Errorf("answer to request %s is %d %q (%v)", id, answer.StatusCode, body, err)
		}
	}
	wantAnswer("first")
	d.await("the second request is sent", func() bool { return d.runs("second", stand.ServiceDesk) > 0 })
	n.stop()
	wantAnswer("second")
}

// Requests that are in progress when all nodes stop at once must still get their stages.
func TestStagesRefusedWhenAllStop(t *testing.T) {
	const requests = 6
	d := deploy(t, 2, func(w *stand.Worker) {
		if w.Kind == stand.Stage {
			w.Delay = 250 * time.Millisecond
		}
	})
	answers := make(chan result, requests)
	for i := range requests {
		go func() { answers <- d.askAs(d.nodes[i%2], fmt.Sprint("all-stop-", i), stand.PathStream) }()
	}
	d.await("the requests are in progress", func() bool {
		return d.nodes[0].server.requestCount()+d.nodes[1].server.requestCount() == requests
	})
	time.Sleep(100 * time.Millisecond)
	for _, n := range d.nodes {
		n.stop()
	}
	for range requests {
		r := <-answers
		if r.err != nil || r.status != http.StatusOK || r.body != allEvents {
			t.Errorf("answer to request %s is %d %q (%v)", r.id, r.status, r.body, r.err)
		}
	}
}
