package relay

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"teaselplank/batch"
	"teaselplank/infra"
	"teaselplank/proxy"
)

// metrics are the counters of a server. All labels have few values: kinds of
// decisions, reasons and the services of the configuration.
type metrics struct {
	registry  *prometheus.Registry
	decisions *prometheus.CounterVec
	failures  *prometheus.CounterVec
	peers     *prometheus.CounterVec
	reads     *prometheus.CounterVec
	invalids  *prometheus.CounterVec
	calls     *prometheus.HistogramVec
	// took are the times of what ends with a decision; stages those of stages,
	// and overrun the part of the expected time that they took.
	took    *prometheus.HistogramVec
	stages  *prometheus.HistogramVec
	overrun *prometheus.HistogramVec
	store   *prometheus.HistogramVec
}

// Buckets of times from 5 ms to 10 s, and of parts from a quarter to 4.
var (
	timeBuckets = prometheus.ExponentialBuckets(0.005, 1.8, 14)
	partBuckets = prometheus.ExponentialBuckets(0.25, 1.32, 11)
)

func newMetrics(s *Server) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "teaselplank_" + name, Help: help}, labels)
	}
	histogram := func(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "teaselplank_" + name, Help: help, Buckets: buckets}, labels)
	}
	m := &metrics{
		registry:  prometheus.NewRegistry(),
		decisions: counter("decisions_total", "Decisions on requests.", "decision", "reason"),
		failures:  counter("upstream_failures_total", "Calls to upstreams that failed.", "service", "step"),
		peers:     counter("peer_failures_total", "Calls to other nodes that failed.", "call"),
		reads:     counter("store_reads_total", "Reads of the store.", "stream", "result"),
		invalids:  counter("invalid_records_total", "Records that could not be read.", "kind"),
		calls:     histogram("stage_call_seconds", "Calls to workers of stages.", timeBuckets, "service", "failure"),
		took:      histogram("decision_seconds", "What ends with a decision.", timeBuckets, "decision", "reason"),
		stages:    histogram("stage_seconds", "Stages of requests, at their owner.", timeBuckets, "service"),
		overrun:   histogram("stage_overrun_ratio", "Time of stages as part of what was expected.", partBuckets, "service"),
		store:     histogram("store_read_seconds", "Reads of the store, with the time that they wait for changes.", timeBuckets, "stream"),
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "teaselplank_" + name, Help: help}, value)
	}
	m.registry.MustRegister(m.decisions, m.failures, m.peers, m.reads, m.invalids, m.calls, m.took, m.stages, m.overrun, m.store, &beliefs{s},
		gauge("requests_under_way", "Requests under way.", func() float64 { return float64(s.requests()) }),
		gauge("config_version", "Version of the configuration in force.", func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(s.version())
		}),
		gauge("upstream_connections_made", "Connections made to upstreams.", func() float64 {
			s.upstreams.mu.Lock()
			defer s.upstreams.mu.Unlock()
			return float64(s.upstreams.made)
		}),
	)
	return m
}

func (m *metrics) decision(n proxy.Note) {
	m.decisions.WithLabelValues(string(n.Decision), string(n.Reason)).Inc()
	if n.Took > 0 {
		m.took.WithLabelValues(string(n.Decision), string(n.Reason)).Observe(n.Took.Seconds())
	}
}

func (m *metrics) stage(d batch.Done) {
	m.stages.WithLabelValues(d.Service).Observe(d.Took.Seconds())
	if d.Expected > 0 {
		m.overrun.WithLabelValues(d.Service).Observe(float64(d.Took) / float64(d.Expected))
	}
}

func (m *metrics) upstreamFailure(service, step string) {
	m.failures.WithLabelValues(service, step).Inc()
}

func (m *metrics) peerFailure(call string) { m.peers.WithLabelValues(call).Inc() }

func (m *metrics) invalid(kind string) { m.invalids.WithLabelValues(kind).Inc() }

func (m *metrics) read(stream infra.Stream, ok bool, took time.Duration) {
	result := "ok"
	if !ok {
		result = "failed"
	}
	m.reads.WithLabelValues(string(stream), result).Inc()
	m.store.WithLabelValues(string(stream)).Observe(took.Seconds())
}

func (m *metrics) call(service, failure string, took time.Duration) {
	m.calls.WithLabelValues(service, failure).Observe(took.Seconds())
}

// operatorHandler serves the metrics and the state dump.
func (s *Server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /dump", s.serveDump)
	return mux
}

// dump is the state of a node as JSON.
type dump struct {
	Node      string       `json:"node"`
	Version   int64        `json:"config_version"`
	Unready   string       `json:"unready,omitempty"`
	Requests  int          `json:"requests"`
	Flow      proxy.Counts `json:"flow"`
	Batch     batch.Counts `json:"batch"`
	Upstreams int          `json:"upstreams"`
	Live      []string     `json:"live_nodes"`
}

func (s *Server) serveDump(w http.ResponseWriter, _ *http.Request) {
	counts := s.owner.counts()
	s.mu.Lock()
	d := dump{
		Node: s.self.ID, Version: s.version(), Unready: s.node.Unready(), Requests: s.node.Len(),
		Flow: s.node.Counts(), Batch: counts, Upstreams: s.directory.Len(),
	}
	for _, n := range s.group.Live() {
		d.Live = append(d.Live, n.ID)
	}
	encoded, err := json.Marshal(d)
	s.mu.Unlock()
	if err != nil {
		http.Error(w, "state cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded)
}
