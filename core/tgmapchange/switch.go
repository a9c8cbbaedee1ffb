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
	holdReportTimeout   = 200 * time.Millisecond // wait for the report of an answered order to hold; then it is sent again
	maxArmAttempts      = 6                      // orders to arm one rank before the change is undone
	minLeadPasses       = 2                      // passes from the newest known one to that of the change, at least
	minLeadAfterUnknown = 8                      // minLeadPasses if an order had no answer, so that repeats arrive in time
	maxLeadPasses       = 12                     // bounds the lead, since an idle group's passes do not show how long one takes
	minLeadTime         = 170 * time.Millisecond // for the order to hold, its report and the orders to arm, so no pass waits
	orderRetryDelay     = 10 * time.Millisecond  // between an answer or time-out and the next order to the rank
	prepareTimeout      = 6 * time.Second        // for all ranks to load the map
	prepareRetryDelay   = 100 * time.Millisecond // like orderRetryDelay, for orders to prepare
	settleTimeout       = 2 * time.Second        // after the release; an idle group begins no pass and its ranks stay armed
)

// rankProgress is the progress of one rank in the present phase.
type rankProgress struct {
	armUnknown     bool      // an order to arm had no answer; it may still be carried out
	attempts       int       // orders sent
	done           bool      // the rank has done what the phase asks of it
	pending        bool      // an order is in flight
	prepareUnknown bool      // an order to prepare had no answer
	replaced       bool      // the prepared map was replaced, so a late order to arm has no effect
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
		if !p.done && p.mayIssue(now, prepareRetryDelay) {
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
	if !p.mayIssue(now, orderRetryDelay) || p.done && now.Sub(p.sentAt) < holdReportTimeout {
		return nil
	}
	if s.step == 0 || newestStep(ranks) >= s.step {
		s.step = newestStep(ranks) + s.leadPasses(newestStep(ranks), now)
	}
	if s.holdAttempts++; s.holdAttempts > maxHoldAttempts {
		// An order to hold that had no answer may still take effect before its pass begins, so it is released.
		s.failed = true
		s.fail("hold", PhaseReleasing)
		return s.release(ranks, now)
	}
	return []Order{s.issue(Hold, s.holder, now)}
}

func (s *Switch) arm(ranks []RankState, now time.Time) []Order {
	var due []Order
	all, others := true, true
	for i := range s.ranks {
		p := &s.ranks[i]
		p.done = p.done || ranks[i].ArmedVersion == s.version && ranks[i].ArmedStep == s.step
		others = others && (p.done || i == s.localRank)
		all = all && p.done
	}
	for i := range s.ranks {
		p := &s.ranks[i]
		if p.done || i == s.localRank && !others || !p.mayIssue(now, orderRetryDelay) {
			continue
		}
		if p.attempts >= maxArmAttempts {
			s.startAbort("arm")
			return s.abort(ranks, now)
		}
		due = append(due, s.issue(Arm, i, now))
	}
	if all {
		s.phase = PhaseReleasing
		s.ranks[s.holder].attempts, s.ranks[s.holder].pending = 0, false
		return s.release(ranks, now)
	}
	return due
}

// startAbort begins to disarm the ranks that may be armed.
func (s *Switch) startAbort(reason string) {
	s.failed = true
	s.fail(reason, PhaseAborting)
	for i := range s.ranks {
		p := &s.ranks[i]
		*p = rankProgress{armUnknown: p.armUnknown, done: p.attempts == 0, pending: p.pending}
	}
}

// abort disarms all ranks that may be armed. If an order to arm a rank had no answer, the rank also prepares the map in
// use under RollbackVersion, after which that order has no effect if it is carried out late.
func (s *Switch) abort(ranks []RankState, now time.Time) []Order {
	var due []Order
	all := true
	for i := range s.ranks {
		p := &s.ranks[i]
		p.replaced = p.replaced || ranks[i].Prepared == s.RollbackVersion()
		if p.done && (!p.armUnknown || p.replaced) {
			continue
		}
		all = false
		if !p.mayIssue(now, orderRetryDelay) {
			continue
		}
		if !p.done {
			due = append(due, s.issue(Disarm, i, now))
			continue
		}
		o := s.issue(Prepare, i, now)
		o.Version = s.RollbackVersion()
		due = append(due, o)
	}
	if all {
		s.phase = PhaseReleasing
		p := &s.ranks[s.holder]
		p.attempts, p.pending = 0, false
		return s.release(ranks, now)
	}
	return due
}

// RollbackVersion returns the version under which the map in use is prepared again when a change is undone.
func (s *Switch) RollbackVersion() int64 { return s.version + 1 }

func (s *Switch) release(_ []RankState, now time.Time) []Order {
	if !s.ranks[s.holder].mayIssue(now, orderRetryDelay) {
		return nil
	}
	return []Order{s.issue(Release, s.holder, now)}
}
