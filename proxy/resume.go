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

// findOrigin requests the version that began the stream that a client resumes, even if
// this node has seen only one version of the service: another node may have seen a new one
// earlier.
func (n *Node) findOrigin(r *request) {
	r.findingOrigin = true
	n.emit(FindOrigin{Number: r.Number, ID: r.Resumes, Service: r.service})
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
// began with it. Versions that were removed before the node started are only in the records
// of all nodes. Records that say nothing prove nothing: all nodes may have ended since.
func (n *Node) onlyVersion(now time.Time, service string, found OriginFound) (string, bool) {
	if !n.watchesVersions(now, found.ViewAge) && !(found.Complete && found.Settled) {
		return "", false
	}
	versions := n.versionsOf(now, service, found)
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// versionsOf returns the versions that a service has had recently according to this node's
// view and to the records that were found.
func (n *Node) versionsOf(now time.Time, service string, found OriginFound) []string {
	versions := append(n.versions.Recent(now, service), found.Versions...)
	slices.Sort(versions)
	return slices.Compact(versions)
}

// originFound resumes a stream whose version is known, and refuses any other.
func (n *Node) originFound(now time.Time, e OriginFound) {
	r := n.requests[e.Number]
	if r == nil || !r.findingOrigin {
		return
	}
	r.findingOrigin = false
	if e.Source != OriginUnknown && e.Record.Service == r.service {
		n.resume(now, r, streamOrigin{version: e.Record.Version, source: e.Source, learned: now.Add(-e.Age)})
		return
	}
	if version, ok := n.onlyVersion(now, r.service, e); ok && e.Source == OriginUnknown {
		n.resume(now, r, streamOrigin{version: version, source: OriginOnly, learned: now})
		return
	}
	n.recordSince(now, r.arrived, r, trace.StreamResumed, ReasonUnknownOrigin, "first", r.Resumes, "last_event", r.LastEventID,
		"service", r.service, "recorded_service", e.Record.Service, "versions", strings.Join(n.versionsOf(now, r.service, e), " "),
		"records_read", e.Complete, "settled", e.Settled, "watched_ms", n.versions.Watched(now).Milliseconds(),
		"view_age_ms", e.ViewAge.Milliseconds())
	n.reply(now, r, http.StatusServiceUnavailable, ReasonUnknownOrigin, upstreamRetryAfter)
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
	return p != nil && slices.ContainsFunc(p.upstreams, func(u *upstream) bool { return !u.Draining && r.origin.allows(u) })
}
