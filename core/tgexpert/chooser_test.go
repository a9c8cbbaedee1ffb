package tgexpert

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// choosers are algorithms that select the rank of a request; all but the first are baselines.
var choosers = []struct {
	name   string
	choose func(i int, ranks []Candidate[int], req Request) int
}{
	{"chooser", func(_ int, ranks []Candidate[int], req Request) int {
		if c, ok := Choose(Chooser{PrefillPerStep: 512}, ranks, req); ok {
			return c.Key
		}
		return -1
	}},
	{"affinity", func(i int, ranks []Candidate[int], _ Request) int {
		best := i % len(ranks)
		for _, c := range ranks {
			if c.CachedTokens > ranks[best].CachedTokens {
				best = c.Key
			}
		}
		return best
	}},
	{"leastRunning", func(_ int, ranks []Candidate[int], _ Request) int {
		best := 0
		for _, c := range ranks {
			if c.Running < ranks[best].Running {
				best = c.Key
			}
		}
		return best
	}},
	{"roundRobin", func(i int, ranks []Candidate[int], _ Request) int { return i % len(ranks) }},
}

// BenchmarkChoose measures the skew of tokens per step, the prefill saved by cached prefixes and the steps until the
// first token, under requests whose prompts share 200 prefixes of 1500 tokens by a Zipf law.
func BenchmarkChoose(b *testing.B) {
	for _, s := range shapes {
		for _, c := range choosers {
			b.Run(fmt.Sprintf("ranks=%d/%s", s.ranks, c.name), func(b *testing.B) {
				var skew, slowest, saved, wait, late float64
				for range b.N {
					skew, slowest, saved, wait, late = simulateRequests(s.ranks, c.choose, 1)
				}
				b.ReportMetric(skew, "skew")
				b.ReportMetric(slowest, "tokens-slowest") // of the slowest rank, mean over steps
				b.ReportMetric(saved, "prefill-saved")
				b.ReportMetric(wait, "steps-to-first")
				b.ReportMetric(late, "delayed") // share of requests that wait for more than 20 steps
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func simulateRequests(
	n int, choose func(int, []Candidate[int], Request) int, seed uint64,
) (skew, slowest, saved, wait, late float64) {
	const steps, prefix, prefill, cached = 4000, 1500, 512, 24
	rng := rand.New(rand.NewPCG(seed, 2))
	zipf := rand.NewZipf(rng, 1.1, 1, 199)
	ranks := make([]Candidate[int], n)
	caches := make([][]int, n) // last prefixes of each rank
	ends := make([]map[int]int, n)
	for i := range ranks {
		ranks[i], ends[i] = Candidate[int]{FreeKVTokens: 1 << 20, Key: i}, map[int]int{}
	}
	var prompt, requests float64
	for step := range steps {
		for range n {
			if rng.Float64() > 0.12 {
				continue
			}
			p := int(zipf.Uint64())
			req := Request{ExpectedTokens: 50 + rng.IntN(400), PromptTokens: prefix + 50 + rng.IntN(1000)}
			for i := range ranks {
				ranks[i].CachedTokens = 0
				for _, held := range caches[i] {
					if held == p {
						ranks[i].CachedTokens = prefix
					}
				}
			}
			r := &ranks[choose(int(requests), ranks, req)]
			prompt, saved, requests = prompt+float64(req.PromptTokens), saved+float64(r.CachedTokens), requests+1
			r.PendingPrefill += req.PromptTokens - r.CachedTokens
			steps := r.PendingPrefill/prefill + 1
			if wait += float64(steps); steps > 20 {
				late++
			}
			ends[r.Key][step+steps+req.ExpectedTokens]++
			r.Running++
			caches[r.Key] = append(caches[r.Key], p)
			caches[r.Key] = caches[r.Key][max(0, len(caches[r.Key])-cached):]
		}
		most, total := 0, 0
		for i := range ranks {
			tokens := ranks[i].tokens(prefill)
			most, total = max(most, tokens), total+tokens
			ranks[i].PendingPrefill = max(0, ranks[i].PendingPrefill-prefill)
			ranks[i].Running -= ends[i][step]
		}
		if total > 0 {
			skew += float64(most*n) / float64(total) / steps
			slowest += float64(most) / steps
		}
	}
	return skew, slowest, saved / prompt, wait / requests, late / requests
}
