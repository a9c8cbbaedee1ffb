// Package tgexpert estimates the load of experts, places them on ranks and decides when a new placement is worth it.
package tgexpert

// Loads holds the number of tokens that each expert of each layer receives in a step.
type Loads struct {
	Experts int       `json:"experts"`
	Layers  int       `json:"layers"`
	Tokens  []float64 `json:"tokens"` // layer by layer
}

// NewLoads returns loads of zero.
func NewLoads(layers, experts int) Loads {
	return Loads{Experts: experts, Layers: layers, Tokens: make([]float64, layers*experts)}
}

// Layer returns the loads of the experts of one layer; they share memory with l.
func (l Loads) Layer(layer int) []float64 { return l.Tokens[layer*l.Experts : (layer+1)*l.Experts] }

// MinSkew returns a lower bound of the skew for ranks with the given slots. In each layer, the slowest rank has at least
// the mean load of the ranks, and at least the load of the hottest expert divided by the number of replicas for
// which there are spare slots.
func (l Loads) MinSkew(ranks, slots int) float64 {
	replicas := float64(max(1, min(ranks, 1+ranks*slots-l.Experts)))
	bound, mean := 0.0, 0.0
	for layer := range l.Layers {
		sum, largest := 0.0, 0.0
		for _, v := range l.Layer(layer) {
			sum += v
			largest = max(largest, v)
		}
		bound += max(sum/float64(ranks), largest/replicas)
		mean += sum / float64(ranks)
	}
	if mean == 0 {
		return 1
	}
	return bound / mean
}
