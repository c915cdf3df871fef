package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func process(n int) Process { return Process{ID: fmt.Sprint("u", n), Born: 1} }

// crash adds cases of all parts of a request at a process.
func crash(d *Detector, n int, w Weight, parts ...string) {
	for _, part := range parts {
		d.Add(start, Case{Part: part, Process: process(n), Weight: w})
	}
}

func wantMatch(t *testing.T, d *Detector, want bool, parts ...string) {
	t.Helper()
	if got := d.Match(start, parts); (got != nil) != want {
		t.Errorf("request with parts %q is held back for %q, want it held back: %v", parts, got, want)
	}
}

func TestMatch(t *testing.T) {
	t.Run("three processes that ended at the beginning of a response", func(t *testing.T) {
		var d Detector
		crash(&d, 1, Begun, "bad")
		crash(&d, 2, Begun, "bad")
		wantMatch(t, &d, false, "bad")
		crash(&d, 3, Begun, "bad")
		wantMatch(t, &d, true, "first", "bad")
		wantMatch(t, &d, false, "first")
	})
	t.Run("six processes while the request was waiting", func(t *testing.T) {
		var d Detector
		for i := range 5 {
			crash(&d, i, Waiting, "bad")
		}
		wantMatch(t, &d, false, "bad")
		crash(&d, 5, Waiting, "bad")
		wantMatch(t, &d, true, "bad")
	})
	t.Run("one process counts once", func(t *testing.T) {
		var d Detector
		for range 10 {
			crash(&d, 1, Begun, "bad")
		}
		wantMatch(t, &d, false, "bad")
	})
	t.Run("another start of an upstream is another process", func(t *testing.T) {
		var d Detector
		for born := range int64(3) {
			d.Add(start, Case{Part: "bad", Process: Process{ID: "u", Born: born}, Weight: Begun})
		}
		wantMatch(t, &d, true, "bad")
	})
	t.Run("parts that cannot be told apart", func(t *testing.T) {
		var d Detector
		for i := range 3 {
			crash(&d, i, Begun, "bad", "companion")
		}
		wantMatch(t, &d, true, "bad", "companion")
		wantMatch(t, &d, false, "companion", "other")
		crash(&d, 3, Begun, "bad", "other")
		wantMatch(t, &d, true, "bad")
		wantMatch(t, &d, false, "companion")
	})
	t.Run("a part that was only waiting explains no beginning response", func(t *testing.T) {
		var d Detector
		for i := range 4 {
			crash(&d, i, Waiting, "first")
		}
		for i := range 3 {
			crash(&d, i, Begun, "bad")
		}
		wantMatch(t, &d, true, "bad")
		wantMatch(t, &d, false, "first")
	})
	t.Run("a part that was waiting at many processes explains none either", func(t *testing.T) {
		var d Detector
		for i := range 6 {
			crash(&d, i, Waiting, "first")
		}
		for i := range 3 {
			crash(&d, i, Begun, "bad")
		}
		wantMatch(t, &d, true, "bad")
	})
	t.Run("a part that was waiting at the same processes", func(t *testing.T) {
		var d Detector
		for i := range 3 {
			crash(&d, i, Begun, "bad")
			crash(&d, i, Waiting, "first")
		}
		wantMatch(t, &d, true, "bad", "other")
	})
	t.Run("two parts", func(t *testing.T) {
		var d Detector
		for i := range 3 {
			crash(&d, i, Begun, "bad")
			crash(&d, 10+i, Begun, "worse")
		}
		wantMatch(t, &d, true, "bad")
		wantMatch(t, &d, true, "worse")
	})
}

