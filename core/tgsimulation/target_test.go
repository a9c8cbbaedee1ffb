package tgsimulation

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcall"
)

// The bounds are those of section 10 of the design page.

// Guards against requests that are lost, truncated or run twice when a data centre is withdrawn and returns cold, and
// against live requests that wait because of it.
func TestTargetDataCentreLeaves(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.60, 0.80, 0.95} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			c, last := SimulateWithdrawal(Variants[0], load, *seed, nil)
			assert.Equal(t, c.Total().Lost+c.Incomplete+c.DuplicateExecutions+c.Unfinished(), 0)
			live := c.ByPriority[tgcall.Live]
			assert.Equal(t, live.Refused, 0)
			assert.Assert(t, Quantile(live.FirstTokenLatencies, 0.95) < 1600*time.Millisecond)
			assert.Assert(t, Quantile(live.TokenGaps, 0.95) < 26*time.Millisecond)
			assert.Assert(t, last < 5*time.Second)
		})
	}
}

// Guards against a concurrency limit that overloads a cold upstream until it collapses, or that grows too slowly.
func TestTargetColdStart(t *testing.T) {
	t.Parallel()
	best := fastestWarmup(*seed)
	for _, n := range []int{1, 3, 12} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			t.Parallel()
			c, full := SimulateColdStart(Variants[0], n, 60*time.Second, *seed, nil)
			assert.Assert(t, full.Seconds() <= 1.2*best.Seconds(), "%s, best %s", full, best)
			assert.Assert(t, Quantile(c.Total().TokenGaps, 0.99) < 2*stepTime)
		})
	}
}

// Guards against overload that reduces goodput, distorts the shares of accounts or grows through retries.
func TestTargetOverload(t *testing.T) {
	t.Parallel()
	for _, factor := range []float64{2, 5} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			t.Parallel()
			c, d := SimulateOverload(Variants[0], factor, *seed)
			assert.Assert(t, float64(c.Tokens) >= 0.95*d.Seconds()*requestCapacity(engines)*meanTokens)
			assert.Assert(t, worstShareError(c) <= 0.05)
			assert.Assert(t, float64(c.Attempts) < 1.1*float64(c.Arrived))
		})
	}
}

// Guards against a faulty upstream that slows the requests at the others.
func TestTargetUnhealthyEngine(t *testing.T) {
	t.Parallel()
	healthy := SimulateUnhealthyEngine(Variants[0], *seed, FaultNone).Unaffected
	for _, h := range faults {
		t.Run(h.name, func(t *testing.T) {
			t.Parallel()
			others := SimulateUnhealthyEngine(Variants[0], *seed, h.inject).Unaffected
			first, healthyFirst := Quantile(others.FirstTokenLatencies, 0.99), Quantile(healthy.FirstTokenLatencies, 0.99)
			assert.Assert(t, first.Seconds() <= 1.1*healthyFirst.Seconds())
			assert.Assert(t, Quantile(others.TokenGaps, 0.99).Seconds() <= 1.1*Quantile(healthy.TokenGaps, 0.99).Seconds())
		})
	}
}

// Guards against idempotent requests that are lost when a third of the upstreams crash, and against a retry storm and
// duplicate executions when they crash under overload.
func TestTargetDataCentreCrashes(t *testing.T) {
	t.Parallel()
	assert.Equal(t, SimulateCrash(Variants[0], 0.6, *seed).LostIdempotent, 0)
	c := SimulateCrash(Variants[0], 1.5, *seed)
	assert.Assert(t, float64(c.Attempts) < 1.1*float64(c.Arrived))
	assert.Equal(t, c.DuplicateExecutions, 0)
}
