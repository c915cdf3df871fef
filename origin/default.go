package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"teaselplank/fleet"
)

// A Default says at which version of a service the streams began that have no record. It
// outlives all hosts, in the store, so that a host of any age can tell the version of a stream
// that nobody recorded. The zero value says nothing.
type Default struct {
	Service string
	Version string
	// Changing is true once no upstream has the default, until the one that takes its place
	// has served for long enough. All streams need records, and a stream without one may have
	// begun at any version.
	Changing bool
	// Number counts the statements about the service.
	Number int64
	// Epoch is that of the store in which the statement was written. A statement of an
	// earlier epoch may be older than one that was lost in a restoration.
	Epoch int64
}

const (
	// MaxViewAge is the age of a host's view of the upstreams up to which it begins streams
	// at the default version without records.
	MaxViewAge = 10 * time.Second
	// changeAfter is how long no upstream must have the default version until another one
	// takes its place.
	changeAfter = 2 * time.Second
	// outdatedLife is how long after a change streams may go on that hosts have begun without
	// records because their views are older than the change.
	outdatedLife = Window + MaxViewAge + 2*time.Second
	// MaxCopyAge is the age of the oldest copy that the store may be restored from.
	MaxCopyAge = 20 * time.Second
	// restoreGrace is how long after a restoration upstreams and hosts take to write again what
	// the store has lost.
	restoreGrace = 3 * time.Second
	// urgentReadInterval is the time between two reads of statements while a host has no valid
	// one, and readInterval that while a service has several versions or its default changes.
	urgentReadInterval = time.Second
	readInterval       = 6 * time.Second
)

// Defaults are the default versions that a host knows. The zero value knows none.
//
// The statements are changed one at a time, each by a host that has read all earlier ones. A
// new default counts only after it was changing for longer than streams live that hosts have
// begun at the one before, and a host begins streams without records only at a default that it
// has read since the version was last missing. So a stream without a record began at the
// default, whenever the statement is read.
type Defaults struct {
	// epoch is the newest epoch of the store that was seen, and epochSeen when.
	epoch      int64
	epochSeen  time.Time
	statements map[string]*statement
	// readAt is when the statements were last read, or zero; attempted is when a read was
	// last begun.
	readAt    time.Time
	attempted time.Time
	// counts has the number of upstreams by service and version.
	counts map[string]map[string]int
	// only has the services of which the host sees one version.
	only map[string]onlyVersion
}

// An onlyVersion is the only version of a service that a host has seen since a time, without a
// gap of MaxViewAge.
type onlyVersion struct {
	version string
	since   time.Time
}

// A statement is a Default as a host knows it.
type statement struct {
	Default
	// read is when the statement was last read.
	read time.Time
	// seen is true if the version had an upstream in each view since the statement was read.
	seen bool
	// missing is since when the version has had no upstream while others had some, and present
	// since when it has had one in each view. One of them is zero at least.
	missing time.Time
	present time.Time
	// learned is when the host learned the statement.
	learned time.Time
}

// ObserveEpoch takes note of an epoch of the store.
func (d *Defaults) ObserveEpoch(now time.Time, epoch int64) {
	if !d.epochSeen.IsZero() && epoch <= d.epoch {
		return
	}
	d.epoch, d.epochSeen = epoch, now
	d.readAt = time.Time{}
}

// Observe takes note of all registered upstreams, also those that are draining.
func (d *Defaults) Observe(now time.Time, upstreams []fleet.Upstream) {
	d.counts = make(map[string]map[string]int)
	for _, u := range upstreams {
		if d.counts[u.Service] == nil {
			d.counts[u.Service] = make(map[string]int)
		}
		d.counts[u.Service][u.Version]++
	}
	for _, s := range d.statements {
		d.look(now, s)
	}
	d.only = d.onlyVersions(now)
}

func (d *Defaults) onlyVersions(now time.Time) map[string]onlyVersion {
	only := make(map[string]onlyVersion)
	for service, versions := range d.counts {
		if len(versions) > 1 {
			continue
		}
		known, ok := d.only[service]
		if !ok || versions[known.version] == 0 {
			known = onlyVersion{d.MostCommon(service), now}
		}
		only[service] = known
	}
	return only
}

// look compares a statement with the registered upstreams.
func (d *Defaults) look(now time.Time, s *statement) {
	versions := d.counts[s.Service]
	switch {
	case versions[s.Version] > 0:
		s.missing = time.Time{}
		if s.present.IsZero() {
			s.present = now
		}
		return
	case len(versions) > 0 && s.missing.IsZero():
		s.missing = now
	}
	s.seen, s.present = false, time.Time{}
}

// Read takes note of all statements as they were read from the store, or written to it, in an
// epoch.
func (d *Defaults) Read(now time.Time, epoch int64, list []Default) {
	d.ObserveEpoch(now, epoch)
	if epoch != d.epoch {
		return
	}
	d.readAt = now
	statements := make(map[string]*statement)
	for _, read := range list {
		known := d.statements[read.Service]
		if known != nil && read.Epoch < d.epoch && known.Number > read.Number {
			continue // The copy is older than what the host knows.
		}
		statements[read.Service] = d.take(now, known, read)
	}
	for service, known := range d.statements {
		if statements[service] == nil && known.Epoch < d.epoch {
			statements[service] = known
		}
	}
	d.statements = statements
}

