package tgexpert

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"
)

// shape is the size of a group in the measurements.
type shape struct{ ranks, slots int }

var shapes = []shape{{8, 9}, {16, 5}, {32, 3}} // 64 experts; one spare slot on each rank

const (
	benchExperts  = 64
	benchLayers   = 60
	tokensPerRank = 2048 // in a step; each goes to topK experts
	topK          = 8
	windowSteps   = 200                 // 5.2 s
	windowTime    = 0.026 * windowSteps // seconds
	windows       = 200
	stepsSampled  = 5 // steps per window whose loads are sampled
)

// benchCosts returns the costs of the measurements: 44 MB is an expert of 3 matrices of 7168 x 2048 bytes; with a token
// time of 26 ns, a balanced step of 60 layers takes 26 ms, the bound for the time between tokens.
func benchCosts() Costs {
	return Costs{
		BytesPerExpert: 44e6, CachePerMove: 5 * time.Millisecond, Horizon: 150_000, Pause: 26 * time.Millisecond,
		StoreRate: 20e9, TokenTime: 26 * time.Nanosecond,
	}
}

type result struct {
	bytes, changes        float64
	skews, skewsOverBound []float64 // skew of each sampled step, and the same divided by its lower bound
}

func (r *result) mean() float64 { return sum(r.skews) / float64(len(r.skews)) }

func quantile(values []float64, q float64) float64 {
	s := slices.Sorted(slices.Values(values))
	return s[int(q*float64(len(s)-1))]
}

var policies = []struct {
	name      string
	start     func(Loads, shape) *Placement
	newPolicy func() Policy
}{
	{"balancer", packed, func() Policy { return NewBalancer(benchCosts()) }},
	{"always", packed, func() Policy { return AlwaysRepack{} }},
	{"evenSplit", packed, func() Policy { return evenSplit{} }},
	{"greedy", packed, func() Policy { return Greedy{} }},
	{"static", packed, func() Policy { return Static{} }},
	{"roundRobin", roundRobin, func() Policy { return Static{} }},
}

// evenSplit is AlwaysRepack with equal weights for all replicas of an expert.
type evenSplit struct{}

func (evenSplit) Decide(present *Placement, loads *Estimator) Decision {
	d := AlwaysRepack{}.Decide(present, loads)
	d.Placement.SplitEvenly(benchExperts)
	return d
}

func packed(l Loads, s shape) *Placement { return Pack(l, s.ranks, s.slots) }

func roundRobin(l Loads, s shape) *Placement {
	return NewPlacement(l.Layers, l.Experts, s.ranks, s.slots)
}

// simulatePolicies runs all policies on the same loads.
func simulatePolicies(kind string, s shape, tokens int, seed uint64) []*result {
	t := newTraffic(kind, benchLayers, benchExperts, float64(s.ranks*tokens*topK), seed)
	step, window := NewLoads(benchLayers, benchExperts), NewLoads(benchLayers, benchExperts)
	results := make([]*result, len(policies))
	placements := make([]*Placement, len(policies))
	next, ready := make([]*Placement, len(policies)), make([]int, len(policies)) // pending change; window by which it is loaded
	decide := make([]Policy, len(policies))
	estimator := NewEstimator(benchLayers, benchExperts)
	for w := range windows {
		expected := t.next(windows)
		for i := range policies {
			if w == 0 {
				results[i], decide[i], placements[i] = &result{}, policies[i].newPolicy(), policies[i].start(expected, s)
			}
		}
		t.draw(expected, window, windowSteps)
		for range stepsSampled {
			t.draw(expected, step, 1)
			for i, p := range placements {
				skew := p.Skew(step)
				results[i].skews = append(results[i].skews, skew)
				results[i].skewsOverBound = append(results[i].skewsOverBound, skew/step.MinSkew(s.ranks, s.slots))
			}
		}
		estimator.Observe(window)
		for i, p := range decide {
			if next[i] != nil && w < ready[i] {
				continue
			}
			if next[i] != nil {
				placements[i], next[i] = next[i], nil
			}
			if d := p.Decide(placements[i], estimator); d.Placement != nil {
				bytes := float64(d.Moves) * benchCosts().BytesPerExpert
				loading := bytes / benchCosts().StoreRate / windowTime
				next[i], ready[i] = d.Placement, w+int(loading)
				if loading < 1 {
					placements[i], next[i] = d.Placement, nil
				}
				results[i].bytes += bytes
				results[i].changes++
			}
		}
	}
	return results
}

// BenchmarkPolicies measures skew and bytes of all policies on the same seeded traffic.
func BenchmarkPolicies(b *testing.B) {
	for _, s := range shapes {
		for _, kind := range []string{"day", "drift", "flap", "swap"} {
			for seed := uint64(1); seed <= 3; seed++ {
				results := simulatePolicies(kind, s, tokensPerRank, seed)
				for i, r := range results {
					b.Run(fmt.Sprintf("ranks=%d/%s/seed=%d/%s", s.ranks, kind, seed, policies[i].name), func(b *testing.B) {
						report(b, r)
					})
				}
			}
		}
	}
}

// BenchmarkBatch measures the part of the skew that is due to few tokens in a step.
func BenchmarkBatch(b *testing.B) {
	for _, tokens := range []int{64, 256, 1024, 4096} {
		r := simulatePolicies("drift", shapes[2], tokens, 1)
		b.Run(fmt.Sprintf("tokens=%d/balancer", tokens), func(b *testing.B) { report(b, r[0]) })
	}
}

func report(b *testing.B, r *result) {
	b.Helper()
	for range b.N {
		b.ReportMetric(r.mean(), "skew")
		b.ReportMetric(sum(r.skewsOverBound)/float64(len(r.skewsOverBound)), "skew/bound")
		b.ReportMetric(quantile(r.skewsOverBound, 0.99), "p99/bound")
		b.ReportMetric(r.bytes/1e9, "GB")
		b.ReportMetric(r.changes, "changes")
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkDecision measures one decision of the balancer after a swap of all experts.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ ranks, experts, layers int }{
		{8, 64, 60}, {16, 64, 60}, {32, 64, 60}, {64, 64, 60}, {32, 32, 60}, {32, 128, 60}, {32, 64, 30}, {32, 64, 120},
	} {
		for _, kind := range []string{"steady", "swap"} {
			b.Run(fmt.Sprintf("ranks=%d/experts=%d/layers=%d/%s", size.ranks, size.experts, size.layers, kind), func(b *testing.B) {
				t := newTraffic("swap", size.layers, size.experts, float64(size.ranks*tokensPerRank*topK), 1)
				slots := (size.experts+size.ranks-1)/size.ranks + 1
				p := Pack(t.a, size.ranks, slots)
				e := NewEstimator(size.layers, size.experts)
				e.Observe(map[string]Loads{"steady": t.a, "swap": t.b}[kind])
				start := cpuTime(b)
				for b.Loop() {
					NewBalancer(benchCosts()).Decide(p, e) // a new balancer, since one skips layers that it has searched without a gain
				}
				b.ReportMetric(float64((cpuTime(b)-start).Microseconds())/1000/float64(b.N), "cpu-ms/op")
			})
		}
	}
}

// cpuTime returns the CPU time of the process so far, which other load on the machine affects less than wall time.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
