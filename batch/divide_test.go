package batch

import (
	"fmt"
	"testing"

	"teaselplank/fleet"
)

// workersPerZone returns the given number of workers of two stage services in each zone.
func workersPerZone(perZone int, zones ...string) []fleet.Upstream {
	var list []fleet.Upstream
	for _, zone := range zones {
		for i := range perZone {
			for _, service := range []string{"first", "second"} {
				list = append(list, fleet.Upstream{ID: fmt.Sprint(service, zone, i), Service: service, Zone: zone})
			}
		}
	}
	return list
}

func TestDivide(t *testing.T) {
	services := []fleet.Service{{Name: "first", Batch: &fleet.Batch{}}, {Name: "second", Batch: &fleet.Batch{}}, {Name: "plain"}}
	plain := fleet.Upstream{ID: "p", Service: "plain", Zone: "d"}
	few := append(workersPerZone(6, "a", "b", "c"), workersPerZone(3, "d")...)
	narrow := workersPerZone(6, "a", "b", "c")
	for i := range narrow {
		if i%12 >= 6 {
			narrow[i].Service = "first"
		}
	}
	tests := []struct {
		name      string
		upstreams []fleet.Upstream
		owners    int
	}{
		{"no workers", nil, 1},
		{"a few workers in each zone", workersPerZone(2, "a", "b", "c"), 1},
		{"many workers in each zone", workersPerZone(6, "c", "a", "b"), 3},
		{"upstreams of plain services do not count", append(workersPerZone(6, "a", "b", "c"), plain), 3},
		{"one zone with few workers", few, 4},
		{"one service with few workers", narrow, 1},
		{"one zone", workersPerZone(9, "a"), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Divide(services, test.upstreams).Owners(); got != test.owners {
				t.Errorf("%d owners, want %d", got, test.owners)
			}
		})
	}
}

func TestDivisionOfWorkers(t *testing.T) {
	services := []fleet.Service{{Name: "first", Batch: &fleet.Batch{}}, {Name: "second", Batch: &fleet.Batch{}}}
	upstreams := workersPerZone(6, "a", "b", "c")
	d := Divide(services, upstreams)
	wantWorkers := func(d Division, zone string, want int) {
		t.Helper()
		if got := len(d.Workers(zone, upstreams)); got != want {
			t.Errorf("owner in zone %q has %d workers, want %d", zone, got, want)
		}
	}
	wantWorkers(d, "a", 12)
	wantWorkers(d, "z", 36)
	wantWorkers(Division{}, "a", 36)
	for zone, want := range map[string]string{"a": "b", "b": "c", "c": "a", "z": "a"} {
		if got := d.Next(zone); got != want {
			t.Errorf("zone after %q is %q, want %q", zone, got, want)
		}
	}
	if d.Same("a", "b") || !d.Same("a", "a") || !(Division{}).Same("a", "b") {
		t.Error("zones share an owner in a divided deployment, or do not in an undivided one")
	}
}
