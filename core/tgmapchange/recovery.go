package tgmapchange

import (
	"slices"
	"time"
)

// RecoveryPhase is the state of a recovery.
type RecoveryPhase string

// Phases of a recovery.
const (
	RecoveryDisarming RecoveryPhase = "disarming" // all ranks are disarmed during the hold
	RecoveryEnded     RecoveryPhase = "ended"
	RecoveryHolding   RecoveryPhase = "holding"   // one rank is to hold the pass, since ranks are disarmed only during a hold
	RecoveryFencing   RecoveryPhase = "fencing"   // the ranks are sent the new token and refuse earlier ones from then on
	RecoveryLost      RecoveryPhase = "lost"      // a controller with a higher token has taken over
	RecoveryReading   RecoveryPhase = "reading"   // reports since the fencing are awaited
	RecoveryReleasing RecoveryPhase = "releasing" // all holds are released
)

// Recovery clears the state that an earlier controller left behind: a pass that is held, or ranks that are armed. A
// change that all ranks are armed for is completed, any other is undone. It is not safe for concurrent use.
type Recovery struct {
	disarmedAt      []time.Time // by rank: when an order to disarm was answered last
	epoch           int64
	phase           RecoveryPhase
	predecessor     Predecessor
	lastSeen        []time.Time // by rank: time of the newest report that counts
	ranks           []rankProgress
	readAfter       time.Time // only reports after this time count
	reports         []int     // by rank: number of reports that count
	skipPredecessor bool      // its rank cannot be reached and is known not to be armed
	step            int64     // earliest pass that a rank is armed for
}

// RecoveryNeeded reports whether the ranks' states call for a recovery. Ranks that are all armed for the same pass, which
// is not held, complete the change without one.
func RecoveryNeeded(ranks []RankState) bool {
	for _, r := range ranks {
		if r.Held != 0 || r.ArmedVersion != ranks[0].ArmedVersion || r.ArmedStep != ranks[0].ArmedStep {
			return true
		}
	}
	return false
}

// AnyArmed reports whether any rank is armed.
func AnyArmed(ranks []RankState) bool {
	for _, r := range ranks {
		if r.ArmedVersion != 0 {
			return true
		}
	}
	return false
}

// Predecessor is the controller before the present one. Its VM may have stopped, and the rank on that VM with it.
type Predecessor struct {
	Rank  int // on its VM; negative if unknown
	Token int64
}

const (
	minRecoveryReports = 2                     // of a rank: the first may be a copy of the one before, on the same connection
	recoveryRetryDelay = 50 * time.Millisecond // between an answer or time-out and the next order to the rank

	versionTokenShift = 20 // low bits of a version number the maps of a controller; the bits above them are its token
)

// FirstVersion returns the lowest version that the controller with the given token uses.
func FirstVersion(token int64) int64 { return token << versionTokenShift }

// NewRecovery returns a recovery of a group of n ranks. Each controller begins with one in each epoch, so that no rank
// accepts orders of an earlier controller any more: ranks that restart forget the tokens that they have seen.
func NewRecovery(n int, epoch int64, predecessor Predecessor) *Recovery {
	return &Recovery{
		disarmedAt: make([]time.Time, n), epoch: epoch, lastSeen: make([]time.Time, n), phase: RecoveryFencing,
		predecessor: predecessor, ranks: make([]rankProgress, n), reports: make([]int, n),
	}
}

// Phase returns the phase.
func (v *Recovery) Phase() RecoveryPhase { return v.phase }

// Ended reports whether no more orders will be due.
func (v *Recovery) Ended() bool { return v.phase == RecoveryEnded || v.phase == RecoveryLost }

// NextOrders advances the recovery by the reported states of the ranks and returns the orders to send now.
func (v *Recovery) NextOrders(ranks []RankState, now time.Time) []Order {
	for _, r := range ranks {
		if r.Epoch != v.epoch && !r.Seen.IsZero() {
			v.phase = RecoveryEnded // armed maps and holds of the old epoch are gone
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

// fence sends each rank a release of no pass, which changes nothing but carries the new token.
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
		v.startReading(now)
	}
	return due
}

// startReading makes only reports from now on count.
func (v *Recovery) startReading(now time.Time) {
	v.phase, v.readAfter = RecoveryReading, now
	clear(v.lastSeen)
	clear(v.reports)
}

// countReports counts the reports of each rank since it was fenced.
func (v *Recovery) countReports(ranks []RankState) {
	for i, r := range ranks {
		p := &v.ranks[i]
		if i == v.predecessor.Rank && !p.done {
			continue // not fenced yet
		}
		if r.Seen.After(v.readAfter) && r.Seen.After(p.sentAt) && r.Seen.After(v.lastSeen[i]) {
			v.lastSeen[i] = r.Seen
			v.reports[i]++
		}
	}
}

// read waits until the states of all ranks are known. Meanwhile the predecessor's rank is fenced as soon as it can be
// reached again.
func (v *Recovery) read(ranks []RankState, now time.Time) []Order {
	v.countReports(ranks)
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

// knownStates returns the ranks' states since the fencing, or nil if they are not known yet. The predecessor's rank need
// not be reached if other ranks show a change of the predecessor and are not all armed: it arms its own rank after all
// others, and it began its change only after its rank was fenced against earlier controllers.
func (v *Recovery) knownStates(ranks []RankState) []RankState {
	armed, foreignArmed, others, predecessorChange := 0, false, 0, false
	for i, r := range ranks {
		if i == v.predecessor.Rank {
			continue
		}
		if v.reports[i] < minRecoveryReports {
			return nil
		}
		others++
		if r.ArmedVersion != 0 {
			armed++
			foreignArmed = foreignArmed || r.ArmedVersion>>versionTokenShift != v.predecessor.Token
		}
		predecessorChange = predecessorChange || r.ArmedVersion>>versionTokenShift == v.predecessor.Token ||
			r.Prepared>>versionTokenShift == v.predecessor.Token
	}
	if v.predecessor.Rank < 0 || v.reports[v.predecessor.Rank] >= minRecoveryReports {
		return ranks
	}
	if !predecessorChange || foreignArmed || armed == others {
		return nil
	}
	v.skipPredecessor = true
	return v.effectiveStates(ranks)
}

// effectiveStates returns the ranks' states; the predecessor's rank counts as not armed if it is skipped.
func (v *Recovery) effectiveStates(ranks []RankState) []RankState {
	if !v.skipPredecessor {
		return ranks
	}
	ranks = slices.Clone(ranks)
	state := &ranks[v.predecessor.Rank]
	state.ArmedStep, state.ArmedVersion, state.Held = 0, 0, 0
	return ranks
}

// hold orders a rank to hold the earliest pass that a rank is armed for.
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
		v.startReading(now) // the pass has begun
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
		if r.Held == 0 {
			continue
		}
		all = false
		if !p.awaitsReport(now, reportTimeout) && p.mayIssue(now, recoveryRetryDelay) {
			due = append(due, v.issue(Release, i, r.Held, 0, now))
		}
	}
	if all {
		v.phase = RecoveryEnded
	}
	return due
}

// HandleResult records the result of an order.
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
