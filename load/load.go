// Package load makes calls to nodes that serve the stand-ins of package fake,
// and checks each answer against what the stand-ins must have answered. It is
// for demonstrations and tests of the whole system.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"

	"teaselplank/client"
	"teaselplank/fake"
	"teaselplank/wire"
)

// Config says what to call.
type Config struct {
	// Nodes are the addresses of listeners for callers.
	Nodes []string
	Token string
	// Killed are the nodes that the test kills; calls on them may be cut.
	Killed []string
	// Pipeline is called with Stages, the kinds of its stages in order, the
	// last of which generates Tokens tokens.
	Pipeline string
	Stages   []string
	Tokens   int
	// Service is called with idempotency keys; its executions are counted at
	// the upstreams Counters.
	Service  string
	Counters []string
	// Rate is the number of calls a second of each kind, for Duration.
	Rate     float64
	Duration time.Duration
}

// A Report counts the answers.
type Report struct {
	// Answered calls have a whole and right result.
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Unreached calls got no answer since their node was gone or killed.
	Unreached int `json:"unreached"`
	// Lost counts streams that were cut by a live node, results that a
	// repeat of the key did not return, and runs denied by "not run".
	Lost int `json:"lost"`
	// Doubled counts keys that ran more than once.
	Doubled int `json:"doubled"`
	// Crossed counts results of another call.
	Crossed int `json:"crossed"`
}

// OK reports whether nothing was lost, doubled or crossed.
func (r Report) OK() bool { return r.Lost+r.Doubled+r.Crossed == 0 }

// String returns the counts on one line.
func (r Report) String() string {
	return fmt.Sprintf("answered %d, not run %d, unknown %d, unreached %d, lost %d, doubled %d, crossed %d",
		r.Answered, r.NotRun, r.Unknown, r.Unreached, r.Lost, r.Doubled, r.Crossed)
}

// driver collects what the calls tell.
type driver struct {
	config Config
	client *client.Client
	mu     sync.Mutex
	report Report
	// denied are the keys of which the last word was that they have not run.
	denied map[string]bool
	// done are the keys that have a result.
	done map[string]bool
}

// Run makes the calls and returns what came of them.
func Run(ctx context.Context, config Config) (Report, error) {
	d := &driver{
		config: config,
		client: client.New(config.Token),
		denied: make(map[string]bool),
		done:   make(map[string]bool),
	}
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / config.Rate))
	defer ticker.Stop()
	end := time.After(config.Duration)
	for number := 0; ; number++ {
		select {
		case <-end:
			group.Wait()
			return d.report, d.count(ctx)
		case <-ctx.Done():
			group.Wait()
			return d.report, ctx.Err()
		case <-ticker.C:
		}
		if config.Pipeline != "" {
			group.Go(func() { d.pipeline(ctx, number) })
		}
		if config.Service != "" {
			group.Go(func() { d.service(ctx, number) })
		}
	}
}

func (d *driver) node(number int) string { return d.config.Nodes[number%len(d.config.Nodes)] }

// expected returns what the pipeline must answer to an input.
func (d *driver) expected(input string) string {
	last := len(d.config.Stages) - 1
	for _, kind := range d.config.Stages[:last] {
		input = fake.Output(kind, input)
	}
	return fake.Generated(input, d.config.Tokens)
}

// pipeline makes a call whose answer is streamed.
func (d *driver) pipeline(ctx context.Context, number int) {
	input := fmt.Sprintf("claim-%d", number)
	answer, err := d.client.Send(ctx, d.node(number), client.Request{
		Pipeline: d.config.Pipeline, Input: input, Tokens: d.config.Tokens, Stream: number%2 == 0,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tally(d.node(number), answer, err, d.expected(input))
}

// gone reports whether a call without an answer is explained by its node having
// stopped before the call, or having been killed.
func (d *driver) gone(node string, err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || slices.Contains(d.config.Killed, node)
}

// tally counts an answer.
func (d *driver) tally(node string, answer wire.Answer, err error, want string) {
	r := &d.report
	switch {
	case err != nil && d.gone(node, err):
		r.Unreached++
	case err != nil:
		r.Lost++
	case answer.Outcome == wire.NotRun:
		r.NotRun++
	case answer.Outcome == wire.Unknown:
		r.Unknown++
	case answer.Output == want:
		r.Answered++
	case strings.HasPrefix(want, answer.Output):
		r.Lost++
	default:
		r.Crossed++
	}
}

// repeats bounds how often a key without a result is asked for again.
const repeats = 3

// service makes a call that must run at most once, and repeats it at other nodes
// whatever the answer.
func (d *driver) service(ctx context.Context, number int) {
	key := uuid.Must(uuid.NewV7()).String()
	input := "filing-" + key
	want := fake.Output("receipt", input)
	for try := range repeats {
		node := d.node(number + try)
		answer, err := d.client.Send(ctx, node, client.Request{
			Service: d.config.Service, Input: input, Key: key,
		})
		d.mu.Lock()
		if d.done[key] && err == nil && (answer.Outcome == wire.NotRun || answer.Outcome == wire.Done && answer.Output != want) {
			d.report.Lost++
		}
		if !d.done[key] {
			d.tally(node, answer, err, want)
		}
		d.denied[key] = err == nil && answer.Outcome == wire.NotRun
		d.done[key] = d.done[key] || err == nil && answer.Outcome == wire.Done
		d.mu.Unlock()
		if answer.RetryAfter > 0 {
			time.Sleep(min(time.Duration(answer.RetryAfter)*time.Millisecond, time.Second))
		}
	}
}

// count asks the upstreams how often each key ran.
func (d *driver) count(ctx context.Context) error {
	total := make(map[string]int)
	for _, addr := range d.config.Counters {
		counts, err := fetchCounts(ctx, addr)
		if err != nil {
			return err
		}
		for key, n := range counts {
			total[key] += n
		}
	}
	for key, n := range total {
		if n > 1 {
			d.report.Doubled++
		}
		if d.denied[key] {
			d.report.Lost++
		}
	}
	return nil
}

func fetchCounts(ctx context.Context, addr string) (map[string]int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/counts", nil)
	if err != nil {
		return nil, fmt.Errorf("build request to %q: %w", addr, err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, fmt.Errorf("count executions at %q: %w", addr, err)
	}
	defer response.Body.Close()
	var counts map[string]int
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		return nil, fmt.Errorf("decode counts of %q: %w", addr, err)
	}
	return counts, nil
}
