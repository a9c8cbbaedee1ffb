package tgstandin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgstep"
)

type stepKey struct {
	formation tgstep.ID
	step      uint64
}

type stepUse struct {
	mapID   tgstep.ID
	entered uint64 // bit of each rank
	started time.Time
}

// RankGroup is a stand-in of a rank group that runs in lock-step and records the map of each rank in each step.
type RankGroup struct {
	BytesPerExpert float64
	Interval       time.Duration // of an evenly loaded step

	mu        sync.Mutex
	blocked   time.Duration // time in which some rank waited in a step
	completed uint64
	loads     tgexpert.Loads
	longest   time.Duration // between two completed steps
	last      time.Time
	mixed     []string
	ranks     []*RankEngine
	skewSum   float64
	store     *WeightStore
	uses      map[stepKey]*stepUse
}

// NewRankGroup returns a group of n ranks under the given loads per step; spare ranks count as well.
func NewRankGroup(n int, interval time.Duration, loads tgexpert.Loads, store *WeightStore) *RankGroup {
	g := &RankGroup{Interval: interval, last: time.Now(), loads: loads, store: store, uses: map[stepKey]*stepUse{}}
	for i := range n {
		g.ranks = append(g.ranks, newRankEngine(g, i))
	}
	return g
}

// Rank returns the engine of rank i.
func (g *RankGroup) Rank(i int) *RankEngine { return g.ranks[i] }

// SetLoads changes the loads of the steps to come.
func (g *RankGroup) SetLoads(l tgexpert.Loads) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads = l
}

// Run steps until ctx ends.
func (g *RankGroup) Run(ctx context.Context) {
	for ctx.Err() == nil {
		t := time.NewTimer(g.round())
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

const pollInterval = time.Millisecond

// round lets each rank that may enter its next step do so, and returns the time to the next round.
// It ends with the step, so that all ranks begin the next one together.
func (g *RankGroup) round() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.stalled || !g.othersReady(r) {
			continue
		}
		key := stepKey{r.machine.Formation, r.machine.NextStep}
		mapID, ok := r.machine.EnterStep()
		if !ok {
			continue
		}
		if took, done := g.enter(r, key, mapID); done {
			return took
		}
	}
	return pollInterval
}

// othersReady holds a rank back until all members of its formation have entered the step before.
func (g *RankGroup) othersReady(r *RankEngine) bool {
	previous, ok := g.uses[stepKey{r.machine.Formation, r.machine.NextStep - 1}]
	return !ok || previous.entered == r.machine.Members
}

func (g *RankGroup) enter(r *RankEngine, key stepKey, mapID tgstep.ID) (time.Duration, bool) {
	use, ok := g.uses[key]
	if !ok {
		use = &stepUse{mapID: mapID, started: time.Now()}
		g.uses[key] = use
	}
	if use.mapID != mapID {
		g.mixed = append(g.mixed, fmt.Sprintf("step %d of formation %v: rank %d uses map %v instead of %v",
			key.step, key.formation, r.index, mapID, use.mapID))
	}
	use.entered |= 1 << uint(r.index)
	if use.entered != r.machine.Members {
		return 0, false
	}
	delete(g.uses, stepKey{key.formation, key.step - 2})
	now := time.Now()
	g.completed++
	g.blocked += now.Sub(use.started)
	g.longest = max(g.longest, now.Sub(g.last))
	g.last = now
	skew := 1.0
	if p := r.placements[mapID]; p != nil {
		skew = p.Skew(g.loads)
	}
	g.skewSum += skew
	for _, member := range g.ranks {
		if r.machine.Members&(1<<uint(member.index)) != 0 {
			member.steps++
		}
	}
	return time.Duration(skew * float64(g.Interval)), true
}

// RankGroupStats is what a group has recorded.
type RankGroupStats struct {
	BlockedTime time.Duration // in which a step had begun on some ranks only
	Completed   uint64
	LongestGap  time.Duration // between two completed steps
	MeanSkew    float64
	MixedSteps  []string // steps in which two ranks used different maps
}

// Stats returns what was recorded and starts anew, except for Completed and Mixed.
func (g *RankGroup) Stats() RankGroupStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := RankGroupStats{
		BlockedTime: g.blocked, Completed: g.completed, LongestGap: max(g.longest, time.Since(g.last)), MixedSteps: g.mixed,
		MeanSkew: g.skewSum / float64(max(g.completed, 1)),
	}
	g.blocked, g.longest = 0, 0
	return s
}
