package proxy

import "time"

// evacuate sets the zones whose upstreams get no new work.
func (n *Node) evacuate(now time.Time, zones []string) {
	n.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		n.evacuated[zone] = true
	}
	for _, p := range n.pools {
		for _, u := range p.upstreams {
			if u.evacuated && !n.evacuated[u.Zone] {
				n.awaitRate(now, u, u.Service)
			}
			u.evacuated = n.evacuated[u.Zone]
		}
	}
	n.countWorkers()
}

// awaitRate keeps requests from an upstream that may be cold, or in a slow start, until
// UpstreamLimited says what it may get.
func (n *Node) awaitRate(now time.Time, u *upstream, service string) {
	if n.table != nil && n.table.Service(service).SlowStarts() {
		u.limit.SetRate(now, 0)
	}
}
