package rules

import (
	"strings"

	"teaselplank/wire"
)

// A Checkpoint is the state of a Replica up to and including an offset. Checkpoints are
// published before the log drops older records, so that a reader can start without
// those records.
type Checkpoint struct {
	// Through is the offset of the last record included in the state.
	Through int64 `json:"through"`
	// Version is the version of the last accepted change.
	Version int64                    `json:"version"`
	Lines   map[string]VersionedRule `json:"lines"`
	Removed map[string]int64         `json:"removed,omitempty"`
	// Floor is the highest version whose removals are no longer retained.
	Floor    int64     `json:"floor,omitempty"`
	Verdicts []Verdict `json:"verdicts,omitempty"`
}

// foldCheckpoint records the time of a checkpoint. A replica that is not synced also
// adopts the state and then folds the records between the state and the checkpoint.
func (r *Replica) foldCheckpoint(rec wire.Record, c *Checkpoint) {
	r.lastCheckpoint = rec.Time
	if r.synced || c.Through+1 < r.pendingFrom || !r.adopt(c) {
		return
	}
	pending := r.pending
	r.pending = nil
	for _, p := range pending {
		if p.Offset > c.Through {
			r.fold(p)
		}
	}
}

// adopt replaces the state with that of a checkpoint. It refuses a state that is older
// than the one in force.
func (r *Replica) adopt(c *Checkpoint) bool {
	if c.Version < r.version {
		return false
	}
	lines := make(map[ID]versionedLine, len(c.Lines))
	for _, rule := range c.Lines {
		l, err := ParseLine(rule.Text)
		if err != nil {
			r.malformed++
			return false
		}
		lines[l.ID] = versionedLine{l, rule.Version}
	}
	set, err := Compile(sortedLines(lines))
	if err != nil {
		r.malformed++
		return false
	}
	r.lines, r.set, r.version = lines, set, c.Version
	r.initialized, r.synced = true, true
	r.removalFloor = c.Floor
	r.removed = make(map[ID]int64)
	for key, version := range c.Removed {
		r.removed[parseID(key)] = version
	}
	for _, v := range c.Verdicts {
		r.verdicts.Limit = maxVerdicts
		r.verdicts.Put(v.ID, v)
	}
	r.storeVersion()
	return true
}

// Adopt adopts a peer's state if it is newer than the replica's own, and reports whether
// it did.
func (r *Replica) Adopt(c *Checkpoint) bool {
	if r.synced && c.Through < r.next {
		return false
	}
	if !r.adopt(c) {
		return false
	}
	r.started = true
	r.pending = nil
	r.next = c.Through + 1
	return true
}

func parseID(text string) ID {
	kind, name, _ := strings.Cut(text, " ")
	return ID{Kind(kind), name}
}

// Snapshot returns the state as a checkpoint, or nil while the replica is not synced.
func (r *Replica) Snapshot() *Checkpoint {
	if !r.synced {
		return nil
	}
	c := &Checkpoint{Through: r.next - 1, Version: r.version, Floor: r.removalFloor, Lines: r.rulesByID(), Removed: make(map[string]int64)}
	for id, v := range r.removed {
		c.Removed[id.String()] = v
	}
	for _, id := range r.verdicts.Keys() {
		v, _ := r.verdicts.Get(id)
		c.Verdicts = append(c.Verdicts, v)
	}
	return c
}
