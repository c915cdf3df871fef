package relay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselplank/infra"
	"teaselplank/platform/stand"
)

func TestRequestOfEachKind(t *testing.T) {
	d := deploy(t, 2)
	for _, n := range d.nodes {
		for _, path := range []string{stand.PathSafe, stand.PathUnsafe} {
			r := d.ask(n, path+"x")
			wantStatus(t, r, http.StatusOK)
			if want := "answer to " + r.id; r.body != want {
				t.Errorf("body is %q, want %q", r.body, want)
			}
			if !stand.Sealed(r.header) {
				t.Errorf("answer has no seal: %v", r.header)
			}
			d.wantRuns(r.id, stand.ServiceDesk, 1, 1)
		}
		r := d.ask(n, stand.PathStream+"x")
		wantStatus(t, r, http.StatusOK)
		if r.body != allEvents {
			t.Errorf("events are %q, want %q", r.body, allEvents)
		}
		d.wantRuns(r.id, stand.ServiceEncode, 2, 2)
		d.wantRuns(r.id, stand.ServiceRank, 3, 3)
		d.wantRuns(r.id, stand.ServiceEngine, 1, 1)
	}
	d.await("all results are freed", func() bool {
		held := 0
		for _, w := range d.workers {
			held += w.HeldResults()
		}
		return held == 0
	})
}

func TestAccounts(t *testing.T) {
	d := deploy(t, 1)
	t.Run("account of the key", func(t *testing.T) {
		r := d.ask(d.nodes[0], stand.PathSafe, stand.ForgeAccount)
		wantStatus(t, r, http.StatusOK)
		account := ""
		for _, w := range d.workers {
			if w.Runs(r.id) > 0 {
				account = w.Account(r.id)
			}
		}
		if account != stand.Account {
			t.Errorf("request was run for account %q, want %q", account, stand.Account)
		}
	})
	t.Run("unknown key", func(t *testing.T) {
		r := d.ask(d.nodes[0], stand.PathSafe, func(r *http.Request) { stand.SetAPIKey(r, "other") })
		wantStatus(t, r, http.StatusUnauthorized)
	})
	t.Run("unknown path", func(t *testing.T) { wantStatus(t, d.ask(d.nodes[0], "/none/"), http.StatusNotFound) })
	t.Run("no id", func(t *testing.T) {
		r := d.ask(d.nodes[0], stand.PathSafe, stand.RemoveRequestID)
		wantStatus(t, r, http.StatusBadRequest)
	})
}

