// Package tglogtable keeps the newest value of each key of a log, as decided by the log's positions. The log may return from
// an older copy of itself: then it gives out offsets again, in a new era.
package tglogtable

import (
	"bytes"
	"errors"
	"maps"
	"sync"
	"time"

	"tanagergrade/core/tgera"
)

// Record is one write or removal of a key.
type Record struct {
	Key    string `cbor:"1,keyasint"`
	Offset int64  `cbor:"2,keyasint"`
	Value  []byte `cbor:"3,keyasint"` // empty if the key was removed
}

// Position is a place in a log.
type Position struct {
	Era    tgera.Era `cbor:"1,keyasint"`
	Offset int64     `cbor:"2,keyasint"`
}

// Before reports whether p comes before q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Offset < q.Offset
}

// Table holds the newest record of each key. Records may arrive late, twice or from several sources; the higher position
// wins, so a stale source never overwrites a newer record. After a return of the log from an older copy, the table also holds
// what the log has lost, see ApplyListing. It is safe for concurrent use.
type Table struct {
	compare   Compare
	keepFor   time.Duration // for which a key is kept that the log has lost; negative: until it is written again
	keepsPast bool          // past has all replaced records, not only those that were removed

	mu       sync.Mutex
	compared bool              // the table was compared with the copy that the present era began with; guarded by mu
	end      Position          // every record before it was applied or superseded; guarded by mu
	kept     map[string]kept   // what the log has lost, by key; takes precedence over records; guarded by mu
	past     []pastRecord      // replaced in the last pastTime, oldest first; guarded by mu
	records  map[string]Record // of the log in the era of end, by key, removals included; guarded by mu
}

// Option configures a table.
type Option func(*Table)

// WithCompare sets how values tell which one is newer where offsets do not.
func WithCompare(c Compare) Option { return func(t *Table) { t.compare = c } }

// WithKeepFor sets for how long a key that the log has lost is kept; by default it is removed at once, unless the copy has it
// in an older form. A negative time keeps it until it is written again.
func WithKeepFor(d time.Duration) Option { return func(t *Table) { t.keepFor = d } }

// WithPast makes the table remember all records that were replaced lately, and not only the removed ones.
func WithPast() Option { return func(t *Table) { t.keepsPast = true } }

// NewTable returns an empty table.
func NewTable(options ...Option) *Table {
	t := &Table{kept: map[string]kept{}, records: map[string]Record{}}
	for _, o := range options {
		o(t)
	}
	return t
}

// End returns the position after the last record that the table covers.
func (t *Table) End() Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end
}

// Apply applies records in the log's order up to the position end and returns those that changed the table. Records of
// another era than that of the table are ignored: a listing has to come before them.
func (t *Table) Apply(records []Record, end Position) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if end.Era != t.end.Era && t.end != (Position{}) {
		return nil
	}
	changed := t.apply(records)
	if t.end.Before(end) {
		t.end = end
	}
	return changed
}

func (t *Table) apply(records []Record) []Record {
	var changed []Record
	for _, r := range records {
		if old, ok := t.records[r.Key]; ok && !supersedes(r, old) {
			continue
		}
		if t.set(r) {
			changed = append(changed, r)
		}
	}
	return changed
}

// supersedes reports whether r replaces old. At the same offset, only a removal replaces a write.
func supersedes(r, old Record) bool {
	return r.Offset > old.Offset || r.Offset == old.Offset && len(r.Value) == 0 && len(old.Value) > 0
}

// set makes r the record of its key in the log and reports whether the table holds it now: it may keep another one that the
// log has lost.
func (t *Table) set(r Record) bool {
	if old, ok := t.records[r.Key]; ok {
		t.remember(old, len(r.Value) == 0)
	}
	t.records[r.Key] = r
	k, isKept := t.kept[r.Key]
	if isKept && (r.Offset < k.end || t.isOlder(r, k.record)) {
		return false
	}
	delete(t.kept, r.Key)
	return true
}

// Replace applies a listing of the newest record of each key as of the position end and returns the changes, including
// removals of keys that the listing lacks. It ignores a listing that is older than the table, since the keys that it
// lacks may have been written after it. One of a higher era is of a copy: see ApplyListing.
func (t *Table) Replace(records []Record, end Position) []Record {
	return t.ApplyListing(records, end).Changed
}

// replace applies a listing of the table's era.
func (t *Table) replace(records []Record, end Position) []Record {
	changed := t.apply(records)
	listed := keySet(records)
	for key, old := range t.records {
		if listed[key] || len(old.Value) == 0 || old.Offset >= end.Offset {
			continue
		}
		if removal := (Record{Key: key, Offset: end.Offset - 1}); t.set(removal) {
			changed = append(changed, removal)
		}
	}
	t.end = end
	return changed
}

func keySet(records []Record) map[string]bool {
	keys := make(map[string]bool, len(records))
	for _, r := range records {
		keys[r.Key] = true
	}
	return keys
}

// Records returns all records of the log, removals included, and the position after the last one that they cover.
func (t *Table) Records() (records []Record, end Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	records = make([]Record, 0, len(t.records))
	for r := range maps.Values(t.records) {
		records = append(records, r)
	}
	return records, t.end
}

func (r Record) equal(o Record) bool { return r.Offset == o.Offset && bytes.Equal(r.Value, o.Value) }

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
