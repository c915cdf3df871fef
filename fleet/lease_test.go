package fleet

import (
	"fmt"
	"testing"
	"time"
)

// A span is a gap in a node's view, counted from start.
type span struct{ from, until time.Duration }

func (s span) gap() Gap { return Gap{start.Add(s.from), start.Add(s.until)} }

func wantExpiry(t *testing.T, o *Outages, s span, want bool) {
	t.Helper()
	if got := o.Add(s.gap()); got != want {
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
					o.Add(s.gap())
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
		o.Add(Gap{start.Add(at), start.Add(at)})
	}
	if most := int(o.Lease.Length()/step) + 2; len(o.gaps) > most {
		t.Errorf("%d gaps are kept, want %d at most", len(o.gaps), most)
	}
}

// What another node has read shows that the store served, but only as far as that node had a view
// without an outage of its own.
func TestOutagesSeenByAnotherNode(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name  string
		gaps  []span
		other span
		want  bool
	}{
		{"the other node has read all the while", []span{{0, 3 * second}}, span{-5 * second, 3 * second}, false},
		{"its last read is a little older", []span{{0, 3 * second}}, span{-5 * second, 2 * second}, false},
		{"its last read is as old as this node's", []span{{0, 3 * second}}, span{-5 * second, 0}, true},
		{"its last read was before the outage", []span{{0, 3 * second}}, span{-5 * second, -second}, true},
		{"it has seen the end of the outage, too", []span{{0, 3 * second}}, span{2900 * time.Millisecond, 3 * second}, true},
		{"it has started in the gap", []span{{0, 3 * second}}, span{second, 3 * second}, true},
		{"it has seen the last of two gaps only", []span{{0, 1500 * time.Millisecond}, {2 * second, 3 * second}}, span{1800 * time.Millisecond, 3 * second}, false},
		{"it has seen the shorter one of two gaps only", []span{{0, 2 * second}, {2100 * time.Millisecond, 3 * second}}, span{2 * second, 3 * second}, true},
		{"its last read is later than this node's", []span{{0, 3 * second}}, span{-5 * second, 4 * second}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var o Outages
			for _, s := range c.gaps {
				o.Add(s.gap())
			}
			other := View{Since: start.Add(c.other.from), Until: start.Add(c.other.until)}
			if got := o.Narrow(other); got != c.want {
				t.Errorf("a lease may have expired: %t, want %t", got, c.want)
			}
		})
	}
}
