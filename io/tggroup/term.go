package tggroup

import (
	"context"
	"math/bits"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgsleep"
	"tanagergrade/core/tgtwophase"
)

// term is one tenure of this process as the group's controller, under one fencing token.
type term struct {
	armingStarted time.Time
	controller    *tgtwophase.Controller
	group         *Group
	lastDecision  time.Time
	lastSent      time.Time        // zero after a change of the phase, so that its first messages are sent at once
	phase         tgtwophase.Phase // the controller's phase at the last trackPhase
	phaseEntered  time.Time
	placements    map[tgtwophase.ID]*tgexpert.Placement // known placements, by ID of the map
	proposed      *tgexpert.Placement                   // for the change in progress; nil if none or not computed yet
	stallDetector *tgtwophase.StallDetector
	token         uint64
}

// resendInterval is the time after which a message is sent again if no expected reply has arrived.
const resendInterval = 20 * time.Millisecond

func newTerm(g *Group, token uint64) *term {
	s := g.settings
	now := time.Now()
	return &term{
		controller:    tgtwophase.NewController(token, s.Ranks, 1<<uint(s.Size)-1, s.LeadSteps),
		group:         g,
		lastDecision:  now,
		phase:         tgtwophase.PhaseReading,
		phaseEntered:  now,
		placements:    map[tgtwophase.ID]*tgexpert.Placement{},
		stallDetector: tgtwophase.NewStallDetector(s.Ranks, s.StallTimeout),
		token:         token,
	}
}

// run acts as the controller until ctx is done, a rank has seen a higher token, or the group is idle and the log shows
// a higher token. A lost lease alone does not end it: a change that was started has to be decided, and the fencing
// token protects the ranks from a holder that is no longer the newest.
func (t *term) run(ctx context.Context) {
	for ctx.Err() == nil && t.controller.Phase() != tgtwophase.PhaseFenced {
		if t.controller.Phase() == tgtwophase.PhaseIdle {
			if t.superseded() {
				return
			}
			t.pollMembers(ctx)
			t.decidePlacement(ctx)
		} else {
			t.sendMessages(ctx)
			t.checkTimeouts(ctx)
		}
		t.trackPhase()
		t.publishStatus()
		if t.controller.Phase() == tgtwophase.PhaseIdle {
			tgsleep.Sleep(ctx, t.group.settings.PollInterval)
		}
	}
}

// superseded reports whether the log shows a higher token, that is a newer holder of the lease.
func (t *term) superseded() bool {
	token, ok := t.group.leases.Token(LeaseName(t.group.settings.Name))
	return ok && token > t.token
}

func (t *term) holdsLease() bool {
	return t.group.leases.Held(LeaseName(t.group.settings.Name), t.token)
}

// call sends the requests to their ranks concurrently. When all calls have ended, it passes the responses to handle one
// by one; ranks whose call failed are left out.
func (t *term) call(ctx context.Context, requests map[int]Request, handle func(rank int, r Response)) {
	type answer struct {
		rank     int
		response Response
	}
	callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	answers := make(chan answer, len(requests))
	var wg conc.WaitGroup
	for rank, r := range requests {
		wg.Go(func() {
			response, err := t.group.ranks.Call(callCtx, rank, r)
			if err != nil {
				t.group.log.WithError(err).WithField("rank", rank).Debug("call to the agent of a rank failed")
				return
			}
			answers <- answer{rank, response}
		})
	}
	wg.Wait()
	close(answers)
	for a := range answers {
		handle(a.rank, a.response)
	}
}

// sendMessages sends the messages that are due and passes the replies to the controller. Within a phase it sends at most
// once per resendInterval.
func (t *term) sendMessages(ctx context.Context) {
	tgsleep.Sleep(ctx, resendInterval-time.Since(t.lastSent))
	requests := map[int]Request{}
	for _, m := range t.controller.Messages() {
		r := Request{Kind: RequestOrder, Message: m}
		if m.Kind == tgtwophase.KindStage {
			r.Placement = t.placement(ctx, m.Map)
		}
		requests[m.To] = r
	}
	t.lastSent = time.Now()
	phase := t.controller.Phase()
	t.call(ctx, requests, func(rank int, r Response) {
		if r.Reply == nil {
			return
		}
		if f := r.Reply.Refusal; f != tgtwophase.RefusalStale && f != tgtwophase.RefusalTokenUnknown {
			t.stallDetector.Observe(rank, r.Reply.State.NextStep)
		}
		t.controller.Receive(*r.Reply)
	})
	if t.controller.Phase() != phase {
		t.lastSent = time.Time{} // the messages of the new phase are due at once
	}
}

