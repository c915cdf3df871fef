// Package soak runs the real programs as processes on this machine, injects faults from
// outside and checks the results that clients and upstreams see.
//
// Faults are signals to the hosts' processes, proxies that delay, reset or hold the
// connections to the store, to upstreams and between hosts, a store that is unavailable
// or compacts its history, and upstreams that misbehave or drain. Some upstreams send
// answers with neither a length nor chunks. Faults occur in series and may overlap. Plans
// of the kind Silences have no faults: sound upstreams fall silent for a moment during
// planned work. Plans of the kind Limits have upstreams that name limits. Plans of the kind
// Starts have upstreams that start cold, and zones that are evacuated. Plans of the kind
// Releases have engines of several versions and clients that resume streams. In one seed of
// four, upstreams report their load and are slow at times. All random
// choices depend on the seed alone; the exact timing depends on the machine.
package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"teaselplank/platform/stand"
)

// Options holds the options of a run.
type Options struct {
	// Binary is the program of the hosts.
	Binary string
	// Directory is the directory for the settings and logs of the hosts.
	Directory string
	// Seed determines the faults and the load.
	Seed uint64
	// Kind selects the actions of the plan and the surroundings.
	Kind PlanKind
	// Length is the time during which faults start; the run takes 10 to 25 s longer.
	Length time.Duration
	Hosts  int
	// Clients is the number of clients; each sends one request after the other.
	Clients int
}

// A Report is the result of a run.
type Report struct {
	Steps    int
	Requests int
	// Served is the number of requests that succeeded with a complete response.
	Served int
	// FailedEarly is the number of requests that got the status 502 or 504 before their
	// deadlines.
	FailedEarly int
	// Crashes is the number of crashes of upstreams.
	Crashes int
	// Resumed and New count the resumed streams that could go on, and the new ones that were
	// begun at the same moments.
	Resumed, New shareCounter
	// Violations describe the guarantees that were not kept.
	Violations []string
}

// A deployment is the system under test and its surroundings: the store, the upstreams,
// the hosts and the clients.
type deployment struct {
	options Options
	surroundings
	store     *stand.Store
	storeAddr string
	server    *http.Server
	hosts     []*host
	clients   *clientPool
	streams   streamPool
	// crashPart is the part of prompts that crashes engines, or nil.
	crashPart *stand.CrashPart
	// crashRequests are the requests that crash plain upstreams.
	crashRequests []*stand.CrashRequest

	mu        sync.Mutex
	upstreams []*upstream
	faults    []faultPeriod
	// publishTimes has the time of each version of the configuration, from version 1 on.
	publishTimes []time.Time
	// evacuations are the periods in which zones were evacuated. evacuating is locked during an
	// evacuation.
	evacuations []evacuation
	evacuating  sync.Mutex
	// releasing is held while two versions come together, and killing while all hosts end.
	releasing, killing sync.Mutex
	// runErr is the first error of the run itself, or nil.
	runErr error
}

// A faultPeriod is the time between the start and the end of a fault. host and upstream are
// the step's targets among the hosts and upstreams, also for an action that affects only
// one of the two or neither.
type faultPeriod struct {
	action   Action
	host     *host
	upstream *upstream
	from, to time.Time
}

