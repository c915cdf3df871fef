package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"teaselplank/wire"
)

// BenchmarkFold measures the time to fold a claim and its result, which every node that
// follows a shard does, and the heap that a key occupies.
func BenchmarkFold(b *testing.B) {
	sim := newSimulation(1, false)
	l := sim.nodes[0].ledger
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	bytes := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := Key{"kingston", fmt.Sprintf("01a3185c-5000-7000-8000-%012d", i)}
		data, err := EncodeBatch([]Entry{
			{Kind: KindClaim, Key: k, Attempt: "2f1c7f0e-8a53-4f0e-9a51-0d6c6a1f7e11", Digest: Digest("filing", nil)},
			{Kind: KindResult, Key: k, Attempt: "2f1c7f0e-8a53-4f0e-9a51-0d6c6a1f7e11", Digest: Digest("filing", nil), Result: &Result{200, "receipt of a filing"}},
		})
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(data)
		l.Step(sim.now, PageRead{0, wire.Page{Records: []wire.Record{{Offset: int64(i), Time: sim.now, Data: data}}}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(bytes), "log-B/key")
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(b.N), "heap-B/key")
	runtime.KeepAlive(l)
}

// BenchmarkCall measures a complete at-most-once call through one ledger: claim, append,
// read, dispatch, result, append.
func BenchmarkCall(b *testing.B) {
	sim := newSimulation(1, false)
	n := sim.nodes[0]
	appends := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		sim.log, sim.first = nil, n.ledger.shards[0].next
		sim.now = sim.now.Add(25 * time.Millisecond)
		sim.submit(n, Key{"kingston", sim.uuid7()}, "d")
		for range 3 {
			for len(n.pending) > 0 {
				op := n.removePending(0)
				if _, ok := op.effect.(Append); ok {
					appends++
				}
				sim.step(n, sim.apply(op.effect, n.attempts))
			}
			sim.now = sim.now.Add(25 * time.Millisecond)
			sim.step(n, Tick{})
		}
	}
	b.ReportMetric(float64(appends)/float64(b.N), "appends/call")
}
