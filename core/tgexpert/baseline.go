package tgexpert

// AlwaysRepack computes a new placement from scratch at every decision; a baseline.
type AlwaysRepack struct{}

// Decide implements Policy.
func (AlwaysRepack) Decide(present *Placement, loads *Estimator) Decision {
	current := loads.Current()
	p := Pack(current, present.Ranks, present.Slots)
	return Decision{
		Moves: p.Moves(present), Placement: p, Reason: ReasonAlways,
		SkewAfter: p.Skew(current), SkewNow: present.Skew(current),
	}
}

// Greedy moves experts for any gain, however small; a baseline without hysteresis.
type Greedy struct{}

// Decide implements Policy.
func (Greedy) Decide(present *Placement, loads *Estimator) Decision {
	current := loads.Current()
	p := present.Clone()
	moves := p.improve(current, 0)
	return Decision{
		Moves: moves, Placement: p, Reason: ReasonAlways, SkewAfter: p.Skew(current), SkewNow: present.Skew(current),
	}
}

// Static keeps the placement that it is given; a baseline. With NewPlacement, that is round robin over the ranks.
type Static struct{}

// Decide implements Policy.
func (Static) Decide(present *Placement, loads *Estimator) Decision {
	skew := present.Skew(loads.Current())
	return Decision{Reason: ReasonBalanced, SkewAfter: skew, SkewNow: skew}
}
