package pipe

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histogram's range and precision, and how its window moves. Latencies are
// recorded in units of 100 µs.
const (
	latencyUnit    = 100 * time.Microsecond
	latencyMax     = int64(time.Minute / latencyUnit)
	latencyDigits  = 2
	latencyWindows = 4
	windowLength   = 2 * time.Second
	// refreshEvery is how often the quantiles are worked out anew.
	refreshEvery = 250 * time.Millisecond
	// minSamples is how many samples the quantiles need.
	minSamples = 20
)

// latency keeps quantiles of the latencies of the last seconds. The zero value
// is empty.
type latency struct {
	window *hdrhistogram.WindowedHistogram
	// turned and refreshed are when the window moved and when the quantiles
	// were worked out.
	turned    time.Time
	refreshed time.Time
	p50       time.Duration
	p95       time.Duration
	p99       time.Duration
	known     bool
}

func (l *latency) record(now time.Time, d time.Duration) {
	if l.window == nil {
		l.window = hdrhistogram.NewWindowed(latencyWindows, 1, latencyMax, latencyDigits)
		l.turned = now
	}
	if now.Sub(l.turned) >= windowLength {
		l.window.Rotate()
		l.turned = now
	}
	units := min(max(int64(d/latencyUnit), 1), latencyMax)
	// The value is within the histogram's range, so it cannot be refused.
	_ = l.window.Current.RecordValue(units)
	if now.Sub(l.refreshed) >= refreshEvery {
		l.refresh(now)
	}
}

func (l *latency) refresh(now time.Time) {
	l.refreshed = now
	merged := l.window.Merge()
	l.known = merged.TotalCount() >= minSamples
	if !l.known {
		return
	}
	l.p50 = time.Duration(merged.ValueAtQuantile(50)) * latencyUnit
	l.p95 = time.Duration(merged.ValueAtQuantile(95)) * latencyUnit
	l.p99 = time.Duration(merged.ValueAtQuantile(99)) * latencyUnit
}

// meter is a moving mean of events a second. The zero value has seen none.
type meter struct {
	since time.Time
	count float64
	rate  float64
}

// meterPeriod is how often the mean is brought up to date, and meterWeight the
// weight of the newest period.
const (
	meterPeriod = 500 * time.Millisecond
	meterWeight = 0.3
)

func (m *meter) add(now time.Time, count float64) {
	m.roll(now)
	m.count += count
}

func (m *meter) roll(now time.Time) {
	if m.since.IsZero() {
		m.since = now
		return
	}
	elapsed := now.Sub(m.since)
	if elapsed < meterPeriod {
		return
	}
	current := m.count / elapsed.Seconds()
	if m.rate == 0 {
		m.rate = current
	} else {
		m.rate += meterWeight * (current - m.rate)
	}
	m.since, m.count = now, 0
}

// value returns the mean as of now.
func (m *meter) value(now time.Time) float64 {
	m.roll(now)
	return m.rate
}
