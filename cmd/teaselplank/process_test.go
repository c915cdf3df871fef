package main

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"teaselplank/client"
	"teaselplank/fake"
	"teaselplank/rules"
	"teaselplank/wire"
)

// slowDelay is the delay of a slow upstream. It leaves a test enough time to act before
// the response.
const slowDelay = 1500 * time.Millisecond

func slowFaults() fake.Faults { return fake.Faults{DelayMillis: int(slowDelay / time.Millisecond)} }

// waitForRun waits until the upstream has started to run the call of a key.
func (c *cluster) waitForRun(upstream, key string) {
	c.t.Helper()
	eventually(c.t, "run of the key", func() bool { return c.upstreams[upstream].Counts()[key] > 0 })
}

// Each kind of call takes its own path between caller and upstream. A defect on a path can
// run a key twice when the caller retries at another node, or make a listener accept a
// request without its credential.
func TestRequestPaths(t *testing.T) {
	c := newCluster(t, 2)
	t.Run("pipeline", func(t *testing.T) {
		if err := c.callPipeline(0, "a"); err != nil {
			t.Error(err)
		}
	})
	t.Run("filing and its retry at another node", func(t *testing.T) {
		key := newKey()
		c.mustCallService(0, "filing", key, wire.Done)
		c.mustCallService(1, "filing", key, wire.Done)
		c.checkRuns("filing-0", key, 1)
	})
	t.Run("filing without a key", func(t *testing.T) {
		a, err := c.client.Send(context.Background(), c.nodes[0].callers, client.Request{Service: "filing", Input: "x"})
		if err != nil || a.Outcome != wire.NotRun {
			t.Errorf("answer is %+v, %v", a, err)
		}
	})
	t.Run("key with another body", func(t *testing.T) {
		key := newKey()
		c.mustCallService(0, "filing", key, wire.Done)
		a, err := c.client.Send(context.Background(), c.nodes[1].callers, client.Request{Service: "filing", Input: "other", Key: key})
		if err != nil || a.Outcome == wire.Done || !strings.Contains(a.Error, "another body") {
			t.Errorf("answer is %+v, %v", a, err)
		}
		c.checkRuns("filing-0", key, 1)
	})
	t.Run("credentials", func(t *testing.T) {
		_, err := client.New("wrong").Send(context.Background(), c.nodes[0].callers, client.Request{Service: "status"})
		if err != nil {
			t.Error(err)
		}
		for _, addr := range []string{c.nodes[0].operators + "/v1/dump", c.nodes[0].peers + "/twirp/teaselplank.peer.Peer/State"} {
			r, err := http.Get("http://" + addr)
			if err != nil {
				t.Fatal(err)
			}
			r.Body.Close()
			if r.StatusCode != http.StatusUnauthorized {
				t.Errorf("%s returned status %s", addr, r.Status)
			}
		}
	})
}

// A node that stops on SIGTERM before its calls have ended aborts streams and loses the
// results of calls in flight.
func TestTerminate(t *testing.T) {
	c := newCluster(t, 2)
	streams := make(chan error, 4)
	for range cap(streams) {
		go func() { streams <- c.callPipeline(0, "terminate") }()
	}
	key := newKey()
	c.upstreams["filing-0"].SetFaults(slowFaults())
	filing := make(chan wire.Answer, 1)
	go func() {
		a, _ := c.callService(0, "filing", key)
		filing <- a
	}()
	c.waitForBusyUpstream("generate-0")
	c.nodes[0].signal(syscall.SIGTERM)
	for range cap(streams) {
		if err := <-streams; err != nil {
			t.Errorf("stream failed: %v", err)
		}
	}
	if a := <-filing; a.Outcome != wire.Done {
		t.Errorf("answer to the filing is %+v", a)
	}
	<-c.nodes[0].exited
	if code := c.nodes[0].command.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit status is %d", code)
	}
	c.mustCallService(1, "filing", key, wire.Done)
	c.checkRuns("filing-0", key, 1)
}

