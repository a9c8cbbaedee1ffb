package tglogclient_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tglogclient"
)

// countingLog counts appends and records, and delays the appends to one stream until they time out.
type countingLog struct {
	tglogclient.Log
	appends, records atomic.Int64
	slow             string // stream whose appends take a minute
}

func (l *countingLog) Append(ctx context.Context, stream string, records []tgrecord.Record) (uint64, error) {
	if stream == l.slow {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(time.Minute):
		}
	}
	l.appends.Add(1)
	l.records.Add(int64(len(records)))
	return uint64(l.appends.Load()), nil
}

// Guards against more than one append per interval, against lost records, and against a first record that waits for the
// interval to end.
func TestBatcherGroupsAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &countingLog{}
		b := tglogclient.NewBatcher(log, 100*time.Millisecond, 2*time.Second)
		started := time.Now()
		_, err := b.Append(t.Context(), "s", make([]tgrecord.Record, 1))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(started), time.Duration(0))
		var wg sync.WaitGroup
		for i := range 1000 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				_, err := b.Append(context.Background(), "s", make([]tgrecord.Record, 2))
				assert.Check(t, err == nil)
			})
		}
		wg.Wait()
		b.Wait()
		assert.Equal(t, log.records.Load(), int64(2001))
		assert.Assert(t, log.appends.Load() <= 12, "%d appends in a second", log.appends.Load())
	})
}

// Guards against a stream whose slow appends delay another stream, and against an unbounded queue.
func TestBatcherIsolatesStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &countingLog{slow: "slow"}
		b := tglogclient.NewBatcher(log, 100*time.Millisecond, 2*time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := b.Append(ctx, "slow", make([]tgrecord.Record, 1))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		_, err = b.Append(t.Context(), "fast", make([]tgrecord.Record, 1))
		assert.NilError(t, err)
		refused := 0
		for range 10_000 {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			if _, err := b.Append(ctx, "slow", make([]tgrecord.Record, 1)); err == tglogclient.ErrBacklogFull { //nolint:errorlint // it is returned as it is
				refused++
			}
		}
		assert.Assert(t, refused > 5000, "%d of 10,000 were refused", refused)
		b.Wait()
	})
}
