package pipe

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range, precision and sliding window of the latency histogram. Latencies are recorded
// in units of 100 µs.
const (
	latencyUnit    = 100 * time.Microsecond
	latencyMax     = int64(time.Minute / latencyUnit)
	latencyDigits  = 2
	latencyWindows = 4
	windowLength   = 2 * time.Second
	// refreshInterval is the minimum time between computations of the quantiles.
	refreshInterval = 250 * time.Millisecond
	// minSamples is the number of samples from which the quantiles are known.
	minSamples = 20
)

// latency keeps quantiles of recent latencies: those of the last latencyWindows windows
// of windowLength. The zero value is empty.
type latency struct {
	window *hdrhistogram.WindowedHistogram
	// rotatedAt is when the window last advanced, refreshedAt when the quantiles were
	// last computed.
	rotatedAt   time.Time
	refreshedAt time.Time
	p50         time.Duration
	p95         time.Duration
	p99         time.Duration
	known       bool
}

func (l *latency) record(now time.Time, d time.Duration) {
	if l.window == nil {
		l.window = hdrhistogram.NewWindowed(latencyWindows, 1, latencyMax, latencyDigits)
		l.rotatedAt = now
	}
	if now.Sub(l.rotatedAt) >= windowLength {
		l.window.Rotate()
		l.rotatedAt = now
	}
	units := min(max(int64(d/latencyUnit), 1), latencyMax)
	// RecordValue cannot fail: units is within the range of the histogram.
	_ = l.window.Current.RecordValue(units)
	if now.Sub(l.refreshedAt) >= refreshInterval {
		l.refresh(now)
	}
}

func (l *latency) refresh(now time.Time) {
	l.refreshedAt = now
	merged := l.window.Merge()
	l.known = merged.TotalCount() >= minSamples
	if !l.known {
		return
	}
	l.p50 = time.Duration(merged.ValueAtQuantile(50)) * latencyUnit
	l.p95 = time.Duration(merged.ValueAtQuantile(95)) * latencyUnit
	l.p99 = time.Duration(merged.ValueAtQuantile(99)) * latencyUnit
}

// meter is an exponential moving average of events per second. The zero value has no
// events.
type meter struct {
	since time.Time
	count float64
	rate  float64
}

// meterPeriod is the minimum length of a sample, and meterWeight the weight of the
// newest sample in the average.
const (
	meterPeriod = 500 * time.Millisecond
	meterWeight = 0.3
)

func (m *meter) add(now time.Time, count float64) {
	m.update(now)
	m.count += count
}

func (m *meter) update(now time.Time) {
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

// value returns the average at now.
func (m *meter) value(now time.Time) float64 {
	m.update(now)
	return m.rate
}