// For each fault of workers, an unsafe request runs at most once, and one that is
// answered with "not run" does not run.
func TestFaultsOfWorkers(t *testing.T) {
	for _, c := range []struct {
		fault            stand.Fault
		unsafe, safe     int
		min, max         int
		safeMin, safeMax int
	}{
		{stand.FaultRefuse, 503, 503, 0, 0, 0, 0},
		{stand.FaultDropConnection, 502, 502, 1, 1, 2, 2},
		{stand.FaultServerError, 500, 500, 1, 1, 2, 2},
		{stand.FaultWrongID, 502, 502, 1, 1, 2, 2},
		{stand.FaultNoSeal, 502, 502, 1, 1, 2, 2},
		{stand.FaultTruncateBody, 502, 502, 1, 1, 2, 2},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			d := deploy(t, 1)
			d.setFaults(stand.ServiceDesk, c.fault)
			unsafe := d.ask(d.nodes[0], stand.PathUnsafe)
			wantStatus(t, unsafe, c.unsafe)
			d.wantRuns(unsafe.id, stand.ServiceDesk, c.min, c.max)
			safe := d.ask(d.nodes[0], stand.PathSafe)
			wantStatus(t, safe, c.safe)
			d.wantRuns(safe.id, stand.ServiceDesk, c.safeMin, c.safeMax)
		})
	}
	t.Run("late copy of an answer on a connection in use", func(t *testing.T) {
		d := deploy(t, 1)
		d.setFaults(stand.ServiceDesk, stand.FaultLateCopy)
		crossed := 0
		for range 8 {
			r := d.ask(d.nodes[0], stand.PathUnsafe)
			if want := "answer to " + r.id; r.status == http.StatusOK && r.body != want {
				t.Errorf("body is %q, want %q", r.body, want)
			}
			if r.status == http.StatusBadGateway {
				crossed++
			}
			d.wantRuns(r.id, stand.ServiceDesk, 1, 1)
		}
		if crossed == 0 {
			t.Error("no request met a late copy; the test shows nothing")
		}
	})
	t.Run("one worker loses answers", func(t *testing.T) {
		d := deploy(t, 1)
		d.workers["desk-a"].SetFault(stand.FaultDropConnection)
		for range 5 {
			wantStatus(t, d.ask(d.nodes[0], stand.PathSafe), http.StatusOK)
		}
	})
	t.Run("bytes after an answer", func(t *testing.T) {
		d := deploy(t, 1)
		d.setFaults(stand.ServiceDesk, stand.FaultExtraResponse)
		for range 8 {
			r := d.ask(d.nodes[0], stand.PathUnsafe)
			wantStatus(t, r, http.StatusOK)
			if want := "answer to " + r.id; r.body != want {
				t.Errorf("body is %q, want %q", r.body, want)
			}
		}
	})
	t.Run("stream resumes at another worker", func(t *testing.T) {
		d := deploy(t, 1)
		d.workers["engine-a"].SetFault(stand.FaultTruncateStream)
		for range 6 {
			if r := d.ask(d.nodes[0], stand.PathStream); r.body != allEvents {
				t.Errorf("events are %q (%v), want %q", r.body, r.err, allEvents)
			}
		}
	})
	t.Run("stream that breaks at every worker ends with an error", func(t *testing.T) {
		d := deploy(t, 1)
		d.setFaults(stand.ServiceEngine, stand.FaultTruncateStream)
		if r := d.ask(d.nodes[0], stand.PathStream); r.err == nil {
			t.Errorf("truncated answer ends without an error: %q", r.body)
		}
	})
}

// An upstream that is only silent, so that its entry expires, must finish the work that it
// has. The work must not be started elsewhere.
func TestSilentUpstream(t *testing.T) {
	// callTime makes stage calls overdue only long after their end.
	const callTime = 100 * time.Millisecond
	d := deploy(t, 1)
	stand.PutConfigWithCallTime(d.store, 2, callTime)
	d.await("the configuration is in force", func() bool {
		n := d.nodes[0].server
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.configVersion() == 2
	})
	for _, w := range d.workers {
		switch w.Kind {
		case stand.Stage:
			w.Delay = 300 * time.Millisecond
		case stand.Engine:
			w.Delay = 60 * time.Millisecond
		}
	}
	answered := make(chan result, 1)
	go func() { answered <- d.askAs(d.nodes[0], "silent", stand.PathStream) }()
	for _, service := range []string{stand.ServiceEncode, stand.ServiceRank, stand.ServiceEngine} {
		running := ""
		d.await("the request is at a worker", func() bool {
			for id, w := range d.workers {
				if w.Service == service && w.Arrivals() > 0 {
					running = id
				}
			}
			return running != ""
		})
		d.remove(running)
	}
	r := <-answered
	wantStatus(t, r, http.StatusOK)
	if r.body != allEvents {
		t.Errorf("events are %q (%v), want all", r.body, r.err)
	}
	d.wantRuns(r.id, stand.ServiceEncode, 2, 2)
	d.wantRuns(r.id, stand.ServiceRank, 3, 3)
	d.wantRuns(r.id, stand.ServiceEngine, 1, 1)
}

// A leaving worker must get no new requests once the nodes know that it leaves.
func TestDraining(t *testing.T) {
	d := deploy(t, 2)
	d.workers["desk-a"].Drain()
	d.await("all nodes know that the worker is leaving", func() bool {
		for _, n := range d.nodes {
			n.server.mu.Lock()
			u, _ := n.server.directory.Get("desk-a")
			n.server.mu.Unlock()
			if !u.Draining {
				return false
			}
		}
		return true
	})
	before := d.workers["desk-a"].TotalRuns()
	for range 10 {
		wantStatus(t, d.ask(d.nodes[0], stand.PathSafe), http.StatusOK)
	}
	if got := d.workers["desk-a"].TotalRuns(); got != before {
		t.Errorf("a leaving worker got %d requests", got-before)
	}
}

