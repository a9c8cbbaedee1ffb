package tgquarantine

import (
	"slices"
	"time"
)

const (
	// A crash in a trial of all unknown parts of an earlier crash would not tell which is to blame. For this long after that
	// crash, they wait for requests that have only some of them.
	jointTrialDelay  = 10 * time.Second
	pendingClaimTime = 300 * time.Millisecond // a claim that is not confirmed ends by itself
	trialTime        = 3 * time.Second        // a trial that takes longer no longer holds others back
)

// Verdict is whether a request may be sent.
type Verdict string

// Verdicts, sorted.
const (
	VerdictRefuse Verdict = "refuse" // a part of its prompt is quarantined
	VerdictSend   Verdict = "send"   // no part of its prompt is suspect
	VerdictTry    Verdict = "try"    // it may be sent as a trial
	VerdictWait   Verdict = "wait"   // it has to wait for a trial of one of its parts, or until quarantines are known
)

// Decision is the verdict on a request.
type Decision struct {
	Part       string        // that decided it; empty for VerdictSend
	RetryAfter time.Duration // until the end of the quarantine, for VerdictRefuse
	Verdict    Verdict
}

// claim reserves a part for a trial, so that a deadly part has one request at an upstream at most.
type claim struct {
	confirmed bool
	expires   time.Time
	holder    string // VM of the entry
	trial     *Trial // nil if another entry holds it
	upstream  string // ID of the upstream that has the request; empty until it is chosen
}

// Trial is a request with suspect parts. End ends it.
type Trial struct {
	parts  []string // suspect ones
	prompt []string // all shared parts of the prompt
	table  *Table
}

// Decide returns whether a request whose prompt has the given parts may be sent.
func (t *Table) Decide(parts []string, now time.Time) Decision {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.decide(parts, now)
}

func (t *Table) decide(parts []string, now time.Time) Decision {
	d := Decision{Verdict: VerdictSend}
	if len(parts) > 0 && now.Before(t.loadEnd) {
		return Decision{Part: parts[0], Verdict: VerdictWait}
	}
	contains := partSet(parts)
	for _, p := range parts {
		s := t.suspects[p]
		if !s.isSuspect() {
			continue
		}
		if s.isQuarantined(now) && contains(s.companions) {
			return Decision{Part: p, RetryAfter: s.until.Sub(now), Verdict: VerdictRefuse}
		}
		if d.Verdict == VerdictSend {
			d = Decision{Part: p, Verdict: VerdictTry}
		}
		if c, ok := t.claims[p]; ok && now.Before(c.expires) {
			d = Decision{Part: p, Verdict: VerdictWait}
		}
	}
	if d.Verdict == VerdictTry && t.isUndecided(parts, contains, now) {
		d.Verdict = VerdictWait
	}
	return d
}

// isUndecided reports whether a crash in a trial of several unknown parts would not tell which is to blame. Parts of which
// all crashes were in the middle of answers do not count: a stream that is resumed would be cut off if it waited.
func (t *Table) isUndecided(parts []string, contains func(wanted []string) bool, now time.Time) bool {
	unknown, undecided := 0, false
	for _, p := range parts {
		s := t.suspects[p]
		if s.isSuspect() && s.unbegun && !t.proven[p] && now.Sub(s.lastCrash) < jointTrialDelay {
			unknown++
			undecided = undecided || contains(t.unknown[s.lastID])
		}
	}
	return unknown > 1 && undecided
}

// HasUnknownSuspect reports whether one of the parts is suspect and no answer is known of it.
func (t *Table) HasUnknownSuspect(parts []string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.ContainsFunc(parts, func(p string) bool { return t.suspects[p].isSuspect() && !t.proven[p] })
}

// partSet returns a function that reports whether all parts of a sorted list are among those of a request.
func partSet(parts []string) func(wanted []string) bool {
	var set map[string]bool
	var last []string // the suspect parts of one crash share their list
	contained := false
	return func(wanted []string) bool {
		if len(last) > 0 && &last[0] == &wanted[0] {
			return contained
		}
		if set == nil {
			set = make(map[string]bool, len(parts))
			for _, p := range parts {
				set[p] = true
			}
		}
		last, contained = wanted, !slices.ContainsFunc(wanted, func(w string) bool { return !set[w] })
		return contained
	}
}

// Claim starts a trial of a request with the given parts. It returns nil if the verdict on the request is another one by
// now. The trial may be sent after Confirm, which has to wait until the claims of other entries have arrived.
func (t *Table) Claim(parts []string, now time.Time) *Trial {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.decide(parts, now).Verdict != VerdictTry {
		return nil
	}
	trial := &Trial{prompt: parts, table: t}
	for _, p := range parts {
		if t.suspects[p].isSuspect() {
			trial.parts = append(trial.parts, p)
			t.claims[p] = claim{expires: now.Add(pendingClaimTime), holder: t.self, trial: trial}
		}
	}
	t.notify(true)
	return trial
}

// Confirm reports whether the trial may be sent: no other entry has claimed one of its parts before, and none has been
// quarantined meanwhile.
func (r *Trial) Confirm(now time.Time) bool {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := slices.ContainsFunc(r.parts, func(p string) bool { return t.claims[p].trial != r })
	if lost || t.decide(r.prompt, now).Verdict == VerdictRefuse {
		r.end()
		return false
	}
	for _, p := range r.parts {
		t.claims[p] = claim{confirmed: true, expires: now.Add(trialTime), holder: t.self, trial: r}
	}
	t.notify(true)
	return true
}

// SetUpstream records which upstream gets the request.
func (r *Trial) SetUpstream(id string) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range r.parts {
		if c := t.claims[p]; c.trial == r {
			c.upstream = id
			t.claims[p] = c
		}
	}
	t.notify(true)
}

// TrialUpstreams returns the IDs of the upstreams that have a trial. A crash there would not tell which of two trials is to
// blame, so another one goes elsewhere.
func (t *Table) TrialUpstreams(now time.Time) map[string]bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	ids := map[string]bool{}
	for _, c := range t.claims {
		if c.upstream != "" && now.Before(c.expires) {
			ids[c.upstream] = true
		}
	}
	return ids
}

// End gives the parts of the trial free for others.
func (r *Trial) End() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.end()
}

// end removes the claims that the trial still holds. The caller holds the table's mu.
func (r *Trial) end() {
	for _, p := range r.parts {
		if r.table.claims[p].trial == r {
			delete(r.table.claims, p)
		}
	}
	r.table.notify(true)
}

// mergeClaims replaces the claims of another entry. Of two claims to a part, a confirmed one stands; of two that are not
// confirmed, that of the VM whose name is first. The caller holds t.mu.
func (t *Table) mergeClaims(holder string, claims []ClaimNotice, now time.Time) {
	for p, c := range t.claims {
		if c.holder == holder || !now.Before(c.expires) && c.trial == nil {
			delete(t.claims, p)
		}
	}
	for _, n := range claims {
		old, ok := t.claims[n.Part]
		stands := ok && now.Before(old.expires) &&
			(old.confirmed || !n.Confirmed && old.holder < holder)
		if stands {
			continue
		}
		ttl := pendingClaimTime
		if n.Confirmed {
			ttl = trialTime
		}
		t.claims[n.Part] = claim{confirmed: n.Confirmed, expires: now.Add(ttl), holder: holder, upstream: n.Upstream}
	}
}
