package soak

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"teaselplank/platform/stand"
)

// engineVersions are the versions of engines in the runs of the kind Releases. A release comes
// to one of the others.
var engineVersions = []string{"v1", "v2", "v3"}

// releaseSurroundings have streams that are long enough to break off midway, and engines that
// have room for all of them.
var releaseSurroundings = surroundings{
	deadline: 3 * time.Second, shutdownGrace: 6 * time.Second, streamEvents: 20, engineVersion: engineVersions[0],
	upstreamKinds: []upstreamKind{
		{stand.ServiceDesk, stand.Plain, 2, 6, 20 * time.Millisecond},
		{stand.ServiceEngine, stand.Engine, 2, 32, 60 * time.Millisecond},
		{stand.ServiceEncode, stand.Stage, 2, 1, 20 * time.Millisecond},
		{stand.ServiceRank, stand.Stage, 2, 1, 20 * time.Millisecond},
	},
}

// releaseSeries are releases and ends of all hosts, alone and close together.
var releaseSeries = seriesKind{[]Action{KillAll, KillAll, Release}, 3, minStepDuration, 1500 * time.Millisecond, 3 * time.Second}

// releaseFaults are the other faults beside releases.
var releaseFaults = seriesKind{
	[]Action{Kill, Kill, Terminate, Pause, StoreLink, StoreDown, StoreAppends, StoreRestore, PeerLink, UpstreamLink},
	2, minStepDuration, maxStepDuration, 4 * time.Second,
}

// appendFaults are the faults of appends from which a step selects one.
var appendFaults = []stand.AppendFault{
	{Refuse: true},
	{Delay: 700 * time.Millisecond},
	{LoseResponse: true},
	{Delay: 2 * time.Second, LoseResponse: true},
}

func (d *deployment) failAppends(s Step) {
	d.store.SetAppendFault(appendFaults[s.FaultIndex%len(appendFaults)])
	time.Sleep(s.Duration)
	d.store.SetAppendFault(stand.AppendFault{})
}

// killAll kills all hosts at once and restarts each after the delay. For each host, that counts
// as a fault of the kind Kill. It does nothing if a call is in progress.
func (d *deployment) killAll(delay time.Duration) {
	if !d.killing.TryLock() {
		return
	}
	defer d.killing.Unlock()
	d.mu.Lock()
	first := d.upstreams[0]
	d.mu.Unlock()
	var restarts sync.WaitGroup
	for _, h := range d.hosts {
		restarts.Go(func() {
			defer d.recordFault(faultPeriod{action: Kill, host: h, upstream: first, from: time.Now()})
			d.setRunErr(h.restart(syscall.SIGKILL, delay))
		})
	}
	restarts.Wait()
}

const (
	// maxEngines is the maximum number of engines that a release keeps in each zone. One of
	// replacingShare releases keeps only the newest one.
	maxEngines     = 3
	replacingShare = 4
	// drainTime is the time from an engine's announcement that it drains to its end. It is
	// longer than streams last.
	drainTime = 3 * time.Second
	// entryLifetime is the time after which the store drops the entry of a silent upstream.
	entryLifetime = 900 * time.Millisecond
)

// release starts an engine of another version in each zone and then lets the oldest ones leave,
// so that few remain. It does nothing if another release has not come to that yet.
func (d *deployment) release(s Step) error {
	if !d.releasing.TryLock() {
		return nil
	}
	err := d.addVersion(s)
	time.Sleep(s.Duration)
	d.releasing.Unlock()
	if err != nil {
		return err
	}
	keep := maxEngines
	if s.FaultIndex%replacingShare == 0 {
		keep = 1
	}
	d.retireEngines(keep)
	return nil
}

// addVersion starts an engine of another version in each zone.
func (d *deployment) addVersion(s Step) error {
	engines := d.engines()
	version := otherVersion(engines[len(engines)-1].worker.Version, s.FaultIndex)
	for _, k := range d.upstreamKinds {
		if k.workerKind != stand.Engine {
			continue
		}
		for _, zone := range zones {
			w := &stand.Worker{ID: d.nextID(k.service), Zone: zone, Version: version, CloseDelimited: s.Target%2 == 1}
			if err := d.addUpstream(k, w); err != nil {
				return fmt.Errorf("release version %q: %w", version, err)
			}
		}
	}
	return nil
}

// otherVersion returns a version of engines other than the given one.
func otherVersion(version string, choice int) string {
	others := slices.DeleteFunc(slices.Clone(engineVersions), func(v string) bool { return v == version })
	return others[choice%len(others)]
}

// engines returns the engines that are not leaving, oldest first.
func (d *deployment) engines() []*upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	var engines []*upstream
	for _, u := range d.upstreams {
		if u.worker.Kind == stand.Engine && !u.leaving {
			engines = append(engines, u)
		}
	}
	return engines
}

// retireEngines lets the oldest engines of each zone drain and then end, so that a number of them
// remain. It returns when they have ended.
func (d *deployment) retireEngines(keep int) {
	engines := d.engines()
	var ends sync.WaitGroup
	for _, zone := range zones {
		inZone := slices.DeleteFunc(slices.Clone(engines), func(u *upstream) bool { return u.worker.Zone != zone })
		for _, u := range inZone[:max(0, len(inZone)-keep)] {
			ends.Go(func() { d.retire(u) })
		}
	}
	ends.Wait()
}

// retire lets an upstream drain and then end. Its entry is removed; one that a restoration of
// the store has brought back is too.
func (d *deployment) retire(u *upstream) {
	d.mu.Lock()
	u.leaving = true
	d.mu.Unlock()
	d.drainUpstream(u)
	time.Sleep(drainTime)
	u.worker.Crash()
	d.mu.Lock()
	u.ended = true
	d.mu.Unlock()
	d.store.RemoveEntry(u.worker.ID)
}

// removeExpired removes the entries of upstreams that have ended, as the store does when their
// heartbeats stay away.
func (d *deployment) removeExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		if u.ended {
			d.store.RemoveEntry(u.worker.ID)
		}
	}
}
