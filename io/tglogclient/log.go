package tglogclient

import (
	"context"
	"time"

	"tanagergrade/core/tgrecord"
)

// Log reads from and appends to the log service.
type Log interface {
	// Append appends records to stream and returns their offset. After an error, the records may have been appended.
	Append(ctx context.Context, stream string, records []tgrecord.Record) (uint64, error)
	// Read returns the entries of stream from an offset on, waiting up to wait for the first one. The error is ErrTruncated
	// if the log no longer retains the offset.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error)
}
