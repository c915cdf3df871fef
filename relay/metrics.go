package relay

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"teaselplank/batch"
	"teaselplank/evac"
	"teaselplank/infra"
	"teaselplank/limit"
	"teaselplank/pace"
	"teaselplank/proxy"
)

// metrics holds the counters and histograms of a server. All labels have few values:
// decisions, reasons and the services of the configuration.
type metrics struct {
	registry         *prometheus.Registry
	decisions        *prometheus.CounterVec
	upstreamFailures *prometheus.CounterVec
	peerFailures     *prometheus.CounterVec
	reads            *prometheus.CounterVec
	storeCalls       *prometheus.CounterVec
	views            *prometheus.CounterVec
	changesServed    *prometheus.CounterVec
	invalidRecords   *prometheus.CounterVec
	panics           *prometheus.CounterVec
	crossings        *prometheus.CounterVec
	originsShared    *prometheus.CounterVec
	originLookups    *prometheus.CounterVec
	casesWritten     *prometheus.CounterVec
	callTimes        *prometheus.HistogramVec
	// decisionTimes measures from the start of the request, attempt or stage to a decision,
	// stageTimes measures stages at their owner, and overruns holds the ratio of a
	// stage's time to its estimate.
	decisionTimes  *prometheus.HistogramVec
	stageTimes     *prometheus.HistogramVec
	overruns       *prometheus.HistogramVec
	storeReadTimes *prometheus.HistogramVec
}

// Buckets for durations from 5 ms to 10 s and for ratios from 0.25 to 4.
var (
	durationBuckets = prometheus.ExponentialBuckets(0.005, 1.8, 14)
	ratioBuckets    = prometheus.ExponentialBuckets(0.25, 1.32, 11)
)

func newMetrics(s *Server) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "teaselplank_" + name, Help: help}, labels)
	}
	histogram := func(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "teaselplank_" + name, Help: help, Buckets: buckets}, labels)
	}
	m := &metrics{
		registry:         prometheus.NewRegistry(),
		decisions:        counter("decisions_total", "Decisions on requests.", "decision", "reason"),
		upstreamFailures: counter("upstream_failures_total", "Calls to upstreams that failed.", "service", "step"),
		peerFailures:     counter("peer_failures_total", "Calls to other nodes that failed.", "call"),
		reads:            counter("store_reads_total", "Reads of the store.", "stream", "result"),
		storeCalls:       counter("store_calls_total", "Calls to the store of any kind.", "call", "stream", "result"),
		views:            counter("stream_views_total", "Views of a stream by where they come from: the store or another node.", "stream", "source"),
		changesServed:    counter("stream_changes_served_total", "Questions of other nodes for the records of a stream.", "stream", "result"),
		invalidRecords:   counter("invalid_records_total", "Records that could not be read.", "kind"),
		panics:           counter("panics_total", "Panics in the work of requests.", "work"),
		crossings:        counter("stage_results_crossed_total", "Results of stages made in another zone than they are needed in.", "service"),
		originsShared:    counter("stream_origins_shared_total", "Records of the versions that streams began at.", "result"),
		casesWritten:     counter("crash_cases_written_total", "Cases of parts of requests at upstreams that ended, as written to the store.", "result"),
		originLookups:    counter("stream_origin_lookups_total", "Lookups of the versions that streams began at.", "result"),
		callTimes:        histogram("stage_call_seconds", "Calls to workers of stages.", durationBuckets, "service", "failure"),
		decisionTimes:    histogram("decision_seconds", "What ends with a decision.", durationBuckets, "decision", "reason"),
		stageTimes:       histogram("stage_seconds", "Stages of requests, at their owner.", durationBuckets, "service"),
		overruns:         histogram("stage_overrun_ratio", "Time of stages as part of what was expected.", ratioBuckets, "service"),
		storeReadTimes:   histogram("store_read_seconds", "Reads of the store, with the time that they wait for changes.", durationBuckets, "stream"),
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "teaselplank_" + name, Help: help}, value)
	}
	m.registry.MustRegister(
		m.decisions, m.upstreamFailures, m.peerFailures, m.reads, m.storeCalls, m.views, m.changesServed, m.invalidRecords, m.panics,
		m.crossings, m.originsShared, m.originLookups, m.casesWritten, m.callTimes, m.decisionTimes, m.stageTimes, m.overruns, m.storeReadTimes, &stateGauges{s}, s.bounds,
		gauge("requests_under_way", "Requests under way.", func() float64 { return float64(s.requestCount()) }),
		gauge("poisonous_parts", "Sets of parts of requests that requests are held back for.", func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(len(s.node.PoisonGroups()))
		}),
		gauge("config_version", "Version of the configuration in force.", func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(s.configVersion())
		}),
		gauge("upstream_connections_made", "Connections made to upstreams.", func() float64 { return float64(s.conns.Made()) }),
	)
	return m
}

