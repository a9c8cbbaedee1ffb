package tgrank

import (
	"net/netip"
	"slices"
	"time"

	"tanagergrade/core/tgbalance"
	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgmapchange"
)

// group is the leader's state of one rank group.
type group struct {
	balancer            *tgbalance.Balancer
	change              *tgmapchange.Switch // under way; nil if there is none
	changeStarted       time.Time
	current             *tgexpert.Replication // nil if not known
	currentVersion      int64
	demand              *tgbalance.DemandEstimator
	engine              tgcatalog.Engine
	epoch               int64
	fastReports         bool      // the last beacons asked its agents to report often
	firstSeen           time.Time // time of the first report of the epoch; zero before it
	lastDecision        time.Time // when the balancer last decided
	lastSkewLog         time.Time
	lastStep            int64     // newest pass that a rank has reported in this epoch
	lastStepAt          time.Time // when lastStep last grew
	leaderVM            string    // to recognise reports that did not cross the network
	members             []member
	name                string
	next                *tgexpert.Replication // to which change leads
	nextDelta           tgexpert.Delta        // from current
	nextVersion         int64
	recovery            *tgmapchange.Recovery // under way; nil if there is none
	recoveryStarted     bool                  // a recovery of this term has begun in this epoch
	recoveryNeededSince time.Time             // since when ranks need a recovery without a change under way; zero if they do not
	versionDeadline     time.Time             // after it, a rank reporting another version than currentVersion invalidates current
}

type member struct {
	experts [][]int // held, by set; nil if not known
	report  Report  // newest one
	version int64   // of experts
}

func newGroup(name, leaderVM string, ranks int, e tgcatalog.Engine) *group {
	return &group{
		balancer: tgbalance.NewBalancer(tgbalance.Limits{NewPerSet: e.NewExpertsPerSet, Slots: e.ExpertSlotsPerRank}),
		demand:   tgbalance.NewDemandEstimator(e.Sets, e.Experts), engine: e, leaderVM: leaderVM, members: make([]member, ranks),
		name: name,
	}
}

// silence returns the time since a rank of the group last reported.
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

// changing reports whether a change or a recovery is under way.
func (g *group) changing() bool { return g.change != nil || g.recovery != nil }

// applyReport updates the group with the report of a rank.
func (g *group) applyReport(r Report, now time.Time) {
	if r.Rank < 0 || r.Rank >= len(g.members) || r.Ranks != len(g.members) {
		return
	}
	if r.State.Epoch < g.epoch {
		return // sent before the group re-formed
	}
	if r.State.Epoch > g.epoch {
		g.epoch, g.lastStep, g.current, g.recoveryStarted = r.State.Epoch, 0, nil, false
		g.firstSeen = now // a hold is ended only after the other ranks have had time to report this epoch
		for i := range g.members {
			g.members[i].experts = nil
		}
	}
	if g.firstSeen.IsZero() {
		g.firstSeen = now
	}
	m := &g.members[r.Rank]
	if r.From == (netip.AddrPort{}) && r.VM != g.leaderVM {
		r.StateAge += g.engine.StateReportLag // polled: engines show an older state to other VMs
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
	slowThreshold = 1.1 // factor of the usual time for its work above which an engine counts as slow
	maxSlowdown   = 20  // higher factors count as this one, as they say nothing more about the rank
)

// slowdowns returns the factor by which the work of each rank takes longer than usual, or nil if no rank is slow.
func (g *group) slowdowns() tgexpert.Slowdowns {
	if g.slowRanks() == 0 {
		return nil
	}
	factors := make(tgexpert.Slowdowns, len(g.members))
	for i, m := range g.members {
		factors[i] = min(max(m.report.Slowdown, 1), maxSlowdown)
	}
	return factors
}

// slowRanks returns the number of slow ranks.
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

// missingRank returns the rank that never reported, or -1 if there is none or more than one.
func (g *group) missingRank() int {
	rank := -1
	for i, m := range g.members {
		if m.report.State.Seen.IsZero() {
			if rank >= 0 {
				return -1
			}
			rank = i
		}
	}
	return rank
}

// snapshot returns the states of all ranks and whether all of them are known, fresh and in an open group. If so, it
// updates the current replication.
func (g *group) snapshot(now time.Time) ([]tgmapchange.RankState, bool) {
	ranks := make([]tgmapchange.RankState, len(g.members))
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

// updateCurrent determines which replication is in use, from the version and the experts that all ranks report.
func (g *group) updateCurrent(ranks []tgmapchange.RankState, now time.Time) {
	version := ranks[0].Version
	for _, r := range ranks {
		if r.Version != version {
			return // a change is taking effect
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

// isStepping reports whether the group makes passes; an order for a pass of an idle group could wait for a long time.
func (g *group) isStepping(now time.Time) bool { return now.Sub(g.lastStepAt) < rankStaleAfter }

// isOwner reports whether a change or recovery is that of the group at present.
func (g *group) isOwner(o orderOwner) bool {
	return g.change != nil && o == orderOwner(g.change) || g.recovery != nil && o == orderOwner(g.recovery)
}
