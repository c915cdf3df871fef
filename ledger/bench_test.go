package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"teaselplank/wire"
)

// BenchmarkFold measures folding a claim and its result, as every node that
// follows a shard does, and the heap that a key keeps.
func BenchmarkFold(b *testing.B) {
	w := newWorld(1, false)
	l := w.nodes[0].ledger
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	bytes := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := Key{"kingston", fmt.Sprintf("01a3185c-5000-7000-8000-%012d", i)}
		data, err := EncodeBatch([]Entry{
			{Kind: Claim, Key: k, Attempt: "2f1c7f0e-8a53-4f0e-9a51-0d6c6a1f7e11", Digest: Digest("filing", nil)},
			{Kind: Record, Key: k, Attempt: "2f1c7f0e-8a53-4f0e-9a51-0d6c6a1f7e11", Digest: Digest("filing", nil), Result: &Result{200, "receipt of a filing"}},
		})
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(data)
		l.Step(w.now, Folded{0, wire.Page{Records: []wire.Record{{Offset: int64(i), Time: w.now, Data: data}}}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(bytes), "log-B/key")
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(b.N), "heap-B/key")
	runtime.KeepAlive(l)
}

// BenchmarkCall measures a whole call that must not repeat through one ledger:
// claim, append, read, dispatch, result, append.
func BenchmarkCall(b *testing.B) {
	w := newWorld(1, false)
	n := w.nodes[0]
	appends := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w.log, w.first = nil, n.ledger.shards[0].next
		w.now = w.now.Add(25 * time.Millisecond)
		w.submit(n, Key{"kingston", w.uuid7()}, "d")
		for range 3 {
			for len(n.pending) > 0 {
				op := n.take(0)
				if _, ok := op.effect.(Append); ok {
					appends++
				}
				w.step(n, w.takeEffect(op.effect, n.attempts))
			}
			w.now = w.now.Add(25 * time.Millisecond)
			w.step(n, Tick{})
		}
	}
	b.ReportMetric(float64(appends)/float64(b.N), "appends/call")
}
