package tgrank

import (
	"net/netip"
	"slices"
	"time"

	"tanagergrade/core/tgbalance"
	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgswitch"
)

// group is what the leader knows of one group.
type group struct {
	balancer        *tgbalance.Balancer
	change          *tgswitch.Switch
	changeStarted   time.Time
	current         *tgexpert.Replication // nil if not known
	currentVersion  int64
	demand          *tgbalance.DemandEstimator
	engine          tgcatalog.Engine
	epoch           int64
	fastReports     bool      // its agents were asked to report often
	firstSeen       time.Time // first report
	lastDecision    time.Time
	lastSkewLog     time.Time // when the skew was last logged
	lastStep        int64     // pass
	lastStepAt      time.Time // when the newest pass was seen to grow
	leaderVM        string    // VM of the leader
	members         []member
	name            string
	next            *tgexpert.Replication
	nextDelta       tgexpert.Delta // from present
	nextVersion     int64
	recovery        *tgswitch.Recovery
	recoveryStarted bool // a recovery of this term has begun in this epoch
	strayStateSince time.Time
	versionDeadline time.Time // when all ranks have to report the version in use
}

type member struct {
	experts [][]int
	report  Report
	version int64 // of experts
}

func newGroup(name, self string, ranks int, e tgcatalog.Engine) *group {
	return &group{
		balancer: tgbalance.NewBalancer(tgbalance.Limits{NewPerSet: e.NewExpertsPerSet, Slots: e.ExpertSlotsPerRank}),
		demand:   tgbalance.NewDemandEstimator(e.Sets, e.Experts), engine: e, members: make([]member, ranks), name: name, leaderVM: self,
	}
}

// silence returns how long no rank of the group has reported.
func (g *group) silence(now time.Time) time.Duration {
	last := g.firstSeen
	for _, m := range g.members {
		if m.report.State.Seen.After(last) {
			last = m.report.State.Seen
		}
	}
	return now.Sub(last)
}

func (g *group) hasVM(vm string) bool {
	return slices.ContainsFunc(g.members, func(m member) bool { return m.report.VM == vm })
}

func (g *group) changing() bool { return g.change != nil || g.recovery != nil }

// applyReport notes a report.
func (g *group) applyReport(r Report, now time.Time) {
	if r.Rank < 0 || r.Rank >= len(g.members) || r.Ranks != len(g.members) {
		return
	}
	if r.State.Epoch < g.epoch {
		return // sent before the group formed anew
	}
	if r.State.Epoch > g.epoch {
		g.epoch, g.lastStep, g.current, g.recoveryStarted = r.State.Epoch, 0, nil, false
		for i := range g.members {
			g.members[i].experts = nil
		}
	}
	if g.firstSeen.IsZero() {
		g.firstSeen = now
	}
	m := &g.members[r.Rank]
	if r.From == (netip.AddrPort{}) && r.VM != g.leaderVM {
		r.StateAge += g.engine.StateReportLag // engines show other VMs an older state
	}
	r.State.Seen = now.Add(-r.StateAge - transitTime)
	m.report = r
	if r.Experts != nil {
		m.experts, m.version = r.Experts, r.State.Version
	}
	if len(r.Counts.Levels) > 0 {
		g.demand.Add(r.Counts.Counts(), now)
	}
	if r.State.Step > g.lastStep {
		g.lastStep, g.lastStepAt = r.State.Step, now
	}
}

const (
	slowThreshold = 1.1 // an engine that takes longer for its work counts as slow
	maxSlowdown   = 20  // a longer time tells nothing more
)

// slowdowns returns how slow each rank is, or nil if none is.
func (g *group) slowdowns() tgexpert.Slowdowns {
	if g.slowRanks() == 0 {
		return nil
	}
	paces := make(tgexpert.Slowdowns, len(g.members))
	for i, m := range g.members {
		paces[i] = min(max(m.report.Slowdown, 1), maxSlowdown)
	}
	return paces
}

// slowRanks returns the number of slowRanks ranks.
func (g *group) slowRanks() int {
	n := 0
	for _, m := range g.members {
		if m.report.Slowdown > slowThreshold {
			n++
		}
	}
	return n
}

// hasHold reports whether a rank is known to hold a pass.
func (g *group) hasHold() bool {
	for _, m := range g.members {
		if m.report.State.Held != 0 {
			return true
		}
	}
	return false
}

// missingRank returns the one rank that never reported, or -1.
func (g *group) missingRank() int {
	missing := -1
	for i, m := range g.members {
		if m.report.State.Seen.IsZero() {
			if missing >= 0 {
				return -1
			}
			missing = i
		}
	}
	return missing
}

// snapshot returns the states of all ranks and whether all of them are known, fresh and in an open group.
func (g *group) snapshot(now time.Time) ([]tgswitch.RankState, bool) {
	ranks := make([]tgswitch.RankState, len(g.members))
	ready := true
	for i, m := range g.members {
		ranks[i] = m.report.State
		if m.report.State.Seen.IsZero() || now.Sub(m.report.State.Seen) > rankStaleAfter || !m.report.State.Open ||
			m.report.State.Epoch != g.epoch {
			ready = false
		}
	}
	if ready {
		g.updateCurrent(ranks, now)
	}
	return ranks, ready
}

// updateCurrent finds out which replication is in use.
func (g *group) updateCurrent(ranks []tgswitch.RankState, now time.Time) {
	version := ranks[0].Version
	for _, r := range ranks {
		if r.Version != version {
			return // a change is just taking effect
		}
	}
	if g.current != nil {
		if version != g.currentVersion && now.After(g.versionDeadline) {
			g.current = nil
		}
		return
	}
	if version == 0 {
		g.current = tgexpert.NewReplication(g.engine.Sets, g.engine.Experts, len(g.members))
		g.currentVersion = 0
		return
	}
	p := tgexpert.NewReplication(g.engine.Sets, g.engine.Experts, len(g.members))
	for rank, m := range g.members {
		if m.experts == nil || m.version != version || len(m.experts) != g.engine.Sets {
			return
		}
		for set := range p.Sets {
			p.Sets[set][rank] = append([]int(nil), m.experts[set]...)
		}
	}
	if p.Valid(g.engine.ExpertSlotsPerRank) {
		g.current, g.currentVersion = p, version
	}
}

// isStepping reports whether the group makes passes; an order for a pass of an idle group could wait for long.
func (g *group) isStepping(now time.Time) bool { return now.Sub(g.lastStepAt) < rankStaleAfter }
