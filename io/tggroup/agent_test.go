package tggroup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgtwophase"
)

// TestAgentStalled guards against new work for a group that makes no steps, and against refusing work merely because no
// controller reads the states.
func TestAgentStalled(t *testing.T) {
	const after = 3 * time.Second
	start := time.Now()
	for _, tc := range []struct {
		name  string
		reads map[time.Duration]uint64 // step at each read
		at    time.Duration            // when Stalled is called
		want  bool
	}{
		{name: "neverRead", at: time.Hour},
		{name: "readsEnded", reads: map[time.Duration]uint64{0: 1, time.Second: 1}, at: time.Minute},
		{
			name: "standsStill", reads: map[time.Duration]uint64{0: 1, time.Second: 1, 3 * time.Second: 1}, at: 3 * time.Second,
			want: true,
		},
		{name: "steps", reads: map[time.Duration]uint64{0: 1, time.Second: 2, 3 * time.Second: 3}, at: 3 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := &Agent{}
			for _, at := range []time.Duration{0, time.Second, 3 * time.Second} {
				if step, ok := tc.reads[at]; ok {
					a.steps.observe(tgtwophase.State{NextStep: step}, start.Add(at))
				}
			}
			assert.Equal(t, a.Stalled(after, start.Add(tc.at)), tc.want)
		})
	}
}
