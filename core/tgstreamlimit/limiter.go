// Package tgstreamlimit limits the concurrent streams of a pool of engines. Every stream lengthens the forward passes of the
// engines, so the limit is derived from the time between the events of the running streams.
package tgstreamlimit

import (
	"slices"
	"sync"
	"time"
)

const (
	decisionInterval      = 150 * time.Millisecond // minimum time between two changes of the limit
	minGapsPerDecision    = 8                      // with fewer gaps the peak is not meaningful
	gapOutlierDivisor     = 8                      // the longest eighth of the gaps is ignored: packets get lost now and then
	maxGapsKept           = 512                    // bound of the gaps stored for one decision
	maxGapFraction        = 0.90                   // of the gap target: highest peak gap, observed or predicted
	growGapFraction       = 0.75                   // of the gap target: growth without a forecast needs a lower peak gap
	growthFactor          = 1.06                   // growth per decision while the limit is reached
	fastGrowthFactor      = 1.25                   // growth per decision while gaps are far below the target
	fastGrowthGapFraction = 0.50                   // of the gap target: below this peak gap the limit grows fast
	initialStreamTime     = 1.5                    // assumed duration of a stream in seconds, until one has ended
	minShrinkFactor       = 0.80                   // of the limit, or of the streams in flight if fewer: lower bound of one cut
	demandSmoothing       = 0.93                   // weight of the past, per decision, in the averages of arrivals and load
	demandResetAfter      = time.Second            // the averages restart after this time without passes
	retryHeadroom         = 1.2                    // callers refused before may exceed the limit by this factor
	minRetryAfter         = 150 * time.Millisecond
	maxRetryAfter         = 2 * time.Second
	growthSmoothing       = 0.7 // weight of the past, per decision, in the average growth of the limit
	streamTimeSmoothing   = 0.9 // weight of the past, per ended stream, in the average duration of a stream
)

// Request is a stream that asks for admission.
type Request struct {
	Priority int  // 0 is the highest
	Retry    bool // the caller was refused before
}

// Ticket is the permit of an admitted stream; Done releases it.
type Ticket struct {
	beyond  bool // it does not count against the limit; see TryAdmit
	limiter *Limiter
	start   time.Time
}

// Reason is the bound that caused a refusal.
type Reason string

// The bounds that a stream may exceed.
const (
	ReasonLimit Reason = "limit" // the concurrency limit: passes would take too long
	ReasonSlots Reason = "slots" // no free engine slot: the stream would wait in an engine
)

// Refusal describes why a stream was not admitted and when the caller should retry.
type Refusal struct {
	InFlight   int     // streams of this process
	Limit      float64 // the bound that refused the stream
	PeakGap    time.Duration
	Reason     Reason
	RetryAfter time.Duration
}

// Limiter is the adaptive concurrency limit of one process for one pool. It is safe for concurrent use.
type Limiter struct {
	arrivalRate  float64 // arrivals per second, smoothed
	arrivals     int     // since the last decision, refused ones included
	beyond       int     // streams in flight that do not count against the limit; at most inFlight
	bounds       Bounds
	forecast     forecast
	growth       float64   // of the limit, streams per second, smoothed
	gaps         []float64 // seconds, since the last decision; at most maxGapsKept
	inFlight     int
	lastDecision time.Time
	limit        float64    // streams
	limitReached bool       // the limit refused a stream since the last decision
	meanInFlight float64    // streams in flight, smoothed
	mu           sync.Mutex // guards all fields
	observed     float64    // streams in flight at the last decision
	peakGap      float64    // seconds, of the last decision, without outliers
	priorities   priorityCounts
	rand         func() float64 // in [0,1)
	refused      int            // refusals less the streams that have ended since; never negative
	streamTime   float64        // duration of a stream in seconds, smoothed
}

// Bounds are the range of a limit, the gap that it has to keep, and the cost model of the pool's engines.
type Bounds struct {
	FixedCost     float64       // fixed part of a pass's time, as the number of this process's streams that add the same time
	FreeSlots     float64       // engine slots not used by streams of other processes; 0 if unknown
	GapTarget     time.Duration // longest gap between events of a stream that counts as on time
	Max           float64       // streams that the engines run concurrently
	MaxStreamTime time.Duration // longest time that a stream may take; 0 if unbounded
	Min           float64       // lower bound of the limit; fewer streams would not make passes shorter
	Spare         float64       // streams that may exceed the limit; see TryAdmit
}

// NewLimiter returns a limiter that starts at limit; random returns values in [0,1).
func NewLimiter(limit float64, bounds Bounds, random func() float64) *Limiter {
	return &Limiter{bounds: bounds, limit: limit, priorities: priorityCounts{}, rand: random, streamTime: initialStreamTime}
}

// SetBounds replaces the bounds and raises the limit to the new minimum.
func (l *Limiter) SetBounds(bounds Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = bounds
	l.limit = max(l.limit, bounds.Min)
}

