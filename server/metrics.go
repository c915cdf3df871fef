package server

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"teaselplank/core"
	"teaselplank/wire"
)

// metrics are the counters of a server. Their labels come from fixed sets or
// from the rules, never from callers.
type metrics struct {
	registry      *prometheus.Registry
	outcomes      *prometheus.CounterVec
	duration      *prometheus.HistogramVec
	first         prometheus.Histogram
	platformFails *prometheus.CounterVec
	upstreamFails *prometheus.CounterVec
	peerFails     *prometheus.CounterVec
	unauth        *prometheus.CounterVec
}

var latencyBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, .82, 1, 2, 3, 5, 10}

func newMetrics(s *Server) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	counter := func(name, help, label string, more ...string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "teaselplank_" + name, Help: help}, append([]string{label}, more...))
		m.registry.MustRegister(v)
		return v
	}
	m.outcomes = counter("answers_total", "Final answers to callers by outcome.", "outcome")
	m.platformFails = counter("platform_failures_total", "Failed calls to the platform.", "call")
	m.upstreamFails = counter("upstream_failures_total", "Failed calls to upstreams.", "pool", "failure")
	m.peerFails = counter("peer_failures_total", "Failed calls to other nodes.", "call")
	m.unauth = counter("unauthorized_total", "Requests with a wrong credential.", "listener")
	m.duration = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "teaselplank_call_duration_seconds", Help: "Time from a call to its final answer.", Buckets: latencyBuckets,
	}, []string{"target"})
	m.first = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "teaselplank_first_token_seconds", Help: "Time from a call to its first token.", Buckets: latencyBuckets,
	})
	m.registry.MustRegister(m.duration, m.first, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), &nodeCollector{s})
	return m
}

func (m *metrics) outcome(o wire.Outcome) { m.outcomes.WithLabelValues(string(o)).Inc() }

func (m *metrics) finished(c core.Call, d time.Duration) {
	target := c.Pipeline
	if target == "" {
		target = c.Service
	}
	m.duration.WithLabelValues(target).Observe(d.Seconds())
}

func (m *metrics) firstToken(d time.Duration) { m.first.Observe(d.Seconds()) }

func (m *metrics) platformFailure(call string) { m.platformFails.WithLabelValues(call).Inc() }

func (m *metrics) upstreamFailure(pool, failure string) {
	m.upstreamFails.WithLabelValues(pool, failure).Inc()
}

func (m *metrics) peerFailure(call string) { m.peerFails.WithLabelValues(call).Inc() }

func (m *metrics) unauthorized(listener string) { m.unauth.WithLabelValues(listener).Inc() }

// nodeCollector reads the totals of the node when they are asked for.
type nodeCollector struct{ server *Server }

func describe(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("teaselplank_"+name, help, nil, nil)
}

// A gauge is one figure of the node.
type gauge struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func(*core.Node) float64
}

var gauges = []gauge{
	{describe("ready", "1 while the node is ready."), prometheus.GaugeValue, func(n *core.Node) float64 {
		if n.Ready() {
			return 1
		}
		return 0
	}},
	{describe("rules_version", "Version of the rules in force."), prometheus.GaugeValue,
		func(n *core.Node) float64 { return float64(n.Book().Version()) }},
	{describe("nodes_live", "Nodes that take part."), prometheus.GaugeValue,
		func(n *core.Node) float64 { return float64(len(n.Group().Live())) }},
	{describe("requests", "Requests under way."), prometheus.GaugeValue,
		func(n *core.Node) float64 { return float64(n.Runner().Len()) }},
	{describe("events_total", "Events that the reducer has taken."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Counts().Events) }},
	{describe("retries_total", "Attempts after a failed one."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Runner().Counts().Retries) }},
	{describe("hedges_total", "Attempts beside a slow one."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Runner().Counts().Hedges) }},
	{describe("late_replies_total", "Replies to attempts that were over."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Runner().Counts().Late) }},
	{describe("crossed_replies_total", "Replies that echoed another attempt."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Runner().Counts().Crossed) }},
	{describe("refused_total", "Requests refused on arrival."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Runner().Counts().Refused) }},
	{describe("ledger_appends_total", "Batches appended to the log."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Ledger().Counts().Appends) }},
	{describe("ledger_dispatches_total", "Calls dispatched at most once."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Ledger().Counts().Dispatches) }},
	{describe("ledger_unknown_total", "Calls answered with an unknown outcome."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Ledger().Counts().Unknown) }},
}

// Describe implements prometheus.Collector.
func (c *nodeCollector) Describe(to chan<- *prometheus.Desc) {
	for _, g := range gauges {
		to <- g.desc
	}
}

// Collect implements prometheus.Collector.
func (c *nodeCollector) Collect(to chan<- prometheus.Metric) {
	values := make([]float64, len(gauges))
	if !c.server.Query(func(n *core.Node) {
		for i, g := range gauges {
			values[i] = g.read(n)
		}
	}) {
		return
	}
	for i, g := range gauges {
		to <- prometheus.MustNewConstMetric(g.desc, g.kind, values[i])
	}
}
