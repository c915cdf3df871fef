package pace

import (
	"time"

	"teaselplank/limit"
)

// An Outcome is how an attempt at an upstream went, as far as it is known.
type Outcome int

const (
	// Answered means that the answer has begun, or that the whole answer has arrived if it is
	// not a stream.
	Answered Outcome = iota
	// Failed means that the upstream failed, refused the request for lack of capacity or was
	// silent for too long.
	Failed
	// Gone means that nothing listens at the upstream's address, while most upstreams of the
	// service can be reached: its process has ended.
	Gone
)

// An Answer is the outcome of an attempt.
type Answer struct {
	Process limit.Process
	Service string
	Outcome Outcome
	// Took is the time until the answer began. SentAt is when the request was sent.
	Took   time.Duration
	SentAt time.Time
}

// A Fleet describes who shares the requests of a service.
type Fleet struct {
	// Nodes and Upstreams are the numbers of nodes and of upstreams that may get new work.
	// Paced is the number of those in a slow start.
	Nodes, Upstreams, Paced int
}

const (
	// startRate is the rate at which an upstream starts. It gives one node an answer every
	// half second, so that the rate can rise after a second.
	startRate = 2 // requests per second
	// minPace is the lowest rate. Below it, it would take many seconds until answers show that
	// the upstream has recovered.
	minPace = 1 // requests per second
	// growth is the factor by which good answers raise a rate, and by which other outcomes
	// divide it. limit.Table confirms a rise over half a second.
	growth = 2
	// minPart is the lowest rate at which a slow start may end. A node estimates the rate of the
	// service from its own requests, which is inaccurate if it gets few.
	minPart = 8 // requests per second
	// ratePerHolder is the rate per node with a share, so that each of these gets an answer
	// every half second.
	ratePerHolder = 2 // requests per second
	// An answer is slow if it takes longer than slowFactor times the mean of the service and
	// slowMargin. Times of single answers vary by about a factor of two.
	slowFactor = 2.5
	slowMargin = 50 * time.Millisecond
	// typicalWeight is the weight of the newest answer in the mean.
	typicalWeight = 0.05
	// demandWindow is the time over which the requests of a service are counted.
	demandWindow = 2 * time.Second
	// staleAfter is the time without a change after which a pace rises without an answer, as the
	// nodes with shares may get no requests of the service.
	staleAfter = 4 * time.Second
)

// StartQuota returns what nodes may send to an upstream in a slow start at a rate.
func StartQuota(rate float64) Quota {
	return Quota{Rate: rate, Holders: max(int(rate/ratePerHolder), 1)}
}

// Begin returns the statement that begins a slow start of an upstream, given its pace. It returns
// false if a slow start is in progress, or if more than half of the service's upstreams would be
// in one: where all are new at once, slow starts would starve the service.
func Begin(pace limit.Limit, f Fleet) (limit.Statement, bool) {
	if !pace.Ended || 2*(f.Paced+1) > f.Upstreams {
		return limit.Statement{}, false
	}
	return limit.Statement{Named: true, Rate: startRate}, true
}

// A Pacer decides how the paces of upstreams in a slow start should change, given the answers that
// this node gets. limit.Table applies the statements of the pacers of all nodes: a lower rate at
// once, a higher one once it has been stated for half a second. The zero value has seen no answer.
type Pacer struct {
	services map[string]*demand
	watched  map[limit.Process]watch
}

// A demand is what a node knows of the requests of a service.
type demand struct {
	// typical is the mean time until answers began, of upstreams that are not in a slow start.
	typical time.Duration
	// answered are the times of answers in the demandWindow.
	answered []time.Time
}

// A watch is the time since which a version of a pace is unchanged.
type watch struct {
	version uint64
	since   time.Time
}

// Answer records an outcome. It returns what it says about the pace of its upstream, if
// anything. The pace is the one in force; it has Ended if there is none.
func (p *Pacer) Answer(now time.Time, a Answer, pace limit.Limit, f Fleet) (limit.Statement, bool) {
	d := p.demand(a.Service)
	if a.Outcome == Answered {
		d.count(now)
	}
	switch {
	case pace.Ended && a.Outcome == Gone:
		return Begin(pace, f)
	case pace.Ended:
		if a.Outcome == Answered {
			d.typical = mean(d.typical, a.Took)
		}
		return limit.Statement{}, false
	case a.Outcome == Answered && !d.isSlow(a.Took):
		return p.raise(now, a.Service, pace, f), true
	}
	p.watch(now, pace, true)
	lower := max(pace.Rate/growth, minPace)
	if a.Outcome == Gone {
		// No request reaches the upstream, so this is the rate for its next process.
		lower = startRate
	}
	return limit.Statement{Named: true, Rate: min(pace.Rate, lower)}, true
}

// Stale returns the statement that raises a pace which has not changed for staleAfter, if it is
// due.
func (p *Pacer) Stale(now time.Time, service string, pace limit.Limit, f Fleet) (limit.Statement, bool) {
	if pace.Ended {
		delete(p.watched, pace.Process)
		return limit.Statement{}, false
	}
	if now.Sub(p.watch(now, pace, false)) < staleAfter {
		return limit.Statement{}, false
	}
	return p.raise(now, service, pace, f), true
}

// raise returns the statement that raises a pace, or that ends it if the upstream gets its part
// of the service's requests.
func (p *Pacer) raise(now time.Time, service string, pace limit.Limit, f Fleet) limit.Statement {
	part := p.demand(service).rate(now) * float64(f.Nodes) / float64(max(f.Upstreams, 1))
	if pace.Rate >= max(part, minPart) {
		return limit.Statement{}
	}
	return limit.Statement{Named: true, Rate: growth * pace.Rate}
}

// watch returns the time of the last change of a pace. With restart, that time is now.
func (p *Pacer) watch(now time.Time, pace limit.Limit, restart bool) time.Time {
	if p.watched == nil {
		p.watched = make(map[limit.Process]watch)
	}
	w, known := p.watched[pace.Process]
	if !known || restart || w.version != pace.Version {
		w = watch{pace.Version, now}
		p.watched[pace.Process] = w
	}
	return w.since
}

func (p *Pacer) demand(service string) *demand {
	if p.services == nil {
		p.services = make(map[string]*demand)
	}
	if p.services[service] == nil {
		p.services[service] = &demand{}
	}
	return p.services[service]
}

// count counts an answer.
func (d *demand) count(now time.Time) {
	d.expire(now)
	d.answered = append(d.answered, now)
}

func (d *demand) expire(now time.Time) {
	for len(d.answered) > 0 && now.Sub(d.answered[0]) > demandWindow {
		d.answered = d.answered[1:]
	}
}

// rate returns the answers per second.
func (d *demand) rate(now time.Time) float64 {
	d.expire(now)
	return float64(len(d.answered)) / demandWindow.Seconds()
}

func (d *demand) isSlow(took time.Duration) bool {
	return d.typical > 0 && took > time.Duration(slowFactor*float64(d.typical))+slowMargin
}

// mean returns the moving average after a new value.
func mean(old, value time.Duration) time.Duration {
	if old == 0 {
		return value
	}
	return old + time.Duration(typicalWeight*float64(value-old))
}
