package relay

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselplank/events"
	"teaselplank/origin"
	"teaselplank/platform/stand"
)

// Versions of the engines in zones a and b.
const (
	versionA = "v1"
	versionB = "v2"
)

// setVersion gives the engines of each zone a version of their own, and time enough
// between events for a stream to be broken in.
func setVersion(w *stand.Worker) {
	if w.Kind != stand.Engine {
		return
	}
	w.Version, w.Delay = versionA, 60*time.Millisecond
	if w.Zone == "b" {
		w.Version = versionB
	}
}

// addEngine starts one more engine in a zone.
func (d *deployment) addEngine(id, zone string) {
	d.t.Helper()
	d.start(&stand.Worker{ID: id, Service: stand.ServiceEngine, Zone: zone, Kind: stand.Engine, Slots: 16, Events: 6})
	for _, n := range d.nodes {
		if n.server.context.Err() != nil {
			continue
		}
		d.await("the engine is known", func() bool { return d.knows(n, id) })
	}
}

// drains reports whether a node knows that a worker is draining.
func (d *deployment) drains(n *testNode, id string) bool {
	n.server.mu.Lock()
	defer n.server.mu.Unlock()
	u, _ := n.server.directory.Get(id)
	return u.Draining
}

// versionsOf returns the versions that the events of a stream name, each once.
func versionsOf(body string) []string {
	var versions []string
	seen := make(map[string]bool)
	for line := range strings.Lines(body) {
		if words := strings.Fields(line); len(words) == 4 && words[0] == "data:" && !seen[words[3]] {
			seen[words[3]] = true
			versions = append(versions, words[3])
		}
	}
	return versions
}

// wantOneVersion checks that the events of a stream, whole or not, are of one version.
func wantOneVersion(t *testing.T, body string) {
	t.Helper()
	if versions := versionsOf(body); len(versions) > 1 {
		t.Errorf("stream has events of versions %v, want one: %q", versions, body)
	}
}

// wantWholeStream checks that all events of a stream arrived, in order.
func wantWholeStream(t *testing.T, body string) {
	t.Helper()
	wantStream(t, body, allEvents)
}

// wantStream checks that the given events of a stream arrived, in order and at one version.
func wantStream(t *testing.T, body, want string) {
	t.Helper()
	wantOneVersion(t, body)
	rest := body
	for _, version := range []string{versionA, versionB} {
		rest = strings.ReplaceAll(rest, " "+version+"\n", "\n")
	}
	if rest != want {
		t.Errorf("events are %q, want all", body)
	}
}

// Guards against a host that resumes a broken stream at an engine of another version.
func TestResumedAtAnotherVersionByHost(t *testing.T) {
	const streams = 8
	ask := func(d *deployment, i int) result {
		return d.ask(d.nodes[0], stand.PathStream, func(r *http.Request) { stand.SetPrefix(r, fmt.Sprint("p", i)) })
	}
	t.Run("no engine of the version is left", func(t *testing.T) {
		d := deploy(t, 1, setVersion)
		d.workers["engine-a"].SetFault(stand.FaultTruncateStream)
		broken := 0
		for i := range streams {
			r := ask(d, i)
			wantOneVersion(t, r.body)
			if r.err != nil {
				broken++
			}
		}
		if broken == 0 || broken == streams {
			t.Errorf("%d of %d streams end early, want some", broken, streams)
		}
	})
	t.Run("another engine of the version serves", func(t *testing.T) {
		d := deploy(t, 1, setVersion)
		d.addEngine("engine-a2", "a")
		d.workers["engine-a"].SetFault(stand.FaultTruncateStream)
		for i := range streams {
			r := ask(d, i)
			wantStatus(t, r, http.StatusOK)
			wantWholeStream(t, r.body)
		}
	})
}

// routeTimeout is the timeout of the routes of the stand-in's configuration.
const routeTimeout = 4 * time.Second

// A brokenStream is the part of a stream that a client received before its host was gone.
type brokenStream struct {
	id          string
	body        string
	lastEventID string
}

