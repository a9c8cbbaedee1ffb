package tgstandin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgtwophase"
)

type stepKey struct {
	formation tgtwophase.ID
	step      uint64
}

// stepState is the state of a step that some rank has entered.
type stepState struct {
	mapID   tgtwophase.ID // map of the first rank that entered
	entered uint64        // bit mask of the ranks that have entered
	started time.Time     // entry of the first rank
}

// RankGroup is a stand-in of a rank group that runs in lock-step. It records the steps in which two ranks use different
// maps.
type RankGroup struct {
	BytesPerExpert float64
	Interval       time.Duration // duration of a step with evenly loaded ranks

	mu            sync.Mutex
	blockedTime   time.Duration // total time between the first and the last rank's entry to a step
	completed     uint64
	loads         tgexpert.Loads
	longestGap    time.Duration // between two completed steps
	lastCompleted time.Time     // completion of the last step
	mixedSteps    []string      // see RankGroupStats
	ranks         []*RankEngine
	skewSum       float64 // of the completed steps
	stepStates    map[stepKey]*stepState
	store         *WeightStore
}

// NewRankGroup returns a group of n ranks, including spare ranks, with the given loads per step.
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

// SetLoads sets the loads of further steps.
func (g *RankGroup) SetLoads(l tgexpert.Loads) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads = l
}

// Run runs steps until ctx ends.
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

// runRound lets each rank that may enter its next step do so, and returns the time until the next round. It returns as
// soon as a step is complete, so that all ranks start the next step together.
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

// previousStepEntered reports whether all members of the formation of r have entered the step before its next one. A
// rank must wait for that.
func (g *RankGroup) previousStepEntered(r *RankEngine) bool {
	previous, ok := g.stepStates[stepKey{r.machine.Formation, r.machine.NextStep - 1}]
	return !ok || previous.entered == r.machine.Members
}

// enterStep records that r enters a step. If r is the last member to enter, it returns the duration of the step and true.
func (g *RankGroup) enterStep(r *RankEngine, key stepKey, mapID tgtwophase.ID) (time.Duration, bool) {
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

// RankGroupStats are statistics of the steps of a group.
type RankGroupStats struct {
	BlockedTime time.Duration // total time in which only some of the ranks had entered a step
	Completed   uint64
	LongestGap  time.Duration // between two completed steps
	MeanSkew    float64
	MixedSteps  []string // one entry for each rank that used another map than the first rank in its step
}

// Stats returns the statistics and resets BlockedTime and LongestGap. All other fields cover the group's whole lifetime.
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
