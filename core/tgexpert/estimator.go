package tgexpert

import "math"

const (
	fastWeight     = 0.8  // of the newest window in the short average
	trendWeight    = 0.3  // of the newest change of the average
	swapDistance   = 0.08 // share of tokens that changed experts; noise of a window stays under 0.01
	flapWindows    = 40   // swaps that follow each other faster are alternating patterns
	initialPersist = 1e6  // windows; before the first swap a pattern is taken to persist
)

// Estimator averages the loads of windows of steps. A layer whose loads swap suddenly starts anew from the windows
// after the swap once two of them agree, so one odd window does not move the average.
type Estimator struct {
	age     []int // windows since the last swap, by layer
	fast    Loads
	last    Loads
	other   Loads     // pattern before the last swap
	trend   Loads     // change of the loads from window to window
	persist []float64 // windows that a pattern lasts on average, by layer
	windows int
}

// NewEstimator returns an estimator without observations.
func NewEstimator(layers, experts int) *Estimator {
	e := &Estimator{
		age: make([]int, layers), fast: NewLoads(layers, experts), last: NewLoads(layers, experts),
		other: NewLoads(layers, experts), persist: make([]float64, layers), trend: NewLoads(layers, experts),
	}
	for i := range e.persist {
		e.persist[i] = initialPersist
	}
	return e
}

// Observe takes the mean loads per step of one window.
func (e *Estimator) Observe(window Loads) {
	for layer := range window.Layers {
		e.observe(layer, window.Layer(layer))
	}
	copy(e.last.Tokens, window.Tokens)
	e.windows++
}

func (e *Estimator) observe(layer int, w []float64) {
	fast, last := e.fast.Layer(layer), e.last.Layer(layer)
	if e.windows == 0 {
		copy(fast, w)
		return
	}
	e.age[layer]++
	// A window that agrees with the one before but not with the average follows a swap.
	if TotalVariation(w, fast) > swapDistance && TotalVariation(last, fast) > swapDistance &&
		TotalVariation(w, last) < swapDistance {
		if age := float64(e.age[layer]); e.persist[layer] == initialPersist {
			e.persist[layer] = max(age, flapWindows) // one swap is no pattern
		} else {
			e.persist[layer] += (age - e.persist[layer]) / 2
		}
		e.age[layer] = 0
		copy(e.other.Layer(layer), fast)
		for i := range fast {
			fast[i] = (w[i] + last[i]) / 2
		}
		clear(e.trend.Layer(layer))
		return
	}
	odd := TotalVariation(w, fast) > swapDistance && TotalVariation(last, fast) < swapDistance
	if odd {
		return
	}
	trend := e.trend.Layer(layer)
	steady := TotalVariation(w, last) < swapDistance
	for i := range fast {
		before := fast[i]
		fast[i] += fastWeight * (w[i] - fast[i])
		if steady {
			trend[i] += trendWeight * (fast[i] - before - trend[i])
		}
	}
}

func (e *Estimator) alternates(layer int) bool {
	return e.persist[layer] < flapWindows && e.age[layer] < 2*flapWindows
}

// Current returns the loads expected in the next steps. The split over replicas follows them; it costs nothing, so a
// layer that looks swapped takes its last window at once.
func (e *Estimator) Current() Loads {
	l := e.Smoothed()
	for layer := range l.Layers {
		if last := e.last.Layer(layer); TotalVariation(last, e.fast.Layer(layer)) > swapDistance {
			copy(l.Layer(layer), last)
		}
	}
	return l
}

// Smoothed returns the loads that a placement has to serve: the average and its trend for one window.
func (e *Estimator) Smoothed() Loads {
	l := NewLoads(e.fast.Layers, e.fast.Experts)
	for i, v := range e.fast.Tokens {
		l.Tokens[i] = max(0, v+e.trend.Tokens[i])
	}
	return l
}

// AlternatePattern returns the second pattern of a layer whose loads alternate between two, or nil.
func (e *Estimator) AlternatePattern(layer int) []float64 {
	if !e.alternates(layer) {
		return nil
	}
	return e.other.Layer(layer)
}

// Windows returns the number of windows observed.
func (e *Estimator) Windows() int { return e.windows }

// TotalVariation returns the share of load that lies on other experts in a than in b.
func TotalVariation(a, b []float64) float64 {
	sumA, sumB := sum(a), sum(b)
	if sumA == 0 || sumB == 0 {
		return 0
	}
	d := 0.0
	for i := range a {
		d += math.Abs(a[i]/sumA - b[i]/sumB)
	}
	return d / 2
}

func sum(values []float64) float64 {
	s := 0.0
	for _, v := range values {
		s += v
	}
	return s
}
