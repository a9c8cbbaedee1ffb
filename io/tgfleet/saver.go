package tgfleet

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"tanagergrade/core/tglogtable"
	"tanagergrade/core/tgquarantine"
)

const (
	maxSaves          = 16                     // records that are written at the same time
	maxSaveRepeat     = maxBackoff             // longest time between two calls of a write: as for reads, the store may be back
	minSaveRepeat     = 150 * time.Millisecond // shortest such time; the store usually takes some milliseconds
	saveCheckInterval = 100 * time.Millisecond // for what is saved late
	saveRetryPause    = time.Second            // after the store has taken a record that can't be applied
)

// QuarantineSaver writes what this entry has learnt of parts of prompts at crashes to the store, so that it outlives all
// entries. These may be about to end, so no record waits for the answer to another one, and a write without an answer is
// sent again on another connection. What other entries have learnt is written if they have not done so. Calls may be carried
// out late, but no call of an earlier value or removal of a key after one of a later.
type QuarantineSaver struct {
	OnFailed func(err error)                                  // a call failed; the write goes on. Called by several goroutines
	OnSaved  func(r tglogtable.Record, elapsed time.Duration) // the store has a value or removal; like OnFailed
	Store    Store
	Table    *tgquarantine.Table
	Topic    string
	Writer   string // differs from that of all other savers, those of former processes included

	ended chan struct{} // capacity 1: a write has ended
	epoch int64         // of the last write; used by Run only

	mu      sync.Mutex        // guards writing
	writing map[string][]byte // the newest values that are being written, by key; empty for a removal
}

// orderedRecord is a record with its place among the writes of its key.
type orderedRecord struct {
	tglogtable.Record

	order tglogtable.WriteOrder
}

// Run saves parts until ctx ends.
func (s *QuarantineSaver) Run(ctx context.Context) {
	s.writing = map[string][]byte{}
	var wg conc.WaitGroup
	defer wg.Wait()
	s.ended = make(chan struct{}, 1)
	slots := make(chan struct{}, maxSaves)
	ticker := time.NewTicker(saveCheckInterval)
	defer ticker.Stop()
	var checkEnd time.Time // until then, what is saved late becomes due
	changed := s.Table.Watch()
	for ctx.Err() == nil {
		tick := ticker.C
		if time.Now().After(checkEnd) {
			tick = nil
		}
		for _, r := range s.claimDue() {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				s.write(ctx, &wg, r)
			})
		}
		select {
		case <-ctx.Done():
		case <-changed:
			changed = s.Table.Watch()
			checkEnd = time.Now().Add(tgquarantine.MaxSaveDelay + 2*saveCheckInterval)
		case <-tick:
		case <-s.ended:
		}
	}
}

// claimDue returns the records that are to be written now and marks them as being written.
func (s *QuarantineSaver) claimDue() []orderedRecord {
	records, err := s.Table.Unsaved(time.Now())
	if err != nil {
		s.OnFailed(err)
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []orderedRecord
	for _, r := range records {
		if value, isWriting := s.writing[r.Key]; isWriting && bytes.Equal(value, r.Value) {
			continue
		}
		s.writing[r.Key] = r.Value
		s.epoch++
		due = append(due, orderedRecord{Record: r, order: tglogtable.WriteOrder{Epoch: s.epoch, Writer: s.Writer + "/" + r.Key}})
	}
	return due
}

// isNewest reports whether no later value of the key of a record is being written.
func (s *QuarantineSaver) isNewest(r tglogtable.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Equal(s.writing[r.Key], r.Value)
}

// write writes a record until the store has it or a later value of its key is to be written.
func (s *QuarantineSaver) write(ctx context.Context, wg *conc.WaitGroup, r orderedRecord) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if bytes.Equal(s.writing[r.Key], r.Value) {
			delete(s.writing, r.Key)
		}
		select {
		case s.ended <- struct{}{}:
		default:
		}
	}()
	begin := time.Now()
	if !s.put(ctx, wg, r) {
		return
	}
	s.OnSaved(r.Record, time.Since(begin))
	// The store reports the record only later; until then it would be written again.
	if failed := s.Table.ApplySaved([]tglogtable.Record{r.Record}, time.Now()); len(failed) > 0 {
		s.OnFailed(failed[0])
		sleep(ctx, saveRetryPause)
	}
}

// put writes a record and repeats that on other connections while no call succeeds. It reports whether one did; if not, a
// later value of the key is to be written or ctx has ended. Other calls may still be in progress then.
func (s *QuarantineSaver) put(ctx context.Context, wg *conc.WaitGroup, r orderedRecord) bool {
	ended := make(chan struct{})
	defer close(ended)
	results := make(chan error)
	start := func() {
		wg.Go(func() {
			err := s.Store.PutOrdered(s.Topic, r.Key, r.Value, r.order)
			select {
			case results <- err:
			case <-ended:
			}
		})
	}
	start()
	pause := minSaveRepeat
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case err := <-results:
			switch {
			case err == nil:
				return true
			case errors.Is(err, tglogtable.ErrOvertaken):
				return false
			}
			s.OnFailed(err)
		case <-timer.C:
			if !s.isNewest(r.Record) {
				return false
			}
			start()
			pause = min(2*pause, maxSaveRepeat)
			timer.Reset(pause)
		case <-ctx.Done():
			return false
		}
	}
}
