package soak

import (
	"time"

	"teaselplank/platform/stand"
)

// A PlanKind selects the actions of a plan and the surroundings of a run. Seeds that once
// failed keep their plans when a kind is added.
type PlanKind string

// The kinds of plans.
const (
	// Faults is the zero value.
	Faults PlanKind = ""
	// Drills adds drillActions to the faults, and further faults of upstreams.
	Drills PlanKind = "drills"
	// Silences has silences of upstreams and planned work, and no faults.
	Silences PlanKind = "silences"
	// Crashes has planned work, and a part of prompts that crashes each engine that begins
	// to answer a request with it.
	Crashes PlanKind = "crashes"
	// Repeats has planned work, and requests that crash each plain upstream that runs them and
	// come again and again.
	Repeats PlanKind = "repeats"
	// Limits has upstreams that name limits, change them and drop them, while hosts end,
	// start, freeze and are cut off from each other.
	Limits PlanKind = "limits"
	// Starts has upstreams that announce a warm-up and come, leave and are cold, and zones that
	// are evacuated and return, while hosts end, start, freeze and are cut off.
	Starts PlanKind = "starts"
	// Releases has engines of several versions, which come, leave and come back, while hosts
	// are killed singly and all at once and the store fails. Clients resume their streams.
	Releases PlanKind = "releases"
)

// surroundings are the parameters of a run that depend on the kind of its plan.
type surroundings struct {
	// deadline is the deadline of each request, and shutdownGrace the time that a host has
	// to shut down.
	deadline      time.Duration
	shutdownGrace time.Duration
	streamEvents  int
	// engineVersion is the version of the first engines, which name theirs in each event, or
	// empty if engines name none.
	engineVersion string
	upstreamKinds []upstreamKind
}

// An upstreamKind describes the upstreams of one service.
type upstreamKind struct {
	service    string
	workerKind stand.Kind
	// count is the number of upstreams in each availability zone.
	count int
	slots int
	delay time.Duration
}

var standardSurroundings = surroundings{
	deadline: 3 * time.Second, shutdownGrace: 6 * time.Second, streamEvents: 12,
	upstreamKinds: []upstreamKind{
		{stand.ServiceDesk, stand.Plain, 2, 6, 20 * time.Millisecond},
		{stand.ServiceEngine, stand.Engine, 2, 32, 15 * time.Millisecond},
		{stand.ServiceEncode, stand.Stage, 2, 1, 20 * time.Millisecond},
		{stand.ServiceRank, stand.Stage, 2, 1, 20 * time.Millisecond},
	},
}

// silentSurroundings have long streams, which silences meet midway, and little capacity for
// stages. The deadline is the timeout of the routes. A host that shuts down has the time
// for each request that it gets while it still reports ready or its clients do not know.
var silentSurroundings = surroundings{
	deadline: 4 * time.Second, shutdownGrace: 8 * time.Second, streamEvents: 100,
	upstreamKinds: []upstreamKind{
		{stand.ServiceDesk, stand.Plain, 2, 6, 20 * time.Millisecond},
		{stand.ServiceEngine, stand.Engine, 2, 32, 15 * time.Millisecond},
		{stand.ServiceEncode, stand.Stage, 1, 1, 100 * time.Millisecond},
		{stand.ServiceRank, stand.Stage, 1, 1, 100 * time.Millisecond},
	},
}

// repeatUpstreams are more plain upstreams, so that some are left once requests that crash
// them are kept away.
var repeatUpstreams = []upstreamKind{
	{stand.ServiceDesk, stand.Plain, 4, 6, 20 * time.Millisecond},
	{stand.ServiceEngine, stand.Engine, 1, 32, 15 * time.Millisecond},
	{stand.ServiceEncode, stand.Stage, 1, 1, 20 * time.Millisecond},
	{stand.ServiceRank, stand.Stage, 1, 1, 20 * time.Millisecond},
}

// surroundings returns the parameters of a run.
func (k PlanKind) surroundings() surroundings {
	switch k {
	case Silences:
		return silentSurroundings
	case Releases:
		return releaseSurroundings
	}
	s := standardSurroundings
	if k == Repeats {
		s.upstreamKinds = repeatUpstreams
	}
	return s
}
