package proxy

import (
	"net/http"
	"slices"
	"time"

	"teaselplank/picker"
)

// limitUpstream sets or removes this node's share of an upstream's limit.
func (n *Node) limitUpstream(now time.Time, e UpstreamLimited) {
	u := n.upstream(e.ID)
	if u == nil || u.Born != e.Born {
		return
	}
	u.paced = e.Paced
	if !e.Limited {
		u.limit.Remove()
		u.limitTotal, u.limitSpread = 0, 0
		return
	}
	u.limit.SetRate(now, e.Rate)
	u.limitTotal, u.limitSpread = e.Total, e.Spread
}

// LimitShares returns the number of requests per second that this node may send to upstreams
// with limits, by service.
func (n *Node) LimitShares() map[string]float64 {
	shares := make(map[string]float64)
	for name, p := range n.pools {
		for _, u := range p.upstreams {
			if u.limit.Limited() {
				shares[name] += u.limit.Rate()
			}
		}
	}
	return shares
}

// dueForCheck returns the candidates that should get a request now, to learn whether their
// limits still hold. If there are none, it returns all candidates.
func (p *pool) dueForCheck(now time.Time, candidates []picker.Candidate) []picker.Candidate {
	isDue := func(c picker.Candidate) bool { return p.byID[c.ID].limit.NeedsCheck(now) }
	if !slices.ContainsFunc(candidates, isDue) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c picker.Candidate) bool { return !isDue(c) })
}

// A limitForecast is what the limits of a service's upstreams allow this node to send, if
// nothing but their limits keeps requests from it.
type limitForecast struct {
	// wait is the time until the next request may be sent.
	wait time.Duration
	// rate is the number of requests that this node may send each second, and part its equal
	// part of what all nodes may send.
	rate, part float64
}

// forecastLimits returns the forecast for a request. It returns false if an upstream without
// a limit may take the request, or none at all.
func (n *Node) forecastLimits(now time.Time, r *request, p *pool) (limitForecast, bool) {
	f, limited := limitForecast{}, false
	for _, u := range p.upstreams {
		if u.Draining || u.evacuated || u.pause.Active(now) || u.health.Suspect(now) || !r.allows(u) {
			continue
		}
		if !u.limit.Limited() {
			return limitForecast{}, false
		}
		if wait := u.limit.Wait(now); !limited || wait < f.wait {
			f.wait = wait
		}
		limited = true
		f.rate += u.limit.Rate()
		f.part += u.limitTotal / float64(n.nodes)
	}
	return f, limited
}

// refuseForLimits refuses a request that the limits of its upstreams will not let through in
// time, before its stages cost anything. It reports whether it did.
func (n *Node) refuseForLimits(now time.Time, r *request) bool {
	p := n.pools[r.service]
	if p == nil {
		return false
	}
	f, limited := n.forecastLimits(now, r, p)
	if !limited {
		return false
	}
	wait := f.wait
	if f.rate > 0 {
		// The requests whose stages are running come first.
		wait = max(wait, time.Duration(float64(n.staging(r.service))/f.rate*float64(time.Second)))
	}
	if wait == 0 || r.hasStages() && !now.Add(wait).After(r.due) {
		return false
	}
	n.reply(now, r, http.StatusServiceUnavailable, ReasonLimit, p.returnAfter(now, r, f))
	return true
}

// staging returns the number of requests for a service whose stages are running.
func (n *Node) staging(service string) int {
	count := 0
	for _, r := range n.requests {
		if r.service == service && r.status == statusStaging && r.hasStages() {
			count++
		}
	}
	return count
}

// hasStages reports whether stages run for the request before it is sent.
func (r *request) hasStages() bool {
	for i := range r.stages {
		if r.pieces(i) > 0 {
			return true
		}
	}
	return false
}

// failWithoutUpstream ends a request that no upstream can take now.
func (n *Node) failWithoutUpstream(now time.Time, r *request, p *pool) {
	if f, limited := n.forecastLimits(now, r, p); limited {
		n.fail(now, r, ReasonLimit, p.returnAfter(now, r, f))
		return
	}
	n.fail(now, r, ReasonNoUpstream, max(upstreamRetryAfter, p.pauseLeft(now, r)))
}

// minReturnRate bounds the interval between two clients that may return.
const minReturnRate = 0.1 // requests per second

// returnAfter returns when the client of a request may return that the limits of upstreams
// keep from them.
func (p *pool) returnAfter(now time.Time, r *request, f limitForecast) time.Duration {
	interval := time.Duration(float64(time.Second) / max(f.part, minReturnRate))
	return p.returns.Next(now, r.rank, max(busyRetryAfter, min(f.wait, interval)), interval)
}
