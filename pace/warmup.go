package pace

import (
	"time"

	"teaselplank/fleet"
	"teaselplank/limit"
	"teaselplank/wire"
)

// entryLag is how much older than the read before an entry may be that was not in that read:
// a node may read the store through another one.
const entryLag = 500 * time.Millisecond

// Warmups tracks which upstreams are cold, from their entries in the store and from events that
// their entries may not show yet. The zero value has no upstream.
//
// An entry that was written before the end of an evacuation does not reflect that end: until an
// entry written later says otherwise, the upstream counts as cold.
type Warmups struct {
	processes map[string]*process
	// lastRead is when entries were last read, or zero.
	lastRead time.Time
	// writtenAfter is the time after which the entries that are being read were written, or
	// zero if it is not known.
	writtenAfter time.Time
}

// A process is what is known of the newest process of an upstream.
type process struct {
	// entry is the newest entry that was read.
	entry fleet.Upstream
	// seenAt is when the process was first seen. Until stated is true, no entry has said how
	// long it stays cold. After that, it is cold until coldUntil.
	seenAt    time.Time
	stated    bool
	coldUntil time.Time
	// doubtedAt is the time since which the process may be cold although no entry says so, or
	// zero. It then counts as cold until doubtedUntil, or for the warm-up of its
	// service if that is zero.
	doubtedAt    time.Time
	doubtedUntil time.Time
}

// Read starts a read of entries. They are the newest of all upstreams, of any age, or those
// that were written since the read before.
func (w *Warmups) Read(now time.Time, newest bool) {
	w.writtenAfter = time.Time{}
	if !newest && !w.lastRead.IsZero() {
		w.writtenAfter = w.lastRead.Add(-entryLag)
	}
	w.lastRead = now
}

// Entry records an entry of a read. It reports whether that may change how long the upstream
// stays cold by more than the passage of time.
func (w *Warmups) Entry(now time.Time, u fleet.Upstream) bool {
	if w.processes == nil {
		w.processes = make(map[string]*process)
	}
	p := w.processes[u.ID]
	isNew := p == nil || u.Replaces(p.entry)
	switch {
	case isNew:
		p = &process{seenAt: now}
		w.processes[u.ID] = p
	case u.Born != p.entry.Born || u.Seq <= p.entry.Seq:
		return false // It was read before, and its age counts.
	}
	p.entry = u
	if u.WarmupUnstated {
		return isNew
	}
	wasCold := now.Before(p.coldUntil) || !p.stated || !p.doubtedAt.IsZero()
	p.stated, p.coldUntil = true, now.Add(u.Warmup)
	if !p.doubtedAt.IsZero() && !w.writtenAfter.Before(p.doubtedAt) {
		p.doubtedAt, p.doubtedUntil = time.Time{}, time.Time{}
	}
	return isNew || wasCold || u.Warmup > 0
}

// Doubt records that the upstreams of a zone may have become cold, as the zone was evacuated.
func (w *Warmups) Doubt(now time.Time, zone string) {
	for _, p := range w.processes {
		if p.entry.Zone == zone {
			p.doubtedAt, p.doubtedUntil = now, time.Time{}
		}
	}
}

// A Cold is a process that stays cold for some time after another node has said so.
type Cold struct {
	Process limit.Process
	LeftMS  int64
}

// Merge records which processes another node counts as cold. What that node knows of entries
// may be newer, or older, than what this one knows, so a process counts as cold if either
// does.
func (w *Warmups) Merge(now time.Time, cold []Cold) {
	for _, c := range cold {
		p := w.processes[c.Process.ID]
		left := max(wire.Milliseconds(c.LeftMS), 0)
		if until := now.Add(left); p != nil && p.entry.Born == c.Process.Born && until.After(p.doubtedUntil) {
			p.doubtedAt, p.doubtedUntil = now, until
		}
	}
}

// Aged returns an upstream whose Warmup is reduced by the age of its entry, for nodes that do not
// know when the entry was read.
func (w *Warmups) Aged(now time.Time, u fleet.Upstream) fleet.Upstream {
	if p := w.processes[u.ID]; p != nil && p.entry.Born == u.Born && p.stated {
		u.Warmup = max(p.coldUntil.Sub(now), 0)
	}
	return u
}

// Left returns how much longer an upstream counts as cold, given its service, or 0.
func (w *Warmups) Left(now time.Time, u fleet.Upstream, s *fleet.Service) time.Duration {
	if !s.WarmsUp() {
		return 0
	}
	p := w.processes[u.ID]
	if p == nil || p.entry.Born != u.Born {
		return s.Warmup // A new process whose entry was not read yet.
	}
	until := p.coldUntil
	if !p.stated {
		until = p.seenAt.Add(s.Warmup)
	}
	if !p.doubtedAt.IsZero() {
		doubted := p.doubtedUntil
		if doubted.IsZero() {
			doubted = p.doubtedAt.Add(s.Warmup)
		}
		until = later(until, doubted)
	}
	return max(until.Sub(now), 0)
}

// Forget drops the upstreams that are not registered.
func (w *Warmups) Forget(registered func(id string) bool) {
	for id := range w.processes {
		if !registered(id) {
			delete(w.processes, id)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
