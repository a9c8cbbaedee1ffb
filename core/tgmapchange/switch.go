package tgmapchange

import (
	"time"
)

// Phase is the state of a change.
type Phase string

// Phases of a change.
const (
	PhaseAborting  Phase = "aborting"  // the ranks that may be armed are disarmed
	PhaseArming    Phase = "arming"    // all ranks are armed for the pass that is held
	PhaseFailed    Phase = "failed"    // the change ended without effect
	PhaseHolding   Phase = "holding"   // one rank is to keep the group from beginning the pass of the change
	PhaseLost      Phase = "lost"      // a controller with a higher token has taken over
	PhasePreparing Phase = "preparing" // the ranks load the experts that are new to them
	PhaseReleasing Phase = "releasing" // the outcome is decided; the hold is released
	PhaseSettling  Phase = "settling"  // not all ranks have begun the pass of the change
	PhaseSucceeded Phase = "succeeded"
)

const (
	maxHoldAttempts     = 4                      // orders to hold before the change fails
	reportTimeout       = 200 * time.Millisecond // wait for a report that shows an answered order; then it is sent again
	maxArmAttempts      = 6                      // orders to arm one rank before the change is undone
	minLeadPasses       = 2                      // passes from the newest known one to that of the change, at least
	minLeadAfterUnknown = 8                      // minLeadPasses if an order had no answer, so that repeats arrive in time
	maxLeadPasses       = 12                     // bounds the lead, since an idle group's passes do not show how long one takes
	minLeadTime         = 170 * time.Millisecond // for the order to hold, its report and the orders to arm, so no pass waits
	orderRetryDelay     = 10 * time.Millisecond  // between an answer or time-out and the next order to the rank
	prepareTimeout      = 6 * time.Second        // for all ranks to load the map
	prepareReportWait   = time.Second            // like reportTimeout, for orders to prepare: the report follows the loading
	prepareRetryDelay   = 100 * time.Millisecond // like orderRetryDelay, for orders to prepare
	settleTimeout       = 2 * time.Second        // after the release; an idle group begins no pass and its ranks stay armed
)

// rankProgress is the progress of one rank in the present phase.
type rankProgress struct {
	armSent        bool      // an order to arm was sent; it may still be carried out
	attempts       int       // orders sent
	done           bool      // the order of the phase was answered; a report has to show that it was carried out
	pending        bool      // an order is in flight
	prepareUnknown bool      // an order to prepare had no answer, or was sent again
	replaced       bool      // the order to replace the prepared map was answered
	sentAt         time.Time // of the last order or its result
}

// Switch is one change of a group's map, from the order to load experts to the pass that first uses them. It does no
// I/O: its owner sends the orders that NextOrders returns and reports their results. It is not safe for concurrent use.
type Switch struct {
	epoch            int64
	failed           bool // the change is being undone
	holdAttempts     int
	holder           int // rank that holds the pass
	localRank        int // rank that is armed last
	phase            Phase
	ranks            []rankProgress
	reason           string
	releasedAt       time.Time // when the hold was released
	sawUnknownResult bool      // an order had no answer
	startStep        int64     // newest pass when the change started; 0 until it is known
	startedAt        time.Time
	step             int64 // pass of the change; 0 until one is selected
	version          int64 // of the new map
}

// NewSwitch returns the change of a group of n ranks to the map of the given version. localRank, on the controller's VM,
// is armed after all others, and another rank holds the pass: if that VM stops during a change, its rank is known not
// to be armed unless all others are, and the hold can be released without it.
func NewSwitch(n int, epoch, version int64, localRank int, now time.Time) *Switch {
	return &Switch{
		epoch: epoch, holder: (localRank + 1) % n, localRank: localRank, phase: PhasePreparing,
		ranks: make([]rankProgress, n), startedAt: now, version: version,
	}
}

// Phase returns the phase.
func (s *Switch) Phase() Phase { return s.phase }

// Reason returns why the change failed or was taken over; empty otherwise.
func (s *Switch) Reason() string { return s.reason }

// Step returns the pass of the change, or 0 before one is selected.
func (s *Switch) Step() int64 { return s.step }

// Ended reports whether no more orders will be due.
func (s *Switch) Ended() bool {
	return s.phase == PhaseFailed || s.phase == PhaseLost || s.phase == PhaseSucceeded
}

func (s *Switch) enterPhase(p Phase) {
	s.phase = p
	if p == PhaseArming || p == PhaseHolding {
		for i := range s.ranks {
			s.ranks[i] = rankProgress{}
		}
	}
}

