package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"teaselplank/infra"
	"teaselplank/member"
	"teaselplank/platform/stand"
)

// The store comes back from a copy: an upstream that has left is registered again, one
// that came later is missing, the configuration is older, and offsets are given out again.
// No removed upstream may be used again, and no healthy one may be dropped.
func TestRestoredStore(t *testing.T) {
	d := deploy(t, 1)
	n := d.nodes[0]
	stand.PutConfig(d.store, 2, "/withdrawn/")
	d.await("the first route is served", func() bool { return d.ask(n, "/withdrawn/").status == http.StatusOK })
	restore := d.store.Save()
	d.remove("desk-a")
	d.start(&stand.Worker{ID: "desk-c", Service: stand.ServiceDesk, Zone: "a", Kind: stand.Plain, Slots: 4})
	d.await("the new worker is known", func() bool { return d.knows(n, "desk-c") })
	stand.PutConfig(d.store, 3)
	d.await("the route is withdrawn", func() bool { return d.ask(n, "/withdrawn/").status == http.StatusNotFound })
	before := d.workers["desk-a"].Arrivals()

	restore()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		wantStatus(t, d.ask(n, stand.PathSafe), http.StatusOK)
		if r := d.ask(n, "/withdrawn/"); r.status != http.StatusNotFound {
			t.Fatalf("withdrawn route is answered %d after the restoration", r.status)
		}
		if !d.knows(n, "desk-c") {
			t.Fatal("a sound upstream that is missing in the copy was dropped")
		}
	}
	if got := d.workers["desk-a"].Arrivals() - before; got > 0 {
		t.Errorf("%d requests reached an upstream that had left", got)
	}
	t.Run("newer configuration comes into force", func(t *testing.T) {
		stand.PutConfig(d.store, 4, "/new/")
		d.await("the new route is served", func() bool { return d.ask(n, "/new/").status == http.StatusOK })
	})
	t.Run("new node learns what the store has lost", func(t *testing.T) {
		restore()
		late := d.addNode("late")
		d.await("the node is ready", func() bool { return d.isReady(late) })
		wantStatus(t, d.ask(late, "/new/"), http.StatusOK)
		wantStatus(t, d.ask(late, "/withdrawn/"), http.StatusNotFound)
		for range 10 {
			wantStatus(t, d.ask(late, stand.PathSafe), http.StatusOK)
		}
		if got := d.workers["desk-a"].Arrivals() - before; got > 0 {
			t.Errorf("%d requests reached an upstream that had left", got)
		}
	})
}

// remove removes the entry of a worker, which goes on serving.
func (d *deployment) remove(id string) {
	d.t.Helper()
	d.workers[id].StopHeartbeat()
	d.store.RemoveEntry(id)
	for _, n := range d.nodes {
		d.await("the worker is removed", func() bool { return !d.knows(n, id) })
	}
}

func (d *deployment) knows(n *testNode, id string) bool {
	n.server.mu.Lock()
	defer n.server.mu.Unlock()
	_, known := n.server.directory.Get(id)
	return known
}

// Nodes that start together must not wait for each other's state.
func TestStartTogether(t *testing.T) {
	d := deploy(t, 3)
	for _, n := range d.nodes {
		n.server.mu.Lock()
		elders := n.server.group.Elders()
		n.server.mu.Unlock()
		if len(elders) > 0 {
			t.Errorf("node waits for %v, want none", ids(elders))
		}
	}
}

func ids(nodes []member.Node) []string {
	var list []string
	for _, n := range nodes {
		list = append(list, n.ID)
	}
	return list
}

// An upstream that is missing in the restored copy, and does not write its entry at once,
// must stay in use until the grace period is over.
func TestMissingInCopy(t *testing.T) {
	d := deploy(t, 1)
	n := d.nodes[0]
	restore := d.store.Save()
	w := &stand.Worker{ID: "desk-c", Service: stand.ServiceDesk, Zone: "a", Kind: stand.Plain, Slots: 4}
	d.start(w)
	d.await("the new worker is known", func() bool { return d.knows(n, "desk-c") })
	w.StopHeartbeat()
	restore()
	d.await("the node has seen the restoration", func() bool { return n.server.storeEpoch() > 0 })
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !d.knows(n, "desk-c") {
			t.Fatal("the upstream was dropped within the grace period")
		}
	}
}

// A new node that finds older ones must not be ready before it has the state of one of
// them, since the store may have lost it.
func TestReadyWithStateOfPeers(t *testing.T) {
	d := deploy(t, 0)
	s := d.newServer(d.settings("late"))
	defer s.close()
	wantReady := func(want int) {
		t.Helper()
		w := httptest.NewRecorder()
		if s.serveReady(w, httptest.NewRequest(http.MethodGet, "/readyz", nil)); w.Code != want {
			t.Errorf("readiness is %d %q, want %d", w.Code, w.Body, want)
		}
	}
	for stream, apply := range map[infra.Stream]func(infra.Page, bool){
		infra.StreamConfig: s.applyConfigPage, infra.StreamUpstreams: s.applyUpstreamPage,
	} {
		page, err := s.readNewest(stream)
		if err != nil {
			t.Fatal(err)
		}
		apply(page, true)
	}
	elder := member.Node{ID: "elder", Incarnation: "1", Addr: "elder:1", Heartbeat: 100}
	s.memberStep(member.DigestReceived{Digest: member.Digest{From: elder}})
	wantReady(http.StatusServiceUnavailable)
	s.mergeState(peerState{})
	wantReady(http.StatusOK)
}

// A node whose entry is missing in the restored copy must write it again.
func TestNodeAnnouncesItselfAgain(t *testing.T) {
	d := deploy(t, 0)
	restore := d.store.Save()
	n := d.addNode("node-0")
	d.await("the node is ready", func() bool { return d.isReady(n) })
	d.await("the node is registered", func() bool { return d.store.HasNode("node-0") })
	restore()
	d.await("the node is registered again", func() bool { return d.store.HasNode("node-0") })
}
