package tgexpert

import "slices"

// EmptySlot marks a slot without an expert.
const EmptySlot = -1

// Placement assigns an expert to each slot, and to each replica its share of the expert's tokens.
type Placement struct {
	Experts []int     `json:"experts"` // by layer, rank and slot; no rank holds an expert twice in a layer
	Layers  int       `json:"layers"`
	Ranks   int       `json:"ranks"`
	Slots   int       `json:"slots"`   // of each rank in each layer
	Weights []float64 `json:"weights"` // indexed like Experts; the weights of an expert's replicas add up to 1
}

// NewPlacement assigns the experts of each layer to the ranks round robin and leaves the other slots empty.
func NewPlacement(layers, experts, ranks, slots int) *Placement {
	n := layers * ranks * slots
	p := &Placement{Experts: make([]int, n), Layers: layers, Ranks: ranks, Slots: slots, Weights: make([]float64, n)}
	for i := range p.Experts {
		p.Experts[i] = EmptySlot
	}
	for layer := range layers {
		for e := range experts {
			i := p.index(layer, e%ranks, e/ranks)
			p.Experts[i], p.Weights[i] = e, 1
		}
	}
	return p
}

// Clone returns a copy.
func (p *Placement) Clone() *Placement {
	c := *p
	c.Experts, c.Weights = slices.Clone(p.Experts), slices.Clone(p.Weights)
	return &c
}

func (p *Placement) index(layer, rank, slot int) int { return (layer*p.Ranks+rank)*p.Slots + slot }

// layer returns the slots and weights of one layer; they share memory with p.
func (p *Placement) layer(layer int) (experts []int, weights []float64) {
	from, to := p.index(layer, 0, 0), p.index(layer+1, 0, 0)
	return p.Experts[from:to], p.Weights[from:to]
}

// Moves returns the number of experts that ranks of p hold and the same ranks of old do not; each has to be loaded from
// the weight store.
func (p *Placement) Moves(old *Placement) int {
	moves := 0
	for base := 0; base < len(p.Experts); base += p.Slots {
		held := old.Experts[base : base+p.Slots]
		for _, e := range p.Experts[base : base+p.Slots] {
			if e != EmptySlot && !slices.Contains(held, e) {
				moves++
			}
		}
	}
	return moves
}

// Skew returns the step time under loads divided by that of evenly loaded ranks. Ranks wait for each other in every layer,
// so a step takes the sum of the largest rank loads of the layers.
func (p *Placement) Skew(loads Loads) float64 {
	slowest, mean := 0.0, 0.0
	for layer := range p.Layers {
		tokens := loads.Layer(layer)
		slowest += p.slowest(layer, tokens)
		mean += sum(tokens) / float64(p.Ranks)
	}
	if mean == 0 {
		return 1
	}
	return slowest / mean
}

// slowest returns the largest rank load of a layer.
func (p *Placement) slowest(layer int, tokens []float64) float64 {
	experts, weights := p.layer(layer)
	slowest := 0.0
	for base := 0; base < len(experts); base += p.Slots {
		load := 0.0
		for i := base; i < base+p.Slots; i++ {
			if e := experts[i]; e != EmptySlot {
				load += weights[i] * tokens[e]
			}
		}
		slowest = max(slowest, load)
	}
	return slowest
}

// Valid reports whether every expert has a replica, no rank holds an expert twice in a layer and the weights of each
// expert add up to 1.
func (p *Placement) Valid(experts int) bool {
	for layer := range p.Layers {
		slots, weights := p.layer(layer)
		total := make([]float64, experts)
		for i, e := range slots {
			base := i / p.Slots * p.Slots
			if e >= experts || e != EmptySlot && slices.Contains(slots[base:i], e) {
				return false
			}
			if e != EmptySlot {
				total[e] += weights[i]
			}
		}
		for _, w := range total {
			if w < 1-1e-6 || w > 1+1e-6 {
				return false
			}
		}
	}
	return true
}
