package relay

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// changeBound is how soon the nodes that no trouble meets must know that an upstream is removed.
const changeBound = 2 * time.Second

// A readerTrouble disturbs nodes that read the store for others. It returns them.
type readerTrouble struct {
	name  string
	begin func(d *largeDeployment) []*testNode
}

// reset lets the store refuse a node, as if its connections were reset.
func (d *largeDeployment) reset(n *testNode) { d.registries[n.id()].refuse.Store(true) }

// reach lets a node reach the store again.
func (d *largeDeployment) reach(n *testNode) { d.registries[n.id()].refuse.Store(false) }

// followedReader returns the reader of a zone that most nodes follow.
func (d *largeDeployment) followedReader(zone string) *testNode {
	followers := make(map[string]int)
	for _, n := range d.nodes {
		_, reader := n.role()
		followers[reader]++
	}
	return slices.MaxFunc(d.readers(zone), func(a, b *testNode) int {
		return cmp.Compare(followers[a.id()], followers[b.id()])
	})
}

// without returns the nodes that are not among some.
func (d *largeDeployment) without(some []*testNode) []*testNode {
	return slices.DeleteFunc(slices.Clone(d.nodes), func(n *testNode) bool { return slices.Contains(some, n) })
}

// wantNoGrace checks that nodes have not put off removals.
func (d *largeDeployment) wantNoGrace(nodes []*testNode) {
	d.t.Helper()
	for _, n := range nodes {
		n.server.mu.Lock()
		until := n.server.directory.GraceUntil()
		n.server.mu.Unlock()
		if !until.IsZero() {
			d.t.Errorf("%s has taken the failures of its reader for an outage of the store", n.id())
		}
	}
}

// A node that is cut off from the store with a reset, or stops, must not make those that follow it
// use upstreams that have left: the store serves them all the while.
func TestRemovedUpstreamUsedAfterReaderReset(t *testing.T) {
	const removeAfter = 300 * time.Millisecond
	for _, c := range []readerTrouble{
		{"one reader is reset", func(d *largeDeployment) []*testNode {
			n := d.followedReader("a")
			d.reset(n)
			return []*testNode{n}
		}},
		{"one reader is reset for a moment", func(d *largeDeployment) []*testNode {
			n := d.followedReader("a")
			d.reset(n)
			time.AfterFunc(700*time.Millisecond, func() { d.reach(n) })
			return []*testNode{n}
		}},
		{"a reader of each zone is reset", func(d *largeDeployment) []*testNode {
			disturbed := []*testNode{d.followedReader("a"), d.followedReader("b")}
			for _, n := range disturbed {
				d.reset(n)
			}
			return disturbed
		}},
		{"both readers of a zone are reset in turn", func(d *largeDeployment) []*testNode {
			disturbed := d.readers("a")
			d.reset(disturbed[0])
			time.AfterFunc(250*time.Millisecond, func() { d.reset(disturbed[1]) })
			return disturbed
		}},
		{"a reader stops", func(d *largeDeployment) []*testNode {
			n := d.followedReader("a")
			n.stop()
			return []*testNode{n}
		}},
	} {
		for _, nodes := range []int{16, 36} {
			t.Run(fmt.Sprintf("%s, %d nodes", c.name, nodes), func(t *testing.T) {
				d := deployLarge(t, nodes)
				time.Sleep(time.Second)
				disturbed := c.begin(d)
				time.Sleep(removeAfter)
				took := d.untilDropped("desk-a", d.without(disturbed))
				t.Logf("all nodes that are not disturbed drop the upstream after %s", took.Round(time.Millisecond))
				if took > changeBound {
					t.Errorf("nodes that are not disturbed use a removed upstream for %s, want %s at most", took, changeBound)
				}
				d.wantNoGrace(d.without(disturbed))
			})
		}
	}
}

// expireDuring lets the entry of an upstream expire in an outage that all nodes see, shortly before
// its end.
func (d *largeDeployment) expireDuring(id string, o outage) {
	const beforeEnd = 300 * time.Millisecond
	end := o.begin(d.deployment)
	time.Sleep(o.length - beforeEnd)
	d.removeEntry(id)
	time.Sleep(beforeEnd)
	end()
}

// wantKept checks that no node drops an upstream for some time after an outage.
func (d *deployment) wantKept(id string, length time.Duration) {
	d.t.Helper()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, n := range d.nodes {
			if !d.knows(n, id) {
				d.t.Fatalf("%s has dropped an upstream whose lease expired in the outage", n.id())
			}
		}
	}
}

// refusingTwice lets the store refuse all calls, serve for a moment and refuse them again.
func refusingTwice(d *deployment) (end func()) {
	const first, between = 1500 * time.Millisecond, 300 * time.Millisecond
	d.store.SetUnavailable(true)
	time.AfterFunc(first, func() { d.store.SetUnavailable(false) })
	time.AfterFunc(first+between, func() { d.store.SetUnavailable(true) })
	return func() { d.store.SetUnavailable(false) }
}

// In a large deployment, too, a live upstream whose lease expires in an outage of the store must
// stay in use until it can have written its entry again, also where a reader comes back later.
func TestUpstreamDroppedAfterOutageInLargeDeployment(t *testing.T) {
	const (
		rewriteAfter = 1800 * time.Millisecond
		watched      = 4 * time.Second
		readerLater  = time.Second
	)
	for _, c := range []struct {
		outage
		nodes int
		// late is true if a reader comes back readerLater than the store.
		late bool
	}{
		{outage{"refuses calls", 3 * time.Second, refusingStore}, 16, false},
		{outage{"refuses calls", 3 * time.Second, refusingStore}, 36, false},
		{outage{"silent", 3 * time.Second, silentStore}, 16, false},
		{outage{"refuses calls, a reader comes back later", 3 * time.Second, refusingStore}, 16, true},
		{outage{"silent, a reader comes back later", 3 * time.Second, silentStore}, 36, true},
		{outage{"refuses calls twice", 3 * time.Second, refusingTwice}, 16, false},
	} {
		t.Run(fmt.Sprintf("%s, %d nodes", c.name, c.nodes), func(t *testing.T) {
			d := deployLarge(t, c.nodes)
			time.Sleep(time.Second)
			if c.late {
				n := d.followedReader("a")
				d.reset(n)
				time.AfterFunc(c.length+readerLater, func() { d.reach(n) })
			}
			d.expireDuring("desk-a", c.outage)
			w := d.workers["desk-a"]
			time.AfterFunc(rewriteAfter, func() { _ = d.store.PutNextEntry(w) })
			d.wantKept(w.ID, watched)
		})
	}
}

// A node that starts in an outage of the store learns the upstreams from others. It must keep those
// whose leases expire then, like the others, although it has not missed the store for long.
func TestUpstreamDroppedByNodeStartedInOutage(t *testing.T) {
	d := deploy(t, 2)
	time.Sleep(time.Second)
	d.store.SetUnavailable(true)
	time.Sleep(2 * time.Second)
	settings := d.settings("late")
	settings.Seeds = []string{d.nodes[0].server.settings.Peers}
	late := d.addNodeWith(settings)
	d.await("the node has learned the upstreams", func() bool { return d.knows(late, "desk-a") })
	w := d.workers["desk-a"]
	d.removeEntry(w.ID)
	d.store.SetUnavailable(false)
	d.wantKept(w.ID, 1800*time.Millisecond)
}
