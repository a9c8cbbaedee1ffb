// Package tgbalance decides when the experts of a rank group are placed anew: it estimates the demand for experts from
// the counts of the ranks and weighs the time that a new placement saves against its copies.
package tgbalance

import (
	"math"
	"time"

	"tanagergrade/core/tgexpert"
)

const (
	fastTimeConstant = 120 * time.Millisecond // counts lose their weight, to 1/e, in this time
	slowTimeConstant = 900 * time.Millisecond // the same while the demand does not change
	shiftThreshold   = 0.10                   // share of the choices that moved to other experts when demand has changed
	minTokens        = 2000.0                 // in a set, before its demand is believed
	minSkewPerCopy   = 0.004                  // skew that a copy has to save to be worth its price
	minSkewGain      = 0.20                   // skew that a change has to save
	maxCopiesPerRank = 2                      // of one change; they delay it, since a rank copies one after the other
	changeCooldown   = 150 * time.Millisecond // after a change, until the counts show its passes
)

// DemandEstimator estimates how often each expert is chosen at present. While the demand is steady the estimate is a long
// average, whose noise is small; when it changes, the estimate starts anew from the latest counts. It is not safe for
// concurrent use.
type DemandEstimator struct {
	fast    tgexpert.Loads
	slow    tgexpert.Loads
	updated time.Time
}

// NewDemandEstimator returns an estimate without observations.
func NewDemandEstimator(sets, experts int) *DemandEstimator {
	return &DemandEstimator{fast: tgexpert.NewLoads(sets, experts), slow: tgexpert.NewLoads(sets, experts)}
}

// Add takes how often experts were chosen, set by set, since the last report of a rank.
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

// resetShiftedSets drops the long average of the sets whose demand has changed.
func (d *DemandEstimator) resetShiftedSets() {
	for s := range d.fast.Layers {
		fast, slow := d.fast.Layer(s), d.slow.Layer(s)
		if tgexpert.TotalVariation(fast, slow) > shiftThreshold {
			copy(slow, fast)
		}
	}
}

// Loads returns the estimate, or false if there are too few observations to act on. The estimate is not to be changed.
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

// Decision is the result of weighing a new placement.
type Decision struct {
	Copies           int
	MaxCopiesPerRank int                   // most on one rank
	Next             *tgexpert.Replication // nil to keep the present one
	SkewAfter        float64
	SkewBefore       float64
}

// Limits are the limits of the engines.
type Limits struct {
	NewPerSet int
	Slots     int
}

// Balancer decides for one group. It is not safe for concurrent use.
type Balancer struct {
	limits        Limits
	cooldownUntil time.Time
}

// NewBalancer returns a balancer.
func NewBalancer(limits Limits) *Balancer { return &Balancer{limits: limits} }

// ChangeEnded notes that a change has ended.
func (b *Balancer) ChangeEnded(now time.Time) { b.cooldownUntil = now.Add(changeCooldown) }

// Decide weighs a new placement for the demand and the paces of the ranks.
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
