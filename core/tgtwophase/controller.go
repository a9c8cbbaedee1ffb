package tgtwophase

// Phase is the state of a controller.
type Phase string

// Phases of a controller.
const (
	PhaseAborting   Phase = "aborting"   // the members drop the armed change
	PhaseArming     Phase = "arming"     // the members arm the change for its step
	PhaseCommitting Phase = "committing" // the change is decided and the members commit it
	PhaseFenced     Phase = "fenced"     // a rank has seen a higher token; this controller sends nothing more
	PhaseForming    Phase = "forming"    // the members join the new formation
	PhaseIdle       Phase = "idle"       // no change is in progress
	PhaseReading    Phase = "reading"    // the members' states are read: after a start, a loss of state or a change of members
	PhaseStaging    Phase = "staging"    // the members load the weights of the new map
)

// Controller is the state machine of the holder of a group's lease. It does no I/O: the caller sends the messages that
// Messages returns until a reply changes the phase. A controller that restarts needs a new token.
type Controller struct {
	change    ID // in progress or last finished
	committed ID // last change that was decided; never reversed
	fault     fault
	formation ID // of the members; zero while one is being formed
	leadSteps uint64
	mapID     ID // map in use, or the one that a formation starts with
	members   uint64
	newMap    bool // the next formation starts with a new map
	phase     Phase
	replies   []rankReply // by rank, to the messages of the present round
	round     uint64      // incremented with each phase; replies of earlier rounds are ignored
	sequence  uint64      // of the last ID that was made
	step      uint64      // from which the change or formation applies
	token     uint64
}

type rankReply struct {
	received bool
	state    State
}

// NewController returns the controller that holds token for a group of n ranks (at most 64). A change is armed leadSteps
// steps ahead. Bit i of members is set if rank i is a member.
func NewController(token uint64, n int, members, leadSteps uint64) *Controller {
	return &Controller{
		leadSteps: leadSteps, members: members, phase: PhaseReading, replies: make([]rankReply, n), token: token,
	}
}

// Change returns the change or formation in progress or last finished.
func (c *Controller) Change() ID { return c.change }

// Formation returns the formation of the members.
func (c *Controller) Formation() ID { return c.formation }

// Map returns the map in use.
func (c *Controller) Map() ID { return c.mapID }

// Members returns the members of the group; bit i is set for rank i.
func (c *Controller) Members() uint64 { return c.members }

// Phase returns the phase.
func (c *Controller) Phase() Phase { return c.phase }

// AwaitingReply returns the members that have not replied in the present phase.
func (c *Controller) AwaitingReply() []int {
	var waiting []int
	for i := range c.replies {
		if c.isMember(i) && !c.replies[i].received {
			waiting = append(waiting, i)
		}
	}
	return waiting
}

// Propose starts a change to a new map and returns its ID, or false while another one is in progress. The caller
// must hold the lease. A change that was started is finished even if the lease is lost, since the token fences it.
func (c *Controller) Propose() (ID, bool) {
	if c.phase != PhaseIdle {
		return ID{}, false
	}
	c.change = c.nextID()
	c.enterPhase(PhaseStaging)
	return c.change, true
}

// Abandon stops a change that is not decided. A commit that has begun and a formation are never abandoned.
func (c *Controller) Abandon() {
	switch {
	case c.phase == PhaseArming:
		c.enterPhase(PhaseAborting)
	case c.phase == PhaseStaging && !c.forming():
		c.enterPhase(PhaseIdle)
	}
}

// ChangeMembers starts a formation of other members with a new map. It is safe while a rank is unreachable, since that
// rank cannot run a step of its old formation without the others.
func (c *Controller) ChangeMembers(members uint64) {
	if c.phase != PhaseFenced {
		c.members, c.newMap = members, true
		c.enterPhase(PhaseReading)
	}
}

// Observe processes a state of rank i that was read outside the protocol. A rank that has lost its state or is armed
// without a change in progress makes an idle controller read all ranks.
func (c *Controller) Observe(i int, s State) {
	if c.phase == PhaseIdle && c.isMember(i) && (s.Formation != c.formation || !s.Armed.IsZero() && s.Committed != s.Armed) {
		c.enterPhase(PhaseReading)
	}
}

// Messages returns the message of the phase for each member that has not replied to it.
func (c *Controller) Messages() []Message {
	var due []Message
	for i := range c.replies {
		if !c.isMember(i) || c.replies[i].received {
			continue
		}
		if m, ok := c.phaseMessage(); ok {
			m.Round, m.To, m.Token = c.round, i, c.token
			due = append(due, m)
		}
	}
	return due
}

func (c *Controller) phaseMessage() (Message, bool) {
	switch c.phase {
	case PhaseAborting:
		return Message{Change: c.change, Kind: KindAbort}, true
	case PhaseArming:
		return Message{Change: c.change, Formation: c.formation, Kind: KindArm, Step: c.step}, true
	case PhaseCommitting:
		return Message{Change: c.change, Kind: KindCommit, Step: c.step}, true
	case PhaseForming:
		return Message{
			Formation: c.change, Kind: KindForm, Map: c.mapID, Members: c.members, Step: c.step,
		}, true
	case PhaseReading:
		return Message{Kind: KindRead}, true
	case PhaseStaging:
		m := Message{Change: c.change, Kind: KindStage, Map: c.change}
		if c.forming() {
			m.Formation, m.Map = c.change, c.mapID
		}
		return m, true
	default:
		return Message{}, false
	}
}

