package relay

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselplank/origin"
	"teaselplank/platform/stand"
)

// A cutDeployment has a node that can be cut off from the store and from the other node.
type cutDeployment struct {
	*deployment
	other, cut *testNode
	links      []*link
}

func deployCut(t *testing.T) *cutDeployment {
	t.Helper()
	d := &cutDeployment{deployment: deploy(t, 0, slowEngines)}
	d.other = d.addLinked("other")
	store := newLink(t, freeAddress(t), d.address)
	d.links = append(d.links, store)
	d.address = store.listener.Addr().String()
	d.cut = d.addLinked("cut")
	for _, n := range d.nodes {
		d.await("the node is ready", func() bool { return d.isReady(n) })
	}
	return d
}

// addLinked adds a node that others reach through a link.
func (d *cutDeployment) addLinked(id string) *testNode {
	settings := d.settings(id)
	settings.Advertise = freeAddress(d.t)
	d.links = append(d.links, newLink(d.t, settings.Advertise, settings.Peers))
	return d.addNodeWith(settings)
}

// setCut cuts the node off, or ends the cut.
func (d *cutDeployment) setCut(cut bool) {
	for _, k := range d.links {
		k.silent.Store(cut)
	}
}

// watchTime is how long nodes have seen one version until they rely on it.
const watchTime = origin.Window + 2*time.Second

// A node that is cut off from the store and from other nodes must not resume a stream at the only
// version that it sees: another node may have begun it at a version that came meanwhile.
func TestStreamJoinedAtNodeThatWasCutOff(t *testing.T) {
	const streams = 24
	for _, lead := range []time.Duration{200 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(fmt.Sprint("new version ", lead, " after the cut"), func(t *testing.T) {
			t.Parallel()
			d := deployCut(t)
			time.Sleep(watchTime)
			d.setCut(true)
			time.Sleep(lead)
			d.addSecondVersion()
			d.await("the new version is known", func() bool { return d.knows(d.other, "engine-2a") && d.knows(d.other, "engine-2b") })
			broken := d.breakAll(d.other, streams)
			d.resumeAt(d.cut, broken, func(s brokenStream, r result) {
				if r.status == http.StatusOK {
					wantOneVersion(t, s.body+r.body)
				}
			})
		})
	}
}

// breakAll begins streams at a node and ends it in the middle of all of them.
func (d *deployment) breakAll(n *testNode, count int) []brokenStream {
	streams := make([]brokenStream, count)
	var began, ended sync.WaitGroup
	began.Add(count)
	for i := range streams {
		done := sync.OnceFunc(began.Done)
		ended.Go(func() {
			defer done()
			streams[i] = d.beginWithRetries(n, fmt.Sprint("stream-", i), done)
		})
	}
	began.Wait()
	n.server.close()
	ended.Wait()
	return streams
}

// resumeAt resumes streams at a node, without stages, whose owner may be gone, and checks the
// answers.
func (d *deployment) resumeAt(n *testNode, broken []brokenStream, check func(s brokenStream, r result)) {
	var clients sync.WaitGroup
	for _, s := range broken {
		clients.Go(func() { check(s, d.resume(n, s, stand.OmitStages)) })
	}
	clients.Wait()
}

// Streams must go on at another node while the store cannot be read, as long as the node that
// began them can be asked, whatever versions serve.
func TestStreamRefusedDuringOutage(t *testing.T) {
	const streams = 8
	for name, versions := range map[string]int{"one version": 1, "two versions": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 3, slowEngines)
			if versions == 2 {
				d.addSecondVersion()
				time.Sleep(noticeTime)
			}
			broken := make([]brokenStream, streams)
			for i := range broken {
				broken[i] = d.beginAndLeave(d.nodes[0], fmt.Sprint("left-", i))
			}
			d.store.SetStalled(true)
			time.Sleep(4 * time.Second)
			d.resumeAt(d.nodes[1], broken, func(s brokenStream, r result) {
				wantStatus(t, r, http.StatusOK)
				wantLongStream(t, s.body+r.body)
			})
		})
	}
}

// beginAndLeave begins a stream at a node and closes its connection after two events.
func (d *deployment) beginAndLeave(n *testNode, id string) brokenStream {
	s := brokenStream{id: id, lastEventID: "1"}
	r := d.leave(n, id, stand.PathStream, func(r *http.Response) error {
		return readEventsInto(&s.body, r, 2)
	}, func(r *http.Request) {
		stand.SetPrefix(r, id)
		stand.SetDeadline(r, routeTimeout)
	})
	wantStatus(d.t, r, http.StatusOK)
	return s
}
