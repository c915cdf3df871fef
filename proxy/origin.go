package proxy

import (
	"time"

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
	// OriginOwn means that this node sent the stream, OriginShared that another node
	// did and recorded it, and OriginPeer that another node did and was asked.
	OriginOwn    OriginSource = "own"
	OriginShared OriginSource = "shared"
	OriginPeer   OriginSource = "peer"
	// OriginOnly means that the service has had only one version lately, at all nodes that
	// may have begun the stream.
	OriginOnly OriginSource = "only version"
	// OriginDefault means that the stream has no record, and so began at the default version
	// of its service.
	OriginDefault OriginSource = "default version"
)

// PeerVersions has the versions of a service that other nodes know. The zero value says nothing.
type PeerVersions struct {
	// Complete is true if all other nodes have answered, at least one, since the lookup began,
	// and each has run for longer than the age of this node's view of the upstreams. A node that
	// is not among them has ended before that view.
	Complete bool
	// Versions are those that the service has or had lately at one of them, sorted.
	Versions []string
}

// A streamOrigin is the software version that began a stream. The zero value means that the
// version is unknown.
type streamOrigin struct {
	version string
	source  OriginSource
	// learned is when the node learned the version.
	learned time.Time
}

// attrs returns the origin as keys and values of a log line.
func (o streamOrigin) attrs(now time.Time) []any {
	if o.source == OriginUnknown {
		return []any{"began", "", "began_by", ""}
	}
	return []any{"began", o.version, "began_by", string(o.source), "began_age_ms", now.Sub(o.learned).Milliseconds()}
}

// setOrigin sets the version that began the stream of a request to that of the attempt with
// the first event. The event is passed on once the record that holds is written, if the stream
// needs one.
func (n *Node) setOrigin(now time.Time, r *request, a *attempt) {
	if r.origin.source != OriginUnknown {
		return
	}
	if a.number < r.attempts && len(r.sharedVersions) > 0 {
		// The last record names a later attempt's version.
		n.recordOrigin(now, r, a)
	}
	if len(r.sharedVersions) > 0 && !(n.recordsFail(now) && n.goesOnUnrecorded(r, a)) {
		n.emit(AwaitRecord{Number: r.Number, Attempt: a.number})
	}
	r.origin = streamOrigin{version: a.upstream.Version, source: OriginAnswer, learned: now}
}

// recordOrigin records the version that a stream is sent to, if its client may resume it. A
// stream at the default version of its service needs no record in the store, unless that has
// one of an earlier attempt.
func (n *Node) recordOrigin(now time.Time, r *request, a *attempt) {
	if !r.resumable() {
		return
	}
	version := a.upstream.Version
	share := len(r.sharedVersions) > 0 || !n.defaults.Unrecorded(r.service, version)
	if share {
		r.sharedVersions = append(r.sharedVersions, version)
	}
	r.records++
	n.emit(RecordOrigin{Record: origin.Record{ID: r.ID, Service: r.service, Version: version, Attempt: r.records}, Share: share})
}