// A signal other than the first SIGTERM must not end a node while it has calls.
func TestCallCutBySignal(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"hangup":                  {syscall.SIGHUP},
		"second request to stop":  {syscall.SIGTERM, syscall.SIGTERM},
		"hangup during the drain": {syscall.SIGTERM, syscall.SIGHUP},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1)
			stream := make(chan error, 1)
			go func() { stream <- c.callPipeline(0, "signal") }()
			c.waitForBusyUpstream("generate-0")
			for _, s := range signals {
				c.nodes[0].signal(s)
				time.Sleep(20 * time.Millisecond)
			}
			if err := <-stream; err != nil {
				t.Errorf("stream failed: %v", err)
			}
			<-c.nodes[0].exited
			if code := c.nodes[0].command.ProcessState.ExitCode(); code != 0 {
				t.Errorf("exit status is %d", code)
			}
		})
	}
}

// waitForBusyUpstream waits until an upstream runs a call.
func (c *cluster) waitForBusyUpstream(id string) {
	c.t.Helper()
	for _, h := range c.hosts {
		if h.ID != id {
			continue
		}
		eventually(c.t, id+" call", func() bool {
			r, err := http.Get("http://" + h.Addr + "/load")
			if err != nil {
				return false
			}
			defer r.Body.Close()
			body := make([]byte, 256)
			n, _ := r.Body.Read(body)
			return !strings.Contains(string(body[:n]), `"running":0`)
		})
	}
}

// A node is killed after it dispatched the call of a key. Another node that retries the
// key must not run it twice: the outcome stays unknown, unless the upstream checks
// fencing numbers and offers a status lookup.
func TestKilledClaimHolder(t *testing.T) {
	c := newCluster(t, 2)
	t.Run("outcome stays unknown", func(t *testing.T) {
		key := newKey()
		c.upstreams["filing-0"].SetFaults(fake.Faults{})
		c.slowResponses("filing-0")
		go func() { _, _ = c.callService(0, "filing", key) }()
		c.waitForRun("filing-0", key)
		c.nodes[0].signal(syscall.SIGKILL)
		<-c.nodes[0].exited
		c.mustCallService(1, "filing", key, wire.Unknown)
		c.mustCallService(1, "filing", key, wire.Unknown)
		c.checkRuns("filing-0", key, 1)
	})
	t.Run("outcome is resolved if the upstream checks fencing numbers", func(t *testing.T) {
		c.nodes[0].start()
		c.nodes[0].waitReady()
		eventually(t, "rules", func() bool { return c.nodes[0].rulesVersion() > 0 })
		key := newKey()
		c.slowResponses("fee-0")
		go func() { _, _ = c.callService(0, "fee", key) }()
		c.waitForRun("fee-0", key)
		c.nodes[0].signal(syscall.SIGKILL)
		<-c.nodes[0].exited
		eventually(t, "result of the fee", func() bool {
			a, err := c.callService(1, "fee", key)
			return err == nil && a.Outcome == wire.Done
		})
		c.checkRuns("fee-0", key, 1)
	})
}

// slowResponses delays the responses of an upstream; its runs still start at once.
func (c *cluster) slowResponses(id string) { c.upstreams[id].SetLatency(slowDelay) }

// A node is frozen after it dispatched the call of a key and resumes later. A retry at
// another node must neither run the key again nor miss the result that the frozen node
// records after it resumes.
func TestFrozenClaimHolder(t *testing.T) {
	c := newCluster(t, 2)
	key := newKey()
	c.slowResponses("filing-0")
	first := make(chan wire.Answer, 1)
	go func() {
		a, _ := c.callService(0, "filing", key)
		first <- a
	}()
	c.waitForRun("filing-0", key)
	c.nodes[0].signal(syscall.SIGSTOP)
	c.mustCallService(1, "filing", key, wire.Unknown)
	c.nodes[0].signal(syscall.SIGCONT)
	<-first
	eventually(t, "result at the other node", func() bool {
		a, err := c.callService(1, "filing", key)
		return err == nil && a.Outcome == wire.Done
	})
	c.checkRuns("filing-0", key, 1)
}

