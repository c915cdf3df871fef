// Package share lets all nodes know which software version began each stream, through a log
// in the store. It does the reading and writing; package origin decides what is kept.
package share

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"teaselplank/infra"
	"teaselplank/origin"
	"teaselplank/outbox"
)

const (
	// shareDelay is how long records are collected for one append. With the time of the
	// append it is shorter than streams usually take to begin.
	shareDelay = 40 * time.Millisecond
	// shareBackoff is the pause after an append that failed.
	shareBackoff = 300 * time.Millisecond
	// maxRecordsPerAppend bounds the records of an append, and maxPendingRecords those
	// that wait for one.
	maxRecordsPerAppend = 256
	maxPendingRecords   = 8 << 10
	// maxOwnOrigins bounds the records of streams that a node has sent, and
	// maxSharedOrigins those of streams of other nodes.
	maxOwnOrigins    = 16 << 10
	maxSharedOrigins = 64 << 10
)

// A Host is the node that Origins run in.
type Host interface {
	// Now returns the current time by a clock that never jumps.
	Now() time.Time
	// StoreEpoch returns the newest epoch of the store that was seen.
	StoreEpoch() infra.Epoch
	// UpstreamsAge returns how long ago the upstreams were last read.
	UpstreamsAge() time.Duration
	// CountShared counts records that were appended to the log ("ok"), could not be
	// ("failed") or were discarded ("dropped").
	CountShared(result string, records int)
	// CountLookup counts a lookup by the source of the record that it found, or by why it
	// found none.
	CountLookup(result string)
}

// Origins records which software version began each stream, and shares the records with
// the other nodes. Create it with New.
type Origins struct {
	// context ends when the node closes.
	context context.Context
	host    Host
	logger  *slog.Logger
	// log is nil if the versions are not shared.
	log infra.OriginLog
	// pending holds the records that are not yet in the log.
	pending *outbox.Box[origin.Record]

	// mu guards the fields below. No call of the host or the log that may block is made
	// under it.
	mu sync.Mutex
	// own holds the records of the streams that this node has sent.
	own origin.Memory
	// shared holds the records of other nodes, and versions the versions that they name
	// by service. The log was read up to the offset next in the store of epoch epoch.
	shared   origin.Memory
	versions origin.Versions
	next     int64
	epoch    infra.Epoch
	// reading is the read of records in progress, or nil.
	reading *originRead
}

// New returns origins without records. The log may be nil: the records are then not shared.
// Appends and reads end with ctx.
func New(ctx context.Context, host Host, log infra.OriginLog, logger *slog.Logger) *Origins {
	o := &Origins{context: ctx, host: host, logger: logger, log: log, own: origin.Memory{Limit: maxOwnOrigins}, shared: origin.Memory{Limit: maxSharedOrigins}}
	o.pending = outbox.New(outbox.Config[origin.Record]{
		Write: o.append, Sleep: o.sleep, Keep: o.isNeeded, Again: isStream, Dropped: func(n int) { host.CountShared("dropped", n) },
		MaxPending: maxPendingRecords, MaxBatch: maxRecordsPerAppend, Delay: shareDelay, MinBackoff: shareBackoff, MaxBackoff: shareBackoff,
	})
	return o
}

// Record records the version that a stream was sent to, and shares it if necessary.
func (o *Origins) Record(r origin.Record, share bool) {
	if !r.Settles() {
		o.mu.Lock()
		o.own.Put(o.host.Now(), r)
		o.mu.Unlock()
	}
	if share {
		o.enqueue(r)
	}
}

// Share shares the records of all streams of a service that this node has sent.
func (o *Origins) Share(service string) {
	o.mu.Lock()
	records := o.own.Of(o.host.Now(), service)
	o.mu.Unlock()
	o.enqueue(records...)
}

// enqueue adds records to the next append.
func (o *Origins) enqueue(records ...origin.Record) {
	if o.log != nil {
		o.pending.Add(records...)
	}
}

// sleep waits and reports whether the node is still running.
func (o *Origins) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-o.context.Done():
		return false
	}
}

// isNeeded reports whether a record that waits is still of use.
func (o *Origins) isNeeded(r origin.Record) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, _, ok := o.own.Get(o.host.Now(), r.ID)
	return ok || r.Settles()
}

// isStream reports whether a record is that of a stream. It is appended again after a failure,
// which may leave it twice in the log; the number of the attempt tells which record holds. A
// statement about a service may no longer hold when the log is back, and is made again.
func isStream(r origin.Record) bool { return !r.Settles() }

// append appends records to the log and reports whether that succeeded.
func (o *Origins) append(batch []origin.Record) bool {
	if err := o.log.AppendOrigins(o.context, batch); err != nil {
		o.host.CountShared("failed", len(batch))
		o.logger.Warn("versions of streams are not shared", "records", len(batch), "error", err.Error())
		return false
	}
	o.host.CountShared("ok", len(batch))
	return true
}
