package relay

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"teaselplank/budget"
	"teaselplank/conf"
	"teaselplank/infra"
	"teaselplank/pace"
	"teaselplank/platform"
	"teaselplank/platform/stand"
)

// A deployment is a store, workers and nodes on the loopback address.
type deployment struct {
	t       *testing.T
	store   *stand.Store
	address string
	workers map[string]*stand.Worker
	nodes   []*testNode
	number  int
	change  []func(*stand.Worker)
	// wrapRegistry wraps the client of the store of a node, if it is not nil.
	wrapRegistry func(node string, r infra.Registry) infra.Registry
	// protocol replaces that of the nodes, if it is not nil.
	protocol Protocol
}

type testNode struct {
	server *Server
	stop   context.CancelFunc
	ended  chan error
	addr   string
	ready  string
}

// deploy starts a store, two workers of each service in two zones, and nodes. It lets
// change set what else the workers need before they start.
func deploy(t *testing.T, nodes int, change ...func(*stand.Worker)) *deployment {
	t.Helper()
	d := &deployment{t: t, store: &stand.Store{}, workers: make(map[string]*stand.Worker), change: change}
	listener := httptest.NewServer(d.store)
	t.Cleanup(listener.Close)
	d.address = strings.TrimPrefix(listener.URL, "http://")
	stand.PutConfig(d.store, 1)
	for _, zone := range []string{"a", "b"} {
		d.start(&stand.Worker{ID: "desk-" + zone, Service: stand.ServiceDesk, Zone: zone, Kind: stand.Plain, Slots: 4})
		d.start(&stand.Worker{ID: "engine-" + zone, Service: stand.ServiceEngine, Zone: zone, Kind: stand.Engine, Slots: 16, Events: 6, Delay: 2 * time.Millisecond})
		d.start(&stand.Worker{ID: "encode-" + zone, Service: stand.ServiceEncode, Zone: zone, Kind: stand.Stage, Delay: 20 * time.Millisecond})
		d.start(&stand.Worker{ID: "rank-" + zone, Service: stand.ServiceRank, Zone: zone, Kind: stand.Stage, Delay: 20 * time.Millisecond})
	}
	for i := range nodes {
		d.addNode(fmt.Sprint("node-", i))
	}
	for _, n := range d.nodes {
		d.await("the node is ready", func() bool { return d.isReady(n) })
	}
	return d
}

func (d *deployment) start(w *stand.Worker) {
	d.t.Helper()
	for _, change := range d.change {
		change(w)
	}
	if err := w.Start(d.store); err != nil {
		d.t.Fatal(err)
	}
	d.workers[w.ID] = w
	d.t.Cleanup(w.Crash)
}

// The ports of servers are below the operating system's ephemeral ports, so that no
// connection and no listener on port 0 takes one before its server listens.
const (
	firstPort = 10000
	lastPort  = 31383
	portCount = lastPort - firstPort + 1
)

// portsTried is the number of ports that freeAddress has tried.
var portsTried atomic.Int64

// loopbackIP returns a loopback address that no other process uses, so that concurrent
// test runs do not take each other's ports.
func loopbackIP() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(id>>16)&63, id>>8&255, id&255)
}

// freeAddress returns a loopback address on which no process listens. It tries each port
// of the range once before it tries one again.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + portsTried.Add(1)%portCount
		l, err := net.Listen("tcp", fmt.Sprint(loopbackIP(), ":", port))
		if err != nil {
			continue // The port is in use.
		}
		l.Close()
		return l.Addr().String()
	}
	t.Fatalf("no port is free between %d and %d", firstPort, lastPort)
	return ""
}

