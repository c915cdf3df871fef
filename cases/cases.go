// Package cases lets all nodes know what in requests has crashed upstreams, through a keyed
// stream in the store. It does the reading and writing; package poison decides what a case
// says.
package cases

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselplank/infra"
	"teaselplank/outbox"
	"teaselplank/poison"
)

const (
	// minWait and maxWait bound how long a read waits for new cases. The wait grows by
	// waitPerNode, so that many nodes together read as often as some. A short wait shows
	// sooner that the store does not answer.
	minWait     = 5 * time.Second
	maxWait     = 30 * time.Second
	waitPerNode = 100 * time.Millisecond
	// ReadPause is the time between two reads. The cases of a crash come within moments, and
	// each read of them costs a call a node.
	ReadPause = 250 * time.Millisecond
	// rewriteInterval is the time that each node has to write the cases that the store has
	// lost, and minRewriteSpread the shortest time for all nodes.
	rewriteInterval  = 20 * time.Millisecond
	minRewriteSpread = time.Second
	// maxPending bounds the cases that wait to be written to the store, and maxPerWrite those
	// of one write.
	maxPending  = 1024
	maxPerWrite = 256
	// minWriteBackoff and maxWriteBackoff bound the pause after a write that failed.
	minWriteBackoff = 150 * time.Millisecond
	maxWriteBackoff = 900 * time.Millisecond
)

// A Host is the node that a Log runs in.
type Host interface {
	// ID returns the ID of the node, and NodeCount the number of nodes, with this one.
	ID() string
	NodeCount() int
	// Sleep waits and reports whether the node is still running.
	Sleep(d time.Duration) bool
	// ReadCases reads all records of the store, and PutCases writes some.
	ReadCases() ([]infra.KeyedRecord, error)
	PutCases(records []infra.KeyedRecord) error
	// KnownCases returns the cases that the node knows.
	KnownCases() []poison.Case
	// CasesRead takes cases that other nodes have shared, and CasesForgotten those that
	// another node has forgotten.
	CasesRead(cases []poison.Case)
	CasesForgotten(cases []poison.Case)
	// CountCases counts cases that were written ("ok"), could not be ("failed") or were
	// discarded ("dropped"), and CountInvalid a record that could not be read.
	CountCases(result string, cases int)
	CountInvalid()
}

// A Log shares cases with the other nodes. Create it with New.
type Log struct {
	host   Host
	logger *slog.Logger
	// pending holds the records that wait to be written. Those that are too many are dropped:
	// the store is away, and the nodes exchange cases among themselves.
	pending *outbox.Box[infra.KeyedRecord]
}

// New returns a log that has nothing to write.
func New(host Host, logger *slog.Logger) *Log {
	l := &Log{host: host, logger: logger}
	l.pending = outbox.New(outbox.Config[infra.KeyedRecord]{
		Write: l.put, Sleep: host.Sleep, Dropped: func(list []infra.KeyedRecord) { host.CountCases("dropped", len(list)) },
		MaxPending: maxPending, MaxBatch: maxPerWrite, MinBackoff: minWriteBackoff, MaxBackoff: maxWriteBackoff,
	})
	return l
}

// ReadWait returns how long a read of the stream waits for new cases.
func (l *Log) ReadWait() time.Duration {
	return min(max(time.Duration(l.host.NodeCount())*waitPerNode, minWait), maxWait)
}

// Share lets the other nodes know cases.
func (l *Log) Share(cases []poison.Case) {
	var records []infra.KeyedRecord
	for _, c := range cases {
		value, err := json.Marshal(c)
		if err != nil {
			l.logger.Error("cannot encode a case", "part", c.Part, "error", err.Error())
			continue
		}
		records = append(records, infra.KeyedRecord{Key: c.Key(), Value: value})
	}
	l.pending.Add(records...)
}

