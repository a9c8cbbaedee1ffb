package tgquarantine

import (
	"cmp"
	"hash/maphash"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"tanagergrade/core/tglogtable"
)

const (
	maxSaved        = 1024
	maxSavedOfCrash = 64 // unknown parts of a crash; an append takes milliseconds
)

// SaveDelay is how long after a crash a part of which answers are known is written to the store. When many upstreams end
// at once, it may seem to be at fault until all of them are reported. Unknown parts are written at once, because all
// entries may be ended by what ended the upstream.
const SaveDelay = burstGap

// An entry writes what others have observed if it is not in the store a while after the crash: they may be cut off from it.
// Each part has its own delay at each entry, so that usually one of them writes.
const (
	peerSaveDelay  = 200 * time.Millisecond
	peerSaveSpread = 500 * time.Millisecond
)

// MaxSaveDelay is how long after a crash all that an entry has to write is due.
const MaxSaveDelay = max(SaveDelay, peerSaveDelay+peerSaveSpread)

// Record is the value of a suspect part in the store, which outlives the entries; its key is the part.
type Record struct {
	BegunIDs   []string  `cbor:"6,keyasint,omitempty" json:"begunIds,omitempty"` // of the crashes in the middle of answers
	Companions []string  `cbor:"1,keyasint" json:"companions,omitempty"`         // parts that may be to blame, the key included; sorted, empty unless it is quarantined
	CrashIDs   []string  `cbor:"5,keyasint" json:"crashIds"`
	LastCrash  time.Time `cbor:"2,keyasint" json:"lastCrash"`
	Strikes    int       `cbor:"3,keyasint" json:"crashes"`
	Until      time.Time `cbor:"4,keyasint" json:"until,omitzero"`
}

// DecodeRecord reads a record of the store.
func DecodeRecord(r tglogtable.Record) (Record, error) {
	var record Record
	if err := cbor.Unmarshal(r.Value, &record); err != nil {
		return Record{}, errors.Wrapf(err, "record of prompt part %q", r.Key)
	}
	if len(record.CrashIDs) == 0 || len(record.Companions) > 0 && !slices.Contains(record.Companions, r.Key) {
		return Record{}, errors.Newf("record of prompt part %q is not complete", r.Key)
	}
	record.LastCrash, record.Until = record.LastCrash.UTC(), record.Until.UTC()
	return record, nil
}

// ApplySaved applies changed records of the store and returns an error for each that cannot be decoded. A removal, by an
// operator or after an answer, clears the part.
func (t *Table) ApplySaved(records []tglogtable.Record, now time.Time) (failed []error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		delete(t.lost, r.Key)
		if len(r.Value) == 0 {
			delete(t.obsolete, r.Key)
			if _, known := t.saved[r.Key]; known {
				delete(t.saved, r.Key)
				t.cleared[r.Key] = clearing{answered: now, proven: now}
			}
			continue
		}
		record, err := DecodeRecord(r)
		if err != nil {
			failed = append(failed, err)
			continue
		}
		if len(t.saved) >= maxSaved {
			failed = append(failed, errors.Newf("quarantine of prompt part %q: more than %d parts are quarantined", r.Key, maxSaved))
			continue
		}
		t.saved[r.Key] = record
	}
	t.loadEnd = time.Time{}
	t.rebuild(now)
	for _, r := range records { // a part may have been cleared while its record was being written
		if _, ok := t.saved[r.Key]; ok && t.suspects[r.Key] == nil && !t.cleared[r.Key].latest().IsZero() {
			t.obsolete[r.Key] = true
		}
	}
	t.notify(false)
	return failed
}

// NoteLost notes that the store has returned from an older copy of itself without these records. All entries know them, and
// each has to write them again, unless another one is sooner.
func (t *Table) NoteLost(records []tglogtable.Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost == nil {
		t.lost = map[string][]byte{}
	}
	for _, r := range records {
		t.lost[r.Key] = r.Value
	}
	t.lostAt = now
	t.notify(false)
}

// timePrecision is that of the times in a record.
const timePrecision = time.Millisecond

var recordEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// ceilTime rounds a time up to timePrecision. Rounded down, a crash could seem to come before an answer that came before
// it.
func ceilTime(at time.Time) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(timePrecision - 1).Truncate(timePrecision).UTC()
}

// Unsaved returns the records that this entry has to write to the store: the unknown and quarantined parts at crashes, at
// first those of its own requests only, and, without a value, the records of parts that were cleared here or are too old.
// Records that the store has lost follow within peerSaveSpread, as they were.
func (t *Table) Unsaved(now time.Time) ([]tglogtable.Record, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	unknown := map[*crash]int{} // suspect parts
	for p, s := range t.suspects {
		if s.isSuspect() && !t.proven[p] {
			unknown[s.last]++
		}
	}
	var records []tglogtable.Record
	for p, s := range t.suspects {
		if !t.isDue(p, s, unknown[s.last], now) {
			continue
		}
		value, err := recordEncoding.Marshal(Record{
			BegunIDs: s.begunIDs, Companions: s.companions, CrashIDs: s.crashIDs, LastCrash: ceilTime(s.lastCrash),
			Strikes: s.strikes, Until: ceilTime(s.until),
		})
		if err != nil {
			return nil, errors.Wrapf(err, "quarantine of prompt part %q", p)
		}
		records = append(records, tglogtable.Record{Key: p, Value: value})
	}
	due := make(map[string]bool, len(records))
	for _, r := range records {
		due[r.Key] = true
	}
	for p := range t.obsolete {
		if t.suspects[p] == nil {
			records = append(records, tglogtable.Record{Key: p})
			due[p] = true
		}
	}
	for p, value := range t.lost {
		if !due[p] && now.Sub(t.lostAt) >= spread(p) {
			records = append(records, tglogtable.Record{Key: p, Value: value})
		}
	}
	return records, nil
}

// isDue reports whether this entry has to save a suspect part. Of too many unknown parts of a crash it saves none: the
// missing ones could be to blame in place of the others.
func (t *Table) isDue(part string, s *suspect, unknown int, now time.Time) bool {
	if s.last == nil || !s.isSuspect() || s.doubtful || len(s.companions) > maxSavedOfCrash {
		return false
	}
	saved := t.saved[part]
	known := cmp.Compare(len(saved.CrashIDs), len(s.crashIDs))
	if known > 0 || known == 0 && (!s.local || slices.Equal(saved.Companions, s.companions)) {
		return false
	}
	if !s.local && now.Sub(s.lastCrash) < peerSaveDelay+spread(part) {
		return false
	}
	if s.isQuarantined(now) {
		return !t.proven[part] || now.Sub(s.lastCrash) >= SaveDelay
	}
	return !t.proven[part] && unknown <= maxSavedOfCrash
}

// spread returns the part of peerSaveSpread after which this entry writes a part that others have observed.
func spread(part string) time.Duration {
	return time.Duration(maphash.String(historySeed, part) % uint64(peerSaveSpread))
}
