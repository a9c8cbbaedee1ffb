// Package tgpublisher reads the configuration from the log and publishes changes to it.
package tgpublisher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgnode"
)

// Observer is called for each configuration change that the reader applies, with the decision on it.
type Observer func(offset uint64, r tgrecord.Record, d tgconfig.Decision)

// Reader replays the config stream of the log. If the log has dropped its oldest records, it starts from a snapshot.
type Reader struct {
	assembler tgconfig.SnapshotAssembler
	buffered  []tglogclient.Entry // read while a snapshot is needed
	client    *tglogclient.Client
	first     uint64          // first offset read
	next      uint64          // next offset to read
	state     *tgconfig.State // nil while a snapshot is needed
}

// NewReader returns a reader at the start of the stream.
func NewReader(client *tglogclient.Client) *Reader {
	return &Reader{client: client, state: tgconfig.NewState()}
}

// State returns the state read so far. Call it after ReadAll has succeeded; before that it is nil while a snapshot
// is needed.
func (r *Reader) State() *tgconfig.State { return r.state }

// ReadAll reads the stream up to its end; observe can be nil. The error is a *LogError.
func (r *Reader) ReadAll(ctx context.Context, observe Observer) error {
	for {
		end, err := r.read(ctx, 0, observe)
		if err == nil {
			err = ctx.Err()
		}
		if err == nil && end && r.state == nil {
			err = errors.Newf("log has dropped the records before offset %d and has no snapshot of them", r.first)
		}
		if err != nil {
			return &LogError{Err: err}
		}
		if end {
			return nil
		}
	}
}

// read applies one page of records and reports whether it reached the end of the stream.
func (r *Reader) read(ctx context.Context, wait time.Duration, observe Observer) (bool, error) {
	page, err := r.client.Read(ctx, tgnode.ConfigStream, r.next, wait)
	if errors.Is(err, tglogclient.ErrTruncated) && page.First > r.next {
		r.assembler, r.state, r.buffered = tgconfig.SnapshotAssembler{}, nil, nil
		r.first, r.next = page.First, page.First
		return false, nil
	}
	if err != nil {
		return false, err
	}
	for _, e := range page.Entries {
		r.next = e.Offset + 1
		if r.state != nil {
			r.apply(e, observe)
			continue
		}
		r.buffered = append(r.buffered, e)
		if err := r.startFromSnapshot(e, observe); err != nil {
			return false, err
		}
	}
	return r.next >= page.Next, nil
}

// startFromSnapshot builds the state from the snapshot that e completes, if all records that the snapshot does not
// cover have been read.
func (r *Reader) startFromSnapshot(e tglogclient.Entry, observe Observer) error {
	for _, record := range e.Records {
		snapshot, complete, err := r.assembler.Add(record)
		if err != nil {
			return errors.Wrapf(err, "snapshot at offset %d", e.Offset)
		}
		if !complete || snapshot.Covered < r.first {
			continue
		}
		if r.state, err = tgconfig.NewStateFromSnapshot(snapshot); err != nil {
			return err
		}
		for _, entry := range r.buffered {
			r.apply(entry, observe)
		}
		r.buffered = nil
		return nil
	}
	return nil
}

func (r *Reader) apply(e tglogclient.Entry, observe Observer) {
	decisions := r.state.Apply(e.Offset, e.Records)
	if observe == nil {
		return
	}
	for _, record := range e.Records { // decisions holds one element for each change, in order
		if record.Kind == tgrecord.KindConfigChange && len(decisions) > 0 {
			observe(e.Offset, record, decisions[0])
			decisions = decisions[1:]
		}
	}
}
