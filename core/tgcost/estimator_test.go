package tgcost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// lognormal returns a length with the given median and spread.
func lognormal(r *rand.Rand, median, spread float64) float64 {
	return max(1, median*math.Exp(spread*r.NormFloat64()))
}

// Guards against estimates that are off for good: in nine of ten cases, the answer must not exceed P90, and a caller's hint
// that is good at the median must make the estimate better than the route's median alone.
func TestEstimatesAreCalibrated(t *testing.T) {
	for _, test := range []struct {
		name         string
		spread, hint float64 // standard deviations of the logarithms; a hint of 0 is left out
		basis        Basis
	}{
		{name: "even answers without hints", spread: 0.3, basis: BasisRoute},
		{name: "hint better than the route", spread: 1.5, hint: 0.5, basis: BasisHint},
		{name: "hint worse than the route", spread: 0.3, hint: 1.2, basis: BasisRoute},
		{name: "uneven answers without hints", spread: 1.5, basis: BasisRoute},
	} {
		t.Run(test.name, func(t *testing.T) {
			e, r := NewEstimator(), rand.New(rand.NewPCG(1, 2))
			above, errSum := 0, 0.0
			const warm, n = 300, 2000
			for i := range warm + n {
				tokens := lognormal(r, 100, test.spread)
				req := Request{Account: fmt.Sprint("a", i%10), Route: "r"}
				if test.hint > 0 {
					req.Hint = lognormal(r, tokens, test.hint)
				}
				est := e.Estimate(req, start)
				if i >= warm {
					assert.Equal(t, est.Basis, test.basis)
					if tokens > est.P90 {
						above++
					}
					errSum += math.Abs(math.Log(tokens / est.Median))
				}
				e.Observe(req, est, tokens, start)
			}
			share := float64(above) / n
			assert.Assert(t, share > 0.05 && share < 0.15, "%.3f of the answers exceed P90", share)
			// The mean absolute deviation of a normal distribution is 0.8 standard deviations; buckets add to it.
			best := test.spread
			if test.hint > 0 {
				best = min(best, test.hint)
			}
			assert.Assert(t, errSum/n < best, "mean error %.3f", errSum/n)
			c := e.States()["r"].Calibration
			assert.Assert(t, c.Above90/c.Count < 0.15, "%+v", c)
		})
	}
}

// Guards against one account that sets the estimates of all others: by far the most requests, all of them with answers of
// another length.
func TestOneAccountDoesNotPoisonOthers(t *testing.T) {
	e := NewEstimator()
	observe := func(account string, tokens float64) {
		req := Request{Account: account, Route: "r"}
		e.Observe(req, e.Estimate(req, start), tokens, start)
	}
	for i := range 200 {
		observe(fmt.Sprint("a", i%20), 100)
	}
	for i := range 4000 {
		observe("heavy", 20000)
		if i%10 == 0 {
			observe(fmt.Sprint("a", i%20), 100)
		}
	}
	other := e.Estimate(Request{Account: "a1", Route: "r"}, start)
	assert.Assert(t, other.Median < 150, "%.0f", other.Median)
	heavy := e.Estimate(Request{Account: "heavy", Route: "r"}, start)
	assert.Assert(t, heavy.Median >= 2*other.Median, "%.0f", heavy.Median)
}

// Guards against malformed and hostile token counts: "nan" made the load of an upstream a NaN for good, which no later
// request could change.
func TestParseTokenCounts(t *testing.T) {
	for _, test := range []struct {
		text           string
		prompt, answer float64
	}{
		{"", 0, 0},
		{"-5,-1", 0, 0},
		{"1460,80", 1460, 80},
		{"1460", 1460, 0},
		{" 12 , 3 ", 12, 3},
		{"1e300,80", maxTokens, 80},
		{"inf,+Inf", 0, 0},
		{"nan,NaN", 0, 0},
		{"0.9,1e-300", 0, 0},
		{"x,80", 0, 80},
	} {
		prompt, answer := ParseTokenCounts(test.text)
		assert.Equal(t, prompt, test.prompt, test.text)
		assert.Equal(t, answer, test.answer, test.text)
	}
}

