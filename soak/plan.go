package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// An Action is what a step of a plan does.
type Action string

// The actions. Those on hosts are signals, on links modes of a proxy.
const (
	// Pause stops a host's process for a time, Kill ends it and starts it again
	// after a time, Terminate lets it shut down and starts it again at once.
	Pause     Action = "pause"
	Kill      Action = "kill"
	Terminate Action = "terminate"
	// Reload asks a host to read its settings again.
	Reload Action = "reload"
	// StoreLink, PeerLink and UpstreamLink set the mode of the proxy before the
	// store for one host, before one host for all others, and before one
	// upstream.
	StoreLink    Action = "store link"
	PeerLink     Action = "peer link"
	UpstreamLink Action = "upstream link"
	// StoreDown makes the store refuse all calls, StoreForget drops its history.
	StoreDown   Action = "store down"
	StoreForget Action = "store forgets"
	// UpstreamFault makes an upstream misbehave, UpstreamLeaves drains it and
	// starts another in its place.
	UpstreamFault  Action = "upstream fault"
	UpstreamLeaves Action = "upstream leaves"
	// Publish puts a new version of the configuration into force.
	Publish Action = "publish"
)

// A Step is one fault or change.
type Step struct {
	At     time.Duration
	Action Action
	// Target picks the host or upstream, by its number modulo how many there
	// are.
	Target int
	// For is how long it lasts, where it lasts.
	For time.Duration
	// Mode is of links; Draw picks among the faults of upstreams.
	Mode Mode
	Draw int
}

// actions lists what is drawn from; what comes twice is drawn twice as often.
var actions = []Action{
	Pause, Kill, Terminate, Terminate, Reload, StoreLink, StoreLink, PeerLink, PeerLink, UpstreamLink, UpstreamLink,
	StoreDown, StoreForget, UpstreamFault, UpstreamFault, UpstreamLeaves, Publish, Publish,
}

var modes = []Mode{Delay, Reset, CutOut, CutBack, Silence}

// The pause between two series of steps on the mean, the longest series, and how
// long a fault lasts at most.
const (
	seriesEvery = 900 * time.Millisecond
	seriesMost  = 3
	longest     = 2500 * time.Millisecond
	shortest    = 200 * time.Millisecond
)

// NewPlan draws the steps of a run. It depends on nothing but its arguments.
// Steps come in short series, which may overlap.
func NewPlan(seed uint64, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 0))
	var plan []Step
	for at := seriesEvery; at < length; at += time.Duration(random.ExpFloat64() * float64(seriesEvery)) {
		action := actions[random.IntN(len(actions))]
		for i := range 1 + random.IntN(seriesMost) {
			plan = append(plan, Step{
				At: at + time.Duration(i)*time.Duration(random.IntN(300))*time.Millisecond, Action: action,
				Target: random.IntN(1 << 16), For: shortest + time.Duration(random.Int64N(int64(longest-shortest))),
				Mode: modes[random.IntN(len(modes))], Draw: random.IntN(1 << 16),
			})
			if random.IntN(2) == 0 {
				action = actions[random.IntN(len(actions))]
			}
		}
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return slices.DeleteFunc(plan, func(s Step) bool { return s.At >= length })
}
