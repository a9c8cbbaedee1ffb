// Package tglogtable keeps the newest value of each key of a log, as decided by the log's offsets.
package tglogtable

import (
	"errors"
	"maps"
	"sync"
)

// Record is one write or removal of a key.
type Record struct {
	Key    string `cbor:"1,keyasint"`
	Offset int64  `cbor:"2,keyasint"`
	Value  []byte `cbor:"3,keyasint"` // empty if the key was removed
}

// Table holds the newest record of each key. Records may arrive late, twice or from several sources; the higher offset
// wins, so a stale source never overwrites a newer record. It is safe for concurrent use.
type Table struct {
	end     int64 // every record below this offset was applied or superseded; guarded by mu
	mu      sync.Mutex
	records map[string]Record // by key, removals included; guarded by mu
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[string]Record{}} }

// End returns the offset after the last record that the table covers.
func (t *Table) End() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end
}

// Apply applies records in the log's order up to the offset end and returns those that changed the table.
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

// supersedes reports whether r replaces old. At the same offset, only a removal replaces a write.
func supersedes(r, old Record) bool {
	return r.Offset > old.Offset || r.Offset == old.Offset && len(r.Value) == 0 && len(old.Value) > 0
}

// Replace applies a listing of the newest record of each key as of the offset end and returns the changes, including
// removals of keys that the listing lacks. It ignores a listing that is older than the table, since the keys that it
// lacks may have been written after it.
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

// Records returns all records, removals included, and the offset after the last record that they cover.
func (t *Table) Records() (records []Record, end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	records = make([]Record, 0, len(t.records))
	for r := range maps.Values(t.records) {
		records = append(records, r)
	}
	return records, t.end
}

// WriteOrder is the place of a write among those of one writer. Once the log has carried out a write with a higher epoch, it
// carries out none with a lower one, however late it comes.
type WriteOrder struct {
	Epoch  int64 // higher than those of the writer's earlier writes
	Writer string
}

// ErrOvertaken means that the log has carried out a later write of the same writer.
var ErrOvertaken = errors.New("a later write was carried out")

// ErrTrimmed means that the log has deleted the records to read; the reader lists the newest record of each key instead.
var ErrTrimmed = errors.New("records have been deleted")
