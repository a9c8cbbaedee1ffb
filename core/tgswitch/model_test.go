package tgswitch

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// modelRank is an engine of the model.
type modelRank struct {
	armedStep    int64
	armedVersion int64
	content      map[int64]int // who made each version that was prepared
	cutUntil     time.Time     // orders and reports wait until then
	fence        int64
	held         int64
	highest      int64 // version
	prepared     int64
	readyAt      time.Time // when the prepared map is loaded
	version      int64
}

// modelGroup is a group of engines that pass in lock-step.
type modelGroup struct {
	epoch  int64
	idle   bool
	last   []RankState // states at the last report
	mixed  string      // set when a pass begins with different maps
	next   time.Time
	ranks  []modelRank
	step   int64
	stalls time.Duration // time in which a hold kept a pass from beginning
}

func newModelGroup(n int, now time.Time) *modelGroup {
	g := &modelGroup{epoch: 1, last: make([]RankState, n), next: now, ranks: make([]modelRank, n)}
	for i := range g.ranks {
		g.ranks[i].content = map[int64]int{}
	}
	return g
}

// restart forms the group anew.
func (g *modelGroup) restart(now time.Time) {
	g.epoch++
	g.step = 0
	g.next = now.Add(600 * time.Millisecond)
	for i := range g.ranks {
		g.ranks[i] = modelRank{content: map[int64]int{}, cutUntil: g.ranks[i].cutUntil}
	}
}

// run begins the passes that are due.
func (g *modelGroup) run(now time.Time, tick time.Duration, r *rand.Rand) {
	if g.idle || now.Before(g.next) {
		return
	}
	step := g.step + 1
	for i := range g.ranks {
		if g.ranks[i].held == step {
			g.stalls += tick
			return
		}
	}
	g.step = step
	g.next = now.Add(time.Duration(40+r.IntN(60)) * time.Millisecond)
	for i := range g.ranks {
		k := &g.ranks[i]
		if k.armedVersion != 0 && k.armedStep == step {
			k.version, k.armedVersion, k.armedStep, k.prepared = k.armedVersion, 0, 0, 0
		}
	}
	for i := range g.ranks {
		a, b := &g.ranks[0], &g.ranks[i]
		if a.version != b.version || a.content[a.version] != b.content[b.version] {
			g.mixed = fmt.Sprintf("pass %d: rank 0 has map %d, rank %d has map %d", step, a.version, i, b.version)
		}
	}
}

// take carries an order out; maker tells whose map an order to prepare brings.
func (g *modelGroup) take(o Order, token int64, maker int, now time.Time, r *rand.Rand) Result {
	k := &g.ranks[o.Rank]
	if o.Epoch != g.epoch {
		return ResultRefused
	}
	if token < k.fence {
		return ResultFenced
	}
	k.fence = token
	switch o.Operation {
	case Prepare:
		if k.prepared == o.Version {
			return ResultDone
		}
		if o.Version <= k.highest || k.armedVersion != 0 {
			return ResultRefused
		}
		k.highest, k.prepared, k.content[o.Version] = o.Version, o.Version, maker
		k.readyAt = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
	case Arm:
		if k.armedVersion == o.Version && k.armedStep == o.Step {
			return ResultDone
		}
		if k.prepared != o.Version || now.Before(k.readyAt) || o.Step <= g.step {
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
		if o.Step <= g.step || k.held != 0 && k.held != o.Step {
			return ResultRefused
		}
		k.held = o.Step
	case Release:
		if k.held != o.Step {
			return ResultRefused
		}
		k.held = 0
	}
	return ResultDone
}

// states returns what the ranks report.
func (g *modelGroup) states(now time.Time) []RankState {
	states := make([]RankState, len(g.ranks))
	for i, k := range g.ranks {
		if now.Before(k.cutUntil) {
			states[i] = g.last[i]
			continue
		}
		s := RankState{
			ArmedStep: k.armedStep, ArmedVersion: k.armedVersion, Epoch: g.epoch, Held: k.held, Open: true, Seen: now,
			Step: g.step, Version: k.version,
		}
		if k.prepared != 0 && !now.Before(k.readyAt) {
			s.Prepared = k.prepared
		}
		states[i] = s
	}
	g.last = states
	return states
}
