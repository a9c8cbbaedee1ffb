// Package tgclaim folds the claims of non-idempotent requests from the log.
package tgclaim

import (
	"crypto/sha256"
	"sync"

	"github.com/google/uuid"

	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgrecord"
)

// Key identifies a non-idempotent request across its repeats.
type Key [sha256.Size]byte

// NewKey returns the key of an account's idempotency key in a pool.
func NewKey(account, pool, idempotencyKey string) Key {
	return sha256.Sum256([]byte(account + "\x00" + pool + "\x00" + idempotencyKey))
}

// Claim is the body of a claim record; the record's ID is the claim's ID.
type Claim struct {
	Digest      [sha256.Size]byte `cbor:"digest"` // of method, path and body
	Holder      string            `cbor:"holder"`
	Incarnation uuid.UUID         `cbor:"incarnation"`
	Key         Key               `cbor:"key"`
}

// Release is the body of a release record: the claim led to no run.
type Release struct {
	Claim uuid.UUID `cbor:"claim"`
	Key   Key       `cbor:"key"`
}

// Result is the body of a result record.
type Result struct {
	Body  []byte       `cbor:"body"`
	Claim uuid.UUID    `cbor:"claim"`
	Head  tgframe.Head `cbor:"head"`
	Key   Key          `cbor:"key"`
}

// Entry is what the log says about a key.
type Entry struct {
	Claim  Claim
	ID     uuid.UUID
	Result *Result // nil until the holder has recorded the answer
}

// Table is the fold of a claims stream.
type Table struct {
	mu       sync.Mutex
	applied  uint64        // offset after the last append folded
	changed  chan struct{} // closed and replaced after each fold
	entries  map[Key]*Entry
	released map[uuid.UUID]bool
	seen     map[uuid.UUID]bool // IDs of folded claims, accepted or not
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		changed:  make(chan struct{}),
		entries:  map[Key]*Entry{},
		released: map[uuid.UUID]bool{},
		seen:     map[uuid.UUID]bool{},
	}
}

// Apply folds the records of one append.
func (t *Table) Apply(offset uint64, records []tgrecord.Record) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if offset < t.applied {
		return nil
	}
	t.applied = offset + 1
	defer func() {
		close(t.changed)
		t.changed = make(chan struct{})
	}()
	for _, r := range records {
		if err := t.applyRecord(r); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table) applyRecord(r tgrecord.Record) error {
	switch r.Kind {
	case tgrecord.KindClaim:
		return applyBody(r, func(c Claim) { t.applyClaim(r.ID, c) })
	case tgrecord.KindClaimRelease:
		return applyBody(r, t.applyRelease)
	case tgrecord.KindClaimResult:
		return applyBody(r, t.applyResult)
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
	if t.seen[id] {
		return
	}
	t.seen[id] = true
	if _, ok := t.entries[c.Key]; !ok && !t.released[id] {
		t.entries[c.Key] = &Entry{Claim: c, ID: id}
	}
}

func (t *Table) applyRelease(c Release) {
	t.released[c.Claim] = true
	if e, ok := t.entries[c.Key]; ok && e.ID == c.Claim && e.Result == nil {
		delete(t.entries, c.Key)
	}
}

func (t *Table) applyResult(c Result) {
	if e, ok := t.entries[c.Key]; ok && e.ID == c.Claim && e.Result == nil {
		e.Result = &c
	}
}

// Applied returns the offset after the last append folded.
func (t *Table) Applied() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applied
}

// Lookup returns the entry of key, whether claim id was folded, and a channel closed at the next fold.
func (t *Table) Lookup(key Key, id uuid.UUID) (Entry, bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var e Entry
	if p := t.entries[key]; p != nil {
		e = *p
	}
	return e, t.seen[id], t.changed
}