// Run runs the plan of one seed and checks the guarantees.
func Run(o Options) (Report, error) {
	d := &deployment{options: o, surroundings: o.Kind.surroundings(), store: &stand.Store{}}
	defer d.close()
	if o.Kind.usesCrashPart() {
		d.crashPart = &stand.CrashPart{ID: crashPartID, RestartAfter: crashRestart}
	}
	d.crashRequests = o.Kind.crashRequests()
	if err := d.start(); err != nil {
		return Report{}, fmt.Errorf("start the deployment: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	if d.crashPart != nil || len(d.crashRequests) > 0 {
		d.clients.crashFrom = time.Now().Add(crashDelay)
	}
	var clients sync.WaitGroup
	go d.clients.pollReady(ctx)
	for i := range o.Clients {
		clients.Go(func() { d.clients.runClient(ctx, o.Seed<<8+uint64(i)) })
	}
	for i := range o.Kind.streamClients() {
		clients.Go(func() { d.runStreamClient(ctx, o.Seed<<8+uint64(i)) })
	}
	if o.reportsLoad() {
		clients.Go(func() { d.changeSpeeds(ctx) })
	}
	plan := NewPlan(o.Seed, o.Length, o.Kind)
	d.runPlan(plan)
	d.mu.Lock()
	runErr := d.runErr
	d.mu.Unlock()
	time.Sleep(recoveryTime)
	cancel()
	clients.Wait()
	if runErr != nil {
		return Report{}, runErr
	}
	if d.crashDuring(time.Now().Add(-crashRestart), time.Now()) {
		time.Sleep(crashRestart + recoverySlack)
	}
	violations := d.checkRecovery()
	for _, h := range d.hosts {
		h.stop()
	}
	violations = slices.Concat(violations, d.check(), d.checkCrashes(), d.checkCrashingRequests(), d.checkLimits(), d.checkStarts(), d.checkStreams())
	if err := d.writeLogs(); err != nil {
		return Report{}, err
	}
	return d.report(len(plan), violations), nil
}

// recoveryTime is the time after the last fault within which all requests must be served
// again.
const recoveryTime = 6 * time.Second

func (d *deployment) report(steps int, violations []string) Report {
	r := Report{Steps: steps, Requests: len(d.clients.records), Crashes: len(d.crashes()), Violations: violations}
	r.Resumed, r.New = d.judgeResumptions()
	for _, rec := range d.clients.records {
		if rec.err == nil && rec.status == http.StatusOK {
			r.Served++
		}
		if rec.failedEarly() {
			r.FailedEarly++
		}
	}
	return r
}

// writeLogs writes the times of the steps, and the resumed streams, to files beside the logs of
// the hosts.
func (d *deployment) writeLogs() error {
	var steps strings.Builder
	for _, f := range d.faults {
		fmt.Fprintf(&steps, "%s %s %q host %s upstream %s\n", f.from.Format(clockFormat), f.to.Format(clockFormat), f.action, f.host.name, f.upstream.worker.ID)
	}
	if err := d.writeLog("steps.log", steps.String()); err != nil {
		return err
	}
	if d.options.Kind.streamClients() == 0 {
		return nil
	}
	return d.writeLog("streams.log", d.streamLog())
}

func (d *deployment) writeLog(name, text string) error {
	if err := os.WriteFile(filepath.Join(d.options.Directory, name), []byte(text), 0o600); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

// start starts the store, the upstreams and the hosts.
func (d *deployment) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	d.storeAddr = l.Addr().String()
	d.server = &http.Server{Handler: d.store}
	go func() { _ = d.server.Serve(l) }() // Serve returns when the deployment is closed.
	d.clients = &clientPool{deadline: d.deadline, plainCrashes: len(d.crashRequests) > 0, leaveShare: leaveShare(d.options.Seed)}
	d.publish()
	for _, zone := range zones {
		for _, kind := range d.upstreamKinds {
			for i := range kind.count {
				id := fmt.Sprintf("%s-%s-%d", kind.service, zone, i)
				// Every second upstream of a kind sends answers that end with its connections.
				w := &stand.Worker{ID: id, Zone: zone, CloseDelimited: i%2 == 1}
				if kind.workerKind == stand.Engine {
					w.Version = d.engineVersion
				}
				if err := d.addUpstream(kind, w); err != nil {
					return err
				}
			}
		}
	}
	return d.startHosts()
}

// zones are the availability zones.
var zones = []string{"a", "b"}

func (d *deployment) startHosts() error {
	var seeds []string
	for i := range d.options.Hosts {
		h, err := newHost(d.options, i, d.storeAddr, seeds)
		if err != nil {
			return fmt.Errorf("create host %d: %w", i, err)
		}
		d.hosts = append(d.hosts, h)
		seeds = append(seeds, h.peerProxy.Addr())
		h.mu.Lock()
		err = h.start()
		h.mu.Unlock()
		if err != nil {
			return err
		}
	}
	d.clients.hosts = d.hosts
	for _, h := range d.hosts {
		for giveUpAt := time.Now().Add(startTimeout); !h.isReady(); time.Sleep(readyPollInterval) {
			if time.Now().After(giveUpAt) {
				return fmt.Errorf("%q is not ready after %s", h.name, startTimeout)
			}
		}
	}
	return nil
}

// startTimeout is the time within which each host must be ready after its first start,
// and write its first log line after each start.
const startTimeout = 10 * time.Second

// publish writes a new version of the configuration, which has a route of its own.
func (d *deployment) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clients.mu.Lock()
	defer d.clients.mu.Unlock()
	d.clients.configVersion++
	d.publishTimes = append(d.publishTimes, time.Now())
	d.putConfig()
}

