package proxy

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"teaselplank/origin"
	"teaselplank/trace"
)

// targetID returns the ID that decides which of its route's services gets a request. A
// stream is resumed at the service that began it.
func targetID(q Request) string {
	if q.LastEventID != "" && q.Resumes != "" {
		return q.Resumes
	}
	return q.ID
}

const (
	// maxLookupWait is how long a client that resumes a stream may wait for the lookup of its
	// version, and lookupShare the share of its time left.
	maxLookupWait = 1500 * time.Millisecond
	lookupShare   = 4
)

// findOrigin requests the version that began the stream that a client resumes, even if
// this node has seen only one version of the service: another node may have seen a new one
// earlier.
func (n *Node) findOrigin(now time.Time, r *request) {
	r.findingOrigin = true
	wait := min(maxLookupWait, r.deadline.Sub(now)/lookupShare)
	n.emit(FindOrigin{Number: r.Number, ID: r.Resumes, Service: r.service, Wait: wait})
}

// maxViewAge is the age above which the node's view of the upstreams may lack a version
// with which other nodes have begun streams.
const maxViewAge = 3 * time.Second

// watchesVersions reports whether the node has seen the versions of all streams that clients
// may still resume, given the time since it last read the upstreams.
func (n *Node) watchesVersions(now time.Time, viewAge time.Duration) bool {
	return n.versions.Watched(now) >= origin.Window && viewAge <= maxViewAge
}

// onlyVersion returns the version of a service if all streams that clients may still resume
// began with it. This node's own view does not show that, however new it is: another node may have
// begun the stream at a version that came since. The nodes that may have done so must say that
// they have seen no other version. It serves while the store cannot be read.
func (n *Node) onlyVersion(now time.Time, service string, found OriginFound) (string, bool) {
	versions := n.versions.Recent(now, service)
	if len(versions) != 1 || !n.watchesVersions(now, found.ViewAge) {
		return "", false
	}
	return versions[0], found.Peers.Complete && !slices.ContainsFunc(found.Peers.Versions, func(v string) bool { return v != versions[0] })
}

// RecentVersions returns the versions that a service has or had lately, sorted.
func (n *Node) RecentVersions(now time.Time, service string) []string {
	return n.versions.Recent(now, service)
}

// originOf returns the version that began a stream from the result of its lookup.
func (n *Node) originOf(now time.Time, service string, found OriginFound) (streamOrigin, bool) {
	if found.Source != OriginUnknown {
		known := streamOrigin{version: found.Record.Version, source: found.Source, learned: now.Add(-found.Age)}
		return known, found.Record.Service == service
	}
	if found.Complete {
		return streamOrigin{version: found.Default.Version, source: OriginDefault, learned: now}, found.Default.Service != ""
	}
	if version, ok := n.onlyVersion(now, service, found); ok {
		return streamOrigin{version: version, source: OriginOnly, learned: now}, true
	}
	return streamOrigin{}, false
}

// originFound resumes a stream whose version is known, and refuses any other.
func (n *Node) originFound(now time.Time, e OriginFound) {
	r := n.requests[e.Number]
	if r == nil || !r.findingOrigin {
		return
	}
	r.findingOrigin = false
	if began, ok := n.originOf(now, r.service, e); ok {
		n.resume(now, r, began)
		return
	}
	n.recordSince(now, r.arrived, r, trace.StreamResumed, ReasonUnknownOrigin, "first", r.Resumes, "last_event", r.LastEventID,
		"service", r.service, "recorded_service", e.Record.Service, "versions", strings.Join(n.versions.Recent(now, r.service), " "),
		"records_read", e.Complete, "default", e.Default.Version, "watched_ms", n.versions.Watched(now).Milliseconds(),
		"view_age_ms", e.ViewAge.Milliseconds(), "peers_complete", e.Peers.Complete, "peers_versions", strings.Join(e.Peers.Versions, " "))
	n.reply(now, r, http.StatusServiceUnavailable, ReasonUnknownOrigin, upstreamRetryAfter)
}

// allows reports whether an upstream may get a request. All events of a stream must be of one
// version.
func (r *request) allows(u *upstream) bool {
	if r.origin.source != OriginUnknown {
		return u.Version == r.origin.version
	}
	return !r.restricted || u.Version == r.onlyVersion
}

// resume continues a stream at an upstream of the version that began it, or refuses it at
// once if no such upstream is left.
func (n *Node) resume(now time.Time, r *request, o streamOrigin) {
	r.origin = o
	n.recordSince(now, r.arrived, r, trace.StreamResumed, "", append(o.attrs(now), "first", r.Resumes, "last_event", r.LastEventID)...)
	if !n.hasUpstream(r) {
		n.fail(now, r, ReasonNoUpstream, upstreamRetryAfter)
		return
	}
	n.start(now, r)
}

// hasUpstream reports whether an upstream is registered that may continue the stream of a
// request, even if it cannot take a request now.
func (n *Node) hasUpstream(r *request) bool {
	p := n.pools[r.service]
	return p != nil && slices.ContainsFunc(p.upstreams, func(u *upstream) bool { return !u.Draining && r.allows(u) })
}
