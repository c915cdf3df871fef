package relay

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"teaselplank/batch"
	"teaselplank/fleet"
	"teaselplank/infra"
	"teaselplank/member"
	"teaselplank/platform/stand"
)

// heldUpTime is how long the tests hold up the scheduler.
const heldUpTime = 200 * time.Millisecond

// A node that can take a request before its scheduler knows the services and workers of
// the stages refuses the request although every worker is there.
func TestStreamRefusedBeforeSchedulerKnowsWorkers(t *testing.T) {
	d := deploy(t, 0)
	for _, test := range []struct {
		name          string
		first, second infra.Stream
	}{
		{"configuration before upstreams", infra.StreamConfig, infra.StreamUpstreams},
		{"upstreams before configuration", infra.StreamUpstreams, infra.StreamConfig},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := d.newServer(d.settings("node"))
			defer s.close()
			s.mu.Lock()
			s.join.Finish()
			s.mu.Unlock()
			s.applyCasePage(infra.Page{}, true)
			apply(t, s, test.first)
			wantNever(t, s, "ready", func() { apply(t, s, test.second) }, func() bool { return readiness(s) == http.StatusOK })
			if got := readiness(s); got != http.StatusOK {
				t.Errorf("readiness is %d once the scheduler knows the workers, want 200", got)
			}
		})
	}
	t.Run("newer configuration", func(t *testing.T) {
		s := d.newServer(d.settings("node"))
		defer s.close()
		apply(t, s, infra.StreamUpstreams)
		apply(t, s, infra.StreamConfig)
		stand.PutConfig(d.store, 2)
		inForce := func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.node.Table().Version() == 2
		}
		wantNever(t, s, "used", func() { apply(t, s, infra.StreamConfig) }, inForce)
		if !inForce() {
			t.Error("newer configuration is not in force once the scheduler knows its services")
		}
	})
}

// apply reads a stream of the store and applies it to the server.
func apply(t *testing.T, s *Server, stream infra.Stream) {
	t.Helper()
	page, err := s.readNewest(stream)
	if err != nil {
		t.Error(err)
		return
	}
	if stream == infra.StreamConfig {
		s.applyConfigPage(page, true)
	} else {
		s.applyUpstreamPage(page, true)
	}
}

// wantNever holds up the scheduler while change runs, and checks that the condition is
// not true before the scheduler goes on.
func wantNever(t *testing.T, s *Server, what string, change func(), condition func() bool) {
	t.Helper()
	var changed sync.WaitGroup
	s.owner.mu.Lock()
	changed.Go(change)
	for end := time.Now().Add(heldUpTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			t.Errorf("node is %s before its scheduler knows the services and workers", what)
			break
		}
	}
	s.owner.mu.Unlock()
	changed.Wait()
}

func readiness(s *Server) int {
	w := httptest.NewRecorder()
	s.serveReady(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
	return w.Code
}

// A node that has just started can be the owner in the view of others, as it has the
// largest CPU share, before it has read anything. Their requests must not be refused.
func TestStreamRefusedByOwnerThatHasReadNothing(t *testing.T) {
	for _, count := range []int{1, maxOwnerAttempts} {
		t.Run(fmt.Sprint(count, " owners"), func(t *testing.T) {
			d := deploy(t, 1)
			for i := range count {
				d.addIdleOwner(fmt.Sprint("new-", i))
			}
			if got := d.nodes[0].server.stageOwner("a").ID; got == "node-0" {
				t.Fatalf("owner is %q, want a new node", got)
			}
			d.wantStream(d.nodes[0])
		})
	}
}

// A configuration adds a stage service, and the owner of the stages reads it later than
// the node that got a request. The request must not be refused.
func TestStreamRefusedByOwnerWithOlderConfiguration(t *testing.T) {
	d := deploy(t, 1)
	d.addIdleOwner("new").owner.step(batch.SetWorkers{Services: []fleet.Service{{Name: stand.ServiceDesk}}})
	d.wantStream(d.nodes[0])
	if got := d.nodes[0].server.stageOwner("a").ID; got != "new" {
		t.Errorf("owner is %q after the job, want the same one", got)
	}
}

// addIdleOwner adds a node that answers other nodes but reads nothing, and that the first
// node prefers as the owner.
func (d *deployment) addIdleOwner(id string) *Server {
	d.t.Helper()
	settings := d.settings(id)
	settings.Processor = 4
	s := d.newServer(settings)
	l, err := net.Listen("tcp", settings.Peers)
	if err != nil {
		d.t.Fatal(err)
	}
	server := &http.Server{Handler: s.peerHandler()}
	go func() { _ = server.Serve(l) }()
	d.t.Cleanup(func() {
		server.Close()
		s.close()
	})
	d.nodes[0].server.memberStep(member.DigestReceived{Digest: member.Digest{From: s.self}})
	return s
}

// wantStream sends a request for a stream to a node and checks that the answer is whole.
func (d *deployment) wantStream(n *testNode) {
	d.t.Helper()
	r := d.ask(n, stand.PathStream)
	wantStatus(d.t, r, http.StatusOK)
	if r.body != allEvents {
		d.t.Errorf("events are %q, want all", r.body)
	}
}
