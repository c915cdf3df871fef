package proxy

import (
	"net/http"
	"slices"
	"time"

	"teaselplank/fleet"
	"teaselplank/origin"
	"teaselplank/trace"
)

const (
	// storeAwayAfter is the age of the node's view of the upstreams from which records are
	// taken to fail, as the store is away.
	storeAwayAfter = 5 * time.Second
	// recordBackoff is how long records are taken to fail after one did.
	recordBackoff = 3 * time.Second
	// writeDelay is how long a node gives each one before it to write a default version. Some
	// of them may have ended.
	writeDelay = 600 * time.Millisecond
	// defaultsWriteInterval is the minimum time between two writes of default versions, each of
	// which is followed by a read.
	defaultsWriteInterval = 500 * time.Millisecond
)

// defaultsTick takes note of the node's view of the store and reads the default versions of
// services if they may have changed.
func (n *Node) defaultsTick(now time.Time, e DefaultsTick) {
	// A node that did not run may have read the upstreams again before this tick.
	gap := e.ViewAge
	if !n.ticked.IsZero() {
		gap = max(gap, now.Sub(n.ticked))
	}
	n.ticked, n.viewRead, n.defaultsRank = now, now.Add(-e.ViewAge), e.Rank
	if e.EpochKnown {
		n.defaults.ObserveEpoch(now, e.Epoch)
	}
	if gap > maxViewAge {
		n.versions.Interrupt(now)
	}
	if gap > origin.MaxViewAge {
		n.defaults.Forget()
	}
	if n.table != nil && n.defaults.NeedsRead(now, n.table.ResumableServices()) {
		n.emit(ReadDefaults{})
	}
}

// defaultsRead takes note of the statements in the store, and writes those that should follow.
func (n *Node) defaultsRead(now time.Time, e DefaultsRead) {
	n.defaults.Read(now, e.Epoch, e.Defaults)
	if n.table == nil || now.Sub(n.viewRead) > maxViewAge {
		return
	}
	list := n.defaults.Proposals(now, n.table.ResumableServices())
	if len(list) == 0 {
		n.defaultsDue = time.Time{}
		return
	}
	if n.defaultsDue.IsZero() {
		n.defaultsDue = now
	}
	wait := time.Duration(n.defaultsRank) * writeDelay
	recent := !n.defaultsWritten.IsZero() && now.Sub(n.defaultsWritten) < defaultsWriteInterval
	if recent || now.Sub(n.defaultsDue) < wait {
		return
	}
	n.defaultsWritten = now
	n.emit(WriteDefaults{Defaults: list, End: e.End})
}

// KnownDefaults returns the default versions of services that hold in the present epoch of the
// store.
func (n *Node) KnownDefaults() []origin.Default { return n.defaults.Confirmed() }

// resumable reports whether the client of a request may resume its stream, which no event has
// begun yet.
func (r *request) resumable() bool {
	return r.route.Kind == fleet.Stream && r.route.Resumable && r.origin.source == OriginUnknown
}

// recordsFail reports whether the versions of streams can probably not be recorded.
func (n *Node) recordsFail(now time.Time) bool {
	failed := !n.recordFailed.IsZero() && now.Sub(n.recordFailed) < recordBackoff
	return failed || !n.viewRead.IsZero() && now.Sub(n.viewRead) > storeAwayAfter
}

// restrictVersion keeps a stream to the default version of its service while versions cannot
// be recorded, if an upstream has that version.
func (n *Node) restrictVersion(now time.Time, r *request) {
	r.onlyVersion, r.restricted = "", false
	if r.resumable() && n.recordsFail(now) {
		r.onlyVersion, r.restricted = n.servedDefault(r.service)
	}
}

// servedDefault returns the default version of a service if an upstream that stays has it. While
// no default is known, it is the version that is going to be.
func (n *Node) servedDefault(service string) (version string, ok bool) {
	known, _ := n.defaults.Of(service)
	version = known.Version
	if known.Service == "" {
		version = n.defaults.MostCommon(service)
	}
	p := n.pools[service]
	if p == nil {
		return "", false
	}
	if !slices.ContainsFunc(p.upstreams, func(u *upstream) bool { return !u.Draining && u.Version == version }) {
		return "", false
	}
	return version, true
}

// originUnrecorded handles a stream that has begun at an upstream although the record of its
// version could not be written in time, and may be written later all the same. If its host ended
// now, the stream would be resumed at the version of the last record, or at the default. It
// goes on if that is its own version.
func (n *Node) originUnrecorded(now time.Time, e OriginUnrecorded) {
	r := n.requests[e.Number]
	a := r.find(e.Attempt)
	if a == nil || r.responseStarted {
		return
	}
	n.recordFailed = now
	goesOn := n.goesOnUnrecorded(r, a)
	n.recordSince(now, a.sentAt, r, trace.OriginUnrecorded, "", "attempt", a.number, "upstream", a.upstream.ID,
		"software", a.upstream.Version, "shared", r.sharedVersions, "goes_on", goesOn)
	if !goesOn {
		n.cancel(r, a)
		n.reply(now, r, http.StatusBadGateway, ReasonUnrecorded, 0)
	}
}

// goesOnUnrecorded reports whether a stream may go on at an upstream without its record.
func (n *Node) goesOnUnrecorded(r *request, a *attempt) bool {
	version, served := n.servedDefault(r.service)
	others := slices.ContainsFunc(r.sharedVersions, func(v string) bool { return v != a.upstream.Version })
	return !others && served && version == a.upstream.Version
}
