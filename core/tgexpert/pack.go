package tgexpert

import "slices"

// Pack computes a placement from scratch: it gives spare slots to the experts with the largest load per replica and then
// assigns the replicas, largest first, to the least loaded rank with a free slot.
func Pack(loads Loads, ranks, slots int) *Placement {
	p := NewPlacement(loads.Layers, loads.Experts, ranks, slots)
	for i := range p.Experts {
		p.Experts[i], p.Weights[i] = EmptySlot, 0
	}
	for layer := range loads.Layers {
		packLayer(p, layer, loads.Layer(layer))
	}
	p.Split(loads)
	return p
}

// repack places one layer from scratch if that takes at least gain tokens off its most loaded rank for each expert moved,
// and returns the number of experts moved.
func (p *Placement) repack(layer int, tokens []float64, gain float64) int {
	one := &Placement{
		Experts: make([]int, p.Ranks*p.Slots), Layers: 1, Ranks: p.Ranks, Slots: p.Slots,
		Weights: make([]float64, p.Ranks*p.Slots),
	}
	for i := range one.Experts {
		one.Experts[i] = EmptySlot
	}
	packLayer(one, 0, tokens)
	s := newSolver(one, len(tokens))
	s.reset(one, 0, tokens)
	s.split(splitRounds)
	experts, weights := p.layer(layer)
	moves := one.Moves(&Placement{Experts: experts})
	if p.slowest(layer, tokens)-one.slowest(0, tokens) < gain*float64(moves) {
		return 0
	}
	copy(experts, one.Experts)
	copy(weights, one.Weights)
	return moves
}

type replicaShare struct {
	expert int
	tokens float64
}

func packLayer(p *Placement, layer int, tokens []float64) {
	counts := chooseReplicaCounts(tokens, p.Ranks, p.Ranks*p.Slots)
	var shares []replicaShare
	for e, n := range counts {
		for range n {
			shares = append(shares, replicaShare{expert: e, tokens: tokens[e] / float64(n)})
		}
	}
	slices.SortStableFunc(shares, func(a, b replicaShare) int {
		switch {
		case a.tokens > b.tokens:
			return -1
		case a.tokens < b.tokens:
			return 1
		default:
			return a.expert - b.expert
		}
	})
	experts, weights := p.layer(layer)
	load, used := make([]float64, p.Ranks), make([]int, p.Ranks)
	for _, s := range shares {
		best := -1
		for r := range p.Ranks {
			held := slices.Contains(experts[r*p.Slots:r*p.Slots+used[r]], s.expert)
			if used[r] < p.Slots && !held && (best < 0 || load[r] < load[best]) {
				best = r
			}
		}
		if best < 0 {
			counts[s.expert]-- // all free slots are on ranks that hold the expert already
			continue
		}
		experts[best*p.Slots+used[best]] = s.expert
		load[best] += s.tokens
		used[best]++
	}
	for i, e := range experts {
		if e != EmptySlot {
			weights[i] = 1 / float64(counts[e])
		}
	}
}

// chooseReplicaCounts returns the number of replicas of each expert: one, and the spare slots in turn to the expert with
// the largest load per replica.
func chooseReplicaCounts(tokens []float64, ranks, slots int) []int {
	counts := make([]int, len(tokens))
	for e := range counts {
		counts[e] = 1
	}
	for range slots - len(tokens) {
		best := -1
		for e, t := range tokens {
			if counts[e] < ranks && (best < 0 || t/float64(counts[e]) > tokens[best]/float64(counts[best])) {
				best = e
			}
		}
		if best < 0 {
			break
		}
		counts[best]++
	}
	return counts
}
