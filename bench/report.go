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

// A Report is what a policy reached under a fault.
type Report struct {
	Site    string `json:"site"`
	Fault   string `json:"fault"`
	Variant string `json:"variant"`
	// Calls counts the calls after the warm-up, Bound those that the capacity
	// left by the fault could have served.
	Calls int     `json:"calls"`
	Bound float64 `json:"bound"`
	// Attainment is the part of the calls that were answered whole in their
	// deadline, OfBound the same as part of the bound.
	Attainment float64 `json:"attainment"`
	OfBound    float64 `json:"of_bound"`
	// ByAccount is each account's attained pipeline calls as part of its fair
	// share of the bound; Least is the smallest.
	ByAccount map[string]float64 `json:"by_account"`
	Least     float64            `json:"least_account"`
	// ByTarget is attainment by pipeline and service.
	ByTarget map[string]float64 `json:"by_target"`
	// First and Total are times of attained pipeline calls in milliseconds.
	First Quantiles `json:"first_token_ms"`
	Total Quantiles `json:"total_ms"`
	// Cost is the work spent by pool; Wasted the part of it that went into
	// calls which were not attained or into attempts which were not used.
	Cost    map[string]int `json:"cost"`
	PerCall float64        `json:"cost_per_attained"`
	Wasted  float64        `json:"wasted"`
	Refused int            `json:"refused"`
	// Retries is the number of added attempts, RetryLoad the greatest part
	// that they are of a pool's first attempts.
	Retries int64 `json:"retries"`
	Hedges  int64 `json:"hedges"`
	// RetryLoad is added attempts as part of all first ones.
	RetryLoad float64 `json:"retry_load"`
}

// Quantiles of a time in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Run measures a policy at a site under a fault.
func Run(site Site, fault Fault, variant Variant, seed uint64) Report {
	load := record(site, fault, seed)
	w := newWorld(site, fault, variant, seed)
	w.run(load)
	return w.report(variant.Name)
}

func (w *world) report(variant string) Report {
	r := Report{
		Site: w.site.Name, Fault: w.fault.Name, Variant: variant,
		ByAccount: make(map[string]float64), ByTarget: make(map[string]float64), Cost: make(map[string]int),
	}
	first, total := newTimes(), newTimes()
	attained := make(map[string]float64)
	targets := make(map[string]int)
	useful, count := 0, 0
	for _, c := range w.calls {
		if c.outcome == wire.Done {
			for _, units := range c.answer.Work {
				useful += units
			}
		}
		if c.arrival.at < warmUp {
			continue
		}
		r.Calls++
		target := c.arrival.service
		if target == "" {
			target = w.site.Pipeline
		}
		targets[target]++
		if c.outcome == wire.NotRun {
			r.Refused++
		}
		if c.outcome != wire.Done {
			continue
		}
		count++
		r.ByTarget[target]++
		if c.arrival.service == "" {
			attained[c.arrival.account.Name]++
			recordTime(first, c.first)
			recordTime(total, c.total)
		}
	}
	for target, n := range targets {
		r.ByTarget[target] /= float64(n)
	}
	w.costs(&r, useful, count)
	fair := w.bound(&r)
	r.Least = math.Inf(1)
	for _, a := range w.site.Accounts {
		r.ByAccount[a.Name] = attained[a.Name] / fair[a.Name]
		r.Least = min(r.Least, r.ByAccount[a.Name])
	}
	r.Attainment = float64(count) / float64(r.Calls)
	r.OfBound = float64(count) / r.Bound
	r.First, r.Total = quantiles(first), quantiles(total)
	return r
}

func (w *world) costs(r *Report, useful, count int) {
	spent := 0
	for _, k := range w.workers {
		r.Cost[k.host.Pool] += k.work
		spent += k.work
	}
	var calls int64
	for _, n := range w.nodes {
		c := n.core.Runner().Counts()
		r.Retries += c.Retries
		r.Hedges += c.Hedges
		calls += c.Calls
	}
	r.Wasted = 1 - float64(useful)/float64(spent)
	r.PerCall = float64(spent) / float64(count)
	added := r.Retries + r.Hedges
	r.RetryLoad = float64(added) / float64(calls-added)
}

// bound works out how many calls the capacity that the fault leaves could serve,
// second by second, and each account's fair share of the pipeline calls. Calls
// of a pipeline may wait for capacity as long as their deadline leaves.
func (w *world) bound(r *Report) map[string]float64 {
	seconds := int(runLength / time.Second)
	demand := make([]map[string]float64, seconds)
	for i := range demand {
		demand[i] = make(map[string]float64)
	}
	for _, c := range w.calls {
		if c.arrival.service == "" {
			demand[int(c.arrival.at/time.Second)][c.arrival.account.Name]++
		} else if c.arrival.at >= warmUp {
			r.Bound++
		}
	}
	fair := make(map[string]float64)
	backlog := make(map[string]float64)
	for second := range seconds {
		capacity := w.capacity(time.Duration(second) * time.Second)
		var demands []admit.Demand
		for _, a := range w.site.Accounts {
			demands = append(demands, admit.Demand{Account: a.Name, Weight: a.Weight, Rate: demand[second][a.Name] + backlog[a.Name]})
		}
		wait := 0.0
		for i, given := range admit.Divide(capacity, demands) {
			d := demands[i]
			if time.Duration(second)*time.Second >= warmUp {
				fair[d.Account] += given
				r.Bound += given
			}
			backlog[d.Account] = d.Rate - given
			wait += backlog[d.Account]
		}
		// What would wait longer than the deadline leaves cannot be served.
		if most := capacity * (w.site.Deadline - 2*time.Second).Seconds(); wait > most {
			for account := range backlog {
				backlog[account] *= most / wait
			}
		}
	}
	return fair
}

// capacity returns the pipeline calls a second that the scarcest stage can serve
// at a time of the run.
func (w *world) capacity(at time.Duration) float64 {
	least := math.Inf(1)
	for _, p := range w.site.Pools {
		if p.Kind == core.StepService {
			continue
		}
		sum := 0.0
		for _, k := range w.workers {
			if k.host.Pool != p.Name {
				continue
			}
			left := 1.0
			if w.fault.capacity != nil && at >= faultStart && at < faultEnd {
				left = w.fault.capacity(k)
			}
			sum += left * float64(p.Slots) / p.mean().Seconds()
		}
		least = min(least, sum)
	}
	return least
}

// mean is the mean time of a call when all slots are busy.
func (p Pool) mean() time.Duration {
	const meanNoise, meanTokens, busyPace, meanPrefill = 1.06, 35, 1.6, 0.7
	if p.Token == 0 {
		return time.Duration(float64(p.Time) * meanNoise)
	}
	return time.Duration(float64(p.Time)*meanPrefill*meanNoise + meanTokens*busyPace*float64(p.Token))
}

func newTimes() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the histogram's range, so it cannot be refused.
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
			r.Site, r.Fault, r.Variant, r.Attainment, r.OfBound, r.Least, r.First.P95, r.Total.P95,
			r.PerCall, 100*r.Wasted, r.Refused, 100*r.RetryLoad)
	}
	table.Flush()
}

// PrintCosts writes the cost by stage.
func PrintCosts(out io.Writer, reports []Report) {
	for _, r := range reports {
		var parts []string
		for _, pool := range slices.Sorted(maps.Keys(r.Cost)) {
			parts = append(parts, fmt.Sprintf("%s %d", pool, r.Cost[pool]))
		}
		fmt.Fprintf(out, "%s, %s, %s: %s\n", r.Site, r.Fault, r.Variant, strings.Join(parts, ", "))
	}
}
