// Package tgfreshness distinguishes an outage of the log from a process that is cut off, whose configuration may be stale.
package tgfreshness

import (
	"maps"
	"sync"
	"time"

	"tanagergrade/core/tgframe"
)

// MaxContactAge is the age up to which a contact counts. A process that is cut off stops work this long after its last
// contact.
const MaxContactAge = 5 * time.Second

// ageLimit is MaxContactAge less the time that an answer may take until it is read.
const ageLimit = MaxContactAge - 250*time.Millisecond

// Status is the freshness of a process's configuration, which decides whether it may work.
type Status string

// Statuses of a configuration, sorted.
const (
	Behind  Status = "behind"  // a peer has a newer configuration, and it was not fetched in time or none was ever confirmed
	CutOff  Status = "cutOff"  // the configuration may have changed without this process being able to learn of it
	Fresh   Status = "fresh"   // the log confirmed the configuration within MaxContactAge
	LogDown Status = "logDown" // peers in at least half of the region's data centres answer, and none has a newer configuration
)

// Tracker keeps the confirmation and contact times of one process. All times are from its own monotonic clock; ages are
// sent between processes as durations, so that clocks that differ or step do not matter.
type Tracker struct {
	behindSince     time.Time // zero if no peer has reported an offset above the applied one
	confirmedAt     time.Time // when the log had no record at or after confirmedOffset; zero until first confirmed
	confirmedOffset uint64
	contacts        map[string]time.Time // last contact with each data centre, direct or through a peer
	local           string               // this process's data centre
	mu              sync.Mutex
	peerOffset      uint64 // highest applied offset that a peer has reported
}

// NewTracker returns a tracker, without contacts or confirmation, of a process in the data centre local.
func NewTracker(local string) *Tracker {
	return &Tracker{local: local, contacts: map[string]time.Time{}}
}

// Confirm records that at the given time the log had no record at or after offset.
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

// RecordAnswer records the confirmation and the contacts in an answer from a peer. Their ages count back from sent, the
// time at which the request was sent, so that the time on the way counts as age. A confirmation of an offset above
// applied is ignored.
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

// RecordPeerOffset records that a peer has applied the log up to offset, and this process up to applied.
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

// HighestPeerOffset returns the highest applied offset that a peer has reported.
func (t *Tracker) HighestPeerOffset() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peerOffset
}

// Confirmation returns the last confirmation, for peers; nil if the log never confirmed an offset that this process has
// applied.
func (t *Tracker) Confirmation(applied uint64) *tgframe.Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmedAt.IsZero() || t.confirmedOffset > applied {
		return nil
	}
	return &tgframe.Confirmation{Age: time.Since(t.confirmedAt), Offset: t.confirmedOffset}
}

// RecentContactAges returns the ages of the last contacts with other data centres that are recent enough to count, for
// peers.
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

// Status evaluates the freshness of the process; region has the names of all data centres of its region.
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

// ContactAges returns the ages of the last contacts with all data centres, for the dump.
func (t *Tracker) ContactAges() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ages := make(map[string]time.Duration, len(t.contacts))
	for name, at := range maps.All(t.contacts) {
		ages[name] = time.Since(at)
	}
	return ages
}
