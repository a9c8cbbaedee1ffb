package tgroute

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a remote upstream that is preferred for a small gain: the last comparison, over upstreams with a cached
// prefix, left out the penalty for the distance.
func TestCachedPrefixFarAway(t *testing.T) {
	for _, tc := range []struct {
		name   string
		remote View
		want   int
	}{
		{"small gain", View{CacheGain: 0.1, Limit: 10, Load: 2}, 0},
		{"large gain", View{CacheGain: 1, Limit: 10, Load: 2}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			views := []View{{Limit: 10, Load: 2, Local: true}, tc.remote}
			r := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // not for secrets
			assert.Equal(t, PowerOfChoices{}.Pick(views, r), tc.want)
		})
	}
}
