package fleet

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func TestRoute(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.example:80", "/x/y", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			got := ""
			if r := table.Route(c.host, c.path); r != nil {
				got = r.Name
			}
			if got != c.want {
				t.Errorf("route is %q, want %q", got, c.want)
			}
		})
	}
}

func TestTarget(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	counts := make(map[string]int)
	for i := range 2000 {
		id := string(rune('a'+i%26)) + start.Add(time.Duration(i)).String()
		service := r.Target(id)
		counts[service]++
		if again := r.Target(id); again != service {
			t.Fatalf("request %q has services %q and %q", id, service, again)
		}
	}
	if counts["b"] < 120 || counts["b"] > 280 {
		t.Errorf("%d of 2000 requests go to the service with a tenth of the weight, want 120 to 280", counts["b"])
	}
}

func wantDeferred(t *testing.T, d *Directory, want int) {
	t.Helper()
	if got := d.Deferred(); got != want {
		t.Errorf("the removal of %d upstreams is deferred, want %d", got, want)
	}
}

func TestDirectory(t *testing.T) {
	const lag = time.Second
	u := Upstream{ID: "u", Born: 5, Seq: 3, Addr: "10.0.0.1:1"}
	t.Run("entry is removed", func(t *testing.T) {
		var d Directory
		d.Put(u)
		d.Remove(start, "u")
		wantKnown(t, &d, "u", false)
	})
	t.Run("entry expires during a store outage and is written again", func(t *testing.T) {
		var d Directory
		d.Put(u)
		d.StoreRecovered(start, lag)
		d.Remove(start, "u")
		wantKnown(t, &d, "u", true)
		wantDeferred(t, &d, 1)
		d.Put(u)
		wantDeferred(t, &d, 0)
		d.Expire(start.Add(time.Minute))
		wantKnown(t, &d, "u", true)
	})
	t.Run("entry expires during a store outage and is not written again", func(t *testing.T) {
		var d Directory
		d.Put(u)
		d.StoreRecovered(start, lag)
		d.Remove(start, "u")
		d.Expire(start.Add(rewriteTime + lag))
		wantKnown(t, &d, "u", false)
	})
	t.Run("entry of an older process is ignored", func(t *testing.T) {
		var d Directory
		d.Put(u)
		old := u
		old.Born, old.Addr = 4, "10.0.0.2:1"
		d.Put(old)
		if got, _ := d.Get("u"); got.Addr != u.Addr {
			t.Errorf("address is %q, want %q", got.Addr, u.Addr)
		}
	})
	t.Run("draining is permanent", func(t *testing.T) {
		var d Directory
		d.Put(u)
		d.Drain("u", 5)
		d.Put(u)
		if got, _ := d.Get("u"); !got.Draining {
			t.Error("upstream is no longer draining")
		}
	})
	t.Run("new process after a draining one", func(t *testing.T) {
		var d Directory
		d.Put(u)
		d.Drain("u", 5)
		next := u
		next.Born, next.Seq = 6, 0
		d.Put(next)
		if got, _ := d.Get("u"); got.Draining {
			t.Error("the new process is draining")
		}
	})
	t.Run("entry from before the removal is ignored", func(t *testing.T) {
		var d Directory
		d.Put(u)
		d.Remove(start, "u")
		older, older2 := u, u
		older.Seq--
		older2.Born--
		for _, stale := range []Upstream{u, older, older2} {
			if d.Put(stale) {
				t.Errorf("entry %+v counts after a removal at %+v", stale, u)
			}
			d.Replace(start, []Upstream{stale})
			wantKnown(t, &d, "u", false)
		}
	})
	t.Run("removed process writes again", func(t *testing.T) {
		var d Directory
		d.Put(u)
		d.Remove(start, "u")
		next := u
		next.Seq++
		d.Put(next)
		wantKnown(t, &d, "u", true)
	})
	t.Run("new process after a removal", func(t *testing.T) {
		var d Directory
		d.Put(u)
		d.Remove(start, "u")
		next := u
		next.Born, next.Seq = 6, 0
		d.Put(next)
		wantKnown(t, &d, "u", true)
	})
	t.Run("entry is missing in a restored store", func(t *testing.T) {
		var d Directory
		d.Put(u)
		d.StoreRecovered(start, lag)
		d.Replace(start, nil)
		d.Expire(start.Add(rewriteTime + lag - time.Millisecond))
		wantKnown(t, &d, "u", true)
		d.Expire(start.Add(rewriteTime + lag))
		wantKnown(t, &d, "u", false)
		d.Put(u)
		wantKnown(t, &d, "u", false)
	})
	t.Run("another node knows of the removal", func(t *testing.T) {
		var other, d Directory
		other.Put(u)
		other.Remove(start, "u")
		older := u
		older.Seq--
		d.Put(older)
		if !d.MergeRemoved(other.Removed()) {
			t.Error("merging a removal changes nothing")
		}
		wantKnown(t, &d, "u", false)
		d.Put(older)
		wantKnown(t, &d, "u", false)
		newer := u
		newer.Seq++
		d.Put(newer)
		d.MergeRemoved(other.Removed())
		wantKnown(t, &d, "u", true)
	})
	t.Run("heartbeat changes nothing", func(t *testing.T) {
		var d Directory
		d.Put(u)
		next := u
		next.Seq = 4
		if d.Put(next) {
			t.Error("a heartbeat counts as a change")
		}
	})
	t.Run("replace all entries", func(t *testing.T) {
		var d Directory
		d.Put(u)
		d.Replace(start, []Upstream{{ID: "v"}})
		wantKnown(t, &d, "u", false)
		wantKnown(t, &d, "v", true)
	})
}

