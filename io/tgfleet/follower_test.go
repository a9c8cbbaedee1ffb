package tgfleet

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgera"
	"tanagergrade/core/tglogtable"
)

// eraStore answers each call in an era of its own choice.
type eraStore struct {
	Store

	mu    sync.Mutex // guards the fields below
	calls int
	era   tgera.Era
}

func (s *eraStore) answer() tglogtable.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return tglogtable.Position{Era: s.era, Offset: 5}
}

// Newest implements Store.
func (s *eraStore) Newest(context.Context, string) ([]tglogtable.Record, tglogtable.Position, error) {
	return nil, s.answer(), nil
}

// Read implements Store.
func (s *eraStore) Read(string, tglogtable.Position, time.Duration) ([]tglogtable.Record, tglogtable.Position, error) {
	return nil, s.answer(), nil
}

// Guards against answers of another era than that of the table which count as if the daemon followed the store, or which are
// asked for without a pause: answers come late, and two servers of the store may differ for a while.
func TestStaleAnswers(t *testing.T) {
	for _, known := range []tgera.Era{3, 5} { // which the daemon knows from other calls
		synctest.Test(t, func(t *testing.T) {
			store := &eraStore{era: 4}
			eras := tgera.NewWatch(func(tgera.Rise) {})
			eras.Observe(known, time.Now())
			table := tglogtable.NewTable()
			table.Replace(nil, tglogtable.Position{Era: 5, Offset: 9}) // a peer's
			applied := 0
			f := &Follower{
				Apply: func([]tglogtable.Record) { applied++ }, Eras: eras, OnLost: func(error) {}, OnRecovered: func() {},
				OnReturned: func(tglogtable.ListingResult) {}, OnBehind: func() {}, Store: store, Table: table, Topic: "topic",
			}
			ctx, stop := context.WithCancel(t.Context())
			go f.Run(ctx)
			time.Sleep(4 * time.Second)
			stop()
			synctest.Wait()
			assert.Equal(t, applied, 0)
			assert.Equal(t, table.End(), tglogtable.Position{Era: 5, Offset: 9})
			assert.Assert(t, store.calls < 20, "%d calls", store.calls)
		})
	}
}
