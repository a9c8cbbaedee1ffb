// Package tgquarantine finds the parts of prompts that crash upstreams and decides which requests may be sent meanwhile.
//
// The parts of a request become suspect when its upstream crashes before the answer begins, or repeatedly in the middle of
// answers. Requests with suspect parts are sent one at a time over all entries, as trials. An answer that begins and goes on
// voids the crashes before answers, and a complete answer all crashes; a part with enough crashes is quarantined.
package tgquarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	expiryInterval   = time.Minute            // in which what is too old is dropped at the latest, if there are notices
	burstGap         = 300 * time.Millisecond // crashes closer to each other than this may have one common cause
	loadTime         = 600 * time.Millisecond // for which an entry waits for the quarantines of the store and its peers
	crashRetention   = 2 * time.Hour          // longer than a quarantine, so that one trial follows it
	maxChanges       = 256                    // changes kept until they are logged
	maxCleared       = 1024
	maxCrashes       = 256
	maxCrashIDs      = 16
	quarantineTime   = time.Hour
	firstRetrial     = 20 * time.Second       // quarantine of a part that was known to be sound; doubled by each further crash
	sameCrashWindow  = 500 * time.Millisecond // in which entries notice one crash; no upstream is back so soon
	strikesToConvict = 2                      // of a part that was known to be sound; for its first retrial
)

// Table is what an entry knows of crashes and suspect parts. The entries exchange it by notices. It is safe for concurrent
// use.
type Table struct {
	history history // of the parts of answers that have begun
	self    string  // VM of this entry

	mu       sync.RWMutex    // guards the fields below
	answered map[string]bool // parts of crashes with complete answers, at this or another entry; they are proven, too
	changed  chan struct{}
	loadEnd  time.Time // until then, requests wait for the quarantines in the store; zero once these were read
	changes  []Change
	claims   map[string]claim    // trials in progress, by part
	cleared  map[string]clearing // by part that was suspect at that time
	crashes  []*crash            // oldest first
	lost     map[string][]byte   // records that the store has lost, by part; empty for a removal
	lostAt   time.Time           // when that was noticed last
	obsolete map[string]bool     // parts whose records this entry has to remove from the store
	outgoing bool                // changes of this entry that the others have not been sent
	proven   map[string]bool     // parts of crashes with answers that went on for ProofTime, at this or another entry
	rebuilt  time.Time           // when the derived fields were last derived
	saved    map[string]Record   // of the store, by part
	stale    bool                // the derived fields do not follow from the others any more
	suspects map[string]*suspect // derived from the fields above
	unknown  map[string][]string // suspects of which no answer is known, by the ID of their last crash; derived
	updated  chan struct{}       // capacity 1: changes are to be logged or sent
}

// suspect is a part that has not been cleared since it was at a crash. It is suspect only if isSuspect says so.
type suspect struct {
	begunIDs   []string // those of crashIDs that weigh less
	companions []string // parts that may be to blame in its place, itself included; sorted, empty unless it is quarantined
	crashIDs   []string // one of each crash that the part was at
	doubtful   bool     // it was at a crash of which not all parts are known
	last       *crash   // nil if it is known from the store only
	lastCrash  time.Time
	lastID     string // of the last crash
	local      bool   // one of the requests at the last crash was this entry's
	strikes    int    // crashes that the part may have caused
	unbegun    bool   // an answer to a request with the part had not begun at one of them
	until      time.Time
	weight     int // of the crashes
}

// isSuspect reports whether requests with the part are sent as trials.
func (s *suspect) isSuspect() bool { return s != nil && (s.weight >= suspectWeight || s.doubtful) }

func (s *suspect) isQuarantined(now time.Time) bool {
	return s != nil && len(s.companions) > 0 && now.Before(s.until)
}

// NewTable returns an empty table of the entry on the VM self.
func NewTable(self string) *Table {
	return &Table{
		answered: map[string]bool{}, changed: make(chan struct{}), claims: map[string]claim{}, cleared: map[string]clearing{},
		obsolete: map[string]bool{}, proven: map[string]bool{}, saved: map[string]Record{}, self: self,
		suspects: map[string]*suspect{}, updated: make(chan struct{}, 1),
	}
}

// AwaitSaved makes requests with prompts wait until the quarantines in the store were read, or for a while if they cannot
// be read: an entry that has just started must not send what its peers, or its former life, refuse.
func (t *Table) AwaitSaved(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadEnd = now.Add(loadTime)
	time.AfterFunc(loadTime, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.notify(false)
	})
}

