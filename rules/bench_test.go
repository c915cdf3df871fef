package rules

import (
	"fmt"
	"testing"

	"teaselplank/wire"
)

// newLargeReplica returns a replica with the given number of accounts.
func newLargeReplica(tb testing.TB, accounts int) *Replica {
	tb.Helper()
	c := &Change{ID: "all"}
	for i := range accounts {
		name := fmt.Sprint("a", i)
		c.Edits = append(c.Edits, Edit{Kind: KindAccount, Name: name, Text: fmt.Sprintf("account %s weight=1 token=sha256:%064x # x", name, i)})
	}
	r := fold(c)
	if r.Version() != 1 {
		tb.Fatal("rules were refused")
	}
	return r
}

// BenchmarkChange measures folding a change to one rule for several numbers of rules.
func BenchmarkChange(b *testing.B) {
	for _, accounts := range []int{100, 600, 1200} {
		b.Run(fmt.Sprint("rules=", accounts), func(b *testing.B) {
			replica := newLargeReplica(b, accounts)
			b.ReportAllocs()
			size := 0
			for i := 0; b.Loop(); i++ {
				data, err := EncodeChange(&Change{ID: fmt.Sprint(i), Base: replica.Version(), Edits: []Edit{{
					Kind: KindAccount, Name: "a0", Base: replica.lines[ID{KindAccount, "a0"}].version,
					Text: fmt.Sprintf("account a0 weight=%d token=sha256:%064x # x", i%9+1, 0),
				}}})
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				next := replica.Next()
				replica.Fold(wire.Page{Records: []wire.Record{{Offset: next, Data: data}}})
				if replica.Version() != next+1 {
					b.Fatal("change was refused")
				}
			}
			b.ReportMetric(float64(size), "record-B")
			data, err := EncodeCheckpoint(replica.Snapshot())
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "checkpoint-B")
		})
	}
}
