package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"teaselplank/platform/stand"
)

// The bounds of the promises: what is left of a request's time at its end, when a
// configuration is in force everywhere, when an upstream that leaves gets no more
// work, and how long a fault may show after it has ended.
const (
	deadline    = 3 * time.Second
	lateness    = time.Second
	inForce     = 3 * time.Second
	drained     = 3 * time.Second
	aftereffect = time.Second
)

// finalRound sends a request of each kind to each host once the faults are over.
func (w *world) finalRound() []string {
	var findings []string
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for _, h := range w.hosts {
		for _, path := range []string{stand.PathSafe, stand.PathUnsafe, stand.PathStream, versionPath(w.callers.version)} {
			r := w.callers.next(h, path)
			r.send(transport)
			if r.err != nil || r.status != http.StatusOK {
				findings = append(findings, r.finding("is not served after the faults are over"))
			}
		}
	}
	return findings
}

func (r *record) finding(what string) string {
	return fmt.Sprintf("%s %s at %s %s: status %d, error %v, sent %s, took %s", r.id, r.path, r.host.name, what,
		r.status, r.err, r.sent.Format("15:04:05.000"), r.ended.Sub(r.sent).Round(time.Millisecond))
}

// check returns the promises that were broken.
func (w *world) check() []string {
	var findings []string
	for _, r := range w.callers.records {
		for _, what := range []string{w.checkRuns(r), w.checkAnswer(r), w.checkTime(r), w.checkCut(r), w.checkRoute(r)} {
			if what != "" {
				findings = append(findings, r.finding(what))
			}
		}
	}
	for _, u := range w.upstreams {
		late := u.worker.LastRun().Sub(u.left)
		if !u.left.IsZero() && late > drained && !w.disturbed(nil, u.left, u.worker.LastRun(), StoreLink, StoreDown, PeerLink, Pause) {
			findings = append(findings, fmt.Sprintf("upstream %s got work %s after it told that it leaves", u.worker.ID, late))
		}
	}
	return findings
}

// runs counts how often a request was run.
func (w *world) runs(r *record) int {
	count := 0
	for _, u := range w.upstreams {
		if u.worker.Kind != stand.Stage {
			count += u.worker.Runs(r.id)
		}
	}
	return count
}

// checkRuns holds what must not repeat to one run, and "not run" to none.
func (w *world) checkRuns(r *record) string {
	if r.path != stand.PathUnsafe {
		return ""
	}
	count := w.runs(r)
	refused := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
	switch {
	case count > 1:
		return fmt.Sprintf("was run %d times", count)
	case refused && count > 0:
		return "was run although its caller is told that it was not"
	}
	return ""
}

// checkAnswer holds successes to be whole and the request's own, and what is cut to
// be a beginning.
func (w *world) checkAnswer(r *record) string {
	if r.status != http.StatusOK {
		return ""
	}
	want := "answer to " + r.id
	if r.path == stand.PathStream {
		want = allEvents()
	}
	switch {
	case r.err == nil && r.body != want:
		return fmt.Sprintf("has the body %q", r.body)
	case !strings.HasPrefix(want, r.body):
		return fmt.Sprintf("is cut and has the body %q", r.body)
	case !r.sealed:
		return "has a success that no upstream vouches for"
	}
	return ""
}

func allEvents() string {
	var events strings.Builder
	for i := range streamEvents {
		fmt.Fprintf(&events, "id: %d\ndata: token %d\n\n", i, i)
	}
	return events.String()
}

// checkTime holds hosts that run to give the final answer in time.
func (w *world) checkTime(r *record) string {
	if r.ended.Sub(r.sent) <= deadline+lateness || w.disturbed(r.host, r.sent, r.ended, Pause, Kill, Terminate) {
		return ""
	}
	return "ends after its deadline"
}

// checkCut holds connections to end with an answer. A request may cross the close of
// a host that shuts down if it was not passed on. Streams may be cut when an
// upstream or its link fails: what is left to do may have no time.
func (w *world) checkCut(r *record) string {
	switch {
	case r.err == nil || w.disturbed(r.host, r.sent, r.ended, Pause, Kill):
		return ""
	case w.runs(r) == 0 && w.disturbed(r.host, r.sent, r.ended, Terminate):
		return ""
	case r.path == stand.PathStream && r.status == http.StatusOK && w.disturbed(nil, r.sent, r.ended, UpstreamLink, UpstreamFault):
		return ""
	}
	return "ends without an answer"
}

// checkRoute holds routes to be there once their configuration is in force.
func (w *world) checkRoute(r *record) string {
	if r.status != http.StatusNotFound && r.status != http.StatusUnauthorized {
		return ""
	}
	for i, at := range w.published {
		if r.path != versionPath(i+1) {
			continue
		}
		superseded := i+1 < len(w.published) && w.published[i+1].Before(r.ended)
		if superseded || r.sent.Before(at.Add(inForce)) || w.disturbed(r.host, at, r.sent, StoreLink, StoreDown, PeerLink, Pause, Kill, Terminate) {
			return ""
		}
	}
	return "has no route though it has been in force"
}

// disturbed reports whether one of the faults may have shown in a time, at a host
// or at any.
func (w *world) disturbed(h *host, from, to time.Time, actions ...Action) bool {
	for _, s := range w.spans {
		for _, a := range actions {
			if s.action == a && (h == nil || s.host == h) && s.from.Before(to) && s.to.Add(aftereffect).After(from) {
				return true
			}
		}
	}
	return false
}
