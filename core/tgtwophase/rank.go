package tgtwophase

// fault selects a broken variant of the protocol; tests set it to show that the exploration finds the fault.
type fault string

const (
	faultArmPassed      fault = "armPassed"      // rank arms for a step that it has entered already
	faultBlindRestart   fault = "blindRestart"   // restarted companion accepts messages before it knows the token
	faultCommitFirstAck fault = "commitFirstAck" // controller commits when the first rank is armed
	faultIgnoreToken    fault = "ignoreToken"    // rank accepts stale tokens
	faultKeepFormation  fault = "keepFormation"  // a restarted rank returns to its formation with the map it had
	faultPartialRead    fault = "partialRead"    // new controller decides before it has read all ranks
	faultRecoverAbort   fault = "recoverAbort"   // new controller aborts although a rank has committed
	faultRunUndecided   fault = "runUndecided"   // rank runs the armed step without a decision
	faultSkipArm        fault = "skipArm"        // controller commits staged ranks without arming them
)

// Rank is the state machine of one rank, that is, of an engine and its companion. The companion holds the token: it is
// kept when the engine restarts and lost when the companion restarts.
type Rank struct {
	State

	fault        fault
	index        int
	tokenUnknown bool // the companion restarted and has not learnt the token
}

// NewRank returns the rank with the given index; it refuses all messages before LearnToken.
func NewRank(index int) *Rank { return &Rank{index: index, tokenUnknown: true} }

// LearnToken raises the token to the highest one in the log, which ends the refusals after a restart of the companion.
func (r *Rank) LearnToken(token uint64) {
	r.Token = max(r.Token, token)
	r.tokenUnknown = false
}

// RestartCompanion clears the token as a restart of the companion does; the engine keeps its state.
func (r *Rank) RestartCompanion() {
	r.Token = 0
	r.tokenUnknown = r.fault != faultBlindRestart
}

// RestartEngine clears map, formation and armed change as a restart of the engine does; the rank enters no step before
// it joins a formation again.
func (r *Rank) RestartEngine() {
	if r.fault == faultKeepFormation {
		r.Armed, r.ArmedStep = ID{}, 0
		return
	}
	r.State = State{Token: r.Token}
}

// MarkStaged records that the weights of the map id are in memory.
func (r *Rank) MarkStaged(id ID) { r.Staged = id }

// EnterStep enters the next step and returns its map, or false while the rank has to wait.
func (r *Rank) EnterStep() (ID, bool) {
	if r.Formation.IsZero() {
		return ID{}, false
	}
	if !r.Armed.IsZero() && r.NextStep == r.ArmedStep {
		switch {
		case r.Committed == r.Armed:
			r.Map, r.Armed, r.ArmedStep = r.Armed, ID{}, 0
		case r.fault != faultRunUndecided:
			return ID{}, false
		}
	}
	r.NextStep++
	return r.Map, true
}

// Receive carries out m and returns the reply. A stage message is carried out by the caller, who loads the weights
// and then calls MarkStaged; it is refused here if it comes too late.
func (r *Rank) Receive(m Message) Reply {
	refusal := r.receive(m)
	return Reply{From: r.index, Kind: m.Kind, Refusal: refusal, Round: m.Round, State: r.State}
}

func (r *Rank) receive(m Message) Refusal {
	if r.tokenUnknown {
		return RefusalTokenUnknown
	}
	if m.Token < r.Token && r.fault != faultIgnoreToken {
		return RefusalStale
	}
	r.Token = max(r.Token, m.Token)
	switch m.Kind {
	case KindAbort:
		return r.abort(m)
	case KindArm:
		return r.arm(m)
	case KindCommit:
		return r.commit(m)
	case KindForm:
		return r.form(m)
	case KindStage:
		return r.stage(m)
	default:
		return ""
	}
}

func (r *Rank) stage(m Message) Refusal {
	switch {
	case !r.Closed.Less(m.Change) || m.Change.Less(r.LatestStaged):
		return RefusalClosed
	case !r.Armed.IsZero() && m.Formation.IsZero():
		return RefusalBusy
	case !r.Armed.IsZero() && m.Map != r.Armed:
		// Loading overwrites the weights of the armed map, so the rank can no longer run its step.
		r.Armed, r.ArmedStep, r.Formation = ID{}, 0, ID{}
	}
	r.LatestStaged = m.Change
	return ""
}

func (r *Rank) arm(m Message) Refusal {
	switch {
	case r.Armed == m.Change:
		return ""
	case !r.Closed.Less(m.Change):
		return RefusalClosed
	case r.Formation != m.Formation:
		return RefusalFormation
	case !r.Armed.IsZero():
		return RefusalBusy
	case r.Staged != m.Change:
		return RefusalNotStaged
	case m.Step < r.NextStep && r.fault != faultArmPassed:
		return RefusalStepPassed
	}
	r.Armed, r.ArmedStep = m.Change, max(m.Step, r.NextStep)
	return ""
}

func (r *Rank) commit(m Message) Refusal {
	switch {
	case r.Committed == m.Change:
		return ""
	case r.fault == faultSkipArm && r.Staged == m.Change:
		r.Armed, r.ArmedStep = m.Change, max(m.Step, r.NextStep)
	case r.Armed != m.Change:
		return RefusalNotArmed
	}
	r.Committed, r.Closed = m.Change, m.Change
	return ""
}

func (r *Rank) abort(m Message) Refusal {
	if r.Committed == m.Change && r.fault != faultSkipArm {
		return RefusalClosed
	}
	if r.Armed == m.Change {
		r.Armed, r.ArmedStep = ID{}, 0
	}
	if r.Closed.Less(m.Change) {
		r.Closed = m.Change
	}
	return ""
}

// form moves the rank to another formation. Steps are counted per formation, and a step needs all members of its
// formation, so whatever was armed or committed in the old formation cannot complete a step any more.
func (r *Rank) form(m Message) Refusal {
	switch {
	case r.Formation == m.Formation:
		return ""
	case !r.Formation.Less(m.Formation) || m.Formation.Less(r.Closed):
		return RefusalClosed
	case r.Map != m.Map && r.Staged != m.Map:
		return RefusalNotStaged
	}
	r.State = State{
		Closed: m.Formation, Formation: m.Formation, LatestStaged: m.Formation, Map: m.Map, Members: m.Members, NextStep: m.Step,
		Staged: r.Staged, Token: r.Token,
	}
	return ""
}
