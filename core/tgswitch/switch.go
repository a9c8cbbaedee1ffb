package tgswitch

import (
	"time"
)

// Phase is what a change is doing.
type Phase string

// Phases of a change.
const (
	PhaseAborting  Phase = "aborting"  // disarming the ranks
	PhaseArming    Phase = "arming"    // all ranks, for the pass that is held
	PhaseFailed    Phase = "failed"    // ended without effect
	PhaseHolding   Phase = "holding"   // one rank keeps the group from beginning the pass of the change
	PhaseLost      Phase = "lost"      // another controller has taken over
	PhasePreparing Phase = "preparing" // the ranks load the experts that are new to them
	PhaseReleasing Phase = "releasing" // the change is decided; the hold ends
	PhaseSettling  Phase = "settling"  // the pass of the change has not begun yet
	PhaseSucceeded Phase = "succeeded"
)

const (
	maxHoldAttempts     = 4
	holdReportTimeout   = 200 * time.Millisecond // for the report of a hold that was answered; then it is ordered again
	maxArmAttempts      = 6
	minLeadPasses       = 2                      // passes between the newest one that is known and that of the change
	minLeadAfterUnknown = 8                      // at least, after orders had no answer, so that repeats are in time
	maxLeadPasses       = 12                     // passes of an idle group say nothing of their time
	minLeadTime         = 170 * time.Millisecond // for the order to hold, its report and the orders to arm: no pass waits
	orderRetryDelay     = 10 * time.Millisecond  // before an order that had no answer is sent again
	prepareTimeout      = 6 * time.Second
	prepareRetryDelay   = 100 * time.Millisecond
	settleTimeout       = 2 * time.Second // an idle group begins no pass; its ranks stay armed
)

// rankProgress is how far one rank is in the present phase.
type rankProgress struct {
	armUnknown     bool // an order to arm had no answer; it may still be carried out
	attempts       int
	done           bool
	pending        bool // an order is under way
	prepareUnknown bool // an order to prepare had no answer
	replaced       bool // the prepared map was replaced, so such an order does nothing
	sentAt         time.Time
}

// Switch is one change of a group's map, from the order to load experts to the pass that first uses them. It only says
// which orders are due; its owner sends them and reports the answers. It is not safe for concurrent use.
type Switch struct {
	epoch            int64
	failed           bool // the change is being undone
	holdAttempts     int  // of holds
	holder           int  // rank that holds the pass
	localRank        int  // rank that is armed last
	phase            Phase
	ranks            []rankProgress
	reason           string
	releasedAt       time.Time
	sawUnknownResult bool  // an order had no answer
	startStep        int64 // newest pass when the change started; 0 until it is known
	startedAt        time.Time
	step             int64
	version          int64
}

// NewSwitch returns a change of a group of n ranks in an epoch to the map of a version. The rank own, on the VM of the
// controller, is armed after all others, and another rank holds the pass: if that VM stops in the middle of a change,
// its rank is known not to be armed unless all others are, and the hold can be ended without it.
func NewSwitch(n int, epoch, version int64, localRank int, now time.Time) *Switch {
	return &Switch{
		epoch: epoch, holder: (localRank + 1) % n, localRank: localRank, phase: PhasePreparing,
		ranks: make([]rankProgress, n), startedAt: now, version: version,
	}
}

// Phase returns the phase.
func (s *Switch) Phase() Phase { return s.phase }

// Reason says why a change failed.
func (s *Switch) Reason() string { return s.reason }

// Step returns the pass of the change.
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

// NextOrders returns the orders to send now.
func (s *Switch) NextOrders(ranks []RankState, now time.Time) []Order {
	if s.Ended() {
		return nil
	}
	if !s.sameEpoch(ranks) {
		// A new epoch starts with map 0 and without holds, and orders of this one are refused.
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

// settle ends the change when all ranks use the new map.
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

// issue returns an order and notes that it is under way.
func (s *Switch) issue(op Operation, rank int, now time.Time) Order {
	s.ranks[rank].markSent(now)
	return Order{Epoch: s.epoch, Operation: op, Rank: rank, Step: s.step, Version: s.version}
}

// markSent notes that an order is under way.
func (p *rankProgress) markSent(now time.Time) {
	p.pending, p.sentAt = true, now
	p.attempts++
}

// mayIssue reports whether the rank may be sent an order: none is under way, and the last one was sent a pause ago.
func (p *rankProgress) mayIssue(now time.Time, pause time.Duration) bool {
	return !p.pending && (p.attempts == 0 || now.Sub(p.sentAt) >= pause)
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

// leadPasses returns how many passes ahead the change is to be. The passes since it started tell how long one takes.
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
// stops right after its order, its successor finds no rank armed and can end the hold without that VM.
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
		// A hold without an answer may still take effect before its pass begins, so it is released.
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

// startAbort starts to disarm the ranks that may be armed.
func (s *Switch) startAbort(reason string) {
	s.failed = true
	s.fail(reason, PhaseAborting)
	for i := range s.ranks {
		p := &s.ranks[i]
		*p = rankProgress{armUnknown: p.armUnknown, done: p.attempts == 0, pending: p.pending}
	}
}

// abort disarms all ranks. A rank with an order to arm that had no answer gets the map in use prepared under the next
// version, after which that order does nothing if it is carried out late.
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
