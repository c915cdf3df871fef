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

// A record is one record of the stream. Exactly one field is set.
type record struct {
	Change     *Change     `json:"change,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// EncodeChange returns the log record of a change.
func EncodeChange(c *Change) ([]byte, error) { return encode(record{Change: c}) }

// EncodeCheckpoint returns the log record of a checkpoint.
func EncodeCheckpoint(c *Checkpoint) ([]byte, error) { return encode(record{Checkpoint: c}) }

func encode(rec record) ([]byte, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return nil, fmt.Errorf("encode record of stream %q: %w", Stream, err)
	}
	return data, nil
}

// Limits on the verdicts, recent versions and removals that a Replica retains.
const (
	maxVerdicts       = 512
	maxRecentVersions = 64
	maxRemovals       = 4096
)

// A Replica folds the records of the rules stream. Replicas that have folded the same
// records have the same state, whichever record each started from. The zero value has
// folded nothing.
type Replica struct {
	// next is the offset of the next record to fold. It never decreases.
	next int64
	// version is the version of the last accepted change, or 0 before the first
	// one. It never decreases.
	version int64
	// initialized is set once the replica has a state of the stream: it has started
	// at the first offset, at a checkpoint or with a peer's state.
	initialized bool
	// synced is true while the state includes every record before next.
	synced bool
	// started is set once a page is folded or a peer's state is adopted.
	started bool
	// pending holds the records from offset pendingFrom on, without gaps. They are
	// folded after a checkpoint is adopted; until then synced is false.
	pending     []wire.Record
	pendingFrom int64
	lines       map[ID]versionedLine
	// removed holds the version at which each rule was removed, for removals
	// after version removalFloor.
	removed      map[ID]int64
	removalFloor int64
	verdicts     queue.FIFOMap[string, Verdict]
	set          *Set
	// recentVersions holds the rules of recent versions, from which operators may have
	// edited their files.
	recentVersions queue.FIFOMap[int64, map[string]VersionedRule]
	// lastCheckpoint is the log time of the newest checkpoint folded.
	lastCheckpoint time.Time
	// malformed counts records that could not be decoded.
	malformed int
}

// A versionedLine is a rule and the version of the last accepted change to it.
type versionedLine struct {
	line    *Line
	version int64
}

// Initialized reports whether the replica has a state of the stream.
func (r *Replica) Initialized() bool { return r.initialized }

// Version returns the version in force.
func (r *Replica) Version() int64 { return r.version }

// Next returns the offset of the next record to read.
func (r *Replica) Next() int64 { return r.next }

// Malformed returns the number of records that could not be decoded.
func (r *Replica) Malformed() int { return r.malformed }

// LastCheckpoint returns the log time of the newest checkpoint read from the stream.
func (r *Replica) LastCheckpoint() time.Time { return r.lastCheckpoint }

// Set returns the rules in force. The set is empty before any rules are known.
func (r *Replica) Set() *Set {
	if r.set == nil {
		r.set, _ = Compile(nil)
	}
	return r.set
}

// Fold folds a page of the stream. It skips records that are already folded and folds
// no record before its predecessor, so an old or duplicate page has no effect.
func (r *Replica) Fold(page wire.Page) {
	if !r.started {
		r.startAt(page.First)
	} else if page.First > r.next {
		// The log has dropped records that the replica has not read. It needs a
		// checkpoint to catch up.
		r.markGap(page.First)
	}
	r.next = page.Each(r.next, r.fold)
}

// startAt handles the first page that is read; first is the oldest offset that the log
// retains.
func (r *Replica) startAt(first int64) {
	r.started = true
	if first == 0 {
		r.initialized, r.synced = true, true
		return
	}
	r.markGap(first)
}

// markGap notes that the records before first can no longer be read.
func (r *Replica) markGap(first int64) {
	r.synced = false
	r.pending, r.pendingFrom = nil, first
	r.next = first
}

func (r *Replica) fold(rec wire.Record) {
	var decoded record
	if err := json.Unmarshal(rec.Data, &decoded); err != nil {
		r.malformed++
		return
	}
	switch {
	case decoded.Checkpoint != nil:
		r.foldCheckpoint(rec, decoded.Checkpoint)
	case !r.synced:
		r.pending = append(r.pending, rec)
	case decoded.Change != nil:
		r.foldChange(rec.Offset+1, decoded.Change)
	}
}

// storeVersion adds the current version to recentVersions.
func (r *Replica) storeVersion() {
	r.recentVersions.Limit = maxRecentVersions
	r.recentVersions.Put(r.version, r.rulesByID())
}

// rulesByID returns the rules in force by kind and name.
func (r *Replica) rulesByID() map[string]VersionedRule {
	byID := make(map[string]VersionedRule, len(r.lines))
	for id, l := range r.lines {
		byID[id.String()] = VersionedRule{l.line.Text, l.version}
	}
	return byID
}

// At returns the rules of a recent version by kind and name.
func (r *Replica) At(version int64) (map[string]VersionedRule, bool) {
	return r.recentVersions.Get(version)
}

// Synced reports whether the state includes all records before Next.
func (r *Replica) Synced() bool { return r.synced }

func sortedLines(lines map[ID]versionedLine) []*Line {
	sorted := make([]*Line, 0, len(lines))
	for _, l := range lines {
		sorted = append(sorted, l.line)
	}
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].ID.Kind != sorted[j].ID.Kind {
			return sorted[i].ID.Kind < sorted[j].ID.Kind
		}
		return sorted[i].ID.Name < sorted[j].ID.Name
	})
	return sorted
}
