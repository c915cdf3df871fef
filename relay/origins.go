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

// ObserveEpoch implements share.Host.
func (h originHost) ObserveEpoch(epoch infra.Epoch) { h.server.observeEpoch(epoch) }

// UpstreamsAge implements share.Host.
func (h originHost) UpstreamsAge() time.Duration { return h.server.upstreamsAge() }

// CountShared implements share.Host.
func (h originHost) CountShared(result string, records int) {
	h.server.metrics.countShared(result, records)
}

// CountLookup implements share.Host.
func (h originHost) CountLookup(result string) { h.server.metrics.countLookup(result) }

// DefaultsRead implements share.Host.
func (h originHost) DefaultsRead(e proxy.DefaultsRead) { h.server.step(e) }

const (
	// defaultsInterval is how often a node looks whether the default versions of services may
	// have changed.
	defaultsInterval = 500 * time.Millisecond
	// recordTimeout is how long a stream that has begun waits for the record of its version.
	recordTimeout = 400 * time.Millisecond
)

// defaultsLoop keeps the default versions of services up to date.
func (s *Server) defaultsLoop() {
	for s.sleep(defaultsInterval) {
		tick := proxy.DefaultsTick{ViewAge: s.upstreamsAge(), Rank: s.defaultsRank()}
		s.mu.Lock()
		tick.Epoch, tick.EpochKnown = int64(s.epoch), s.epochKnown
		s.mu.Unlock()
		s.step(tick)
	}
}

// defaultsRank returns the number of nodes that write the default versions of services before
// this one does.
func (s *Server) defaultsRank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	own, before := xxhash.Sum64String(s.self.ID), 0
	for _, n := range s.group.Live() {
		if xxhash.Sum64String(n.ID) < own {
			before++
		}
	}
	return before
}

// findOrigin looks for the version that began the stream that the client resumes.
func (x *exchange) findOrigin(e proxy.FindOrigin) {
	ctx := x.context
	go func() {
		found := x.server.origins.Find(ctx, e)
		x.post(func() { x.step(found) })
	}()
}
