package tglogtable

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// Compare tells which of two values of a key is newer, by what they say of themselves: the result is positive if b is newer
// than a, negative if it is older, and 0 if they are of the same age. known is false if they do not say.
type Compare func(key string, a, b []byte) (order int, known bool)

// pastTime is for how long replaced records are remembered. A copy to which the log returns is some seconds old.
const pastTime = time.Minute

// pastRecord is a record of the log that another one has replaced.
type pastRecord struct {
	Record

	gone  bool // the log has lost it
	until time.Time
}

// kept is a record that the log has lost, or a removal.
type kept struct {
	end    int64 // of the listing that lacked it: what stands there or above was written after the return
	record Record
	until  time.Time // zero: until the key is written again
}

// remember notes that a record of the log is replaced.
func (t *Table) remember(old Record, removed bool) {
	now := time.Now()
	for len(t.past) > 0 && !now.Before(t.past[0].until) {
		t.past[0] = pastRecord{} // lets go of its value
		t.past = t.past[1:]
	}
	if t.keepsPast || removed && len(old.Value) > 0 {
		t.past = append(t.past, pastRecord{Record: old, until: now.Add(pastTime)})
	}
}

// ListingResult is what a listing has done to a table.
type ListingResult struct {
	Changed []Record // of the table, removals included
	End     Position // of the listing
	Former  Position // end of the table before
	Lost    []Record // what the table keeps in spite of the listing
	OfCopy  bool     // the listing was the first one of a higher era than that of the table
	Removed int      // removals among Changed, of keys that the listing lacks
}

// ApplyListing applies a listing as Replace does. The first listing of a higher era is of a copy of the log that may be older than
// the table: what is only older stays as it is, and its key is kept until it is written again.
func (t *Table) ApplyListing(records []Record, end Position) ListingResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applyListing(records, end)
}

func (t *Table) applyListing(records []Record, end Position) ListingResult {
	r := ListingResult{End: end, Former: t.end}
	switch {
	case t.end == (Position{}) || end.Era == t.end.Era && !end.Before(t.end):
		r.Changed = t.replace(records, end)
	case end.Era > t.end.Era:
		r.OfCopy = true
		t.applyCopy(records, &r)
	}
	return r
}

// applyCopy applies the first listing of a higher era and adds to result what that does.
func (t *Table) applyCopy(records []Record, result *ListingResult) {
	end := result.End.Offset
	for i := range t.past {
		t.past[i].gone = t.past[i].gone || t.past[i].Offset >= end
	}
	former, formerKept := t.records, t.kept
	t.compared, t.end = true, result.End
	t.records, t.kept = make(map[string]Record, len(records)), map[string]kept{}
	for _, r := range records {
		t.records[r.Key] = r
		held, isHeld := former[r.Key]
		k, isKept := formerKept[r.Key]
		if isKept {
			held, isHeld = k.record, true
		}
		switch {
		case isHeld && held.equal(r):
		case !isHeld, (!isKept || !former[r.Key].equal(r)) && t.isNews(held, r, result.Former):
			result.Changed = append(result.Changed, r)
		default: // the copy has an older record
			t.kept[r.Key] = kept{end: end, record: held, until: t.keepUntil()}
			result.Lost = append(result.Lost, held)
		}
	}
	maps.Copy(former, heldRecords(formerKept))
	for key, held := range former {
		if _, listed := t.records[key]; !listed && len(held.Value) > 0 {
			t.lose(held, result)
		}
	}
}

func heldRecords(k map[string]kept) map[string]Record {
	records := make(map[string]Record, len(k))
	for key, v := range k {
		records[key] = v.record
	}
	return records
}

// lose keeps or removes a key that a listing of a copy lacks.
func (t *Table) lose(held Record, result *ListingResult) {
	if t.keepFor == 0 {
		removal := Record{Key: held.Key, Offset: result.End.Offset - 1}
		t.remember(held, true)
		t.records[held.Key] = removal
		result.Changed = append(result.Changed, removal)
		result.Removed++
		return
	}
	t.kept[held.Key] = kept{end: result.End.Offset, record: held, until: t.keepUntil()}
	result.Lost = append(result.Lost, held)
}

// keepOlderFor is for how long a table that keeps no missing keys holds what the copy has in an older form.
const keepOlderFor = 10 * time.Second

// keepUntil returns until when a key is kept; zero if until it is written again.
func (t *Table) keepUntil() time.Time {
	switch {
	case t.keepFor < 0:
		return time.Time{}
	case t.keepFor == 0:
		return time.Now().Add(keepOlderFor)
	default:
		return time.Now().Add(t.keepFor)
	}
}

// isNews reports whether a listed record of a copy is newer than the one held, in a table that ended at the position former.
func (t *Table) isNews(held, listed Record, former Position) bool {
	reference := held
	for _, p := range slices.Backward(t.past) {
		if p.Key != held.Key {
			continue
		}
		if !p.gone && p.equal(listed) {
			return false
		}
		if len(reference.Value) == 0 { // compare with what was removed
			reference = p.Record
		}
	}
	if t.compare != nil && len(reference.Value) > 0 {
		if order, known := t.compare(listed.Key, reference.Value, listed.Value); known {
			return order > 0
		}
	}
	return listed.Offset >= former.Offset || !bytes.Equal(held.Value, listed.Value)
}

// isOlder reports whether r says of itself that it is older than another record of its key: what was lost is written again
// in the order in which it was written at first.
func (t *Table) isOlder(r, other Record) bool {
	if t.compare == nil || len(r.Value) == 0 || len(other.Value) == 0 {
		return false
	}
	order, known := t.compare(r.Key, other.Value, r.Value)
	return known && order < 0
}

// Expire lets go of the keys that were kept for long enough, and returns what the table holds of them now.
func (t *Table) Expire(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Record
	for key, k := range t.kept {
		if k.until.IsZero() || now.Before(k.until) {
			continue
		}
		delete(t.kept, key)
		r, ok := t.records[key]
		if !ok {
			r = Record{Key: key, Offset: k.end - 1}
		}
		changed = append(changed, r)
	}
	return changed
}

// Kept is a record that a table holds in spite of the log.
type Kept struct {
	End    int64  `cbor:"1,keyasint"` // of the listing that lacked it
	Record Record `cbor:"2,keyasint"`
}

// Kept returns what the table holds in spite of the log.
func (t *Table) Kept() []Kept {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Kept, 0, len(t.kept))
	for _, k := range t.kept {
		list = append(list, Kept{End: k.end, Record: k.record})
	}
	return list
}

// Keeps reports whether the table holds records in spite of the log.
func (t *Table) Keeps() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.kept) > 0
}

// WasCompared reports whether the table was compared with the copy that the present era began with.
func (t *Table) WasCompared() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.compared
}

// Merge applies the records of a peer's table and what it holds in spite of the log. A table that was itself compared with
// the copy holds what it knows; it takes over keys that it does not know only.
func (t *Table) Merge(records []Record, end Position, list []Kept) ListingResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := t.applyListing(records, end)
	if end.Era != t.end.Era {
		return result
	}
	for _, k := range list {
		key := k.Record.Key
		held, known := t.records[key]
		if _, isKept := t.kept[key]; isKept || known && (t.compared || held.Offset >= k.End || held.equal(k.Record)) {
			continue
		}
		t.kept[key] = kept{end: k.End, record: k.Record, until: t.keepUntil()}
		result.Changed = append(result.Changed, k.Record)
	}
	return result
}
