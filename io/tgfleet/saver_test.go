package tgfleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tglogtable"
	"tanagergrade/core/tgquarantine"
)

// slowStore is a store that answers the first calls only after a while.
type slowStore struct {
	Store
	mu     sync.Mutex
	epochs map[string]int64    // highest of the calls that were carried out, by writer
	values []tglogtable.Record // in the order in which the store carried the calls out
	lost   int                 // calls whose answers are lost
	late   bool                // lost calls are carried out only when the answer is given up
	silent time.Duration       // from the first call on, calls are neither answered nor carried out

	begun time.Time // of the first call
}

const (
	answerTime  = 4 * time.Millisecond
	callTimeout = 1500 * time.Millisecond
)

// PutOrdered implements Store.
func (s *slowStore) PutOrdered(_, key string, value []byte, order tglogtable.WriteOrder) error {
	s.mu.Lock()
	if s.begun.IsZero() {
		s.begun = time.Now()
	}
	silent := time.Since(s.begun) < s.silent
	lost := s.lost > 0
	s.lost--
	s.mu.Unlock()
	if silent {
		time.Sleep(callTimeout)
		return errors.New("no answer")
	}
	wait := answerTime
	if lost && s.late {
		wait = callTimeout
	}
	time.Sleep(wait)
	if err := s.carryOut(key, value, order); err != nil || !lost {
		return err
	}
	time.Sleep(callTimeout - wait)
	return errors.New("no answer")
}

// carryOut appends a record unless it repeats the last one of its writer or comes after a later one.
func (s *slowStore) carryOut(key string, value []byte, order tglogtable.WriteOrder) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epochs == nil {
		s.epochs = map[string]int64{}
	}
	switch last := s.epochs[order.Writer]; {
	case order.Epoch < last:
		return tglogtable.ErrOvertaken
	case order.Epoch > last:
		s.epochs[order.Writer] = order.Epoch
		s.values = append(s.values, tglogtable.Record{Key: key, Value: value})
	}
	return nil
}

// newest returns the newest values of all keys that were not removed.
func (s *slowStore) newest() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string][]byte{}
	for _, r := range s.values {
		newest[r.Key] = r.Value
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	return newest
}

// save runs a saver of a table for the time of a function.
func save(t *testing.T, store *slowStore, f func(t *testing.T, table *tgquarantine.Table)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		table := tgquarantine.NewTable("vm")
		saver := &QuarantineSaver{OnFailed: func(error) {}, OnSaved: func(tglogtable.Record, time.Duration) {}, Store: store, Table: table, Topic: "topic"}
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { saver.Run(ctx) })
		f(t, table)
		stop()
		wg.Wait()
	})
}

// Guards against crashes that are forgotten when all entries end soon after them, because the store has lost the answer to
// an earlier write, or has not carried it out yet.
func TestSaveAfterLostAnswer(t *testing.T) {
	for name, store := range map[string]*slowStore{"carriedOut": {lost: 1}, "late": {late: true, lost: 1}, "twoLate": {late: true, lost: 2}} {
		t.Run(name, func(t *testing.T) {
			save(t, store, func(t *testing.T, table *tgquarantine.Table) {
				t.Helper()
				table.RecordCrash("u1", []string{"dead"}, tgquarantine.ProgressNone, time.Now())
				time.Sleep(100 * time.Millisecond)
				table.RecordCrash("u2", []string{"dead", "a"}, tgquarantine.ProgressNone, time.Now())
				time.Sleep(400 * time.Millisecond)
				after := tgquarantine.NewTable("vm")
				for key, value := range store.newest() {
					assert.Equal(t, len(after.ApplySaved([]tglogtable.Record{{Key: key, Value: value}}, time.Now())), 0)
				}
				assert.Equal(t, after.Decide([]string{"dead"}, time.Now()).Verdict, tgquarantine.VerdictRefuse)
			})
		})
	}
}

