// Package tgfold keeps the newest value of each key of a log, in the order of the log's offsets.
package tgfold

import (
	"errors"
	"maps"
	"sync"
)

// Record is one write of a key.
type Record struct {
	Key    string `cbor:"1,keyasint"`
	Offset int64  `cbor:"2,keyasint"`
	Value  []byte `cbor:"3,keyasint"` // empty if the key was removed
}

// Table holds the newest record of each key. Records may arrive late, twice or from several sources; the offset
// decides, so a stale source never undoes what a newer one showed. It is safe for concurrent use.
type Table struct {
	end     int64 // every record below it has been taken or was superseded
	mu      sync.Mutex
	records map[string]Record
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[string]Record{}} }

// End returns the offset behind the last record that the table covers.
func (t *Table) End() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end
}

// Apply takes records that follow the log's order up to end and returns those that change the table.
func (t *Table) Apply(records []Record, end int64) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.apply(records)
	t.end = max(t.end, end)
	return changed
}

func (t *Table) apply(records []Record) []Record {
	var changed []Record
	for _, r := range records {
		if old, ok := t.records[r.Key]; ok && !supersedes(r, old) {
			continue
		}
		t.records[r.Key] = r
		changed = append(changed, r)
	}
	return changed
}

// supersedes reports whether a record replaces an older one; a removal replaces the write at its own offset.
func supersedes(r, old Record) bool {
	return r.Offset > old.Offset || r.Offset == old.Offset && len(r.Value) == 0 && len(old.Value) > 0
}

// Replace takes a listing of the newest record of each key as of end and returns the changes, removals of absent keys
// among them. A listing that is older than the table is ignored, since the keys it lacks may be newer than it.
func (t *Table) Replace(records []Record, end int64) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if end < t.end {
		return nil
	}
	changed := t.apply(records)
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	for key, old := range t.records {
		if listed[key] || len(old.Value) == 0 || old.Offset >= end {
			continue
		}
		removal := Record{Key: key, Offset: end - 1}
		t.records[key] = removal
		changed = append(changed, removal)
	}
	t.end = end
	return changed
}

// Records returns all records, removals among them, and the end that they cover.
func (t *Table) Records() (records []Record, end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	records = make([]Record, 0, len(t.records))
	for r := range maps.Values(t.records) {
		records = append(records, r)
	}
	return records, t.end
}

// ErrTrimmed says that the records to read have been deleted; the reader lists the newest ones instead.
var ErrTrimmed = errors.New("records have been deleted")
