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

// ageLimit is shorter than MaxContactAge by the time that an answer may take until it is read.
const ageLimit = MaxContactAge - 250*time.Millisecond

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
	behindSince     time.Time // zero if no peer has reported an offset above the applied one
	confirmedAt     time.Time // when the log had no record at or after confirmedOffset; zero until first confirmed
	confirmedOffset uint64
	contacts        map[string]time.Time // last contact with each data centre, direct or through a peer
	local           string               // own data centre
	mu              sync.Mutex
	peerOffset      uint64 // highest applied offset that a peer has reported
}

// NewTracker returns a tracker of a process in the data centre local that has heard nothing yet.
func NewTracker(local string) *Tracker {
	return &Tracker{local: local, contacts: map[string]time.Time{}}
}

// Confirm notes that at the given time the log had no record at or after offset.
func (t *Tracker) Confirm(at time.Time, offset uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(at, offset)
}

func (t *Tracker) confirm(at time.Time, offset uint64) {
	if offset >= t.confirmedOffset && at.After(t.confirmedAt) {
		t.confirmedAt, t.confirmedOffset = at, offset
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
	t.recordContact(g.DataCentre, sent)
	t.recordContact(t.local, sent)
	for name, age := range g.ContactAges {
		if age >= 0 && name != t.local {
			t.recordContact(name, sent.Add(-age))
		}
	}
}

func (t *Tracker) recordContact(dataCentre string, at time.Time) {
	if at.After(t.contacts[dataCentre]) {
		t.contacts[dataCentre] = at
	}
}

// RecordPeerOffset notes that a peer has applied offset shown while this process has applied.
func (t *Tracker) RecordPeerOffset(offset, applied uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerOffset = max(t.peerOffset, offset)
	switch {
	case applied >= t.peerOffset:
		t.behindSince = time.Time{}
	case t.behindSince.IsZero():
		t.behindSince = time.Now()
	}
}

// HighestPeerOffset returns the highest offset that a peer has shown.
func (t *Tracker) HighestPeerOffset() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peerOffset
}

// Confirmation returns what to tell others; nil if the log never confirmed an offset that this process has applied.
func (t *Tracker) Confirmation(applied uint64) *tgframe.Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmedAt.IsZero() || t.confirmedOffset > applied {
		return nil
	}
	return &tgframe.Confirmation{Age: time.Since(t.confirmedAt), Offset: t.confirmedOffset}
}

// RecentContactAges returns the ages of the last contacts that are recent enough to matter to others.
func (t *Tracker) RecentContactAges() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ages := make(map[string]time.Duration, len(t.contacts))
	for name, at := range t.contacts {
		if age := time.Since(at); age < ageLimit {
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
	if applied < t.peerOffset && (t.confirmedAt.IsZero() || !t.behindSince.IsZero() && time.Since(t.behindSince) >= ageLimit) {
		return Behind
	}
	if !t.confirmedAt.IsZero() && time.Since(t.confirmedAt) < ageLimit {
		return Fresh
	}
	reached := 0
	for _, name := range region {
		if at, ok := t.contacts[name]; ok && time.Since(at) < ageLimit {
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
	ages := make(map[string]time.Duration, len(t.contacts))
	for name, at := range maps.All(t.contacts) {
		ages[name] = time.Since(at)
	}
	return ages
}