// If the store is down when a node starts, the node has no configuration: it must not
// be ready and must answer 503, never 401 or 404. A node that has a configuration keeps
// serving during a store outage.
func TestStoreDown(t *testing.T) {
	d := deploy(t, 1)
	d.store.SetUnavailable(true)
	alone := d.addNode("late")
	d.await("the node answers", func() bool { return d.ask(alone, stand.PathSafe).err == nil })
	wantStatus(t, d.ask(alone, "/none/"), http.StatusServiceUnavailable)
	if d.isReady(alone) {
		t.Error("a node without a configuration is ready")
	}
	wantStatus(t, d.ask(d.nodes[0], stand.PathSafe), http.StatusOK)
	d.store.SetUnavailable(false)
	d.await("the node is ready", func() bool { return d.isReady(alone) })
	wantStatus(t, d.ask(alone, stand.PathSafe), http.StatusOK)
}

// A configuration that cannot be parsed must change nothing. An entry that cannot be
// parsed must remove only its own worker.
func TestUnreadableRecords(t *testing.T) {
	d := deploy(t, 1)
	d.store.PutInvalidConfig()
	d.workers["desk-a"].StopHeartbeat()
	d.store.PutInvalidEntry("desk-a")
	d.await("the worker is removed", func() bool {
		d.nodes[0].server.mu.Lock()
		defer d.nodes[0].server.mu.Unlock()
		_, known := d.nodes[0].server.directory.Get("desk-a")
		return !known
	})
	before := d.workers["desk-a"].TotalRuns()
	for range 5 {
		wantStatus(t, d.ask(d.nodes[0], stand.PathSafe), http.StatusOK)
	}
	if got := d.workers["desk-a"].TotalRuns(); got != before {
		t.Errorf("a worker without a readable entry got %d requests", got-before)
	}
	t.Run("at the start", func(t *testing.T) {
		d := deploy(t, 0)
		d.store.PutInvalidConfig()
		n := d.addNode("alone")
		d.await("the node answers", func() bool { return d.ask(n, "/none/").err == nil })
		time.Sleep(300 * time.Millisecond)
		wantStatus(t, d.ask(n, "/none/"), http.StatusServiceUnavailable)
		if d.isReady(n) {
			t.Error("a node without a configuration is ready")
		}
	})
}

// A newer version of the configuration comes into force and an older one never does,
// also after the store has dropped records in between.
func TestConfiguration(t *testing.T) {
	d := deploy(t, 2)
	stand.PutConfig(d.store, 5, "/new/")
	for _, n := range d.nodes {
		d.await("the new route is served", func() bool { return d.ask(n, "/new/").status == http.StatusOK })
	}
	stand.PutConfig(d.store, 4)
	d.store.CompactConfigs()
	time.Sleep(100 * time.Millisecond)
	wantStatus(t, d.ask(d.nodes[0], "/new/"), http.StatusOK)
	stand.PutConfig(d.store, 6)
	d.await("the route is removed", func() bool { return d.ask(d.nodes[0], "/new/").status == http.StatusNotFound })
}

// The store stops answering for a moment while a read of the configuration waits, and
// never answers that read. A configuration that is published afterwards must come into
// force before that read times out.
func TestSilentStore(t *testing.T) {
	d := deploy(t, 1)
	time.Sleep(200 * time.Millisecond)
	d.store.SetStalled(true)
	time.Sleep(500 * time.Millisecond)
	d.store.SetStalled(false)
	stand.PutConfig(d.store, 2, "/new/")
	d.await("the new route is served", func() bool { return d.ask(d.nodes[0], "/new/").status == http.StatusOK })
}

// A node that is stopped must finish its requests and exit within its grace period,
// although clients keep connections open.
func TestStop(t *testing.T) {
	d := deploy(t, 2)
	for _, w := range d.workers {
		if w.Kind == stand.Engine {
			w.Delay = 150 * time.Millisecond
		}
	}
	var group sync.WaitGroup
	results := make([]result, 6)
	for i := range results {
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = d.askAs(d.nodes[0], fmt.Sprint("stop-", i), stand.PathStream)
		}()
	}
	time.Sleep(150 * time.Millisecond)
	stopped := time.Now()
	d.nodes[0].stop()
	group.Wait()
	for _, r := range results {
		if r.body != allEvents {
			t.Errorf("events are %q (%v), want all", r.body, r.err)
		}
	}
	if err := <-d.nodes[0].ended; err != nil {
		t.Error(err)
	}
	if took := time.Since(stopped); took > 6*time.Second {
		t.Errorf("node took %s to stop, more than its grace period", took)
	}
	wantStatus(t, d.ask(d.nodes[1], stand.PathStream), http.StatusOK)
}

