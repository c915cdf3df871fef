package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// beliefs are gauges of what a server goes by, read when they are asked for. They
// implement prometheus.Collector.
type beliefs struct{ server *Server }

func describe(name, help, label string) *prometheus.Desc {
	return prometheus.NewDesc("teaselplank_"+name, help, []string{label}, nil)
}

var (
	readAge     = describe("store_read_age_seconds", "Time since the store was last read.", "stream")
	repeatsLeft = describe("repeats_left", "Repeats that the budget allows now.", "service")
	peersKnown  = describe("nodes_known", "Other nodes by their state.", "state")
	piecesWait  = describe("stage_pieces_waiting", "Pieces that wait at the owner of the stages.", "service")
	piecesCome  = describe("stage_pieces_coming", "Pieces that admitted requests will bring.", "service")
	workers     = describe("stage_workers", "Workers that can be sent calls.", "service")
	calls       = describe("stage_calls_under_way", "Calls to workers of stages.", "service")
	resultsUsed = describe("stage_result_bytes", "Memory that results take up at workers.", "service")
	resultsMost = describe("stage_result_limit_bytes", "Memory that results may take up at workers.", "service")
)

// Describe implements prometheus.Collector.
func (b *beliefs) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{readAge, repeatsLeft, peersKnown, piecesWait, piecesCome, workers, calls, resultsUsed, resultsMost} {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (b *beliefs) Collect(to chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, label string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, label)
	}
	now := b.server.now()
	b.ownState(now, gauge)
	for _, p := range b.server.owner.pools(now) {
		gauge(piecesWait, float64(p.Waiting), p.Service)
		gauge(piecesCome, float64(p.Coming), p.Service)
		gauge(workers, float64(p.Workers), p.Service)
		gauge(calls, float64(p.Calls), p.Service)
		gauge(resultsUsed, float64(p.Used), p.Service)
		gauge(resultsMost, float64(p.Space), p.Service)
	}
}

func (b *beliefs) ownState(now time.Time, gauge func(d *prometheus.Desc, value float64, label string)) {
	s := b.server
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream, w := range s.watchers {
		gauge(readAge, now.Sub(w.read).Seconds(), string(stream))
	}
	for service, left := range s.node.RepeatsLeft(now) {
		gauge(repeatsLeft, left, service)
	}
	states := make(map[string]int)
	for _, p := range s.group.Peers() {
		states[string(p.State())]++
	}
	for state, count := range states {
		gauge(peersKnown, float64(count), state)
	}
}