// begin sends a request and reads events until the stream breaks. It calls began once two
// events have arrived.
func (d *deployment) begin(n *testNode, id string, began func()) brokenStream {
	s := brokenStream{id: id}
	r, err := stand.NewRequest(n.addr, stand.PathStream, id)
	if err != nil {
		d.t.Error(err)
		return s
	}
	stand.SetPrefix(r, id)
	stand.SetDeadline(r, routeTimeout)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		d.t.Error(err)
		return s
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return s
	}
	reader := bufio.NewReader(answer.Body)
	var event strings.Builder
	for count := 0; ; {
		line, err := reader.ReadString('\n')
		if err != nil {
			if err == io.EOF {
				d.t.Errorf("stream %s ends before its host is gone: %q", id, s.body)
			}
			return s
		}
		event.WriteString(line)
		if line != "\n" {
			continue
		}
		_, s.lastEventID, _ = events.NewReader(strings.NewReader(event.String()), "").Next()
		s.body += event.String()
		event.Reset()
		if count++; count == 2 {
			began()
		}
	}
}

// resume resumes a broken stream at a node. As clients do, it waits and tries again
// after a refusal.
func (d *deployment) resume(n *testNode, s brokenStream, change ...func(*http.Request)) result {
	const tries = 6
	var r result
	for try := range tries {
		r = d.askAs(n, fmt.Sprint(s.id, "-again-", try), stand.PathStream, func(r *http.Request) {
			stand.SetPrefix(r, s.id)
			stand.SetDeadline(r, routeTimeout)
			stand.SetResume(r, s.id, s.lastEventID)
			for _, c := range change {
				c(r)
			}
		})
		if r.err != nil || r.status != http.StatusServiceUnavailable {
			return r
		}
		time.Sleep(300 * time.Millisecond)
	}
	return r
}

// breakStreams begins streams at the first node, closes it in the middle of all of them
// and returns what their clients have.
func (d *deployment) breakStreams(count int) []brokenStream {
	d.t.Helper()
	streams := make([]brokenStream, count)
	var began, ended sync.WaitGroup
	began.Add(count)
	for i := range streams {
		ended.Go(func() { streams[i] = d.begin(d.nodes[0], fmt.Sprint("stream-", i), began.Done) })
	}
	began.Wait()
	d.nodes[0].server.close()
	ended.Wait()
	return streams
}

// Guards against a host at which clients resume streams that a lost host had begun, and
// which continues them at an engine of another version or refuses them all.
func TestResumedAtAnotherVersionByClient(t *testing.T) {
	const streams = 16
	d := deploy(t, 2, setVersion, func(w *stand.Worker) {
		if w.Kind == stand.Engine {
			w.Events = 6
			w.Delay = 150 * time.Millisecond
		}
	})
	broken := d.breakStreams(streams)
	for _, zone := range []string{"a", "b"} {
		d.addEngine("engine-2"+zone, zone)
		d.addEngine("engine-3"+zone, zone)
		d.workers["engine-"+zone].Drain()
		d.await("the engine drains", func() bool { return d.drains(d.nodes[1], "engine-"+zone) })
	}
	var resumed sync.WaitGroup
	for _, s := range broken {
		resumed.Go(func() {
			r := d.resume(d.nodes[1], s)
			wantStatus(t, r, http.StatusOK)
			wantWholeStream(t, s.body+r.body)
		})
	}
	resumed.Wait()
}

