package tgexpert

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against ranks that prepare maps with one version and different contents because a difference was applied to
// another map than it was made from.
func TestDeltaRoundTrip(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	p := NewReplication(4, 72, 12)
	limits := ReplicationLimits{CopyCost: 0.002, NewPerRank: 3, NewPerSet: 3, Places: 8}
	for range 10 {
		next, _, _ := p.Improve(skewedLoads(r, 4, 72), limits)
		got, ok := p.Apply(next.Delta(p))
		assert.Assert(t, ok)
		next.Sort()
		got.Sort()
		assert.DeepEqual(t, got, next)
		_, ok = next.Apply(next.Delta(p))
		assert.Equal(t, ok, len(next.Delta(p).Moves) == 0)
		p = next
	}
	_, ok := p.Apply(Delta{Experts: 72, Moves: []Move{{Rank: 99}}, Ranks: 12, Sets: 4})
	assert.Assert(t, !ok)
	_, ok = p.Apply(Delta{Experts: 71, Ranks: 12, Sets: 4})
	assert.Assert(t, !ok)
}
