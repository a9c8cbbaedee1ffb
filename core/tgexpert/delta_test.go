package tgexpert

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against ranks that prepare maps with the same version but different contents, because a delta was applied to
// another map than the one it was made from.
func TestDeltaRoundTrip(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	p := NewReplication(4, 72, 12)
	limits := ReplicationLimits{CopyCost: 0.002, NewPerRank: 3, NewPerSet: 3, Slots: 8}
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

// Guards against orders to prepare that take longer on the leader's link than the time-out for their answers, after a
// change of the demand in a group of 63 ranks. On khoji-clues-grown scale-2, 63 orders of 1.1 kB each took more than 120 ms
// on a link of 8 Mbit/s and the orders to the last ranks were repeated.
func TestDeltaIsSmall(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	p := NewReplication(8, 252, 63)
	next, _, _ := p.Improve(skewedLoads(r, 8, 252), ReplicationLimits{CopyCost: 0.004, NewPerRank: 2, NewPerSet: 2, Slots: 5})
	d := next.Delta(p)
	data, err := d.MarshalBinary()
	assert.NilError(t, err)
	assert.Assert(t, len(d.Moves) > 60, "%d", len(d.Moves))
	const linkBytesPerMs, ranks = 1000, 63
	assert.Assert(t, ranks*len(data) < 30*linkBytesPerMs, "%d bytes for %d moves", len(data), len(d.Moves))
	var got Delta
	assert.NilError(t, got.UnmarshalBinary(data))
	applied, ok := p.Apply(got)
	assert.Assert(t, ok)
	next.Sort()
	applied.Sort()
	assert.DeepEqual(t, applied, next)
}

// Guards against datagrams that make an agent allocate without bound or crash.
func FuzzDelta(f *testing.F) {
	valid, err := Delta{
		Experts: 72, Moves: []Move{{Expert: 3, Rank: 1, Set: 2}, {Expert: 4, Gone: true, Rank: 1}}, Ranks: 12, Sets: 4,
	}.MarshalBinary()
	assert.NilError(f, err)
	f.Add(valid)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{1, 1, 0, 1, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Delta
		if d.UnmarshalBinary(data) != nil {
			return
		}
		again, err := d.MarshalBinary()
		assert.NilError(t, err)
		var same Delta
		assert.NilError(t, same.UnmarshalBinary(again))
		assert.DeepEqual(t, same, d)
	})
}
