package tgstandin

import (
	"testing"
	"time"

	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgtwophase"
)

// TestMixedStepIsRecorded guards against a stand-in that fails to record that two ranks used different maps in one step,
// which would let every test of map changes pass.
func TestMixedStepIsRecorded(t *testing.T) {
	for _, tt := range []struct {
		name string
		maps [2]tgtwophase.ID
		want int
	}{
		{"one map", [2]tgtwophase.ID{{Token: 1}, {Token: 1}}, 0},
		{"two maps", [2]tgtwophase.ID{{Token: 1}, {Token: 2}}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := NewRankGroup(2, time.Millisecond, tgexpert.NewLoads(1, 2), NewWeightStore(1))
			for i, r := range g.ranks {
				r.machine.MarkStaged(tt.maps[i])
				r.machine.Receive(tgtwophase.Message{
					Formation: tgtwophase.ID{Token: 3}, Kind: tgtwophase.KindForm, Map: tt.maps[i], Members: 3, Token: 3,
				})
			}
			g.runRound()
			if s := g.Stats(); len(s.MixedSteps) != tt.want || s.Completed != 1 {
				t.Errorf("%d mixed steps of %d, want %d of 1", len(s.MixedSteps), s.Completed, tt.want)
			}
		})
	}
}
