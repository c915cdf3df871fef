// Package load generates load for demonstrations and tests of the whole system. It
// makes calls to nodes that serve the stand-ins of package fake and checks each answer
// against the output that the stand-ins compute.
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

// Config is the configuration of a run.
type Config struct {
	// Nodes are the addresses of the nodes' caller listeners.
	Nodes []string
	Token string
	// Killed are the nodes that the test kills; calls to them may fail.
	Killed []string
	// Pipeline is the pipeline to call, or empty. Stages are the kinds of its stages
	// in order; the last stage generates Tokens tokens.
	Pipeline string
	Stages   []string
	Tokens   int
	// Service is the service to call with idempotency keys, or empty. Counters are
	// the addresses of its upstreams, which count the executions of each key.
	Service  string
	Counters []string
	// Rate is the number of calls per second to the pipeline, and also to the service.
	Rate     float64
	Duration time.Duration
}

// A Report counts the calls by result.
type Report struct {
	// Answered counts calls with a complete and correct result.
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Unreached counts calls without an answer whose node refused the connection or
	// was killed.
	Unreached int `json:"unreached"`
	// Lost counts calls that a live node did not answer or answered with a truncated
	// result, results that a later call with the same key did not return, and keys
	// that ran although the last answer was "not run".
	Lost int `json:"lost"`
	// Doubled counts keys that ran more than once.
	Doubled int `json:"doubled"`
	// Crossed counts answers with a result that does not belong to the call.
	Crossed int `json:"crossed"`
}

// OK reports whether Lost, Doubled and Crossed are all 0.
func (r Report) OK() bool { return r.Lost+r.Doubled+r.Crossed == 0 }

// String returns the counts on one line.
func (r Report) String() string {
	return fmt.Sprintf("answered %d, not run %d, unknown %d, unreached %d, lost %d, doubled %d, crossed %d",
		r.Answered, r.NotRun, r.Unknown, r.Unreached, r.Lost, r.Doubled, r.Crossed)
}

// A driver makes the calls of a run and collects their results.
type driver struct {
	config Config
	client *client.Client
	mu     sync.Mutex
	report Report
	// notRun maps each key to whether its last answer is "not run".
	notRun map[string]bool
	// hasResult maps each key to whether a call has returned its result.
	hasResult map[string]bool
}

// Run makes calls for config.Duration and reports their results.
func Run(ctx context.Context, config Config) (Report, error) {
	d := &driver{
		config:    config,
		client:    client.New(config.Token),
		notRun:    make(map[string]bool),
		hasResult: make(map[string]bool),
	}
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / config.Rate))
	defer ticker.Stop()
	end := time.After(config.Duration)
	for number := 0; ; number++ {
		select {
		case <-end:
			calls.Wait()
			return d.report, d.countExecutions(ctx)
		case <-ctx.Done():
			calls.Wait()
			return d.report, ctx.Err()
		case <-ticker.C:
		}
		if config.Pipeline != "" {
			calls.Go(func() { d.callPipeline(ctx, number) })
		}
		if config.Service != "" {
			calls.Go(func() { d.callService(ctx, number) })
		}
	}
}

func (d *driver) nodeFor(number int) string { return d.config.Nodes[number%len(d.config.Nodes)] }

// expectedOutput returns the correct output of the pipeline for an input.
func (d *driver) expectedOutput(input string) string {
	last := len(d.config.Stages) - 1
	for _, kind := range d.config.Stages[:last] {
		input = fake.StageOutput(kind, input)
	}
	return fake.GeneratedText(input, d.config.Tokens)
}

// callPipeline makes a pipeline call. Every second call asks for a stream.
func (d *driver) callPipeline(ctx context.Context, number int) {
	input := fmt.Sprintf("claim-%d", number)
	answer, err := d.client.Send(ctx, d.nodeFor(number), client.Request{
		Pipeline: d.config.Pipeline, Input: input, MaxTokens: d.config.Tokens, Stream: number%2 == 0,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countAnswer(d.nodeFor(number), answer, err, d.expectedOutput(input))
}

// isExpectedFailure reports whether a call has no answer because its node had stopped
// before the call or because the test kills the node.
func (d *driver) isExpectedFailure(node string, err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || slices.Contains(d.config.Killed, node)
}

// countAnswer counts the result of a call in the report.
func (d *driver) countAnswer(node string, answer wire.Answer, err error, want string) {
	r := &d.report
	switch {
	case err != nil && d.isExpectedFailure(node, err):
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

// sendsPerKey is the number of times that each key is sent.
const sendsPerKey = 3

// callService sends a call that must run at most once to several nodes in turn,
// whatever the answers are.
func (d *driver) callService(ctx context.Context, number int) {
	key := uuid.Must(uuid.NewV7()).String()
	input := "filing-" + key
	want := fake.StageOutput("receipt", input)
	for attempt := range sendsPerKey {
		node := d.nodeFor(number + attempt)
		answer, err := d.client.Send(ctx, node, client.Request{
			Service: d.config.Service, Input: input, Key: key,
		})
		d.mu.Lock()
		if d.hasResult[key] && err == nil && (answer.Outcome == wire.NotRun || answer.Outcome == wire.Done && answer.Output != want) {
			d.report.Lost++
		}
		if !d.hasResult[key] {
			d.countAnswer(node, answer, err, want)
		}
		d.notRun[key] = err == nil && answer.Outcome == wire.NotRun
		d.hasResult[key] = d.hasResult[key] || err == nil && answer.Outcome == wire.Done
		d.mu.Unlock()
		if answer.RetryAfter > 0 {
			time.Sleep(min(time.Duration(answer.RetryAfter)*time.Millisecond, time.Second))
		}
	}
}

// countExecutions fetches the executions of each key from the upstreams, and counts the
// keys that ran more than once or despite the answer "not run".
func (d *driver) countExecutions(ctx context.Context) error {
	runs := make(map[string]int)
	for _, addr := range d.config.Counters {
		counts, err := fetchCounts(ctx, addr)
		if err != nil {
			return err
		}
		for key, n := range counts {
			runs[key] += n
		}
	}
	for key, n := range runs {
		if n > 1 {
			d.report.Doubled++
		}
		if d.notRun[key] {
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