// placement returns the placement of a map: the proposed one if the change in progress introduces the map, otherwise a
// known one or one that a rank has loaded. It returns nil if no rank has it. A formation without a proposal gets a new
// placement.
func (t *term) placement(ctx context.Context, id tgtwophase.ID) *tgexpert.Placement {
	if p, ok := t.placements[id]; ok {
		return p
	}
	if id == t.controller.Change() {
		if t.proposed == nil {
			t.proposed = t.initialPlacement()
		}
		t.placements[id] = t.proposed
		return t.proposed
	}
	requests := map[int]Request{}
	for i := range t.group.settings.Ranks {
		requests[i] = Request{Kind: RequestPlacements}
	}
	t.call(ctx, requests, func(_ int, r Response) {
		for _, p := range r.Placements {
			t.placements[p.ID] = p.Placement
		}
	})
	return t.placements[id]
}

// initialPlacement returns the placement for a new formation, computed from the loads observed so far if there are any.
func (t *term) initialPlacement() *tgexpert.Placement {
	s := t.group.settings
	members := bits.OnesCount64(t.controller.Members())
	slots := max(s.Slots, (s.Experts+members-1)/members)
	if t.group.estimator.Windows() == 0 {
		return tgexpert.NewPlacement(s.Layers, s.Experts, members, slots)
	}
	return tgexpert.Pack(t.group.estimator.Smoothed(), members, slots)
}

// pollMembers reads the states of the members of an idle group to detect ranks that are lost or have restarted.
func (t *term) pollMembers(ctx context.Context) {
	requests := map[int]Request{}
	for i := range t.group.settings.Ranks {
		if t.controller.Members()&(1<<uint(i)) != 0 {
			requests[i] = Request{Kind: RequestState}
		}
	}
	t.call(ctx, requests, func(rank int, r Response) {
		if r.State != nil {
			t.stallDetector.Observe(rank, r.State.NextStep)
			t.controller.Observe(rank, *r.State)
		}
	})
	if t.controller.Phase() == tgtwophase.PhaseIdle {
		t.checkProgress(ctx)
	}
}

// checkProgress re-forms a group that has lost ranks or makes no steps.
func (t *term) checkProgress(ctx context.Context) {
	verdict, lost := t.stallDetector.Verdict(t.controller.Members())
	t.group.setVerdict(verdict)
	if verdict != tgtwophase.VerdictRunning {
		t.reform(ctx, lost)
	}
}

// reform starts a formation without the lost ranks, with spares that answer in their place.
func (t *term) reform(ctx context.Context, lost uint64) {
	members := t.replaceLost(ctx, t.controller.Members(), lost)
	t.group.log.WithFields(logrus.Fields{"lost": lost, "members": members}).Warn("re-forming group: ranks are lost or stalled")
	t.stallDetector.Reset()
	if members != 0 {
		t.proposed = nil
		t.controller.ChangeMembers(members)
	}
}

// replaceLost returns the members without the lost ones, filled up to the size of the group with spares that answer.
func (t *term) replaceLost(ctx context.Context, members, lost uint64) uint64 {
	kept := members &^ lost
	missing := t.group.settings.Size - bits.OnesCount64(kept)
	requests := map[int]Request{}
	for i := range t.group.settings.Ranks {
		if members&(1<<uint(i)) == 0 {
			requests[i] = Request{Kind: RequestState}
		}
	}
	t.call(ctx, requests, func(rank int, r Response) {
		if r.State != nil && missing > 0 {
			kept |= 1 << uint(rank)
			missing--
		}
	})
	return kept
}

// checkTimeouts abandons a change whose arming or staging exceeds its timeout, and re-forms the group without ranks
// that do not answer. It does nothing if the phase has changed since the last trackPhase.
func (t *term) checkTimeouts(ctx context.Context) {
	s := t.group.settings
	age := time.Since(t.phaseEntered)
	switch phase := t.controller.Phase(); {
	case phase != t.phase:
		return
	case phase == tgtwophase.PhaseArming && age > s.ArmTimeout, phase == tgtwophase.PhaseStaging && age > s.StageTimeout:
		t.controller.Abandon()
	}
	// Ranks continue to make steps while weights are staged, so a stall can be detected in that phase too.
	if t.controller.Phase() == tgtwophase.PhaseStaging && !t.controller.Formation().IsZero() {
		t.checkProgress(ctx)
	} else if lost := t.stallDetector.Unreachable(t.controller.Members()); lost != 0 {
		t.group.setVerdict(tgtwophase.VerdictLost)
		t.reform(ctx, lost)
	}
}