// Receive processes a reply. Replies of earlier rounds are ignored, except a refusal that shows a higher token: it fences
// this controller.
func (c *Controller) Receive(r Reply) {
	if r.Refusal == RefusalStale && r.State.Token > c.token {
		c.phase = PhaseFenced
		return
	}
	if r.Round == c.round && r.Refusal != RefusalTokenUnknown && c.isMember(r.From) {
		c.accept(r)
	}
}

func (c *Controller) accept(r Reply) {
	stateLost := r.State.Formation != c.formation && !c.forming()
	switch {
	case c.phase == PhaseIdle || c.phase == PhaseFenced:
	case c.phase != PhaseReading && stateLost:
		c.enterPhase(PhaseReading)
	case c.satisfied(r):
		c.replies[r.From] = rankReply{received: true, state: r.State}
		c.advance()
	case r.Refusal != "" && c.phase == PhaseArming:
		c.enterPhase(PhaseAborting)
	case r.Refusal == RefusalNotStaged && c.phase == PhaseForming:
		c.enterPhase(PhaseReading)
	}
}

// satisfied reports whether the rank has done what the phase asks.
func (c *Controller) satisfied(r Reply) bool {
	s := r.State
	switch c.phase {
	case PhaseAborting:
		return !s.Closed.Less(c.change) && s.Armed != c.change
	case PhaseArming:
		return s.Armed == c.change
	case PhaseCommitting:
		return s.Committed == c.change
	case PhaseForming:
		return s.Formation == c.change
	case PhaseStaging:
		return s.Staged == c.change || c.forming() && (s.Staged == c.mapID || s.Map == c.mapID)
	default:
		return true
	}
}

func (c *Controller) advance() {
	if waiting := len(c.AwaitingReply()); waiting > 0 {
		early := c.fault == faultCommitFirstAck && c.phase == PhaseArming ||
			c.fault == faultPartialRead && c.phase == PhaseReading
		if !early {
			return
		}
	}
	switch c.phase {
	case PhaseAborting, PhaseForming:
		c.finishRound()
	case PhaseArming:
		c.committed = c.change
		c.enterPhase(PhaseCommitting)
	case PhaseCommitting:
		c.mapID = c.change
		c.finishRound()
	case PhaseReading:
		c.resume()
	case PhaseStaging:
		c.finishStaging()
	}
}

func (c *Controller) finishRound() {
	if c.phase == PhaseForming {
		c.formation, c.newMap = c.change, false
	}
	c.enterPhase(PhaseIdle)
}

func (c *Controller) finishStaging() {
	c.step = 0
	c.forEachReply(func(s State) { c.step = max(c.step, s.NextStep) })
	if c.forming() {
		c.enterPhase(PhaseForming)
		return
	}
	c.step += c.leadSteps
	if c.fault == faultSkipArm {
		c.committed = c.change
		c.enterPhase(PhaseCommitting)
		return
	}
	c.enterPhase(PhaseArming)
}

// resume continues from the state of all ranks. Each of them has seen this controller's token by now, so none can
// accept a decision of an older controller after it was read.
func (c *Controller) resume() {
	var armed, committed, mapID ID
	formation, sameFormation, first := ID{}, true, true
	c.forEachReply(func(s State) {
		if first {
			formation, first = s.Formation, false
		}
		sameFormation = sameFormation && s.Formation == formation && s.Members == c.members && !s.Formation.IsZero()
		if armed.Less(s.Armed) {
			armed = s.Armed
		}
		if committed.Less(s.Committed) {
			committed = s.Committed
		}
		if mapID.Less(s.Map) {
			mapID = s.Map
		}
	})
	if !sameFormation || c.newMap {
		c.startFormation(mapID)
		return
	}
	c.formation, c.mapID = formation, mapID
	switch {
	case armed.IsZero():
		c.enterPhase(PhaseIdle)
	case (armed == committed || armed == c.committed) && c.fault != faultRecoverAbort:
		c.change = armed
		c.enterPhase(PhaseCommitting)
	default:
		c.change = armed
		c.enterPhase(PhaseAborting)
	}
}

// startFormation starts a formation with the map last in use, which most ranks hold already, or with a new one if the
// members have changed or no rank holds any.
func (c *Controller) startFormation(mapID ID) {
	c.change = c.nextID()
	c.formation, c.mapID = ID{}, mapID
	if c.newMap || mapID.IsZero() {
		c.newMap = true
		c.mapID = c.change
	}
	c.enterPhase(PhaseStaging)
}

// forming reports whether a formation is in progress.
func (c *Controller) forming() bool { return c.formation.IsZero() }

func (c *Controller) forEachReply(f func(State)) {
	for i := range c.replies {
		if c.isMember(i) && c.replies[i].received {
			f(c.replies[i].state)
		}
	}
}

func (c *Controller) enterPhase(p Phase) {
	c.phase = p
	c.round++
	clear(c.replies)
}

func (c *Controller) isMember(i int) bool { return c.members&(1<<uint(i)) != 0 }

func (c *Controller) nextID() ID {
	c.sequence++
	return ID{Sequence: c.sequence, Token: c.token}
}
