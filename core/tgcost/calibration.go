package tgcost

import "math"

// Calibration tells how good the estimates of a route were.
type Calibration struct {
	Above90 float64 `json:"above90"` // answers longer than the estimate's P90; a tenth of Count if the estimates are right
	Count   float64 `json:"count"`   // answers, faded ones in part
	Error   float64 `json:"error"`   // mean of the absolute logarithm (base 2) of length divided by the estimated median
}

// observe records an answer and the estimate that was made for it.
func (c *Calibration) observe(est Estimate, tokens float64) {
	if est.Median <= 0 {
		return // made without an estimate
	}
	if tokens > est.P90 {
		c.Above90++
	}
	c.Count++
	c.Error += (math.Abs(math.Log2(tokens/est.Median)) - c.Error) / c.Count
	if c.Count > maxWeight {
		c.Count, c.Above90 = c.Count/2, c.Above90/2
	}
}

// RouteState is what the estimator knows of a route, for a dump.
type RouteState struct {
	Accounts    int         `json:"accounts"`
	Calibration Calibration `json:"calibration"`
	HintSpread  float64     `json:"hintSpread,omitempty"` // standard deviation of the logarithm of length divided by hint
	Median      float64     `json:"median"`               // tokens
	P90         float64     `json:"p90"`                  // tokens
	Samples     float64     `json:"samples"`
	Spread      float64     `json:"spread"` // standard deviation of the logarithm of the lengths
}

// States returns the state of all routes by name.
func (e *Estimator) States() map[string]RouteState {
	states := map[string]RouteState{}
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for name, rt := range s.routes {
			if rt.tokens.Total == 0 {
				continue
			}
			st := RouteState{
				Accounts: len(rt.accounts), Calibration: rt.calibration, Median: rt.tokens.quantile(0.5),
				P90: rt.tokens.quantile(0.9), Samples: rt.tokens.Total, Spread: rt.tokens.spread(),
			}
			if rt.ratios.Total > 0 {
				st.HintSpread = rt.ratios.spread()
			}
			states[name] = st
		}
		s.mu.Unlock()
	}
	return states
}

// Uneven reports whether the lengths of the answers on a route differ by so much that requests should be placed by what
// they are expected to cost: their logarithm has a standard deviation of at least spread.
func (e *Estimator) Uneven(name string, spread float64) bool {
	s := e.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	rt, ok := s.routes[name]
	return ok && rt.tokens.Total >= minSamples && rt.tokens.spread() >= spread
}