// Learn takes note of defaults that are confirmed at another host, for the services of which
// this host knows no such one or an earlier one in the epoch. Streams begin without records only
// once the host has read them itself.
func (d *Defaults) Learn(now time.Time, epoch int64, list []Default) {
	d.ObserveEpoch(now, epoch)
	if epoch != d.epoch {
		return
	}
	if d.statements == nil {
		d.statements = make(map[string]*statement)
	}
	for _, learned := range list {
		if known := d.statements[learned.Service]; !d.confirmed(known) || learned.Number > known.Number {
			d.statements[learned.Service] = d.take(now, known, learned)
			d.statements[learned.Service].seen = false
		}
	}
}

// take returns the statement for one that was read, given what was known before, if anything.
func (d *Defaults) take(now time.Time, known *statement, read Default) *statement {
	s := &statement{Default: read, read: now, learned: now, seen: true}
	if known != nil && known.Version == read.Version {
		s.missing, s.present = known.missing, known.present
	}
	if known != nil && known.Default == read {
		s.learned = known.learned
	}
	d.look(now, s)
	return s
}

// Forget makes the host read the statements again before it begins streams without records, as
// its view of the upstreams was too old to notice that a version was missing.
func (d *Defaults) Forget() {
	d.only = nil
	for _, s := range d.statements {
		s.seen, s.present = false, time.Time{}
	}
}

// confirmed reports whether a statement holds in the present epoch of the store.
func (d *Defaults) confirmed(s *statement) bool { return s != nil && s.Epoch == d.epoch }

// Unrecorded reports whether a stream may begin at a version of a service without a record.
func (d *Defaults) Unrecorded(service, version string) bool {
	s := d.statements[service]
	return d.confirmed(s) && s.seen && s.Version == version && !s.Changing
}

// Of returns the default of a service and whether it is confirmed in the present epoch of the
// store.
func (d *Defaults) Of(service string) (known Default, confirmed bool) {
	s := d.statements[service]
	if s == nil {
		return Default{}, false
	}
	return s.Default, d.confirmed(s)
}

// Confirmed returns the defaults that hold in the present epoch of the store, by service.
func (d *Defaults) Confirmed() []Default {
	var list []Default
	for _, service := range slices.Sorted(maps.Keys(d.statements)) {
		if s := d.statements[service]; d.confirmed(s) {
			list = append(list, s.Default)
		}
	}
	return list
}

// NeedsRead reports whether the statements should be read now, for the given services. It
// assumes that they then are.
func (d *Defaults) NeedsRead(now time.Time, services []string) bool {
	interval := time.Duration(0)
	for _, service := range services {
		interval = shorter(interval, d.intervalFor(service))
	}
	if interval == 0 || !d.attempted.IsZero() && now.Sub(d.attempted) < interval {
		return false
	}
	d.attempted = now
	return true
}

// intervalFor returns the time between reads that a service needs, or 0 if it needs none.
func (d *Defaults) intervalFor(service string) time.Duration {
	s, versions := d.statements[service], d.counts[service]
	switch {
	case len(versions) == 0:
		return 0
	case d.readAt.IsZero() || !d.confirmed(s) || !s.seen:
		return urgentReadInterval
	case s.Changing || len(versions) > 1:
		return readInterval
	}
	return 0
}

// shorter returns the shorter of two intervals, of which 0 means none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}

// Proposals returns the statements that should be written now, for the given services.
func (d *Defaults) Proposals(now time.Time, services []string) []Default {
	if d.readAt.IsZero() {
		return nil
	}
	var list []Default
	for _, service := range services {
		if next, ok := d.next(now, service); ok {
			known, _ := d.Of(service)
			next.Service, next.Number, next.Epoch = service, known.Number+1, d.epoch
			list = append(list, next)
		}
	}
	return list
}

// next returns the statement that should follow the known one of a service.
func (d *Defaults) next(now time.Time, service string) (Default, bool) {
	s, versions := d.statements[service], d.counts[service]
	if len(versions) == 0 {
		return Default{}, false
	}
	switch {
	case s == nil:
		return Default{Version: d.MostCommon(service)}, d.restorationOver(now, service, nil)
	case !d.confirmed(s):
		return Default{Version: s.Version, Changing: s.Changing}, d.restorationOver(now, service, s)
	case versions[s.Version] > 0:
		settled := now.Sub(s.present) >= outdatedLife && now.Sub(s.learned) >= outdatedLife
		return Default{Version: s.Version}, s.Changing && !s.present.IsZero() && settled
	}
	return Default{Version: d.MostCommon(service), Changing: true}, now.Sub(s.missing) >= changeAfter
}

// restorationOver reports whether a restoration of the store can no longer hide the record of a
// stream that may still be resumed, or a later statement than the known one about its service.
//
// A default that was not changing within MaxCopyAge has not been replaced. If no upstream has
// another version, no records are missed.
func (d *Defaults) restorationOver(now time.Time, service string, known *statement) bool {
	since := now.Sub(d.epochSeen)
	if d.epoch == 0 || since >= outdatedLife {
		return true
	}
	if known == nil || known.Changing || now.Sub(known.read) >= outdatedLife-MaxCopyAge {
		return false
	}
	only := d.only[service]
	return since >= restoreGrace && only.version == known.Version && now.Sub(only.since) >= restoreGrace
}

// MostCommon returns the version of a service that has the most upstreams in the host's view,
// or an empty string if it has none.
func (d *Defaults) MostCommon(service string) string {
	versions := d.counts[service]
	if len(versions) == 0 {
		return ""
	}
	sorted := slices.Sorted(maps.Keys(versions))
	return slices.MaxFunc(sorted, func(a, b string) int { return cmp.Compare(versions[a], versions[b]) })
}
