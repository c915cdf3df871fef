// Package budget bounds the number of retries. In any time window, all nodes together
// may retry a share of a service's requests plus a fixed number. Each node enforces its
// own part without coordination: the share of the requests that it has sent itself,
// plus an equal part of the fixed number.
package budget

import "time"

// Config is the retry budget of all nodes together.
type Config struct {
	// Ratio is the share of a service's requests that may be retried.
	Ratio float64
	// Slack is the number of additional retries in a window.
	Slack float64
	// Window is the length of the sliding time window.
	Window time.Duration
	// Started is when this process took the place of another one, which may have used the node's part
	// of Slack shortly before. It is zero if there was none.
	Started time.Time
}

// slackOf returns what the node may use of the fixed number at a time. In the first window that
// is what the process before it has left of the node's part.
func (c Config) slackOf(now time.Time, nodes int) float64 {
	part := c.Slack / float64(max(nodes, 1))
	if !c.Started.IsZero() && now.Sub(c.Started) < c.Window+c.bucketLength() {
		return part * (1 - safetyFactor)
	}
	return part * safetyFactor
}

// bucketLength returns the length of the time interval of a bucket.
func (c Config) bucketLength() time.Duration { return c.Window / (bucketCount - 1) }

// DefaultConfig returns the budget that applies if the settings do not set one.
func DefaultConfig() Config {
	return Config{Ratio: 0.1, Slack: 10, Window: 10 * time.Second}
}

const (
	// bucketCount is the number of buckets of a Meter. They cover a window and the
	// current, partly filled bucket.
	bucketCount = 20
	// safetyFactor is the share of the budget that is used, because the buckets of
	// different nodes differ at the edges of a window.
	safetyFactor = 0.7
)

// A Meter counts the requests and retries of one service in the last window. The zero
// value is an empty meter.
type Meter struct {
	buckets [bucketCount]bucket
}

// A bucket holds the counts of one time interval of the window.
type bucket struct {
	// index is the number of the interval, counted from the Unix epoch.
	index    int64
	requests float64
	retries  float64
}

func (m *Meter) bucket(c Config, now time.Time) *bucket {
	index := now.UnixNano() / int64(c.bucketLength())
	b := &m.buckets[index%bucketCount]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}

// AddRequest counts the first attempt of a request.
func (m *Meter) AddRequest(c Config, now time.Time) { m.bucket(c, now).requests++ }

// Idle reports whether there were no requests and no retries in the last window.
func (m *Meter) Idle(c Config, now time.Time) bool {
	requests, retries := m.totals(c, now)
	return requests == 0 && retries == 0
}

// Spend reports whether the budget allows a retry and, if so, counts it. The budget is
// shared by the given number of nodes.
func (m *Meter) Spend(c Config, now time.Time, nodes int) bool {
	if m.Remaining(c, now, nodes) < 1 {
		return false
	}
	m.bucket(c, now).retries++
	return true
}

// Remaining returns how many retries the budget currently allows.
func (m *Meter) Remaining(c Config, now time.Time, nodes int) float64 {
	requests, retries := m.totals(c, now)
	return safetyFactor*c.Ratio*requests + c.slackOf(now, nodes) - retries
}

// totals returns the requests and retries of the last window.
func (m *Meter) totals(c Config, now time.Time) (requests, retries float64) {
	current := m.bucket(c, now)
	for i := range m.buckets {
		if m.buckets[i].index > current.index-bucketCount {
			requests += m.buckets[i].requests
			retries += m.buckets[i].retries
		}
	}
	return requests, retries
}