// Guards against resuming a stream of which neither a record nor the default version of its
// service is known, and against resuming one without a record at another version than that.
func TestUnknownOrigin(t *testing.T) {
	resume := func(d *deployment) result {
		return d.ask(d.nodes[0], stand.PathStream, func(r *http.Request) { stand.SetResume(r, "lost", "1") })
	}
	wantRefused := func(t *testing.T, d *deployment) {
		t.Helper()
		r := resume(d)
		wantStatus(t, r, http.StatusServiceUnavailable)
		d.wantRuns(r.id, stand.ServiceEngine, 0, 0)
		d.wantRuns(r.id, stand.ServiceEncode, 0, 0)
		if r.header.Get("Retry-After") == "" {
			t.Error("refusal names no time to retry")
		}
	}
	deployWithout := func(t *testing.T, topic string, change ...func(*stand.Worker)) *deployment {
		d := deploy(t, 0, change...)
		d.store.SetTopicUnavailable(topic)
		n := d.addNode("alone")
		d.await("the node is ready", func() bool { return d.isReady(n) })
		return d
	}
	t.Run("several versions, no default", func(t *testing.T) {
		wantRefused(t, deployWithout(t, stand.TopicDefaults, setVersion))
	})
	t.Run("one version, no default", func(t *testing.T) {
		wantRefused(t, deployWithout(t, stand.TopicDefaults))
	})
	t.Run("one version, records cannot be read", func(t *testing.T) {
		wantRefused(t, deployWithout(t, stand.TopicStreams))
	})
	t.Run("store restored to a copy from before the first host", func(t *testing.T) {
		d := deploy(t, 0)
		restore := d.store.Save()
		n := d.addNode("before")
		d.await("the default is written", func() bool { values, _ := d.store.Values(stand.TopicDefaults); return len(values) > 0 })
		n.server.close()
		restore()
		d.nodes = nil
		n = d.addNode("after")
		d.await("the node is ready", func() bool { return d.isReady(n) })
		wantRefused(t, d)
	})
	t.Run("several versions, no record", func(t *testing.T) {
		d := deploy(t, 1, setVersion)
		d.await("the default is written", func() bool { values, _ := d.store.Values(stand.TopicDefaults); return len(values) > 0 })
		r := resume(d)
		wantStatus(t, r, http.StatusOK)
		wantOneVersion(t, r.body)
		values, _ := d.store.Values(stand.TopicDefaults)
		version := versionsOf(r.body)[0]
		if !strings.Contains(string(values[stand.ServiceEngine]), version) {
			t.Errorf("stream goes on at %q, want the default version %q", version, values[stand.ServiceEngine])
		}
	})
	t.Run("one version, no record", func(t *testing.T) {
		d := deploy(t, 1)
		r := resume(d)
		wantStatus(t, r, http.StatusOK)
		if want := allEvents[strings.Index(allEvents, "id: 2"):]; r.body != want {
			t.Errorf("events are %q, want those after the first two", r.body)
		}
	})
}

// All hosts end at once, and only engines of another version are left when one starts again:
// its log is empty and it sees one version, but the streams began at the other.
func TestStreamJoinedAfterAllHostsEnded(t *testing.T) {
	const streams = 8
	version := versionA
	d := deploy(t, 1, func(w *stand.Worker) {
		if w.Kind == stand.Engine {
			w.Version, w.Delay = version, 150*time.Millisecond
		}
	})
	broken := d.breakStreams(streams)
	version = versionB
	for _, zone := range []string{"a", "b"} {
		d.workers["engine-"+zone].Crash()
		d.store.RemoveEntry("engine-" + zone)
		d.start(&stand.Worker{ID: "engine-2" + zone, Service: stand.ServiceEngine, Zone: zone, Kind: stand.Engine, Slots: 16, Events: 6})
	}
	n := d.addNode("late")
	d.await("the new node is ready", func() bool { return d.isReady(n) })
	var resumed sync.WaitGroup
	for _, s := range broken {
		resumed.Go(func() {
			r := d.resume(n, s)
			wantStatus(t, r, http.StatusServiceUnavailable)
			wantOneVersion(t, s.body+r.body)
			d.wantRuns(r.id, stand.ServiceEngine, 0, 0)
		})
	}
	resumed.Wait()
}

// A stream must go on after all hosts have ended if its service has had one version all the
// time, which the hosts then must have recorded.
func TestStreamRefusedAfterAllHostsEnded(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1, func(w *stand.Worker) {
		if w.Kind == stand.Engine {
			w.Version, w.Delay = versionA, 150*time.Millisecond
		}
	})
	time.Sleep(origin.Window + 7*time.Second)
	broken := d.breakStreams(4)
	n := d.addNode("late")
	d.await("the new node is ready", func() bool { return d.isReady(n) })
	for _, s := range broken {
		r := d.resume(n, s)
		wantStatus(t, r, http.StatusOK)
		wantWholeStream(t, s.body+r.body)
	}
}