// Guards against a process that is taken for an older one, so that all its entries are ignored, as
// the clock of its machine was set back before it started.
func TestDirectoryWithClockSetBack(t *testing.T) {
	first := Upstream{ID: "u", Born: 9000, Seq: 7, Addr: "10.0.0.1:1", Position: Position{Known: true, Epoch: 1, Offset: 20}}
	second := Upstream{ID: "u", Born: 7000, Seq: 1, Addr: "10.0.0.1:2", Position: Position{Known: true, Epoch: 1, Offset: 24}}
	restored := func(u Upstream, seq, offset int64) Upstream {
		u.Seq, u.Position = seq, Position{Known: true, Epoch: 2, Offset: offset}
		return u
	}
	for _, removed := range []bool{false, true} {
		replaced := func() *Directory {
			d := new(Directory)
			d.Put(first)
			if removed {
				d.Remove(start, "u")
			}
			d.Put(second)
			return d
		}
		name := fmt.Sprintf("removed before: %v, ", removed)
		t.Run(name+"second process is used", func(t *testing.T) {
			d := replaced()
			wantAddr(t, d, second.Addr)
			if !d.Drain("u", second.Born) {
				t.Error("the second process does not drain")
			}
		})
		t.Run(name+"entry of the first comes from another node", func(t *testing.T) {
			d := replaced()
			d.Put(first)
			wantAddr(t, d, second.Addr)
			var late Directory
			late.Put(first)
			late.Remove(start, "u")
			d.MergeRemoved(late.Removed())
			wantAddr(t, d, second.Addr)
		})
		t.Run(name+"first is in a restored store", func(t *testing.T) {
			d := replaced()
			d.Put(restored(first, first.Seq, 20))
			wantAddr(t, d, second.Addr)
		})
		t.Run(name+"second writes to a restored store", func(t *testing.T) {
			d := replaced()
			d.StoreRecovered(start, time.Second)
			d.Replace(start, nil)
			d.Replace(start, []Upstream{restored(second, 4, 21)})
			d.Expire(start.Add(time.Minute))
			wantAddr(t, d, second.Addr)
		})
		t.Run(name+"another node knows the second from a restored store", func(t *testing.T) {
			var other Directory
			other.Put(restored(second, 4, 21))
			other.MergeRemoved(replaced().Removed())
			wantAddr(t, &other, second.Addr)
		})
	}
}

// An entry that an ended process wrote late must not keep its successor out for longer than until the
// next heartbeat.
func TestLateEntryOfEndedProcess(t *testing.T) {
	first := Upstream{ID: "u", Born: 7000, Seq: 7, Addr: "10.0.0.1:1", Position: Position{Known: true, Offset: 20}}
	second := Upstream{ID: "u", Born: 9000, Seq: 1, Addr: "10.0.0.1:2", Position: Position{Known: true, Offset: 24}}
	var d Directory
	d.Put(first)
	d.Put(second)
	first.Seq, first.Position.Offset = 8, 25
	d.Put(first)
	second.Seq, second.Position.Offset = 2, 26
	d.Put(second)
	wantAddr(t, &d, second.Addr)
	first.Seq, first.Position.Offset = 7, 20
	d.Put(first)
	wantAddr(t, &d, second.Addr)
}

func wantAddr(t *testing.T, d *Directory, want string) {
	t.Helper()
	if u, _ := d.Get("u"); u.Addr != want {
		t.Errorf("address is %q, want %q", u.Addr, want)
	}
}

func wantKnown(t *testing.T, d *Directory, id string, want bool) {
	t.Helper()
	if _, got := d.Get(id); got != want {
		t.Errorf("upstream %q is known: %v, want %v", id, got, want)
	}
}
