package tgexpert

import (
	"cmp"
	"slices"
	"time"
)

// Reason says why a decision was taken.
type Reason string

// Reasons of decisions.
const (
	ReasonAlways   Reason = "always"   // the policy rebalances without regard to cost
	ReasonBalanced Reason = "balanced" // nothing to gain
	ReasonCost     Reason = "cost"     // the saving does not cover the cost
	ReasonMove     Reason = "move"     // moving experts saves more than it costs
	ReasonSplit    Reason = "split"    // another split over the present replicas suffices
)

// Costs says what a change costs and what skew costs.
type Costs struct {
	BytesPerExpert float64       // of one layer
	CachePerMove   time.Duration // work lost because a rank's caches make room for the weights
	Horizon        int           // steps over which a saving counts
	Pause          time.Duration // steps lost by one change
	StoreRate      float64       // bytes/s of the weight store for this group
	TokenTime      time.Duration // one token takes this long on its expert, in one layer
}

// moveTime returns the cost of one expert moved.
func (c Costs) moveTime() time.Duration {
	load := time.Duration(c.BytesPerExpert / c.StoreRate * float64(time.Second))
	return load + c.CachePerMove
}

// Decision is the result of a policy for one moment.
type Decision struct {
	Cost      time.Duration `json:"cost"`
	Moves     int           `json:"moves"`
	Placement *Placement    `json:"-"` // nil to keep the present one
	Reason    Reason        `json:"reason"`
	Saving    time.Duration `json:"saving"` // over the horizon
	SkewAfter float64       `json:"skewAfter"`
	SkewNow   float64       `json:"skewNow"`
}

// Policy decides whether a group gets a new placement.
type Policy interface {
	Decide(present *Placement, loads *Estimator) Decision
}

// Balancer moves experts only when the step time saved over the horizon exceeds the cost of moving, and otherwise
// only changes the split over replicas, which loads nothing.
//
// A decision tries a bounded number of changes, in the layers with most skew first; the other layers wait for the next
// decision. A layer in which the search found nothing waits longer unless its skew grows.
type Balancer struct {
	backoffs map[int]backoff // by layer
	costs    Costs
}

type backoff struct {
	remaining int
	skew      float64 // when the search found nothing
}

const (
	maxDecisionTries  = 140   // changes tried in one decision; bounds its time
	repackSkew        = 1.25  // a layer above it is placed anew, since single changes would take many decisions
	triesPerRepack    = 4     // a new placement of a layer takes the time of so many tries
	backoffDecisions  = 12    // decisions for which a layer without a gainful change waits
	backoffSkewGrowth = 0.004 // growth of its skew that ends the wait
)

// NewBalancer returns a balancer; it serves one group.
func NewBalancer(costs Costs) *Balancer { return &Balancer{backoffs: map[int]backoff{}, costs: costs} }

// Decide implements Policy.
func (b *Balancer) Decide(present *Placement, loads *Estimator) Decision {
	current, lasting := loads.Current(), loads.Smoothed()
	resplit := present.Clone()
	resplit.Split(current)
	now, split := present.Skew(current), resplit.Skew(current)

	moved := resplit.Clone()
	perStep := float64(b.costs.TokenTime) * float64(b.costs.Horizon)
	moves := b.improve(moved, loads, float64(b.costs.moveTime())/perStep)
	lastingSaving := b.saving(lasting, resplitSkew(present, lasting), moved.Skew(lasting))
	cost := time.Duration(moves) * b.costs.moveTime()
	if moves > 0 && lastingSaving > cost+b.costs.Pause {
		moved.Split(current)
		return Decision{
			Cost: cost + b.costs.Pause, Moves: moves, Placement: moved, Reason: ReasonMove, Saving: lastingSaving,
			SkewAfter: moved.Skew(current), SkewNow: now,
		}
	}
	saving := b.saving(current, now, split)
	d := Decision{Cost: b.costs.Pause, Reason: ReasonBalanced, Saving: saving, SkewAfter: now, SkewNow: now}
	switch {
	case saving > b.costs.Pause:
		d.Placement, d.Reason, d.SkewAfter = resplit, ReasonSplit, split
	case moves > 0 || saving > 0:
		d.Reason = ReasonCost
	}
	return d
}

// saving returns the time saved over the horizon when the skew falls.
func (b *Balancer) saving(loads Loads, before, after float64) time.Duration {
	return time.Duration((before - after) * sum(loads.Tokens) * float64(b.costs.TokenTime) * float64(b.costs.Horizon))
}

func resplitSkew(p *Placement, loads Loads) float64 {
	c := p.Clone()
	c.Split(loads)
	return c.Skew(loads)
}

// improve moves experts of the layers with most skew, each for at least gain tokens less on the slowest rank.
func (b *Balancer) improve(p *Placement, estimator *Estimator, gain float64) int {
	loads := estimator.Smoothed()
	skews, order := make([]float64, p.Layers), make([]int, 0, p.Layers)
	for layer := range p.Layers {
		tokens := loads.Layer(layer)
		skews[layer] = p.slowest(layer, tokens) * float64(p.Ranks) / max(sum(tokens), 1)
		if other := estimator.AlternatePattern(layer); other != nil {
			second := p.slowest(layer, other) * float64(p.Ranks) / max(sum(other), 1)
			skews[layer] = max(skews[layer], second)
		}
		r := b.backoffs[layer]
		if r.remaining > 0 && skews[layer] < r.skew+backoffSkewGrowth {
			r.remaining--
			b.backoffs[layer] = r
			continue
		}
		order = append(order, layer)
	}
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(skews[j], skews[i]) })
	s, second := newSolver(p, loads.Experts), newSolver(p, loads.Experts)
	moves, tries := 0, 0
	for _, layer := range order {
		if tries >= maxDecisionTries {
			break
		}
		limit := min(maxLayerTries, maxDecisionTries-tries)
		m, tried := 0, triesPerRepack
		if other := estimator.AlternatePattern(layer); other != nil {
			s.reset(p, layer, loads.Layer(layer))
			second.reset(p, layer, other)
			second.detach()
			m, tried = s.improvePair(second, gain, limit/2)
			tried *= 2
		} else if skews[layer] > repackSkew {
			m = p.repack(layer, loads.Layer(layer), gain)
		}
		if m == 0 && estimator.AlternatePattern(layer) == nil {
			s.reset(p, layer, loads.Layer(layer))
			m, tried = s.improve(gain, limit)
		}
		if m == 0 {
			b.backoffs[layer] = backoff{remaining: backoffDecisions, skew: skews[layer]}
		}
		moves, tries = moves+m, tries+tried
	}
	return moves
}

// improve moves experts in all layers, each for at least gain tokens less on the slowest rank.
func (p *Placement) improve(loads Loads, gain float64) int {
	s := newSolver(p, loads.Experts)
	moves := 0
	for layer := range p.Layers {
		s.reset(p, layer, loads.Layer(layer))
		m, _ := s.improve(gain, maxLayerTries)
		moves += m
	}
	return moves
}
