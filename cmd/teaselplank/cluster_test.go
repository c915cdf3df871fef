package main

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"teaselplank/client"
	"teaselplank/fake"
	"teaselplank/rules"
	"teaselplank/wire"
)

// binary is the path of the built command.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "teaselplank")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "teaselplank")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(status)
}

const (
	callerToken       = "caller-credential"
	operatorToken     = "operator-credential"
	eventuallyTimeout = 20 * time.Second
)

// A cluster runs nodes in separate processes, with stand-ins for the platform and the
// upstreams in the test process.
type cluster struct {
	t         *testing.T
	platform  *fake.Platform
	url       string
	upstreams map[string]*fake.Upstream
	hosts     []wire.Host
	nodes     []*process
	client    *client.Client
}

// A process is the process of one node.
type process struct {
	t                         *testing.T
	id                        string
	callers, peers, operators string
	settings                  string
	command                   *exec.Cmd
	exited                    chan struct{}
	log                       lockedBuffer
}

// A lockedBuffer is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// serveStandin serves a stand-in until the test ends and returns its address.
func serveStandin(t *testing.T, handler http.Handler) string {
	s := httptest.NewUnstartedServer(handler)
	s.Config.ConnContext = fake.ConnContext
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// The ports of servers are below the operating system's ephemeral ports, so that no
// connection and no listener on port 0 takes one before its server listens.
const (
	firstPort = 31384
	lastPort  = 32767
	portCount = lastPort - firstPort + 1
	// Successive process ids start far apart, so that concurrent test runs seldom meet.
	portsPerProcessID = 1853
)

// portsTried is the number of ports that freeAddr has tried.
var portsTried atomic.Int64

// freeAddr returns a loopback address on which no process listens. It tries each port of
// the range once before it tries one again.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + (int64(os.Getpid())*portsPerProcessID+portsTried.Add(1))%portCount
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			continue // The port is in use.
		}
		l.Close()
		return l.Addr().String()
	}
	t.Fatalf("no port is free between %d and %d", firstPort, lastPort)
	return ""
}

const clusterRules = `
stage    encode   kind=encoder                 # test
stage    retrieve kind=retriever               # test
stage    generate kind=generator               # test
pipeline drafts   stages=encode,retrieve,generate deadline=15s # test
service  filing   repeat=never deadline=4s     # test
service  fee      repeat=never deadline=4s fenced=yes lookup=yes # test
service  status   repeat=safe deadline=4s      # test
account  kingston weight=1 token=sha256:%x     # test
`

// newCluster starts a cluster and publishes the rules.
func newCluster(t *testing.T, nodes int) *cluster {
	c := &cluster{t: t, upstreams: make(map[string]*fake.Upstream), client: client.New(callerToken)}
	c.platform = fake.NewPlatform(fake.PlatformConfig{AppendsPerSecond: 400})
	c.url = "http://" + serveStandin(t, c.platform.Handler())
	for _, pool := range []string{"encode", "retrieve", "generate", "filing", "fee", "status"} {
		c.addUpstream(pool, pool+"-0", fake.UpstreamConfig{Slots: 16, Latency: 5 * time.Millisecond, TokenInterval: 10 * time.Millisecond, Fenced: pool == "fee"})
	}
	for i := range nodes {
		c.addNode(fmt.Sprint("entry-", i))
	}
	c.platform.SetHosts(c.hosts)
	for _, n := range c.nodes {
		n.start()
	}
	for _, n := range c.nodes {
		n.waitReady()
	}
	c.publish(fmt.Sprintf(clusterRules, sha256.Sum256([]byte(callerToken))))
	return c
}

func (c *cluster) addUpstream(pool, id string, config fake.UpstreamConfig) {
	u := fake.NewUpstream(config)
	c.upstreams[id] = u
	c.hosts = append(c.hosts, wire.Host{ID: id, Incarnation: "1", Role: "upstream", Pool: pool, Zone: "zone-a", Addr: serveStandin(c.t, u.Handler())})
}

func (c *cluster) addNode(id string) *process {
	n := &process{t: c.t, id: id, callers: freeAddr(c.t), peers: freeAddr(c.t), operators: freeAddr(c.t)}
	var seeds []string
	for _, other := range c.nodes {
		seeds = append(seeds, other.peers)
	}
	n.settings = filepath.Join(c.t.TempDir(), "node.ini")
	text := fmt.Sprintf("[node]\nid = %s\nzone = zone-a\ndrain_lag = 500ms\n[listen]\ncallers = %s\npeers = %s\noperators = %s\n"+
		"[secrets]\npeers = peer-credential-0123\noperators = %s\n[platform]\nurl = %s\ntimeout = 1s\n[ledger]\ntakeover_after = 2s\n[poll]\nrules = 200ms\nhosts = 200ms\nledger = 200ms\n",
		id, n.callers, n.peers, n.operators, operatorToken, c.url)
	if len(seeds) > 0 {
		text += "[members]\nseeds = " + strings.Join(seeds, ",") + "\n"
	}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.nodes = append(c.nodes, n)
	c.hosts = append(c.hosts, wire.Host{ID: id, Incarnation: "1", Role: "entry", Zone: "zone-a", Addr: n.peers})
	return n
}

