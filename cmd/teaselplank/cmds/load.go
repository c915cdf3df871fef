package cmds

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"teaselplank/client"
	"teaselplank/wire"
)

// load makes calls at a fixed rate, independent of the answers (open loop), except that it
// waits while maxInFlight calls are in flight.
type load struct {
	callOptions
	Rate     float64       `default:"20" help:"Calls per second."`
	Duration time.Duration `default:"5s" help:"How long to make calls; at most 10m."`
	JSON     bool          `help:"Print JSON."`
}

// maxLoadDuration is the maximum duration of a load test, and maxInFlight its maximum
// number of calls in flight.
const (
	maxLoadDuration = 10 * time.Minute
	maxInFlight     = 2048
)

// A loadReport holds the results of a load test.
type loadReport struct {
	Sent   int `json:"sent"`
	Done   int `json:"done"`
	NotRun int `json:"not_run"`
	// Unknown counts answers with the outcome unknown, Errors calls without an answer.
	Unknown int     `json:"unknown"`
	Errors  int     `json:"errors"`
	P50     float64 `json:"p50_ms"`
	P95     float64 `json:"p95_ms"`
	P99     float64 `json:"p99_ms"`
}

// loadRecorder collects the answers and latencies of a load test.
type loadRecorder struct {
	client    *client.Client
	mu        sync.Mutex
	report    loadReport
	latencies *hdrhistogram.Histogram
}

// Run implements the subcommand.
func (c *load) Run(s *streams) error {
	if c.Rate <= 0 || c.Duration <= 0 || c.Duration > maxLoadDuration {
		return fmt.Errorf("rate %g and duration %s: the rate and the duration must be above 0, and the duration at most %s", c.Rate, c.Duration, maxLoadDuration)
	}
	l := &loadRecorder{client: client.New(c.Token), latencies: hdrhistogram.New(1, int64(maxLoadDuration/time.Microsecond), 3)}
	var calls sync.WaitGroup
	inFlight := make(chan struct{}, maxInFlight)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.Rate))
	defer ticker.Stop()
	end := time.After(c.Duration)
	for number := 0; ; number++ {
		select {
		case <-end:
			calls.Wait()
			return c.print(s, l)
		case <-ticker.C:
		}
		inFlight <- struct{}{}
		calls.Go(func() {
			defer func() { <-inFlight }()
			c.sendCall(l, number)
		})
	}
}

func (c *load) sendCall(l *loadRecorder, number int) {
	input := fmt.Sprintf("%s-%d", c.Input, number)
	key := ""
	if c.Once {
		key = uuid.Must(uuid.NewV7()).String()
	}
	started := time.Now()
	node := c.Nodes[number%len(c.Nodes)]
	answer, err := l.client.Send(context.Background(), node, c.newRequest(input, key))
	l.record(answer, err, time.Since(started))
}

func (l *loadRecorder) record(answer wire.Answer, err error, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.report
	r.Sent++
	switch {
	case err != nil:
		r.Errors++
	case answer.Outcome == wire.Done:
		r.Done++
	case answer.Outcome == wire.NotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
	// The value is clamped to the histogram's range, so RecordValue cannot fail.
	_ = l.latencies.RecordValue(min(max(latency.Microseconds(), 1), int64(maxLoadDuration/time.Microsecond)))
}

func (c *load) print(s *streams, l *loadRecorder) error {
	r := l.report
	quantile := func(q float64) float64 { return float64(l.latencies.ValueAtQuantile(q)) / 1000 }
	r.P50, r.P95, r.P99 = quantile(50), quantile(95), quantile(99)
	if c.JSON {
		return printJSON(s, r)
	}
	fmt.Fprintf(s.out, "sent %d: done %d, not run %d, unknown %d, errors %d\n",
		r.Sent, r.Done, r.NotRun, r.Unknown, r.Errors)
	fmt.Fprintf(s.out, "latency: p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n", r.P50, r.P95, r.P99)
	return nil
}