func (d *deployment) settings(id string) *conf.EntrySettings {
	return &conf.EntrySettings{
		Node: id, Zone: "a", Callers: freeAddress(d.t), Ready: freeAddress(d.t), Peers: freeAddress(d.t), Metrics: freeAddress(d.t),
		Store: d.address, Budget: budget.Config{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, Grace: 6 * time.Second, Warmup: pace.DefaultBounds(),
	}
}

// newServer returns a server that is not serving.
func (d *deployment) newServer(settings *conf.EntrySettings) *Server {
	d.t.Helper()
	store := platform.NewStore(d.address)
	registry := infra.Registry(store)
	if d.wrapRegistry != nil {
		registry = d.wrapRegistry(settings.Node, registry)
	}
	protocol := d.protocol
	if protocol == nil {
		protocol = platform.Adapter{}
	}
	server, err := New(Options{
		Settings: settings, Registry: registry, Origins: store, Protocol: protocol,
		Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)),
	})
	if err != nil {
		d.t.Fatal(err)
	}
	return server
}

func (d *deployment) addNode(id string) *testNode {
	d.t.Helper()
	return d.addNodeWith(d.settings(id))
}

func (d *deployment) addNodeWith(settings *conf.EntrySettings) *testNode {
	d.t.Helper()
	server := d.newServer(settings)
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{server: server, stop: stop, ended: make(chan error, 1), addr: settings.Callers, ready: settings.Ready}
	go func() { n.ended <- server.Serve(ctx) }()
	d.t.Cleanup(func() {
		stop()
		server.close()
	})
	d.nodes = append(d.nodes, n)
	return n
}

func (d *deployment) isReady(n *testNode) bool {
	d.t.Helper()
	select {
	case err := <-n.ended:
		if n.ended <- err; err != nil {
			// Another process may serve on its addresses.
			d.t.Errorf("node has ended: %v", err)
			return false
		}
	default:
	}
	r, err := http.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (d *deployment) await(what string, condition func() bool) {
	d.t.Helper()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.t.Fatalf("timed out waiting until %s", what)
}

// A result is an answer as a client receives it.
type result struct {
	id     string
	status int
	header http.Header
	body   string
	// closes is true if the answer says that the connection is closed after it.
	closes bool
	// delimited is true if the answer has a length or chunks, so that its end can be told
	// from that of its connection.
	delimited bool
	err       error
}

// ask sends a request with a new id to a node and returns the answer.
func (d *deployment) ask(n *testNode, path string, change ...func(*http.Request)) result {
	d.number++
	return d.askAs(n, fmt.Sprint("id-", d.number), path, change...)
}

func (d *deployment) askAs(n *testNode, id, path string, change ...func(*http.Request)) result {
	r, err := stand.NewRequest(n.addr, path, id)
	if err != nil {
		d.t.Error(err)
		return result{}
	}
	for _, c := range change {
		c(r)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return result{id: id, err: err}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return result{
		id: id, status: answer.StatusCode, header: answer.Header, body: string(body), closes: answer.Close,
		delimited: answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0, err: err,
	}
}

func wantStatus(t *testing.T, r result, status int) {
	t.Helper()
	if r.err != nil || r.status != status {
		t.Errorf("answer is %d %q (%v), want %d", r.status, r.body, r.err, status)
	}
}

// wantRuns checks how often the workers of a service ran a request.
func (d *deployment) wantRuns(id, service string, minRuns, maxRuns int) {
	d.t.Helper()
	runs := d.runs(id, service)
	if runs < minRuns || runs > maxRuns {
		d.t.Errorf("request %s was run %d times by %q, want %d to %d", id, runs, service, minRuns, maxRuns)
	}
}

// runs returns how often the workers of a service ran a request.
func (d *deployment) runs(id, service string) int {
	runs := 0
	for _, w := range d.workers {
		if w.Service == service {
			runs += w.Runs(id)
		}
	}
	return runs
}

func (d *deployment) setFaults(service string, f stand.Fault) {
	for _, w := range d.workers {
		if w.Service == service {
			w.SetFault(f)
		}
	}
}

const allEvents = "id: 0\ndata: token 0\n\nid: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n" +
	"id: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\nid: 5\ndata: token 5\n\n"
