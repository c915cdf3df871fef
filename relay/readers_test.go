package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselplank/follow"
	"teaselplank/infra"
	"teaselplank/platform/stand"
)

// errRefused is the error of calls that a test store refuses.
var errRefused = errors.New("store refuses the call")

// A faultyRegistry refuses the calls of one node, or does not answer them.
type faultyRegistry struct {
	infra.Registry
	refuse, silent atomic.Bool
	// hungConfig makes reads of the configuration hang.
	hungConfig atomic.Bool
}

func (r *faultyRegistry) fault(ctx context.Context) error {
	if r.silent.Load() {
		const callTimeout = 2 * time.Second
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		<-ctx.Done()
		return ctx.Err()
	}
	if r.refuse.Load() {
		return errRefused
	}
	return nil
}

func (r *faultyRegistry) Newest(ctx context.Context, s infra.Stream) (infra.Page, error) {
	if err := r.fault(ctx); err != nil {
		return infra.Page{}, err
	}
	return r.Registry.Newest(ctx, s)
}

func (r *faultyRegistry) Changes(ctx context.Context, s infra.Stream, from int64, wait time.Duration) (infra.Page, error) {
	if err := r.fault(ctx); err != nil {
		return infra.Page{}, err
	}
	page, err := r.Registry.Changes(ctx, s, from, wait)
	if s == infra.StreamConfig && r.hungConfig.Load() {
		<-ctx.Done()
		return infra.Page{}, ctx.Err()
	}
	// A read that waits for changes when the fault begins gets no answer either.
	if err := r.fault(ctx); err != nil {
		return infra.Page{}, err
	}
	return page, err
}

func (r *faultyRegistry) Put(ctx context.Context, s infra.Stream, records ...infra.KeyedRecord) (infra.Epoch, error) {
	if err := r.fault(ctx); err != nil {
		return 0, err
	}
	return r.Registry.Put(ctx, s, records...)
}

// A link forwards the connections of other nodes to a node.
type link struct {
	listener net.Listener
	target   string
	// silent links forward nothing.
	silent atomic.Bool
	mu     sync.Mutex
	conns  []net.Conn
}

func newLink(t *testing.T, addr, target string) *link {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	k := &link{listener: l, target: target}
	t.Cleanup(k.cut)
	go k.run()
	return k
}

func (k *link) run() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		k.conns = append(k.conns, c)
		k.mu.Unlock()
		go k.forward(c)
	}
}

func (k *link) forward(c net.Conn) {
	target, err := net.Dial("tcp", k.target)
	if err != nil {
		c.Close()
		return
	}
	copyAll := func(to, from net.Conn) {
		defer to.Close()
		_, _ = io.Copy(writerFunc(func(p []byte) (int, error) {
			if k.silent.Load() {
				return len(p), nil
			}
			return to.Write(p)
		}), from)
	}
	go copyAll(target, c)
	copyAll(c, target)
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// cut closes the link and its connections.
func (k *link) cut() {
	k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		c.Close()
	}
}

// A largeDeployment has enough nodes that some follow others, in the zones a and b.
type largeDeployment struct {
	*deployment
	registries map[string]*faultyRegistry
	links      map[string]*link
	killed     map[*testNode]bool
}

func deployLarge(t *testing.T, nodes int) *largeDeployment {
	t.Helper()
	d := &largeDeployment{
		deployment: deploy(t, 0), registries: make(map[string]*faultyRegistry), links: make(map[string]*link), killed: make(map[*testNode]bool),
	}
	var mu sync.Mutex
	d.wrapRegistry = func(node string, r infra.Registry) infra.Registry {
		mu.Lock()
		defer mu.Unlock()
		d.registries[node] = &faultyRegistry{Registry: r}
		return d.registries[node]
	}
	for i := range nodes {
		settings := d.settings(fmt.Sprint("node-", i))
		settings.Zone = string(rune('a' + i%2))
		settings.Advertise = freeAddress(t)
		d.links[settings.Node] = newLink(t, settings.Advertise, settings.Peers)
		d.addNodeWith(settings)
	}
	for _, n := range d.nodes {
		d.await("the node is ready", func() bool { return d.isReady(n) })
	}
	d.awaitRoles(2)
	return d
}

// role returns what a node does for the upstreams, and which node it follows.
func (n *testNode) role() (role follow.Role, reader string) {
	r := n.server.readings[infra.StreamUpstreams]
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.Role(), r.follower.Reader()
}

func (n *testNode) id() string { return n.server.self.ID }

