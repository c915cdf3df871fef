package fleet

import (
	"fmt"
	"testing"
	"time"
)

// A span is a gap in a node's view, counted from start.
type span struct{ from, until time.Duration }

func wantExpiry(t *testing.T, o *Outages, s span, want bool) {
	t.Helper()
	if got := o.Add(start.Add(s.from), start.Add(s.until)); got != want {
		t.Errorf("a lease may have expired by %s: %t, want %t", s.until, got, want)
	}
}

// A lease lasts for three heartbeats, and an upstream that is not late has renewed it within one, so
// that nothing expires while the store is away for less than the time of another.
func TestOutages(t *testing.T) {
	for _, heartbeat := range []time.Duration{0, 400 * time.Millisecond, 5 * time.Second} {
		lease := Lease{Heartbeat: heartbeat}
		h := lease.Length() / leaseHeartbeats
		for _, c := range []struct {
			name  string
			spans []span
			want  bool
		}{
			{"a call has failed and the next one has not", []span{{0, h / 2}}, false},
			{"away for one heartbeat", []span{{0, h}}, false},
			{"away for two heartbeats", []span{{0, 2 * h}}, true},
			{"away for a lease", []span{{0, lease.Length()}}, true},
			{"away twice, for a heartbeat each, within a lease", []span{{0, h}, {h + h/4, 2*h + h/4}}, true},
			{"away twice, for a heartbeat each, more than a lease apart", []span{{0, h}, {5 * h, 6 * h}}, false},
			{"an outage long ago", []span{{0, 10 * h}, {20 * h, 20*h + h/2}}, false},
		} {
			t.Run(fmt.Sprintf("%s, heartbeat %s", c.name, h), func(t *testing.T) {
				o := Outages{Lease: lease}
				last := len(c.spans) - 1
				for _, s := range c.spans[:last] {
					o.Add(start.Add(s.from), start.Add(s.until))
				}
				wantExpiry(t, &o, c.spans[last], c.want)
			})
		}
	}
}

// A node of which calls keep failing keeps only the gaps of the last lease.
func TestOutagesAreBounded(t *testing.T) {
	var o Outages
	const step = 10 * time.Millisecond
	for i := range 100_000 {
		at := time.Duration(i) * step
		o.Add(start.Add(at), start.Add(at))
	}
	if most := int(o.Lease.Length()/step) + 2; len(o.gaps) > most {
		t.Errorf("%d gaps are kept, want %d at most", len(o.gaps), most)
	}
}
