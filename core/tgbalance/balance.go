// Package tgbalance decides when a rank group gets a new placement of its experts: it estimates the demand for experts
// from the counts of the ranks and weighs the time that a new placement saves against the experts that it copies.
package tgbalance

import (
	"math"
	"time"

	"tanagergrade/core/tgexpert"
)

const (
	fastTimeConstant = 120 * time.Millisecond // the fast average, which follows shifts of demand, decays to 1/e in this time
	slowTimeConstant = 900 * time.Millisecond // the same for the slow average, the estimate while demand is steady
	shiftThreshold   = 0.10                   // share of the choices that moved to other experts when demand shifts
	minTokens        = 2000.0                 // decayed count of a set, below which nothing is decided
	minSkewPerCopy   = 0.004                  // skew that a change has to save for each expert that it copies
	minSkewGain      = 0.20                   // skew that a change has to save in all
	maxCopiesPerRank = 2                      // of one change; more delay it, since a rank copies one expert after the other
	changeCooldown   = 150 * time.Millisecond // after a change; earlier, the counts do not reflect passes under it
)

// DemandEstimator estimates how often each expert is chosen at present. While the demand is steady, the estimate is an
// exponential moving average with a long time constant, whose noise is small; when the demand shifts, the average is
// reset to the latest counts. It is not safe for concurrent use.
type DemandEstimator struct {
	fast    tgexpert.Loads // decayed sum of counts, by fastTimeConstant
	slow    tgexpert.Loads // decayed sum of counts, by slowTimeConstant; the estimate
	updated time.Time      // of the last counts; zero before the first
}

// NewDemandEstimator returns an estimator without observations.
func NewDemandEstimator(sets, experts int) *DemandEstimator {
	return &DemandEstimator{fast: tgexpert.NewLoads(sets, experts), slow: tgexpert.NewLoads(sets, experts)}
}

// Add adds a rank's counts since its last report: how often each expert was chosen, set by set. Counts of another length
// are ignored.
func (d *DemandEstimator) Add(counts []uint32, now time.Time) {
	if len(counts) != len(d.fast.Tokens) {
		return
	}
	if !d.updated.IsZero() {
		age := now.Sub(d.updated)
		decay(d.fast, age, fastTimeConstant)
		decay(d.slow, age, slowTimeConstant)
	}
	d.updated = now
	for i, n := range counts {
		d.fast.Tokens[i] += float64(n)
		d.slow.Tokens[i] += float64(n)
	}
}

func decay(l tgexpert.Loads, age, timeConstant time.Duration) {
	f := math.Exp(-age.Seconds() / timeConstant.Seconds())
	for i := range l.Tokens {
		l.Tokens[i] *= f
	}
}

// resetShiftedSets resets the slow average of the sets whose demand has shifted to the fast one.
func (d *DemandEstimator) resetShiftedSets() {
	for s := range d.fast.Layers {
		fast, slow := d.fast.Layer(s), d.slow.Layer(s)
		if tgexpert.TotalVariation(fast, slow) > shiftThreshold {
			copy(slow, fast)
		}
	}
}

// Loads returns the estimate, or false if there are too few observations to act on. The caller must not modify
// it.
func (d *DemandEstimator) Loads() (tgexpert.Loads, bool) {
	d.resetShiftedSets()
	for s := range d.fast.Layers {
		total := 0.0
		for _, v := range d.fast.Layer(s) {
			total += v
		}
		if total < minTokens {
			return d.slow, false
		}
	}
	return d.slow, true
}

// Decision is the result of evaluating a new placement.
type Decision struct {
	Copies           int
	MaxCopiesPerRank int                   // largest number of copies on one rank
	Next             *tgexpert.Replication // nil to keep the present placement
	SkewAfter        float64               // of Next, or of the placement that was not worth its copies
	SkewBefore       float64               // of the present placement
}

// Limits are the limits that the engines set for a placement.
type Limits struct {
	NewPerSet int // experts of a set that one change copies to one rank
	Slots     int // experts of a set on one rank
}

// Balancer decides on the placements of one group. It is not safe for concurrent use.
type Balancer struct {
	limits        Limits
	cooldownUntil time.Time
}

// NewBalancer returns a balancer for engines with the given limits.
func NewBalancer(limits Limits) *Balancer { return &Balancer{limits: limits} }

// ChangeEnded starts the cooldown after a change.
func (b *Balancer) ChangeEnded(now time.Time) { b.cooldownUntil = now.Add(changeCooldown) }

// Decide evaluates a new placement for the demand and the slowdowns of the ranks. The decision is empty during the
// cooldown and while there are too few counts.
func (b *Balancer) Decide(
	present *tgexpert.Replication, d *DemandEstimator, slowdowns tgexpert.Slowdowns, now time.Time,
) Decision {
	loads, known := d.Loads()
	if !known || now.Before(b.cooldownUntil) {
		return Decision{}
	}
	next, before, after := present.Improve(loads, tgexpert.ReplicationLimits{
		CopyCost: minSkewPerCopy, NewPerRank: maxCopiesPerRank, NewPerSet: b.limits.NewPerSet,
		Slots: b.limits.Slots, Slowdowns: slowdowns,
	})
	decision := Decision{SkewAfter: after, SkewBefore: before}
	decision.Copies, decision.MaxCopiesPerRank = next.Copies(present)
	if before-after >= minSkewGain && before-after > minSkewPerCopy*float64(decision.Copies) {
		decision.Next = next
	}
	return decision
}
