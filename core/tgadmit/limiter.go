// Package tgadmit decides how much work an upstream bears.
package tgadmit

import (
	"sync"
	"time"
)

const (
	baselineStep     = 0.25 // part of the distance by which a learned figure rises
	coldSamples      = 3    // consecutive slow first tokens that mean cold
	coldRatio        = 2.5  // latency over the warm figure that means cold
	shrinkRatio      = 1.3  // latency over the warm figure that cuts the limit; 26 ms between tokens at 20 ms warm
	restartFailures  = 2    // consecutive failures that mean a restart
	growRatio        = 1.12 // latency over the warm figure up to which the limit grows
	growFactor       = 1.12 // growth after the first sign of saturation
	slowStartFactor  = 1.5  // growth before it
	minGrowth        = 0.34 // least growth in attempts, so that small limits grow too
	improvementRatio = 0.95 // mean of a window over the last one that is no improvement
	minLimit         = 1.0
	settleFactor     = 1.2             // times the warm first token until newly admitted attempts show in the figures
	maxSettleTime    = 2 * time.Second // bound of the wait when the first token is very late
	maxFlatWindows   = 20
	windowBaseTokens = 6 // tokens in a window beside those of the steps
	windowSteps      = 2 // steps of every admitted attempt in a window
	minPrefillPrompt = 256
)

// Limiter admits attempts up to a limit that grows on evidence. Its unit is attempts, because the number of
// sequences in the batch sets the time between tokens; a group counts the attempts of each rank.
type Limiter struct {
	coldLimit    int
	failures     int // consecutive
	firstToken   latencyBaseline
	gap          latencyBaseline
	inFlight     int       // never above limit at the time of admission
	lastChange   time.Time // when the limit last changed
	limit        float64
	limitReached bool // the limit was reached in this window
	lockStep     bool
	mu           sync.Mutex
	now          func() time.Time
	prefill      latencyBaseline // seconds for each token of the prompt
	slowFirsts   int             // consecutive first tokens or prefill rates that look cold
	slowStart    bool
	tokens       int             // served since the start
	unitTime     latencyBaseline // time per unit of work of answers that come in one piece
	warmLimit    int
}

// NewLimiter returns a limiter that starts at the cold limit. It also does beside a warm upstream, since nothing is
// known of it; there the latencies stay at the warm figure, and the limit grows by half in each window.
func NewLimiter(cold, warm int, options ...Option) *Limiter {
	l := &Limiter{coldLimit: cold, limit: float64(cold), now: time.Now, slowStart: true, warmLimit: warm}
	for _, o := range options {
		o(l)
	}
	return l
}

// Configure changes the bounds, and whether the upstream is a rank of a group; see WithLockStep.
func (l *Limiter) Configure(cold, warm int, lockStep bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldLimit, l.warmLimit, l.lockStep = cold, warm, lockStep
	l.limit = min(l.limit, float64(warm))
}

// TryAcquire admits one attempt if the limit allows it.
func (l *Limiter) TryAcquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= int(l.limit) {
		l.limitReached = true
		return false
	}
	l.inFlight++
	l.limitReached = l.limitReached || l.inFlight >= int(l.limit)
	return true
}

// Observe takes the evidence of a running attempt, so that the limit need not wait for attempts to finish.
func (l *Limiter) Observe(p Progress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens += p.Tokens
	l.failures = 0
	if p.FirstToken > 0 {
		l.observeFirst(p.FirstToken, p.Prompt)
	}
	if p.Gap > 0 && p.Tokens > 0 && l.settled() {
		l.gap.add(p.Gap/time.Duration(p.Tokens), p.Tokens)
	}
	l.evaluate()
}

// Release ends an admitted attempt and takes its evidence.
func (l *Limiter) Release(s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if s.Total <= 0 || s.Cancelled {
		return
	}
	if !s.OK {
		l.observeFailure()
		return
	}
	l.failures = 0
	l.tokens += s.Tokens - s.Observed
	switch gap := s.gap(); {
	case s.Observed > 0:
	case gap > 0:
		l.observeFirst(s.FirstToken, s.Prompt)
		if l.settled() {
			l.gap.add(gap, s.Tokens-1)
		}
	case l.settled():
		l.unitTime.add(s.Total/time.Duration(max(s.Work, 1)), 1)
	}
	l.evaluate()
}

// InFlight returns the number of admitted attempts.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// Limit returns the number of attempts allowed now.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}

// observeFailure cuts the limit; a second failure in a row means that the upstream restarted.
func (l *Limiter) observeFailure() {
	l.failures++
	if l.failures >= restartFailures {
		l.fallToCold()
		return
	}
	l.setLimit(l.limit / 2)
}

// observeFirst detects sudden cold from the first token, or from the prefill rate if the prompt is long enough for
// the rate to mean something. Both are seconds, of which lower is better.
func (l *Limiter) observeFirst(d time.Duration, prompt int) {
	b, v := &l.firstToken, d.Seconds()
	if prompt >= minPrefillPrompt {
		b, v = &l.prefill, v/float64(prompt)
	}
	if !b.trackSample(v, l.limit <= float64(l.coldLimit)) {
		l.slowFirsts = 0
		return
	}
	l.slowFirsts++
	if l.slowFirsts >= coldSamples && l.limit > float64(l.coldLimit) {
		l.fallToCold()
	}
}

// settled reports whether the figures show the present limit: attempts admitted since its last change have had time
// for their first token, and those above a lower limit have ended.
func (l *Limiter) settled() bool {
	if l.inFlight > int(l.limit) {
		return false
	}
	wait := time.Duration(settleFactor * l.firstToken.warm * float64(time.Second))
	return l.now().Sub(l.lastChange) >= min(wait, maxSettleTime)
}

// evaluate changes the limit when the window holds enough evidence.
func (l *Limiter) evaluate() {
	if l.gap.count < windowBaseTokens+windowSteps*int(l.limit) && l.unitTime.count < max(int(l.limit), coldSamples) {
		return
	}
	gap, whole := l.gap.ratio(), l.unitTime.ratio()
	ratio := max(gap, whole)
	looksCold := whole > coldRatio || gap > coldRatio && !l.lockStep
	if ratio > growRatio {
		l.slowStart = false
		if l.limit <= float64(l.coldLimit) {
			l.gap.raiseBaseline()
			l.unitTime.raiseBaseline()
		}
	}
	switch {
	case looksCold && l.limit > float64(l.coldLimit):
		l.fallToCold()
	case ratio > shrinkRatio:
		l.setLimit(l.limit / min(ratio, 2) * growRatio)
	case ratio > growRatio:
	case l.limitReached && l.slowStart:
		l.setLimit(max(l.limit*slowStartFactor, l.limit+minGrowth))
	case l.limitReached:
		l.setLimit(max(l.limit*growFactor, l.limit+minGrowth))
	}
	l.startWindow()
}

func (l *Limiter) fallToCold() {
	l.slowStart = false
	l.slowFirsts = 0
	l.setLimit(min(l.limit, float64(l.coldLimit)))
}

func (l *Limiter) setLimit(limit float64) {
	l.limit = min(max(limit, minLimit), float64(l.warmLimit))
	l.lastChange = l.now()
	l.startWindow()
}

func (l *Limiter) startWindow() {
	l.limitReached = l.inFlight >= int(l.limit)
	l.gap.reset()
	l.unitTime.reset()
}