// RecordCrash records that an upstream has crashed during a request with the given parts. The crash counts without parts,
// too: it shows whether other upstreams ended at the same time.
func (t *Table) RecordCrash(upstream string, parts []string, progress Progress, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.addCrash(upstream, nil, now)
	if len(c.ids) == 0 {
		c.ids[fmt.Sprintf("%s/%x", t.self, rand.Uint64())] = true
	}
	t.addParts(c, parts, progress)
	c.local = c.local || len(parts) > 0
	t.rebuild(now)
	t.notify(true)
}

// AddToCrash adds a request with the given parts to the last known crash of an upstream between from and to, and reports
// whether there is one. An entry may know only from others that an upstream crashed while it had a request.
func (t *Table) AddToCrash(upstream string, parts []string, progress Progress, from, to, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range slices.Backward(t.crashes) {
		if c.upstream != upstream || c.at.Before(from) || c.at.After(to) {
			continue
		}
		t.addParts(c, parts, progress)
		c.local = c.local || len(parts) > 0
		t.rebuild(now)
		t.notify(true)
		return true
	}
	return false
}

// Unanswered returns those of the given parts of which this entry knows no complete answer.
func (t *Table) Unanswered(parts []string) []string {
	var unanswered []string
	for _, p := range parts {
		if _, answered := t.history.find(p); !answered {
			unanswered = append(unanswered, p)
		}
	}
	return unanswered
}

// Begun records that an answer to a request with the given parts has begun and has gone on for a time since. The first
// event alone shows something only of a part that earlier answers had.
func (t *Table) Begun(parts []string, age time.Duration, now time.Time) {
	if age >= ProofTime {
		t.history.add(parts, false, now)
	}
	t.clear(parts, now, func(p string, c *clearing) bool {
		if age < ProofTime && !t.proven[p] {
			return false
		}
		c.proven = now
		return true
	})
}

// Answered records that an answer to a request with the given parts was complete: they crash no upstream.
func (t *Table) Answered(parts []string, now time.Time) {
	t.history.add(parts, true, now)
	t.clear(parts, now, func(_ string, c *clearing) bool {
		c.answered = now
		return true
	})
}

// clear updates the clearings of those of the given parts that were at crashes.
func (t *Table) clear(parts []string, now time.Time, update func(part string, c *clearing) bool) {
	if !t.hasEvidence(parts) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, p := range parts {
		if t.suspects[p] == nil {
			continue
		}
		c := t.cleared[p]
		if !update(p, &c) {
			continue
		}
		changed = true
		t.cleared[p] = c
		t.noteKnown(p)
	}
	if !changed {
		return
	}
	t.rebuild(now)
	for _, p := range parts {
		if _, ok := t.saved[p]; ok && t.suspects[p] == nil {
			t.obsolete[p] = true
		}
	}
	t.notify(true)
}

func (t *Table) hasEvidence(parts []string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.ContainsFunc(parts, func(p string) bool { return t.suspects[p] != nil })
}

// Watch returns a channel that is closed at the next change of the table.
func (t *Table) Watch() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

// Updates returns a channel that receives a value when there are changes to log or to send.
func (t *Table) Updates() <-chan struct{} { return t.updated }

// notify wakes those who wait for a change. The caller holds t.mu.
func (t *Table) notify(outgoing bool) {
	t.outgoing = t.outgoing || outgoing
	close(t.changed)
	t.changed = make(chan struct{})
	select {
	case t.updated <- struct{}{}:
	default:
	}
}

// Outcome is what a part has become.
type Outcome string

// Outcomes of changes, sorted.
const (
	OutcomeCleared     Outcome = "cleared"
	OutcomeQuarantined Outcome = "quarantined"
	OutcomeSuspect     Outcome = "suspect"
)

// Change is a change of what the entry believes of a part.
type Change struct {
	Outcome Outcome
	Part    string
	Strikes int
}

// TakeChanges returns the changes since the last call, for the log.
func (t *Table) TakeChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.changes
	t.changes = nil
	return changes
}

// State is one suspect part, for the state dump.
type State struct {
	Companions  []string  `json:"companions,omitempty"`
	LastCrash   time.Time `json:"lastCrash"`
	Part        string    `json:"part"`
	Quarantined bool      `json:"quarantined"`
	Strikes     int       `json:"strikes"`
	Until       time.Time `json:"until,omitzero"`
}

// States returns the suspect parts, sorted.
func (t *Table) States(now time.Time) []State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	states := make([]State, 0, len(t.suspects))
	for p, s := range t.suspects {
		if !s.isSuspect() {
			continue
		}
		states = append(states, State{
			Companions: s.companions, LastCrash: s.lastCrash, Part: p, Quarantined: s.isQuarantined(now), Strikes: s.strikes,
			Until: s.until,
		})
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Part, b.Part) })
	return states
}
