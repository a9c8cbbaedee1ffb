package tgtwophase

import (
	"flag"
	"testing"

	"github.com/cespare/xxhash/v2"
)

const maxStates = 6_000_000 // limits memory to about 8 GB

var full = flag.Bool("full", false, "run the explorations that take minutes")

// explore visits all states within the bounds and returns their number and the first violation; it stops at limit states.
func explore(b bounds, f fault, limit int) (int, error) {
	first := newWorld(b, f)
	seen := map[[2]uint64]struct{}{hash(first.key()): {}}
	queue := []world{first}
	var failure error
	for len(queue) > 0 && failure == nil && len(seen) < limit {
		w := queue[0]
		queue[0] = world{}
		queue = queue[1:]
		w.successors(f, func(n world, err error) {
			if err != nil && failure == nil {
				failure = err
			}
			k := hash(n.key())
			if _, known := seen[k]; known {
				return
			}
			seen[k] = struct{}{}
			queue = append(queue, n)
			if f == "" && failure == nil && len(seen)%16 == 0 {
				h := n.clone()
				failure = h.checkRecovery()
			}
		})
	}
	return len(seen), failure
}

// TestExploration guards against a step that ranks run with different maps, and against a group that a new controller
// cannot recover, in every order of faults within the bounds.
func TestExploration(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name   string
		bounds bounds
		large  bool // takes minutes; runs only with -full
	}{
		{"2 ranks, 2 controllers", bounds{controllers: 2, proposals: 1, ranks: 2, steps: 2}, false},
		{"2 ranks, companion restart", bounds{companionRestarts: 1, controllers: 2, proposals: 1, ranks: 2, steps: 2}, true},
		{"2 ranks, engine restart", bounds{controllers: 1, engineRestarts: 1, proposals: 1, ranks: 2, steps: 2}, false},
		{"2 ranks, engine restart, 2 controllers", bounds{
			controllers: 2, engineRestarts: 1, proposals: 1, ranks: 2, steps: 2,
		}, true},
		{"2 ranks, held reply", bounds{controllers: 2, heldReplies: 1, proposals: 1, ranks: 2, steps: 2}, true},
		{"2 ranks, smaller set", bounds{controllers: 1, memberChanges: 1, proposals: 1, ranks: 2, steps: 2}, false},
		{"2 ranks, smaller set, 2 controllers", bounds{
			controllers: 2, memberChanges: 1, proposals: 1, ranks: 2, steps: 2,
		}, true},
		{"2 ranks, three controllers", bounds{controllers: 3, proposals: 1, ranks: 2, steps: 2}, true},
		{"2 ranks, two changes", bounds{controllers: 2, proposals: 2, ranks: 2, steps: 3}, true},
		{"3 ranks, 1 controller", bounds{controllers: 1, proposals: 1, ranks: 3, steps: 2}, false},
		{"3 ranks, 2 controllers", bounds{controllers: 2, proposals: 1, ranks: 3, steps: 2}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			if tt.large && !*full {
				t.Skip("runs with -full")
			}
			n, err := explore(tt.bounds, "", maxStates)
			t.Logf("%d states", n)
			if err != nil {
				t.Fatal(err)
			}
			if n >= maxStates {
				t.Fatal("the exploration is not complete")
			}
		})
	}
}

// TestExplorationDetectsFaults guards against an exploration that would miss faults of the protocol.
func TestExplorationDetectsFaults(t *testing.T) {
	t.Parallel()
	wide := bounds{controllers: 2, proposals: 1, ranks: 2, steps: 3}
	restart := bounds{controllers: 1, engineRestarts: 1, proposals: 1, ranks: 2, steps: 3}
	for _, tt := range []struct {
		fault  fault
		bounds bounds
		large  bool
	}{
		{faultArmPassed, wide, false},
		{faultBlindRestart, bounds{companionRestarts: 1, controllers: 2, proposals: 1, ranks: 2, steps: 2}, true},
		{faultCommitFirstAck, wide, false},
		{faultIgnoreToken, wide, false},
		{faultKeepFormation, restart, false},
		{faultPartialRead, wide, false},
		{faultRecoverAbort, wide, false},
		{faultRunUndecided, wide, false},
		{faultSkipArm, wide, false},
	} {
		t.Run(string(tt.fault), func(t *testing.T) {
			t.Parallel()
			if tt.large && !*full {
				t.Skip("runs with -full")
			}
			n, err := explore(tt.bounds, tt.fault, maxStates)
			t.Logf("%d states: %v", n, err)
			if err == nil {
				t.Fatal("the exploration finds no violation")
			}
		})
	}
}

func hash(s string) [2]uint64 {
	return [2]uint64{xxhash.Sum64String(s), xxhash.Sum64String(s + "second")}
}
