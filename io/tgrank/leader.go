package tgrank

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgmapchange"
	"tanagergrade/io/tgguard"
)

const (
	groupExpiry       = time.Minute            // a group without a report of any rank for longer is forgotten
	holdRecoveryDelay = 200 * time.Millisecond // a new leader waits this long for silent ranks before it ends a hold
	idleTick          = 100 * time.Millisecond // between steps while no group changes
	busyTick          = 10 * time.Millisecond  // between steps while a group changes
	maxRanks          = 4096                   // of a group; a report that claims more is malformed
	rankStaleAfter    = 900 * time.Millisecond // a rank that has not reported for longer gets no order to change
	// A recovery starts when ranks hold a pass or are armed differently for this long although no change is under way.
	recoveryStartDelay = 400 * time.Millisecond
	skewLogInterval    = time.Second          // between log lines on the skew of a group
	transitTime        = 5 * time.Millisecond // time that a report is assumed to be on its way; usually it is shorter
)

// Leader places the experts of all rank groups of a pool while its agent is elected.
type Leader struct {
	Election         Election
	EngineProfile    func(pool string) (tgcatalog.Engine, bool) // cost model of a pool's engines; false if not known yet
	Engines          EngineClient
	Log              Log
	OnReport         func(vm string)                       // called at each report of another agent; nil if nobody needs it
	OnTermChange     func(leads bool)                      // called when a term begins or ends
	Peers            func() []Peer                         // all other agents
	Pool             string                                // of the engine on this VM and of those it shares groups with
	PublishGroups    GroupPublisher                        // tells the entries of the groups; nil if there are no entries
	PublishSlowdowns func(slow map[netip.AddrPort]float64) // gets the factors of slow engines while there are any
	VM               string

	mu           sync.Mutex // guards highestToken, leave and token
	highestToken int64      // of any leader so far
	leave        bool       // the term ended by a fault, and the election does not know yet
	token        int64      // of the present term; 0 while this daemon does not lead

	peersChanged chan struct{}
	reports      chan Report
	results      *resultQueue

	// The fields below belong to the goroutine of Run.
	former         Beacon // newest beacon of the leader before this term
	groups         map[string]*group
	lastBeacon     time.Time            // when beacons were last sent to all agents; zero to send them at once
	lastFastBeacon time.Time            // when beacons were last sent to the agents of changing groups
	lastPoll       map[string]time.Time // when each engine with a silent agent was last polled, by VM
	lastReport     map[string]time.Time // when each agent last reported, by VM
	lastVersion    int64                // highest map version given out in this term
	slowdownsSent  bool                 // there were slow engines at the last publication
	term           int64                // token of the term that the groups belong to
	termStarted    time.Time            // when term last changed

	notices groupNotices
	relays  pendingRequests
}

// NewLeader returns a leader that is not elected yet.
func NewLeader() *Leader {
	return &Leader{
		groups: map[string]*group{}, lastReport: map[string]time.Time{}, peersChanged: make(chan struct{}, 1),
		lastPoll: map[string]time.Time{}, reports: make(chan Report, 256), results: newResultQueue(),
	}
}

// NotifyPeersChanged makes the leader send a beacon to all peers at once, because the result of Peers has changed.
func (l *Leader) NotifyPeersChanged() {
	select {
	case l.peersChanged <- struct{}{}:
	default: // a notification is pending already
	}
}

// EnqueueReport queues the report of a rank; it drops the report if the queue is full.
func (l *Leader) EnqueueReport(r Report) {
	select {
	case l.reports <- r:
	default:
	}
}

// ObserveToken notes the token of another leader and ends this daemon's term if that token is higher.
func (l *Leader) ObserveToken(token int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highestToken = max(l.highestToken, token)
	if l.token != 0 && token > l.token {
		l.token = 0
	}
}

// Token returns the token of the present term, or 0 if this daemon does not lead.
func (l *Leader) Token() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token
}

// Run takes part in the election and leads while elected.
func (l *Leader) Run(ctx context.Context, a *Agent) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { l.campaign(ctx, a) })
	tick := time.NewTimer(idleTick)
	defer tick.Stop()
	for {
		var report *Report
		select {
		case <-ctx.Done():
			return
		case r := <-l.reports:
			report = &r
		case <-l.results.added:
		case <-l.peersChanged:
			l.lastBeacon = time.Time{}
		case <-tick.C:
		}
		next := idleTick
		err := tgguard.Handle(func() {
			if report != nil {
				if l.term != 0 {
					l.handleReport(*report)
				}
				return
			}
			l.handleResults()
			if l.advance(a, time.Now()) {
				next = busyTick
			}
		})
		if err != nil {
			l.endTermAfterPanic(err)
		}
		if report == nil || err != nil {
			tick.Reset(next)
		}
	}
}