// While the platform is down, calls that need its log are refused. All other calls, the
// start of a node and the draining of an upstream must work without it.
func TestPlatformDown(t *testing.T) {
	c := newCluster(t, 2)
	nodeKey, err := c.client.NewKey(context.Background(), c.nodes[0].callers)
	if err != nil {
		t.Fatal(err)
	}
	c.platform.SetFaults(fake.Faults{Down: true})
	t.Run("filing is refused with a retry delay", func(t *testing.T) {
		key := newKey()
		a := c.mustCallService(0, "filing", key, wire.Unknown)
		if a.Dispatched || a.RetryAfter == 0 {
			t.Errorf("answer is %+v", a)
		}
		c.checkRuns("filing-0", key, 0)
	})
	t.Run("pipelines keep working", func(t *testing.T) {
		if err := c.callPipeline(1, "outage"); err != nil {
			t.Error(err)
		}
	})
	t.Run("a key issued by a node runs, also through another node", func(t *testing.T) {
		c.mustCallService(1, "filing", nodeKey, wire.Done)
		c.mustCallService(0, "filing", nodeKey, wire.Done)
		c.checkRuns("filing-0", nodeKey, 1)
	})
	t.Run("a new node gets the rules from the other nodes", func(t *testing.T) {
		n := c.addNode("entry-new")
		n.start()
		n.waitReady()
		eventually(t, "rules", func() bool { return n.rulesVersion() == c.nodes[0].rulesVersion() })
		if err := c.callPipeline(2, "new node"); err != nil {
			t.Error(err)
		}
	})
	t.Run("a draining upstream gets no new calls after the maximum delay", func(t *testing.T) {
		c.upstreams["status-0"].SetFaults(fake.Faults{Leaving: true})
		time.Sleep(maxDrainDelay)
		before := len(c.upstreams["status-0"].Counts())
		for range 20 {
			if a, err := c.callService(0, "status", newKey()); err != nil || a.Outcome != wire.NotRun {
				t.Errorf("answer is %+v, %v", a, err)
			}
		}
		if after := len(c.upstreams["status-0"].Counts()); after != before {
			t.Errorf("draining upstream got %d new calls", after-before)
		}
	})
	c.platform.SetFaults(fake.Faults{})
	t.Run("filing runs after the outage", func(t *testing.T) {
		key := newKey()
		eventually(t, "filing", func() bool {
			a, err := c.callService(0, "filing", key)
			return err == nil && a.Outcome == wire.Done
		})
		c.checkRuns("filing-0", key, 1)
	})
}

// maxDrainDelay is the maximum time until a draining host stops getting new work.
const maxDrainDelay = 2 * time.Second

// The platform executes an append but its response is lost. The retry must neither run
// a key again nor publish a change of the rules twice.
func TestPlatformLosesAnswers(t *testing.T) {
	c := newCluster(t, 2)
	c.platform.SetFaults(fake.Faults{LostReplyRate: 0.4})
	for i := range 10 {
		key := newKey()
		for range 3 {
			if a, err := c.callService(i%2, "filing", key); err == nil && a.Outcome == wire.Done {
				break
			}
		}
		c.checkRuns("filing-0", key, -1)
	}
	change := &rules.Change{ID: "lost", Who: "test", Edits: []rules.Edit{{Kind: "stage", Name: "extra", Text: "stage extra kind=encoder # test"}}}
	v := c.nodes[0].publishChange(change)
	if again := c.nodes[1].publishChange(change); !v.Accepted || again.Version != v.Version {
		t.Errorf("verdicts are %+v and %+v", v, again)
	}
	change.ID = "race"
	if v := c.nodes[1].publishChange(change); v.Accepted || len(v.Conflicts) != 1 {
		t.Errorf("verdict on a change from an outdated version is %+v", v)
	}
}

