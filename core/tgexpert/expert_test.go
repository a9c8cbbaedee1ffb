package tgexpert

import "testing"

// TestPlacementsStayValid guards against a decision that drops an expert, places one twice on a rank or gives an expert
// weights that do not add up to 1.
func TestPlacementsStayValid(t *testing.T) {
	for _, s := range shapes {
		for seed := uint64(1); seed <= 3; seed++ {
			tr := newTraffic("flap", 4, benchExperts, 1e6, seed)
			e := NewEstimator(4, benchExperts)
			for _, tt := range policies[:4] {
				p, policy := NewPlacement(4, benchExperts, s.ranks, s.slots), tt.newPolicy()
				for range 30 {
					e.Observe(tr.next(30))
					if d := policy.Decide(p, e); d.Placement != nil {
						if !d.Placement.Valid(benchExperts) {
							t.Fatalf("%s, %d ranks, seed %d: invalid placement", tt.name, s.ranks, seed)
						}
						p = d.Placement
					}
				}
			}
		}
	}
}

// TestBalancerAvoidsUnprofitableMoves guards against thrashing between alternating patterns and against moves that cost
// more than they save. The bounds are those of the design page: a tenth of the bytes of a repack each time, and 1.01 times
// its skew.
func TestBalancerAvoidsUnprofitableMoves(t *testing.T) {
	for _, kind := range []string{"drift", "flap"} {
		results := simulatePolicies(kind, shapes[0], tokensPerRank, 7)
		balancer, always := results[0], results[1]
		if balancer.bytes*10 > always.bytes {
			t.Errorf("%s: balancer moves %.0f bytes, always %.0f", kind, balancer.bytes, always.bytes)
		}
		if kind == "drift" && balancer.mean() > 1.01*always.mean() {
			t.Errorf("%s: skew %.4f, always %.4f", kind, balancer.mean(), always.mean())
		}
	}
}

// TestEstimator guards against an estimate that a single outlier window distorts or that follows a swap slowly.
func TestEstimator(t *testing.T) {
	a, b := Loads{Experts: 2, Layers: 1, Tokens: []float64{80, 20}}, Loads{Experts: 2, Layers: 1, Tokens: []float64{20, 80}}
	for _, tt := range []struct {
		name    string
		windows []Loads
		want    float64 // smoothed load of expert 0
	}{
		{"odd window", []Loads{a, a, b, a}, 80},
		{"steady", []Loads{a, a, a}, 80},
		{"swap", []Loads{a, a, b, b}, 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := NewEstimator(1, 2)
			for _, w := range tt.windows {
				e.Observe(w)
			}
			if got := e.Smoothed().Tokens[0]; got != tt.want {
				t.Errorf("load is %v, want %v", got, tt.want)
			}
		})
	}
}

// TestChoose guards against affinity that overloads a rank and against the choice of a rank without room in its KV cache.
func TestChoose(t *testing.T) {
	c := Chooser{PrefillPerStep: 512}
	for _, tt := range []struct {
		name       string
		candidates []Candidate[string]
		want       string
	}{
		{"affinity at equal load", []Candidate[string]{
			{FreeKVTokens: 9000, Key: "a", Running: 8}, {CachedTokens: 1000, FreeKVTokens: 9000, Key: "b", Running: 8},
		}, "b"},
		{"least loaded", []Candidate[string]{
			{FreeKVTokens: 9000, Key: "a", Running: 8}, {FreeKVTokens: 9000, Key: "b", Running: 4},
		}, "b"},
		{"no room", []Candidate[string]{{FreeKVTokens: 10, Key: "a"}}, ""},
		{"skew exceeds the gain of affinity", []Candidate[string]{
			{FreeKVTokens: 9000, Key: "a", Running: 8}, {CachedTokens: 1000, FreeKVTokens: 9000, Key: "b", Running: 60},
		}, "a"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, _ := Choose(c, tt.candidates, Request{ExpectedTokens: 100, PromptTokens: 1200})
			if got.Key != tt.want {
				t.Errorf("chose %q, want %q", got.Key, tt.want)
			}
		})
	}
}
