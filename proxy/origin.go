package proxy

import (
	"time"

	"teaselplank/fleet"
	"teaselplank/origin"
)

// OriginSource is the source from which a node has the software version that began a
// stream.
type OriginSource string

// The sources of origins.
const (
	// OriginUnknown means that the version is unknown.
	OriginUnknown OriginSource = ""
	// OriginAnswer means that the stream began in the answer of the request itself.
	OriginAnswer OriginSource = "answer"
	// OriginOwn means that this node sent the stream, and OriginShared that another node
	// did and recorded it.
	OriginOwn    OriginSource = "own"
	OriginShared OriginSource = "shared"
	// OriginOnly means that the service has had only one version lately.
	OriginOnly OriginSource = "only version"
)

// A streamOrigin is the software version that began a stream. The zero value means that the
// version is unknown.
type streamOrigin struct {
	version string
	source  OriginSource
	// learned is when the node learned the version.
	learned time.Time
}

// allows reports whether an upstream may continue the stream. All events of a stream must
// be of one version.
func (o streamOrigin) allows(u *upstream) bool {
	return o.source == OriginUnknown || u.Version == o.version
}

// attrs returns the origin as keys and values of a log line.
func (o streamOrigin) attrs(now time.Time) []any {
	if o.source == OriginUnknown {
		return []any{"began", "", "began_by", ""}
	}
	return []any{"began", o.version, "began_by", string(o.source), "began_age_ms", now.Sub(o.learned).Milliseconds()}
}

// setOrigin sets the version that began the stream of a request to that of the attempt with
// the first event.
func (n *Node) setOrigin(now time.Time, r *request, a *attempt) {
	if r.origin.source != OriginUnknown {
		return
	}
	if a.number < r.attempts {
		// The last record names a later attempt's version. Of records with the same
		// number of attempts, the last one counts.
		n.recordOrigin(now, r, a)
	}
	r.origin = streamOrigin{version: a.upstream.Version, source: OriginAnswer, learned: now}
}

// recordOrigin records the version that a stream is sent to, if its client may resume it. A
// service with one version needs no records at other nodes.
func (n *Node) recordOrigin(now time.Time, r *request, a *attempt) {
	if r.route.Kind != fleet.Stream || !r.route.Resumable || r.origin.source != OriginUnknown {
		return
	}
	share := n.severalVersions(now, r.service)
	if n.sharing[r.service] && !share {
		// The records that end here must not make new nodes expect several versions.
		n.emit(RecordOrigin{Record: origin.Record{Service: r.service, Version: a.upstream.Version}, Share: true})
	}
	n.sharing[r.service] = share
	n.emit(RecordOrigin{
		Record: origin.Record{ID: r.ID, Service: r.service, Version: a.upstream.Version, Attempt: r.attempts}, Share: share,
	})
}

// settleVersions records the services that have had one version for longer than streams live,
// for nodes that start after all others have ended.
func (n *Node) settleVersions(now time.Time, e SettleVersions) {
	if n.table == nil || !n.watchesVersions(now, e.ViewAge) {
		return
	}
	for _, service := range n.table.ResumableServices() {
		if versions := n.versions.Recent(now, service); len(versions) == 1 {
			n.emit(RecordOrigin{Record: origin.Record{Service: service, Version: versions[0]}, Share: true})
		}
	}
}

func (n *Node) severalVersions(now time.Time, service string) bool {
	return len(n.versions.Recent(now, service)) > 1
}

// observeVersions notes the versions of the upstreams. The streams that a service began
// while it had one version must be known to other nodes once it has several.
func (n *Node) observeVersions(now time.Time, upstreams []fleet.Upstream) {
	several := make(map[string]bool)
	for _, u := range upstreams {
		several[u.Service] = n.severalVersions(now, u.Service)
	}
	n.versions.Observe(now, upstreams)
	for service, before := range several {
		if !before && n.severalVersions(now, service) {
			n.sharing[service] = true
			n.emit(ShareOrigins{Service: service})
		}
	}
}
