package core

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"teaselplank/ledger"
	"teaselplank/member"
	"teaselplank/pipe"
	"teaselplank/rules"
	"teaselplank/wire"
)

// find returns the first effect of type E.
func find[E any](effects []Effect) (e E, ok bool) {
	for _, effect := range effects {
		if e, ok = effect.(E); ok {
			return e, true
		}
	}
	return e, false
}

// mustFind returns the first effect of type E. The test fails if there is none.
func mustFind[E any](t *testing.T, effects []Effect) E {
	t.Helper()
	e, ok := find[E](effects)
	if !ok {
		t.Fatalf("no effect of type %T among %+v", e, effects)
	}
	return e
}

// newFilingNode returns a ready node with a service whose calls must run at most once,
// and with the given number of live peers.
func newFilingNode(t *testing.T, peers int) (*Node, time.Time) {
	t.Helper()
	n, now := newBenchNode(t, 2, peers)
	data, err := rules.EncodeChange(&rules.Change{ID: "filing", Edits: []rules.Edit{
		{Kind: rules.KindService, Name: "filing", Text: "service filing repeat=never deadline=3s # x"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	n.Step(now, StreamRead{rules.Stream, wire.Page{End: 2, Records: []wire.Record{{Offset: 1, Data: data}}}})
	hosts := append(n.Group().Hosts(), wire.Host{ID: "filing-0", Incarnation: "1", Role: "upstream", Pool: "filing", Zone: "zone-a", Addr: "f"})
	n.Step(now, member.HostsListed{Hosts: hosts})
	return n, now
}

// keyAt returns a key that was issued at the given time.
func keyAt(at time.Time, number int) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, number)
}

func filing(id, key string) CallArrived {
	return CallArrived{Call{ID: id, Account: "a", Service: "filing", Input: "secret text", Key: key}}
}

// TestOwners checks that a node forwards a call to the owner of its key at most once,
// and submits it to its own ledger if the owner does not answer.
func TestOwners(t *testing.T) {
	n, now := newFilingNode(t, 30)
	forwarded := ""
	var effects []Effect
	for i := 0; forwarded == ""; i++ {
		effects = n.Step(now, filing(fmt.Sprint("c", i), keyAt(now, i)))
		if f, ok := find[Forward](effects); ok {
			forwarded = f.Call.ID
			if f.Node == "entry-0" || f.Addr == "" {
				t.Errorf("call is forwarded to %+v, want another node with an address", f)
			}
		}
	}
	t.Run("owner does not answer", func(t *testing.T) {
		effects := n.Step(now.Add(time.Second), ForwardFailed{forwarded})
		if a := mustFind[ledger.Append](t, effects); a.Entries[len(a.Entries)-1].Attempt != forwarded {
			t.Errorf("append is %+v, want the claim of the forwarded call as its last entry", a)
		}
	})
	t.Run("forwarded call is not forwarded again", func(t *testing.T) {
		for i := range 20 {
			a := filing(fmt.Sprint("f", i), keyAt(now, 1000+i))
			a.Call.Forwarded = true
			if f, ok := find[Forward](n.Step(now, a)); ok {
				t.Fatalf("call is forwarded again, to %s", f.Node)
			}
		}
	})
	t.Run("owner answers", func(t *testing.T) {
		for i := 2000; ; i++ {
			f, ok := find[Forward](n.Step(now, filing(fmt.Sprint("c", i), keyAt(now, i))))
			if !ok {
				continue
			}
			r := mustFind[Reply](t, n.Step(now, ForwardAnswered{f.Call.ID, wire.Answer{Request: f.Call.ID, Outcome: wire.Done, Output: "x"}, 200}))
			if r.Answer.Output != "x" || r.Status != 200 {
				t.Errorf("reply is %+v, want the owner's answer", r)
			}
			return
		}
	})
}

// TestBoundKeys checks that a call whose key is bound to a node runs on that node only,
// and has an unknown outcome if that incarnation of the node has ended.
func TestBoundKeys(t *testing.T) {
	n, now := newFilingNode(t, 3)
	t.Run("issued by a live node", func(t *testing.T) {
		f := mustFind[Forward](t, n.Step(now, filing("a", ledger.BindKey(keyAt(now, 1), "entry-2", "1"))))
		if f.Node != "entry-2" {
			t.Errorf("call is forwarded to %s, want entry-2", f.Node)
		}
	})
	t.Run("issued by an earlier incarnation", func(t *testing.T) {
		r := mustFind[Reply](t, n.Step(now, filing("b", ledger.BindKey(keyAt(now, 2), "entry-2", "0"))))
		if r.Answer.Outcome != wire.Unknown || r.Answer.Dispatched || r.Answer.RetryAfter == 0 {
			t.Errorf("reply is %+v, want an unknown outcome without a dispatch and with a retry delay", r)
		}
	})
	t.Run("issued by this node", func(t *testing.T) {
		c := mustFind[pipe.Call](t, n.Step(now, filing("c", ledger.BindKey(keyAt(now, 3), "entry-0", "1"))))
		r := mustFind[Reply](t, n.Step(now, pipe.Replied{Ref: c.Ref, Output: "receipt", Status: 201}))
		if r.Answer.Outcome != wire.Done || r.Status != 201 {
			t.Errorf("reply is %+v, want outcome done with status 201", r)
		}
	})
}

// TestPipelineKey checks that a pipeline call with a known key gets the recorded
// result, and that a pipeline call runs without the ledger during an outage of the log.
func TestPipelineKey(t *testing.T) {
	n, now := newFilingNode(t, 0)
	call := func(id, key string) CallArrived {
		return CallArrived{Call{ID: id, Account: "a", Pipeline: "p", Input: "x", Key: key}}
	}
	key := keyAt(now, 1)
	a := mustFind[ledger.Append](t, n.Step(now, call("a", key)))
	data, err := ledger.EncodeBatch(a.Entries)
	if err != nil {
		t.Fatal(err)
	}
	n.Step(now, ledger.Appended{Shard: a.Shard, Batch: a.Batch})
	effects := n.Step(now, ledger.PageRead{Shard: a.Shard, Page: wire.Page{End: 1, Records: []wire.Record{{Time: now, Data: data}}}})
	for range 3 {
		c := mustFind[pipe.Call](t, effects)
		effects = n.Step(now, pipe.Replied{Ref: c.Ref, Output: "y", Status: 200})
	}
	if r := mustFind[Reply](t, effects); r.Answer.Outcome != wire.Done || r.Answer.Output != "y" {
		t.Errorf("reply is %+v, want outcome done with output y", r)
	}
	now = now.Add(time.Second)
	resultAppend := mustFind[ledger.Append](t, n.Step(now, Tick{}))
	if data, err = ledger.EncodeBatch(resultAppend.Entries); err != nil {
		t.Fatal(err)
	}
	n.Step(now, ledger.PageRead{Shard: resultAppend.Shard, Page: wire.Page{End: 2, Records: []wire.Record{{Offset: 1, Time: now, Data: data}}}})
	if r := mustFind[Reply](t, n.Step(now, call("b", key))); !r.Replayed || r.Answer.Output != "y" {
		t.Errorf("reply is %+v, want the replayed output y", r)
	}
	if !n.Drained() && n.Runner().Len() > 0 {
		t.Errorf("calls are still in flight: %+v", n.Dump(now).Calls)
	}

	t.Run("log outage", func(t *testing.T) {
		now := now.Add(time.Minute)
		a := mustFind[ledger.Append](t, n.Step(now, call("c", keyAt(now, 2))))
		for range 10 {
			now = now.Add(300 * time.Millisecond)
			effects := n.Step(now, ledger.AppendFailed{Shard: a.Shard, Batch: a.Batch})
			if _, ok := find[pipe.Call](effects); ok {
				return
			}
			if again, ok := find[ledger.Append](effects); ok {
				a = again
				continue
			}
			now = now.Add(300 * time.Millisecond)
			a = mustFind[ledger.Append](t, n.Step(now, Tick{}))
		}
		t.Error("pipeline does not run during the outage")
	})
}

func TestRejectedCalls(t *testing.T) {
	n, now := newFilingNode(t, 0)
	tests := []struct {
		name   string
		call   Call
		status int
	}{
		{"unknown service", Call{Service: "x"}, 404},
		{"unknown pipeline", Call{Pipeline: "x"}, 404},
		{"missing key", Call{Service: "filing"}, 400},
		{"malformed key", Call{Service: "filing", Key: "x"}, 400},
		{"future key", Call{Service: "filing", Key: keyAt(now.Add(time.Hour), 1)}, 400},
		{"expired key", Call{Service: "filing", Key: keyAt(now.Add(-48*time.Hour), 1)}, 410},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.call.ID = test.name
			r := mustFind[Reply](t, n.Step(now, CallArrived{test.call}))
			if r.Status != test.status || r.Answer.Outcome == wire.Done || r.Answer.Error == "" || r.Answer.Dispatched {
				t.Errorf("reply is %+v, want a rejection with the test's status and no dispatch", r)
			}
		})
	}
	t.Run("node without rules", func(t *testing.T) {
		r := mustFind[Reply](t, New(DefaultConfig()).Step(now, filing("x", keyAt(now, 9))))
		if r.Status != 503 || r.Answer.Outcome != wire.NotRun || r.Answer.RetryAfter == 0 {
			t.Errorf("reply is %+v, want status 503, outcome not_run and a retry delay", r)
		}
	})
}

