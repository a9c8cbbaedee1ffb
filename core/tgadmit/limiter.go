// Package tgadmit decides how much work an upstream bears.
package tgadmit

import (
	"sync"
	"time"
)

const (
	adaptStep     = 0.25 // part of the distance by which a learned figure rises
	coldFirsts    = 3    // consecutive slow first tokens that mean cold
	coldRatio     = 2.5  // latency over the warm figure that means cold
	cutRatio      = 1.3  // latency over the warm figure that cuts the limit; 26 ms between tokens at 20 ms warm
	failureCold   = 2    // consecutive failures that mean a restart
	growRatio     = 1.12 // latency over the warm figure up to which the limit grows
	growStep      = 1.12 // growth after the first sign of saturation
	growStepFast  = 1.5  // growth before it
	growMin       = 0.34 // least growth in attempts, so that small limits grow too
	improvement   = 0.95 // mean of a window over the last one that is no improvement
	minLimit      = 1.0
	settleMargin  = 1.2             // times the warm first token until newly admitted attempts show in the figures
	settleMax     = 2 * time.Second // bound of the wait when the first token is very late
	stuckWindows  = 20
	windowTokens  = 6 // tokens in a window beside those of the steps
	windowSteps   = 2 // steps of every admitted attempt in a window
	promptMinimum = 256
)

// Limiter admits attempts up to a limit that grows on evidence. Its unit is attempts, because the number of
// sequences in the batch sets the time between tokens; a group counts the attempts of each rank.
type Limiter struct {
	changed  time.Time // when the limit last changed
	cold     int
	failures int // consecutive
	fast     bool
	first    figure
	full     bool // the limit was reached in this window
	gap      figure
	inFlight int // never above limit at the time of admission
	limit    float64
	lockStep bool
	mu       sync.Mutex
	now      func() time.Time
	prefill  figure // seconds for each token of the prompt
	slow     int    // consecutive first tokens or prefill rates that look cold
	tokens   int    // served since the start
	warm     int
	whole    figure // time per unit of work of answers that come in one piece
}

// NewLimiter returns a limiter that starts at the cold limit. It also does beside a warm upstream, since nothing is
// known of it; there the latencies stay at the warm figure, and the limit grows by half in each window.
func NewLimiter(cold, warm int, options ...Option) *Limiter {
	l := &Limiter{cold: cold, fast: true, limit: float64(cold), now: time.Now, warm: warm}
	for _, o := range options {
		o(l)
	}
	return l
}

// Configure changes the bounds, and whether the upstream is a rank of a group; see WithLockStep.
func (l *Limiter) Configure(cold, warm int, lockStep bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold, l.warm, l.lockStep = cold, warm, lockStep
	l.limit = min(l.limit, float64(warm))
}

// TryAcquire admits one attempt if the limit allows it.
func (l *Limiter) TryAcquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= int(l.limit) {
		l.full = true
		return false
	}
	l.inFlight++
	l.full = l.full || l.inFlight >= int(l.limit)
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
		l.whole.add(s.Total/time.Duration(max(s.Work, 1)), 1)
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
	if l.failures >= failureCold {
		l.setCold()
		return
	}
	l.set(l.limit / 2)
}

// observeFirst detects sudden cold from the first token, or from the prefill rate if the prompt is long enough for
// the rate to mean something. Both are seconds, of which lower is better.
func (l *Limiter) observeFirst(d time.Duration, prompt int) {
	f, v := &l.first, d.Seconds()
	if prompt >= promptMinimum {
		f, v = &l.prefill, v/float64(prompt)
	}
	if !f.follow(v, l.limit <= float64(l.cold)) {
		l.slow = 0
		return
	}
	l.slow++
	if l.slow >= coldFirsts && l.limit > float64(l.cold) {
		l.setCold()
	}
}

// settled reports whether the figures show the present limit: attempts admitted since its last change have had time
// for their first token, and those above a lower limit have ended.
func (l *Limiter) settled() bool {
	if l.inFlight > int(l.limit) {
		return false
	}
	wait := time.Duration(settleMargin * l.first.warm * float64(time.Second))
	return l.now().Sub(l.changed) >= min(wait, settleMax)
}

// evaluate changes the limit when the window holds enough evidence.
func (l *Limiter) evaluate() {
	if l.gap.count < windowTokens+windowSteps*int(l.limit) && l.whole.count < max(int(l.limit), coldFirsts) {
		return
	}
	gap, whole := l.gap.ratio(), l.whole.ratio()
	ratio := max(gap, whole)
	isCold := whole > coldRatio || gap > coldRatio && !l.lockStep
	if ratio > growRatio {
		l.fast = false
		if l.limit <= float64(l.cold) {
			l.gap.adapt()
			l.whole.adapt()
		}
	}
	switch {
	case isCold && l.limit > float64(l.cold):
		l.setCold()
	case ratio > cutRatio:
		l.set(l.limit / min(ratio, 2) * growRatio)
	case ratio > growRatio:
	case l.full && l.fast:
		l.set(max(l.limit*growStepFast, l.limit+growMin))
	case l.full:
		l.set(max(l.limit*growStep, l.limit+growMin))
	}
	l.startWindow()
}

func (l *Limiter) setCold() {
	l.fast = false
	l.slow = 0
	l.set(min(l.limit, float64(l.cold)))
}

func (l *Limiter) set(limit float64) {
	l.limit = min(max(limit, minLimit), float64(l.warm))
	l.changed = l.now()
	l.startWindow()
}

func (l *Limiter) startWindow() {
	l.full = l.inFlight >= int(l.limit)
	l.gap.reset()
	l.whole.reset()
}