// A connection stops delivering data without being closed, as after a network fault.
// Calls must time out on it and continue on a new connection.
func TestSilentConnections(t *testing.T) {
	c := newCluster(t, 1)
	if err := c.callPipeline(0, "warm up"); err != nil {
		t.Fatal(err)
	}
	t.Run("upstream, during a stream", func(t *testing.T) {
		done := make(chan error, 1)
		go func() { done <- c.callPipeline(0, "silent") }()
		c.waitForBusyUpstream("generate-0")
		c.upstreams["generate-0"].SetFaults(fake.Faults{StallAfterTokens: 5})
		time.Sleep(100 * time.Millisecond)
		c.upstreams["generate-0"].SetFaults(fake.Faults{})
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Run("upstream, idle connections", func(t *testing.T) {
		for _, id := range []string{"encode-0", "retrieve-0", "generate-0"} {
			c.upstreams[id].SilenceOpenConnections()
		}
		if err := c.callPipeline(0, "silent idle"); err != nil {
			t.Error(err)
		}
	})
	t.Run("platform", func(t *testing.T) {
		c.platform.SilenceOpenConnections()
		key := newKey()
		eventually(t, "filing", func() bool {
			a, err := c.callService(0, "filing", key)
			return err == nil && a.Outcome == wire.Done
		})
		c.checkRuns("filing-0", key, 1)
	})
}

// A faulty upstream sends replies that belong to other requests. A node must not return
// such an output as the result.
func TestCrossedReplies(t *testing.T) {
	c := newCluster(t, 1)
	for _, id := range []string{"encode-0", "retrieve-0"} {
		c.upstreams[id].SetFaults(fake.Faults{WrongRequestRate: 0.3})
	}
	answered := 0
	for range 20 {
		a, err := c.client.Send(context.Background(), c.nodes[0].callers, client.Request{Pipeline: "drafts", Input: "crossed", MaxTokens: 2})
		if err != nil {
			t.Fatal(err)
		}
		want := fake.GeneratedText(fake.StageOutput("retriever", fake.StageOutput("encoder", "crossed")), 2)
		if a.Outcome == wire.Done && a.Output != want {
			t.Errorf("output is %q", a.Output)
		}
		if a.Outcome == wire.Done {
			answered++
		}
	}
	if answered == 0 {
		t.Error("no call was answered")
	}
}

// A node that is terminated during a platform fault must still complete its calls.
func TestTerminateDuringFault(t *testing.T) {
	c := newCluster(t, 2)
	t.Run("during a publish while the platform is slow", func(t *testing.T) {
		c.platform.SetFaults(fake.Faults{DelayMillis: 600})
		verdict := make(chan rules.Verdict, 1)
		go func() {
			verdict <- c.nodes[0].publishChange(&rules.Change{ID: "late", Who: "test", Edits: []rules.Edit{
				{Kind: "stage", Name: "extra", Text: "stage extra kind=encoder # test"},
			}})
		}()
		time.Sleep(200 * time.Millisecond)
		c.nodes[0].signal(syscall.SIGTERM)
		if v := <-verdict; !v.Accepted {
			t.Errorf("verdict is %+v", v)
		}
		c.platform.SetFaults(fake.Faults{})
		<-c.nodes[0].exited
	})
	t.Run("during streams while the platform is down", func(t *testing.T) {
		c.platform.SetFaults(fake.Faults{Down: true})
		streams := make(chan error, 4)
		for range cap(streams) {
			go func() { streams <- c.callPipeline(1, "terminate twice") }()
		}
		c.waitForBusyUpstream("generate-0")
		c.nodes[1].signal(syscall.SIGTERM)
		for range cap(streams) {
			if err := <-streams; err != nil {
				t.Errorf("stream failed: %v", err)
			}
		}
		<-c.nodes[1].exited
		if code := c.nodes[1].command.ProcessState.ExitCode(); code != 0 {
			t.Errorf("exit status is %d", code)
		}
	})
}

// A node that is frozen during a stream must complete the stream after it resumes.
func TestFrozenNode(t *testing.T) {
	c := newCluster(t, 1)
	done := make(chan error, 1)
	go func() { done <- c.callPipeline(0, "frozen") }()
	c.waitForBusyUpstream("generate-0")
	c.nodes[0].signal(syscall.SIGSTOP)
	time.Sleep(slowDelay)
	c.nodes[0].signal(syscall.SIGCONT)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
