package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"teaselplank/platform/stand"
)

const (
	// deadlineSlack is how long after its deadline a request may end.
	deadlineSlack = time.Second
	// crossingTime is how long after it was written a request may fail that crosses the
	// close of its connection.
	crossingTime = 200 * time.Millisecond
	// maxConfigDelay is the time within which every host applies a configuration.
	maxConfigDelay = 3 * time.Second
	// maxDrainDelay is the time after which a draining upstream gets no new work.
	maxDrainDelay = 3 * time.Second
	// recoverySlack is the time for which a fault may have effects after its end.
	recoverySlack = time.Second
)

// checkRecovery sends a request of each kind to each host after the last fault and
// returns those that fail.
func (d *deployment) checkRecovery() []string {
	var violations []string
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for _, h := range d.hosts {
		for _, path := range []string{stand.PathSafe, stand.PathUnsafe, stand.PathStream, versionPath(d.clients.configVersion)} {
			r := d.clients.newRecord(h, path)
			r.send(transport)
			if r.err != nil || r.status != http.StatusOK {
				violations = append(violations, r.violation("fails after the last fault has ended"))
			}
		}
	}
	return violations
}

func (r *record) violation(problem string) string {
	return fmt.Sprintf("%s %s at %s %s: status %d, error %v, sent %s, took %s", r.id, r.path, r.host.name, problem,
		r.status, r.err, r.sentAt.Format(clockFormat), r.endedAt.Sub(r.sentAt).Round(time.Millisecond))
}

// clockFormat is the format of times in violations and in the list of steps.
const clockFormat = "15:04:05.000"

// check returns the violations in the records of the clients and the upstreams.
func (d *deployment) check() []string {
	var violations []string
	for _, r := range d.clients.records {
		for _, problem := range []string{d.checkRuns(r), d.checkResponse(r), d.checkDeadline(r), d.checkAnswered(r), d.checkRoute(r)} {
			if problem != "" {
				violations = append(violations, r.violation(problem))
			}
		}
	}
	for _, u := range d.upstreams {
		since := u.drainingSince
		if since.IsZero() {
			since = u.worker.LeavingSaidAt()
		}
		elapsed := u.worker.LastRun().Sub(since)
		if !since.IsZero() && elapsed > maxDrainDelay && !d.faultDuring(nil, since, u.worker.LastRun(), StoreLink, StoreDown, PeerLink, Pause) {
			violations = append(violations, fmt.Sprintf("upstream %s was assigned work %s after it announced that it drains", u.worker.ID, elapsed))
		}
	}
	return violations
}

// runCount returns how often upstreams ran a request.
func (d *deployment) runCount(r *record) int {
	count := 0
	for _, u := range d.upstreams {
		if u.worker.Kind != stand.Stage {
			count += u.worker.Runs(r.id)
		}
	}
	return count
}

// wasForwarded reports whether an upstream ran a request or a piece of its stages.
func (d *deployment) wasForwarded(r *record) bool {
	return slices.ContainsFunc(d.upstreams, func(u *upstream) bool { return u.worker.Runs(r.id) > 0 })
}

// checkRuns checks that an unsafe request runs at most once, and not at all if its response
// is a refusal.
func (d *deployment) checkRuns(r *record) string {
	if r.path != stand.PathUnsafe && r.path != stand.PathOnce {
		return ""
	}
	count := d.runCount(r)
	refused := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
	switch {
	case count > 1:
		return fmt.Sprintf("was run %d times", count)
	case refused && count > 0:
		return "was run although its response is a refusal"
	}
	return ""
}

// checkResponse checks that a successful response is complete, belongs to the request and
// has an upstream's seal, and that a truncated response is a prefix of the complete one.
func (d *deployment) checkResponse(r *record) string {
	if r.status != http.StatusOK {
		return ""
	}
	want := "answer to " + r.id
	if isStreamPath(r.path) {
		version := ""
		if d.engineVersion != "" {
			version = firstVersion(r.body)
		}
		want = allEvents(d.streamEvents, version)
	}
	switch {
	case r.err == nil && !r.left && r.body != want:
		return fmt.Sprintf("has the body %q", r.body)
	case !strings.HasPrefix(want, r.body):
		return fmt.Sprintf("was truncated and has the body %q", r.body)
	case !r.sealed:
		return "succeeded without the seal of an upstream"
	}
	return ""
}

