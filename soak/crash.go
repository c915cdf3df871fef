package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"teaselplank/platform/stand"
)

const (
	// crashDelay is the time from the start of the clients to the first request with the
	// part that crashes engines.
	crashDelay = 3 * time.Second
	// crashRestart is the time from the crash of an engine to its next start.
	crashRestart = 2 * time.Second
	// crashPartID, firstPartID and the topics are parts of prompts. One of crashShare
	// requests has the part that crashes engines; all have the first part and a topic.
	crashPartID = "c4a5"
	firstPartID = "f157"
	crashShare  = 4
	topicCount  = 4
)

const (
	// toleratedCrashes is the number of crashes after which requests with the part that
	// caused them are to be kept from engines, and toleratedByRequest that after which one
	// request that caused them is. That takes maxQuarantineDelay at most; maxLateArrivals
	// requests may still reach upstreams afterwards.
	toleratedCrashes   = 5
	toleratedByRequest = 3
	maxQuarantineDelay = 3 * time.Second
	maxLateArrivals    = 3
	// maxCrashRecovery is the time after which sound requests are to be served again, as
	// often as minSoundShare of the share before.
	maxCrashRecovery = 6 * time.Second
	minSoundShare    = 0.5
	// minSoundRequests is the number of requests that a share is to be measured with.
	minSoundRequests = 10
)

// leaveShare returns how many clients of sound requests there are for each that leaves once its
// response has begun. In every second run all leave, so that no response is read to its end.
func leaveShare(seed uint64) int {
	if seed%2 == 0 {
		return 1
	}
	return crashShare
}

// crashRequests returns the requests that crash upstreams in the runs of a kind.
func (k PlanKind) crashRequests() []*stand.CrashRequest {
	if k != Repeats {
		return nil
	}
	return []*stand.CrashRequest{
		{Path: stand.PathSafe + "x", Body: crashBody, RestartAfter: crashRestart},
		{Path: stand.PathUnsafe + "x", Body: crashBody, RestartAfter: crashRestart},
	}
}

// crashBody is the body of the requests that crash upstreams.
const crashBody = "a body that crashes upstreams"

// usesCrashPart reports whether the runs of a kind have a part that crashes engines.
func (k PlanKind) usesCrashPart() bool { return k == Crashes }

// isStreamPath reports whether engines serve the requests to a path.
func isStreamPath(path string) bool { return path == stand.PathStream || path == stand.PathOnce }

// randomPrompt returns the path of a stream and the parts of its prompt but the last.
func randomPrompt(random *rand.Rand, crashes bool) (path string, parts []string) {
	path = stand.PathStream
	if random.IntN(2) == 0 {
		path = stand.PathOnce
	}
	parts = []string{firstPartID, fmt.Sprint("t", random.IntN(topicCount))}
	place, draw := random.IntN(len(parts)+1), random.IntN(crashShare)
	if crashes && draw == 0 {
		parts = slices.Insert(parts, place, crashPartID)
	}
	return path, parts
}

// crashesUpstreams reports whether a request crashes upstreams.
func (r *record) crashesUpstreams() bool {
	return slices.Contains(r.parts, crashPartID) || r.sentBody == crashBody
}

// begins reports whether the response to a request has content.
func (r *record) begins() bool { return r.status == http.StatusOK && r.body != "" }

// crashDuring reports whether an upstream crashed between two times.
func (d *deployment) crashDuring(from, to time.Time) bool {
	return slices.ContainsFunc(d.crashes(), func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// crashes returns the times of the crashes of upstreams. Those of each request are in order.
func (d *deployment) crashes() []time.Time {
	var crashes []time.Time
	if d.crashPart != nil {
		crashes = d.crashPart.Crashes()
	}
	for _, q := range d.crashRequests {
		crashes = append(crashes, q.Crashes()...)
	}
	return crashes
}

// checkCrashingRequests checks that each request that crashes upstreams is kept from them
// after some crashes, and that other plain requests are served then.
func (d *deployment) checkCrashingRequests() []string {
	if len(d.crashRequests) == 0 {
		return nil
	}
	all := d.crashes()
	slices.SortFunc(all, time.Time.Compare)
	if len(all) < toleratedByRequest {
		return []string{fmt.Sprintf("%d upstreams crashed; the run shows nothing", len(all))}
	}
	var violations []string
	// The requests may have been at the same upstreams when these crashed.
	known := all[toleratedByRequest-1]
	for _, q := range d.crashRequests {
		crashes := q.Crashes()
		if len(crashes) < toleratedByRequest {
			continue
		}
		if at := crashes[toleratedByRequest-1]; at.After(known) {
			known = at
		}
		violations = append(violations, checkLateArrivals(q.Path, &q.CrashRecord, toleratedByRequest)...)
	}
	isPlain := func(r *record) bool { return !isStreamPath(r.path) }
	return append(violations, d.clients.checkSound(isPlain, d.clients.crashFrom, known.Add(maxCrashRecovery))...)
}

// checkLateArrivals checks that what crashes upstreams is kept from them after the tolerated
// number of crashes, of which there are as many at least.
func checkLateArrivals(what string, c *stand.CrashRecord, tolerated int) []string {
	crashes := c.Crashes()
	n := c.ArrivalsAfter(crashes[tolerated-1].Add(maxQuarantineDelay))
	if n <= maxLateArrivals {
		return nil
	}
	return []string{fmt.Sprintf("%s reached upstreams %d times later than %s after crash %d, of %d in all", what, n, maxQuarantineDelay, tolerated, len(crashes))}
}

// checkCrashes checks that requests with the part that crashes engines are kept from them
// after some crashes, and that other requests are served then.
func (d *deployment) checkCrashes() []string {
	if d.crashPart == nil {
		return nil
	}
	crashes := d.crashPart.Crashes()
	if len(crashes) == 0 {
		return []string{"no engine crashed; the run shows nothing"}
	}
	if len(crashes) < toleratedCrashes {
		return nil
	}
	known := crashes[toleratedCrashes-1]
	violations := checkLateArrivals("a request with the part that crashes engines", &d.crashPart.CrashRecord, toleratedCrashes)
	isStream := func(r *record) bool { return isStreamPath(r.path) }
	return append(violations, d.clients.checkSound(isStream, d.clients.crashFrom, known.Add(maxCrashRecovery))...)
}

// checkSound checks that the share of some sound requests that are answered is, after a time,
// at least half of that before another.
func (c *clientPool) checkSound(counts func(*record) bool, before, after time.Time) []string {
	var early, late shareCounter
	for _, r := range c.records {
		switch {
		case !counts(r) || r.crashesUpstreams():
		case r.endedAt.Before(before):
			early.add(r.begins())
		case r.sentAt.After(after):
			late.add(r.begins())
		}
	}
	if early.total < minSoundRequests || late.total < minSoundRequests {
		return []string{fmt.Sprintf("%d and %d sound requests before the crashes and after them; the run shows nothing", early.total, late.total)}
	}
	if late.share() < minSoundShare*early.share() {
		return []string{fmt.Sprintf("%d of %d sound requests are answered after the crashes, %d of %d before them", late.met, late.total, early.met, early.total)}
	}
	return nil
}

// A shareCounter counts how many of a number of requests meet a condition.
type shareCounter struct{ met, total int }

func (s *shareCounter) add(met bool) {
	s.total++
	if met {
		s.met++
	}
}

func (s *shareCounter) share() float64 { return float64(s.met) / float64(s.total) }