func TestCompleted(t *testing.T) {
	t.Run("cases before a completed response do not count", func(t *testing.T) {
		var d Detector
		crash(&d, 1, Begun, "p")
		crash(&d, 2, Begun, "p")
		d.Completed(start, []string{"p"})
		crash(&d, 3, Begun, "p")
		wantMatch(t, &d, false, "p")
	})
	t.Run("a case that was refuted is not added again", func(t *testing.T) {
		var d Detector
		crash(&d, 1, Begun, "p")
		d.Completed(start, []string{"p"})
		crash(&d, 1, Begun, "p")
		if got := d.Weight("p"); got != 0 {
			t.Errorf("weight is %d, want 0", got)
		}
	})
	t.Run("many cases that were refuted are not added again", func(t *testing.T) {
		var d Detector
		for i := range 2 * maxCases {
			crash(&d, i, Begun, "p")
			d.Completed(start, []string{"p"})
		}
		for i := range 2 * maxCases {
			crash(&d, i, Begun, "p")
		}
		wantMatch(t, &d, false, "p")
	})
	t.Run("all of many refuted cases are refuted at other nodes", func(t *testing.T) {
		var d, other Detector
		for i := range 2 * maxCases {
			crash(&d, i, Begun, "p")
			crash(&other, i, Begun, "p")
			for _, c := range d.Completed(start, []string{"p"}) {
				other.Refute(start, c)
			}
		}
		for _, c := range d.Add(start, Case{Part: "p", Process: process(99), Weight: Waiting}) {
			other.Refute(start, c)
		}
		wantMatch(t, &other, false, "p")
	})
	t.Run("other nodes learn it once there is another case", func(t *testing.T) {
		var d Detector
		crash(&d, 1, Waiting, "p")
		if got := d.Completed(start, []string{"p"}); len(got) != 0 {
			t.Errorf("%d cases are refuted at once, want none", len(got))
		}
		if got := d.Add(start, Case{Part: "p", Process: process(2), Weight: Waiting}); len(got) != 1 || got[0].Process != process(1) {
			t.Errorf("refuted cases are %+v, want the first one", got)
		}
		if got := d.Add(start, Case{Part: "p", Process: process(3), Weight: Waiting}); len(got) != 0 {
			t.Errorf("%d cases are refuted again, want none", len(got))
		}
	})
	t.Run("other nodes learn at once that a part is sound which is about to be held back", func(t *testing.T) {
		var d, other Detector
		for i := range 3 {
			crash(&d, i, Begun, "p")
			crash(&other, i, Begun, "p")
		}
		refuted := d.Completed(start, []string{"p"})
		if len(refuted) != 3 {
			t.Errorf("%d cases are refuted, want 3", len(refuted))
		}
		for _, c := range refuted {
			other.Refute(start, c)
		}
		wantMatch(t, &d, false, "p")
		wantMatch(t, &other, false, "p")
	})
}

func TestExcuses(t *testing.T) {
	var d Detector
	d.Completed(start, []string{"p"})
	cases := []struct {
		name   string
		after  time.Duration
		weight Weight
		want   bool
	}{
		{"a moment later", soundTime / 2, Begun, true},
		{"later, at the beginning of its response", 2 * soundTime, Begun, false},
		{"later, while it was waiting", 2 * soundTime, Waiting, true},
		{"long after", KeepTime, Waiting, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := d.Excuses(start.Add(c.after), "p", c.weight); got != c.want {
				t.Errorf("part is excused: %v, want %v", got, c.want)
			}
		})
	}
	t.Run("never completed", func(t *testing.T) {
		if d.Excuses(start, "other", Waiting) {
			t.Error("a part is excused without a completed response")
		}
	})
}

func TestWithdraw(t *testing.T) {
	var d Detector
	for i := range 3 {
		crash(&d, i, Begun, "p")
	}
	d.Withdraw(process(2))
	wantMatch(t, &d, false, "p")
	if got := len(d.Cases()); got != 2 {
		t.Errorf("%d cases are left, want 2", got)
	}
}

