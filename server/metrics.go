package server

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"teaselplank/core"
	"teaselplank/wire"
)

// metrics holds the metrics of a server. Label values come from fixed sets or from the
// rules, never from callers.
type metrics struct {
	registry       *prometheus.Registry
	outcomes       *prometheus.CounterVec
	duration       *prometheus.HistogramVec
	firstTokenTime prometheus.Histogram
	platformFails  *prometheus.CounterVec
	upstreamFails  *prometheus.CounterVec
	peerFails      *prometheus.CounterVec
	unauthorized   *prometheus.CounterVec
}

var latencyBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, .82, 1, 2, 3, 5, 10}

func newMetrics(s *Server) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	counter := func(name, help, label string, extraLabels ...string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "teaselplank_" + name, Help: help}, append([]string{label}, extraLabels...))
		m.registry.MustRegister(v)
		return v
	}
	m.outcomes = counter("answers_total", "Final answers to callers by outcome.", "outcome")
	m.platformFails = counter("platform_failures_total", "Failed calls to the platform.", "call")
	m.upstreamFails = counter("upstream_failures_total", "Failed calls to upstreams.", "pool", "failure")
	m.peerFails = counter("peer_failures_total", "Failed calls to other nodes.", "call")
	m.unauthorized = counter("unauthorized_total", "Requests with a wrong credential.", "listener")
	m.duration = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "teaselplank_call_duration_seconds", Help: "Time from a call to its final answer.", Buckets: latencyBuckets,
	}, []string{"target"})
	m.firstTokenTime = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "teaselplank_first_token_seconds", Help: "Time from a call to its first token.", Buckets: latencyBuckets,
	})
	m.registry.MustRegister(m.duration, m.firstTokenTime, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), &nodeCollector{s})
	return m
}

func (m *metrics) countOutcome(o wire.Outcome) { m.outcomes.WithLabelValues(string(o)).Inc() }

func (m *metrics) observeCall(c core.Call, d time.Duration) {
	target := c.Pipeline
	if target == "" {
		target = c.Service
	}
	m.duration.WithLabelValues(target).Observe(d.Seconds())
}

func (m *metrics) observeFirstToken(d time.Duration) { m.firstTokenTime.Observe(d.Seconds()) }

func (m *metrics) countPlatformFailure(call string) { m.platformFails.WithLabelValues(call).Inc() }

func (m *metrics) countUpstreamFailure(pool, failure string) {
	m.upstreamFails.WithLabelValues(pool, failure).Inc()
}

func (m *metrics) countPeerFailure(call string) { m.peerFails.WithLabelValues(call).Inc() }

func (m *metrics) countUnauthorized(listener string) { m.unauthorized.WithLabelValues(listener).Inc() }

// nodeCollector reads the metrics of the node on each scrape.
type nodeCollector struct{ server *Server }

func newDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("teaselplank_"+name, help, nil, nil)
}

// A nodeMetric is one metric that is read from the node.
type nodeMetric struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func(*core.Node) float64
}

var nodeMetrics = []nodeMetric{
	{newDesc("ready", "1 while the node is ready."), prometheus.GaugeValue, func(n *core.Node) float64 {
		if n.Ready() {
			return 1
		}
		return 0
	}},
	{newDesc("rules_version", "Version of the rules in force."), prometheus.GaugeValue,
		func(n *core.Node) float64 { return float64(n.Replica().Version()) }},
	{newDesc("nodes_live", "Nodes that take part."), prometheus.GaugeValue,
		func(n *core.Node) float64 { return float64(len(n.Group().Live())) }},
	{newDesc("requests", "Requests under way."), prometheus.GaugeValue,
		func(n *core.Node) float64 { return float64(n.Runner().Len()) }},
	{newDesc("events_total", "Events that the reducer has taken."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Counts().Events) }},
	{newDesc("retries_total", "Attempts after a failed one."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Runner().Counts().Retries) }},
	{newDesc("hedges_total", "Attempts beside a slow one."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Runner().Counts().Hedges) }},
	{newDesc("late_replies_total", "Replies to attempts that were over."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Runner().Counts().Late) }},
	{newDesc("crossed_replies_total", "Replies that echoed another attempt."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Runner().Counts().Crossed) }},
	{newDesc("refused_total", "Requests refused on arrival."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Runner().Counts().Refused) }},
	{newDesc("ledger_appends_total", "Batches appended to the log."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Ledger().Counts().Appends) }},
	{newDesc("ledger_dispatches_total", "Calls dispatched at most once."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Ledger().Counts().Dispatches) }},
	{newDesc("ledger_unknown_total", "Calls answered with an unknown outcome."), prometheus.CounterValue,
		func(n *core.Node) float64 { return float64(n.Ledger().Counts().Unknown) }},
}

// Describe implements prometheus.Collector.
func (c *nodeCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, m := range nodeMetrics {
		ch <- m.desc
	}
}

// Collect implements prometheus.Collector.
func (c *nodeCollector) Collect(ch chan<- prometheus.Metric) {
	values := make([]float64, len(nodeMetrics))
	if !c.server.Query(func(n *core.Node) {
		for i, m := range nodeMetrics {
			values[i] = m.read(n)
		}
	}) {
		return
	}
	for i, m := range nodeMetrics {
		ch <- prometheus.MustNewConstMetric(m.desc, m.kind, values[i])
	}
}
