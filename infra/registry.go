package infra

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// A Stream names a keyed stream of the platform: a log whose records each set or
// remove the value of a key, and whose newest record of each key is kept.
type Stream string

// The keyed streams.
const (
	// StreamConfig holds the operator's configuration.
	StreamConfig Stream = "config"
	// StreamUpstreams holds the entries of upstreams by their ids.
	StreamUpstreams Stream = "upstreams"
	// StreamNodes holds the addresses of nodes by their ids. It is the system's
	// own.
	StreamNodes Stream = "nodes"
)

// KeyConfig is the key of the configuration in its stream.
const KeyConfig = "config"

// A KeyedRecord sets the value of a key, or removes the key if Value is empty.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// ErrDropped means that records which a reader has not seen are no longer kept;
// the newest records of all keys still are.
var ErrDropped = errors.New("records of the stream are no longer kept")

// A Registry gives access to keyed streams.
type Registry interface {
	// Newest returns the newest record of each key, and the offset from which
	// Changes follow. The records may be from after that offset.
	Newest(ctx context.Context, s Stream) ([]KeyedRecord, int64, error)
	// Changes returns the records from an offset on, and the offset after
	// them. It waits for a while if there are none yet. It fails with
	// ErrDropped if some are no longer kept.
	Changes(ctx context.Context, s Stream, from int64, wait time.Duration) ([]KeyedRecord, int64, error)
	// Put adds a record. After an error it may have been added all the same.
	Put(ctx context.Context, s Stream, record KeyedRecord) error
}
