package member

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// BenchmarkGossip measures the CPU time and the messages of one node per second of
// virtual time, by the number of nodes. The digest size is that of the JSON encoding,
// which is larger than the message on the wire.
func BenchmarkGossip(b *testing.B) {
	for _, nodes := range []int{8, 110, 440} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			n := newNetwork(nodes)
			n.advance(20 * time.Second)
			n.sent, n.entries = 0, 0
			seconds := 0
			for b.Loop() {
				n.advance(time.Second)
				seconds++
			}
			perNode := float64(seconds * nodes)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/perNode, "cpu-us/node-s")
			b.ReportMetric(2*float64(n.sent)/perNode, "messages/node-s")
			data, err := json.Marshal(n.groups[0].Digest())
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "digest-B")
		})
	}
}

// BenchmarkSpread measures how long a mark takes to reach all nodes.
func BenchmarkSpread(b *testing.B) {
	for _, nodes := range []int{8, 110, 440} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			for b.Loop() {
				n := newNetwork(nodes)
				n.advance(10 * time.Second)
				n.step(n.groups[0], MarkObserved{Mark{"w", "1"}})
				started := n.now
				for n.countMarked("w") < nodes {
					n.advance(time.Millisecond)
				}
				b.ReportMetric(float64(n.now.Sub(started).Milliseconds()), "virtual-ms")
			}
		})
	}
}
