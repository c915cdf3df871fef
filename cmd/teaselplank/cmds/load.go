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

// load makes calls at a fixed rate, whatever the answers (open loop).
type load struct {
	target
	Rate     float64       `default:"20" help:"Calls a second."`
	Duration time.Duration `default:"5s" help:"How long to make calls; at most 10m."`
	JSON     bool          `help:"Print JSON."`
}

// maxLoad and maxOpen bound a load in time and in calls under way.
const (
	maxLoad = 10 * time.Minute
	maxOpen = 2048
)

// A loadReport is what came of a load.
type loadReport struct {
	Sent   int `json:"sent"`
	Done   int `json:"done"`
	NotRun int `json:"not_run"`
	// Unknown counts answers of that outcome, Errors calls without any.
	Unknown int     `json:"unknown"`
	Errors  int     `json:"errors"`
	P50     float64 `json:"p50_ms"`
	P95     float64 `json:"p95_ms"`
	P99     float64 `json:"p99_ms"`
}

// loader collects the answers of a load.
type loader struct {
	client *client.Client
	mu     sync.Mutex
	report loadReport
	times  *hdrhistogram.Histogram
}

// Run implements the subcommand.
func (c *load) Run(s *streams) error {
	if c.Rate <= 0 || c.Duration <= 0 || c.Duration > maxLoad {
		return fmt.Errorf("rate %g and duration %s: the rate must be above 0 and the duration at most %s", c.Rate, c.Duration, maxLoad)
	}
	l := &loader{client: client.New(c.Token), times: hdrhistogram.New(1, int64(maxLoad/time.Microsecond), 3)}
	var group sync.WaitGroup
	open := make(chan struct{}, maxOpen)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.Rate))
	defer ticker.Stop()
	end := time.After(c.Duration)
	for number := 0; ; number++ {
		select {
		case <-end:
			group.Wait()
			return c.print(s, l)
		case <-ticker.C:
		}
		open <- struct{}{}
		group.Go(func() {
			defer func() { <-open }()
			c.one(l, number)
		})
	}
}

func (c *load) one(l *loader, number int) {
	input := fmt.Sprintf("%s-%d", c.Input, number)
	key := ""
	if c.Once {
		key = uuid.Must(uuid.NewV7()).String()
	}
	started := time.Now()
	node := c.Nodes[number%len(c.Nodes)]
	answer, err := l.client.Send(context.Background(), node, c.request(input, key))
	l.add(answer, err, time.Since(started))
}

func (l *loader) add(answer wire.Answer, err error, taken time.Duration) {
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
	// The value is within the histogram's range, so it cannot be refused.
	_ = l.times.RecordValue(min(max(taken.Microseconds(), 1), int64(maxLoad/time.Microsecond)))
}

func (c *load) print(s *streams, l *loader) error {
	r := l.report
	quantile := func(q float64) float64 { return float64(l.times.ValueAtQuantile(q)) / 1000 }
	r.P50, r.P95, r.P99 = quantile(50), quantile(95), quantile(99)
	if c.JSON {
		return printJSON(s, r)
	}
	fmt.Fprintf(s.out, "sent %d: done %d, not run %d, unknown %d, errors %d\n",
		r.Sent, r.Done, r.NotRun, r.Unknown, r.Errors)
	fmt.Fprintf(s.out, "latency: p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n", r.P50, r.P95, r.P99)
	return nil
}
