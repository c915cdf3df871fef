// Package speed estimates how long each upstream of a service takes for its work, compared to
// what is usual for the service. Upstreams on hosts that are shared with others may be many
// times slower than others, all the time or for some hundred milliseconds.
//
// An estimate has two sources. An upstream reports how long its work takes at present, which is
// known at once but soon out of date, and may be wrong. Responses show how long their work took
// compared to the usual time, which cannot be wrong but is known late. The weight of a
// report falls with its age, and a report is corrected by what the upstream's responses showed
// while it reported. Both are
// bounded, so that no value that an upstream reports attracts or repels all work for long.
//
// Callers state the cost of work in the time that it takes at an upstream without a known speed.
// The package has no clock and no I/O. The zero values of its types are ready to use.
package speed

import (
	"math"
	"time"
)

const (
	// A report has its full weight up to the age freshAge, and none from maxReportAge on. Slow
	// periods last some hundred milliseconds.
	freshAge     = 100 * time.Millisecond
	maxReportAge = 500 * time.Millisecond
	// minReported and maxReported bound the slowness that a report is taken for.
	minReported = 0.5
	maxReported = 64
	// minSlowness and maxSlowness bound estimates. An upstream that claims to be fast gets at
	// most the work of two.
	minSlowness = 0.5
	maxSlowness = 64
	// maxCorrection bounds the factor by which reports are corrected.
	maxCorrection = 64
	// usualWeight, measuredWeight, correctionWeight and distrustWeight are the weights of a new
	// response in the moving averages. A report of the slowness and a response describe
	// different moments, so it takes many responses to correct reports. An upstream that reports
	// a high load gets few requests, so each of its responses has a large weight.
	usualWeight      = 1.0 / 20
	measuredWeight   = 1.0 / 4
	correctionWeight = 1.0 / 8
	distrustWeight   = 1.0 / 2
	// maxUsualStep bounds how far a response may differ from the usual time in the average, as
	// a natural logarithm, so that a few upstreams do not shift it.
	maxUsualStep = 1.0
	// maxUsual bounds the ratio of the usual time to the cost, in both directions.
	maxUsual = 1000
	// After these times without a response, what responses showed counts for about a third
	// (1/e), so that an upstream that was slow gets work again. Where many nodes share many
	// upstreams, a node gets a response of each only every 10 to 20 s.
	measuredTimeConstant   = 30 * time.Second
	correctionTimeConstant = time.Minute
	// trustedWeight is the weight that a report needs to be compared with responses.
	trustedWeight = 0.5
	// minLoadRatio is the least ratio of the expected times with and without the reported
	// requests at which a response shows whether they exist.
	minLoadRatio = 2
	// fullDistrust is the missing part of the reported requests at which the report is ignored
	// completely. Even a few requests that do not exist outweigh the benefit of a cached prefix.
	fullDistrust = 0.75
	// A wait for a response shows that an upstream is slow if it exceeds waitGrace and
	// waitFactor times the expected time. Processes of small hosts are paused for some
	// milliseconds at a time.
	waitGrace  = 20 * time.Millisecond
	waitFactor = 2
)

// A Service is what the responses of all upstreams of a service show.
type Service struct {
	active bool
	// usual is the logarithm of the usual ratio of the time of work to its cost, from count
	// responses.
	usual float64
	count int
}

// Active reports whether an upstream of the service has reported a slowness.
func (s *Service) Active() bool { return s.active }

// Usual returns the usual ratio of the time of work to its cost. It is 1 if it is not known.
func (s *Service) Usual() float64 { return math.Exp(s.usual) }

// Report records how long work takes at an upstream at present, in percent of the usual time. It
// ignores a value that is not above 0.
func (s *Service) Report(now time.Time, u *Upstream, percent int) {
	if percent <= 0 {
		return
	}
	s.active = true
	u.reported = math.Log(min(max(float64(percent)/100, minReported), maxReported))
	u.percent, u.reportedAt = percent, now
}