func (p *process) start() {
	p.command = exec.Command(binary, "serve", p.settings)
	p.command.Stderr = &p.log
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.exited = make(chan struct{})
	go func() {
		_ = p.command.Wait() // Tests read the exit status from ProcessState.
		close(p.exited)
	}()
	p.t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
		if p.t.Failed() {
			p.t.Logf("log of %s:\n%s", p.id, p.log.String())
		}
	})
}

func (p *process) signal(s os.Signal) {
	// The only expected error is that the process has exited, which is harmless here.
	_ = p.command.Process.Signal(s)
}

// eventually waits until check returns true and fails the test after
// eventuallyTimeout.
func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("%s not seen within %s", condition, eventuallyTimeout)
}

func (p *process) waitReady() {
	p.t.Helper()
	eventually(p.t, p.id+" readiness", func() bool {
		r, err := http.Get("http://" + p.callers + "/readyz")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
}

// operatorRequest sends a request to the node's listener for operators.
func (p *process) operatorRequest(method, path string, body []byte, result any) error {
	r, err := http.NewRequest(method, "http://"+p.operators+path, strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("node returned status %s", response.Status)
	}
	return json.NewDecoder(response.Body).Decode(result)
}

func (p *process) rulesVersion() int64 {
	var status struct {
		Version int64 `json:"rules_version"`
	}
	if err := p.operatorRequest(http.MethodGet, "/v1/status", nil, &status); err != nil {
		return -1
	}
	return status.Version
}

// publish publishes the first rules and waits until all nodes have them.
func (c *cluster) publish(text string) {
	c.t.Helper()
	lines, err := rules.Parse("rules", text)
	if err != nil {
		c.t.Fatal(err)
	}
	v := c.nodes[0].publishChange(&rules.Change{ID: uuid.NewString(), Who: "test", Edits: rules.Diff(nil, lines)})
	if !v.Accepted {
		c.t.Fatalf("rules were refused: %+v", v)
	}
	for _, n := range c.nodes {
		eventually(c.t, "rules on "+n.id, func() bool { return n.rulesVersion() >= v.Version })
	}
}

func (p *process) publishChange(change *rules.Change) rules.Verdict {
	p.t.Helper()
	body, err := json.Marshal(change)
	if err != nil {
		p.t.Fatal(err)
	}
	var v rules.Verdict
	if err := p.operatorRequest(http.MethodPost, "/v1/rules", body, &v); err != nil {
		p.t.Fatalf("publish at %s: %v", p.id, err)
	}
	return v
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// callService calls a service with a key.
func (c *cluster) callService(node int, service, key string) (wire.Answer, error) {
	return c.client.Send(context.Background(), c.nodes[node].callers, client.Request{Service: service, Input: "input-" + key, Key: key})
}

func (c *cluster) mustCallService(node int, service, key string, want wire.Outcome) wire.Answer {
	c.t.Helper()
	a, err := c.callService(node, service, key)
	if err != nil {
		c.t.Fatal(err)
	}
	if a.Outcome != want {
		c.t.Fatalf("outcome is %q (%s), want %q", a.Outcome, a.Error, want)
	}
	if want == wire.Done && a.Output != "receipt(input-"+key+")" {
		c.t.Fatalf("output is %q", a.Output)
	}
	return a
}

// checkRuns fails the test if a key ran more than once, or if want is not negative and
// the key did not run exactly that many times.
func (c *cluster) checkRuns(upstream, key string, want int) {
	c.t.Helper()
	got := c.upstreams[upstream].Counts()[key]
	if got > 1 || want >= 0 && got != want {
		c.t.Errorf("key %s ran %d times at %s, want %d", key, got, upstream, want)
	}
}

const streamTokens = 40

// callPipeline makes a streamed pipeline call and checks the answer.
func (c *cluster) callPipeline(node int, input string) error {
	a, err := c.client.Send(context.Background(), c.nodes[node].callers, client.Request{
		Pipeline: "drafts", Input: input, MaxTokens: streamTokens, Stream: true,
	})
	if err != nil {
		return err
	}
	want := fake.GeneratedText(fake.StageOutput("retriever", fake.StageOutput("encoder", input)), streamTokens)
	if a.Outcome != wire.Done || a.Output != want {
		return fmt.Errorf("outcome %q (%s) with output %q, want %q", a.Outcome, a.Error, a.Output, want)
	}
	return nil
}