// Forget lets all nodes forget cases.
func (l *Log) Forget(cases []poison.Case) {
	var records []infra.KeyedRecord
	for _, c := range cases {
		records = append(records, infra.KeyedRecord{Key: c.Key()})
	}
	l.pending.Add(records...)
}

// Written reports whether no case waits to be written to the store.
func (l *Log) Written() bool { return l.pending.Idle() }

// put writes records and reports whether that succeeded.
func (l *Log) put(records []infra.KeyedRecord) bool {
	if err := l.host.PutCases(records); err != nil {
		l.host.CountCases("failed", len(records))
		l.logger.Warn("cannot write cases of requests", "cases", len(records), "error", err.Error())
		return false
	}
	l.host.CountCases("ok", len(records))
	return true
}

// Apply applies cases that nodes have written to the store. If the records are all that the
// store has, the cases that it lacks are written again later.
func (l *Log) Apply(records []infra.KeyedRecord, all bool) {
	known := l.known()
	read, forgotten := l.parse(records, known)
	l.host.CasesRead(read)
	if len(forgotten) > 0 {
		go l.forgetInTurn(forgotten)
	}
	if all && len(lacking(known, read)) > 0 {
		go l.rewriteInTurn()
	}
}

// known returns the cases that the node knows, by their keys in the store.
func (l *Log) known() map[string]poison.Case {
	known := make(map[string]poison.Case)
	for _, c := range l.host.KnownCases() {
		known[c.Key()] = c
	}
	return known
}

// parse returns the cases of records, and those of the known ones that records remove.
func (l *Log) parse(records []infra.KeyedRecord, known map[string]poison.Case) (read, forgotten []poison.Case) {
	for _, r := range records {
		if len(r.Value) == 0 {
			if c, ok := known[r.Key]; ok {
				forgotten = append(forgotten, c)
			}
			continue
		}
		var c poison.Case
		if err := json.Unmarshal(r.Value, &c); err != nil || c.Key() != r.Key {
			l.host.CountInvalid()
			continue
		}
		read = append(read, c)
	}
	return read, forgotten
}

// lacking returns those of the known cases that the read ones lack: they are not there, or
// are refuted only here.
func lacking(known map[string]poison.Case, read []poison.Case) []poison.Case {
	stored := make(map[string]poison.Case, len(read))
	for _, c := range read {
		stored[c.Key()] = c
	}
	var missing []poison.Case
	for key, c := range known {
		if old, ok := stored[key]; !ok || c.Weight == poison.Refuted && old.Weight != poison.Refuted {
			missing = append(missing, c)
		}
	}
	return missing
}

// rewriteInTurn writes the cases that the store lacks after it was restored from a copy.
func (l *Log) rewriteInTurn() {
	if read, ok := l.readInTurn(); ok {
		l.Share(lacking(l.known(), read))
	}
}

// forgetInTurn lets the node forget cases that another one has removed from the store, or
// write them again, unless they were written again meanwhile.
func (l *Log) forgetInTurn(forgotten []poison.Case) {
	read, ok := l.readInTurn()
	if !ok {
		return
	}
	missing := make(map[string]poison.Case, len(forgotten))
	for _, c := range forgotten {
		missing[c.Key()] = c
	}
	for _, c := range read {
		delete(missing, c.Key())
	}
	l.host.CasesForgotten(slices.Collect(maps.Values(missing)))
}

// readInTurn waits for a time that differs between nodes and then reads all cases of the
// store. Most nodes thus find that others have written what they would have to write.
func (l *Log) readInTurn() (read []poison.Case, ok bool) {
	spread := max(minRewriteSpread, time.Duration(l.host.NodeCount())*rewriteInterval)
	if !l.host.Sleep(time.Duration(xxhash.Sum64String(l.host.ID()) % uint64(spread))) {
		return nil, false
	}
	records, err := l.host.ReadCases()
	if err != nil {
		l.logger.Warn("cannot read the cases of requests", "error", err.Error())
		return nil, false
	}
	read, _ = l.parse(records, nil)
	return read, true
}
