// Package soak runs the real programs as processes on this machine, lets faults
// come over them from outside and checks what callers and upstreams see. Faults
// are signals to the hosts' processes, proxies between all parties that delay,
// reset, cut or silence connections, a store that is away or forgets, and upstreams
// that misbehave or leave; they come in series and overlap. Everything that is
// drawn depends on the seed alone; when things happen depends on the machine.
package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"teaselplank/platform/stand"
)

// Options say how a run goes.
type Options struct {
	// Binary is the program of the hosts.
	Binary string
	// Directory is where settings and logs of the hosts go.
	Directory string
	// Seed draws the faults and the load.
	Seed uint64
	// Length is for how long faults begin; the run takes about 10 s more.
	Length time.Duration
	Hosts  int
	// Clients send one request after the other.
	Clients int
}

// A Report is what came of a run.
type Report struct {
	Steps    int
	Requests int
	// Served are the requests that were answered whole.
	Served int
	// Findings are the broken promises.
	Findings []string
}

// A world is the parties of a run.
type world struct {
	options   Options
	store     *stand.Store
	storeAddr string
	server    *http.Server
	hosts     []*host
	callers   *callers

	mu        sync.Mutex
	upstreams []*upstream
	// spans are the times of faults, and published those of configurations.
	spans     []span
	published []time.Time
	// broken is what kept the run itself from going on.
	broken error
}

// An upstream is a worker behind a proxy.
type upstream struct {
	worker *stand.Worker
	proxy  *Proxy
	// left is when it told that it leaves, or zero.
	left time.Time
}

// A span is the time in which a fault may show.
type span struct {
	action   Action
	host     *host
	from, to time.Time
}