// Observe records how long work of a cost took at an upstream. It ignores values that are not
// above 0.
func (s *Service) Observe(now time.Time, u *Upstream, took, cost time.Duration) {
	if took <= 0 || cost <= 0 {
		return
	}
	weight := u.reportWeight(now)
	ratio := math.Log(float64(took) / float64(cost))
	// Corrections do not count here, so that they remain relative to the usual time.
	explained := weight * u.reported
	if s.count == 0 {
		s.usual = ratio - explained
	}
	s.count++
	step := clamp(ratio-explained-s.usual, maxUsualStep)
	s.usual = clamp(s.usual+max(usualWeight, 1/float64(s.count))*step, math.Log(maxUsual))
	slowness := clamp(ratio-s.usual, math.Log(maxSlowness))
	u.measured.add(now, slowness, measuredWeight, measuredTimeConstant)
	if weight >= trustedWeight {
		u.correction.add(now, clamp(slowness-u.reported, math.Log(maxCorrection)), correctionWeight, correctionTimeConstant)
	}
}

// Expected returns how long work of a cost usually takes.
func (s *Service) Expected(cost time.Duration) time.Duration {
	return time.Duration(s.Usual() * float64(cost))
}

// An Upstream is what is known of the speed of one upstream.
type Upstream struct {
	// reported is the logarithm of the slowness of the last report, which was percent, and
	// reportedAt its time, or zero.
	reported   float64
	percent    int
	reportedAt time.Time
	// measured is the logarithm of the slowness that responses showed, and correction that of
	// the ratio of this slowness to the reported one.
	measured, correction average
	// distrust is the part of the reported requests that, as responses showed, do not exist.
	distrust average
}

// ObserveLoad records how long work took. The expected time is with if the upstream has all the
// requests that it reports, and without if it has only those that the caller knows of. The call
// has no effect unless the two differ by a factor of minLoadRatio.
func (u *Upstream) ObserveLoad(now time.Time, took, with, without time.Duration) {
	if took <= 0 || without <= 0 || float64(with) < minLoadRatio*float64(without) {
		return
	}
	missing := math.Log(float64(with)/float64(took)) / math.Log(float64(with)/float64(without))
	u.distrust.add(now, min(max(missing, 0), 1), distrustWeight, correctionTimeConstant)
}

// LoadTrust returns the part of the reported requests to count, from 0 to 1.
func (u *Upstream) LoadTrust(now time.Time) float64 {
	return max(1-u.distrust.at(now, correctionTimeConstant)/fullDistrust, 0)
}

// Slowness returns how much longer than usual the upstream takes for its work. It is 1 if nothing
// is known.
func (u *Upstream) Slowness(now time.Time) float64 {
	weight := u.reportWeight(now)
	log := (1 - weight) * u.measured.at(now, measuredTimeConstant)
	if weight > 0 {
		log += weight * (u.reported + u.correction.at(now, correctionTimeConstant))
	}
	return min(max(math.Exp(log), minSlowness), maxSlowness)
}

// Reported returns the last reported slowness in percent and its age. It returns false if there
// is none.
func (u *Upstream) Reported(now time.Time) (percent int, age time.Duration, ok bool) {
	if u.reportedAt.IsZero() {
		return 0, 0, false
	}
	return u.percent, now.Sub(u.reportedAt), true
}

// reportWeight returns the weight of the last report, from 0 to 1.
func (u *Upstream) reportWeight(now time.Time) float64 {
	if u.reportedAt.IsZero() {
		return 0
	}
	left := float64(maxReportAge-now.Sub(u.reportedAt)) / float64(maxReportAge-freshAge)
	return min(max(left, 0), 1)
}

// WaitSlowness returns the slowness that a wait for a response shows, given how long the response
// usually takes. It is 0 if the wait shows nothing yet.
func WaitSlowness(waited, expected time.Duration) float64 {
	waited -= waitGrace
	if expected <= 0 || waited <= waitFactor*expected {
		return 0
	}
	return min(float64(waited)/float64(expected), maxSlowness)
}

// An average is a moving average that approaches 0 while no value is added.
type average struct {
	value     float64
	updatedAt time.Time
}

// at returns the average at a time.
func (a *average) at(now time.Time, timeConstant time.Duration) float64 {
	age := now.Sub(a.updatedAt)
	if a.value == 0 || age <= 0 {
		return a.value
	}
	return a.value * math.Exp(-float64(age)/float64(timeConstant))
}

// add adds a value with a weight from 0 to 1.
func (a *average) add(now time.Time, value, weight float64, timeConstant time.Duration) {
	current := a.at(now, timeConstant)
	a.value, a.updatedAt = current+weight*(value-current), now
}

// clamp returns the value between -bound and bound that is closest to v.
func clamp(v, bound float64) float64 { return min(max(v, -bound), bound) }
