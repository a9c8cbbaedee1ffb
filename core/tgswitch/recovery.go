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
	absent  bool // the rank of the former controller cannot be reached and is known not to be armed
	epoch   int64
	fenced  time.Time
	former  Predecessor
	phase   RecoveryPhase
	ranks   []rankProgress
	answers []time.Time // of disarming
	step    int64       // first pass that a rank is armed for
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
	recoveryPause = 50 * time.Millisecond // before an order of a recovery that had no answer is sent again

	versionBits = 20 // of a version; the token of its controller stands above them
)

// FirstVersion returns the lowest version that a controller with a token uses.
func FirstVersion(token int64) int64 { return token << versionBits }

// NewRecovery returns a recovery of a group of n ranks. Each controller begins with one in each epoch, so that no rank
// takes orders of an earlier one any more: ranks that start again forget the tokens that they have seen.
func NewRecovery(n int, epoch int64, former Predecessor) *Recovery {
	return &Recovery{
		answers: make([]time.Time, n), epoch: epoch, former: former, phase: RecoveryFencing, ranks: make([]rankProgress, n),
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

func (v *Recovery) send(op Operation, rank int, step, version int64, now time.Time) Order {
	v.ranks[rank].sent(now)
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
		all = all && i == v.former.Rank
		if v.ranks[i].idle(now, recoveryPause) {
			due = append(due, v.send(Release, i, 0, 0, now))
		}
	}
	if all {
		v.phase, v.fenced = RecoveryReading, now
	}
	return due
}

// read waits until the states of all ranks are known. Meanwhile the rank of the former controller is fenced when it can
// be reached again.
func (v *Recovery) read(ranks []RankState, now time.Time) []Order {
	ranks = v.known(ranks)
	if ranks == nil {
		if i := v.former.Rank; i >= 0 && !v.ranks[i].done && v.ranks[i].idle(now, recoveryPause) {
			return []Order{v.send(Release, i, 0, 0, now)}
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

// known returns the ranks' states since the fence, or nil if they are not known yet. The rank of the former controller
// need not be reached if other ranks show a change of that controller and are not all armed: it arms its own rank after
// all others, and its change began only after its rank was fenced against earlier ones.
func (v *Recovery) known(ranks []RankState) []RankState {
	armed, foreign, others, seen := 0, false, 0, false
	for i, r := range ranks {
		if i == v.former.Rank {
			continue
		}
		if !r.Seen.After(v.fenced) {
			return nil
		}
		others++
		if r.ArmedVersion != 0 {
			armed++
			foreign = foreign || r.ArmedVersion>>versionBits != v.former.Token
		}
		seen = seen || r.ArmedVersion>>versionBits == v.former.Token || r.Prepared>>versionBits == v.former.Token
	}
	if v.former.Rank < 0 || v.ranks[v.former.Rank].done && ranks[v.former.Rank].Seen.After(v.fenced) {
		return ranks
	}
	if !seen || foreign || armed == others {
		return nil
	}
	v.absent = true
	return v.present(ranks)
}

// present returns the ranks' states; the rank of a former controller that cannot be reached counts as not armed.
func (v *Recovery) present(ranks []RankState) []RankState {
	if !v.absent {
		return ranks
	}
	ranks = slices.Clone(ranks)
	former := &ranks[v.former.Rank]
	former.ArmedStep, former.ArmedVersion, former.Held = 0, 0, 0
	return ranks
}

// hold keeps the group from beginning the first pass that a rank is armed for.
func (v *Recovery) hold(ranks []RankState, now time.Time) []Order {
	ranks = v.present(ranks)
	free := -1
	for i, r := range ranks {
		if r.Held != 0 && r.Held <= v.step && r.Held > newest(ranks) {
			v.phase = RecoveryDisarming
			clear(v.ranks)
			return v.disarm(ranks, now)
		}
		if r.Held == 0 && free < 0 && i != v.former.Rank {
			free = i
		}
	}
	if newest(ranks) >= v.step {
		v.phase, v.fenced = RecoveryReading, now // too late for this pass: look again
		return nil
	}
	if free < 0 || !v.ranks[free].idle(now, recoveryPause) {
		return nil
	}
	return []Order{v.send(Hold, free, v.step, 0, now)}
}

func (v *Recovery) disarm(ranks []RankState, now time.Time) []Order {
	var due []Order
	ranks = v.present(ranks)
	all := true
	for i, r := range ranks {
		p := &v.ranks[i]
		if r.ArmedVersion == 0 && (r.Seen.After(v.answers[i]) || v.absent && i == v.former.Rank) {
			continue
		}
		all = false
		if p.idle(now, recoveryPause) && r.ArmedVersion != 0 {
			due = append(due, v.send(Disarm, i, r.ArmedStep, r.ArmedVersion, now))
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
	ranks = v.present(ranks)
	all := true
	for i, r := range ranks {
		p := &v.ranks[i]
		if r.Held == 0 || p.done {
			continue
		}
		all = false
		if p.idle(now, recoveryPause) {
			due = append(due, v.send(Release, i, r.Held, 0, now))
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
		v.answers[o.Rank] = now
	case v.phase == RecoveryFencing, v.phase == RecoveryReading, v.phase == RecoveryReleasing:
		p.done = true
	}
}
