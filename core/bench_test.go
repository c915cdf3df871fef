package core

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"teaselplank/member"
	"teaselplank/pipe"
	"teaselplank/rules"
	"teaselplank/wire"
)

// newBenchNode returns a ready node with the rules of one pipeline, the given number
// of workers in each pool, and the given number of peers.
func newBenchNode(tb testing.TB, workers, peers int) (*Node, time.Time) {
	tb.Helper()
	now := time.Unix(1_800_000_000, 0)
	config := DefaultConfig()
	config.Member.Self = member.Node{ID: "entry-0", Incarnation: "1", Addr: "entry-0", Zone: "zone-a"}
	config.Route.Node, config.Route.Zone = "entry-0", "zone-a"
	config.Ledger.Node, config.Ledger.Incarnation = "entry-0", "1"
	n := New(config)
	var hosts []wire.Host
	var edits []rules.Edit
	for _, stage := range []string{"encoder", "retriever", "reranker"} {
		edits = append(edits, rules.Edit{Kind: rules.KindStage, Name: stage, Text: fmt.Sprintf("stage %s kind=%s hedge=no # x", stage, stage)})
		for i := range workers {
			hosts = append(hosts, wire.Host{ID: fmt.Sprintf("%s-%d", stage, i), Incarnation: "1", Role: "upstream", Pool: stage, Zone: "zone-a", Addr: "a"})
		}
	}
	edits = append(edits, rules.Edit{Kind: rules.KindPipeline, Name: "p", Text: "pipeline p stages=encoder,retriever,reranker deadline=5s # x"})
	data, err := rules.EncodeChange(&rules.Change{ID: "x", Edits: edits})
	if err != nil {
		tb.Fatal(err)
	}
	n.Step(now, StreamRead{rules.Stream, wire.Page{End: 1, Records: []wire.Record{{Data: data}}}})
	n.Step(now, member.HostsListed{Hosts: hosts})
	for _, h := range hosts {
		n.Step(now, LoadReported{h.ID, wire.Load{Slots: 1 << 16}})
	}
	for i := range peers {
		id := fmt.Sprintf("entry-%d", i+1)
		n.Step(now, member.DigestReceived{Digest: member.Digest{From: member.Node{ID: id, Incarnation: "1", Addr: id, Heartbeat: 1, Version: 1}}})
	}
	if n.Unready() != "" {
		tb.Fatal(n.Unready())
	}
	return n, now
}

// runRequest runs one pipeline request and returns the number of its events.
func runRequest(tb testing.TB, n *Node, now time.Time, id string) int {
	events := 1
	effects := n.Step(now, CallArrived{Call{ID: id, Account: "a", Pipeline: "p", Input: "x"}})
	for {
		var call *pipe.Call
		for _, e := range effects {
			switch e := e.(type) {
			case pipe.Call:
				call = &e
			case Reply:
				if e.Answer.Outcome != wire.Done {
					tb.Fatalf("answer is %+v", e)
				}
				return events
			}
		}
		if call == nil {
			tb.Fatal("no call and no reply")
		}
		effects = n.Step(now, pipe.Replied{Ref: call.Ref, Output: "y", Status: 200, Work: 1})
		events++
	}
}

// BenchmarkRequest measures pipeline requests of three stages, from the call to the
// reply.
func BenchmarkRequest(b *testing.B) {
	for _, workers := range []int{8, 1000} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			n, now := newBenchNode(b, workers, 8)
			ids := make([]string, 1024)
			for i := range ids {
				ids[i] = fmt.Sprint("call-", i)
			}
			b.ReportAllocs()
			events := 0
			for i := 0; b.Loop(); i++ {
				now = now.Add(100 * time.Microsecond)
				events += runRequest(b, n, now, ids[i%len(ids)])
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// heapOf returns the heap size in bytes of the value that create returns.
func heapOf(create func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := create()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkHeap measures the heap size of a node by the number of workers, peers and
// calls in flight.
func BenchmarkHeap(b *testing.B) {
	tests := []struct{ workers, peers, calls int }{
		{8, 8, 0}, {1000, 8, 0}, {8, 440, 0}, {8, 8, 2000},
	}
	for _, test := range tests {
		b.Run(fmt.Sprintf("workers=%d/peers=%d/calls=%d", 3*test.workers, test.peers, test.calls), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(heapOf(func() any {
					n, now := newBenchNode(b, test.workers, test.peers)
					for i := range test.calls {
						n.Step(now, CallArrived{Call{ID: fmt.Sprint("call-", i), Account: "a", Pipeline: "p", Input: "x"}})
					}
					return n
				}), "heap-B")
			}
		})
	}
}

// BenchmarkHosts measures the processing of a host list by its length.
func BenchmarkHosts(b *testing.B) {
	for _, workers := range []int{100, 1000} {
		b.Run(fmt.Sprint("upstreams=", 3*workers), func(b *testing.B) {
			n, now := newBenchNode(b, workers, 8)
			hosts := n.Group().Hosts()
			for b.Loop() {
				n.Step(now, member.HostsListed{Hosts: hosts})
			}
		})
	}
}
