package infra

import (
	"context"

	"teaselplank/origin"
)

// An OriginPage holds records of an OriginLog, oldest first.
type OriginPage struct {
	Records []origin.Record
	// Next is the offset from which to read on, and End that of the next record to be
	// appended, in the store of epoch Epoch.
	Next  int64
	End   int64
	Epoch Epoch
}

// An OriginLog is a log in which the hosts of a deployment record the software versions
// that streams began at.
type OriginLog interface {
	// AppendOrigins adds records, all or none, and returns the epoch in which they were added.
	// If it returns an error, they may still be added later.
	AppendOrigins(ctx context.Context, records []origin.Record) (Epoch, error)
	// ReadOrigins returns the records starting at an offset, or at the first one that
	// the log still has. It does not wait for records.
	ReadOrigins(ctx context.Context, from int64) (OriginPage, error)
}
