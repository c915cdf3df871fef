package relay

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// stateGauges implements prometheus.Collector. It reads the gauges from the server's
// state at each scrape.
type stateGauges struct{ server *Server }

func newDesc(name, help, label string) *prometheus.Desc {
	return prometheus.NewDesc("teaselplank_"+name, help, []string{label}, nil)
}

var (
	storeReadAge     = newDesc("store_read_age_seconds", "Time since the store was last read.", "stream")
	retriesLeft      = newDesc("repeats_left", "Repeats that the budget allows now.", "service")
	limitShares      = newDesc("limit_share", "Requests per second that this node may send to upstreams that name limits.", "service")
	slowestUpstream  = newDesc("upstream_slowness_max", "How much longer than usual the slowest upstream takes, where speeds are in use.", "service")
	slowUpstreams    = newDesc("upstreams_slow", "Upstreams that take at least twice as long as usual, where speeds are in use.", "service")
	coldUpstreams    = newDesc("cold_upstreams", "Upstreams that are cold and get no more than they announce for that.", "service")
	pacedUpstreams   = newDesc("paced_upstreams", "Upstreams in a slow start.", "service")
	evacuatedZones   = newDesc("evacuated_zones", "Zones that the operator has evacuated.", "zone")
	nodesKnown       = newDesc("nodes_known", "Other nodes by their state.", "state")
	piecesQueued     = newDesc("stage_pieces_waiting", "Pieces that wait at the owner of the stages.", "service")
	piecesUpcoming   = newDesc("stage_pieces_coming", "Pieces that admitted requests will bring.", "service")
	usableWorkers    = newDesc("stage_workers", "Workers that can be sent calls.", "service")
	callsInFlight    = newDesc("stage_calls_under_way", "Calls to workers of stages.", "service")
	resultBytes      = newDesc("stage_result_bytes", "Memory that results take up at workers.", "service")
	stageUse         = prometheus.NewDesc("teaselplank_stage_pieces_per_second", "Pieces of new requests per second, as asked for, allocated and admitted.", []string{"service", "rank", "kind"}, nil)
	stageDecisions   = prometheus.NewDesc("teaselplank_stage_jobs_total", "Jobs of stages that the owner admitted or refused.", []string{"rank", "decision"}, nil)
	resultBytesLimit = newDesc("stage_result_limit_bytes", "Memory that results may take up at workers.", "service")
)

// slowFactor is the slowness from which on an upstream counts as slow.
const slowFactor = 2

// Describe implements prometheus.Collector.
func (g *stateGauges) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{storeReadAge, retriesLeft, limitShares, slowestUpstream, slowUpstreams, coldUpstreams, pacedUpstreams, evacuatedZones, nodesKnown, piecesQueued, piecesUpcoming, usableWorkers, callsInFlight, resultBytes, resultBytesLimit, stageUse, stageDecisions} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (g *stateGauges) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, label string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, label)
	}
	now := g.server.now()
	g.collectNode(now, gauge)
	for _, p := range g.server.owner.pools(now) {
		gauge(piecesQueued, float64(p.Queued), p.Service)
		gauge(piecesUpcoming, float64(p.Upcoming), p.Service)
		gauge(usableWorkers, float64(p.Workers), p.Service)
		gauge(callsInFlight, float64(p.Calls), p.Service)
		gauge(resultBytes, float64(p.ResultBytes), p.Service)
		gauge(resultBytesLimit, float64(p.ResultLimit), p.Service)
		for _, u := range p.Uses {
			rank := strconv.Itoa(u.Rank)
			for kind, value := range map[string]float64{"asked": u.Demand, "allocated": u.Allocated, "admitted": u.Admitted} {
				ch <- prometheus.MustNewConstMetric(stageUse, prometheus.GaugeValue, value, p.Service, rank, kind)
			}
		}
	}
	counts := g.server.owner.counts()
	for rank, admitted := range counts.AdmittedByRank {
		ch <- prometheus.MustNewConstMetric(stageDecisions, prometheus.CounterValue, float64(admitted), strconv.Itoa(rank), "admitted")
		ch <- prometheus.MustNewConstMetric(stageDecisions, prometheus.CounterValue, float64(counts.RefusedByRank[rank]), strconv.Itoa(rank), "refused")
	}
}

func (g *stateGauges) collectNode(now time.Time, gauge func(d *prometheus.Desc, value float64, label string)) {
	s := g.server
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream, state := range s.streams {
		gauge(storeReadAge, now.Sub(state.lastRead).Seconds(), string(stream))
	}
	for service, left := range s.node.RetriesLeft(now) {
		gauge(retriesLeft, left, service)
	}
	for service, share := range s.node.LimitShares() {
		gauge(limitShares, share, service)
	}
	slowest, slow := make(map[string]float64), make(map[string]int)
	for _, u := range s.node.Speeds(now) {
		slowest[u.Service] = max(slowest[u.Service], u.Slowness)
		if u.Slowness >= slowFactor {
			slow[u.Service]++
		}
	}
	for service, slowness := range slowest {
		gauge(slowestUpstream, slowness, service)
		gauge(slowUpstreams, float64(slow[service]), service)
	}
	cold, paced := make(map[string]int), make(map[string]int)
	for _, w := range s.warmingUpstreams() {
		if w.left > 0 {
			cold[w.upstream.Service]++
		}
		if !s.group.Pace(w.process()).Ended {
			paced[w.upstream.Service]++
		}
	}
	for service, count := range cold {
		gauge(coldUpstreams, float64(count), service)
	}
	for service, count := range paced {
		gauge(pacedUpstreams, float64(count), service)
	}
	for _, zone := range s.group.EvacuatedZones() {
		gauge(evacuatedZones, 1, zone)
	}
	states := make(map[string]int)
	for _, p := range s.group.Peers() {
		states[string(p.State())]++
	}
	for state, count := range states {
		gauge(nodesKnown, float64(count), state)
	}
}
