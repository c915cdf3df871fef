package rules

import (
	"fmt"
	"testing"

	"teaselplank/wire"
)

// largeBook returns a book with a number of accounts.
func largeBook(tb testing.TB, accounts int) *Book {
	tb.Helper()
	c := &Change{ID: "all"}
	for i := range accounts {
		name := fmt.Sprint("a", i)
		c.Edits = append(c.Edits, Edit{Kind: KindAccount, Name: name, Text: fmt.Sprintf("account %s weight=1 token=sha256:%064x # x", name, i)})
	}
	b := fold(c)
	if b.Version() != 1 {
		tb.Fatal("rules were refused")
	}
	return b
}

// BenchmarkChange measures folding a change of one rule by the number of rules.
func BenchmarkChange(b *testing.B) {
	for _, accounts := range []int{100, 600, 1200} {
		b.Run(fmt.Sprint("rules=", accounts), func(b *testing.B) {
			book := largeBook(b, accounts)
			b.ReportAllocs()
			size := 0
			for i := 0; b.Loop(); i++ {
				data, err := EncodeChange(&Change{ID: fmt.Sprint(i), Base: book.Version(), Edits: []Edit{{
					Kind: KindAccount, Name: "a0", Base: book.lines[ID{KindAccount, "a0"}].version,
					Text: fmt.Sprintf("account a0 weight=%d token=sha256:%064x # x", i%9+1, 0),
				}}})
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				next := book.Next()
				book.Fold(wire.Page{Records: []wire.Record{{Offset: next, Data: data}}})
				if book.Version() != next+1 {
					b.Fatal("change was refused")
				}
			}
			b.ReportMetric(float64(size), "record-B")
			data, err := EncodeCheckpoint(book.Snapshot())
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "checkpoint-B")
		})
	}
}
