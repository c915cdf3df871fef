package relay

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselplank/platform/stand"
)

const (
	// crashesOfRequest is the number of crashes that suffice to know a request that crashes
	// upstreams. The nodes may take learnTime until it reaches none, but for lateArrivals.
	crashesOfRequest = 3
	crashingBody     = "a body that crashes upstreams"
)

// deployWithCrashingRequests starts plain workers that end under two requests, and nodes.
func deployWithCrashingRequests(t *testing.T, nodes int) (*deployment, []*stand.CrashRequest) {
	t.Helper()
	const restart = 1200 * time.Millisecond
	var requests []*stand.CrashRequest
	for _, path := range []string{stand.PathSafe, stand.PathUnsafe} {
		requests = append(requests, &stand.CrashRequest{Path: path, Body: crashingBody, RestartAfter: restart})
	}
	d := deploy(t, nodes, func(w *stand.Worker) {
		if w.Kind == stand.Plain {
			w.CrashRequests, w.Delay = requests, 20*time.Millisecond
		}
	})
	for i := range 10 {
		d.start(&stand.Worker{ID: fmt.Sprint("desk-", i), Service: stand.ServiceDesk, Zone: []string{"a", "b"}[i%2], Kind: stand.Plain, Slots: 4})
	}
	return d, requests
}

// crashUpstreams sends a request to the nodes in turn until it has ended as many upstreams as
// suffice to know it.
func (d *deployment) crashUpstreams(q *stand.CrashRequest) {
	d.t.Helper()
	sent := 0
	d.await("upstreams have crashed", func() bool {
		d.askAs(d.nodes[sent%len(d.nodes)], fmt.Sprint("crashing-", sent), q.Path, withBody(q.Body))
		sent++
		return len(q.Crashes()) >= crashesOfRequest
	})
}

func withBody(body string) func(*http.Request) {
	return func(r *http.Request) { stand.SetBody(r, body) }
}

// A request that ends each upstream that runs it must be kept from them, wherever it comes and
// whatever its ID, and sound requests with the same path, body or account must be served.
func TestRequestCrashesUpstreamsOnAndOn(t *testing.T) {
	const (
		length   = 14 * time.Second
		interval = 320 * time.Millisecond
		// lastPart is the time at the end in which sound requests must be served.
		lastPart = 4 * time.Second
	)
	d, requests := deployWithCrashingRequests(t, 3)
	started := time.Now()
	var group sync.WaitGroup
	var last tally
	for i := range int(length / interval) {
		for j, n := range d.nodes {
			for k, q := range requests {
				group.Go(func() { d.askAs(n, fmt.Sprint("crashing-", i, "-", j, "-", k), q.Path, withBody(crashingBody)) })
			}
			sentAt := time.Since(started)
			for k, change := range []func(*http.Request){withBody(fmt.Sprint("sound body ", i%5)), withBody(crashingBody)} {
				path := []string{stand.PathSafe, stand.PathSafe + "sound/"}[k]
				group.Go(func() {
					r := d.askAs(n, fmt.Sprint("sound-", i, "-", j, "-", k), path, change)
					if sentAt > length-lastPart {
						last.add(r)
					}
				})
			}
		}
		time.Sleep(interval)
	}
	group.Wait()
	for _, q := range requests {
		wantLearned(t, q.Path, &q.CrashRecord, crashesOfRequest)
	}
	last.wantServed(t, 0.95)
}

// What the nodes have learned of a request must hold for nodes that start later, also if no
// other is left.
func TestCrashingRequestForgottenByNewNodes(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprintf("all restart: %v", restart), func(t *testing.T) {
			d, requests := deployWithCrashingRequests(t, 2)
			q := requests[0]
			d.crashUpstreams(q)
			time.Sleep(time.Second)
			n := d.lateNode(restart)
			ready := time.Now()
			for i := range 3 {
				wantStatus(t, d.askAs(n, fmt.Sprint("late-", i), q.Path, withBody(q.Body)), http.StatusServiceUnavailable)
			}
			if got := q.ArrivalsAfter(ready); got > 0 {
				t.Errorf("the request reached upstreams %d times from a new node, want none", got)
			}
		})
	}
}

// Nodes that cannot read the cases in the store must learn of a request from each other.
func TestCrashingRequestLearnedWithoutStore(t *testing.T) {
	d, requests := deployWithCrashingRequests(t, 3)
	d.store.SetTopicUnavailable(stand.TopicCrashes)
	q := requests[0]
	d.crashUpstreams(q)
	time.Sleep(learnTime)
	before := time.Now()
	for i, n := range d.nodes {
		wantStatus(t, d.ask(n, stand.PathSafe), http.StatusOK)
		wantStatus(t, d.askAs(n, fmt.Sprint("held-", i), q.Path, withBody(q.Body)), http.StatusServiceUnavailable)
	}
	if got := q.ArrivalsAfter(before); got > 0 {
		t.Errorf("the request reached upstreams %d times, want none", got)
	}
}