// TestDump checks that a dump shows the calls in flight but not their input.
func TestDump(t *testing.T) {
	n, now := newFilingNode(t, 1)
	n.Step(now, filing("a", keyAt(now, 1)))
	data, err := json.Marshal(n.Dump(now))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(data), `"service":"filing"`) || strings.Contains(string(data), "secret text") {
		t.Errorf("dump is %s, want the call in flight without its input", data)
	}
}

// TestRulesFromPeer checks that a node whose peer has newer rules reads the log first,
// and fetches the peer's state only if the log does not deliver the rules in time.
func TestRulesFromPeer(t *testing.T) {
	n, now := newFilingNode(t, 1)
	receiveDigest := func(now time.Time, heartbeat uint64) []Effect {
		return n.Step(now, member.DigestReceived{Digest: member.Digest{From: member.Node{ID: "entry-1", Incarnation: "1", Addr: "entry-1", Heartbeat: heartbeat, Version: 99}}})
	}
	effects := receiveDigest(now, 10)
	if r := mustFind[ReadStream](t, effects); r.Stream != rules.Stream {
		t.Errorf("stream %q is read first, want the rules stream", r.Stream)
	}
	if f, ok := find[FetchState](effects); ok {
		t.Errorf("state is fetched before peerFetchDelay has passed: %+v", f)
	}
	mustFind[FetchState](t, receiveDigest(now.Add(peerFetchDelay), 11))
}
