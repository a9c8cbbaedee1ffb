package tgfleet

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tanagergrade/core/tglogtable"
	"tanagergrade/core/tgquarantine"
)

const (
	maxSaves          = 16                     // records that are written at the same time
	maxSaveRepeats    = 2                      // of a write that is not answered
	saveCheckInterval = 100 * time.Millisecond // for what is saved late
	saveRepeat        = 150 * time.Millisecond // after which a write is sent once more; the store usually takes some milliseconds
	saveRetryPause    = time.Second            // after a failure
)

// QuarantineSaver writes what this entry has learnt of parts of prompts at crashes to the store, so that it outlives all
// entries. These may be about to end, so no record waits for the answer to another one, and a write without an answer is
// sent again on another connection. What other entries have learnt is written if they have not done so. Writes of a value
// may be repeated and come late; a removal would end what came before it, so it and the values of its key are never written
// at the same time.
type QuarantineSaver struct {
	OnFailed func(err error) // a write failed; it is repeated. Called by several goroutines
	Store    Store
	Table    *tgquarantine.Table
	Topic    string

	ended chan struct{} // capacity 1: a write or a call has ended

	mu      sync.Mutex        // guards the fields below
	calls   map[string]int    // in progress, by key
	writing map[string][]byte // the newest values that are being written, by key; empty for a removal
}

// Run saves parts until ctx ends.
func (s *QuarantineSaver) Run(ctx context.Context) {
	s.calls, s.writing = map[string]int{}, map[string][]byte{}
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
func (s *QuarantineSaver) claimDue() []tglogtable.Record {
	records, err := s.Table.Unsaved(time.Now())
	if err != nil {
		s.OnFailed(err)
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []tglogtable.Record
	for _, r := range records {
		value, isWriting := s.writing[r.Key]
		isSame := isWriting && bytes.Equal(value, r.Value)
		isRemoval := len(r.Value) == 0 || isWriting && len(value) == 0
		if isSame || isRemoval && (isWriting || s.calls[r.Key] > 0) {
			continue
		}
		s.writing[r.Key] = r.Value
		due = append(due, r)
	}
	return due
}

// write writes a record, and pauses if that fails.
func (s *QuarantineSaver) write(ctx context.Context, wg *conc.WaitGroup, r tglogtable.Record) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		defer s.signalEnd()
		if bytes.Equal(s.writing[r.Key], r.Value) {
			delete(s.writing, r.Key)
		}
	}()
	err := s.put(ctx, wg, r)
	if err == nil {
		// The store reports the record only later; until then it would be written again.
		if failed := s.Table.ApplySaved([]tglogtable.Record{r}, time.Now()); len(failed) > 0 {
			err = failed[0]
		}
	}
	if err != nil && ctx.Err() == nil {
		s.OnFailed(err)
		sleep(ctx, saveRetryPause)
	}
}

// put writes a record and repeats that while there is no answer. It returns at the first success, or when all calls have
// failed; others may still be in progress then.
func (s *QuarantineSaver) put(ctx context.Context, wg *conc.WaitGroup, r tglogtable.Record) error {
	repeats := maxSaveRepeats
	if len(r.Value) == 0 {
		repeats = 0
	}
	results := make(chan error, 1+repeats)
	pending := 0
	start := func() {
		pending++
		s.countCall(r.Key, 1)
		wg.Go(func() {
			defer s.countCall(r.Key, -1)
			results <- s.Store.Put(s.Topic, r.Key, r.Value)
		})
	}
	start()
	ticker := time.NewTicker(saveRepeat)
	defer ticker.Stop()
	for {
		select {
		case err := <-results:
			if pending--; err == nil || pending == 0 {
				return err
			}
		case <-ticker.C:
			if repeats > 0 {
				repeats--
				start()
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *QuarantineSaver) countCall(key string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[key] += n; s.calls[key] == 0 {
		delete(s.calls, key)
		s.signalEnd()
	}
}

func (s *QuarantineSaver) signalEnd() {
	select {
	case s.ended <- struct{}{}:
	default:
	}
}
