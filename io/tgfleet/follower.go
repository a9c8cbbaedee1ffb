// Package tgfleet keeps a daemon's tables of the store's topics up to date, from the store and from the daemon's peers.
package tgfleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgera"
	"tanagergrade/core/tglogtable"
	"tanagergrade/io/tgguard"
)

// Store reads and writes keyed topics.
type Store interface {
	Newest(ctx context.Context, topic string) (records []tglogtable.Record, end tglogtable.Position, err error)
	PutOrdered(topic, key string, value []byte, order tglogtable.WriteOrder) error
	Read(topic string, from tglogtable.Position, wait time.Duration) (
		records []tglogtable.Record, next tglogtable.Position, err error)
}

// Follower keeps a table up to date with the records of a topic.
type Follower struct {
	Apply       func(changed []tglogtable.Record)
	Eras        *tgera.Watch                     // of the store; nil if it has but one
	OnLost      func(err error)                  // the store stopped answering
	OnPanic     func(err error)                  // records could not be applied because of an unexpected fault; the next ones will be
	OnRecovered func()                           // the store answers again; called before Apply
	OnReturned  func(r tglogtable.ListingResult) // a listing has brought the table to a higher era; called before Apply
	OnBehind    func()                           // the store has returned from a copy, and the table is of a former era until OnReturned
	Pause       time.Duration                    // after a read that returned records, so that a busy topic is read in batches
	Spread      func() time.Duration             // time over which the daemons list the topic after a return of the store; nil for none
	Store       Store
	Table       *tglogtable.Table
	Topic       string
	Wait        time.Duration // for which a read waits in the store for the first record
}

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	peerCheck  = 50 * time.Millisecond // between looks whether a peer has brought the table to the present era
)

// outcome is what a call of a follower came to.
type outcome string

const (
	outcomeAbandoned outcome = "abandoned" // the store has returned from a copy
	outcomeApplied   outcome = "applied"   // the table covers what the store has answered
	outcomeStale     outcome = "stale"     // the answer is of another era than the table
	outcomeTrimmed   outcome = "trimmed"   // the store does not have the records any more
)

// step is the result of a call of a follower.
type step struct {
	changed []tglogtable.Record
	found   bool // there were records at the end of the table
	outcome outcome
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	listed, answering := false, false
	backoff, relistPause := minBackoff, minBackoff
	for ctx.Err() == nil {
		if listed && f.awaitListing(ctx) {
			listed = false
		}
		s, err := f.call(ctx, listed, answering)
		if err != nil {
			if answering || backoff == minBackoff {
				f.OnLost(err)
			}
			answering = false
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		switch s.outcome {
		case outcomeAbandoned:
			continue
		case outcomeStale, outcomeTrimmed:
			listed = f.isBehind()   // then awaitListing decides when to list
			sleep(ctx, relistPause) // the next answer may be as old
			relistPause = min(2*relistPause, maxBackoff)
			continue
		case outcomeApplied:
		}
		if listed {
			relistPause = minBackoff
		}
		if !answering {
			f.OnRecovered()
		}
		listed, answering, backoff = true, true, minBackoff
		if err := tgguard.Handle(func() { f.Apply(s.changed) }); err != nil {
			f.OnPanic(err)
		}
		if s.found {
			sleep(ctx, f.Pause)
		}
	}
}

// call makes the next call: a read if the topic was listed, else a listing.
func (f *Follower) call(ctx context.Context, listed, answering bool) (step, error) {
	switch {
	case !listed:
		return f.list(ctx)
	case !answering:
		return f.read(0) // an immediate answer shows that the store is available again
	default:
		return f.read(f.Wait)
	}
}

// awaitListing reports whether the table is of a former era and has to be listed. Before it does, it waits for a random part
// of Spread, or until a peer has brought the table to the present era.
func (f *Follower) awaitListing(ctx context.Context) bool {
	if !f.isBehind() {
		return false
	}
	f.OnBehind()
	end := time.Now().Add(minBackoff)
	if f.Spread != nil {
		end = end.Add(time.Duration(rand.Float64() * float64(f.Spread()))) //nolint:gosec // needs no secrecy
	}
	for f.isBehind() && ctx.Err() == nil {
		left := time.Until(end)
		if left <= 0 {
			return true
		}
		sleep(ctx, min(left, peerCheck))
	}
	return false
}

// isBehind reports whether the table is of a former era of the store.
func (f *Follower) isBehind() bool { return f.Eras != nil && f.Table.End().Era < f.Eras.Era() }

// list replaces the table by the newest record of each key.
func (f *Follower) list(ctx context.Context) (step, error) {
	records, end, err := f.Store.Newest(ctx, f.Topic)
	if err != nil {
		return step{}, err
	}
	if end.Era < f.Table.End().Era {
		return step{outcome: outcomeStale}, nil
	}
	r := f.Table.ApplyListing(records, end)
	if r.OfCopy {
		f.OnReturned(r)
	}
	return step{changed: r.Changed, outcome: outcomeApplied}, nil
}

// read applies the records that follow the end of the table. It gives up a read that waits when the store returns.
func (f *Follower) read(wait time.Duration) (step, error) {
	from := f.Table.End()
	var raised <-chan struct{}
	if f.Eras != nil {
		_, raised = f.Eras.Raised()
		if f.isBehind() {
			return step{outcome: outcomeAbandoned}, nil
		}
	}
	type answer struct {
		records []tglogtable.Record
		next    tglogtable.Position
		err     error
	}
	answered := make(chan answer, 1)
	go func() {
		records, next, err := f.Store.Read(f.Topic, from, wait)
		answered <- answer{records, next, err}
	}()
	select {
	case <-raised:
		return step{outcome: outcomeAbandoned}, nil
	case a := <-answered:
		switch {
		case errors.Is(a.err, tglogtable.ErrTrimmed):
			return step{outcome: outcomeTrimmed}, nil
		case a.err != nil:
			return step{}, a.err
		}
		if a.next.Era != from.Era {
			return step{outcome: outcomeStale}, nil
		}
		s := step{changed: f.Table.Apply(a.records, a.next), found: len(a.records) > 0, outcome: outcomeApplied}
		s.changed = append(s.changed, f.Table.Expire(time.Now())...)
		return s, nil
	}
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
