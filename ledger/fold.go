package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"teaselplank/wire"
)

// EntryKind is the kind of a log entry.
type EntryKind string

// The kinds of entries.
const (
	KindClaim   EntryKind = "claim"
	KindRelease EntryKind = "release"
	KindResult  EntryKind = "result"
	// KindLost records that the call was sent but its answer was not received.
	KindLost EntryKind = "lost"
)

// An Entry is one change to the state of a key. A log record holds a batch of entries.
type Entry struct {
	Kind    EntryKind `json:"kind"`
	Key     Key       `json:"key"`
	Attempt string    `json:"attempt"`
	// Digest is set in claims and, for keys bound to a node, in results.
	Digest string `json:"digest,omitempty"`
	// Result is set in results.
	Result *Result `json:"result,omitempty"`
}

// A Result is what a call returned.
type Result struct {
	Status int    `json:"status"`
	Output string `json:"output"`
}

// Stream returns the name of the log stream of a shard.
func Stream(shard int) string { return fmt.Sprintf("ledger-%d", shard) }

// EncodeBatch returns the log record of a batch.
func EncodeBatch(entries []Entry) ([]byte, error) {
	data, err := json.Marshal(entries)
	if err != nil {
		return nil, fmt.Errorf("encode ledger batch: %w", err)
	}
	return data, nil
}

// A shard is one log stream and the state of the keys that belong to it.
type shard struct {
	index int
	// next is the offset of the first record that is not folded.
	next int64
	// completeSince is zero while no record of the stream was missed. Otherwise
	// claims before that time may be missing.
	completeSince time.Time
	keys          map[Key]*keyState
	// earlyReleases holds the attempts whose release was folded before their
	// claim, with the time of folding.
	earlyReleases map[string]time.Time
	// reading is true while a Read is in flight.
	reading bool
	// started is true once a page has been folded.
	started bool

	// pending holds the entries for the next append, inFlight those of the
	// append in flight, and inFlightBatch its number.
	pending       []Entry
	inFlight      []Entry
	inFlightBatch int64
	// lastAppend is when the last append was started.
	lastAppend time.Time
	// failingSince is when appends began to fail, or zero; lastFailure is when
	// an append last failed.
	failingSince time.Time
	lastFailure  time.Time
	// lastPrune is when old keys were last removed.
	lastPrune time.Time
}

// A keyState is the state of one key according to the folded log.
type keyState struct {
	// digest is that of the first claim or result in the log.
	digest string
	// claims are in log order; released ones are marked, not removed.
	claims []claim
	// result is set once and never changed.
	result *Result
	// lost is true when the log records a dispatch without an answer.
	lost bool
	// lastUpdate is the log's time of the last entry, or the time of the first
	// Submit before any entry was folded.
	lastUpdate time.Time
	// waiting are this node's attempts that have not ended.
	waiting []string
}

type claim struct {
	attempt  string
	number   int64
	released bool
	// foldedAt is when this node folded the claim.
	foldedAt time.Time
}

func newShard(index int) *shard {
	return &shard{index: index, keys: make(map[Key]*keyState), earlyReleases: make(map[string]time.Time)}
}

func (l *Ledger) shardOf(k Key) *shard { return l.shards[k.Shard(len(l.shards))] }

// ensureKey returns the state of a key and creates it if needed.
func (s *shard) ensureKey(k Key) *keyState {
	state := s.keys[k]
	if state == nil {
		state = &keyState{}
		s.keys[k] = state
	}
	return state
}

// winner returns the first claim that is not released, or nil.
func (k *keyState) winner() *claim {
	for i := range k.claims {
		if !k.claims[i].released {
			return &k.claims[i]
		}
	}
	return nil
}

func (k *keyState) claimOf(attempt string) *claim {
	for i := range k.claims {
		if k.claims[i].attempt == attempt {
			return &k.claims[i]
		}
	}
	return nil
}

// pageRead folds a page of a stream and advances the attempts of the updated keys.
func (l *Ledger) pageRead(now time.Time, e PageRead) {
	s := l.shards[e.Shard]
	s.reading = false
	if e.Page.First > s.next {
		l.skipMissing(now, s, e.Page)
	}
	s.started = true
	var updated []Key
	s.next = e.Page.Each(s.next, func(r wire.Record) {
		updated = append(updated, l.foldRecord(now, s, r)...)
	})
	if e.Page.End > s.next && len(e.Page.Records) > 0 {
		l.requestRead(s)
	}
	for _, k := range updated {
		l.advanceKey(now, s, k)
	}
	l.prune(now, s)
}

