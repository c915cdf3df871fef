package infra

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// A Stream names a keyed stream of the platform: a compacted log in which each record sets
// or removes the value of a key, and which retains at least the newest record of each key.
type Stream string

// The keyed streams.
const (
	// StreamConfig holds the operator's configuration.
	StreamConfig Stream = "config"
	// StreamUpstreams holds the entries of upstreams, keyed by id.
	StreamUpstreams Stream = "upstreams"
	// StreamNodes holds the addresses of nodes, keyed by id. Only this system uses
	// it.
	StreamNodes Stream = "nodes"
	// StreamCrashes holds the cases of parts of requests that crash upstreams, keyed by part
	// and process. Only this system uses it.
	StreamCrashes Stream = "crashes"
	// StreamDefaults holds the default versions of services, keyed by service. Only this
	// system uses it.
	StreamDefaults Stream = "defaults"
)

// KeyConfig is the key of the configuration in StreamConfig.
const KeyConfig = "config"

// KeyEvacuation is the prefix of keys in StreamConfig. A key with the name of a zone after it exists
// while the zone is evacuated.
const KeyEvacuation = "evacuate/"

// A KeyedRecord sets the value of a key, or removes the key if Value is empty.
type KeyedRecord struct {
	Key   string
	Value []byte
	// Offset is the record's offset in the stream. It is not set in records to be added.
	Offset int64
}

// An Epoch counts how often the store was restored from a copy. A restored store lacks
// the newest records of the epoch before and gives out their offsets again, so offsets of
// different epochs are not comparable.
type Epoch int64

// A Page holds records of a stream.
type Page struct {
	Records []KeyedRecord
	// Next is the offset from which to read on, in the store of epoch Epoch.
	Next  int64
	Epoch Epoch
}

// ErrOffsetOutOfRange means that the stream no longer has some records that the reader has
// not seen. It still has the newest record of each key.
var ErrOffsetOutOfRange = errors.New("offset is outside the retained records of the stream")

// ErrMoved means that records were added to the stream since the writer has read it.
var ErrMoved = errors.New("stream has newer records")

// A Registry gives access to keyed streams.
type Registry interface {
	// Newest returns the newest record of each key. Some of the records may have
	// offsets after the page's Next.
	Newest(ctx context.Context, s Stream) (Page, error)
	// Changes returns the records starting at an offset. If there are none yet, it
	// waits at most the duration wait. It returns ErrOffsetOutOfRange if the stream
	// does not have the offset.
	Changes(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error)
	// Put adds records, all or none, and returns the epoch in which they were added. If it
	// returns an error, they may still have been added.
	Put(ctx context.Context, s Stream, records ...KeyedRecord) (Epoch, error)
	// PutAt is like Put, but adds nothing and returns ErrMoved if the stream does not end at
	// the offset end.
	PutAt(ctx context.Context, s Stream, end int64, records ...KeyedRecord) (Epoch, error)
}