// Run plays one seed.
func Run(o Options) (Report, error) {
	w := &world{options: o, store: &stand.Store{}}
	defer w.close()
	if err := w.build(); err != nil {
		return Report{}, fmt.Errorf("build the deployment: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	go w.callers.balance(ctx)
	for i := range o.Clients {
		clients.Go(func() { w.callers.client(ctx, o.Seed<<8+uint64(i)) })
	}
	plan := NewPlan(o.Seed, o.Length)
	w.play(plan)
	w.mu.Lock()
	broken := w.broken
	w.mu.Unlock()
	time.Sleep(recoverTime)
	cancel()
	clients.Wait()
	if broken != nil {
		return Report{}, broken
	}
	findings := w.finalRound()
	for _, h := range w.hosts {
		h.stop()
	}
	findings = append(findings, w.check()...)
	return w.report(len(plan), findings), nil
}

// recoverTime is how long after the last fault everything has to be served again.
const recoverTime = 6 * time.Second

func (w *world) report(steps int, findings []string) Report {
	r := Report{Steps: steps, Requests: len(w.callers.records), Findings: findings}
	for _, one := range w.callers.records {
		if one.err == nil && one.status == http.StatusOK {
			r.Served++
		}
	}
	return r
}

// build starts the store, the upstreams and the hosts.
func (w *world) build() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	w.storeAddr = l.Addr().String()
	w.server = &http.Server{Handler: w.store}
	go func() { _ = w.server.Serve(l) }() // It ends when the world is closed.
	w.callers = &callers{}
	w.publish()
	for _, zone := range []string{"a", "b"} {
		for _, kind := range kinds {
			for i := range kind.count {
				if err := w.addUpstream(kind, fmt.Sprintf("%s-%s-%d", kind.service, zone, i), zone); err != nil {
					return err
				}
			}
		}
	}
	return w.startHosts()
}

func (w *world) startHosts() error {
	var seeds []string
	for i := range w.options.Hosts {
		h, err := newHost(w.options, i, w.storeAddr, seeds)
		if err != nil {
			return fmt.Errorf("make host %d: %w", i, err)
		}
		w.hosts = append(w.hosts, h)
		seeds = append(seeds, h.peers.Addr())
		h.mu.Lock()
		err = h.start()
		h.mu.Unlock()
		if err != nil {
			return err
		}
	}
	w.callers.hosts = w.hosts
	for _, h := range w.hosts {
		for end := time.Now().Add(startTime); !h.isReady(); time.Sleep(balanceEvery) {
			if time.Now().After(end) {
				return fmt.Errorf("%q is not ready after %s", h.name, startTime)
			}
		}
	}
	return nil
}

// startTime is how long hosts may take to be ready at first.
const startTime = 10 * time.Second

// kind is the make of the upstreams of a service.
type kind struct {
	service string
	kind    stand.Kind
	// count is how many there are in a zone.
	count int
	slots int
	pace  time.Duration
}

var kinds = []kind{
	{stand.ServiceDesk, stand.Plain, 2, 6, 20 * time.Millisecond},
	{stand.ServiceEngine, stand.Engine, 2, 32, 15 * time.Millisecond},
	{stand.ServiceEncode, stand.Stage, 2, 1, 20 * time.Millisecond},
	{stand.ServiceRank, stand.Stage, 2, 1, 20 * time.Millisecond},
}

// streamEvents is the number of events of a stream.
const streamEvents = 12

func (w *world) addUpstream(k kind, id, zone string) error {
	u := &upstream{worker: &stand.Worker{
		ID: id, Service: k.service, Zone: zone, Kind: k.kind, Slots: k.slots, Events: streamEvents, Delay: k.pace,
	}}
	u.worker.Advertise = func(addr string) (string, error) {
		var err error
		if u.proxy, err = NewProxy(addr); err != nil {
			return "", fmt.Errorf("proxy before upstream: %w", err)
		}
		return u.proxy.Addr(), nil
	}
	if err := u.worker.Start(w.store); err != nil {
		return fmt.Errorf("start upstream %q: %w", id, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstreams = append(w.upstreams, u)
	return nil
}

// publish writes a new version of the configuration, with a route of its own.
func (w *world) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callers.mu.Lock()
	defer w.callers.mu.Unlock()
	w.callers.version++
	w.published = append(w.published, time.Now())
	stand.PutConfig(w.store, int64(w.callers.version), versionPath(w.callers.version))
}

// play lets the steps of a plan happen, and returns when the last has ended.
func (w *world) play(plan []Step) {
	start := time.Now()
	var steps sync.WaitGroup
	for _, s := range plan {
		time.Sleep(time.Until(start.Add(s.At)))
		steps.Go(func() { w.perform(s) })
	}
	steps.Wait()
}

func (w *world) perform(s Step) {
	h := w.hosts[s.Target%len(w.hosts)]
	w.mu.Lock()
	u := w.upstreams[s.Target%len(w.upstreams)]
	w.mu.Unlock()
	defer w.note(s.Action, h, time.Now())
	switch s.Action {
	case Pause:
		h.pause(s.For)
	case Kill:
		w.fail(h.restart(syscall.SIGKILL, s.For))
	case Terminate:
		w.fail(h.restart(syscall.SIGTERM, 0))
	case Reload:
		h.reload()
	case StoreLink:
		disturb(h.store, s)
	case PeerLink:
		disturb(h.peers, s)
	case UpstreamLink:
		disturb(u.proxy, s)
	case StoreDown:
		w.store.SetUnavailable(true)
		time.Sleep(s.For)
		w.store.SetUnavailable(false)
	case StoreForget:
		w.store.CompactConfigs()
	case UpstreamFault:
		u.worker.SetFault(upstreamFaults[s.Draw%len(upstreamFaults)])
		time.Sleep(s.For)
		u.worker.SetFault(stand.FaultNone)
	case UpstreamLeaves:
		w.fail(w.replace(u))
	case Publish:
		w.publish()
	}
}

var upstreamFaults = []stand.Fault{stand.FaultRefuse, stand.FaultDropConnection, stand.FaultServerError, stand.FaultWrongID, stand.FaultTruncateStream, stand.FaultExtraResponse}

func disturb(p *Proxy, s Step) {
	p.Set(s.Mode)
	time.Sleep(s.For)
	p.Set(Pass)
}

// replace starts another upstream and lets the one before leave.
func (w *world) replace(u *upstream) error {
	w.mu.Lock()
	gone, number := !u.left.IsZero(), len(w.upstreams)
	if !gone {
		u.left = time.Now()
	}
	w.mu.Unlock()
	if gone {
		return nil
	}
	for _, k := range kinds {
		if k.service == u.worker.Service {
			if err := w.addUpstream(k, fmt.Sprint(k.service, "-", number), u.worker.Zone); err != nil {
				return err
			}
		}
	}
	u.worker.Drain()
	return nil
}

// note keeps the time of a fault that began at a time and has ended now.
func (w *world) note(a Action, h *host, from time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spans = append(w.spans, span{action: a, host: h, from: from, to: time.Now()})
}

func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken == nil {
		w.broken = err
	}
}

// close ends all that the run has started.
func (w *world) close() {
	for _, h := range w.hosts {
		h.mu.Lock()
		if h.command != nil {
			h.signal(syscall.SIGKILL)
		}
		h.mu.Unlock()
	}
	for _, u := range w.upstreams {
		u.worker.Crash()
		u.proxy.Close()
	}
	if w.server != nil {
		w.server.Close()
	}
}
