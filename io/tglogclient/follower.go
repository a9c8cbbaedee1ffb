package tglogclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tanagergrade/core/tgsleep"
)

const (
	pollTimeout = time.Second // wait of a long poll; short, so that an outage is noticed within seconds
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 2 * time.Second
)

// Gap is a range of offsets that a follower could not read because the log no longer retains them.
type Gap struct {
	From uint64 // first offset that was not read
	To   uint64 // first retained offset
}

// FollowerStatus is the progress of a follower.
type FollowerStatus struct {
	Confirmed time.Time `json:"confirmed"`       // start of the last read that reached the end of the stream
	Error     string    `json:"error,omitempty"` // of the last read; empty if it succeeded
	Gaps      int       `json:"gaps"`            // number of gaps so far
	Next      uint64    `json:"next"`            // offset of the next entry to apply
}

// Follower passes each entry of a stream to a function, in order and without gaps except those that it reports.
type Follower struct {
	apply  func(Entry) error
	onGap  func(Gap)
	log    Log
	logger *logrus.Entry
	mu     sync.Mutex
	status FollowerStatus // guarded by mu; Next never decreases
	stream string
}

// FollowerOption configures a new follower.
type FollowerOption func(*Follower)

// WithGapHandler sets a function that is called for each gap, before the entries after it are applied.
func WithGapHandler(gap func(Gap)) FollowerOption { return func(f *Follower) { f.onGap = gap } }

// WithStartOffset sets the first offset to read.
func WithStartOffset(next uint64) FollowerOption { return func(f *Follower) { f.status.Next = next } }

// NewFollower returns a follower that reads stream from offset 0 unless WithStartOffset is given, and calls apply for each
// entry. An error of apply is logged and the entry is skipped.
func NewFollower(
	log Log, stream string, logger *logrus.Entry, apply func(Entry) error, options ...FollowerOption,
) *Follower {
	f := &Follower{
		apply: apply, onGap: func(Gap) {}, log: log, logger: logger.WithField("stream", stream), stream: stream,
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Status returns the progress of the follower.
func (f *Follower) Status() FollowerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// Run follows the stream until ctx ends. After a failed read it waits with exponential backoff and jitter.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err != nil {
			f.recordResult(err)
			tgsleep.Sleep(ctx, backoff/2+rand.N(backoff/2)) //nolint:gosec // jitter is no secret
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		f.recordResult(nil)
		backoff = minBackoff
	}
}

// readOnce does one read and applies its entries.
func (f *Follower) readOnce(ctx context.Context) error {
	next := f.Status().Next
	started := time.Now()
	page, err := f.log.Read(ctx, f.stream, next, pollTimeout)
	if errors.Is(err, ErrTruncated) && page.First > next {
		f.logger.WithFields(logrus.Fields{"first": page.First, "next": next}).
			Warn("log entries were deleted before they were read; skipping them")
		f.onGap(Gap{From: next, To: page.First})
		f.advance(page.First, true)
		return nil
	}
	if err != nil {
		return err
	}
	for _, e := range page.Entries {
		if e.Offset < next {
			continue
		}
		if err := f.apply(e); err != nil {
			f.logger.WithError(err).WithField("offset", e.Offset).Error("log entry cannot be applied; skipping it")
		}
		next = e.Offset + 1
		f.advance(next, false)
	}
	if next >= page.Next {
		f.mu.Lock()
		f.status.Confirmed = started
		f.mu.Unlock()
	}
	return nil
}

// advance sets the next offset to read, and counts a gap if gap is true.
func (f *Follower) advance(next uint64, gap bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.Next = next
	if gap {
		f.status.Gaps++
	}
}

// recordResult records the result of a read, and logs when reads begin to fail and when they succeed again.
func (f *Follower) recordResult(err error) {
	f.mu.Lock()
	failing := f.status.Error != ""
	f.status.Error = ""
	if err != nil {
		f.status.Error = err.Error()
	}
	f.mu.Unlock()
	switch {
	case err != nil && !failing:
		f.logger.WithError(err).Warn("reading the log failed; retrying")
	case err == nil && failing:
		f.logger.Info("reading the log succeeded again")
	}
}
