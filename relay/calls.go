package relay

import (
	"context"
	"errors"
	"time"

	"teaselplank/infra"
	"teaselplank/origin"
)

// The names of calls to the store in the metrics.
const (
	callNewest  = "newest"
	callChanges = "changes"
	callPut     = "put"
	callPutAt   = "put_at"
)

// streamOrigins names the log of the versions of streams in the metrics.
const streamOrigins infra.Stream = "origins"

// A countedRegistry counts the calls to a registry.
type countedRegistry struct {
	infra.Registry
	metrics *metrics
}

// Newest implements infra.Registry. Several pages count as one call.
func (r countedRegistry) Newest(ctx context.Context, s infra.Stream) (infra.Page, error) {
	page, err := r.Registry.Newest(ctx, s)
	r.metrics.countCall(callNewest, s, err)
	return page, err
}

// Changes implements infra.Registry.
func (r countedRegistry) Changes(ctx context.Context, s infra.Stream, from int64, wait time.Duration) (infra.Page, error) {
	page, err := r.Registry.Changes(ctx, s, from, wait)
	r.metrics.countCall(callChanges, s, err)
	return page, err
}

// Put implements infra.Registry.
func (r countedRegistry) Put(ctx context.Context, s infra.Stream, records ...infra.KeyedRecord) (infra.Epoch, error) {
	epoch, err := r.Registry.Put(ctx, s, records...)
	r.metrics.countCall(callPut, s, err)
	return epoch, err
}

// PutAt implements infra.Registry.
func (r countedRegistry) PutAt(ctx context.Context, s infra.Stream, end int64, records ...infra.KeyedRecord) (infra.Epoch, error) {
	epoch, err := r.Registry.PutAt(ctx, s, end, records...)
	r.metrics.countCall(callPutAt, s, err)
	return epoch, err
}

// A countedOrigins counts the calls to the log of the versions of streams.
type countedOrigins struct {
	infra.OriginLog
	metrics *metrics
}

// AppendOrigins implements infra.OriginLog.
func (o countedOrigins) AppendOrigins(ctx context.Context, records []origin.Record) (infra.Epoch, error) {
	epoch, err := o.OriginLog.AppendOrigins(ctx, records)
	o.metrics.countCall(callPut, streamOrigins, err)
	return epoch, err
}

// ReadOrigins implements infra.OriginLog.
func (o countedOrigins) ReadOrigins(ctx context.Context, from int64) (infra.OriginPage, error) {
	page, err := o.OriginLog.ReadOrigins(ctx, from)
	o.metrics.countCall(callChanges, streamOrigins, err)
	return page, err
}

// callResult returns the result of a call to the store in the metrics.
func callResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, infra.ErrOffsetOutOfRange), errors.Is(err, infra.ErrMoved):
		return "moved"
	}
	return "failed"
}