// endTermAfterPanic ends the term after an unexpected fault: a leader that orders nothing must not keep others from leading.
// The groups start anew in the next term, of this daemon or another.
func (l *Leader) endTermAfterPanic(err error) {
	l.Log.Line("panic", map[string]any{"error": err.Error(), "term": l.term})
	l.mu.Lock()
	l.token, l.leave = 0, true
	l.mu.Unlock()
}

// takeLeave reports whether the daemon has to leave the election before it takes part again, so that the next token is a
// higher one. It says so once.
func (l *Leader) takeLeave() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	leave := l.leave
	l.leave = false
	return leave
}

// advance takes the next steps of all groups, sends beacons that are due, and reports whether a group is changing.
func (l *Leader) advance(a *Agent, now time.Time) (busy bool) {
	if token := l.Token(); token != l.term {
		l.changeTerm(a, l.term, token)
		l.term, l.lastBeacon = token, time.Time{}
	}
	if l.term == 0 {
		return false
	}
	l.pollSilent(now)
	var changing []*group
	for name, g := range l.groups {
		if g.silence(now) > groupExpiry {
			delete(l.groups, name) // it was dissolved, or has re-formed under another name
			continue
		}
		l.advanceGroup(a, g, l.term, now)
		if g.changing() {
			changing = append(changing, g)
		}
		if g.changing() != g.fastReports { // its agents must switch their report interval at once
			g.fastReports = g.changing()
			l.sendBeacons(a, g.hasVM)
		}
	}
	l.publishGroups(now)
	switch {
	case now.Sub(l.lastBeacon) >= beaconInterval:
		l.lastBeacon, l.lastFastBeacon = now, now
		l.sendBeacons(a, func(string) bool { return true })
		l.sendSlowdowns()
	case len(changing) > 0 && now.Sub(l.lastFastBeacon) >= fastBeaconInterval:
		l.lastFastBeacon = now
		l.sendBeacons(a, func(vm string) bool {
			return slices.ContainsFunc(changing, func(g *group) bool { return g.hasVM(vm) })
		})
	}
	return len(changing) > 0
}

// changeTerm resets the state of the groups when a term begins or ends.
func (l *Leader) changeTerm(a *Agent, from, to int64) {
	clear(l.groups)
	clear(l.lastReport)
	l.termStarted, l.former = time.Now(), a.lastBeacon()
	l.relays.clear()
	l.notices.reset()
	l.lastVersion = tgmapchange.FirstVersion(to)
	state := "elected"
	if to == 0 {
		state = "replaced"
	}
	l.OnTermChange(to != 0)
	if to != 0 {
		l.EngineProfile(l.Pool) // starts to load it before the first report needs it
	}
	l.Log.Line("term", map[string]any{"from": from, "state": state, "token": to})
}

func (l *Leader) handleReport(r Report) {
	if r.From != (netip.AddrPort{}) {
		l.lastReport[r.VM] = time.Now()
		if l.OnReport != nil {
			l.OnReport(r.VM)
		}
	}
	g, ok := l.groups[r.Group]
	// A group may re-form with more or fewer ranks; its former state belongs to the epoch before.
	if !ok || r.Ranks != len(g.members) && r.State.Epoch > g.epoch {
		engine, known := l.EngineProfile(r.Pool)
		if !known || !engine.HasExperts() || r.Ranks <= 0 || r.Ranks > maxRanks {
			return
		}
		g = newGroup(r.Group, l.VM, r.Ranks, engine)
		l.groups[r.Group] = g
	}
	g.applyReport(r, time.Now())
}

// handleResults passes the results that have come to the changes and recoveries that issued the orders.
func (l *Leader) handleResults() {
	for _, r := range l.results.take() {
		if l.term != 0 && r.term == l.term {
			l.handleResult(r)
		}
	}
}

func (l *Leader) handleResult(r result) {
	g, ok := l.groups[r.group]
	if !ok {
		return
	}
	if r.result == tgmapchange.ResultFenced {
		l.stepDown(r.term)
	}
	if g.isOwner(r.owner) { // else it has ended, and may have been of another number of ranks
		r.owner.HandleResult(r.order, r.result, time.Now())
	}
}

