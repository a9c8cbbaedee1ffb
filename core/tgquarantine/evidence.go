package tgquarantine

import (
	"maps"
	"slices"
	"time"
)

// Progress is how far the answer to a request was when its upstream crashed.
type Progress string

// Progresses, sorted.
const (
	ProgressBegun   Progress = "begun"   // its first event had arrived
	ProgressNone    Progress = "none"    // it had not begun
	ProgressResumed Progress = "resumed" // it had begun, and an earlier crash had broken it at another upstream
)

// Weights of crashes. An answer that had begun shows less: an upstream that ends for another reason breaks many of these.
// That a stream meets a second crash where it is resumed is as unlikely as a crash before the answer.
const (
	weightBegun   = 2
	weightNone    = 3
	weightResumed = 3
	suspectWeight = 3 // from here on, requests with the part are trials
	convictWeight = 6
)

// ProofTime is how long an answer has to go on after its first event to clear parts that no answer had before. Some
// upstreams crash just after the first event.
const ProofTime = 250 * time.Millisecond

func (p Progress) weight() int {
	switch p {
	case ProgressNone:
		return weightNone
	case ProgressResumed:
		return weightResumed
	case ProgressBegun:
	}
	return weightBegun
}

const (
	maxCrashParts = 4096  // of one crash
	maxTableParts = 16384 // of all crashes
)

// crash is the end of an upstream. The entries that observe it name it independently.
type crash struct {
	at           time.Time // by this entry's clock, when it first heard of the crash, less the age that was stated
	ids          map[string]bool
	knownMissing bool                // parts of which answers are known are left out, so that none of those is blamed
	local        bool                // one of the requests was this entry's
	partial      bool                // parts of which no answer is known are left out, so that no part is blamed
	parts        map[string]Progress // of requests; of the answers with a part, the one with the highest weight
	upstream     string              // ID
}

// id returns one of the IDs, the same at all entries that have heard of all of them.
func (c *crash) id() string {
	first := ""
	for id := range c.ids {
		if first == "" || id < first {
			first = id
		}
	}
	return first
}

// isSame reports whether a report is of this crash. The clock of a VM does not count the time for which it was suspended,
// so the ages that it states later are too low; only the IDs tell then that the crash is known.
func (c *crash) isSame(upstream string, ids []string, at time.Time) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return c.ids[id] }) ||
		c.upstream == upstream && c.at.Sub(at).Abs() < sameCrashWindow
}

// addCrash adds a report to the crash that it is of, which may be a new one, and returns that crash. The caller holds
// t.mu.
func (t *Table) addCrash(upstream string, ids []string, at time.Time) *crash {
	i := slices.IndexFunc(t.crashes, func(c *crash) bool { return c.isSame(upstream, ids, at) })
	if i < 0 {
		i, _ = slices.BinarySearchFunc(t.crashes, at, func(c *crash, at time.Time) int { return c.at.Compare(at) })
		added := &crash{at: at, ids: map[string]bool{}, parts: map[string]Progress{}, upstream: upstream}
		t.crashes = slices.Insert(t.crashes, i, added)
		t.stale = true
	}
	c := t.crashes[i]
	for _, id := range ids {
		if len(c.ids) < maxCrashIDs && !c.ids[id] {
			c.ids[id], t.stale = true, true
		}
	}
	return c
}

// addParts adds the parts of a report to a crash. If these are too many, it leaves out known parts first. The caller holds
// t.mu.
func (t *Table) addParts(c *crash, parts []string, progress Progress) {
	for _, p := range parts {
		t.noteKnown(p)
		old, ok := c.parts[p]
		if !ok && len(c.parts) >= maxCrashParts && !c.knownMissing {
			c.knownMissing, t.stale = true, true
			maps.DeleteFunc(c.parts, func(p string, _ Progress) bool { return t.proven[p] })
		}
		switch {
		case ok && progress.weight() <= old.weight(), c.knownMissing && t.proven[p]:
		case !ok && len(c.parts) >= maxCrashParts:
			t.stale = t.stale || !c.partial
			c.partial = true
		default:
			c.parts[p], t.stale = progress, true
		}
	}
}

// noteKnown notes whether this entry knows answers to requests with a part of a crash.
func (t *Table) noteKnown(part string) {
	if proven, answered := t.history.find(part); t.setKnown(part, proven, answered) {
		t.outgoing = true
	}
}

// setKnown sets what answers are known to requests with a part, and reports whether that is new.
func (t *Table) setKnown(part string, proven, answered bool) (isNew bool) {
	if proven && !t.proven[part] {
		t.proven[part], isNew = true, true
	}
	if answered && !t.answered[part] {
		t.answered[part], isNew = true, true
	}
	t.stale = t.stale || isNew
	return isNew
}

// clearing is what answers have shown of a part that was suspect.
type clearing struct {
	answered time.Time // an answer was complete: voids all crashes until then
	proven   time.Time // an answer has begun: voids the crashes until then at which none had
}

func (c clearing) latest() time.Time {
	if c.answered.After(c.proven) {
		return c.answered
	}
	return c.proven
}

// voids reports whether a crash is no evidence against the part any more.
func (c clearing) voids(at time.Time, p Progress) bool {
	return !at.After(c.answered) || p == ProgressNone && !at.After(c.proven)
}

// strike is what the crashes of a burst show of a part.
type strike struct {
	counted  time.Time // of the last crash in the middle of an answer that counts
	crashes  int
	doubtful bool
	highest  int // weight
	sum      int // of the weights of the crashes that count
}

func (s *strike) add(c *crash, p Progress) {
	s.crashes++
	if c.partial {
		s.doubtful = true
		return
	}
	s.highest = max(s.highest, p.weight())
	if p == ProgressBegun {
		if c.at.Sub(s.counted) < burstGap {
			return
		}
		s.counted = c.at
	}
	s.sum += p.weight()
}

// total returns the number of crashes that count, and their weight. Crashes that came close to each other count more than
// once only for a part that was at each of them, and those in the middle of answers once in burstGap: when many upstreams
// end for another reason, a part that many requests share is at some of them by chance.
func (s *strike) total(crashes int) (strikes, weight int) {
	if s.crashes < crashes {
		return 1, s.highest
	}
	return s.crashes, s.sum
}