// Guards against crashes that are forgotten when all entries end some time after the store is back: calls that it has not
// answered kept the write from being tried again, or it was tried only once a second after a longer outage (soak 700020).
func TestSaveSoonAfterStoreIsBack(t *testing.T) {
	const soon = 500 * time.Millisecond
	for _, silent := range []time.Duration{800 * time.Millisecond, 2100 * time.Millisecond, 10 * time.Second} {
		store := &slowStore{silent: silent}
		save(t, store, func(t *testing.T, table *tgquarantine.Table) {
			t.Helper()
			table.RecordCrash("u1", []string{"dead"}, tgquarantine.ProgressNone, time.Now())
			time.Sleep(silent + soon)
			assert.Equal(t, len(store.newest()), 1, "after %v", silent)
			time.Sleep(5 * time.Second)
			assert.Equal(t, len(store.values), 1, "it is not written again")
		})
	}
}

// Guards against crashes that are forgotten when all entries end, because a call that the store carries out late puts an
// earlier value in the place of a later one.
func TestLateWriteOfEarlierValue(t *testing.T) {
	store := &slowStore{late: true, lost: 1}
	save(t, store, func(t *testing.T, table *tgquarantine.Table) {
		t.Helper()
		for i := range 2 {
			table.RecordCrash(fmt.Sprintf("u%d", i), []string{"dead"}, tgquarantine.ProgressNone, time.Now())
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * callTimeout) // the first call has been carried out
		record, err := tgquarantine.DecodeRecord(tglogtable.Record{Key: "dead", Value: store.newest()["dead"]})
		assert.NilError(t, err)
		assert.Equal(t, len(record.CrashIDs), 2)
	})
}

// Guards against crashes that are forgotten when all entries end some time after them, because the entry that had the
// requests was cut off from the store.
func TestSaveWhatPeersObserved(t *testing.T) {
	store := &slowStore{}
	save(t, store, func(t *testing.T, table *tgquarantine.Table) {
		t.Helper()
		peer := tgquarantine.NewTable("peer")
		for i := range 2 {
			peer.RecordCrash(fmt.Sprintf("u%d", i), []string{"dead"}, tgquarantine.ProgressNone, time.Now())
			table.Merge(peer.Notice(time.Now()), time.Now())
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, len(store.newest()), 0, "left to the peer")
		}
		time.Sleep(900 * time.Millisecond)
		after := tgquarantine.NewTable("vm")
		for key, value := range store.newest() {
			assert.Equal(t, len(after.ApplySaved([]tglogtable.Record{{Key: key, Value: value}}, time.Now())), 0)
		}
		assert.Equal(t, after.Decide([]string{"dead"}, time.Now()).Verdict, tgquarantine.VerdictRefuse)
		written := len(store.values)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(store.values), written, "it is not written again")
	})
}

// Guards against a write that the store carries out late, so that it brings back a part that was cleared meanwhile, or
// removes one that has crashed an upstream again.
func TestLateWrites(t *testing.T) {
	for _, again := range []bool{false, true} {
		t.Run(fmt.Sprintf("again=%t", again), func(t *testing.T) {
			store := &slowStore{late: true, lost: 2}
			save(t, store, func(t *testing.T, table *tgquarantine.Table) {
				t.Helper()
				dead := []string{"dead"}
				table.RecordCrash("u1", dead, tgquarantine.ProgressNone, time.Now())
				time.Sleep(200 * time.Millisecond)
				table.Answered(dead, time.Now())
				time.Sleep(2 * time.Second)
				for i := 0; again && i < 2; i++ { // it has known answers now
					table.RecordCrash(fmt.Sprintf("again%d", i), dead, tgquarantine.ProgressNone, time.Now())
					time.Sleep(time.Second)
				}
				time.Sleep(2 * time.Second)
				_, isSaved := store.newest()["dead"]
				assert.Equal(t, isSaved, again)
			})
		})
	}
}
