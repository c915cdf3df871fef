package batch

import (
	"slices"

	"teaselplank/fleet"
)

// A Division assigns the workers of stages to owners. One owner for all workers fills
// their calls best while workers are few. A large deployment has an owner in each zone
// instead, which schedules the workers of its zone: no owner then handles the requests of
// all nodes, and results stay in their zone.
//
// All nodes derive the division from the registered workers, so those with the same list
// agree on it. Nodes with different lists may use the same workers for a moment; the
// workers refuse the calls that exceed their capacity, and no job is lost or run twice.
//
// The zero value has one owner.
type Division struct {
	// zones holds the zones that have an owner of their own, sorted; it is empty if
	// there is one owner.
	zones []string
}

// minZoneWorkers is the average number of workers of a service in a zone from which each
// zone has its own owner. With fewer, a zone could not spread the load of a worker that
// is slow or gone.
const minZoneWorkers = 4.5

// Divide returns the division for the given services and upstreams.
func Divide(services []fleet.Service, upstreams []fleet.Upstream) Division {
	counts := make(map[string]int)
	for _, s := range services {
		if s.Batch != nil {
			counts[s.Name] = 0
		}
	}
	var zones []string
	for _, u := range upstreams {
		if _, ok := counts[u.Service]; !ok {
			continue
		}
		counts[u.Service]++
		if !slices.Contains(zones, u.Zone) {
			zones = append(zones, u.Zone)
		}
	}
	for _, count := range counts {
		if float64(count) < minZoneWorkers*float64(len(zones)) {
			return Division{}
		}
	}
	if len(zones) < 2 {
		return Division{}
	}
	slices.Sort(zones)
	return Division{zones: zones}
}

// Owners returns the number of owners.
func (d Division) Owners() int { return max(len(d.zones), 1) }

// Same reports whether two zones have the same owner. A zone without workers has the
// owner of no other zone.
func (d Division) Same(a, b string) bool { return len(d.zones) == 0 || a == b }

// Next returns the zone whose owner can run a job that the owner of the given zone has no
// worker for.
func (d Division) Next(zone string) string {
	if len(d.zones) == 0 {
		return zone
	}
	i, found := slices.BinarySearch(d.zones, zone)
	if found {
		i++
	}
	return d.zones[i%len(d.zones)]
}

// Workers returns the upstreams that an owner in the given zone schedules. An owner whose
// zone has none schedules all, for nodes that reach no other owner.
func (d Division) Workers(zone string, upstreams []fleet.Upstream) []fleet.Upstream {
	if _, found := slices.BinarySearch(d.zones, zone); !found {
		return upstreams
	}
	return slices.DeleteFunc(slices.Clone(upstreams), func(u fleet.Upstream) bool { return u.Zone != zone })
}
