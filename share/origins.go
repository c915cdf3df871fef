// Package share lets all nodes know which software version began each stream, through the
// store: a log has the records of streams, and a keyed stream the default version of each
// service, at which the streams without a record began. It does the reading and writing;
// packages origin and proxy decide what is kept.
package share

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"teaselplank/infra"
	"teaselplank/origin"
	"teaselplank/outbox"
	"teaselplank/proxy"
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
	// maxUnwritten bounds the streams of which records wait or were dropped; it is the same as
	// maxOwnOrigins, beyond which no stream is remembered.
	maxUnwritten = maxOwnOrigins
	// maxOwnOrigins bounds the records of streams that a node has sent, and
	// maxSharedOrigins those of streams of other nodes.
	maxOwnOrigins    = 16 << 10
	maxSharedOrigins = 64 << 10
)

// A Host is the node that Origins run in.
type Host interface {
	// Now returns the current time by a clock that never jumps.
	Now() time.Time
	// ObserveEpoch takes note of the epoch of a response of the store.
	ObserveEpoch(epoch infra.Epoch)
	// UpstreamsAge returns how long ago the upstreams were last read.
	UpstreamsAge() time.Duration
	// AskPeers asks the other nodes for the version that began a stream. It returns the record
	// of the one that sent the stream, or the versions that they know.
	AskPeers(ctx context.Context, e proxy.FindOrigin) proxy.OriginFound
	// CountShared counts records that were appended to the log ("ok"), could not be
	// ("failed") or were discarded ("dropped").
	CountShared(result string, records int)
	// DefaultsRead takes the default versions that were read from the store.
	DefaultsRead(e proxy.DefaultsRead)
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

	// registry has the default versions of services.
	registry infra.Registry

	// mu guards the fields below. No call of the host, the log or the registry that may block
	// is made under it.
	mu sync.Mutex
	// own holds the records of the streams that this node has sent, and sent those of them
	// that are shared.
	own  origin.Memory
	sent origin.Memory
	// unwritten holds the records that are not yet in the log, by stream.
	unwritten map[string]*unwrittenRecords
	// shared holds the records of other nodes. The log was read up to the offset next in the
	// store of epoch epoch.
	shared origin.Memory
	next   int64
	epoch  infra.Epoch
	// defaults are the default versions as they were last read.
	defaults proxy.DefaultsRead
	// reading is the read of records in progress, or nil.
	reading *originRead
}

// unwrittenRecords are the records of one stream that are not yet in the log.
type unwrittenRecords struct {
	count int
	// written is closed once all are in the log.
	written chan struct{}
}

// New returns origins without records. The log may be nil: the records are then not shared.
// Appends and reads end with ctx.
func New(ctx context.Context, host Host, log infra.OriginLog, registry infra.Registry, logger *slog.Logger) *Origins {
	o := &Origins{
		context: ctx, host: host, logger: logger, log: log, registry: registry,
		own: origin.Memory{Limit: maxOwnOrigins}, sent: origin.Memory{Limit: maxOwnOrigins}, shared: origin.Memory{Limit: maxSharedOrigins},
	}
	o.unwritten = make(map[string]*unwrittenRecords)
	o.pending = outbox.New(outbox.Config[origin.Record]{
		Write: o.append, Sleep: o.sleep, Keep: o.isNeeded, Dropped: func(list []origin.Record) { host.CountShared("dropped", len(list)) },
		MaxPending: maxPendingRecords, MaxBatch: maxRecordsPerAppend, Delay: shareDelay, MinBackoff: shareBackoff, MaxBackoff: shareBackoff,
	})
	return o
}

// Record records the version that a stream was sent to, and shares it if necessary. A record
// whose append fails is appended again, which may leave it twice in the log; the number of the
// attempt tells which record holds.
func (o *Origins) Record(r origin.Record, share bool) {
	o.mu.Lock()
	o.own.Put(o.host.Now(), r)
	if share {
		o.sent.Put(o.host.Now(), r)
	}
	o.mu.Unlock()
	if share {
		o.enqueue(r)
	}
}

// Restored shares the records of this node again, as a store that was restored from a copy
// lacks the newest ones.
func (o *Origins) Restored() {
	o.mu.Lock()
	records := o.sent.All(o.host.Now())
	o.mu.Unlock()
	o.enqueue(records...)
}

// Await waits until all records of a stream are in the log, and reports whether they are.
func (o *Origins) Await(ctx context.Context, id string) bool {
	o.mu.Lock()
	records := o.unwritten[id]
	o.mu.Unlock()
	if records == nil {
		return true
	}
	select {
	case <-records.written:
		return true
	case <-ctx.Done():
		return false
	}
}

// enqueue adds records to the next append.
func (o *Origins) enqueue(records ...origin.Record) {
	if o.log == nil {
		return
	}
	o.mu.Lock()
	if len(o.unwritten) >= maxUnwritten {
		maps.DeleteFunc(o.unwritten, func(id string, _ *unwrittenRecords) bool { return !o.isOwn(id) })
	}
	for _, r := range records {
		waiting := o.unwritten[r.ID]
		if waiting == nil {
			waiting = &unwrittenRecords{written: make(chan struct{})}
			o.unwritten[r.ID] = waiting
		}
		waiting.count++
	}
	o.mu.Unlock()
	o.pending.Add(records...)
}

// noteWritten notes that records are in the log.
func (o *Origins) noteWritten(records []origin.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		waiting := o.unwritten[r.ID]
		if waiting == nil {
			continue
		}
		if waiting.count--; waiting.count == 0 {
			close(waiting.written)
			delete(o.unwritten, r.ID)
		}
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
	if o.isOwn(r.ID) {
		return true
	}
	delete(o.unwritten, r.ID)
	return false
}

// isOwn reports whether this node has sent a stream lately. The lock must be held.
func (o *Origins) isOwn(id string) bool {
	_, _, ok := o.own.Get(o.host.Now(), id)
	return ok
}

// append appends records to the log and reports whether that succeeded.
func (o *Origins) append(batch []origin.Record) bool {
	epoch, err := o.log.AppendOrigins(o.context, batch)
	if err != nil {
		o.host.CountShared("failed", len(batch))
		o.logger.Warn("versions of streams are not shared", "records", len(batch), "error", err.Error())
		return false
	}
	o.noteWritten(batch)
	o.host.ObserveEpoch(epoch)
	o.host.CountShared("ok", len(batch))
	return true
}
