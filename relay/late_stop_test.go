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

const (
	// lateGrace is the grace period of the tests of requests that come late in it.
	lateGrace = 6 * time.Second
	// lateInterval is the time between two of their requests.
	lateInterval = 25 * time.Millisecond
	// ownTime is how long after the stop requests may still count on the whole grace period
	// of a node. A stream sent until then may be cut at its end.
	ownTime = 3 * time.Second
)

// A lateRequest is a kind of request that is sent until a stopping node takes no more.
type lateRequest struct {
	name string
	path string
	// deadline is the client's own one, or 0 if it names none.
	deadline time.Duration
	// bodyTime is how long the client takes to send the body.
	bodyTime time.Duration
	// fault is that of all workers of a service from faultAfter on, counted from the stop.
	fault        stand.Fault
	faultService string
	faultAfter   time.Duration
}

// A lateAnswer is what became of a late request.
type lateAnswer struct {
	id string
	// sentAt is when the last byte was sent, counted from the stop.
	sentAt time.Duration
	status int
	// closed is how the connection ended without a whole answer, or nil.
	closed error
}

// Requests that come late in the grace period of a node must be answered whole or be refused, not
// be passed on and cut at its end.
func TestLateRequestCutByStop(t *testing.T) {
	const unlimited = 0
	for _, c := range []lateRequest{
		{name: "unsafe, without a deadline of its own", path: stand.PathUnsafe, deadline: unlimited},
		{name: "unsafe, upstreams become slow", path: stand.PathUnsafe, deadline: unlimited, fault: stand.FaultPause, faultService: stand.ServiceDesk, faultAfter: 2 * time.Second},
		{name: "unsafe, upstreams become slow late", path: stand.PathUnsafe, deadline: unlimited, fault: stand.FaultPause, faultService: stand.ServiceDesk, faultAfter: 4 * time.Second},
		{name: "unsafe, bodies end late", path: stand.PathUnsafe, deadline: unlimited, bodyTime: 3 * time.Second},
		{name: "unsafe with a deadline, bodies end late", path: stand.PathUnsafe, deadline: 3 * time.Second, bodyTime: 2 * time.Second},
		{name: "stream without resumption, upstreams become slow", path: stand.PathOnce, deadline: unlimited, fault: stand.FaultPause, faultService: stand.ServiceEngine, faultAfter: 3 * time.Second},
		{name: "stream without resumption, upstreams stall", path: stand.PathOnce, deadline: 20 * time.Second, fault: stand.FaultStallStream, faultService: stand.ServiceEngine, faultAfter: 3 * time.Second},
		{name: "stream, stages become slow", path: stand.PathStream, deadline: unlimited, fault: stand.FaultPause, faultService: stand.ServiceEncode, faultAfter: 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 0)
			settings := d.settings("alone")
			settings.Grace = lateGrace
			n := d.addNodeWith(settings)
			d.await("the node is ready", func() bool { return d.isReady(n) })
			for range 3 {
				wantStatus(t, d.ask(n, c.path), http.StatusOK)
			}
			if c.fault != stand.FaultNone {
				time.AfterFunc(c.faultAfter, func() { d.setFaults(c.faultService, c.fault) })
			}
			answers := d.sendLate(n, c)
			wantNoneCut(d, answers)
			if err := <-n.ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// sendLate stops a node, sends requests on connections of their own until the node accepts no
// more, and returns what became of them.
func (d *deployment) sendLate(n *testNode, c lateRequest) []lateAnswer {
	var (
		mu      sync.Mutex
		answers []lateAnswer
		group   sync.WaitGroup
	)
	stopped := time.Now()
	n.stop()
	group.Go(func() { d.occupy(n, stopped) })
	for i := 0; time.Since(stopped) < 2*lateGrace; i++ {
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			break // The node accepts no more connections.
		}
		group.Go(func() {
			defer conn.Close()
			a := c.send(conn, n.addr, fmt.Sprint("late-", i), stopped)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(lateInterval)
	}
	group.Wait()
	return answers
}

// occupy keeps a node from exiting early: a request is always in progress there.
func (d *deployment) occupy(n *testNode, stopped time.Time) {
	slow := lateRequest{path: stand.PathSafe, bodyTime: time.Second}
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			return
		}
		group.Go(func() {
			defer conn.Close()
			slow.send(conn, n.addr, fmt.Sprint("occupies-", i), stopped)
		})
		time.Sleep(slow.bodyTime / 2)
	}
}

// send sends a request on a connection and reads its answer.
func (c lateRequest) send(conn net.Conn, addr, id string, stopped time.Time) lateAnswer {
	a := lateAnswer{id: id}
	r, err := stand.NewRequest(addr, c.path, id)
	if err != nil {
		a.closed = err
		return a
	}
	stand.SetDeadline(r, c.deadline)
	if c.deadline == 0 {
		stand.RemoveDeadline(r)
	}
	if a.closed = writeSlowly(conn, r, c.bodyTime); a.closed != nil {
		return a
	}
	a.sentAt = time.Since(stopped)
	answer, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		a.closed = err
		return a
	}
	defer answer.Body.Close()
	a.status = answer.StatusCode
	_, a.closed = io.Copy(io.Discard, answer.Body)
	return a
}

// writeSlowly writes a request and takes a time before the last byte of its body.
func writeSlowly(conn net.Conn, r *http.Request, wait time.Duration) error {
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	last := text.Len() - 1
	if _, err := conn.Write(text.Bytes()[:last]); err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	time.Sleep(wait)
	if _, err := conn.Write(text.Bytes()[last:]); err != nil {
		return fmt.Errorf("send end of body: %w", err)
	}
	return nil
}

// wantNoneCut checks that each late request was served or refused, in an answer that is whole,
// and that one that was refused has reached no upstream.
func wantNoneCut(d *deployment, answers []lateAnswer) {
	d.t.Helper()
	counts := make(map[int]int)
	for _, a := range answers {
		ran := d.runs(a.id, stand.ServiceDesk)+d.runs(a.id, stand.ServiceEngine) > 0
		counts[a.status]++
		switch {
		case a.closed != nil && ran && a.sentAt > ownTime:
			d.t.Errorf("request %s, sent %s after the stop, reached an upstream and was cut: %v", a.id, a.sentAt, a.closed)
		case a.closed == nil && a.sentAt > ownTime && a.status != http.StatusOK && a.status != http.StatusServiceUnavailable:
			d.t.Errorf("request %s, sent %s after the stop, was passed on and given up with status %d", a.id, a.sentAt, a.status)
		case a.status == http.StatusServiceUnavailable && ran:
			d.t.Errorf("request %s, sent %s after the stop, was refused and reached an upstream", a.id, a.sentAt)
		}
	}
	d.t.Logf("%d requests, by status: %v", len(answers), counts)
}
