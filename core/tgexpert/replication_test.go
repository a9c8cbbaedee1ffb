package tgexpert

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// skewedLoads draws loads in which a few experts, different ones in each set, receive most tokens.
func skewedLoads(r *rand.Rand, sets, experts int) Loads {
	l := NewLoads(sets, experts)
	for s := range sets {
		for i, e := range r.Perm(experts) {
			l.Layer(s)[e] = 1000 / math.Pow(float64(i+1), 1.3)
		}
	}
	return l
}

// Guards against replications that exceed a rank's slots, drop an expert or copy more than the engines accept.
func TestImproveKeepsLimits(t *testing.T) {
	for name, size := range map[string]struct{ sets, experts, ranks, slots int }{
		"grown": {8, 252, 63, 5},
		"small": {4, 72, 12, 8},
	} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			limits := ReplicationLimits{CopyCost: 0.002, NewPerRank: 6, NewPerSet: 3, Slots: size.slots}
			p := NewReplication(size.sets, size.experts, size.ranks)
			for range 8 {
				loads := skewedLoads(r, size.sets, size.experts)
				next, before, after := p.Improve(loads, limits)
				assert.Assert(t, next.Valid(size.slots))
				assert.Assert(t, after <= before, "%.3f > %.3f", after, before)
				for s := range next.Sets {
					for rank, held := range next.Sets[s] {
						added := 0
						for _, e := range held {
							if !contains(p.Sets[s][rank], e) {
								added++
							}
						}
						assert.Assert(t, added <= limits.NewPerSet)
					}
				}
				_, most := next.Copies(p)
				assert.Assert(t, most <= limits.NewPerRank)
				t.Logf("skew %.2f -> %.2f", before, after)
				p = next
			}
		})
	}
}

// Guards against search loads that deviate from those of the replication, after which it copies experts without a gain.
func TestSearchLoadsMatchPlan(t *testing.T) {
	loads := skewedLoads(rand.New(rand.NewPCG(1, 2)), 1, 72)
	p := NewReplication(1, 72, 12)
	next := p.Clone()
	limits := ReplicationLimits{CopyCost: 0.002, NewPerRank: 6, NewPerSet: 3, Slots: 8}
	q := newReplicaSearch(p, next, 0, loads.Layer(0), limits, make([]int, 12))
	steps := 0
	for ; q.step(limits.CopyCost * q.mean); steps++ {
		for r, want := range next.rankLoads(0, loads.Layer(0), nil) {
			assert.Assert(t, math.Abs(want-q.load[r]) < 1e-6*q.mean, "step %d, rank %d: %f, not %f", steps, r, q.load[r], want)
		}
	}
	assert.Assert(t, steps > 0)
}

func contains(list []int, e int) bool {
	for _, x := range list {
		if x == e {
			return true
		}
	}
	return false
}

func BenchmarkImprove(b *testing.B) {
	for name, size := range map[string]struct{ sets, experts, ranks, slots int }{
		"grown": {8, 252, 63, 5},
		"small": {4, 72, 12, 8},
	} {
		b.Run(name, func(b *testing.B) { benchmarkImprove(b, size.sets, size.experts, size.ranks, size.slots) })
	}
}

func benchmarkImprove(b *testing.B, sets, experts, ranks, slots int) {
	b.Helper()
	r := rand.New(rand.NewPCG(1, 2))
	limits := ReplicationLimits{CopyCost: 0.002, NewPerRank: 6, NewPerSet: 3, Slots: slots}
	loads := skewedLoads(r, sets, experts)
	p := NewReplication(sets, experts, ranks)
	var before, after float64
	var next *Replication
	for b.Loop() {
		next, before, after = p.Improve(loads, limits)
	}
	copies, most := next.Copies(p)
	b.ReportMetric(before, "skewBefore")
	b.ReportMetric(after, "skewAfter")
	b.ReportMetric(float64(copies), "copies")
	b.ReportMetric(float64(most), "copiesOnRank")
}

// Guards against a search that stops because a load far above the others left rounding errors in the sum of powers, which
// happens when almost all tokens of a set go to one expert of a large group.
func TestImproveExtremeSkew(t *testing.T) {
	const sets, experts, ranks, slots = 1, 512, 256, 4
	loads := skewedLoads(rand.New(rand.NewPCG(3, 4)), sets, experts)
	for e := range loads.Layer(0) {
		loads.Layer(0)[e] = 1e-3
	}
	loads.Layer(0)[7] = 1e9
	next, before, after := NewReplication(sets, experts, ranks).Improve(loads, ReplicationLimits{
		CopyCost: 1e-6, NewPerRank: 1, NewPerSet: 1, Slots: slots,
	})
	assert.Assert(t, next.Valid(slots))
	assert.Assert(t, before > 250, "%.1f", before)
	assert.Assert(t, after < 1.1, "%.3f", after)
}