// skipMissing skips the records that the log dropped before this page. If nothing was
// folded yet, the ledger relies on the log's retention: the dropped records are older
// than that. Otherwise its reads fell behind the log's retention, and it relies only on
// the records that remain. Attempts whose keys may have claims among the dropped records
// are given up unless they run.
func (l *Ledger) skipMissing(now time.Time, s *shard, page wire.Page) {
	s.next = page.First
	since := now
	if len(page.Records) > 0 {
		since = page.Records[0].Time
	}
	if !s.started {
		since = now.Add(-l.config.Retention)
	}
	if since.After(s.completeSince) {
		s.completeSince = since
	}
	for _, a := range l.sortedAttempts() {
		if l.shardOf(a.submit.Key) == s && a.status != running && l.mayBeMissing(a.submit.Key) {
			l.giveUp(a, ReasonKeyExpired)
		}
	}
}

// mayBeMissing reports whether claims of the key may be among the missed records.
func (l *Ledger) mayBeMissing(k Key) bool {
	since := l.shardOf(k).completeSince
	if since.IsZero() {
		return false
	}
	issued, err := IssueTime(k.ID)
	return err != nil || !issued.After(since.Add(l.config.MaxSkew))
}

func (l *Ledger) sortedAttempts() []*attempt {
	sorted := make([]*attempt, 0, len(l.attempts))
	for _, a := range l.attempts {
		sorted = append(sorted, a)
	}
	slices.SortFunc(sorted, func(a, b *attempt) int { return strings.Compare(a.submit.Attempt, b.submit.Attempt) })
	return sorted
}

func (l *Ledger) foldRecord(now time.Time, s *shard, r wire.Record) []Key {
	var entries []Entry
	if err := json.Unmarshal(r.Data, &entries); err != nil {
		l.counts.Malformed++
		return nil
	}
	var updated []Key
	for i, e := range entries {
		if e.Key.Shard(len(l.shards)) != s.index {
			l.counts.Malformed++
			continue
		}
		k := s.ensureKey(e.Key)
		k.lastUpdate = r.Time
		s.foldEntry(now, k, e, r.Offset*maxBatch+int64(i%maxBatch))
		updated = append(updated, e.Key)
	}
	return updated
}

func (s *shard) foldEntry(now time.Time, k *keyState, e Entry, number int64) {
	s.confirm(e)
	switch e.Kind {
	case KindClaim:
		if k.digest == "" {
			k.digest = e.Digest
		}
		if k.claimOf(e.Attempt) != nil {
			return // The claim was appended again after the answer to an append was lost.
		}
		_, released := s.earlyReleases[e.Attempt]
		delete(s.earlyReleases, e.Attempt)
		k.claims = append(k.claims, claim{e.Attempt, number, released, now})
	case KindRelease:
		if c := k.claimOf(e.Attempt); c != nil {
			c.released = true
			return
		}
		s.earlyReleases[e.Attempt] = now
	case KindLost:
		k.lost = true
	case KindResult:
		if k.digest == "" {
			k.digest = e.Digest
		}
		if k.result == nil {
			k.result = e.Result
		}
	}
}

// confirm removes an entry that was read from the log from the pending entries, so that
// an append whose answer was lost is not retried forever.
func (s *shard) confirm(e Entry) {
	for i := range s.pending {
		if s.pending[i].Kind == e.Kind && s.pending[i].Attempt == e.Attempt {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			return
		}
	}
}

// pruneInterval is the minimum time between two prunes of a shard.
const pruneInterval = 30 * time.Second

// prune removes the state of keys that are refused because of their age.
func (l *Ledger) prune(now time.Time, s *shard) {
	if now.Sub(s.lastPrune) < pruneInterval {
		return
	}
	s.lastPrune = now
	l.pruneBound(now)
	cutoff := now.Add(-l.config.Window - 2*l.config.MaxSkew)
	for key, k := range s.keys {
		if k.lastUpdate.Before(cutoff) && len(k.waiting) == 0 {
			delete(s.keys, key)
		}
	}
	for attempt, at := range s.earlyReleases {
		if at.Before(cutoff) {
			delete(s.earlyReleases, attempt)
		}
	}
}
