package tgexpert

import "math"

const (
	averageWeight      = 0.8  // smoothing factor of the average: weight of the newest window
	trendWeight        = 0.3  // smoothing factor of the trend: weight of the newest change of the average
	swapThreshold      = 0.08 // share of tokens that changed experts; the noise of a window stays under 0.01
	maxFlapWindows     = 40   // windows; patterns that last less on average are taken to alternate
	initialPersistence = 1e6  // windows; before its first swap, a pattern is taken to persist
)

// Estimator keeps exponential moving averages of the loads of windows of steps. When the loads of a layer change suddenly
// (a swap), its average is reset to the windows after the swap once two of them agree, so that a single outlier does not
// move the average.
type Estimator struct {
	average          Loads     // smoothed by averageWeight
	beforeSwap       Loads     // pattern before the last swap
	lastWindow       Loads     // newest window
	persistence      []float64 // windows that a pattern lasts on average, by layer
	trend            Loads     // smoothed change of the average per window
	windows          int       // observed
	windowsSinceSwap []int     // windows since the last swap, by layer
}

// NewEstimator returns an estimator without observations.
func NewEstimator(layers, experts int) *Estimator {
	e := &Estimator{
		average: NewLoads(layers, experts), beforeSwap: NewLoads(layers, experts), lastWindow: NewLoads(layers, experts),
		persistence: make([]float64, layers), trend: NewLoads(layers, experts), windowsSinceSwap: make([]int, layers),
	}
	for i := range e.persistence {
		e.persistence[i] = initialPersistence
	}
	return e
}

// Observe adds the mean loads per step of one window.
func (e *Estimator) Observe(window Loads) {
	for layer := range window.Layers {
		e.observe(layer, window.Layer(layer))
	}
	copy(e.lastWindow.Tokens, window.Tokens)
	e.windows++
}

func (e *Estimator) observe(layer int, w []float64) {
	average, last := e.average.Layer(layer), e.lastWindow.Layer(layer)
	if e.windows == 0 {
		copy(average, w)
		return
	}
	e.windowsSinceSwap[layer]++
	// A window that agrees with the one before but not with the average follows a swap.
	if TotalVariation(w, average) > swapThreshold && TotalVariation(last, average) > swapThreshold &&
		TotalVariation(w, last) < swapThreshold {
		if lasted := float64(e.windowsSinceSwap[layer]); e.persistence[layer] == initialPersistence {
			e.persistence[layer] = max(lasted, maxFlapWindows) // a single swap does not make the patterns alternate
		} else {
			e.persistence[layer] += (lasted - e.persistence[layer]) / 2
		}
		e.windowsSinceSwap[layer] = 0
		copy(e.beforeSwap.Layer(layer), average)
		for i := range average {
			average[i] = (w[i] + last[i]) / 2
		}
		clear(e.trend.Layer(layer))
		return
	}
	outlier := TotalVariation(w, average) > swapThreshold && TotalVariation(last, average) < swapThreshold
	if outlier {
		return
	}
	trend := e.trend.Layer(layer)
	steady := TotalVariation(w, last) < swapThreshold
	for i := range average {
		before := average[i]
		average[i] += averageWeight * (w[i] - average[i])
		if steady {
			trend[i] += trendWeight * (average[i] - before - trend[i])
		}
	}
}

// alternates reports whether the loads of the layer alternate between two patterns.
func (e *Estimator) alternates(layer int) bool {
	return e.persistence[layer] < maxFlapWindows && e.windowsSinceSwap[layer] < 2*maxFlapWindows
}

// Current returns the loads expected in the next steps, for the split over replicas. Changing the split costs nothing, so
// a layer that may have swapped uses its last window at once.
func (e *Estimator) Current() Loads {
	l := e.Smoothed()
	for layer := range l.Layers {
		if last := e.lastWindow.Layer(layer); TotalVariation(last, e.average.Layer(layer)) > swapThreshold {
			copy(l.Layer(layer), last)
		}
	}
	return l
}

// Smoothed returns the loads that a placement has to serve: the average, extrapolated by its trend for one window.
func (e *Estimator) Smoothed() Loads {
	l := NewLoads(e.average.Layers, e.average.Experts)
	for i, v := range e.average.Tokens {
		l.Tokens[i] = max(0, v+e.trend.Tokens[i])
	}
	return l
}

// AlternatePattern returns the loads of the other pattern of a layer whose loads alternate between two patterns, or nil.
func (e *Estimator) AlternatePattern(layer int) []float64 {
	if !e.alternates(layer) {
		return nil
	}
	return e.beforeSwap.Layer(layer)
}

// Windows returns the number of windows observed.
func (e *Estimator) Windows() int { return e.windows }

// TotalVariation returns the total variation distance of a and b: the share of load that is on other experts in a than in
// b.
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
