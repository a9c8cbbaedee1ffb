package tgexpert

import (
	"cmp"
	"slices"
	"time"
)

// Reason is the reason for a decision.
type Reason string

// Reasons of decisions.
const (
	ReasonAlways   Reason = "always"   // the policy rebalances without regard to cost
	ReasonBalanced Reason = "balanced" // no gainful change was found
	ReasonCost     Reason = "cost"     // the saving does not cover the cost
	ReasonMove     Reason = "move"     // moving experts saves more than it costs
	ReasonSplit    Reason = "split"    // another split over the present replicas suffices
)

// Costs has the costs of a change and of skew.
type Costs struct {
	BytesPerExpert float64       // of an expert of one layer
	CachePerMove   time.Duration // work lost per moved expert, because a rank's caches make room for its weights
	Horizon        int           // steps over which a saving is counted
	Pause          time.Duration // time of the steps lost to one change
	StoreRate      float64       // bytes/s of the weight store for this group
	TokenTime      time.Duration // time that one token takes on one expert of one layer
}

// moveTime returns the cost of moving one expert.
func (c Costs) moveTime() time.Duration {
	load := time.Duration(c.BytesPerExpert / c.StoreRate * float64(time.Second))
	return load + c.CachePerMove
}

// Decision is the result of one evaluation of a policy.
type Decision struct {
	Cost      time.Duration `json:"cost"`
	Moves     int           `json:"moves"`
	Placement *Placement    `json:"-"` // nil to keep the present placement
	Reason    Reason        `json:"reason"`
	Saving    time.Duration `json:"saving"` // over the horizon
	SkewAfter float64       `json:"skewAfter"`
	SkewNow   float64       `json:"skewNow"`
}

// Policy decides whether a group gets a new placement.
type Policy interface {
	Decide(present *Placement, loads *Estimator) Decision
}

// Balancer moves experts only when the step time saved over the horizon exceeds the cost of moving, and otherwise only
// changes the split of tokens over replicas, which loads no weights.
//
// A decision tries a bounded number of changes, in the layers with the most skew first; the other layers wait for the
// next decision. A layer in which the search found no gain is skipped for some decisions unless its skew grows.
type Balancer struct {
	backoffs map[int]backoff // by layer
	costs    Costs
}

// backoff is the state of a layer whose search found no gain.
type backoff struct {
	remaining int     // decisions in which the layer is still skipped
	skew      float64 // when the search found no gain
}

const (
	maxDecisionTries  = 140   // changes tried in one decision; limits its time
	repackSkew        = 1.25  // a layer above it is placed from scratch, since single changes would take many decisions
	triesPerRepack    = 4     // counted for a placement of a layer from scratch, which takes as long as that many tries
	backoffDecisions  = 12    // decisions for which a layer is skipped after a search without a gain
	backoffSkewGrowth = 0.004 // growth of the layer's skew that ends the backoff
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

// saving returns the time saved over the horizon when the skew falls from before to after.
func (b *Balancer) saving(loads Loads, before, after float64) time.Duration {
	return time.Duration((before - after) * sum(loads.Tokens) * float64(b.costs.TokenTime) * float64(b.costs.Horizon))
}

func resplitSkew(p *Placement, loads Loads) float64 {
	c := p.Clone()
	c.Split(loads)
	return c.Skew(loads)
}

// improve moves experts of the layers with the most skew and returns their number; each move has to take at least gain
// tokens off the most loaded rank.
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

// improve moves experts in all layers and returns their number; each move has to take at least gain tokens off the most
// loaded rank.
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