// Guards against an expectation that falls to zero while a stream goes on, and against one that does not grow with the
// length produced although only long answers are left.
func TestRemaining(t *testing.T) {
	e, r := NewEstimator(), rand.New(rand.NewPCG(3, 4))
	for i := range 400 {
		req := Request{Account: strconv.Itoa(i % 10), Route: "r"}
		e.Observe(req, Estimate{}, lognormal(r, 100, 1.2), start)
	}
	est := e.Estimate(Request{MaxOutput: 5000, Prompt: 500, Route: "r"}, start)
	assert.Assert(t, est.Mean() > est.Median)
	assert.Assert(t, est.Remaining(300) > est.Mean(), "%.0f after 300 of %.0f", est.Remaining(300), est.Mean())
	assert.Equal(t, est.Remaining(1e9), 1.0)
	assert.Equal(t, est.Memory(), 500+est.P90)
	bounded := e.Estimate(Request{MaxOutput: 50, Route: "r"}, start)
	assert.Equal(t, bounded.P90, 50.0)
}

// Guards against an entry that knows nothing after a restart although its peers do, and against a peer's malformed
// summary.
func TestMergeSummaries(t *testing.T) {
	peer := NewEstimator()
	for i := range 400 {
		peer.Observe(Request{Account: strconv.Itoa(i % 10), Hint: 150, Route: "r"}, Estimate{}, 300, start)
	}
	list := peer.Summaries()
	assert.Equal(t, len(list), 1)
	e := NewEstimator()
	prior := e.Estimate(Request{Prior: 97, Route: "r"}, start)
	assert.Equal(t, prior.Basis, BasisPrior)
	assert.Equal(t, prior.Median, 97.0)
	assert.Equal(t, e.Merge(list, start), 1)
	learned := e.Estimate(Request{Route: "r"}, start)
	assert.Assert(t, learned.Median > 250 && learned.Median < 350, "%.0f", learned.Median)
	assert.Equal(t, learned.Samples, float64(maxImportedWeight))
	assert.Equal(t, e.Merge(list, start), 0) // own knowledge goes first

	bad := list[0]
	bad.Route = "bad"
	bad.Tokens.Counts[3] = float32(math.NaN())
	assert.Equal(t, e.Merge([]Summary{bad}, start), 0)

	bad.Tokens = Histogram{Total: -0.005} // its spread is infinite, which a dump cannot show
	assert.Equal(t, e.Merge([]Summary{bad}, start), 0)
}

// Guards against memory that grows with the names that callers and configurations bring along.
func TestEstimatorIsBounded(t *testing.T) {
	e := NewEstimator()
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		e.Observe(Request{Account: strconv.Itoa(i), Route: "r"}, Estimate{}, 100, now)
		e.Observe(Request{Account: "a", Route: strconv.Itoa(i)}, Estimate{}, 100, now)
	}
	states := e.States()
	assert.Assert(t, len(states) <= shardCount*maxRoutes)
	for name, st := range states {
		assert.Assert(t, st.Accounts <= maxAccounts, name)
	}
}

// Guards against estimates that no longer follow the answers of a route with few accounts: each of them has more than
// maxAccountShare of the route's answers, so that none counted.
func TestFewAccountsAreLearned(t *testing.T) {
	for accounts := 1; accounts <= 5; accounts++ {
		e := NewEstimator()
		for i := range 2000 {
			tokens := 100.0
			if i >= 500 {
				tokens = 3000
			}
			r := Request{Account: strconv.Itoa(i % accounts), Route: "r"}
			e.Observe(r, e.Estimate(r, start), tokens, start)
		}
		median := e.Estimate(Request{Account: "new", Route: "r"}, start).Median
		assert.Assert(t, median > 2500 && median < 3500, "%d accounts: %.0f", accounts, median)
	}
}