// decidePlacement reads the loads once per DecisionInterval and proposes a change if the policy decides on a new
// placement.
func (t *term) decidePlacement(ctx context.Context) {
	g := t.group
	if t.controller.Phase() != tgtwophase.PhaseIdle || time.Since(t.lastDecision) < g.settings.DecisionInterval {
		return
	}
	t.lastDecision = time.Now()
	current := t.placement(ctx, t.controller.Map())
	loads, ok := t.readLoads(ctx)
	if current == nil || !ok {
		return
	}
	g.estimator.Observe(loads)
	d := g.policy.Decide(current, g.estimator)
	g.log.WithFields(logrus.Fields{
		"cost": d.Cost, "moves": d.Moves, "reason": d.Reason, "saving": d.Saving, "skew": d.SkewNow, "skewAfter": d.SkewAfter,
	}).Debug("placement decision")
	g.setDecision(d)
	if d.Placement != nil && t.awaitBudget(ctx, d.Moves) {
		t.propose(current, d.Placement)
	}
}

// awaitBudget waits for the weight store's budget and reports whether the transfer may begin. It waits at most one
// DecisionInterval, since the decision is then outdated and will be made again.
func (t *term) awaitBudget(ctx context.Context, moves int) bool {
	g := t.group
	if g.budget == nil || moves == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, g.settings.DecisionInterval)
	defer cancel()
	bytes := int64(float64(moves) * g.settings.Costs.BytesPerExpert)
	return g.budget.Wait(ctx, g.settings.Name, bytes, false) == nil
}

// propose starts the change to a new placement if this process holds the lease.
func (t *term) propose(current, next *tgexpert.Placement) {
	if !t.holdsLease() {
		return
	}
	old := t.controller.Map()
	if id, ok := t.controller.Propose(); ok {
		t.proposed = next
		t.placements = map[tgtwophase.ID]*tgexpert.Placement{id: next, old: current}
	}
}

// readLoads returns the sum of the members' loads, or false if a member has not answered or has made no step since the
// last read.
func (t *term) readLoads(ctx context.Context) (tgexpert.Loads, bool) {
	s := t.group.settings
	requests := map[int]Request{}
	for i := range s.Ranks {
		if t.controller.Members()&(1<<uint(i)) != 0 {
			requests[i] = Request{Kind: RequestLoads}
		}
	}
	total, usable := tgexpert.NewLoads(s.Layers, s.Experts), 0
	t.call(ctx, requests, func(_ int, r Response) {
		if r.Loads == nil || r.Loads.Steps == 0 || len(r.Loads.Loads.Tokens) != len(total.Tokens) {
			return
		}
		usable++
		for i, v := range r.Loads.Loads.Tokens {
			total.Tokens[i] += v
		}
	})
	return total, usable == len(requests)
}

// trackPhase records a change of the controller's phase and the times that depend on it.
func (t *term) trackPhase() {
	phase := t.controller.Phase()
	if phase == t.phase {
		return
	}
	now := time.Now()
	switch {
	case phase == tgtwophase.PhaseArming:
		t.armingStarted = now
	case phase == tgtwophase.PhaseIdle && t.phase == tgtwophase.PhaseCommitting:
		t.group.recordCommit(now.Sub(t.armingStarted))
	}
	if phase == tgtwophase.PhaseIdle {
		t.proposed = nil
		t.stallDetector.Reset()
	}
	t.phase, t.phaseEntered = phase, now
}

// publishStatus copies the controller's state to the group's status.
func (t *term) publishStatus() {
	g, c := t.group, t.controller
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.status
	s.Change, s.Formation, s.Map, s.Members, s.Phase = c.Change(), c.Formation(), c.Map(), c.Members(), c.Phase()
	s.Token, s.WaitingFor = t.token, c.AwaitingReply()
	s.Available = s.Verdict == tgtwophase.VerdictRunning && !c.Formation().IsZero()
}

func (g *Group) recordCommit(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.status.Changes++
	g.status.LastChangeDuration = took
}

func (g *Group) setVerdict(v tgtwophase.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.status.Verdict = v
}

func (g *Group) setDecision(d tgexpert.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.status.LastDecision, g.status.Skew = d, d.SkewNow
}
