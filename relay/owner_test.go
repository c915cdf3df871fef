package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"teaselplank/batch"
	"teaselplank/fleet"
	"teaselplank/infra"
	"teaselplank/member"
	"teaselplank/platform"
	"teaselplank/platform/stand"
)

// The configuration and the upstreams are read concurrently at each start. Whichever
// arrives first, the owner must know both in the end.
func TestConfigurationAndUpstreamsAtOnce(t *testing.T) {
	d := deploy(t, 0)
	store := platform.NewStore(d.address)
	configs, err := store.Newest(t.Context(), infra.StreamConfig)
	if err != nil {
		t.Fatal(err)
	}
	upstreams, err := store.Newest(t.Context(), infra.StreamUpstreams)
	if err != nil {
		t.Fatal(err)
	}
	for range 300 {
		s := d.newServer(d.settings("node"))
		var both sync.WaitGroup
		both.Go(func() { s.applyConfigPage(configs, true) })
		both.Go(func() { s.applyUpstreamPage(upstreams, true) })
		both.Wait()
		for _, p := range s.owner.pools(s.now()) {
			if p.Workers == 0 {
				t.Fatalf("owner knows no worker of %q", p.Service)
			}
		}
		if got := len(s.owner.pools(s.now())); got != 2 {
			t.Fatalf("owner knows %d services, want 2", got)
		}
		s.close()
	}
}

// The owner of the stages stops while jobs are queued. The next owner must finish them,
// including those of the stopped node's own requests.
func TestOwnerLeaves(t *testing.T) {
	d := deploy(t, 2)
	d.await("both nodes choose the same owner", func() bool {
		return d.nodes[0].server.stageOwner("a").ID == d.nodes[1].server.stageOwner("a").ID
	})
	for _, w := range d.workers {
		if w.Kind == stand.Stage {
			w.Delay = 150 * time.Millisecond
		}
	}
	var group sync.WaitGroup
	results := make([]result, 16)
	for i := range results {
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = d.askAs(d.nodes[i%2], fmt.Sprint("leave-", i), stand.PathStream)
		}()
	}
	time.Sleep(60 * time.Millisecond)
	d.nodes[0].stop()
	group.Wait()
	for _, r := range results {
		wantStatus(t, r, http.StatusOK)
	}
}

// The owner of the stages fails without announcing that it is leaving. Requests must
// still succeed.
func TestOwnerDies(t *testing.T) {
	d := deploy(t, 2)
	wantStatus(t, d.ask(d.nodes[1], stand.PathStream), http.StatusOK)
	d.await("both nodes choose the same owner", func() bool {
		return d.nodes[0].server.stageOwner("a").ID == d.nodes[1].server.stageOwner("a").ID
	})
	if d.nodes[1].server.stageOwner("a").ID != "node-0" {
		t.Fatalf("owner is %q, want the node that started first", d.nodes[1].server.stageOwner("a").ID)
	}
	d.nodes[0].server.close()
	d.nodes[0].stop()
	r := d.ask(d.nodes[1], stand.PathStream)
	wantStatus(t, r, http.StatusOK)
	if r.body != allEvents {
		t.Errorf("events are %q, want all", r.body)
	}
}

// An owner that has closed its connections to workers but still takes jobs must hand them
// back, so that they run at the next owner.
func TestClosedOwner(t *testing.T) {
	d := deploy(t, 2)
	wantStatus(t, d.ask(d.nodes[1], stand.PathStream), http.StatusOK)
	d.await("both nodes choose the same owner", func() bool {
		return d.nodes[0].server.stageOwner("a").ID == "node-0" && d.nodes[1].server.stageOwner("a").ID == "node-0"
	})
	d.nodes[0].server.close()
	d.nodes[0].server.conns.Sweep(func(string, int64) bool { return false })
	r := d.ask(d.nodes[1], stand.PathStream)
	wantStatus(t, r, http.StatusOK)
	if r.body != allEvents {
		t.Errorf("events are %q, want all", r.body)
	}
}

func TestCompareOwners(t *testing.T) {
	tests := []struct {
		name  string
		nodes []member.Node
		want  string
	}{
		{"the oldest of equal nodes", []member.Node{{ID: "b", Incarnation: "2"}, {ID: "a", Incarnation: "1"}}, "a"},
		{"the largest CPU share before the oldest", []member.Node{
			{ID: "small", Incarnation: "1", Processor: 0.2}, {ID: "large", Incarnation: "2", Processor: 0.8},
		}, "large"},
		{"a node without a CPU share comes last", []member.Node{
			{ID: "unknown", Incarnation: "1"}, {ID: "small", Incarnation: "2", Processor: 0.2},
		}, "small"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := slices.MinFunc(test.nodes, compareOwners); got.ID != test.want {
				t.Errorf("owner is %s, want %s", got.ID, test.want)
			}
		})
	}
}

