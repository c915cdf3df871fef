package relay

import (
	"time"

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

// findOrigin looks for the version that began the stream that the client resumes.
func (x *exchange) findOrigin(e proxy.FindOrigin) {
	ctx := x.context
	go func() {
		found := x.server.origins.Find(ctx, e)
		x.post(func() { x.step(found) })
	}()
}