// Admit admits a stream, or returns a refusal with the time after which the caller should retry.
func (l *Limiter) Admit(r Request, now time.Time) (*Ticket, *Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals++
	l.updateLimit(now)
	limit, reason := l.limit, ReasonLimit
	if r.Retry {
		limit *= retryHeadroom
	}
	if l.bounds.FreeSlots > 0 && l.bounds.FreeSlots < limit {
		limit, reason = l.bounds.FreeSlots, ReasonSlots
	}
	reserved := l.priorities.recordArrival(r.Priority, now) * l.limit
	if l.inFlight > 0 && float64(l.inFlight+1)+reserved > limit {
		l.limitReached = true
		l.refused++
		return nil, l.refusal(limit, reason)
	}
	l.inFlight++
	l.priorities.recordAdmission(r.Priority)
	return &Ticket{limiter: l, start: now}, nil
}

// refusal assigns each refused caller a later retry time, at the rate at which running streams are expected to end, so
// that retries arrive spread out and not before a stream can be admitted.
func (l *Limiter) refusal(limit float64, reason Reason) *Refusal {
	perCompletion := l.streamTime / max(limit, 1)
	wait := time.Duration((float64(l.refused) + l.rand()) * perCompletion * float64(time.Second))
	return &Refusal{
		InFlight: l.inFlight, Limit: limit, PeakGap: time.Duration(l.peakGap * float64(time.Second)), Reason: reason,
		RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
	}
}

// ObserveGap records the time between two events of a stream.
func (l *Limiter) ObserveGap(d time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.gaps) < maxGapsKept {
		l.gaps = append(l.gaps, d.Seconds())
	}
	l.updateLimit(now)
}

// Done releases the permit of a stream that has ended.
func (t *Ticket) Done(now time.Time) {
	l := t.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if t.beyond {
		l.beyond--
	}
	l.refused = max(0, l.refused-1)
	l.streamTime = streamTimeSmoothing*l.streamTime + (1-streamTimeSmoothing)*now.Sub(t.start).Seconds()
}

// updateLimit moves the limit towards the one that the forecast finds best. Until the forecast covers enough time, the
// limit follows the peak gap alone.
func (l *Limiter) updateLimit(now time.Time) {
	if len(l.gaps) < minGapsPerDecision || now.Sub(l.lastDecision) < decisionInterval {
		return
	}
	before, elapsed := l.limit, now.Sub(l.lastDecision)
	defer func() {
		l.growth = growthSmoothing*l.growth + (1-growthSmoothing)*(l.limit-before)/elapsed.Seconds()
	}()
	l.closeWindow(now)
	target := l.bounds.GapTarget.Seconds()
	offered := demand{arrivalRate: l.arrivalRate, streams: l.meanInFlight, streamTime: l.streamTime}
	best, known := l.forecast.best(offered, l.bounds)
	switch {
	case known:
	case l.peakGap > maxGapFraction*target:
		best = float64(l.inFlight+1) * maxGapFraction * target / l.peakGap
	case l.peakGap > growGapFraction*target:
		best = l.limit
	default:
		best = l.bounds.Max
	}
	switch {
	case best < l.limit:
		l.limit = max(l.bounds.Min, best, minShrinkFactor*min(l.limit, float64(l.inFlight)+1))
	case l.limitReached || float64(l.inFlight) > 0.8*l.limit:
		factor := growthFactor
		if l.peakGap < fastGrowthGapFraction*target {
			factor = fastGrowthFactor
		}
		l.limit = min(l.limit*factor+0.2, best)
	}
	l.limitReached = false
}

// closeWindow computes the peak gap and the demand since the last decision and adds them to the forecast.
func (l *Limiter) closeWindow(now time.Time) {
	slices.Sort(l.gaps)
	l.peakGap = l.gaps[len(l.gaps)-1-len(l.gaps)/gapOutlierDivisor]
	l.gaps = l.gaps[:0]
	elapsed := now.Sub(l.lastDecision)
	if elapsed < demandResetAfter {
		l.arrivalRate = demandSmoothing*l.arrivalRate + (1-demandSmoothing)*float64(l.arrivals)/elapsed.Seconds()
		l.meanInFlight = demandSmoothing*l.meanInFlight + (1-demandSmoothing)*float64(l.inFlight)
	} else { // the first window, or the first one after an outage
		l.arrivalRate, l.meanInFlight = float64(l.inFlight)/l.streamTime, float64(l.inFlight)
	}
	l.arrivals, l.lastDecision, l.observed = 0, now, float64(l.inFlight)
	l.forecast.observe(window{gap: l.peakGap, duration: elapsed, streams: float64(l.inFlight)})
}

// State is the limiter's state as shown in a dump.
type State struct {
	InFlight int           `json:"inFlight"`
	Limit    float64       `json:"limit"`
	PeakGap  time.Duration `json:"peakGap"`
}

// State returns the current state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{InFlight: l.inFlight, Limit: l.limit, PeakGap: time.Duration(l.peakGap * float64(time.Second))}
}
