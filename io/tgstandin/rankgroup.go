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

type stepState struct {
	mapID   tgstep.ID
	entered uint64 // bit of each rank
	started time.Time
}

// RankGroup is a stand-in of a rank group that runs in lock-step and records the map of each rank in each step.
type RankGroup struct {
	BytesPerExpert float64
	Interval       time.Duration // of an evenly loaded step

	mu            sync.Mutex
	blockedTime   time.Duration // time in which some rank waited in a step
	completed     uint64
	loads         tgexpert.Loads
	longestGap    time.Duration // between two completed steps
	lastCompleted time.Time
	mixedSteps    []string
	ranks         []*RankEngine
	skewSum       float64
	stepStates    map[stepKey]*stepState
	store         *WeightStore
}

// NewRankGroup returns a group of n ranks under the given loads per step; spare ranks count as well.
func NewRankGroup(n int, interval time.Duration, loads tgexpert.Loads, store *WeightStore) *RankGroup {
	g := &RankGroup{
		Interval: interval, lastCompleted: time.Now(), loads: loads, stepStates: map[stepKey]*stepState{}, store: store,
	}
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
		t := time.NewTimer(g.runRound())
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

const pollInterval = time.Millisecond

// runRound lets each rank that may enter its next step do so, and returns the time until the next round.
// It ends with the step, so that all ranks begin the next one together.
func (g *RankGroup) runRound() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.stalled || !g.previousStepEntered(r) {
			continue
		}
		key := stepKey{r.machine.Formation, r.machine.NextStep}
		mapID, ok := r.machine.EnterStep()
		if !ok {
			continue
		}
		if took, done := g.enterStep(r, key, mapID); done {
			return took
		}
	}
	return pollInterval
}

// previousStepEntered holds a rank back until all members of its formation have entered the step before.
func (g *RankGroup) previousStepEntered(r *RankEngine) bool {
	previous, ok := g.stepStates[stepKey{r.machine.Formation, r.machine.NextStep - 1}]
	return !ok || previous.entered == r.machine.Members
}

func (g *RankGroup) enterStep(r *RankEngine, key stepKey, mapID tgstep.ID) (time.Duration, bool) {
	state, ok := g.stepStates[key]
	if !ok {
		state = &stepState{mapID: mapID, started: time.Now()}
		g.stepStates[key] = state
	}
	if state.mapID != mapID {
		g.mixedSteps = append(g.mixedSteps, fmt.Sprintf("step %d of formation %v: rank %d uses map %v instead of %v",
			key.step, key.formation, r.index, mapID, state.mapID))
	}
	state.entered |= 1 << uint(r.index)
	if state.entered != r.machine.Members {
		return 0, false
	}
	delete(g.stepStates, stepKey{key.formation, key.step - 2})
	now := time.Now()
	g.completed++
	g.blockedTime += now.Sub(state.started)
	g.longestGap = max(g.longestGap, now.Sub(g.lastCompleted))
	g.lastCompleted = now
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
		BlockedTime: g.blockedTime, Completed: g.completed, LongestGap: max(g.longestGap, time.Since(g.lastCompleted)),
		MeanSkew: g.skewSum / float64(max(g.completed, 1)), MixedSteps: g.mixedSteps,
	}
	g.blockedTime, g.longestGap = 0, 0
	return s
}