// allEvents returns the events of a stream of engines of a version, which is empty if engines do
// not name it.
func allEvents(count int, version string) string {
	var events strings.Builder
	for i := range count {
		events.WriteString(eventText(i, version))
	}
	return events.String()
}

// eventText returns an event of a stream.
func eventText(id int, version string) string {
	if version != "" {
		version = " " + version
	}
	return fmt.Sprintf("id: %d\ndata: token %d%s\n\n", id, id, version)
}

// firstVersion returns the version that the first event of a stream names, or an empty string.
func firstVersion(body string) string {
	rest, found := strings.CutPrefix(body, strings.TrimSuffix(eventText(0, ""), "\n\n")+" ")
	if !found {
		return ""
	}
	version, _, _ := strings.Cut(rest, "\n")
	return version
}

// checkDeadline checks that a request ends in time, unless its host was paused or
// restarted.
func (d *deployment) checkDeadline(r *record) string {
	if r.endedAt.Sub(r.sentAt) <= r.deadline+deadlineSlack || d.faultDuring(r.host, r.sentAt, r.endedAt, Pause, Kill, Terminate) {
		return ""
	}
	return "ends after its deadline"
}

// checkAnswered checks that a request has a complete response, unless its host was paused
// or killed. A request that was not forwarded may fail on a host that shuts down, as it
// can arrive while the host closes the connection. A stream may be truncated when an
// upstream or its link fails, as the time left may be too short to resume it. A request
// that crashes engines may fail.
func (d *deployment) checkAnswered(r *record) string {
	switch {
	case d.options.Kind == Silences:
		return d.checkComplete(r)
	case r.err == nil || r.crashesUpstreams() || d.faultDuring(r.host, r.sentAt, r.endedAt, Pause, Kill):
		return ""
	case d.runCount(r) == 0 && d.faultDuring(r.host, r.sentAt, r.endedAt, Terminate):
		return ""
	case r.path == stand.PathStream && r.status == http.StatusOK && d.faultDuring(nil, r.sentAt, r.endedAt, UpstreamLink, UpstreamFault):
		return ""
	case isStreamPath(r.path) && r.status == http.StatusOK && d.crashDuring(r.sentAt, r.endedAt):
		return ""
	}
	return "ends without an answer"
}

// checkComplete checks, in a plan without faults, that a request has a complete response
// unless its deadline was reached. A request that no host has read, or that crosses the
// close of its connection on a host that shuts down, may fail.
func (d *deployment) checkComplete(r *record) string {
	switch {
	case r.err == nil || r.writtenAt.IsZero() || r.endedEarly() <= 0:
		return ""
	case !d.wasForwarded(r) && r.endedAt.Sub(r.writtenAt) <= crossingTime && d.faultDuring(r.host, r.sentAt, r.endedAt, Terminate):
		return ""
	}
	return "ends without a complete answer before its deadline"
}

// endedEarly returns how long before its deadline a request ended.
func (r *record) endedEarly() time.Duration { return r.deadline - r.endedAt.Sub(r.sentAt) }

// failedEarly reports whether a request got an error as its response before its deadline.
func (r *record) failedEarly() bool {
	failed := r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout
	return failed && r.endedEarly() > 0
}

// checkRoute checks that a route is served once its configuration is in force.
func (d *deployment) checkRoute(r *record) string {
	if r.status != http.StatusNotFound && r.status != http.StatusUnauthorized {
		return ""
	}
	for i, at := range d.publishTimes {
		if r.path != versionPath(i+1) {
			continue
		}
		superseded := i+1 < len(d.publishTimes) && d.publishTimes[i+1].Before(r.endedAt)
		if superseded || r.sentAt.Before(at.Add(maxConfigDelay)) || d.faultDuring(r.host, at, r.sentAt, StoreLink, StoreDown, StoreRestore, PeerLink, Pause, Kill, Terminate) {
			return ""
		}
	}
	return "has no route although its configuration is in force"
}

// faultDuring reports whether one of the faults may have had an effect between two times
// on a host, or on any host if h is nil.
func (d *deployment) faultDuring(h *host, from, to time.Time, actions ...Action) bool {
	for _, f := range d.faults {
		for _, a := range actions {
			if f.action == a && (h == nil || f.host == h) && f.from.Before(to) && f.to.Add(recoverySlack).After(from) {
				return true
			}
		}
	}
	return false
}
