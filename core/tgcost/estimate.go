package tgcost

import (
	"math"
	"time"
)

// Estimate is what a request is expected to cost. The lengths are a distribution, because answers to requests that look
// alike differ by tens of times.
type Estimate struct {
	Age     time.Duration // since the newest answer that the estimate is based on; 0 without one
	Basis   Basis
	Median  float64 // tokens of the answer
	P90     float64 // tokens that nine of ten answers do not exceed
	Prompt  float64 // tokens of the prompt
	Samples float64 // answers that the estimate is based on, faded ones in part

	dist  *Histogram // nil if there is none
	limit float64    // most tokens of the answer
	scale float64    // of the values of dist
}

// Basis is what an estimate of an answer's length is based on.
type Basis string

// Bases of estimates, from the weakest to the strongest.
const (
	BasisNone  Basis = "none"  // nothing is known; the length is a default
	BasisPrior Basis = "prior" // the mean that the operator's configuration states
	BasisRoute Basis = "route" // answers on the route
	BasisHint  Basis = "hint"  // the caller's hint and how far such hints were off
)

// Remaining returns the expected number of tokens that are still to come after produced ones. A stream that has outlived
// all answers seen so far is expected to end soon.
func (e *Estimate) Remaining(produced float64) float64 {
	if e.dist != nil {
		if mean, ok := e.dist.meanBeyond(produced, e.scale, e.limit); ok {
			return mean - produced
		}
		return 1
	}
	return max(1, e.Median-produced)
}

// Mean returns the expected number of tokens of the whole answer, at least 1.
func (e *Estimate) Mean() float64 { return max(1, e.Remaining(0)) }

// Memory returns the tokens that the request takes in an upstream's memory at its end, in nine of ten cases.
func (e *Estimate) Memory() float64 { return e.Prompt + e.P90 }

// estimateOf returns the estimate by a histogram whose values are multiplied by scale.
func estimateOf(h *Histogram, basis Basis, scale, limit float64) Estimate {
	return Estimate{
		Basis: basis, Median: min(max(1, h.quantile(0.5)*scale), limit), P90: min(max(1, h.quantile(0.9)*scale), limit),
		Samples: h.Total, dist: h, limit: limit, scale: scale,
	}
}

// knownLimit returns the bound of a length, which is infinite if a request declares none.
func knownLimit(most float64) float64 {
	if most <= 0 {
		return math.Inf(1)
	}
	return most
}
