package tglogclient

import (
	"context"
	"time"

	"tanagergrade/core/tgrecord"
)

// Log is the log service as its users see it.
type Log interface {
	// Append appends records to stream and returns the offset. After an error the records may have been appended.
	Append(ctx context.Context, stream string, records []tgrecord.Record) (uint64, error)
	// Read returns records of stream from offset on, waiting up to wait for the first.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error)
}
