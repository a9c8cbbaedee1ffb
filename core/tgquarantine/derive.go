package tgquarantine

import (
	"maps"
	"slices"
	"time"
)

// rebuild derives the suspects from the crashes and the records of the store, and notes what changed. The caller holds
// t.mu.
func (t *Table) rebuild(now time.Time) {
	t.expire(now)
	t.rebuilt, t.stale = now, false
	old := t.suspects
	t.suspects = map[string]*suspect{}
	for start := 0; start < len(t.crashes); {
		end := start + 1
		for end < len(t.crashes) && t.crashes[end].at.Sub(t.crashes[end-1].at) < burstGap {
			end++
		}
		t.countBurst(t.crashes[start:end])
		start = end
	}
	for p, r := range t.saved {
		t.addSaved(p, r)
	}
	t.convict()
	t.groupUnknown()
	t.noteChanges(old, now)
}

// addSaved adds the crashes in a record of the store that this entry has not heard of.
func (t *Table) addSaved(part string, r Record) {
	cleared := t.cleared[part]
	var unheard, begun []string
	weight := 0
	for _, id := range r.CrashIDs {
		progress := ProgressNone
		if slices.Contains(r.BegunIDs, id) {
			progress = ProgressBegun
		}
		isHeard := slices.ContainsFunc(t.crashes, func(c *crash) bool { return c.ids[id] && c.parts[part] != "" })
		if isHeard || cleared.voids(r.LastCrash, progress) {
			continue
		}
		if unheard = append(unheard, id); progress == ProgressBegun {
			begun = append(begun, id)
		}
		weight += progress.weight()
	}
	if len(unheard) == 0 {
		return
	}
	s := t.suspects[part]
	if s == nil {
		isCleared := func(c string) bool { return t.cleared[c].voids(r.LastCrash, ProgressNone) }
		s = &suspect{
			companions: slices.DeleteFunc(slices.Clone(r.Companions), isCleared), lastCrash: r.LastCrash, until: r.Until,
		}
		t.suspects[part] = s
	}
	if s.last == nil {
		s.lastID = unheard[len(unheard)-1]
	}
	s.crashIDs, s.begunIDs = append(s.crashIDs, unheard...), append(s.begunIDs, begun...)
	strikes := max(r.Strikes, 1) // fewer than the crashes, if these came close to each other
	s.strikes += min(len(unheard), strikes)
	s.weight += min(weight, strikes*weightNone)
	s.unbegun = s.unbegun || len(begun) < len(unheard)
}

// countBurst counts crashes that came close to each other.
func (t *Table) countBurst(burst []*crash) {
	seen := map[string]*strike{}
	for _, c := range burst {
		for p, progress := range c.parts {
			if t.cleared[p].voids(c.at, progress) || c.knownMissing && t.proven[p] ||
				progress != ProgressNone && t.answered[p] {
				continue
			}
			if seen[p] == nil {
				seen[p] = &strike{}
			}
			seen[p].add(c, progress)
			t.addEvidence(p, c, progress)
		}
	}
	for p, n := range seen {
		s := t.suspects[p]
		strikes, weight := n.total(len(burst))
		s.strikes += strikes
		s.weight += weight
		s.doubtful = s.doubtful || n.doubtful
	}
}

// addEvidence notes a crash that a part may have caused.
func (t *Table) addEvidence(part string, c *crash, progress Progress) {
	s := t.suspects[part]
	if s == nil {
		s = &suspect{}
		t.suspects[part] = s
	}
	id := c.id()
	s.crashIDs = append(s.crashIDs, id)
	if progress == ProgressBegun {
		s.begunIDs = append(s.begunIDs, id)
	}
	s.last, s.lastCrash, s.lastID, s.local = c, c.at, id, c.local
	s.unbegun = s.unbegun || progress == ProgressNone
}

