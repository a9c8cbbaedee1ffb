package tgquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Notice is what one entry tells the others. Times are sent as ages, because the clocks of VMs differ.
type Notice struct {
	Ask     bool            `cbor:"8,keyasint,omitempty"` // the sender has just started and asks for a notice; the rest is empty
	Claims  []ClaimNotice   `cbor:"1,keyasint,omitempty"` // all trials of the sender
	Cleared []ClearedNotice `cbor:"2,keyasint,omitempty"`
	Crashes []CrashNotice   `cbor:"3,keyasint,omitempty"`
	Loaded  bool            `cbor:"7,keyasint,omitempty"` // the sender has read the store, or heard from a peer that has
	Proven  []string        `cbor:"4,keyasint,omitempty"` // parts of crashes of which answers are known; of the previous version only
	Saved   []SavedNotice   `cbor:"6,keyasint,omitempty"` // records of the store
	VM      string          `cbor:"5,keyasint"`           // of the sender
}

// ClaimNotice is a trial in progress.
type ClaimNotice struct {
	Confirmed bool   `cbor:"1,keyasint"`
	Part      string `cbor:"2,keyasint"`
	Upstream  string `cbor:"3,keyasint,omitempty"` // that has the request, once it is chosen
}

// ClearedNotice is a part that was at a crash until an answer began, or was complete.
type ClearedNotice struct {
	Age      time.Duration `cbor:"1,keyasint"`           // of the beginning
	Answered time.Duration `cbor:"3,keyasint,omitempty"` // age of the complete answer; 0 if there was none
	Part     string        `cbor:"2,keyasint"`
}

// CrashNotice is the crash of an upstream.
type CrashNotice struct {
	Age          time.Duration `cbor:"1,keyasint"`
	Begun        []string      `cbor:"5,keyasint,omitempty"` // parts of requests whose answers had begun
	IDs          []string      `cbor:"4,keyasint"`
	Knowledge    []byte        `cbor:"9,keyasint,omitempty"` // of Parts, Begun and Resumed, in this order: a byte for each part
	KnownMissing bool          `cbor:"6,keyasint,omitempty"` // known parts are left out
	Partial      bool          `cbor:"7,keyasint,omitempty"` // other parts are left out
	Parts        []string      `cbor:"2,keyasint"`           // of requests whose answers had not begun
	Resumed      []string      `cbor:"8,keyasint,omitempty"` // of requests whose answers had been resumed
	Upstream     string        `cbor:"3,keyasint"`
}

// SavedNotice is a record of the store.
type SavedNotice struct {
	Part   string `cbor:"1,keyasint"`
	Record Record `cbor:"2,keyasint"`
}

// A notice has to fit into a datagram.
const (
	maxNoticeClaims     = 512
	maxNoticeClaimBytes = 12 << 10
	maxNoticeCleared    = 64
	maxNoticeCrashes    = 64 // the latest ones
	maxNoticePartBytes  = 36 << 10
	maxNoticeParts      = 16384 // of a list of a received notice
	maxNoticeSaved      = 32
	maxNoticeSavedBytes = 8 << 10
	maxPartBytes        = 64
	noticePartOverhead  = 3 // bytes of a part beside its ID
	claimOverhead       = 8 // bytes of a claim beside its texts
)

// Outgoing returns a notice for the other entries, or nil if they were sent all that this entry has observed.
func (t *Table) Outgoing(now time.Time) *Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.outgoing {
		return nil
	}
	t.outgoing = false
	return t.notice(now)
}

// Notice returns a notice with all that this entry knows.
func (t *Table) Notice(now time.Time) *Notice {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.notice(now)
}

func (t *Table) notice(now time.Time) *Notice {
	n := &Notice{Claims: t.claimNotices(), Loaded: t.loadEnd.IsZero(), VM: t.self}
	room := maxNoticePartBytes
	for _, c := range slices.Backward(t.crashes) {
		// The others had the parts of the earlier crashes when these were new.
		if len(n.Crashes) == 0 || len(n.Crashes) < maxNoticeCrashes && c.partsSize() <= room {
			t.addCrashNotice(n, c, &room, now)
		}
	}
	saved := 0
	for p, r := range t.saved {
		size := noticeSize(p, len(r.Companions)+len(r.CrashIDs)+len(r.BegunIDs), maxPartBytes)
		if len(n.Saved) < maxNoticeSaved && saved+size <= maxNoticeSavedBytes {
			saved += size
			n.Saved = append(n.Saved, SavedNotice{Part: p, Record: r})
		}
	}
	for p, c := range t.cleared {
		if len(n.Cleared) < maxNoticeCleared {
			cleared := ClearedNotice{Age: now.Sub(c.latest()), Part: p}
			if !c.answered.IsZero() {
				cleared.Answered = max(now.Sub(c.answered), 1)
			}
			n.Cleared = append(n.Cleared, cleared)
		}
	}
	return n
}

// noticeSize returns the bytes that a part takes with a number of further texts.
func noticeSize(part string, texts, textBytes int) int {
	return len(part) + noticePartOverhead + texts*(textBytes+noticePartOverhead)
}

// claimNotices returns the trials of this entry. If they are too many, those of parts without an answer come first.
func (t *Table) claimNotices() []ClaimNotice {
	var claims []ClaimNotice
	for p, c := range t.claims {
		if c.trial != nil {
			claims = append(claims, ClaimNotice{Confirmed: c.confirmed, Part: p, Upstream: c.upstream})
		}
	}
	slices.SortFunc(claims, func(a, b ClaimNotice) int {
		return cmp.Or(t.compareKnown(a.Part, b.Part), cmp.Compare(a.Part, b.Part))
	})
	size := 0
	for i, c := range claims {
		if size += noticeSize(c.Part, 1, len(c.Upstream)) + claimOverhead; size > maxNoticeClaimBytes || i >= maxNoticeClaims {
			return claims[:i]
		}
	}
	return claims
}

