package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// An Action is the kind of a step.
type Action string

// The actions. Actions on hosts send signals; actions on links set the mode of a proxy.
const (
	// Pause suspends a host's process for the step's duration. Kill kills it and
	// restarts it after that duration. Terminate lets it shut down and restarts it at
	// once.
	Pause     Action = "pause"
	Kill      Action = "kill"
	Terminate Action = "terminate"
	// Reload makes a host reload its settings.
	Reload Action = "reload"
	// StoreLink sets the mode of the proxy between one host and the store, PeerLink
	// that of the proxy between all other hosts and one host, and UpstreamLink that of
	// the proxy in front of one upstream.
	StoreLink    Action = "store link"
	PeerLink     Action = "peer link"
	UpstreamLink Action = "upstream link"
	// StoreDown makes the store refuse all calls. StoreCompact drops all configuration
	// records but the newest.
	StoreDown    Action = "store down"
	StoreCompact Action = "store forgets"
	// StoreRestore replaces the store's records by a copy from before the step's
	// duration. The operator then writes the newest configuration again.
	StoreRestore Action = "store restored"
	// StoreAppends makes the store refuse, delay or lose appends.
	StoreAppends Action = "store appends fail"
	// UpstreamFault makes an upstream inject a fault. UpstreamReplace drains it and
	// starts another one in its place.
	UpstreamFault   Action = "upstream fault"
	UpstreamReplace Action = "upstream leaves"
	// UpstreamHold makes an upstream refuse all requests and ask for a pause.
	// UpstreamLeaving replaces it like UpstreamReplace, but only its responses say that
	// it is leaving.
	UpstreamHold    Action = "upstream pauses"
	UpstreamLeaving Action = "upstream says that it leaves"
	// UpstreamSilence holds all bytes from and to a sound upstream for the step's
	// duration and then delivers them.
	UpstreamSilence Action = "upstream is silent"
	// UpstreamLimit makes an upstream name limits.
	UpstreamLimit Action = "upstream names limits"
	// Evacuate evacuates a zone for the step's duration. Its upstreams are cold afterwards.
	Evacuate Action = "evacuate zone"
	// KillAll kills all hosts at once and restarts each after the step's duration.
	KillAll Action = "kill all"
	// Release starts engines of another version and then lets the oldest ones leave.
	Release Action = "release"
	// Publish writes a new version of the configuration.
	Publish Action = "publish"
)

// A Step is one fault or change of a plan.
type Step struct {
	At     time.Duration
	Action Action
	// Target selects the host or upstream; it is taken modulo their number.
	Target int
	// Duration is the duration of the fault; actions without one ignore it.
	Duration time.Duration
	// Mode is the mode for a link action. FaultIndex selects the fault of an upstream;
	// it is taken modulo the number of faults.
	Mode       Mode
	FaultIndex int
}

// weightedActions lists the actions to choose from at random. An action that is listed
// twice is twice as likely.
var weightedActions = []Action{
	Pause, Kill, Terminate, Terminate, Reload, StoreLink, StoreLink, PeerLink, PeerLink, UpstreamLink, UpstreamLink,
	StoreDown, StoreCompact, UpstreamFault, UpstreamFault, UpstreamReplace, Publish, Publish,
}

// drillActions are the additional actions of plans with drills.
var drillActions = []Action{StoreRestore, StoreRestore, UpstreamHold, UpstreamLeaving}

// plannedActions are the actions of operators, which need no request to fail.
var plannedActions = []Action{Publish, Publish, Reload, Terminate, UpstreamReplace}

// limitActions are the additional actions of plans with limits.
var limitActions = []Action{Kill, Pause, PeerLink, StoreLink}

// startActions are the additional actions of plans with cold starts.
var startActions = []Action{Kill, Pause, PeerLink, StoreLink, UpstreamReplace, UpstreamReplace, StoreCompact}

var linkFaults = []Mode{Delay, Reset, HoldRequests, HoldResponses, HoldBoth}

const (
	// meanSeriesInterval is the mean time between the starts of two series of steps.
	meanSeriesInterval = 900 * time.Millisecond
	maxSeriesSteps     = 3
	maxStepDuration    = 2500 * time.Millisecond
	minStepDuration    = 200 * time.Millisecond
	// maxSilentUpstreams is the maximum number of silences in a series.
	maxSilentUpstreams = 6
	// An evacuation is longer than the time within which it must hold.
	minEvacuation          = 6 * time.Second
	maxEvacuation          = 8 * time.Second
	meanEvacuationInterval = 4 * time.Second
	minSilence             = 800 * time.Millisecond
	maxSilence             = 1600 * time.Millisecond
)

// NewPlan generates the steps of a run in short series, which may overlap. The result
// depends on the arguments only.
func NewPlan(seed uint64, length time.Duration, kind PlanKind) []Step {
	random := rand.New(rand.NewPCG(seed, 0))
	general := seriesKind{weightedActions, maxSeriesSteps, minStepDuration, maxStepDuration, meanSeriesInterval}
	var plan []Step
	switch kind {
	case Drills:
		general.actions = slices.Concat(weightedActions, drillActions)
	case Silences:
		general.actions = plannedActions
		silences := seriesKind{[]Action{UpstreamSilence}, maxSilentUpstreams, minSilence, maxSilence, meanSeriesInterval}
		plan = silences.steps(random, length)
	case Crashes, Repeats:
		general.actions = plannedActions
	case Releases:
		general = releaseFaults
		plan = releaseSeries.steps(random, length)
	case Starts:
		general.actions = slices.Concat(plannedActions, startActions)
		evacuations := seriesKind{[]Action{Evacuate}, 1, minEvacuation, maxEvacuation, meanEvacuationInterval}
		plan = evacuations.steps(random, length)
	case Limits:
		general.actions = slices.Concat(plannedActions, limitActions)
		limits := seriesKind{[]Action{UpstreamLimit}, maxLimitSteps, minLimitTime, maxLimitTime, meanSeriesInterval}
		plan = limits.steps(random, length)
	}
	plan = append(plan, general.steps(random, length)...)
	slices.SortStableFunc(plan, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return slices.DeleteFunc(plan, func(s Step) bool { return s.At >= length })
}

// A seriesKind describes series of steps.
type seriesKind struct {
	actions                  []Action
	maxSteps                 int
	minDuration, maxDuration time.Duration
	// meanInterval is the mean time between the starts of two series.
	meanInterval time.Duration
}

// steps generates the series of a run.
func (k seriesKind) steps(random *rand.Rand, length time.Duration) []Step {
	var steps []Step
	for at := k.meanInterval; at < length; at += time.Duration(random.ExpFloat64() * float64(k.meanInterval)) {
		action := k.actions[random.IntN(len(k.actions))]
		for i := range 1 + random.IntN(k.maxSteps) {
			steps = append(steps, Step{
				At: at + time.Duration(i)*time.Duration(random.IntN(300))*time.Millisecond, Action: action,
				Target: random.IntN(1 << 16), Duration: k.minDuration + time.Duration(random.Int64N(int64(k.maxDuration-k.minDuration))),
				Mode: linkFaults[random.IntN(len(linkFaults))], FaultIndex: random.IntN(1 << 16),
			})
			if random.IntN(2) == 0 {
				action = k.actions[random.IntN(len(k.actions))]
			}
		}
	}
	return steps
}
