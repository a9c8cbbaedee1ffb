// Package tgbalance decides when the experts of a rank group are placed anew: it estimates the demand for experts from
// the counts of the ranks and weighs the time that a new placement saves against its copies.
package tgbalance

import (
	"math"
	"time"

	"tanagergrade/core/tgexpert"
)

const (
	demandMemory = 150 * time.Millisecond // counts lose their weight, to 1/e, in this time
	minTokens    = 2000.0                 // in a set, before its demand is believed
	copyCost     = 0.004                  // skew that a copy has to save to be worth its price
	minGain      = 0.12                   // skew that a change has to save
	copiesOnRank = 2                      // of one change; they delay it, since a rank copies one after the other
	settleTime   = 150 * time.Millisecond // after a change, until the counts show its passes
)

// Demand estimates how often each expert is chosen at present. It is not safe for concurrent use.
type Demand struct {
	loads   tgexpert.Loads
	updated time.Time
}

// NewDemand returns an estimate without observations.
func NewDemand(sets, experts int) *Demand { return &Demand{loads: tgexpert.NewLoads(sets, experts)} }

// Add takes how often experts were chosen, set by set, since the last report of a rank.
func (d *Demand) Add(counts []uint32, now time.Time) {
	if len(counts) != len(d.loads.Tokens) {
		return
	}
	d.fade(now)
	for i, n := range counts {
		d.loads.Tokens[i] += float64(n)
	}
}

func (d *Demand) fade(now time.Time) {
	if !d.updated.IsZero() {
		f := math.Exp(-now.Sub(d.updated).Seconds() / demandMemory.Seconds())
		for i := range d.loads.Tokens {
			d.loads.Tokens[i] *= f
		}
	}
	d.updated = now
}

// Known reports whether there are enough observations to act on.
func (d *Demand) Known() bool {
	for s := range d.loads.Layers {
		total := 0.0
		for _, v := range d.loads.Layer(s) {
			total += v
		}
		if total < minTokens {
			return false
		}
	}
	return true
}

// Loads returns the estimate; it is not to be changed.
func (d *Demand) Loads() tgexpert.Loads { return d.loads }

// Decision is the result of weighing a new placement.
type Decision struct {
	After       float64 // skew
	Before      float64
	Copies      int
	CopiesOnOne int                   // most on one rank
	Next        *tgexpert.Replication // nil to keep the present one
}

// Limits are the limits of the engines.
type Limits struct {
	NewPerSet int
	Places    int
}

// Balancer decides for one group. It is not safe for concurrent use.
type Balancer struct {
	limits  Limits
	settled time.Time
}

// NewBalancer returns a balancer.
func NewBalancer(limits Limits) *Balancer { return &Balancer{limits: limits} }

// Changed notes that a change has ended.
func (b *Balancer) Changed(now time.Time) { b.settled = now.Add(settleTime) }

// Decide weighs a new placement for the demand.
func (b *Balancer) Decide(present *tgexpert.Replication, d *Demand, now time.Time) Decision {
	if now.Before(b.settled) || !d.Known() {
		return Decision{}
	}
	next, before, after := present.Improve(d.Loads(), tgexpert.ReplicationLimits{
		CopyCost: copyCost, NewPerRank: copiesOnRank, NewPerSet: b.limits.NewPerSet, Places: b.limits.Places,
	})
	decision := Decision{After: after, Before: before}
	decision.Copies, decision.CopiesOnOne = next.Copies(present)
	if before-after >= minGain && before-after > copyCost*float64(decision.Copies) {
		decision.Next = next
	}
	return decision
}