// compareKnown sorts unknown parts before known ones.
func (t *Table) compareKnown(a, b string) int {
	switch {
	case t.proven[a] == t.proven[b]:
		return 0
	case t.proven[a]:
		return 1
	default:
		return -1
	}
}

// partsSize returns the bytes that all parts of a crash take in a notice.
func (c *crash) partsSize() int {
	size := 0
	for p := range c.parts {
		size += noticeSize(p, 0, 0)
	}
	return size
}

// Values of CrashNotice.Knowledge.
const (
	knowsNothing  = iota
	knowsProven   // an answer went on for ProofTime
	knowsAnswered // an answer was complete
)

// addCrashNotice adds a crash to a notice. If its parts have no room, it leaves out all known ones and then others.
func (t *Table) addCrashNotice(n *Notice, c *crash, room *int, now time.Time) {
	crash := CrashNotice{
		Age: now.Sub(c.at), IDs: slices.Collect(maps.Keys(c.ids)), Partial: c.partial, Upstream: c.upstream,
		KnownMissing: c.knownMissing || c.partsSize() > *room,
	}
	lists := map[Progress]*[]string{
		ProgressBegun: &crash.Begun, ProgressNone: &crash.Parts, ProgressResumed: &crash.Resumed,
	}
	for p, progress := range c.parts {
		if crash.KnownMissing && t.proven[p] {
			continue
		}
		if *room < noticeSize(p, 0, 0) {
			crash.Partial = true
			continue
		}
		*room -= noticeSize(p, 0, 0)
		*lists[progress] = append(*lists[progress], p)
	}
	for _, p := range slices.Concat(crash.Parts, crash.Begun, crash.Resumed) {
		knowledge := byte(knowsNothing)
		switch {
		case t.answered[p]:
			knowledge = knowsAnswered
		case t.proven[p]:
			knowledge = knowsProven
		}
		crash.Knowledge = append(crash.Knowledge, knowledge)
	}
	n.Crashes = append(n.Crashes, crash)
}

// Merge applies a notice of another entry.
func (t *Table) Merge(n *Notice, now time.Time) {
	if n.VM == t.self || n.VM == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mergeParts(n, now)
	if n.Loaded {
		t.loadEnd = time.Time{}
	}
	t.mergeClaims(n.VM, n.Claims[:min(len(n.Claims), maxNoticeClaims)], now)
	if t.stale || now.Sub(t.rebuilt) >= expiryInterval {
		t.rebuild(now)
	}
	t.notify(false)
}

// mergeParts applies what a notice says of crashes and parts. The caller holds t.mu.
func (t *Table) mergeParts(n *Notice, now time.Time) {
	for _, p := range validParts(n.Proven) {
		t.setKnown(p, true, false)
	}
	for i := range n.Crashes[:min(len(n.Crashes), maxNoticeCrashes)] {
		t.mergeCrash(&n.Crashes[i], now)
	}
	for _, c := range n.Cleared[:min(len(n.Cleared), maxNoticeCleared)] {
		t.mergeCleared(c, now)
	}
	for _, s := range n.Saved[:min(len(n.Saved), maxNoticeSaved)] {
		if _, ok := t.saved[s.Part]; !ok && len(t.saved) < maxSaved && len(s.Part) <= maxPartBytes {
			t.saved[s.Part], t.stale = s.Record, true
		}
	}
}

func (t *Table) mergeCrash(n *CrashNotice, now time.Time) {
	if n.Age < 0 || n.Age >= crashRetention {
		return
	}
	c := t.addCrash(n.Upstream, n.IDs[:min(len(n.IDs), maxCrashIDs)], now.Add(-n.Age))
	t.stale = t.stale || n.KnownMissing && !c.knownMissing || n.Partial && !c.partial
	c.knownMissing, c.partial = c.knownMissing || n.KnownMissing, c.partial || n.Partial
	for i, p := range slices.Concat(n.Parts, n.Begun, n.Resumed) {
		if i >= len(n.Knowledge) || n.Knowledge[i] == knowsNothing || len(p) > maxPartBytes {
			continue
		}
		t.setKnown(p, true, n.Knowledge[i] == knowsAnswered)
	}
	t.addParts(c, validParts(n.Parts), ProgressNone)
	t.addParts(c, validParts(n.Resumed), ProgressResumed)
	t.addParts(c, validParts(n.Begun), ProgressBegun)
}

// maxNoticeDelay is how much later than it was a time may seem that a notice states as an age. A time that is later by less
// is taken for the known one.
const maxNoticeDelay = 100 * time.Millisecond

func (t *Table) mergeCleared(n ClearedNotice, now time.Time) {
	if n.Age < 0 || n.Age >= crashRetention || n.Answered < 0 || len(n.Part) > maxPartBytes {
		return
	}
	c := t.cleared[n.Part]
	if at := now.Add(-n.Age); at.Sub(c.proven) > maxNoticeDelay {
		c.proven = at
	}
	if at := now.Add(-n.Answered); n.Answered > 0 && at.Sub(c.answered) > maxNoticeDelay {
		c.answered = at
	}
	if c != t.cleared[n.Part] {
		t.cleared[n.Part], t.stale = c, true
	}
}

// validParts returns the parts of a notice that may be kept.
func validParts(parts []string) []string {
	valid := make([]string, 0, min(len(parts), maxNoticeParts))
	for _, p := range parts {
		if p != "" && len(p) <= maxPartBytes && len(valid) < maxNoticeParts {
			valid = append(valid, p)
		}
	}
	return valid
}
