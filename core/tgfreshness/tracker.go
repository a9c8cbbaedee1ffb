// Package tgfreshness tells a log that is down for all from a process that is cut off.
package tgfreshness

import (
	"maps"
	"sync"
	"time"

	"tanagergrade/core/tgframe"
)

// MaxContactAge is the age up to which a contact counts; a process that is cut off stops work this long after its last one.
const MaxContactAge = 5 * time.Second

// bound is shorter than MaxContactAge by the time that an answer may take until it is read.
const bound = MaxContactAge - 250*time.Millisecond

// Status says whether a process may work.
type Status string

// Statuses, sorted.
const (
	Behind  Status = "behind"  // a peer has shown a newer configuration that could not be fetched in time
	CutOff  Status = "cutOff"  // something may have changed that this process cannot learn
	Fresh   Status = "fresh"   // the log confirmed the configuration within the bound
	LogDown Status = "logDown" // peers answer, none has a newer configuration
)

// Tracker keeps confirmation and contact times of one process. All times are monotonic and its own; ages travel between
// processes as durations, so that differing or stepping clocks do not matter.
type Tracker struct {
	behindSince time.Time // zero if no peer has shown a newer offset
	confirmed   time.Time // no record at or after offset existed then
	local       string    // own data centre
	mu          sync.Mutex
	offset      uint64
	reach       map[string]time.Time
	shown       uint64 // highest offset that a peer has shown
}

// NewTracker returns a tracker of a process in the data centre local that has heard nothing yet.
func NewTracker(local string) *Tracker {
	return &Tracker{local: local, reach: map[string]time.Time{}}
}

// Confirm notes that at the given time the log had no record at or after offset.
func (t *Tracker) Confirm(at time.Time, offset uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(at, offset)
}

func (t *Tracker) confirm(at time.Time, offset uint64) {
	if offset >= t.offset && at.After(t.confirmed) {
		t.confirmed, t.offset = at, offset
	}
}

// RecordAnswer takes the ages in an answer from a peer. Sent is when the request was sent: an age counts from there, which
// includes the time on the way.
func (t *Tracker) RecordAnswer(sent time.Time, applied uint64, g *tgframe.Gossip) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := g.Confirmation; c != nil && c.Age >= 0 && c.Offset <= applied {
		t.confirm(sent.Add(-c.Age), c.Offset)
	}
	t.contact(g.DataCentre, sent)
	t.contact(t.local, sent)
	for name, age := range g.ContactAges {
		if age >= 0 && name != t.local {
			t.contact(name, sent.Add(-age))
		}
	}
}

func (t *Tracker) contact(dataCentre string, at time.Time) {
	if at.After(t.reach[dataCentre]) {
		t.reach[dataCentre] = at
	}
}

// RecordPeerOffset notes that a peer has applied offset shown while this process has applied.
func (t *Tracker) RecordPeerOffset(shown, applied uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shown = max(t.shown, shown)
	switch {
	case applied >= t.shown:
		t.behindSince = time.Time{}
	case t.behindSince.IsZero():
		t.behindSince = time.Now()
	}
}

// HighestPeerOffset returns the highest offset that a peer has shown.
func (t *Tracker) HighestPeerOffset() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shown
}

// Confirmation returns what to tell others; nil if the log never confirmed an offset that this process has applied.
func (t *Tracker) Confirmation(applied uint64) *tgframe.Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmed.IsZero() || t.offset > applied {
		return nil
	}
	return &tgframe.Confirmation{Age: time.Since(t.confirmed), Offset: t.offset}
}

// RecentContactAges returns the ages of the last contacts that are recent enough to matter to others.
func (t *Tracker) RecentContactAges() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ages := make(map[string]time.Duration, len(t.reach))
	for name, at := range t.reach {
		if age := time.Since(at); age < bound {
			ages[name] = age
		}
	}
	delete(ages, t.local)
	return ages
}

// Status judges the process; region has the names of all data centres of its region.
func (t *Tracker) Status(region []string, applied uint64) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	if applied < t.shown && (t.confirmed.IsZero() || !t.behindSince.IsZero() && time.Since(t.behindSince) >= bound) {
		return Behind
	}
	if !t.confirmed.IsZero() && time.Since(t.confirmed) < bound {
		return Fresh
	}
	reached := 0
	for _, name := range region {
		if at, ok := t.reach[name]; ok && time.Since(at) < bound {
			reached++
		}
	}
	if reached > 0 && 2*reached >= len(region) {
		return LogDown
	}
	return CutOff
}

// ContactAges returns the ages of all contacts, for the dump.
func (t *Tracker) ContactAges() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ages := make(map[string]time.Duration, len(t.reach))
	for name, at := range maps.All(t.reach) {
		ages[name] = time.Since(at)
	}
	return ages
}
