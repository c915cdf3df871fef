package rules

import (
	"strings"

	"teaselplank/wire"
)

// A Checkpoint is the state of the book through an offset. Published before
// the log drops older records, it lets a reader start without them.
type Checkpoint struct {
	// Through is the offset of the last record that the state includes.
	Through int64 `json:"through"`
	// Version is that of the last accepted change.
	Version int64            `json:"version"`
	Lines   map[string]Held  `json:"lines"`
	Removed map[string]int64 `json:"removed,omitempty"`
	// Floor is the greatest version whose removals are forgotten.
	Floor    int64     `json:"floor,omitempty"`
	Verdicts []Verdict `json:"verdicts,omitempty"`
}

// foldCheckpoint notes a checkpoint of a book that is up to date; another book
// takes its state, then folds the records between the state and the checkpoint.
func (b *Book) foldCheckpoint(r wire.Record, c *Checkpoint) {
	b.checkpointed = r.Time
	if b.synced || c.Through+1 < b.pendingFrom || !b.adopt(c) {
		return
	}
	pending := b.pending
	b.pending = nil
	for _, p := range pending {
		if p.Offset > c.Through {
			b.fold(p)
		}
	}
}

// adopt replaces the state by a checkpoint's. A state that is older than the
// one in force is refused.
func (b *Book) adopt(c *Checkpoint) bool {
	if c.Version < b.version {
		return false
	}
	lines := make(map[ID]held, len(c.Lines))
	for _, h := range c.Lines {
		l, err := ParseLine(h.Text)
		if err != nil {
			b.malformed++
			return false
		}
		lines[l.ID] = held{l, h.Version}
	}
	set, err := Compile(sortedLines(lines))
	if err != nil {
		b.malformed++
		return false
	}
	b.lines, b.set, b.version = lines, set, c.Version
	b.known, b.synced = true, true
	b.floor = c.Floor
	b.removed = make(map[ID]int64)
	for key, version := range c.Removed {
		b.removed[parseID(key)] = version
	}
	for _, v := range c.Verdicts {
		b.verdicts.Limit = keptVerdicts
		b.verdicts.Put(v.ID, v)
	}
	b.remember()
	return true
}

// Adopt takes a peer's state when it is newer than the book's own. It reports
// whether it did.
func (b *Book) Adopt(c *Checkpoint) bool {
	if b.synced && c.Through < b.next {
		return false
	}
	if !b.adopt(c) {
		return false
	}
	b.started = true
	b.pending = nil
	b.next = c.Through + 1
	return true
}

func parseID(text string) ID {
	kind, name, _ := strings.Cut(text, " ")
	return ID{Kind(kind), name}
}

// Snapshot returns the state of the book as a checkpoint, or nil while the book
// is not synced.
func (b *Book) Snapshot() *Checkpoint {
	if !b.synced {
		return nil
	}
	c := &Checkpoint{Through: b.next - 1, Version: b.version, Floor: b.floor, Lines: b.texts(), Removed: make(map[string]int64)}
	for id, v := range b.removed {
		c.Removed[id.String()] = v
	}
	for _, id := range b.verdicts.Keys() {
		v, _ := b.verdicts.Get(id)
		c.Verdicts = append(c.Verdicts, v)
	}
	return c
}
