package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"teaselplank/platform/stand"
)

const (
	// minServedShare is the share of the resumed streams that must go on if the same share of
	// the new streams is served, with minSearches of each or more.
	minServedShare = 0.9
	minSearches    = 8
	// maxEvidence is the maximum number of refused streams that a violation describes.
	maxEvidence = 12
)

// meets reports whether the share of served streams is high enough.
func (s shareCounter) meets() bool { return float64(s.met) >= minServedShare*float64(s.total) }

// String returns the two numbers.
func (s shareCounter) String() string { return fmt.Sprintf("%d of %d", s.met, s.total) }

// checkStreams checks the streams of the clients that resume them, and that resumed streams are
// served as often as new ones.
func (d *deployment) checkStreams() []string {
	var violations []string
	for _, s := range d.streams.streams {
		if s.problem != "" {
			violations = append(violations, fmt.Sprintf("%s, begun %s, %s", s.id, s.beganAt.Format(clockFormat), s.problem))
		}
	}
	resumed, begun := d.judgeResumptions()
	if resumed.total < minSearches || begun.total < minSearches || resumed.meets() || !begun.meets() {
		return violations
	}
	evidence := d.refusedStreams()
	return append(violations, fmt.Sprintf("%s resumed streams went on, %s new ones were served:\n%s", resumed, begun,
		strings.Join(evidence[:min(len(evidence), maxEvidence)], "\n")))
}

// judgeResumptions counts the streams whose clients could resume them, and the new ones that
// clients could begin at the same moments.
func (d *deployment) judgeResumptions() (resumed, begun shareCounter) {
	for _, r := range d.streams.resumed {
		if d.couldGoOn(r) {
			resumed.add(r.served)
		}
	}
	for _, r := range d.streams.begun {
		if d.metHost(r) {
			begun.add(r.served)
		}
	}
	return resumed, begun
}

// refusedStreams describes the streams that could go on and did not.
func (d *deployment) refusedStreams() []string {
	var evidence []string
	for _, r := range d.streams.resumed {
		if !r.served && d.couldGoOn(r) {
			evidence = append(evidence, r.String())
		}
	}
	return evidence
}

// streamLog returns a line for each resumed stream and each new one.
func (d *deployment) streamLog() string {
	var lines strings.Builder
	for i, r := range d.streams.resumed {
		begun := d.streams.begun[i]
		fmt.Fprintf(&lines, "served %t could %t %s\n", r.served, d.couldGoOn(r), r)
		fmt.Fprintf(&lines, "served %t could %t %s\n", begun.served, d.metHost(begun), begun)
	}
	return lines.String()
}

// String describes the search for messages.
func (r *streamSearch) String() string {
	tries := make([]string, len(r.tries))
	for i, t := range r.tries {
		tries[i] = t.String()
	}
	sought := strings.Join(tries, "; ")
	if r.version == "" {
		return fmt.Sprintf("new %s, sought %s: %s", r.stream.id, r.from.Format(clockFormat), sought)
	}
	return fmt.Sprintf("%s of version %s, begun %s, broken off after %d events %s: %s", r.stream.id, r.version,
		r.stream.beganAt.Format(clockFormat), r.events, r.from.Format(clockFormat), sought)
}

// couldGoOn reports whether a stream that broke off could be resumed: an engine of its version
// was registered and sound all the time, a try met a host in touch with the store, and no
// restoration of the store took with it what the hosts knew.
func (d *deployment) couldGoOn(r *streamSearch) bool {
	return d.metHost(r) && !d.wasForgotten(r) && slices.ContainsFunc(d.upstreams, func(u *upstream) bool {
		return u.worker.Kind == stand.Engine && u.worker.Version == r.version && d.wasSound(u, r.from, r.to)
	})
}

// wasSound reports whether an upstream was registered and had no fault between two times.
func (d *deployment) wasSound(u *upstream, from, to time.Time) bool {
	if u.startedAt.After(from.Add(-recoverySlack)) || !u.drainingSince.IsZero() && u.drainingSince.Before(to) {
		return false
	}
	return !slices.ContainsFunc(d.faults, func(f faultPeriod) bool {
		return f.action == UpstreamLink && f.upstream == u && f.overlaps(from, to)
	})
}

// overlaps reports whether a fault may have had an effect between two times.
func (f faultPeriod) overlaps(from, to time.Time) bool {
	return f.from.Before(to) && f.to.Add(recoverySlack).After(from)
}

// metHost reports whether a try of a search met a host that served and was in touch with the
// store.
func (d *deployment) metHost(r *streamSearch) bool {
	return slices.ContainsFunc(r.tries, func(t streamTry) bool {
		return !d.storeFaultDuring(t.sentAt, t.endedAt) && !d.faultDuring(t.host, t.sentAt, t.endedAt, StoreLink, Pause, Terminate)
	})
}

// storeFaultDuring reports whether the store may not have served all calls between two times.
func (d *deployment) storeFaultDuring(from, to time.Time) bool {
	return d.faultDuring(nil, from, to, StoreDown, StoreAppends) ||
		slices.ContainsFunc(d.restorations(), func(f faultPeriod) bool { return f.overlaps(from, to) })
}

// restorations returns the times at which the store was unavailable while it was restored.
func (d *deployment) restorations() []faultPeriod {
	var list []faultPeriod
	for _, f := range d.faults {
		if f.action == StoreRestore {
			list = append(list, faultPeriod{from: f.to.Add(-restoreOutage), to: f.to})
		}
	}
	return list
}

// wasForgotten reports whether all hosts ended right when the store was restored, and the copy
// lacked a release or a stream that had begun since the first release.
func (d *deployment) wasForgotten(r *streamSearch) bool {
	return slices.ContainsFunc(d.faults, func(f faultPeriod) bool {
		return f.action == StoreRestore && d.killedAll(f.to.Add(-restoreOutage), f.to.Add(recoverySlack)) &&
			(d.releasedBetween(f.from, f.to) || d.releasedBetween(time.Time{}, f.to) && r.stream.beganAt.After(f.from.Add(-recoverySlack)))
	})
}

// killedAll reports whether all hosts were down at once between two times.
func (d *deployment) killedAll(from, to time.Time) bool {
	return slices.ContainsFunc(d.faults, func(f faultPeriod) bool {
		return f.action == KillAll && f.from.Before(to) && f.to.After(from)
	})
}

// releasedBetween reports whether hosts may have recorded a release between two times.
func (d *deployment) releasedBetween(from, to time.Time) bool {
	return slices.ContainsFunc(d.upstreams, func(u *upstream) bool {
		return u.worker.Kind == stand.Engine && u.worker.Version != d.engineVersion && u.startedAt.After(from.Add(-recoverySlack)) && u.startedAt.Before(to)
	})
}
