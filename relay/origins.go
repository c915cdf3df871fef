package relay

import (
	"sync"
	"time"

	"teaselplank/infra"
	"teaselplank/origin"
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

// origins records which software version began each stream, and shares the records with
// the other nodes.
type origins struct {
	server *Server
	// log is nil if the versions are not shared.
	log infra.OriginLog

	mu sync.Mutex
	// own holds the records of the streams that this node has sent.
	own origin.Memory
	// pending holds the records that are not yet in the log. sharing is true while a
	// goroutine appends them: only one does, so that they are appended in order.
	pending []origin.Record
	sharing bool
	// shared holds the records of other nodes, and versions the versions that they name
	// by service. The log was read up to the offset next in the store of epoch epoch.
	shared   origin.Memory
	versions origin.Versions
	next     int64
	epoch    infra.Epoch
	// reading is the read of records in progress, or nil.
	reading *originRead
}

func newOrigins(s *Server, log infra.OriginLog) *origins {
	return &origins{server: s, log: log, own: origin.Memory{Limit: maxOwnOrigins}, shared: origin.Memory{Limit: maxSharedOrigins}}
}

// record records the version that a stream was sent to, and shares it if necessary.
func (o *origins) record(r origin.Record, share bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !r.Settles() {
		o.own.Put(o.server.now(), r)
	}
	if share {
		o.enqueue(r)
	}
}

// share shares the records of all streams of a service that this node has sent.
func (o *origins) share(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.enqueue(o.own.Of(o.server.now(), service)...)
}

// enqueue adds records to the next append. The oldest are discarded if there are too many.
// The lock must be held.
func (o *origins) enqueue(records ...origin.Record) {
	if o.log == nil || len(records) == 0 {
		return
	}
	o.pending = append(o.pending, records...)
	if excess := len(o.pending) - maxPendingRecords; excess > 0 {
		o.server.metrics.countShared("dropped", excess)
		o.pending = o.pending[excess:]
	}
	if !o.sharing {
		o.sharing = true
		go o.appendPending()
	}
}

// appendPending appends the pending records until none is left.
func (o *origins) appendPending() {
	delay := shareDelay
	for o.server.sleep(delay) {
		batch := o.nextBatch()
		if len(batch) == 0 {
			return
		}
		delay = shareDelay
		if !o.appendBatch(batch) {
			o.putBack(batch)
			delay = shareBackoff
		}
	}
}

// appendBatch appends records to the log and reports whether that succeeded.
func (o *origins) appendBatch(batch []origin.Record) bool {
	if err := o.log.AppendOrigins(o.server.context, batch); err != nil {
		o.server.metrics.countShared("failed", len(batch))
		o.server.logger.Warn("versions of streams are not shared", "records", len(batch), "error", err.Error())
		return false
	}
	o.server.metrics.countShared("ok", len(batch))
	return true
}

// nextBatch takes the oldest pending records that have not expired. If there is none, the
// goroutine that appends ends.
func (o *origins) nextBatch() []origin.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	var batch []origin.Record
	for len(o.pending) > 0 && len(batch) < maxRecordsPerAppend {
		r := o.pending[0]
		o.pending = o.pending[1:]
		if _, _, ok := o.own.Get(o.server.now(), r.ID); ok || r.Settles() {
			batch = append(batch, r)
		}
	}
	o.sharing = len(batch) > 0
	return batch
}

// putBack makes the records of an append that failed the first of the next one. Some of
// them may be in the log already; the number of the attempt tells which record holds.
func (o *origins) putBack(batch []origin.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = append(batch, o.pending...)
}