// putConfig writes the newest configuration. The lock must be held.
func (d *deployment) putConfig() {
	version := len(d.publishTimes)
	if d.options.Kind == Starts {
		stand.PutConfigWithWarmup(d.store, int64(version), warmup, warmupRate, warmupServices, versionPath(version))
		return
	}
	stand.PutConfig(d.store, int64(version), versionPath(version))
}

// runPlan performs the steps of a plan and returns when the last one has ended.
func (d *deployment) runPlan(plan []Step) {
	start := time.Now()
	var steps sync.WaitGroup
	for _, s := range plan {
		time.Sleep(time.Until(start.Add(s.At)))
		steps.Go(func() { d.performStep(s) })
	}
	steps.Wait()
}

func (d *deployment) performStep(s Step) {
	h, u := d.hosts[s.Target%len(d.hosts)], d.targetUpstream(s)
	if u == nil {
		return
	}
	defer d.recordFault(faultPeriod{action: s.Action, host: h, upstream: u, from: time.Now()})
	switch s.Action {
	case Pause:
		h.pause(s.Duration)
	case Kill:
		d.setRunErr(h.restart(syscall.SIGKILL, s.Duration))
	case Terminate:
		d.setRunErr(h.restart(syscall.SIGTERM, 0))
	case Reload:
		h.reload()
	case StoreLink:
		injectLinkFault(h.storeProxy, s)
	case PeerLink:
		injectLinkFault(h.peerProxy, s)
	case UpstreamLink:
		injectLinkFault(u.proxy, s)
	case StoreDown:
		d.store.SetUnavailable(true)
		time.Sleep(s.Duration)
		d.store.SetUnavailable(false)
	case StoreCompact:
		d.store.CompactConfigs()
	case StoreRestore:
		d.restoreStore(s.Duration)
		time.AfterFunc(entryLifetime, d.removeExpired)
	case StoreAppends:
		d.failAppends(s)
	case KillAll:
		d.killAll(s.Duration)
	case Release:
		d.setRunErr(d.release(s))
	case UpstreamFault:
		faults := d.options.faults()
		u.worker.SetFault(faults[s.FaultIndex%len(faults)])
		time.Sleep(s.Duration)
		u.worker.SetFault(stand.FaultNone)
	case UpstreamReplace:
		d.setRunErr(d.replaceUpstream(u, d.drainUpstream))
	case UpstreamLeaving:
		d.setRunErr(d.replaceUpstream(u, func(u *upstream) { u.worker.SetLeaving() }))
	case UpstreamHold:
		u.worker.Hold(s.Duration)
		time.Sleep(s.Duration)
		u.worker.Hold(0)
	case UpstreamSilence:
		u.proxy.Set(HoldBoth)
		time.Sleep(s.Duration)
		u.proxy.Set(Pass)
	case UpstreamLimit:
		d.nameLimits(u, s.Duration, s.FaultIndex)
	case Evacuate:
		d.evacuate(s)
	case Publish:
		d.publish()
	}
}

// restoreOutage is how long the store is unavailable while it is restored.
const restoreOutage = 100 * time.Millisecond

// restoreStore restores the store from a copy of the given age. The operator then writes
// the newest configuration again.
func (d *deployment) restoreStore(age time.Duration) {
	restore := d.store.Save()
	time.Sleep(age)
	d.store.SetUnavailable(true)
	time.Sleep(restoreOutage)
	restore()
	d.store.SetUnavailable(false)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.putConfig()
}

func injectLinkFault(p *Proxy, s Step) {
	p.Set(s.Mode)
	time.Sleep(s.Duration)
	p.Set(Pass)
}

// recordFault records a fault that ends now.
func (d *deployment) recordFault(f faultPeriod) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f.to = time.Now()
	d.faults = append(d.faults, f)
}

func (d *deployment) setRunErr(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runErr == nil {
		d.runErr = err
	}
}

// close kills the hosts and stops the upstreams and the store.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.mu.Lock()
		if h.command != nil {
			h.signal(syscall.SIGKILL)
		}
		h.mu.Unlock()
	}
	for _, u := range d.upstreams {
		u.worker.Crash()
		u.proxy.Close()
	}
	if d.server != nil {
		d.server.Close()
	}
}
