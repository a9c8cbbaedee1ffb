// Package tgcost estimates what a request costs an upstream before it runs: the length of its answer, from the answers to
// earlier requests of its route, the caller's hint and how far such hints were off, and its account.
package tgcost

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount        = 8
	maxRoutes         = 64   // of a shard; the route that was idle for longest makes room
	maxAccounts       = 128  // of a route, likewise
	minSamples        = 20   // answers before the learned lengths replace the prior
	accountPrior      = 20   // answers of an account that count as much as the rest of its route
	maxAccountShare   = 0.25 // of a route's answers, or maxEqualShares if that is more
	maxEqualShares    = 1.5  // times the share of each account if all had as many answers; above 1, as they vary
	defaultAnswer     = 100  // tokens, if neither answers nor the configuration tell
	maxAccountFactor  = 4.0
	maxImportedWeight = 60 // answers that the summary of a peer counts for
)

// Estimator learns the lengths of answers. It is safe for concurrent use and bounded in memory.
type Estimator struct {
	shards [shardCount]shard // by route
}

type shard struct {
	mu     sync.Mutex // guards routes and what they hold
	routes map[string]*route
}

// route is what is known of the answers on a route.
type route struct {
	accounts    map[string]*account
	calibration Calibration
	ratios      Histogram // length divided by the caller's hint
	tokens      Histogram // length
	updated     time.Time // newest observation
	used        time.Time // newest estimate or observation
}

// account is how the answers of one account differ from the others of its route.
type account struct {
	logError float64 // sum of the logarithms of length divided by the route's median; fades
	updated  time.Time
	weight   float64 // observations; fades
}

// NewEstimator returns an estimator that knows no answers.
func NewEstimator() *Estimator {
	e := &Estimator{}
	for i := range e.shards {
		e.shards[i].routes = map[string]*route{}
	}
	return e
}

func (e *Estimator) shard(name string) *shard { return &e.shards[xxhash.Sum64String(name)%shardCount] }

// Estimate returns what a request is expected to cost.
func (e *Estimator) Estimate(r Request, now time.Time) Estimate {
	s := e.shard(r.Route)
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := knownLimit(r.MaxOutput)
	rt, ok := s.routes[r.Route]
	if !ok || rt.tokens.Total < minSamples {
		return priorEstimate(r, limit)
	}
	rt.used = now
	// The histograms are copied, because the estimate outlives the lock.
	h, basis, scale := rt.tokens, BasisRoute, rt.accountFactor(r.Account)
	if r.Hint > 0 && rt.ratios.Total >= minSamples && rt.ratios.spread() < rt.tokens.spread() {
		h, basis, scale = rt.ratios, BasisHint, r.Hint
	}
	est := estimateOf(&h, basis, scale, limit)
	est.Age, est.Prompt = now.Sub(rt.updated), r.Prompt
	return est
}

func priorEstimate(r Request, limit float64) Estimate {
	est := Estimate{Basis: BasisNone, Median: defaultAnswer, Prompt: r.Prompt, limit: limit, scale: 1}
	if r.Prior > 0 {
		est.Basis, est.Median = BasisPrior, r.Prior
	}
	est.Median = min(est.Median, limit)
	est.P90 = min(2*est.Median, limit)
	return est
}

// accountFactor returns the length of an account's answers relative to the route's, 1 if too little is known.
func (rt *route) accountFactor(name string) float64 {
	a, ok := rt.accounts[name]
	if !ok {
		return 1
	}
	f := math.Exp(a.logError / (a.weight + accountPrior))
	return min(max(f, 1/maxAccountFactor), maxAccountFactor)
}

// Observe records that the answer to a request had the given number of tokens. Answers that were cancelled or broken off
// must not be recorded, as they say little about the length.
func (e *Estimator) Observe(r Request, est Estimate, tokens float64, now time.Time) {
	if !(tokens >= 1) {
		return
	}
	s := e.shard(r.Route)
	s.mu.Lock()
	defer s.mu.Unlock()
	rt := s.route(r.Route, now)
	rt.updated, rt.used = now, now
	rt.calibration.observe(est, tokens)
	if rt.observeAccount(r.Account, tokens, now) {
		rt.tokens.add(tokens, 1)
		if r.Hint > 0 {
			rt.ratios.add(tokens/r.Hint, 1)
		}
	}
}

// observeAccount records an answer for its account and reports whether it may count for the route: the answers of an account
// that already has too much of the route's weight do not, so that it cannot set the estimates of the others.
func (rt *route) observeAccount(name string, tokens float64, now time.Time) bool {
	a, ok := rt.accounts[name]
	if !ok {
		if len(rt.accounts) >= maxAccounts {
			evictOldest(rt.accounts, func(a *account) time.Time { return a.updated })
		}
		a = &account{}
		rt.accounts[name] = a
	}
	a.updated = now
	if median := rt.tokens.quantile(0.5); median > 0 {
		a.logError += math.Log(tokens / median)
	}
	if a.weight++; a.weight > maxWeight {
		a.weight, a.logError = a.weight/2, a.logError/2
	}
	share := max(maxAccountShare, maxEqualShares/float64(len(rt.accounts)))
	return rt.tokens.Total < 2*minSamples || a.weight <= share*rt.totalWeight()
}

// totalWeight returns the observations of all accounts of the route.
func (rt *route) totalWeight() float64 {
	total := 0.0
	for _, a := range rt.accounts {
		total += a.weight
	}
	return total
}

// route returns the state of a route, which is new if there was none.
func (s *shard) route(name string, now time.Time) *route {
	rt, ok := s.routes[name]
	if !ok {
		if len(s.routes) >= maxRoutes {
			evictOldest(s.routes, func(r *route) time.Time { return r.used })
		}
		rt = &route{accounts: map[string]*account{}, ratios: Histogram{Origin: centreBucket}, used: now}
		s.routes[name] = rt
	}
	return rt
}

// evictOldest deletes the entry with the earliest time.
func evictOldest[V any](m map[string]V, at func(V) time.Time) {
	oldest, found := "", false
	for k, v := range m {
		if !found || at(v).Before(at(m[oldest])) {
			oldest, found = k, true
		}
	}
	delete(m, oldest)
}
