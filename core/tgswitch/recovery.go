package tgswitch

import (
	"slices"
	"time"
)

// RecoveryPhase is what a recovery is doing.
type RecoveryPhase string

// Phases of a recovery.
const (
	RecoveryDisarming RecoveryPhase = "disarming"
	RecoveryEnded     RecoveryPhase = "ended"
	RecoveryHolding   RecoveryPhase = "holding" // ranks are disarmed only while the pass they are armed for is held
	RecoveryFencing   RecoveryPhase = "fencing" // all ranks refuse earlier controllers from here on
	RecoveryLost      RecoveryPhase = "lost"
	RecoveryReading   RecoveryPhase = "reading"
	RecoveryReleasing RecoveryPhase = "releasing"
)

// Recovery ends what an earlier controller left behind: a pass that is held, or ranks that are armed. A change that all
// ranks are armed for is completed, any other is undone.
type Recovery struct {
	disarmedAt      []time.Time // of disarming
	epoch           int64
	phase           RecoveryPhase
	predecessor     Predecessor
	ranks           []rankProgress
	readAfter       time.Time
	skipPredecessor bool  // the rank of the former controller cannot be reached and is known not to be armed
	step            int64 // first pass that a rank is armed for
}

// RecoveryNeeded reports whether the ranks' states call for a recovery. Ranks that are all armed for the same pass, which is
// not held, change without help.
func RecoveryNeeded(ranks []RankState) bool {
	for _, r := range ranks {
		if r.Held != 0 || r.ArmedVersion != ranks[0].ArmedVersion || r.ArmedStep != ranks[0].ArmedStep {
			return true
		}
	}
	return false
}

// AnyArmed reports whether a rank is armed.
func AnyArmed(ranks []RankState) bool {
	for _, r := range ranks {
		if r.ArmedVersion != 0 {
			return true
		}
	}
	return false
}

// Predecessor is the controller before the present one. Its VM may have stopped, and its rank with it.
type Predecessor struct {
	Rank  int // on its VM; negative if it is not known
	Token int64
}

const (
	recoveryRetryDelay = 50 * time.Millisecond // before an order of a recovery that had no answer is sent again

	versionTokenShift = 20 // of a version; the token of its controller stands above them
)

// FirstVersion returns the lowest version that a controller with a token uses.
func FirstVersion(token int64) int64 { return token << versionTokenShift }

// NewRecovery returns a recovery of a group of n ranks. Each controller begins with one in each epoch, so that no rank
// takes orders of an earlier one any more: ranks that start again forget the tokens that they have seen.
func NewRecovery(n int, epoch int64, predecessor Predecessor) *Recovery {
	return &Recovery{
		disarmedAt: make([]time.Time, n), epoch: epoch, phase: RecoveryFencing, predecessor: predecessor,
		ranks: make([]rankProgress, n),
	}
}

// Phase returns the phase.
func (v *Recovery) Phase() RecoveryPhase { return v.phase }

// Ended reports whether no more orders will be due.
func (v *Recovery) Ended() bool { return v.phase == RecoveryEnded || v.phase == RecoveryLost }

// NextOrders returns the orders to send now.
func (v *Recovery) NextOrders(ranks []RankState, now time.Time) []Order {
	for _, r := range ranks {
		if r.Epoch != v.epoch && !r.Seen.IsZero() {
			v.phase = RecoveryEnded // nothing of the old epoch is left
		}
	}
	switch v.phase {
	case RecoveryFencing:
		return v.fence(now)
	case RecoveryReading:
		return v.read(ranks, now)
	case RecoveryHolding:
		return v.hold(ranks, now)
	case RecoveryDisarming:
		return v.disarm(ranks, now)
	case RecoveryReleasing:
		return v.release(ranks, now)
	default:
		return nil
	}
}

func (v *Recovery) issue(op Operation, rank int, step, version int64, now time.Time) Order {
	v.ranks[rank].markSent(now)
	return Order{Epoch: v.epoch, Operation: op, Rank: rank, Step: step, Version: version}
}

// fence sends each rank an order that changes nothing but carries the new token.
func (v *Recovery) fence(now time.Time) []Order {
	var due []Order
	all := true
	for i := range v.ranks {
		if v.ranks[i].done {
			continue
		}
		all = all && i == v.predecessor.Rank
		if v.ranks[i].mayIssue(now, recoveryRetryDelay) {
			due = append(due, v.issue(Release, i, 0, 0, now))
		}
	}
	if all {
		v.phase, v.readAfter = RecoveryReading, now
	}
	return due
}