// NextOrders advances the change by the reported states of the ranks and returns the orders to send now.
func (s *Switch) NextOrders(ranks []RankState, now time.Time) []Order {
	if s.Ended() {
		return nil
	}
	if !s.sameEpoch(ranks) {
		// In a new epoch the ranks start with map 0 and without holds, and refuse the orders of this one.
		s.fail("epoch", PhaseFailed)
		return nil
	}
	switch s.phase {
	case PhasePreparing:
		return s.prepare(ranks, now)
	case PhaseHolding:
		return s.hold(ranks, now)
	case PhaseArming:
		return s.arm(ranks, now)
	case PhaseAborting:
		return s.abort(ranks, now)
	case PhaseReleasing:
		return s.release(ranks, now)
	case PhaseSettling:
		s.settle(ranks, now)
	default:
	}
	return nil
}

// settle ends the change when all ranks use the new map, or after settleTimeout.
func (s *Switch) settle(ranks []RankState, now time.Time) {
	for _, r := range ranks {
		if r.Version != s.version && now.Sub(s.releasedAt) < settleTimeout {
			return
		}
	}
	s.phase = PhaseSucceeded
}

func (s *Switch) sameEpoch(ranks []RankState) bool {
	for _, r := range ranks {
		if r.Epoch != s.epoch && !r.Seen.IsZero() {
			return false
		}
	}
	return true
}

func (s *Switch) fail(reason string, phase Phase) {
	if s.reason == "" {
		s.reason = reason
	}
	s.phase = phase
}

// issue returns an order and marks it as in flight.
func (s *Switch) issue(op Operation, rank int, now time.Time) Order {
	s.ranks[rank].markSent(now)
	return Order{Epoch: s.epoch, Operation: op, Rank: rank, Step: s.step, Version: s.version}
}

// markSent records that an order is in flight.
func (p *rankProgress) markSent(now time.Time) {
	p.pending, p.sentAt = true, now
	p.attempts++
}

// mayIssue reports whether the rank may be sent an order: none is in flight, and the delay since the last one or its
// result has passed.
func (p *rankProgress) mayIssue(now time.Time, delay time.Duration) bool {
	return !p.pending && (p.attempts == 0 || now.Sub(p.sentAt) >= delay)
}

// awaitsReport reports whether the last order was answered so recently that a report may still show what became of it.
func (p *rankProgress) awaitsReport(now time.Time, timeout time.Duration) bool {
	return p.done && now.Sub(p.sentAt) < timeout
}

func (s *Switch) prepare(ranks []RankState, now time.Time) []Order {
	if now.Sub(s.startedAt) > prepareTimeout {
		s.fail("prepareTimeout", PhaseFailed)
		return nil
	}
	if s.startStep == 0 {
		s.startStep = newestStep(ranks)
	}
	var due []Order
	ready := true
	for i := range s.ranks {
		p := &s.ranks[i]
		if ranks[i].Prepared == s.version {
			continue
		}
		ready = false
		if !p.awaitsReport(now, prepareReportWait) && p.mayIssue(now, prepareRetryDelay) {
			p.prepareUnknown = p.prepareUnknown || p.done
			due = append(due, s.issue(Prepare, i, now))
		}
	}
	if ready {
		s.enterPhase(PhaseHolding)
		return s.hold(ranks, now)
	}
	return due
}

func newestStep(ranks []RankState) int64 {
	step := int64(0)
	for _, r := range ranks {
		step = max(step, r.Step)
	}
	return step
}

// leadPasses returns how many passes after the newest one the change is to take effect. The duration of a pass is
// estimated from the passes since the change started.
func (s *Switch) leadPasses(newest int64, now time.Time) int64 {
	lead := int64(minLeadPasses)
	if passes := newest - s.startStep; passes > 0 {
		pass := now.Sub(s.startedAt) / time.Duration(passes)
		lead = min(max(lead, 1+int64(minLeadTime/max(pass, 1))), maxLeadPasses)
	}
	if s.sawUnknownResult {
		return max(lead, minLeadAfterUnknown)
	}
	return lead
}