// readers returns the nodes of a zone that read the upstreams.
func (d *largeDeployment) readers(zone string) []*testNode {
	var list []*testNode
	for _, n := range d.nodes {
		if role, _ := n.role(); role == follow.Reader && n.server.self.Zone == zone && !d.killed[n] {
			list = append(list, n)
		}
	}
	return list
}

// awaitRoles waits until each zone has the given number of readers, which all others follow.
func (d *largeDeployment) awaitRoles(readers int) {
	d.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		counts := make(map[string]int)
		for _, n := range d.nodes {
			role, reader := n.role()
			switch {
			case d.killed[n]:
			case role == follow.Reader:
				counts["reader of "+n.server.self.Zone]++
			case role == follow.Following && reader != "":
				counts["following"]++
			default:
				counts[string(role)]++
			}
		}
		want := len(d.nodes) - len(d.killed) - 2*readers
		if counts["reader of a"] == readers && counts["reader of b"] == readers && counts["following"] == want {
			return
		}
		if time.Now().After(end) {
			d.t.Fatalf("roles are %v, want %d readers a zone and %d that follow", counts, readers, want)
		}
	}
}

// withinBound is how soon all nodes must know that an upstream drains, comes or is removed.
const withinBound = 3 * time.Second

// wantAll fails the test unless a condition holds at all nodes within the bound.
func (d *largeDeployment) wantAll(what string, condition func(n *testNode) bool) {
	d.t.Helper()
	started := time.Now()
	var last time.Duration
	for _, n := range d.nodes {
		if d.killed[n] {
			continue
		}
		for !condition(n) {
			if time.Since(started) > withinBound {
				role, reader := n.role()
				d.t.Errorf("%s: not at %s of zone %s (%s %s) after %s", what, n.id(), n.server.self.Zone, role, reader, withinBound)
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		last = time.Since(started)
	}
	d.t.Logf("%s at all nodes after %s", what, last.Round(time.Millisecond))
}

// checkBounds lets upstreams come, drain and be removed, and checks that all nodes know it in
// time.
func (d *largeDeployment) checkBounds(name string) {
	d.t.Helper()
	w := &stand.Worker{ID: name, Service: stand.ServiceDesk, Zone: "a", Kind: stand.Plain, Slots: 4}
	d.start(w)
	d.wantAll("a new upstream is known", func(n *testNode) bool { return d.knows(n, name) })
	w.Drain()
	d.wantAll("a draining upstream is known", func(n *testNode) bool {
		n.server.mu.Lock()
		defer n.server.mu.Unlock()
		u, _ := n.server.directory.Get(name)
		return u.Draining
	})
	w.StopHeartbeat()
	d.store.RemoveEntry(name)
	d.wantAll("a removed upstream is gone", func(n *testNode) bool { return !d.knows(n, name) })
}

// kill ends a node without any notice.
func (d *largeDeployment) kill(n *testNode) {
	d.killed[n] = true
	d.links[n.id()].cut()
	n.server.close()
}

// In a large deployment two nodes of each zone read the upstreams. All others must know within
// 3 s what changes, also while readers end, are silent, or cannot read the store.
func TestReadersFail(t *testing.T) {
	faults := map[string]func(d *largeDeployment, n *testNode){
		"killed":           (*largeDeployment).kill,
		"silent":           func(d *largeDeployment, n *testNode) { d.links[n.id()].silent.Store(true) },
		"cut off":          func(d *largeDeployment, n *testNode) { d.registries[n.id()].silent.Store(true) },
		"refused by store": func(d *largeDeployment, n *testNode) { d.registries[n.id()].refuse.Store(true) },
	}
	for name, fail := range faults {
		t.Run(name, func(t *testing.T) {
			d := deployLarge(t, 16)
			d.checkBounds("desk-before")
			for i, n := range d.readers("a") {
				fail(d, n)
				d.checkBounds(fmt.Sprint("desk-", i))
			}
			d.checkBounds("desk-later")
		})
	}
}

// Nodes that the store refuses, while it serves others, must know what changes: a draining
// upstream, one that is removed, and the configuration.
func TestStoreRefusesSomeNodes(t *testing.T) {
	d := deployLarge(t, 16)
	for _, n := range d.nodes {
		if n.server.self.Zone == "a" {
			d.registries[n.id()].refuse.Store(true)
		}
	}
	for i := range 3 {
		d.checkBounds(fmt.Sprint("desk-", i))
	}
	stand.PutConfig(d.store, 2, "/new/")
	d.wantAll("a configuration is in force", func(n *testNode) bool {
		n.server.mu.Lock()
		defer n.server.mu.Unlock()
		return n.server.configVersion() == 2
	})
}

// The store comes back from a copy with an upstream that has left. Followers must not use it,
// and must keep one that is missing in the copy.
func TestRestoredStoreInLargeDeployment(t *testing.T) {
	d := deployLarge(t, 14)
	// The entries of the copy are older than the last ones, which followers are not told.
	time.Sleep(time.Second)
	restore := d.store.Save()
	time.Sleep(2 * time.Second)
	d.workers["desk-a"].StopHeartbeat()
	d.store.RemoveEntry("desk-a")
	d.wantAll("a removed upstream is gone", func(n *testNode) bool { return !d.knows(n, "desk-a") })
	d.start(&stand.Worker{ID: "desk-c", Service: stand.ServiceDesk, Zone: "a", Kind: stand.Plain, Slots: 4})
	d.wantAll("a new upstream is known", func(n *testNode) bool { return d.knows(n, "desk-c") })
	restore()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, n := range d.nodes {
			if d.knows(n, "desk-a") {
				t.Fatalf("%s uses an upstream that has left", n.id())
			}
			if !d.knows(n, "desk-c") {
				t.Fatalf("%s has dropped a sound upstream that is missing in the copy", n.id())
			}
		}
	}
	for _, n := range d.nodes {
		if n.server.storeEpoch() == 0 {
			t.Errorf("%s has not seen the restoration", n.id())
		}
	}
	d.awaitRoles(2)
	d.checkBounds("desk-d")
}

// In a store outage no upstream may be dropped, nor afterwards those whose entries have expired
// meanwhile, and all must go on as before.
func TestStoreOutageInLargeDeployment(t *testing.T) {
	d := deployLarge(t, 14)
	d.store.SetUnavailable(true)
	time.Sleep(3 * time.Second)
	for _, n := range d.nodes {
		n.server.mu.Lock()
		outage := n.server.storeOutage()
		n.server.mu.Unlock()
		if !outage {
			role, reader := n.role()
			t.Errorf("%s does not see the outage (%s %s)", n.id(), role, reader)
		}
		wantStatus(t, d.ask(n, stand.PathSafe), http.StatusOK)
	}
	// The lease of a sound upstream ends with the outage.
	d.store.RemoveEntry("engine-a")
	d.store.SetUnavailable(false)
	d.wantKept("engine-a", 2*time.Second)
	d.awaitRoles(2)
	d.checkBounds("desk-d")
}

// Nodes that start together must read the list of nodes again within their first seconds, and
// seldom later, most seldom where there are many.
func TestNodesPause(t *testing.T) {
	for nodes, want := range map[int][]time.Duration{
		minFollowNodes - 1: {1200 * time.Millisecond, 3600 * time.Millisecond, 10800 * time.Millisecond, maxNodesPause, maxNodesPause},
		minFollowNodes:     {1200 * time.Millisecond, largeNodesPause, largeNodesPause},
	} {
		pause := minNodesPause
		for i, want := range want {
			if pause = nextNodesPause(pause, nodes); pause != want {
				t.Errorf("pause %d of %d nodes is %s, want %s", i, nodes, pause, want)
			}
		}
	}
	if got := nextNodesPause(maxNodesPause, minFollowNodes-1); got != maxNodesPause {
		t.Errorf("pause is %s, want %s", got, maxNodesPause)
	}
}

// A read of the configuration that hangs must not keep a node from a new one, although its read
// of the upstreams does not show it.
func TestHungConfigRead(t *testing.T) {
	d := deployLarge(t, 14)
	for i, n := range d.nodes {
		d.registries[n.id()].hungConfig.Store(i%2 == 0)
	}
	stand.PutConfig(d.store, 2, "/new/")
	d.wantAll("a configuration is in force", func(n *testNode) bool {
		n.server.mu.Lock()
		defer n.server.mu.Unlock()
		return n.server.configVersion() == 2
	})
}

// The reads of upstreams must not grow with the nodes: they are those of two nodes of each
// zone, and of one more that is asked to read for some time. Before, 30 nodes made 27 a second.
func TestStoreCallsOfLargeDeployment(t *testing.T) {
	const measured = 4 * time.Second
	for _, nodes := range []int{16, 30} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			d := deployLarge(t, nodes)
			before := d.storeCalls()["changes upstreams"]
			time.Sleep(measured)
			rate := float64(d.storeCalls()["changes upstreams"]-before) / measured.Seconds()
			t.Logf("%.1f reads of upstreams a second", rate)
			const readers = 2 * 3
			if most := readers / readerPause.Seconds(); rate > most {
				t.Errorf("%.1f reads of upstreams a second, want %.1f at most, which are those of %d readers", rate, most, readers)
			}
		})
	}
}
