package rules

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"teaselplank/queue"
	"teaselplank/wire"
)

// Stream is the name of the platform's log stream that carries the rules.
const Stream = "rules"

// An Edit changes, adds or removes one rule.
type Edit struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Base is the version of the rule that the operator edited; 0 means
	// that the rule did not exist.
	Base int64 `json:"base"`
	// Text is the rule's new line; empty removes it.
	Text string `json:"text,omitempty"`
}

// A Change is a published set of edits that are accepted or refused together.
type Change struct {
	// ID is chosen by the publisher and makes repeated appends idempotent.
	ID  string `json:"id"`
	Who string `json:"who"`
	// Base is the version of the whole book that the operator read.
	Base  int64  `json:"base"`
	Edits []Edit `json:"edits"`
}

// A Verdict says what became of a change.
type Verdict struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	// Version is the place of the change in the log: its offset and 1.
	Version int64 `json:"version"`
	// Reason names why the change was refused.
	Reason string `json:"reason,omitempty"`
	// Conflicts are the rules that had been changed since, as they stand.
	Conflicts []Held `json:"conflicts,omitempty"`
}

// A Held is a rule in force together with its version, that of the last accepted
// change that touched it.
type Held struct {
	Text    string `json:"text"`
	Version int64  `json:"version"`
}

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

