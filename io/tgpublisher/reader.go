// Package tgpublisher reads the configuration from the log and publishes changes to it.
package tgpublisher

import (
	"context"
	"time"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgnode"
)

// Observer sees each record with the decision on it.
type Observer func(offset uint64, r tgrecord.Record, d tgconfig.Decision)

// Reader folds the config stream of the log.
type Reader struct {
	client *tglogclient.Client
	next   uint64
	state  *tgconfig.State
}

// NewReader returns a reader at the start of the stream.
func NewReader(client *tglogclient.Client) *Reader {
	return &Reader{client: client, state: tgconfig.NewState()}
}

// State returns the state folded so far.
func (r *Reader) State() *tgconfig.State { return r.state }

// ReadAll folds the stream up to its end; observe can be nil. The error is a *LogError.
func (r *Reader) ReadAll(ctx context.Context, observe Observer) error {
	for {
		end, err := r.read(ctx, 0, observe)
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			return &LogError{Err: err}
		}
		if end {
			return nil
		}
	}
}

// read folds one page and reports whether it reached the end of the stream.
func (r *Reader) read(ctx context.Context, wait time.Duration, observe Observer) (bool, error) {
	page, err := r.client.Read(ctx, tgnode.ConfigStream, r.next, wait)
	if err != nil {
		return false, err
	}
	for _, e := range page.Entries {
		for i, d := range r.state.Apply(e.Offset, e.Records) {
			if observe != nil {
				observe(e.Offset, e.Records[i], d)
			}
		}
		r.next = e.Offset + 1
	}
	return r.next >= page.Next, nil
}
