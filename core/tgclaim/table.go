package tgclaim

import (
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"tanagergrade/core/tgrecord"
)

const (
	maxCachedBytes = 8 << 20 // bytes of the bodies of recent results; older results are read from the log again
	trimInterval   = time.Minute
)

// Entry is the state of a key according to the log.
type Entry struct {
	Claim        Claim
	ID           uuid.UUID // of the claim
	Recorded     bool      // the holder has recorded the answer
	Result       *Result   // nil if not Recorded or not cached
	ResultOffset uint64    // offset of the result's append, if Recorded
}

// Table holds the claims that result from one claims stream. The first claim of a key that is not released wins.
type Table struct {
	mu            sync.Mutex
	applied       uint64                  // offset after the last append applied; never decreases
	appliedClaims map[uuid.UUID]time.Time // key times of claims applied, whether they won or not
	cachedBytes   int                     // of the bodies of cached results
	cachedKeys    []Key                   // keys of cached results, oldest first; keys of evicted entries may remain
	changed       chan struct{}           // closed and replaced after each append
	completeFrom  time.Time               // claims appended before it may not be known
	entries       map[Key]*Entry
	gapPending    bool                    // records before the next append are not known
	released      map[uuid.UUID]time.Time // released claims, also those whose claim record comes later
	trimmedAt     time.Time
	window        time.Duration // age at which keys are refused; entries are evicted 2*MaxClockSkew later
}

// NewTable returns an empty table that accepts keys up to the age of window.
func NewTable(window time.Duration) *Table {
	return &Table{
		appliedClaims: map[uuid.UUID]time.Time{},
		changed:       make(chan struct{}),
		entries:       map[Key]*Entry{},
		released:      map[uuid.UUID]time.Time{},
		window:        window,
	}
}

// Applied returns the offset after the last append applied.
func (t *Table) Applied() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applied
}

// Len returns the number of keys known.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// RecordGap records that the log dropped records before the next append that had not been applied yet.
func (t *Table) RecordGap() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gapPending = true
}

// HasCompleteHistory reports whether all claims of a key made at keyTime are still known. A claim is made after its key,
// whose time is from a clock that may be ahead by MaxClockSkew.
func (t *Table) HasCompleteHistory(keyTime, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(keyTime) < t.window && keyTime.Add(-MaxClockSkew).After(t.completeFrom)
}

// Apply applies the records of one append, which the log service accepted at the given time; an append that was applied
// before is ignored.
func (t *Table) Apply(offset uint64, at time.Time, records []tgrecord.Record) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if offset < t.applied {
		return nil
	}
	t.applied = offset + 1
	if t.gapPending && at.After(t.completeFrom) {
		t.completeFrom = at
	}
	t.gapPending = false
	var err error
	for _, r := range records {
		err = errors.CombineErrors(err, t.applyRecord(offset, r))
	}
	t.trim(at)
	close(t.changed)
	t.changed = make(chan struct{})
	return err
}

func (t *Table) applyRecord(offset uint64, r tgrecord.Record) error {
	switch r.Kind {
	case tgrecord.KindClaim:
		return applyBody(r, func(c Claim) { t.applyClaim(r.ID, c) })
	case tgrecord.KindClaimRelease:
		return applyBody(r, t.applyRelease)
	case tgrecord.KindClaimResult:
		return applyBody(r, func(c Result) { t.applyResult(offset, c) })
	default:
		return nil
	}
}

func applyBody[T any](r tgrecord.Record, apply func(T)) error {
	body, err := tgrecord.Decode[T](r)
	if err != nil {
		return err
	}
	apply(body)
	return nil
}

func (t *Table) applyClaim(id uuid.UUID, c Claim) {
	if _, ok := t.appliedClaims[id]; ok {
		return
	}
	t.appliedClaims[id] = c.KeyTime
	if _, ok := t.released[id]; ok {
		return
	}
	if _, ok := t.entries[c.Key]; !ok {
		t.entries[c.Key] = &Entry{Claim: c, ID: id}
	}
}

func (t *Table) applyRelease(c Release) {
	t.released[c.Claim] = uuidTime(c.Claim)
	if e, ok := t.entries[c.Key]; ok && e.ID == c.Claim && !e.Recorded {
		delete(t.entries, c.Key)
	}
}

func (t *Table) applyResult(offset uint64, c Result) {
	e, ok := t.entries[c.Key]
	if !ok || e.ID != c.Claim || e.Recorded {
		return
	}
	e.Recorded, e.Result, e.ResultOffset = true, &c, offset
	t.cachedKeys = append(t.cachedKeys, c.Key)
	t.cachedBytes += len(c.Body)
	for t.cachedBytes > maxCachedBytes {
		oldest := t.entries[t.cachedKeys[0]]
		t.cachedKeys = t.cachedKeys[1:]
		if oldest != nil && oldest.Result != nil {
			t.cachedBytes -= len(oldest.Result.Body)
			oldest.Result = nil
		}
	}
}

// trim evicts entries and claims whose keys are too old to be accepted, at most once per trimInterval.
func (t *Table) trim(now time.Time) {
	if now.Sub(t.trimmedAt) < trimInterval {
		return
	}
	t.trimmedAt = now
	expired := func(at time.Time) bool { return now.Sub(at) > t.window+2*MaxClockSkew }
	maps.DeleteFunc(t.entries, func(_ Key, e *Entry) bool {
		if !expired(e.Claim.KeyTime) {
			return false
		}
		if e.Result != nil {
			t.cachedBytes -= len(e.Result.Body)
			e.Result = nil
		}
		return true
	})
	maps.DeleteFunc(t.released, func(_ uuid.UUID, at time.Time) bool { return expired(at) })
	maps.DeleteFunc(t.appliedClaims, func(_ uuid.UUID, at time.Time) bool { return expired(at) })
}

// Lookup returns the entry of key, whether the claim id was applied, and a channel closed after the next append.
func (t *Table) Lookup(key Key, id uuid.UUID) (entry Entry, applied bool, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		entry = *e
	}
	_, applied = t.appliedClaims[id]
	return entry, applied, t.changed
}