// hold orders one rank to hold the pass. No rank is armed before that rank reports the hold: if this controller's VM
// stops right after its order, its successor finds no rank armed and can release the hold without that VM.
func (s *Switch) hold(ranks []RankState, now time.Time) []Order {
	p := &s.ranks[s.holder]
	if s.step != 0 && ranks[s.holder].Held == s.step {
		s.enterPhase(PhaseArming)
		return s.arm(ranks, now)
	}
	if !p.mayIssue(now, orderRetryDelay) || p.awaitsReport(now, reportTimeout) {
		return nil
	}
	if s.step == 0 || newestStep(ranks) >= s.step {
		s.step = newestStep(ranks) + s.leadPasses(newestStep(ranks), now)
	}
	if s.holdAttempts++; s.holdAttempts > maxHoldAttempts {
		// An order to hold that had no answer may still take effect before its pass begins, so it is released.
		s.failed = true
		s.fail("hold", PhaseReleasing)
		return s.startRelease(ranks, now)
	}
	return []Order{s.issue(Hold, s.holder, now)}
}

// arm orders all ranks to use the new map. The hold ends only when all of them have reported that they are armed.
func (s *Switch) arm(ranks []RankState, now time.Time) []Order {
	var due []Order
	all, others := true, true
	isArmed := func(i int) bool { return ranks[i].ArmedVersion == s.version && ranks[i].ArmedStep == s.step }
	for i := range s.ranks {
		others = others && (isArmed(i) || i == s.localRank)
		all = all && isArmed(i)
	}
	if all {
		return s.startRelease(ranks, now)
	}
	for i := range s.ranks {
		p := &s.ranks[i]
		if isArmed(i) || i == s.localRank && !others || p.awaitsReport(now, reportTimeout) ||
			!p.mayIssue(now, orderRetryDelay) {
			continue
		}
		if p.attempts >= maxArmAttempts {
			s.startAbort("arm")
			return s.abort(ranks, now)
		}
		due = append(due, s.issue(Arm, i, now))
	}
	return due
}

// startAbort begins to disarm the ranks that may be armed.
func (s *Switch) startAbort(reason string) {
	s.failed = true
	s.fail(reason, PhaseAborting)
	for i := range s.ranks {
		p := &s.ranks[i]
		*p = rankProgress{armSent: p.attempts > 0, pending: p.pending}
	}
}

// abort disarms all ranks that were sent an order to arm, and lets them prepare the map in use under RollbackVersion. A
// rank does so only if it is not armed, and afterwards an order to arm that is carried out late has no effect. So a report
// of that version shows that the rank does not use the new map. The rank on the controller's VM comes first: as long as
// another rank is not armed, a successor takes it for not armed, either.
func (s *Switch) abort(ranks []RankState, now time.Time) []Order {
	var due []Order
	all := true
	isUndone := func(i int) bool { return !s.ranks[i].armSent || ranks[i].Prepared == s.RollbackVersion() }
	for i := range s.ranks {
		p := &s.ranks[i]
		if isUndone(i) {
			continue
		}
		all = false
		if i != s.localRank && !isUndone(s.localRank) {
			continue
		}
		if !p.mayIssue(now, orderRetryDelay) || p.replaced && p.awaitsReport(now, reportTimeout) {
			continue
		}
		if !p.done || p.replaced {
			p.done, p.replaced = false, false
			due = append(due, s.issue(Disarm, i, now))
			continue
		}
		o := s.issue(Prepare, i, now)
		o.Version = s.RollbackVersion()
		due = append(due, o)
	}
	if all {
		return s.startRelease(ranks, now)
	}
	return due
}

// RollbackVersion returns the version under which the map in use is prepared again when a change is undone.
func (s *Switch) RollbackVersion() int64 { return s.version + 1 }

func (s *Switch) startRelease(ranks []RankState, now time.Time) []Order {
	s.phase = PhaseReleasing
	s.ranks[s.holder] = rankProgress{}
	return s.release(ranks, now)
}

// release ends the hold. It has ended when the rank reports so after an order, or when its pass has begun.
func (s *Switch) release(ranks []RankState, now time.Time) []Order {
	p, holder := &s.ranks[s.holder], ranks[s.holder]
	ended := p.attempts > 0 && !p.pending && holder.Held != s.step && holder.Seen.After(p.sentAt)
	if ended || newestStep(ranks) >= s.step {
		s.phase, s.releasedAt = PhaseSettling, now
		if s.failed {
			s.phase = PhaseFailed
		}
		return nil
	}
	if !p.mayIssue(now, orderRetryDelay) || p.awaitsReport(now, reportTimeout) {
		return nil
	}
	return []Order{s.issue(Release, s.holder, now)}
}