func (m *metrics) observeDecision(record proxy.DecisionRecord) {
	m.decisions.WithLabelValues(string(record.Decision), string(record.Reason)).Inc()
	if record.Took > 0 {
		m.decisionTimes.WithLabelValues(string(record.Decision), string(record.Reason)).Observe(record.Took.Seconds())
	}
}

func (m *metrics) observeStage(d batch.Done) {
	m.stageTimes.WithLabelValues(d.Service).Observe(d.Took.Seconds())
	if d.Expected > 0 {
		m.overruns.WithLabelValues(d.Service).Observe(float64(d.Took) / float64(d.Expected))
	}
}

func (m *metrics) countUpstreamFailure(service, step string) {
	m.upstreamFailures.WithLabelValues(service, step).Inc()
}

func (m *metrics) countPeerFailure(call string) { m.peerFailures.WithLabelValues(call).Inc() }

// countCall counts a call to the store.
func (m *metrics) countCall(call string, stream infra.Stream, err error) {
	m.storeCalls.WithLabelValues(call, string(stream), callResult(err)).Inc()
}

func (m *metrics) countInvalid(kind string) { m.invalidRecords.WithLabelValues(kind).Inc() }

// countShared counts records of streams by whether they were appended to the log of
// origins, could not be appended, or were discarded.
func (m *metrics) countShared(result string, records int) {
	m.originsShared.WithLabelValues(result).Add(float64(records))
}

// countCases counts cases of parts of requests that were written to the store, failed to be, or
// were given up.
func (m *metrics) countCases(result string, cases int) {
	m.casesWritten.WithLabelValues(result).Add(float64(cases))
}

func (m *metrics) countLookup(result string) { m.originLookups.WithLabelValues(result).Inc() }

func (m *metrics) observeRead(stream infra.Stream, ok bool, took time.Duration) {
	result := "ok"
	if !ok {
		result = "failed"
	}
	m.reads.WithLabelValues(string(stream), result).Inc()
	m.storeReadTimes.WithLabelValues(string(stream)).Observe(took.Seconds())
}

func (m *metrics) observeCall(c batch.Call, failure batch.Failure, took time.Duration) {
	m.callTimes.WithLabelValues(c.Worker.Service, string(failure)).Observe(took.Seconds())
	if failure == batch.NoFailure {
		m.crossings.WithLabelValues(c.Worker.Service).Add(float64(c.Crossed))
	}
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
	Poison    [][]string   `json:"poisonous_parts"`
	// Limits are those that upstreams name now.
	Limits []limit.Limit `json:"limits"`
	// Speeds are those of the upstreams of services where speeds are in use.
	Speeds []proxy.UpstreamSpeed `json:"speeds,omitempty"`
	// Paces are those of upstreams in a slow start, Cold the upstreams that are cold, and
	// Evacuations what is known of zones.
	Paces       []limit.Limit `json:"paces"`
	Cold        []pace.Cold   `json:"cold"`
	Evacuations []evac.State  `json:"evacuations"`
}

func (s *Server) serveDump(w http.ResponseWriter, _ *http.Request) {
	counts, limits := s.owner.counts(), s.activeLimits()
	s.mu.Lock()
	d := dump{
		Node: s.self.ID, Version: s.configVersion(), Unready: s.node.Unready(), Requests: s.node.Len(),
		Flow: s.node.Counts(), Batch: counts, Upstreams: s.directory.Len(),
		Poison: s.node.PoisonGroups(), Limits: limits, Speeds: s.node.Speeds(s.now()), Cold: s.coldUpstreams(), Evacuations: s.group.Evacuations(),
	}
	for _, n := range s.group.Live() {
		d.Live = append(d.Live, n.ID)
	}
	for _, l := range s.group.Paces() {
		if !l.Ended {
			d.Paces = append(d.Paces, l)
		}
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