// Among many nodes, some node always receives the owner's heartbeats late. That node
// must keep the owner until a call to it fails.
func TestLateHeartbeats(t *testing.T) {
	self := member.Node{ID: "b", Incarnation: "2", Addr: "b:1"}
	config := member.DefaultConfig()
	config.Self = self
	s := &Server{self: self, group: member.New(config, 1), peers: newPeers()}
	start := time.Now()
	s.group.Step(start, member.DigestReceived{Digest: member.Digest{From: member.Node{ID: "a", Incarnation: "1", Addr: "a:1"}}})
	s.group.Step(start.Add(config.SuspectAfter+time.Second), member.Tick{})
	if got := s.stageOwner("a"); got.ID != "a" {
		t.Errorf("owner is %s after late heartbeats of node a, want a", got.ID)
	}
	s.peers.markSuspect("a:1")
	if got := s.stageOwner("a"); got.ID != "b" {
		t.Errorf("owner is %s after a call to node a failed, want b", got.ID)
	}
	s.peers.markReachable("a:1")
	if got := s.stageOwner("a"); got.ID != "a" {
		t.Errorf("owner is %s after node a has answered, want a", got.ID)
	}
}

// In a divided deployment the owner of a zone is a node of that zone, unless none is left.
func TestOwnerOfZone(t *testing.T) {
	self := member.Node{ID: "b", Incarnation: "2", Addr: "b:1", Zone: "b"}
	config := member.DefaultConfig()
	config.Self = self
	service := fleet.Service{Name: "s", Batch: &fleet.Batch{}}
	var upstreams []fleet.Upstream
	for i := range 12 {
		upstreams = append(upstreams, fleet.Upstream{ID: fmt.Sprint(i), Service: "s", Zone: []string{"a", "b"}[i%2]})
	}
	s := &Server{self: self, group: member.New(config, 1), peers: newPeers(), division: batch.Divide([]fleet.Service{service}, upstreams)}
	s.group.Step(time.Now(), member.DigestReceived{Digest: member.Digest{From: member.Node{ID: "a", Incarnation: "1", Addr: "a:1", Zone: "a"}}})
	wantOwner := func(zone, want string) {
		t.Helper()
		if got := s.stageOwner(zone); got.ID != want {
			t.Errorf("owner of zone %q is %q, want %q", zone, got.ID, want)
		}
	}
	wantOwner("a", "a")
	wantOwner("b", "b")
	s.peers.markSuspect("a:1")
	wantOwner("a", "b")
	s.peers.markReachable("a:1")
	s.division = batch.Division{}
	wantOwner("b", "a")
}

// A node that submits a job again after its first call was cancelled must get the outcome,
// though the owner learns of the cancellation last.
func TestSecondCallOfJobIsWithdrawn(t *testing.T) {
	d := deploy(t, 1)
	for _, w := range d.workers {
		if w.Kind == stand.Stage {
			w.Delay = 150 * time.Millisecond
		}
	}
	s := d.nodes[0].server
	due := s.now().Add(3 * time.Second)
	job := batch.Job{Ref: batch.Ref{Request: "again"}, Service: stand.ServiceEncode, Pieces: 1, ResultBytes: 10, Key: "k",
		Zone: "a", Due: due, StagesDue: due, Deadline: due}
	first, cancelFirst := context.WithCancel(t.Context())
	defer cancelFirst()
	go s.owner.run(first, job)
	d.await("the job is submitted", s.owner.busy)
	second, cancelSecond := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancelSecond()
	outcome := make(chan batch.Effect, 1)
	go func() { outcome <- s.owner.run(second, job) }()
	d.await("the job is submitted again", func() bool { return s.owner.counts().Submitted == 2 })
	cancelFirst()
	e := <-outcome
	if _, ok := e.(batch.Done); !ok {
		t.Errorf("outcome is %T, want batch.Done", e)
	}
}

// One silence of a node must not count as one failure for each call that it interrupts.
func TestOneSilenceCountsForEachCall(t *testing.T) {
	d := deploy(t, 1)
	s := d.nodes[0].server
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() // Connections are made, but nobody reads from them.
	silent := member.Node{ID: "silent", Addr: l.Addr().String()}
	var calls sync.WaitGroup
	for i := range 6 {
		calls.Go(func() {
			s.runRemote(t.Context(), silent, uint64(i), batch.Job{Ref: batch.Ref{Request: fmt.Sprint(i)}, Service: stand.ServiceEncode, Pieces: 1})
		})
	}
	calls.Wait()
	s.peers.mu.Lock()
	left := time.Until(s.peers.byAddr[silent.Addr].health.SuspectUntil())
	s.peers.mu.Unlock()
	if left > peerBackoff.Min {
		t.Errorf("node is suspect for %s, want %s at most", left, peerBackoff.Min)
	}
}
