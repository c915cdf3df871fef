package infra

import "testing"

func TestCursor(t *testing.T) {
	var c Cursor
	wantWhole := func(want bool) {
		t.Helper()
		if c.Whole() != want {
			t.Fatalf("next read is whole: %v, want %v", c.Whole(), want)
		}
	}
	wantApplied := func(p Page, want bool) {
		t.Helper()
		if got := c.Advance(p); got != want {
			t.Fatalf("page %+v is applied: %v, want %v", p, got, want)
		}
	}
	wantWhole(true)
	wantApplied(Page{Next: 10, Epoch: 1}, true)
	wantWhole(false)
	wantApplied(Page{Next: 12, Epoch: 1}, true)
	if c.Next() != 12 {
		t.Errorf("next offset is %d, want 12", c.Next())
	}
	// The store is restored, and offset 12 lies within the restored log.
	wantApplied(Page{Next: 14, Epoch: 2}, false)
	wantWhole(true)
	wantApplied(Page{Next: 15, Epoch: 2}, true)
	wantWhole(false)
	c.Reset()
	wantWhole(true)
}
