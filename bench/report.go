package bench

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"teaselplank/admit"
	"teaselplank/core"
	"teaselplank/wire"
)

// A Report holds the results of a policy under a fault.
type Report struct {
	Site    string `json:"site"`
	Fault   string `json:"fault"`
	Variant string `json:"variant"`
	// Calls counts the calls that arrive after the warm-up. Bound is how many of
	// them the capacity that remains during the fault can serve.
	Calls int     `json:"calls"`
	Bound float64 `json:"bound"`
	// Attainment is the fraction of calls that got a complete answer within their
	// deadline. FractionOfBound is the number of these calls divided by Bound.
	Attainment      float64 `json:"attainment"`
	FractionOfBound float64 `json:"of_bound"`
	// ByAccount is each account's attained pipeline calls as a fraction of its
	// fair share of the bound; MinAccount is the smallest of them.
	ByAccount  map[string]float64 `json:"by_account"`
	MinAccount float64            `json:"least_account"`
	// ByTarget is the attainment of each pipeline and service.
	ByTarget map[string]float64 `json:"by_target"`
	// FirstToken and Total are latencies of attained pipeline calls.
	FirstToken Quantiles `json:"first_token_ms"`
	Total      Quantiles `json:"total_ms"`
	// Cost is the work spent by each pool, in work units. Wasted is the fraction
	// of all work that went into calls that were not attained or into attempts
	// whose result was not used.
	Cost            map[string]int `json:"cost"`
	CostPerAttained float64        `json:"cost_per_attained"`
	Wasted          float64        `json:"wasted"`
	Refused         int            `json:"refused"`
	// Retries and Hedges count the attempts beyond the first.
	Retries int64 `json:"retries"`
	Hedges  int64 `json:"hedges"`
	// RetryLoad is the number of retries and hedges divided by that of first attempts.
	RetryLoad float64 `json:"retry_load"`
}

// Quantiles are the quantiles of a latency in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Run measures a policy at a site under a fault.
func Run(site Site, fault Fault, variant Variant, seed uint64) Report {
	load := drawLoad(site, fault, seed)
	s := newSimulation(site, fault, variant, seed)
	s.run(load)
	return s.report(variant.Name)
}

func (s *simulation) report(variant string) Report {
	r := Report{
		Site: s.site.Name, Fault: s.fault.Name, Variant: variant,
		ByAccount: make(map[string]float64), ByTarget: make(map[string]float64), Cost: make(map[string]int),
	}
	firstToken, total := newHistogram(), newHistogram()
	attainedByAccount := make(map[string]float64)
	targets := make(map[string]int)
	usefulWork, attainedCalls := 0, 0
	for _, c := range s.calls {
		if c.outcome == wire.Done {
			for _, units := range c.answer.Work {
				usefulWork += units
			}
		}
		if c.arrival.at < warmUp {
			continue
		}
		r.Calls++
		target := c.arrival.service
		if target == "" {
			target = s.site.Pipeline
		}
		targets[target]++
		if c.outcome == wire.NotRun {
			r.Refused++
		}
		if c.outcome != wire.Done {
			continue
		}
		attainedCalls++
		r.ByTarget[target]++
		if c.arrival.service == "" {
			attainedByAccount[c.arrival.account.Name]++
			recordDuration(firstToken, c.firstToken)
			recordDuration(total, c.total)
		}
	}
	for target, n := range targets {
		r.ByTarget[target] /= float64(n)
	}
	s.addCosts(&r, usefulWork, attainedCalls)
	fairShares := s.addBound(&r)
	r.MinAccount = math.Inf(1)
	for _, a := range s.site.Accounts {
		r.ByAccount[a.Name] = attainedByAccount[a.Name] / fairShares[a.Name]
		r.MinAccount = min(r.MinAccount, r.ByAccount[a.Name])
	}
	r.Attainment = float64(attainedCalls) / float64(r.Calls)
	r.FractionOfBound = float64(attainedCalls) / r.Bound
	r.FirstToken, r.Total = quantiles(firstToken), quantiles(total)
	return r
}

func (s *simulation) addCosts(r *Report, usefulWork, attainedCalls int) {
	totalWork := 0
	for _, w := range s.workers {
		r.Cost[w.host.Pool] += w.work
		totalWork += w.work
	}
	var attempts int64
	for _, n := range s.nodes {
		c := n.core.Runner().Counts()
		r.Retries += c.Retries
		r.Hedges += c.Hedges
		attempts += c.Calls
	}
	r.Wasted = 1 - float64(usefulWork)/float64(totalWork)
	r.CostPerAttained = float64(totalWork) / float64(attainedCalls)
	extra := r.Retries + r.Hedges
	r.RetryLoad = float64(extra) / float64(attempts-extra)
}