// A part is forgotten once no request with it came for a long time, and not before.
func TestForgetting(t *testing.T) {
	held := func() *Detector {
		var d Detector
		for i := range 3 {
			crash(&d, i, Begun, "p")
		}
		return &d
	}
	t.Run("not seen", func(t *testing.T) {
		d := held()
		if got := d.Expire(start.Add(KeepTime), KeepTime); len(got) != 3 {
			t.Errorf("%d cases expire, want 3", len(got))
		}
		wantMatch(t, d, false, "p")
	})
	t.Run("seen in between", func(t *testing.T) {
		d := held()
		d.Match(start.Add(KeepTime/2), []string{"p"})
		if got := d.Expire(start.Add(KeepTime), KeepTime); len(got) != 0 {
			t.Errorf("%d cases expire, want none", len(got))
		}
		wantMatch(t, d, true, "p")
	})
	t.Run("forgotten elsewhere", func(t *testing.T) {
		d := held()
		c := Case{Part: "p", Process: process(1), Weight: Begun}
		if d.Forget(start.Add(KeepTime/2), c) {
			t.Error("a case is forgotten while the part is remembered here")
		}
		if !d.Forget(start.Add(KeepTime), c) || d.Weight("p") != 2*Begun {
			t.Errorf("weight is %d after one of 3 cases was forgotten", d.Weight("p"))
		}
	})
}

// What clients send does not make the memory grow without bound.
func TestBounds(t *testing.T) {
	var d Detector
	for i := range maxSuspects + 100 {
		d.Add(start.Add(time.Duration(i)), Case{Part: fmt.Sprint("p", i), Process: process(1), Weight: Waiting})
	}
	for i := range maxCases + 10 {
		crash(&d, i, Begun, "p")
	}
	if got := len(d.suspects); got > maxSuspects {
		t.Errorf("%d parts are suspected, want %d at most", got, maxSuspects)
	}
	if got := len(d.suspects["p"].cases); got > maxCases {
		t.Errorf("a part has %d cases, want %d at most", got, maxCases)
	}
	for i := range maxRefuted + 10 {
		d.Refute(start, Case{Part: "p", Process: process(i)})
	}
	if got := len(d.suspects["p"].refuted); got > maxRefuted {
		t.Errorf("a part has %d refuted cases, want %d at most", got, maxRefuted)
	}
}

// Many other parts must not displace one that requests are held back for.
func TestHeldPartDisplaced(t *testing.T) {
	var d Detector
	for i := range 3 {
		crash(&d, i, Begun, "bad")
	}
	for i := range 2 * maxSuspects {
		d.Add(start.Add(time.Second), Case{Part: fmt.Sprint("p", i), Process: process(9), Weight: Waiting})
	}
	wantMatch(t, &d, true, "bad")
	if got := len(d.suspects); got > maxSuspects {
		t.Errorf("%d parts are suspected, want %d at most", got, maxSuspects)
	}
}

// A record of another writer must not hold requests back by itself.
func TestCaseOfUnknownWeight(t *testing.T) {
	var d Detector
	for _, w := range []Weight{-1, Begun + 1, poisonWeight} {
		crash(&d, int(w), w, "p")
	}
	if got := len(d.Cases()); got != 0 {
		t.Errorf("%d cases of unknown weights are added, want none", got)
	}
	wantMatch(t, &d, false, "p")
}

// Whatever crashes upstreams, a request is held back only for parts that were in a crash,
// and a part that was in all crashes and never in a completed response is found.
func TestFindsPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Detector
		sound := []string{"a", "b", "c", "d"}
		crashed := make(map[string]bool)
		others := rapid.SliceOfDistinct(rapid.SampledFrom(sound), func(s string) string { return s })
		count := rapid.IntRange(3, maxCases).Draw(t, "crashes")
		for i := range count {
			parts := others.Draw(t, "parts")
			crash(&d, i, Begun, append(parts, "bad")...)
			for _, part := range parts {
				crashed[part] = true
			}
			if rapid.Bool().Draw(t, "completes") {
				d.Completed(start, others.Draw(t, "completed"))
			}
		}
		if d.Match(start, append(slices.Clone(sound), "bad")) == nil {
			t.Fatalf("the part is not found after %d crashes", count)
		}
		for _, part := range sound {
			if d.Match(start, []string{part}) != nil {
				t.Fatalf("part %q is held back by itself", part)
			}
			if !crashed[part] && d.Weight(part) > 0 {
				t.Fatalf("part %q has cases without a crash", part)
			}
		}
	})
}
