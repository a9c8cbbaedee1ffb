package tgexpert

import (
	"math"
	"slices"
)

const (
	splitRounds   = 6 // further rounds change the skew by less than 0.001
	resplitRounds = 2 // enough after a single expert has moved

	splitTolerance = 0.0005 // of the mean load; a round that changes each load by less is the last
)

// solver optimises the placement of one layer; its memory is reused for the next layer.
type solver struct {
	bestExperts []int
	bestWeights []float64
	experts     []int     // by rank and slot, shared with the placement
	load        []float64 // by rank
	order       []int     // scratch memory for ranks or slots sorted by load
	ranks       []int     // of each slot
	replicas    [][]int   // slots of each expert
	slots       int
	tokens      []float64 // by expert
	weights     []float64 // shared with the placement
}

func newSolver(p *Placement, experts int) *solver {
	s := &solver{
		load: make([]float64, p.Ranks), order: make([]int, p.Ranks), ranks: make([]int, p.Ranks*p.Slots),
		replicas: make([][]int, experts), slots: p.Slots,
	}
	for i := range s.ranks {
		s.ranks[i] = i / p.Slots
	}
	return s
}

func (s *solver) reset(p *Placement, layer int, tokens []float64) {
	s.experts, s.weights = p.layer(layer)
	s.tokens = tokens
	for e := range s.replicas {
		s.replicas[e] = s.replicas[e][:0]
	}
	for i, e := range s.experts {
		if e != EmptySlot {
			s.replicas[e] = append(s.replicas[e], i)
		}
	}
}

// detach makes the solver work on copies, so that its changes do not affect the placement.
func (s *solver) detach() {
	s.experts, s.weights = slices.Clone(s.experts), slices.Clone(s.weights)
}

func (s *solver) rank(slot int) int { return s.ranks[slot] }

// split divides the load of replicated experts so that the ranks are loaded as evenly as the replicas allow: in a few
// rounds, the load of each expert in turn is distributed to the least loaded of its ranks.
func (s *solver) split(rounds int) {
	clear(s.load)
	for i, e := range s.experts {
		if e != EmptySlot {
			s.load[s.rank(i)] += s.weights[i] * s.tokens[e]
		}
	}
	tolerance := splitTolerance * sum(s.load) / float64(len(s.load))
	for range rounds {
		moved := 0.0
		for e, slots := range s.replicas {
			if len(slots) > 1 && s.tokens[e] > 0 {
				moved = max(moved, s.waterFill(slots, s.tokens[e]))
			}
		}
		if moved < tolerance {
			break
		}
	}
}

// waterFill distributes an expert's load again, raising the least loaded of its ranks to an equal level. It returns the
// largest change of a rank's load.
func (s *solver) waterFill(slots []int, tokens float64) float64 {
	order := s.order[:0]
	for _, slot := range slots {
		r := s.rank(slot)
		s.load[r] -= s.weights[slot] * tokens
		order = append(order, slot)
		for i := len(order) - 1; i > 0 && s.load[s.rank(order[i])] < s.load[s.rank(order[i-1])]; i-- {
			order[i], order[i-1] = order[i-1], order[i]
		}
	}
	level, below := 0.0, 0.0
	for n, slot := range order {
		below += s.load[s.rank(slot)]
		level = (below + tokens) / float64(n+1)
		if n+1 == len(order) || level <= s.load[s.rank(order[n+1])] {
			break
		}
	}
	moved := 0.0
	for _, slot := range order {
		r := s.rank(slot)
		share := max(0, level-s.load[r])
		moved = max(moved, math.Abs(share-s.weights[slot]*tokens))
		s.weights[slot] = share / tokens
		s.load[r] += share
	}
	return moved
}

func (s *solver) holds(rank, expert int) bool {
	return slices.Contains(s.experts[rank*s.slots:(rank+1)*s.slots], expert)
}

// Split divides the tokens of replicated experts over their replicas for the given loads.
func (p *Placement) Split(loads Loads) {
	s := newSolver(p, loads.Experts)
	for layer := range p.Layers {
		s.reset(p, layer, loads.Layer(layer))
		s.split(splitRounds)
	}
}

// SplitEvenly gives each replica of an expert the same weight.
func (p *Placement) SplitEvenly(experts int) {
	s := newSolver(p, experts)
	for layer := range p.Layers {
		s.reset(p, layer, nil)
		for _, slots := range s.replicas {
			for _, slot := range slots {
				s.weights[slot] = 1 / float64(len(slots))
			}
		}
	}
}
