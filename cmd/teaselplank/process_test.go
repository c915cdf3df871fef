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

// slowly makes an upstream answer so late that a test can act before.
const slowly = 1500 * time.Millisecond

func slow() fake.Faults { return fake.Faults{Slow: int(slowly / time.Millisecond)} }

// waitRun waits until a key has begun to run.
func (c *cluster) waitRun(upstream, key string) {
	c.t.Helper()
	eventually(c.t, "run of the key", func() bool { return c.upstreams[upstream].Counts()[key] > 0 })
}

func TestWholePath(t *testing.T) {
	c := newCluster(t, 2)
	t.Run("pipeline", func(t *testing.T) {
		if err := c.stream(0, "a"); err != nil {
			t.Error(err)
		}
	})
	t.Run("filing and its repeat at another node", func(t *testing.T) {
		key := newKey()
		c.mustFile(0, "filing", key, wire.Done)
		c.mustFile(1, "filing", key, wire.Done)
		c.checkOnce("filing-0", key, 1)
	})
	t.Run("filing without a key", func(t *testing.T) {
		a, err := c.client.Send(context.Background(), c.nodes[0].callers, client.Request{Service: "filing", Input: "x"})
		if err != nil || a.Outcome != wire.NotRun {
			t.Errorf("answer is %+v, %v", a, err)
		}
	})
	t.Run("key with another body", func(t *testing.T) {
		key := newKey()
		c.mustFile(0, "filing", key, wire.Done)
		a, err := c.client.Send(context.Background(), c.nodes[1].callers, client.Request{Service: "filing", Input: "other", Key: key})
		if err != nil || a.Outcome == wire.Done || !strings.Contains(a.Error, "another body") {
			t.Errorf("answer is %+v, %v", a, err)
		}
		c.checkOnce("filing-0", key, 1)
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
				t.Errorf("%s answers %s", addr, r.Status)
			}
		}
	})
}

func TestTerminate(t *testing.T) {
	c := newCluster(t, 2)
	streams := make(chan error, 4)
	for range cap(streams) {
		go func() { streams <- c.stream(0, "terminate") }()
	}
	key := newKey()
	c.upstreams["filing-0"].SetFaults(slow())
	filed := make(chan wire.Answer, 1)
	go func() {
		a, _ := c.file(0, "filing", key)
		filed <- a
	}()
	c.upstreamBusy("generate-0")
	c.nodes[0].signal(syscall.SIGTERM)
	for range cap(streams) {
		if err := <-streams; err != nil {
			t.Errorf("stream was cut: %v", err)
		}
	}
	if a := <-filed; a.Outcome != wire.Done {
		t.Errorf("filing ended with %+v", a)
	}
	<-c.nodes[0].exited
	if code := c.nodes[0].command.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit status is %d", code)
	}
	c.mustFile(1, "filing", key, wire.Done)
	c.checkOnce("filing-0", key, 1)
}

