package origin

import (
	"maps"
	"slices"
	"time"

	"teaselplank/fleet"
)

// Versions holds the software versions that the upstreams of each service have had
// lately. The zero value has seen nothing.
type Versions struct {
	services map[string]map[string]sight
	// since is when upstreams were first seen, or seen again after a gap, or zero.
	since time.Time
}

// A sight is the last sight of a version.
type sight struct {
	// registered is true if the version has an upstream now. Otherwise the version had
	// one until the time last.
	registered bool
	last       time.Time
}

func (s sight) recent(now time.Time) bool { return s.registered || now.Sub(s.last) < Window }

// Observe takes note of all registered upstreams, also those that are draining.
func (v *Versions) Observe(now time.Time, upstreams []fleet.Upstream) {
	if v.since.IsZero() && len(upstreams) > 0 {
		v.since = now
	}
	v.endSights(now)
	for _, u := range upstreams {
		v.See(now, u.Service, u.Version)
		v.services[u.Service][u.Version] = sight{registered: true}
	}
}

// See takes note that a service had an upstream of a version until now.
func (v *Versions) See(now time.Time, service, version string) {
	if v.services == nil {
		v.services = make(map[string]map[string]sight)
	}
	versions := v.services[service]
	if versions == nil {
		versions = make(map[string]sight)
		v.services[service] = versions
	}
	if !versions[version].registered {
		versions[version] = sight{last: now}
	}
}

// endSights marks all versions as no longer registered and forgets those that were last
// seen too long ago.
func (v *Versions) endSights(now time.Time) {
	for service, versions := range v.services {
		for version, s := range versions {
			if s.registered {
				versions[version] = sight{last: now}
			}
		}
		maps.DeleteFunc(versions, func(_ string, s sight) bool { return !s.recent(now) })
		if len(versions) == 0 {
			delete(v.services, service)
		}
	}
}

// Recent returns the versions that a service has or had lately, sorted.
func (v *Versions) Recent(now time.Time, service string) []string {
	var list []string
	for version, s := range v.services[service] {
		if s.recent(now) {
			list = append(list, version)
		}
	}
	slices.Sort(list)
	return list
}

// Interrupt takes note that versions may have come and gone unseen until now.
func (v *Versions) Interrupt(now time.Time) {
	if !v.since.IsZero() {
		v.since = now
	}
}

// Watched returns how long upstreams have been seen without a gap. Versions that were gone
// before that are not known.
func (v *Versions) Watched(now time.Time) time.Duration {
	if v.since.IsZero() {
		return 0
	}
	return now.Sub(v.since)
}