// When a client disconnects, the stages of its request must be cancelled, the
// connections to workers closed and the results freed.
func TestClientLeaves(t *testing.T) {
	d := deploy(t, 1)
	for _, w := range d.workers {
		if w.Kind == stand.Stage {
			w.Delay = 300 * time.Millisecond
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r := d.ask(d.nodes[0], stand.PathStream, func(r *http.Request) { *r = *r.WithContext(ctx) })
	if r.err == nil {
		t.Fatalf("answer was received: %+v", r)
	}
	d.await("the results are freed and the request and its jobs have ended", func() bool {
		held := 0
		for _, w := range d.workers {
			held += w.HeldResults()
		}
		return held == 0 && d.nodes[0].server.requestCount() == 0 && !d.nodes[0].server.owner.busy()
	})
	d.wantRuns(r.id, stand.ServiceEngine, 0, 0)
}

// A leaving worker must stay excluded if its entry is removed and then an older entry
// of the same process, which does not say that it leaves, is read again.
func TestLeavingIsKept(t *testing.T) {
	d := deploy(t, 1)
	s := d.nodes[0].server
	w := d.workers["desk-a"]
	w.StopHeartbeat()
	ready, err := w.NextEntry()
	if err != nil {
		t.Fatal(err)
	}
	w.Drain()
	leaving, err := w.NextEntry()
	if err != nil {
		t.Fatal(err)
	}
	s.applyUpstreamPage(infra.Page{Records: []infra.KeyedRecord{{Key: "desk-a", Value: leaving}, {Key: "desk-a"}}}, false)
	s.applyUpstreamPage(infra.Page{Records: []infra.KeyedRecord{{Key: "desk-a", Value: ready}}}, false)
	born := d.workers["desk-a"].Born()
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, known := s.directory.Get("desk-a"); known && !u.Draining || s.node.Usable(s.now(), "desk-a", born) {
		t.Errorf("worker is known: %v, leaving: %v, want it excluded", known, u.Draining)
	}
}

// One read returns an entry that cannot be parsed and a valid one of the same upstream.
// The last one must apply.
func TestEntriesOfOneRead(t *testing.T) {
	d := deploy(t, 1)
	s := d.nodes[0].server
	valid := func() []byte {
		entry, err := d.workers["desk-a"].NextEntry()
		if err != nil {
			t.Fatal(err)
		}
		return entry
	}
	invalid := infra.KeyedRecord{Key: "desk-a", Value: []byte("{")}
	for _, c := range []struct {
		name    string
		records []infra.KeyedRecord
		want    bool
	}{
		{"valid last", []infra.KeyedRecord{invalid, {Key: "desk-a", Value: valid()}}, true},
		{"invalid last", []infra.KeyedRecord{{Key: "desk-a", Value: valid()}, invalid}, false},
		{"removed last", []infra.KeyedRecord{{Key: "desk-a", Value: valid()}, {Key: "desk-a"}}, false},
		{"valid again", []infra.KeyedRecord{{Key: "desk-a"}, invalid, {Key: "desk-a", Value: valid()}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s.applyUpstreamPage(infra.Page{Records: c.records}, false)
			s.mu.Lock()
			defer s.mu.Unlock()
			if _, known := s.directory.Get("desk-a"); known != c.want {
				t.Errorf("worker is known: %v, want %v", known, c.want)
			}
		})
	}
}

func TestUpstreamPauseFor(t *testing.T) {
	tests := []struct {
		nodes int
		want  time.Duration
	}{{1, minUpstreamPause}, {nodesAtMinPause, minUpstreamPause}, {2 * nodesAtMinPause, 2 * minUpstreamPause}, {440, maxUpstreamPause}}
	for _, test := range tests {
		if got := upstreamPauseFor(test.nodes); got != test.want {
			t.Errorf("pause among %d nodes is %s, want %s", test.nodes, got, test.want)
		}
	}
}