// convict quarantines the parts with enough weight, unless another part at their last crash is more likely to blame. Of a
// part that is known from the store only, the store says what it may be quarantined with.
func (t *Table) convict() {
	blamed := map[*crash][]string{}
	for p, s := range t.suspects {
		if s.weight < convictWeight || s.last == nil {
			continue
		}
		if _, ok := blamed[s.last]; !ok {
			blamed[s.last] = t.blamed(s.last)
		}
		companions := blamed[s.last]
		if t.proven[p] == t.proven[companions[0]] {
			s.companions, s.until = companions, s.lastCrash.Add(t.duration(p, s.strikes))
		}
	}
}

// groupUnknown groups the unknown suspects by their last crash.
func (t *Table) groupUnknown() {
	t.unknown = map[string][]string{}
	for p, s := range t.suspects {
		if s.isSuspect() && s.unbegun && !t.proven[p] {
			t.unknown[s.lastID] = append(t.unknown[s.lastID], p)
		}
	}
}

// blamed returns the parts of a crash, sorted, that have enough weight: those of which no answer is known, or all if there
// are none.
func (t *Table) blamed(c *crash) []string {
	var known, unknown []string
	for p := range c.parts {
		switch s := t.suspects[p]; {
		case s == nil || s.weight < convictWeight:
		case t.proven[p]:
			known = append(known, p)
		default:
			unknown = append(unknown, p)
		}
	}
	slices.Sort(known)
	slices.Sort(unknown)
	if len(unknown) > 0 {
		return unknown
	}
	return known
}

// duration returns how long a part with a number of strikes stays quarantined.
func (t *Table) duration(part string, strikes int) time.Duration {
	if !t.proven[part] {
		return quarantineTime
	}
	d := firstRetrial
	for range max(0, strikes-strikesToConvict) {
		if d *= 2; d >= quarantineTime {
			return quarantineTime
		}
	}
	return d
}

// expire drops what is too old or too much. The caller holds t.mu.
func (t *Table) expire(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) > crashRetention })
	if excess := len(t.crashes) - maxCrashes; excess > 0 {
		t.crashes = slices.Delete(t.crashes, 0, excess)
	}
	t.expireParts()
	for p, r := range t.saved {
		if now.Sub(r.LastCrash) > crashRetention {
			delete(t.saved, p)
			t.obsolete[p] = true
		}
	}
	for p, c := range t.cleared {
		if now.Sub(c.latest()) > crashRetention || len(t.cleared) > maxCleared {
			delete(t.cleared, p)
		}
	}
}

// expireParts makes the oldest crashes lose all their parts, so that none of them is blamed for those, if there are too
// many, and forgets what is known of parts that are at no crash.
func (t *Table) expireParts() {
	kept := map[string]bool{}
	n := 0
	for _, c := range slices.Backward(t.crashes) {
		if n += len(c.parts); n > maxTableParts {
			c.parts, c.knownMissing, c.partial = map[string]Progress{}, true, true
		}
		for p := range c.parts {
			kept[p] = true
		}
	}
	isUnused := func(p string, _ bool) bool { return !kept[p] }
	maps.DeleteFunc(t.proven, isUnused)
	maps.DeleteFunc(t.answered, isUnused)
}

// noteChanges notes for the log how the suspects differ from the old ones.
func (t *Table) noteChanges(old map[string]*suspect, now time.Time) {
	for p, s := range t.suspects {
		if !s.isSuspect() {
			continue
		}
		o := old[p]
		outcome := OutcomeSuspect
		if s.isQuarantined(now) {
			outcome = OutcomeQuarantined
		}
		if !o.isSuspect() || o.strikes != s.strikes || o.isQuarantined(now) != s.isQuarantined(now) {
			t.note(Change{Outcome: outcome, Part: p, Strikes: s.strikes})
		}
	}
	for p, o := range old {
		if o.isSuspect() && !t.suspects[p].isSuspect() {
			t.note(Change{Outcome: OutcomeCleared, Part: p})
		}
	}
}

func (t *Table) note(c Change) {
	if len(t.changes) < maxChanges {
		t.changes = append(t.changes, c)
	}
}
