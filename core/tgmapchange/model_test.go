package tgmapchange

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// modelRank is the model of an engine.
type modelRank struct {
	armedStep        int64
	armedVersion     int64
	heldStep         int64
	highestToken     int64
	highestVersion   int64
	lastResult       Result    // of the last order
	loadedAt         time.Time // when the loading of the prepared map ends
	prepared         int64
	preparedBy       map[int64]int // by version: the leader that prepared it
	unreachableUntil time.Time     // orders and reports are delayed until then
	version          int64
}

// modelGroup is the model of a group of engines that begin passes in lock-step.
type modelGroup struct {
	epoch      int64
	heldTime   time.Duration // time for which holds kept passes from beginning
	idle       bool
	lastStates []RankState // states at the last report
	nextPassAt time.Time
	ranks      []modelRank
	step       int64
	unfenced   bool   // tokens are not compared
	violation  string // description of a pass that began with different maps; empty if there is none
}

func newModelGroup(n int, now time.Time) *modelGroup {
	g := &modelGroup{epoch: 1, lastStates: make([]RankState, n), nextPassAt: now, ranks: make([]modelRank, n)}
	for i := range g.ranks {
		g.ranks[i].preparedBy = map[int64]int{}
	}
	return g
}

// restart forms the group again, in a new epoch.
func (g *modelGroup) restart(now time.Time) {
	g.epoch++
	g.step = 0
	g.nextPassAt = now.Add(600 * time.Millisecond)
	for i := range g.ranks {
		g.ranks[i] = modelRank{preparedBy: map[int64]int{}, unreachableUntil: g.ranks[i].unreachableUntil}
	}
}

// beginDuePass begins the next pass if it is due and not held, and records a violation if the maps differ.
func (g *modelGroup) beginDuePass(now time.Time, tick time.Duration, r *rand.Rand) {
	if g.idle || now.Before(g.nextPassAt) {
		return
	}
	step := g.step + 1
	for i := range g.ranks {
		if g.ranks[i].heldStep == step {
			g.heldTime += tick
			return
		}
	}
	g.step = step
	g.nextPassAt = now.Add(time.Duration(40+r.IntN(60)) * time.Millisecond)
	for i := range g.ranks {
		k := &g.ranks[i]
		if k.armedVersion != 0 && k.armedStep == step {
			k.version, k.armedVersion, k.armedStep, k.prepared = k.armedVersion, 0, 0, 0
		}
	}
	for i := range g.ranks {
		a, b := &g.ranks[0], &g.ranks[i]
		if a.version != b.version || a.preparedBy[a.version] != b.preparedBy[b.version] {
			g.violation = fmt.Sprintf("pass %d: rank 0 has map %d, rank %d has map %d", step, a.version, i, b.version)
		}
	}
}

// execute carries out an order and notes its result.
func (g *modelGroup) execute(o Order, token int64, leaderID int, now time.Time, r *rand.Rand) Result {
	result := g.executeOrder(o, token, leaderID, now, r)
	g.ranks[o.Rank].lastResult = result
	return result
}

// executeOrder carries out an order; leaderID identifies the leader whose map an order to prepare brings.
func (g *modelGroup) executeOrder(o Order, token int64, leaderID int, now time.Time, r *rand.Rand) Result {
	k := &g.ranks[o.Rank]
	if o.Epoch != g.epoch {
		return ResultRefused
	}
	if token < k.highestToken && !g.unfenced {
		return ResultFenced
	}
	k.highestToken = token
	switch o.Operation {
	case Prepare:
		if k.prepared == o.Version {
			return ResultDone
		}
		if o.Version <= k.highestVersion || k.armedVersion != 0 {
			return ResultRefused
		}
		k.highestVersion, k.prepared, k.preparedBy[o.Version] = o.Version, o.Version, leaderID
		k.loadedAt = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
	case Arm:
		if k.armedVersion == o.Version && k.armedStep == o.Step {
			return ResultDone
		}
		if k.prepared != o.Version || now.Before(k.loadedAt) || o.Step <= g.step {
			return ResultRefused
		}
		k.armedVersion, k.armedStep = o.Version, o.Step
	case Disarm:
		if k.version == o.Version {
			return ResultRefused
		}
		if k.armedVersion == o.Version {
			k.armedVersion, k.armedStep = 0, 0
		}
	case Hold:
		if o.Step <= g.step || k.heldStep != 0 && k.heldStep != o.Step {
			return ResultRefused
		}
		k.heldStep = o.Step
	case Release:
		if k.heldStep != o.Step {
			return ResultRefused
		}
		k.heldStep = 0
	}
	return ResultDone
}

// states returns what the ranks report.
func (g *modelGroup) states(now time.Time) []RankState {
	states := make([]RankState, len(g.ranks))
	for i, k := range g.ranks {
		if now.Before(k.unreachableUntil) {
			states[i] = g.lastStates[i]
			continue
		}
		s := RankState{
			ArmedStep: k.armedStep, ArmedVersion: k.armedVersion, Epoch: g.epoch, Held: k.heldStep, Open: true, Seen: now,
			Step: g.step, Version: k.version,
		}
		if k.prepared != 0 && !now.Before(k.loadedAt) {
			s.Prepared = k.prepared
		}
		states[i] = s
	}
	g.lastStates = states
	return states
}