// record is one record of the stream: exactly one field is set.
type record struct {
	Change     *Change     `json:"change,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// EncodeChange returns the log record of a change.
func EncodeChange(c *Change) ([]byte, error) { return encode(record{Change: c}) }

// EncodeCheckpoint returns the log record of a checkpoint.
func EncodeCheckpoint(c *Checkpoint) ([]byte, error) { return encode(record{Checkpoint: c}) }

func encode(r record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record of stream %q: %w", Stream, err)
	}
	return data, nil
}

// keptVerdicts, keptSnapshots and keptRemovals bound the verdicts, the past
// states and the removed rules that a book remembers.
const (
	keptVerdicts  = 512
	keptSnapshots = 64
	keptRemovals  = 4096
)

// A Book folds the records of the rules stream. Every book that has folded the
// same records is in the same state, whichever records it started from. The
// zero value has folded nothing.
type Book struct {
	// next is the offset of the first record that is not folded yet. It
	// never goes back.
	next int64
	// version is that of the last accepted change; it never goes back. 0 is
	// before the first.
	version int64
	// known is false until the book has once had a state of the stream: it
	// started at the first offset, at a checkpoint or with a peer's state.
	known bool
	// synced is true while the state includes every record before next.
	synced bool
	// started is true once a page was folded or a peer's state adopted.
	started bool
	// pending are the records from offset pendingFrom on, without gaps, that
	// wait for a checkpoint while synced is false.
	pending     []wire.Record
	pendingFrom int64
	lines       map[ID]held
	// removed has the version at which each rule was removed, for removals
	// after version floor.
	removed  map[ID]int64
	floor    int64
	verdicts queue.Recent[string, Verdict]
	set      *Set
	// past holds recent states by version, for operators that edited them.
	past queue.Recent[int64, map[string]Held]
	// checkpointed is the log's time of the newest checkpoint folded.
	checkpointed time.Time
	// malformed counts records that could not be decoded.
	malformed int
}

type held struct {
	line    *Line
	version int64
}

// Known reports whether the book has a state of the stream.
func (b *Book) Known() bool { return b.known }

// Version returns the version in force.
func (b *Book) Version() int64 { return b.version }

// Next returns the offset at which reading has to go on.
func (b *Book) Next() int64 { return b.next }

// Malformed returns the number of records that could not be decoded.
func (b *Book) Malformed() int { return b.malformed }

// Checkpointed returns the log's time of the newest checkpoint that the book
// has seen in the stream.
func (b *Book) Checkpointed() time.Time { return b.checkpointed }

// Set returns the rules in force; it is empty before any are known.
func (b *Book) Set() *Set {
	if b.set == nil {
		b.set, _ = Compile(nil)
	}
	return b.set
}

// Verdict returns what became of a change.
func (b *Book) Verdict(id string) (Verdict, bool) { return b.verdicts.Get(id) }

// Fold takes in a page of the stream. Records that the book has folded already
// are passed over, and no record is folded before its predecessor, so that an old
// or repeated page changes nothing.
func (b *Book) Fold(page wire.Page) {
	if !b.started {
		b.start(page.First)
	} else if page.First > b.next {
		// The log dropped records that this book has not read: only a
		// checkpoint can bring it up to date.
		b.lose(page.First)
	}
	for _, r := range page.Records {
		if r.Offset < b.next {
			continue
		}
		if r.Offset > b.next {
			return // The page was read from a later offset.
		}
		b.fold(r)
		b.next = r.Offset + 1
	}
}

// start begins with the first page that is read.
func (b *Book) start(first int64) {
	b.started = true
	if first == 0 {
		b.known, b.synced = true, true
		return
	}
	b.lose(first)
}

// lose notes that the records before first cannot be read any more.
func (b *Book) lose(first int64) {
	b.synced = false
	b.pending, b.pendingFrom = nil, first
	b.next = first
}

func (b *Book) fold(r wire.Record) {
	var decoded record
	if err := json.Unmarshal(r.Data, &decoded); err != nil {
		b.malformed++
		return
	}
	switch {
	case decoded.Checkpoint != nil:
		b.foldCheckpoint(r, decoded.Checkpoint)
	case !b.synced:
		b.pending = append(b.pending, r)
	case decoded.Change != nil:
		b.foldChange(r.Offset+1, decoded.Change)
	}
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

// foldChange accepts a change when every rule that it touches still has the
// version it was edited from and the resulting set is consistent.
func (b *Book) foldChange(version int64, c *Change) {
	if _, seen := b.verdicts.Get(c.ID); seen {
		return
	}
	v := Verdict{ID: c.ID, Version: version}
	lines, set, err := b.apply(version, c, &v)
	if err != nil {
		v.Reason = err.Error()
	} else {
		v.Accepted = true
		b.accept(version, c, lines, set)
	}
	b.verdicts.Limit = keptVerdicts
	b.verdicts.Put(c.ID, v)
}

func (b *Book) accept(version int64, c *Change, lines map[ID]held, set *Set) {
	b.lines, b.set, b.version = lines, set, version
	if b.removed == nil {
		b.removed = make(map[ID]int64)
	}
	for _, e := range c.Edits {
		if e.Text == "" {
			b.removed[ID{e.Kind, e.Name}] = version
		} else {
			delete(b.removed, ID{e.Kind, e.Name})
		}
	}
	b.forgetRemovals()
	b.remember()
}

// forgetRemovals keeps the removals bounded by raising the floor.
func (b *Book) forgetRemovals() {
	if len(b.removed) <= keptRemovals {
		return
	}
	versions := make([]int64, 0, len(b.removed))
	for _, v := range b.removed {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	b.floor = versions[len(versions)/2]
	for id, v := range b.removed {
		if v <= b.floor {
			delete(b.removed, id)
		}
	}
}

func (b *Book) apply(version int64, c *Change, v *Verdict) (map[ID]held, *Set, error) {
	if len(c.Edits) == 0 {
		return nil, nil, fmt.Errorf("change %q has no edits", c.ID)
	}
	for _, e := range c.Edits {
		id := ID{e.Kind, e.Name}
		if b.versionOf(id) != e.Base || b.removedSince(id, c.Base) {
			v.Conflicts = append(v.Conflicts, Held{b.textOf(id), b.versionOf(id)})
		}
	}
	if len(v.Conflicts) > 0 {
		return nil, nil, fmt.Errorf("%d rules have changed since they were read", len(v.Conflicts))
	}
	lines := make(map[ID]held, len(b.lines)+len(c.Edits))
	for id, h := range b.lines {
		lines[id] = h
	}
	for _, e := range c.Edits {
		if err := applyEdit(lines, version, e); err != nil {
			return nil, nil, err
		}
	}
	set, err := Compile(sortedLines(lines))
	if err != nil {
		return nil, nil, fmt.Errorf("rules after the change: %w", err)
	}
	return lines, set, nil
}

func applyEdit(lines map[ID]held, version int64, e Edit) error {
	id := ID{e.Kind, e.Name}
	if e.Text == "" {
		if _, ok := lines[id]; !ok {
			return fmt.Errorf("rule %q does not exist", id)
		}
		delete(lines, id)
		return nil
	}
	l, err := ParseLine(e.Text)
	if err != nil {
		return fmt.Errorf("rule %q: %w", id, err)
	}
	if l.ID != id {
		return fmt.Errorf("edit of rule %q has the text of rule %q", id, l.ID)
	}
	lines[id] = held{l, version}
	return nil
}

// removedSince reports whether the rule is absent and may have been removed
// after the given version of the book. Without it, a late repeat of the change
// that added a rule would bring the rule back after its removal.
func (b *Book) removedSince(id ID, version int64) bool {
	if _, exists := b.lines[id]; exists {
		return false
	}
	return version < b.floor || b.removed[id] > version
}

// versionOf returns the version of a rule: of its last change or, for a rule
// that does not exist, 0.
func (b *Book) versionOf(id ID) int64 { return b.lines[id].version }

func (b *Book) textOf(id ID) string {
	if h, ok := b.lines[id]; ok {
		return h.line.Text
	}
	return fmt.Sprintf("# rule %q was removed at version %d", id, b.removed[id])
}

func (b *Book) remember() {
	b.past.Limit = keptSnapshots
	b.past.Put(b.version, b.texts())
}

func (b *Book) texts() map[string]Held {
	texts := make(map[string]Held, len(b.lines))
	for id, h := range b.lines {
		texts[id.String()] = Held{h.line.Text, h.version}
	}
	return texts
}

// At returns the rules of a recent version by kind and name.
func (b *Book) At(version int64) (map[string]Held, bool) { return b.past.Get(version) }

// Synced reports whether the state includes every record before Next.
func (b *Book) Synced() bool { return b.synced }

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

func sortedLines(lines map[ID]held) []*Line {
	sorted := make([]*Line, 0, len(lines))
	for _, h := range lines {
		sorted = append(sorted, h.line)
	}
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].ID.Kind != sorted[j].ID.Kind {
			return sorted[i].ID.Kind < sorted[j].ID.Kind
		}
		return sorted[i].ID.Name < sorted[j].ID.Name
	})
	return sorted
}
