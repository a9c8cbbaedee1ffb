// Package tgfleet keeps a daemon's tables of the store's topics up to date, from the store and from the daemon's peers.
package tgfleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tglogtable"
	"tanagergrade/io/tgguard"
)

// Store reads and writes keyed topics.
type Store interface {
	Newest(ctx context.Context, topic string) (records []tglogtable.Record, end int64, err error)
	PutOrdered(topic, key string, value []byte, order tglogtable.WriteOrder) error
	Read(topic string, from int64, wait time.Duration) (records []tglogtable.Record, next int64, err error)
}

// Follower keeps a table up to date with the records of a topic.
type Follower struct {
	Apply       func(changed []tglogtable.Record)
	OnLost      func(err error) // the store stopped answering
	OnPanic     func(err error) // records could not be applied because of an unexpected fault; the next ones will be
	OnRecovered func()          // the store answers again; called before Apply
	Pause       time.Duration   // after a read that returned records, so that a busy topic is read in batches
	Store       Store
	Table       *tglogtable.Table
	Topic       string
	Wait        time.Duration // for which a read waits in the store for the first record
}

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	listed, answering := false, false
	backoff := minBackoff
	for ctx.Err() == nil {
		var err error
		var changed []tglogtable.Record
		found := false
		if listed {
			wait := f.Wait
			if !answering {
				wait = 0 // an immediate answer shows that the store is available again
			}
			changed, found, err = f.read(wait)
		} else {
			changed, err = f.list(ctx)
		}
		switch {
		case errors.Is(err, tglogtable.ErrTrimmed):
			listed = false
			continue
		case err != nil:
			if answering || backoff == minBackoff {
				f.OnLost(err)
			}
			answering = false
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if !answering {
			f.OnRecovered()
		}
		listed, answering, backoff = true, true, minBackoff
		if err := tgguard.Handle(func() { f.Apply(changed) }); err != nil {
			f.OnPanic(err)
		}
		if found {
			sleep(ctx, f.Pause)
		}
	}
}

// list replaces the table by the newest record of each key.
func (f *Follower) list(ctx context.Context) ([]tglogtable.Record, error) {
	records, end, err := f.Store.Newest(ctx, f.Topic)
	if err != nil {
		return nil, err
	}
	return f.Table.Replace(records, end), nil
}

// read applies the records that follow the end of the table; found reports whether there were any.
func (f *Follower) read(wait time.Duration) (changed []tglogtable.Record, found bool, err error) {
	records, next, err := f.Store.Read(f.Topic, f.Table.End(), wait)
	if err != nil {
		return nil, false, err
	}
	return f.Table.Apply(records, next), len(records) > 0, nil
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
