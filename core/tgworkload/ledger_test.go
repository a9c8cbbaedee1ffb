package tgworkload

import (
	"cmp"

	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcost"
)

// Guards against a load that outlives its streams, and against one that counts a stream that is about to end like one that
// has just begun.
func TestLoadFollowsProgress(t *testing.T) {
	l := NewLedger()
	est := tgcost.Estimate{Median: 100, P90: 200, Prompt: 800}
	a, b := l.Start("u", est, 0), l.Start("u", est, 0)
	assert.Equal(t, l.Load("u", 100), Load{Memory: 2000, Overlap: 2, Prompt: 1600, Streams: 2})
	a.Progress(75)
	load := l.Load("u", 100)
	assert.Equal(t, load, Load{Memory: 2000, Overlap: 1.25, Prompt: 800, Streams: 2})
	assert.Equal(t, load.Units(), 2+0.25*1.25+0.8)
	a.Progress(1000) // longer than expected
	assert.Equal(t, l.Load("u", 100).Overlap, 1.01)
	a.End()
	b.End()
	assert.Equal(t, l.Load("u", 100), Load{})
	assert.Equal(t, len(l.States()), 0)
}

// placement replays streams with uneven lengths over upstreams and returns the mean number of streams that run on the
// busiest upstream, relative to the mean of all, for a policy that scores an upstream.
func placement(seed uint64, spread float64, score func(l *Ledger, upstream string, est *tgcost.Estimate) float64) float64 {
	const (
		upstreams = 32
		step      = 10 * time.Millisecond // for a token
		perSecond = 120.0
	)
	type stream struct {
		job  *Job
		left int
		name string
	}
	r := rand.New(rand.NewPCG(seed, 1))
	e, l := tgcost.NewEstimator(), NewLedger()
	var running []*stream
	busiest, mean := 0.0, 0.0
	now := time.Unix(1000, 0)
	for i := range 3000 {
		now = now.Add(step)
		for n := perSecond * step.Seconds(); n > 0 && (n >= 1 || r.Float64() < n); n-- {
			length := max(1, 100*math.Exp(spread*r.NormFloat64()))
			length = min(length, 400)
			req := tgcost.Request{Account: strconv.Itoa(r.IntN(10)), Hint: length * math.Exp(0.5*r.NormFloat64()), Route: "r"}
			est := e.Estimate(req, now)
			names := make([]string, upstreams)
			for u := range names {
				names[u] = strconv.Itoa(u)
			}
			r.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
			best := slices.MinFunc(names, func(a, b string) int { return cmp.Compare(score(l, a, &est), score(l, b, &est)) })
			running = append(running, &stream{job: l.Start(best, est, 0), left: int(length), name: best})
			e.Observe(req, est, length, now)
		}
		counts := map[string]int{}
		remaining := running[:0]
		for _, s := range running {
			s.job.Progress(1)
			if s.left--; s.left <= 0 {
				s.job.End()
				continue
			}
			counts[s.name]++
			remaining = append(remaining, s)
		}
		running = remaining
		if i >= 1000 {
			most := 0
			for _, n := range counts {
				most = max(most, n)
			}
			busiest += float64(most)
			mean += float64(len(running)) / upstreams
		}
	}
	return busiest / mean
}

// Guards against a placement by cost that makes the busiest upstream, for which a whole rank group waits, busier than a
// placement by the number of streams does, at answers that differ by tens of times.
func TestPlacementByRemainingWork(t *testing.T) {
	for _, spread := range []float64{0.3, 1.5} {
		byCount, byCost := 0.0, 0.0
		const seeds = 3
		for seed := range uint64(seeds) {
			byCount += placement(seed, spread, func(l *Ledger, u string, _ *tgcost.Estimate) float64 {
				return float64(l.Load(u, 1).Streams)
			}) / seeds
			byCost += placement(seed, spread, func(l *Ledger, u string, est *tgcost.Estimate) float64 {
				return l.Load(u, est.Mean()).Units()
			}) / seeds
		}
		t.Logf("spread %.1f: busiest upstream against the mean: %.3f by count, %.3f by cost", spread, byCount, byCost)
		assert.Assert(t, byCost <= byCount, "spread %.1f: %.3f by cost, %.3f by count", spread, byCost, byCount)
	}
}