// upstreamBusy waits until an upstream runs a call.
func (c *cluster) upstreamBusy(id string) {
	c.t.Helper()
	for _, h := range c.hosts {
		if h.ID != id {
			continue
		}
		eventually(c.t, id+" being busy", func() bool {
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

func TestKilledHolder(t *testing.T) {
	c := newCluster(t, 2)
	t.Run("unknown for ever", func(t *testing.T) {
		key := newKey()
		c.upstreams["filing-0"].SetFaults(fake.Faults{})
		c.hang("filing-0")
		go func() { _, _ = c.file(0, "filing", key) }()
		c.waitRun("filing-0", key)
		c.nodes[0].signal(syscall.SIGKILL)
		<-c.nodes[0].exited
		c.mustFile(1, "filing", key, wire.Unknown)
		c.mustFile(1, "filing", key, wire.Unknown)
		c.checkOnce("filing-0", key, 1)
	})
	t.Run("resolved where the upstream checks", func(t *testing.T) {
		c.nodes[0].start()
		c.nodes[0].waitReady()
		eventually(t, "rules", func() bool { return c.nodes[0].rulesVersion() > 0 })
		key := newKey()
		c.hang("fee-0")
		go func() { _, _ = c.file(0, "fee", key) }()
		c.waitRun("fee-0", key)
		c.nodes[0].signal(syscall.SIGKILL)
		<-c.nodes[0].exited
		eventually(t, "result of the fee", func() bool {
			a, err := c.file(1, "fee", key)
			return err == nil && a.Outcome == wire.Done
		})
		c.checkOnce("fee-0", key, 1)
	})
}

// hang makes the answers of a service take long, but its runs begin at once.
func (c *cluster) hang(id string) { c.upstreams[id].SetLatency(slowly) }

func TestFrozenHolder(t *testing.T) {
	c := newCluster(t, 2)
	key := newKey()
	c.hang("filing-0")
	first := make(chan wire.Answer, 1)
	go func() {
		a, _ := c.file(0, "filing", key)
		first <- a
	}()
	c.waitRun("filing-0", key)
	c.nodes[0].signal(syscall.SIGSTOP)
	c.mustFile(1, "filing", key, wire.Unknown)
	c.nodes[0].signal(syscall.SIGCONT)
	<-first
	eventually(t, "result at the other node", func() bool {
		a, err := c.file(1, "filing", key)
		return err == nil && a.Outcome == wire.Done
	})
	c.checkOnce("filing-0", key, 1)
}

func TestPlatformDown(t *testing.T) {
	c := newCluster(t, 2)
	bound, err := c.client.NewKey(context.Background(), c.nodes[0].callers)
	if err != nil {
		t.Fatal(err)
	}
	c.platform.SetFaults(fake.Faults{Down: true})
	t.Run("filing is refused with when to come back", func(t *testing.T) {
		key := newKey()
		a := c.mustFile(0, "filing", key, wire.Unknown)
		if a.Dispatched || a.RetryAfter == 0 {
			t.Errorf("answer is %+v", a)
		}
		c.checkOnce("filing-0", key, 0)
	})
	t.Run("pipelines go on", func(t *testing.T) {
		if err := c.stream(1, "outage"); err != nil {
			t.Error(err)
		}
	})
	t.Run("a key that a node has issued runs, also by way of another", func(t *testing.T) {
		c.mustFile(1, "filing", bound, wire.Done)
		c.mustFile(0, "filing", bound, wire.Done)
		c.checkOnce("filing-0", bound, 1)
	})
	t.Run("a new node gets the rules from the others", func(t *testing.T) {
		n := c.addNode("entry-new")
		n.start()
		n.waitReady()
		eventually(t, "rules", func() bool { return n.rulesVersion() == c.nodes[0].rulesVersion() })
		if err := c.stream(2, "new node"); err != nil {
			t.Error(err)
		}
	})
	t.Run("a leaving upstream gets nothing new after the bound", func(t *testing.T) {
		c.upstreams["status-0"].SetFaults(fake.Faults{Leaving: true})
		time.Sleep(leavingBound)
		before := len(c.upstreams["status-0"].Counts())
		for range 20 {
			if a, err := c.file(0, "status", newKey()); err != nil || a.Outcome != wire.NotRun {
				t.Errorf("answer is %+v, %v", a, err)
			}
		}
		if after := len(c.upstreams["status-0"].Counts()); after != before {
			t.Errorf("leaving upstream got %d calls", after-before)
		}
	})
	c.platform.SetFaults(fake.Faults{})
	t.Run("filing runs after the outage", func(t *testing.T) {
		key := newKey()
		eventually(t, "filing", func() bool {
			a, err := c.file(0, "filing", key)
			return err == nil && a.Outcome == wire.Done
		})
		c.checkOnce("filing-0", key, 1)
	})
}

// leavingBound is the stated bound after which a leaving host gets no new work.
const leavingBound = 2 * time.Second

func TestPlatformLosesAnswers(t *testing.T) {
	c := newCluster(t, 2)
	c.platform.SetFaults(fake.Faults{Lose: 0.4})
	for i := range 10 {
		key := newKey()
		for range 3 {
			if a, err := c.file(i%2, "filing", key); err == nil && a.Outcome == wire.Done {
				break
			}
		}
		c.checkOnce("filing-0", key, -1)
	}
	change := &rules.Change{ID: "lost", Who: "test", Edits: []rules.Edit{{Kind: "stage", Name: "extra", Text: "stage extra kind=encoder # test"}}}
	v := c.nodes[0].change(change)
	if again := c.nodes[1].change(change); !v.Accepted || again.Version != v.Version {
		t.Errorf("verdicts are %+v and %+v", v, again)
	}
	change.ID = "race"
	if v := c.nodes[1].change(change); v.Accepted || len(v.Conflicts) != 1 {
		t.Errorf("change from an old version has the verdict %+v", v)
	}
}

func TestSilentConnections(t *testing.T) {
	c := newCluster(t, 1)
	if err := c.stream(0, "warm up"); err != nil {
		t.Fatal(err)
	}
	t.Run("upstream, during a stream", func(t *testing.T) {
		done := make(chan error, 1)
		go func() { done <- c.stream(0, "silent") }()
		c.upstreamBusy("generate-0")
		c.upstreams["generate-0"].SetFaults(fake.Faults{Stall: 5})
		time.Sleep(100 * time.Millisecond)
		c.upstreams["generate-0"].SetFaults(fake.Faults{})
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Run("upstream, idle connections", func(t *testing.T) {
		for _, id := range []string{"encode-0", "retrieve-0", "generate-0"} {
			c.upstreams[id].Silence()
		}
		if err := c.stream(0, "silent idle"); err != nil {
			t.Error(err)
		}
	})
	t.Run("platform", func(t *testing.T) {
		c.platform.Silence()
		key := newKey()
		eventually(t, "filing", func() bool {
			a, err := c.file(0, "filing", key)
			return err == nil && a.Outcome == wire.Done
		})
		c.checkOnce("filing-0", key, 1)
	})
}

func TestCrossedReplies(t *testing.T) {
	c := newCluster(t, 1)
	for _, id := range []string{"encode-0", "retrieve-0"} {
		c.upstreams[id].SetFaults(fake.Faults{Cross: 0.3})
	}
	answered := 0
	for range 20 {
		a, err := c.client.Send(context.Background(), c.nodes[0].callers, client.Request{Pipeline: "drafts", Input: "crossed", Tokens: 2})
		if err != nil {
			t.Fatal(err)
		}
		want := fake.Generated(fake.Output("retriever", fake.Output("encoder", "crossed")), 2)
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

// TestTerminateTwice terminates a node while something else is wrong as well.
func TestTerminateTwice(t *testing.T) {
	c := newCluster(t, 2)
	t.Run("during a publish before a slow platform", func(t *testing.T) {
		c.platform.SetFaults(fake.Faults{Slow: 600})
		verdict := make(chan rules.Verdict, 1)
		go func() {
			verdict <- c.nodes[0].change(&rules.Change{ID: "late", Who: "test", Edits: []rules.Edit{
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
			go func() { streams <- c.stream(1, "terminate twice") }()
		}
		c.upstreamBusy("generate-0")
		c.nodes[1].signal(syscall.SIGTERM)
		for range cap(streams) {
			if err := <-streams; err != nil {
				t.Errorf("stream was cut: %v", err)
			}
		}
		<-c.nodes[1].exited
		if code := c.nodes[1].command.ProcessState.ExitCode(); code != 0 {
			t.Errorf("exit status is %d", code)
		}
	})
}

// TestFrozenNode freezes the node that a caller's stream goes through.
func TestFrozenNode(t *testing.T) {
	c := newCluster(t, 1)
	done := make(chan error, 1)
	go func() { done <- c.stream(0, "frozen") }()
	c.upstreamBusy("generate-0")
	c.nodes[0].signal(syscall.SIGSTOP)
	time.Sleep(slowly)
	c.nodes[0].signal(syscall.SIGCONT)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
