// Package tgadmission limits the concurrent attempts at an upstream to what its latencies show that it can serve.
package tgadmission

import (
	"sync"
	"time"
)

const (
	baselineStep     = 0.25            // part of the distance to the window's mean by which a learned baseline is raised
	coldSamples      = 3               // successive slow first tokens that mean cold; minimum of unstreamed answers in a window
	coldRatio        = 2.5             // latency relative to the warm baseline above which the upstream is cold
	shrinkRatio      = 1.3             // relative latency above which the limit is cut: 26 ms between tokens at 20 ms warm
	restartFailures  = 2               // consecutive failures that mean a restart
	growRatio        = 1.12            // relative latency up to which the limit grows
	growFactor       = 1.12            // growth per window after the first sign of saturation
	slowStartFactor  = 1.5             // growth per window before the first sign of saturation
	minGrowth        = 0.34            // minimum growth in attempts, so that small limits grow too
	improvementRatio = 0.95            // mean of a window relative to the previous one below which it improved
	minLimit         = 1.0             // attempts
	settleFactor     = 1.2             // of the warm first token: time until newly admitted attempts show in the latencies
	maxSettleTime    = 2 * time.Second // upper bound of the time that settleFactor gives
	maxFlatWindows   = 20              // windows without improvement at the cold limit before the baseline is raised
	windowBaseTokens = 6               // tokens in a window in addition to those of windowSteps
	windowSteps      = 2               // decoding steps of every admitted attempt in a window
	minPrefillPrompt = 256             // tokens from which a prompt's prefill rate is meaningful
)

// Limiter is the adaptive concurrency limit of one upstream: it grows only while latencies stay near their warm baseline.
// Its unit is attempts, because the number of sequences in the batch determines the time between tokens; in a group, the
// attempts of each rank are counted separately.
type Limiter struct {
	coldLimit    int             // attempts; where the limit starts and what it falls to
	failures     int             // consecutive
	firstToken   latencyBaseline // time to the first token of short prompts
	gap          latencyBaseline // time between tokens
	inFlight     int             // never above limit at the time of admission
	lastChange   time.Time       // time of the last change of the limit
	limit        float64         // attempts, from minLimit to warmLimit
	limitReached bool            // the limit was reached in this window
	lockStep     bool            // see WithLockStep
	mu           sync.Mutex      // guards all fields
	now          func() time.Time
	prefill      latencyBaseline // time per prompt token of longer prompts
	slowFirsts   int             // consecutive samples of firstToken or prefill that look cold
	slowStart    bool            // until the first sign of saturation or cold
	tokens       int             // tokens served since the start
	unitTime     latencyBaseline // time per unit of work of answers that are not streamed
	warmLimit    int             // attempts; upper bound of the limit
}

// NewLimiter returns a limiter that starts at the cold limit, also if the upstream is warm, since nothing is known about it
// yet. The latencies of a warm upstream then stay at the baseline, and the limit grows by half in each window.
func NewLimiter(cold, warm int, options ...Option) *Limiter {
	l := &Limiter{coldLimit: cold, limit: float64(cold), now: time.Now, slowStart: true, warmLimit: warm}
	for _, o := range options {
		o(l)
	}
	return l
}

// Configure changes the bounds, and whether the upstream is a rank of a group; see WithLockStep. A higher cold limit raises
// a limit that is below it.
func (l *Limiter) Configure(cold, warm int, lockStep bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cold > l.coldLimit {
		l.limit = max(l.limit, float64(cold))
	}
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

// Observe records the latencies of a running attempt, so that the limit can change before attempts finish.
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

// Release ends an admitted attempt and records its latencies.
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

// InFlight returns the number of admitted attempts that have not been released.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// Limit returns the current limit in attempts.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}

// observeFailure halves the limit. A second consecutive failure means that the upstream restarted, and is cold.
func (l *Limiter) observeFailure() {
	l.failures++
	if l.failures >= restartFailures {
		l.fallToCold()
		return
	}
	l.setLimit(l.limit / 2)
}

// observeFirst detects an upstream that has turned cold, for example by a restart. It compares the time to the first token
// with its baseline, or for prompts from minPrefillPrompt tokens the time per prompt token.
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

// settled reports whether latencies reflect the current limit: attempts admitted since its last change have had time for
// their first token, and attempts in excess of a lowered limit have ended.
func (l *Limiter) settled() bool {
	if l.inFlight > int(l.limit) {
		return false
	}
	wait := time.Duration(settleFactor * l.firstToken.warm * float64(time.Second))
	return l.now().Sub(l.lastChange) >= min(wait, maxSettleTime)
}

// evaluate adjusts the limit once the window holds enough samples, and starts the next window.
func (l *Limiter) evaluate() {
	if l.gap.count < windowBaseTokens+windowSteps*int(l.limit) && l.unitTime.count < max(int(l.limit), coldSamples) {
		return
	}
	gap, unitTime := l.gap.ratio(), l.unitTime.ratio()
	ratio := max(gap, unitTime)
	looksCold := unitTime > coldRatio || gap > coldRatio && !l.lockStep
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

// fallToCold lowers the limit to the cold limit, from where it grows without slow start.
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
