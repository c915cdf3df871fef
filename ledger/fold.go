package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"teaselplank/wire"
)

// EntryKind says what an entry of the log records.
type EntryKind string

// The kinds of entries.
const (
	Claim   EntryKind = "claim"
	Release EntryKind = "release"
	Record  EntryKind = "result"
	// Lost says that the claim's call was sent but its answer did not come.
	Lost EntryKind = "lost"
)

// An Entry is one fact about a key. A record of the log holds a batch of them.
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

// A shard is one log stream with the keys that belong to it.
type shard struct {
	index int
	// next is the offset of the first record that is not folded.
	next int64
	// since is zero while no record of the stream was missed. Otherwise
	// claims before that time may be missing.
	since time.Time
	keys  map[Key]*keyState
	// released holds the attempts whose release was folded before their
	// claim.
	released map[string]time.Time
	// reading is true while a Read is under way.
	reading bool
	// started is true once a page was folded.
	started bool

	// pending waits for the next append; flight is the one under way.
	pending []Entry
	flight  []Entry
	batch   int64
	// lastAppend is when the last append began.
	lastAppend time.Time
	// failing is when appends began to fail, or zero; failed is when one
	// last failed.
	failing time.Time
	failed  time.Time
	// pruned is when old keys were last removed.
	pruned time.Time
}

// A keyState is what the folded log says of one key.
type keyState struct {
	// digest is that of the first claim in the log.
	digest string
	// claims are in log order; released ones are marked, not removed.
	claims []claim
	// result is set once and never changed.
	result *Result
	// lost is true when a dispatch is known to have got no answer.
	lost bool
	// touched is the log's time of the last entry.
	touched time.Time
	// waiting are this node's open attempts.
	waiting []string
}

type claim struct {
	attempt  string
	number   int64
	released bool
	// folded is when this node read the claim.
	folded time.Time
}

func newShard(index int) *shard {
	return &shard{index: index, keys: make(map[Key]*keyState), released: make(map[string]time.Time)}
}

func (l *Ledger) shardOf(k Key) *shard { return l.shards[k.Shard(len(l.shards))] }

func (s *shard) key(k Key) *keyState {
	state := s.keys[k]
	if state == nil {
		state = &keyState{}
		s.keys[k] = state
	}
	return state
}

// winner returns the first live claim.
func (k *keyState) winner() *claim {
	for i := range k.claims {
		if !k.claims[i].released {
			return &k.claims[i]
		}
	}
	return nil
}

func (k *keyState) find(attempt string) *claim {
	for i := range k.claims {
		if k.claims[i].attempt == attempt {
			return &k.claims[i]
		}
	}
	return nil
}

// folded takes in a page of a stream and lets the touched attempts go on.
func (l *Ledger) folded(now time.Time, e Folded) {
	s := l.shards[e.Shard]
	s.reading = false
	if e.Page.First > s.next {
		l.miss(now, s, e.Page)
	}
	s.started = true
	var touched []Key
	s.next = e.Page.Each(s.next, func(r wire.Record) {
		touched = append(touched, l.foldRecord(now, s, r)...)
	})
	if e.Page.End > s.next && len(e.Page.Records) > 0 {
		l.read(s)
	}
	for _, k := range touched {
		l.advanceKey(now, s, k)
	}
	l.prune(now, s)
}

// miss notes that records before the page are gone from the log. A ledger that
// begins relies on the log's retention: what is gone is older than that. One that
// has followed the stream knows that it was kept from reading for too long, and
// relies on the records that are left.
func (l *Ledger) miss(now time.Time, s *shard, page wire.Page) {
	s.next = page.First
	since := now
	if len(page.Records) > 0 {
		since = page.Records[0].Time
	}
	if !s.started {
		since = now.Add(-l.config.Retention)
	}
	if since.After(s.since) {
		s.since = since
	}
	for _, a := range l.sortedAttempts() {
		if l.shardOf(a.submit.Key) == s && a.status != running && l.missing(a.submit.Key) {
			l.giveUp(a, ReasonExpired)
		}
	}
}

// missing reports whether claims of the key may be among the missed records.
func (l *Ledger) missing(k Key) bool {
	since := l.shardOf(k).since
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
	var touched []Key
	for i, e := range entries {
		if e.Key.Shard(len(l.shards)) != s.index {
			l.counts.Malformed++
			continue
		}
		k := s.key(e.Key)
		k.touched = r.Time
		s.foldEntry(now, k, e, r.Offset*maxBatch+int64(i%maxBatch))
		touched = append(touched, e.Key)
	}
	return touched
}

func (s *shard) foldEntry(now time.Time, k *keyState, e Entry, number int64) {
	s.confirm(e)
	switch e.Kind {
	case Claim:
		if k.digest == "" {
			k.digest = e.Digest
		}
		if k.find(e.Attempt) != nil {
			return // An append was repeated because its answer was lost.
		}
		_, released := s.released[e.Attempt]
		delete(s.released, e.Attempt)
		k.claims = append(k.claims, claim{e.Attempt, number, released, now})
	case Release:
		if c := k.find(e.Attempt); c != nil {
			c.released = true
			return
		}
		s.released[e.Attempt] = now
	case Lost:
		k.lost = true
	case Record:
		if k.digest == "" {
			k.digest = e.Digest
		}
		if k.result == nil {
			k.result = e.Result
		}
	}
}

// confirm removes an entry that was read back from those that wait, so that an
// append whose answer was lost is not repeated without end.
func (s *shard) confirm(e Entry) {
	for i := range s.pending {
		if s.pending[i].Kind == e.Kind && s.pending[i].Attempt == e.Attempt {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			return
		}
	}
}

// pruneInterval is how often old keys are looked for.
const pruneInterval = 30 * time.Second

// prune forgets keys that are refused because of their age.
func (l *Ledger) prune(now time.Time, s *shard) {
	if now.Sub(s.pruned) < pruneInterval {
		return
	}
	s.pruned = now
	l.pruneBound(now)
	horizon := now.Add(-l.config.Window - 2*l.config.MaxSkew)
	for key, k := range s.keys {
		if k.touched.Before(horizon) && len(k.waiting) == 0 {
			delete(s.keys, key)
		}
	}
	for attempt, at := range s.released {
		if at.Before(horizon) {
			delete(s.released, attempt)
		}
	}
}