// addBound adds to r.Bound the number of calls that the remaining capacity can serve,
// and returns each account's fair share of the pipeline calls. It computes both second
// by second. Pipeline calls may wait for capacity as long as their deadline allows.
func (s *simulation) addBound(r *Report) map[string]float64 {
	seconds := int(runDuration / time.Second)
	demand := make([]map[string]float64, seconds)
	for i := range demand {
		demand[i] = make(map[string]float64)
	}
	for _, c := range s.calls {
		if c.arrival.service == "" {
			demand[int(c.arrival.at/time.Second)][c.arrival.account.Name]++
		} else if c.arrival.at >= warmUp {
			r.Bound++
		}
	}
	fairShares := make(map[string]float64)
	backlog := make(map[string]float64)
	for second := range seconds {
		capacity := s.pipelineCapacity(time.Duration(second) * time.Second)
		var demands []admit.Demand
		for _, a := range s.site.Accounts {
			demands = append(demands, admit.Demand{Account: a.Name, Weight: a.Weight, Rate: demand[second][a.Name] + backlog[a.Name]})
		}
		totalBacklog := 0.0
		for i, granted := range admit.Divide(capacity, demands) {
			d := demands[i]
			if time.Duration(second)*time.Second >= warmUp {
				fairShares[d.Account] += granted
				r.Bound += granted
			}
			backlog[d.Account] = d.Rate - granted
			totalBacklog += backlog[d.Account]
		}
		// Calls that would wait beyond their deadline cannot be served. The bound
		// leaves 2 seconds of the deadline for execution.
		if maxBacklog := capacity * (s.site.Deadline - 2*time.Second).Seconds(); totalBacklog > maxBacklog {
			for account := range backlog {
				backlog[account] *= maxBacklog / totalBacklog
			}
		}
	}
	return fairShares
}

// pipelineCapacity returns the number of pipeline calls per second that the bottleneck
// stage can serve at the given offset of the run.
func (s *simulation) pipelineCapacity(at time.Duration) float64 {
	lowest := math.Inf(1)
	for _, p := range s.site.Pools {
		if p.Kind == core.StepService {
			continue
		}
		rate := 0.0
		for _, w := range s.workers {
			if w.host.Pool != p.Name {
				continue
			}
			fraction := 1.0
			if s.fault.remainingCapacity != nil && at >= faultStart && at < faultEnd {
				fraction = s.fault.remainingCapacity(w)
			}
			rate += fraction * float64(p.Slots) / p.busyTime().Seconds()
		}
		lowest = min(lowest, rate)
	}
	return lowest
}

// busyTime returns the mean duration of a call while all slots are busy. Its constants
// are means of the worker model and of the load.
func (p Pool) busyTime() time.Duration {
	const meanNoise, meanTokens, busyTokenFactor, prefillFactor = 1.06, 35, 1.6, 0.7
	if p.TokenInterval == 0 {
		return time.Duration(float64(p.MeanTime) * meanNoise)
	}
	return time.Duration(float64(p.MeanTime)*prefillFactor*meanNoise + meanTokens*busyTokenFactor*float64(p.TokenInterval))
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the range of the histogram, so RecordValue cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), 60_000_000))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{at(50), at(95), at(99)}
}

// Print writes reports as a table.
func Print(out io.Writer, reports []Report) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "site\tfault\tpolicy\tattained\tof bound\tleast acct\tttft p95\ttotal p95\tcost/call\twasted\trefused\tretry load\t")
	for _, r := range reports {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4f\t%.4f\t%.3f\t%.0f ms\t%.0f ms\t%.2f\t%.2f%%\t%d\t%.2f%%\t\n",
			r.Site, r.Fault, r.Variant, r.Attainment, r.FractionOfBound, r.MinAccount, r.FirstToken.P95, r.Total.P95,
			r.CostPerAttained, 100*r.Wasted, r.Refused, 100*r.RetryLoad)
	}
	table.Flush()
}

// PrintCosts writes the cost of each pool, one line per report.
func PrintCosts(out io.Writer, reports []Report) {
	for _, r := range reports {
		var parts []string
		for _, pool := range slices.Sorted(maps.Keys(r.Cost)) {
			parts = append(parts, fmt.Sprintf("%s %d", pool, r.Cost[pool]))
		}
		fmt.Fprintf(out, "%s, %s, %s: %s\n", r.Site, r.Fault, r.Variant, strings.Join(parts, ", "))
	}
}
