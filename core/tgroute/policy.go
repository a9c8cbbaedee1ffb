package tgroute

import "math/rand/v2"

// View is what a policy sees of a candidate.
type View struct {
	CacheGain float64 // part of the request's work that a cached prefix saves here, weighted by the confidence in it
	InFlight  int     // attempts of this process
	Limit     float64 // attempts that the upstream bears, at least 1
	Load      float64 // attempts expected there, running and waiting
	Local     bool    // in the data centre of this process
}

// Policy picks one of the candidates.
type Policy interface {
	// Pick returns an index of views, which is never empty.
	Pick(views []View, r *rand.Rand) int
}

// RoundRobin is the baseline that ignores load.
type RoundRobin struct {
	next int
}

// Pick implements Policy.
func (p *RoundRobin) Pick(views []View, _ *rand.Rand) int {
	p.next++
	return p.next % len(views)
}

// LeastConnections is the baseline that knows only the attempts of this process.
type LeastConnections struct{}

// Pick implements Policy.
func (LeastConnections) Pick(views []View, r *rand.Rand) int {
	start := r.IntN(len(views)) // spreads ties
	best := start
	for i := range views {
		if j := (start + i) % len(views); views[j].InFlight < views[best].InFlight {
			best = j
		}
	}
	return best
}

// PowerOfChoices compares a few candidates, sampled by what they bear, and takes the least utilised one. Comparing all of a
// large subset would send every entry to the upstream whose hint is the lowest.
type PowerOfChoices struct{}

const (
	cacheGainWeight  = 4.0  // attempts of skew that are worth a wholly cached prompt
	sampleSize       = 4    // two gave the others 1.03 times the healthy p99 first token beside a silent engine, four 1.00
	remotePenalty    = 0.1  // utilisation by which a remote upstream must be better
	spillUtilisation = 0.85 // local utilisation from which remote upstreams are considered
)

// Pick implements Policy.
func (PowerOfChoices) Pick(views []View, r *rand.Rand) int {
	best := pickBest(views, r, func(v View) bool { return v.Local })
	if best < 0 || score(views[best]) > spillUtilisation {
		remote := pickBest(views, r, func(v View) bool { return !v.Local })
		if best < 0 || remote >= 0 && score(views[remote])+remotePenalty < score(views[best]) {
			best = remote
		}
	}
	full := views[best].Load+1 > views[best].Limit
	for i, v := range views {
		if (full || v.CacheGain > 0) && score(v) < score(views[best]) {
			best = i
		}
	}
	return best
}

// score is the utilisation, with the request if there is no room for it: counting it always would starve an upstream
// with a low limit at low load, and it would not warm up. A cached prefix lowers the score, so affinity holds only
// while its gain exceeds the skew that it adds.
func score(v View) float64 {
	load := v.Load - cacheGainWeight*v.CacheGain
	if v.Load+1 > v.Limit {
		load++
	}
	return load / v.Limit
}

// sample returns the best of some members, each taken with a probability in proportion to its limit; -1 if there is
// none.
func pickBest(views []View, r *rand.Rand, member func(View) bool) int {
	total := 0.0
	for _, v := range views {
		if member(v) {
			total += v.Limit
		}
	}
	if total == 0 {
		return -1
	}
	best := drawWeighted(views, r.Float64()*total, member)
	for range sampleSize - 1 {
		if i := drawWeighted(views, r.Float64()*total, member); score(views[i]) < score(views[best]) {
			best = i
		}
	}
	return best
}

func drawWeighted(views []View, at float64, member func(View) bool) int {
	last := -1
	for i, v := range views {
		if !member(v) {
			continue
		}
		last = i
		if at -= v.Limit; at < 0 {
			break
		}
	}
	return last
}
