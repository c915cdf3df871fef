package rules

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"teaselplank/queue"
	"teaselplank/wire"
)

// Stream is the name of the platform's log stream that carries the rules.
const Stream = "rules"

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
	b.next = page.Each(b.next, b.fold)
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
