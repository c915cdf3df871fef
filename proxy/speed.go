package proxy

import (
	"math"
	"slices"
	"time"

	"teaselplank/picker"
	"teaselplank/speed"
)

// maxReportedLoad bounds the running and the waiting requests in a load report, as a multiple of
// the upstream's slots, so that a false report does not keep work away for long.
const maxReportedLoad = 2

// A policy picks an upstream and returns how long a request takes there at the usual speed.
type policy interface {
	picker.Policy
	Work(c picker.Candidate) time.Duration
}

// policy returns the policy for a request. The zone is preferred for engines if it is not empty.
func (n *Node) policy(r *request, zone string) policy {
	if n.isEngine(r.service) {
		return picker.PrefixAffinity{Zone: zone, SharedPrefix: r.SharedPrefix, Tokens: r.PromptTokens, SharedTokens: r.SharedTokens}
	}
	return picker.LowestLatency{Zone: n.config.Zone}
}

// weighted returns the candidates with the weights and speeds that the policy of the request's
// service uses.
func (n *Node) weighted(now time.Time, p *pool, r *request, candidates []picker.Candidate) []picker.Candidate {
	if n.isEngine(r.service) {
		candidates = n.setZoneWeights(candidates)
	}
	if p.speeds.Active() {
		for i := range candidates {
			c := &candidates[i]
			u := p.byID[c.ID]
			c.Slowness = p.speeds.Usual() * p.slowness(now, u)
			c.OthersInFlight *= u.speed.LoadTrust(now)
		}
	}
	return candidates
}

// slowness returns how much longer than usual an upstream takes for its work, by its estimate and
// by the responses that this node waits for.
func (p *pool) slowness(now time.Time, u *upstream) float64 {
	slowness := u.speed.Slowness(now)
	for _, a := range u.waiting {
		slowness = max(slowness, speed.WaitSlowness(now.Sub(a.sentAt), p.speeds.Expected(a.work)))
	}
	return slowness
}

// expect records how long the response to an attempt takes at the usual speed. It does nothing
// unless the speeds of the service are in use.
func (n *Node) expect(now time.Time, p *pool, r *request, chosen picker.Candidate) {
	if !p.speeds.Active() {
		return
	}
	a := r.current
	a.candidate, a.work = chosen, n.policy(r, r.homeZone).Work(chosen)
	if chosen.HasPrefix {
		a.pendingTokens -= r.SharedTokens
	}
	a.slowness = p.slowness(now, a.upstream)
	a.upstream.waiting = append(a.upstream.waiting, a)
}

// stopWaiting removes an attempt from those that wait for their upstream's response.
func (a *attempt) stopWaiting() {
	a.upstream.waiting = slices.DeleteFunc(a.upstream.waiting, func(other *attempt) bool { return other == a })
}

// loadReported records a load report that came without a request.
func (n *Node) loadReported(now time.Time, e LoadReported) {
	if u := n.upstream(e.ID); u != nil && u.Born == e.Born {
		n.observeLoad(now, u, e.Load)
	}
}

// observeLoad records an upstream's load report.
func (n *Node) observeLoad(now time.Time, u *upstream, l Load) {
	if p := n.pools[u.Service]; p != nil {
		p.speeds.Report(now, &u.speed, l.Slowness)
		if p.speeds.Active() {
			most := maxReportedLoad * max(u.Slots, 1)
			l.Running, l.Waiting = min(l.Running, most), min(l.Waiting, most)
		}
	}
	u.setLoad(now, l)
}

// observeSpeed records that an attempt got the part of its response by which its upstream's speed
// is measured: the first event from an engine, and all of it otherwise.
func (n *Node) observeSpeed(now time.Time, r *request, a *attempt) {
	p := n.pools[r.service]
	if p == nil || a.work == 0 {
		return
	}
	took := now.Sub(a.sentAt)
	p.speeds.Observe(now, &a.upstream.speed, took, a.work)
	// The report in the response is about the load that the request met.
	policy, with, without := n.policy(r, r.homeZone), a.candidate, a.candidate
	with.OthersInFlight, without.OthersInFlight = a.upstream.otherRequests(now), 0
	a.upstream.speed.ObserveLoad(now, took, p.speeds.Expected(policy.Work(with)), p.speeds.Expected(policy.Work(without)))
}

// observeBegin records that the response to a request has begun with an attempt. Times are recorded
// as at the usual speed, so that the forecast can be for an upstream of another speed.
func (n *Node) observeBegin(now time.Time, r *request, a *attempt) {
	took := min(now.Sub(r.readyAt), r.route.Objective)
	n.beginTimes.add(r, time.Duration(float64(took)/max(a.slowness, 1)))
}

// maxBeginShare bounds the estimated time from the last stage to the first event as a share of
// the objective, so that some time remains for stages whatever was seen.
const maxBeginShare = 0.5

// likelyBeginTime returns a time from the last stage to the first event that most requests do not
// exceed, at the upstream that the request is likely to go to. Stages that end later than this
// before the request is due make it late. With the mean, nearly half of those that end just in
// time would be late.
func (n *Node) likelyBeginTime(r *request, e durationEstimate) time.Duration {
	likely := max(r.slowness, 1) * float64(e.likelyBound())
	return time.Duration(min(likely, maxBeginShare*float64(r.route.Objective)))
}

// speedAttrs returns the log attributes of what is known of the speed of an attempt's upstream.
func (n *Node) speedAttrs(now time.Time, p *pool, a *attempt) []any {
	if !p.speeds.Active() {
		return nil
	}
	attrs := []any{"slowness", math.Round(100*a.slowness) / 100, "expected_ms", time.Duration(a.slowness * float64(p.speeds.Expected(a.work))).Milliseconds()}
	if percent, age, ok := a.upstream.speed.Reported(now); ok {
		attrs = append(attrs, "reported_percent", percent, "report_age_ms", age.Milliseconds())
	}
	return attrs
}

// An UpstreamSpeed is what is known of the speed of an upstream.
type UpstreamSpeed struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Slowness is how much longer than usual the upstream takes for its work.
	Slowness float64 `json:"slowness"`
	// Reported is the last reported slowness in percent, or 0, and ReportAgeMS its age.
	Reported    int   `json:"reported_percent,omitempty"`
	ReportAgeMS int64 `json:"report_age_ms,omitempty"`
}

// Speeds returns what is known of the speed of the upstreams of services whose speeds are in use.
func (n *Node) Speeds(now time.Time) []UpstreamSpeed {
	var speeds []UpstreamSpeed
	for name, p := range n.pools {
		if !p.speeds.Active() {
			continue
		}
		for _, u := range p.upstreams {
			percent, age, _ := u.speed.Reported(now)
			speeds = append(speeds, UpstreamSpeed{ID: u.ID, Service: name, Slowness: p.slowness(now, u), Reported: percent, ReportAgeMS: age.Milliseconds()})
		}
	}
	return speeds
}
