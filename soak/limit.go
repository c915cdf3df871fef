package soak

import (
	"fmt"
	"strconv"
	"time"
)

const (
	// An upstream names a limit for a time between minLimitTime and maxLimitTime.
	minLimitTime = 6 * time.Second
	maxLimitTime = 10 * time.Second
	// maxLimitSteps is the maximum number of limits in a series.
	maxLimitSteps = 2
	// limitLearnTime is the time within which hosts must know a limit. In any limitWindow
	// afterwards, an upstream may get limitFactor times what it names and limitExcess
	// requests more.
	limitLearnTime = 1500 * time.Millisecond
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitExcess    = 5
)

// limitRates are the limits that upstreams name, in requests per second.
var limitRates = []float64{0, 0.5, 1, 1.3, 2, 4, 10}

// A limitPeriod is a time in which an upstream named a limit.
type limitPeriod struct {
	rate     float64
	from, to time.Time
}

// nameLimits lets an upstream name one limit after the other, and none in the end. It does
// nothing if the upstream names one already.
func (d *deployment) nameLimits(u *upstream, length time.Duration, first int) {
	d.mu.Lock()
	limited := u.limited
	u.limited = true
	d.mu.Unlock()
	if limited {
		return
	}
	for i := range 2 {
		p := limitPeriod{rate: limitRates[(first+3*i)%len(limitRates)], from: time.Now()}
		u.worker.SetLimit(strconv.FormatFloat(p.rate, 'f', -1, 64))
		time.Sleep(length / 2)
		p.to = time.Now()
		d.mu.Lock()
		u.limits = append(u.limits, p)
		d.mu.Unlock()
	}
	u.worker.SetLimit("")
	d.mu.Lock()
	u.limited = false
	d.mu.Unlock()
}

// checkLimits checks that upstreams got no more than the limits that they named, from all
// hosts together.
func (d *deployment) checkLimits() []string {
	var violations []string
	for _, u := range d.upstreams {
		for _, p := range u.limits {
			allowed := int(limitFactor*p.rate*limitWindow.Seconds() + limitExcess)
			if got := u.worker.MostArrivals(p.from.Add(limitLearnTime), p.to, limitWindow); got > allowed {
				violations = append(violations, fmt.Sprintf("upstream %s got %d requests in %s with a limit of %v a second from %s to %s, %d are allowed",
					u.worker.ID, got, limitWindow, p.rate, p.from.Format(clockFormat), p.to.Format(clockFormat), allowed))
			}
		}
	}
	return violations
}