// read waits until the states of all ranks are known. Meanwhile the rank of the former controller is fenced when it can
// be reached again.
func (v *Recovery) read(ranks []RankState, now time.Time) []Order {
	ranks = v.knownStates(ranks)
	if ranks == nil {
		if i := v.predecessor.Rank; i >= 0 && !v.ranks[i].done && v.ranks[i].mayIssue(now, recoveryRetryDelay) {
			return []Order{v.issue(Release, i, 0, 0, now)}
		}
		return nil
	}
	same := true
	v.step = 0
	for _, r := range ranks {
		same = same && r.ArmedVersion == ranks[0].ArmedVersion && r.ArmedStep == ranks[0].ArmedStep
		if r.ArmedVersion != 0 && (v.step == 0 || r.ArmedStep < v.step) {
			v.step = r.ArmedStep
		}
	}
	clear(v.ranks)
	if same {
		v.phase = RecoveryReleasing
		return v.release(ranks, now)
	}
	v.phase = RecoveryHolding
	return v.hold(ranks, now)
}

// knownStates returns the ranks' states since the fence, or nil if they are not known yet. The rank of the former controller
// need not be reached if other ranks show a change of that controller and are not all armed: it arms its own rank after
// all others, and its change began only after its rank was fenced against earlier ones.
func (v *Recovery) knownStates(ranks []RankState) []RankState {
	armed, foreign, others, seen := 0, false, 0, false
	for i, r := range ranks {
		if i == v.predecessor.Rank {
			continue
		}
		if !r.Seen.After(v.readAfter) {
			return nil
		}
		others++
		if r.ArmedVersion != 0 {
			armed++
			foreign = foreign || r.ArmedVersion>>versionTokenShift != v.predecessor.Token
		}
		seen = seen || r.ArmedVersion>>versionTokenShift == v.predecessor.Token ||
			r.Prepared>>versionTokenShift == v.predecessor.Token
	}
	if v.predecessor.Rank < 0 || v.ranks[v.predecessor.Rank].done && ranks[v.predecessor.Rank].Seen.After(v.readAfter) {
		return ranks
	}
	if !seen || foreign || armed == others {
		return nil
	}
	v.skipPredecessor = true
	return v.effectiveStates(ranks)
}

// effectiveStates returns the ranks' states; the rank of a former controller that cannot be reached counts as not armed.
func (v *Recovery) effectiveStates(ranks []RankState) []RankState {
	if !v.skipPredecessor {
		return ranks
	}
	ranks = slices.Clone(ranks)
	former := &ranks[v.predecessor.Rank]
	former.ArmedStep, former.ArmedVersion, former.Held = 0, 0, 0
	return ranks
}

// hold keeps the group from beginning the first pass that a rank is armed for.
func (v *Recovery) hold(ranks []RankState, now time.Time) []Order {
	ranks = v.effectiveStates(ranks)
	free := -1
	for i, r := range ranks {
		if r.Held != 0 && r.Held <= v.step && r.Held > newestStep(ranks) {
			v.phase = RecoveryDisarming
			clear(v.ranks)
			return v.disarm(ranks, now)
		}
		if r.Held == 0 && free < 0 && i != v.predecessor.Rank {
			free = i
		}
	}
	if newestStep(ranks) >= v.step {
		v.phase, v.readAfter = RecoveryReading, now // too late for this pass: look again
		return nil
	}
	if free < 0 || !v.ranks[free].mayIssue(now, recoveryRetryDelay) {
		return nil
	}
	return []Order{v.issue(Hold, free, v.step, 0, now)}
}

func (v *Recovery) disarm(ranks []RankState, now time.Time) []Order {
	var due []Order
	ranks = v.effectiveStates(ranks)
	all := true
	for i, r := range ranks {
		p := &v.ranks[i]
		if r.ArmedVersion == 0 && (r.Seen.After(v.disarmedAt[i]) || v.skipPredecessor && i == v.predecessor.Rank) {
			continue
		}
		all = false
		if p.mayIssue(now, recoveryRetryDelay) && r.ArmedVersion != 0 {
			due = append(due, v.issue(Disarm, i, r.ArmedStep, r.ArmedVersion, now))
		}
	}
	if all {
		clear(v.ranks)
		v.phase = RecoveryReleasing
		return v.release(ranks, now)
	}
	return due
}

func (v *Recovery) release(ranks []RankState, now time.Time) []Order {
	var due []Order
	ranks = v.effectiveStates(ranks)
	all := true
	for i, r := range ranks {
		p := &v.ranks[i]
		if r.Held == 0 || p.done {
			continue
		}
		all = false
		if p.mayIssue(now, recoveryRetryDelay) {
			due = append(due, v.issue(Release, i, r.Held, 0, now))
		}
	}
	if all {
		v.phase = RecoveryEnded
	}
	return due
}

// HandleResult takes the result of an order.
func (v *Recovery) HandleResult(o Order, r Result, now time.Time) {
	p := &v.ranks[o.Rank]
	p.pending, p.sentAt = false, now
	switch {
	case r == ResultFenced:
		v.phase = RecoveryLost
	case r == ResultUnknown:
	case o.Operation == Disarm:
		v.disarmedAt[o.Rank] = now
	case v.phase == RecoveryFencing, v.phase == RecoveryReading, v.phase == RecoveryReleasing:
		p.done = true
	}
}
