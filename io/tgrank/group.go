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
	balancer       *tgbalance.Balancer
	began          time.Time
	change         *tgswitch.Switch
	decided        time.Time
	demand         *tgbalance.DemandEstimator
	engine         tgcatalog.Engine
	epoch          int64
	expectBy       time.Time // when all ranks have to report the version in use
	fast           bool      // its agents were asked to report often
	firstSeen      time.Time // first report
	logged         time.Time // when the skew was last logged
	members        []member
	moved          time.Time // when the newest pass was seen to grow
	name           string
	newest         int64 // pass
	next           *tgexpert.Replication
	nextDelta      tgexpert.Delta // from present
	nextVersion    int64
	present        *tgexpert.Replication // nil if not known
	presentVersion int64
	recovered      bool // a recovery of this term has begun in this epoch
	recovery       *tgswitch.Recovery
	self           string // VM of the leader
	strayAt        time.Time
}

type member struct {
	experts [][]int
	report  Report
	version int64 // of experts
}

func newGroup(name, self string, ranks int, e tgcatalog.Engine) *group {
	return &group{
		balancer: tgbalance.NewBalancer(tgbalance.Limits{NewPerSet: e.NewExpertsPerSet, Slots: e.ExpertSlotsPerRank}),
		demand:   tgbalance.NewDemandEstimator(e.Sets, e.Experts), engine: e, members: make([]member, ranks), name: name,
		self: self,
	}
}

// silent returns how long no rank of the group has reported.
func (g *group) silent(now time.Time) time.Duration {
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

func (g *group) busy() bool { return g.change != nil || g.recovery != nil }

// take notes a report.
func (g *group) take(r Report, now time.Time) {
	if r.Rank < 0 || r.Rank >= len(g.members) || r.Ranks != len(g.members) {
		return
	}
	if r.State.Epoch < g.epoch {
		return // sent before the group formed anew
	}
	if r.State.Epoch > g.epoch {
		g.epoch, g.newest, g.present, g.recovered = r.State.Epoch, 0, nil, false
		for i := range g.members {
			g.members[i].experts = nil
		}
	}
	if g.firstSeen.IsZero() {
		g.firstSeen = now
	}
	m := &g.members[r.Rank]
	if r.From == (netip.AddrPort{}) && r.VM != g.self {
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
	if r.State.Step > g.newest {
		g.newest, g.moved = r.State.Step, now
	}
}

const (
	slowPace    = 1.1 // an engine that takes longer for its work counts as slow
	slowestPace = 20  // a longer time tells nothing more
)

// paces returns how slow each rank is, or nil if none is.
func (g *group) paces() tgexpert.Slowdowns {
	if g.slow() == 0 {
		return nil
	}
	paces := make(tgexpert.Slowdowns, len(g.members))
	for i, m := range g.members {
		paces[i] = min(max(m.report.Slowdown, 1), slowestPace)
	}
	return paces
}

// slow returns the number of slow ranks.
func (g *group) slow() int {
	n := 0
	for _, m := range g.members {
		if m.report.Slowdown > slowPace {
			n++
		}
	}
	return n
}

// held reports whether a rank is known to hold a pass.
func (g *group) held() bool {
	for _, m := range g.members {
		if m.report.State.Held != 0 {
			return true
		}
	}
	return false
}

// missing returns the one rank that never reported, or -1.
func (g *group) missing() int {
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

// view returns the states of all ranks and whether all of them are known, fresh and in an open group.
func (g *group) view(now time.Time) ([]tgswitch.RankState, bool) {
	ranks := make([]tgswitch.RankState, len(g.members))
	ready := true
	for i, m := range g.members {
		ranks[i] = m.report.State
		if m.report.State.Seen.IsZero() || now.Sub(m.report.State.Seen) > rankStale || !m.report.State.Open ||
			m.report.State.Epoch != g.epoch {
			ready = false
		}
	}
	if ready {
		g.learn(ranks, now)
	}
	return ranks, ready
}

// learn finds out which replication is in use.
func (g *group) learn(ranks []tgswitch.RankState, now time.Time) {
	version := ranks[0].Version
	for _, r := range ranks {
		if r.Version != version {
			return // a change is just taking effect
		}
	}
	if g.present != nil {
		if version != g.presentVersion && now.After(g.expectBy) {
			g.present = nil
		}
		return
	}
	if version == 0 {
		g.present = tgexpert.NewReplication(g.engine.Sets, g.engine.Experts, len(g.members))
		g.presentVersion = 0
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
		g.present, g.presentVersion = p, version
	}
}

// moving reports whether the group makes passes; an order for a pass of an idle group could wait for long.
func (g *group) moving(now time.Time) bool { return now.Sub(g.moved) < rankStale }
