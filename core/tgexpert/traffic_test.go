package tgexpert

import (
	"math"
	"math/rand/v2"
)

// traffic generates the expected loads of a synthetic workload. The popularity of the experts of each layer is log-normal,
// since routers of published models show hot experts with several times the mean load.
type traffic struct {
	a, b   Loads // two patterns
	kind   string
	rng    *rand.Rand
	now    Loads
	window int
}

const popularityStdDev = 0.8 // standard deviation of the logarithm of popularity

func newTraffic(kind string, layers, experts int, tokens float64, seed uint64) *traffic {
	t := &traffic{kind: kind, rng: rand.New(rand.NewPCG(seed, 1))}
	t.a, t.b, t.now = t.pattern(layers, experts, tokens), t.pattern(layers, experts, tokens), NewLoads(layers, experts)
	return t
}

func (t *traffic) pattern(layers, experts int, tokens float64) Loads {
	l := NewLoads(layers, experts)
	for layer := range layers {
		w := l.Layer(layer)
		for e := range w {
			w[e] = math.Exp(popularityStdDev * t.rng.NormFloat64())
		}
		scale(w, tokens)
	}
	return l
}

func scale(w []float64, total float64) {
	f := total / sum(w)
	for i := range w {
		w[i] *= f
	}
}

// next returns the expected loads of the next window of steps.
func (t *traffic) next(windows int) Loads {
	mix := 0.0
	switch t.kind {
	case "drift": // half of the way from a to b over the whole run
		mix = 0.5 * float64(t.window) / float64(windows)
	case "swap": // all experts change at once in the middle of the run
		if t.window >= windows/2 {
			mix = 1
		}
	case "day": // from a to b and back once
		mix = 0.5 - 0.5*math.Cos(2*math.Pi*float64(t.window)/float64(windows))
	case "flap": // a and b alternate every 5 windows
		mix = float64(t.window / 5 % 2)
	}
	t.window++
	for i := range t.now.Tokens {
		t.now.Tokens[i] = math.Exp((1-mix)*math.Log(t.a.Tokens[i]) + mix*math.Log(t.b.Tokens[i]))
	}
	for layer := range t.now.Layers {
		scale(t.now.Layer(layer), sum(t.a.Layer(layer)))
	}
	return t.now
}

// draw fills l with the mean loads of a number of steps: Poisson counts around the expected ones, by their normal
// approximation.
func (t *traffic) draw(expected, l Loads, steps float64) {
	for i, v := range expected.Tokens {
		l.Tokens[i] = max(0, v+math.Sqrt(v/steps)*t.rng.NormFloat64())
	}
}
