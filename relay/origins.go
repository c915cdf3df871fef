package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselplank/infra"
	"teaselplank/proxy"
)

// An originHost is the share.Host of a server.
type originHost struct{ server *Server }

// Now implements share.Host.
func (h originHost) Now() time.Time { return h.server.now() }

// StoreEpoch implements share.Host.
func (h originHost) StoreEpoch() infra.Epoch { return h.server.storeEpoch() }

// UpstreamsAge implements share.Host.
func (h originHost) UpstreamsAge() time.Duration { return h.server.upstreamsAge() }

// CountShared implements share.Host.
func (h originHost) CountShared(result string, records int) {
	h.server.metrics.countShared(result, records)
}

// CountLookup implements share.Host.
func (h originHost) CountLookup(result string) { h.server.metrics.countLookup(result) }

const (
	// settleInterval is how often nodes record which services have only one version. It is
	// shorter than the store keeps records.
	settleInterval = 6 * time.Second
	// settleWriters is the number of nodes that do so. One of them may just end.
	settleWriters = 2
)

// settleLoop lets nodes that start later know that services have only one version.
func (s *Server) settleLoop() {
	for s.sleep(settleInterval) {
		if s.settlesVersions() {
			s.step(proxy.SettleVersions{ViewAge: s.upstreamsAge()})
		}
	}
}

// settlesVersions reports whether this node is one of those that record the versions of
// services.
func (s *Server) settlesVersions() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own, before := xxhash.Sum64String(s.self.ID), 0
	for _, n := range s.group.Live() {
		if xxhash.Sum64String(n.ID) < own {
			before++
		}
	}
	return before < settleWriters
}

// findOrigin looks for the version that began the stream that the client resumes.
func (x *exchange) findOrigin(e proxy.FindOrigin) {
	ctx := x.context
	go func() {
		found := x.server.origins.Find(ctx, e)
		x.post(func() { x.step(found) })
	}()
}