// advanceGroup continues the change or recovery of a group, or starts one if it is due.
func (l *Leader) advanceGroup(a *Agent, g *group, term int64, now time.Time) {
	ranks, ready := g.snapshot(now)
	switch {
	case g.change != nil:
		l.sendOrders(a, g, g.change, g.change.NextOrders(ranks, now), term)
		if g.change.Ended() {
			l.endChange(g, now)
		}
	case g.recovery != nil:
		l.sendOrders(a, g, g.recovery, g.recovery.NextOrders(ranks, now), term)
		if g.recovery.Ended() {
			l.Log.Line("recovery", map[string]any{"group": g.name, "outcome": g.recovery.Phase()})
			g.recovery, g.recoveryNeededSince = nil, time.Time{}
		}
	case !g.recoveryStarted:
		if ready || g.hasHold() && now.Sub(g.firstSeen) >= holdRecoveryDelay {
			l.startRecovery(g, len(ranks))
		}
	case !ready && !g.hasHold():
	case tgmapchange.RecoveryNeeded(ranks):
		if g.recoveryNeededSince.IsZero() {
			g.recoveryNeededSince = now
		}
		if now.Sub(g.recoveryNeededSince) >= recoveryStartDelay {
			l.startRecovery(g, len(ranks))
		}
	default:
		g.recoveryNeededSince = time.Time{}
		l.decide(g, ranks, now)
	}
}

// startRecovery starts to end the changes and holds that an earlier leader left unfinished.
func (l *Leader) startRecovery(g *group, ranks int) {
	former := tgmapchange.Predecessor{Rank: -1}
	for i, m := range g.members {
		if l.former.VM != "" && m.report.VM == l.former.VM {
			former = tgmapchange.Predecessor{Rank: i, Token: l.former.Token}
		}
	}
	if former.Rank < 0 && l.former.VM != "" {
		former = tgmapchange.Predecessor{Rank: g.missingRank(), Token: l.former.Token}
	}
	l.Log.Line("recovery", map[string]any{
		"former": l.former.VM, "formerRank": former.Rank, "group": g.name, "outcome": "begun",
	})
	g.recoveryStarted = true
	g.recovery = tgmapchange.NewRecovery(ranks, g.epoch, former)
}

// decide starts a change if the balancer finds a better placement of the experts.
func (l *Leader) decide(g *group, ranks []tgmapchange.RankState, now time.Time) {
	if g.current == nil || tgmapchange.AnyArmed(ranks) || !g.isStepping(now) || now.Sub(g.lastDecision) < reportInterval {
		return
	}
	g.lastDecision = now
	d := g.balancer.Decide(g.current, g.demand, g.slowdowns(), now)
	if now.Sub(g.lastSkewLog) >= skewLogInterval && d.SkewBefore > 0 {
		g.lastSkewLog = now
		l.Log.Line("skew", map[string]any{
			"after": d.SkewAfter, "group": g.name, "now": d.SkewBefore, "slow": g.slowRanks(), "step": g.lastStep,
		})
	}
	if d.Next == nil {
		return
	}
	l.lastVersion += 2 // one for the change, one for undoing it
	d.Next.Sort()
	g.next, g.nextDelta, g.nextVersion = d.Next, d.Next.Delta(g.current), l.lastVersion
	ownRank := 0
	for i, m := range g.members {
		if m.report.VM == l.VM {
			ownRank = i
		}
	}
	g.change = tgmapchange.NewSwitch(len(ranks), g.epoch, l.lastVersion, ownRank, now)
	g.changeStarted = now
	l.Log.Line("change", map[string]any{
		"after": d.SkewAfter, "before": d.SkewBefore, "copies": d.Copies, "copiesOnOne": d.MaxCopiesPerRank, "epoch": g.epoch,
		"group": g.name, "outcome": "begun", "step": g.lastStep, "version": l.lastVersion,
	})
}

// endChange logs the outcome of a change that has ended and takes over its map if it succeeded.
func (l *Leader) endChange(g *group, now time.Time) {
	c := g.change
	l.Log.Line("change", map[string]any{
		"elapsedMs": now.Sub(g.changeStarted).Milliseconds(), "group": g.name, "outcome": c.Phase(), "reason": c.Reason(),
		"step": c.Step(), "version": g.nextVersion,
	})
	if c.Phase() == tgmapchange.PhaseSucceeded {
		g.current, g.currentVersion = g.next, g.nextVersion
		g.versionDeadline = now.Add(rankStaleAfter)
	}
	g.change = nil
	g.balancer.ChangeEnded(now)
}
