// Package tgpace limits the streams that run at once in a pool of engines whose passes slow down with each stream. The
// limit is found from the time between the events of the streams that run.
package tgpace

import (
	"slices"
	"sync"
	"time"
)

const (
	decisionInterval      = 150 * time.Millisecond
	minGapsPerDecision    = 8           // fewer say too little
	gapOutlierDivisor     = 8           // one in so many is left out as the longest: packets are lost now and then
	maxGapsKept           = 512         // of one decision
	maxGapFraction        = 0.90        // part of the longest pause on time that a pause may reach, seen or predicted
	growGapFraction       = 0.75        // part below which the limit grows
	growthFactor          = 1.06        // of the limit in one decision while it binds
	fastGrowthFactor      = 1.25        // the same while passes are far shorter than they may be
	fastGrowthGapFraction = 0.50        // part of the longest pause on time below which the limit grows quickly
	initialStreamTime     = 1.5         // seconds that a stream takes, until one has ended
	minShrinkFactor       = 0.80        // largest cut of the limit in one decision
	demandSmoothing       = 0.93        // weight of the past, for each decision, in the means of arrivals and load
	demandResetAfter      = time.Second // without passes, after which these means start anew
	retryHeadroom         = 1.2         // callers who come back after a refusal may go this far beyond the limit
	minRetryAfter         = 150 * time.Millisecond
	maxRetryAfter         = 2 * time.Second
	streamTimeSmoothing   = 0.9 // weight of the past in the mean time that a stream takes
)

// Request is a stream that asks for a place.
type Request struct {
	Priority int  // 0 is the highest
	Retry    bool // the caller was refused before
}

// Ticket is a place of a stream; Done returns it.
type Ticket struct {
	limiter *Limiter
	start   time.Time
}

// Reason says what decided about a refusal.
type Reason string

// Reasons.
const (
	ReasonLimit Reason = "limit" // the passes would take too long
	ReasonSlots Reason = "slots" // the stream would wait in an engine
)

// Refusal says when a place is expected, and what decided.
type Refusal struct {
	InFlight   int
	Limit      float64
	PeakGap    time.Duration
	Reason     Reason
	RetryAfter time.Duration
}

// Limiter is the limit of one process for one pool. It is safe for concurrent use.
type Limiter struct {
	arrivalRate  float64 // arrivals in a second, smoothed
	arrivals     int     // since the last decision
	bounds       Bounds
	forecast     forecast
	gaps         []float64 // seconds, since the last decision
	inFlight     int
	lastDecision time.Time
	limit        float64
	limitReached bool    // the limit refused a stream since the last decision
	meanInFlight float64 // streams in flight, smoothed
	mu           sync.Mutex
	peakGap      float64 // seconds, of the last decision
	priorities   priorityCounts
	rand         func() float64
	refused      int     // since the last place became free
	streamTime   float64 // seconds that a stream takes, smoothed
}

// Bounds are the range of a limit and what it is for.
type Bounds struct {
	FixedCost     float64       // streams of this process that take as long in a pass as the part that no stream adds
	FreeSlots     float64       // slots that the streams of other processes leave free; 0 if that is not known
	GapTarget     time.Duration // longest pause on time
	Max           float64       // streams that the engines run at once
	MaxStreamTime time.Duration // that a stream may take; 0 if there is no bound
	Min           float64       // fewer streams would not make the passes shorter
}

// NewLimiter returns a pacer that starts at limit.
func NewLimiter(limit float64, bounds Bounds, random func() float64) *Limiter {
	return &Limiter{bounds: bounds, limit: limit, priorities: priorityCounts{}, rand: random, streamTime: initialStreamTime}
}

// SetBounds changes the bounds.
func (l *Limiter) SetBounds(bounds Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = bounds
	l.limit = max(l.limit, bounds.Min)
}

// Admit takes a place for a stream, or says when one is expected.
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

// refusal spreads the callers refused since the last free place over the time in which as many places come free.
func (l *Limiter) refusal(limit float64, reason Reason) *Refusal {
	perCompletion := l.streamTime / max(limit, 1)
	wait := time.Duration((float64(l.refused) + l.rand()) * perCompletion * float64(time.Second))
	return &Refusal{
		InFlight: l.inFlight, Limit: limit, PeakGap: time.Duration(l.peakGap * float64(time.Second)), Reason: reason,
		RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
	}
}

// ObserveGap takes the time between two events of a stream.
func (l *Limiter) ObserveGap(d time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.gaps) < maxGapsKept {
		l.gaps = append(l.gaps, d.Seconds())
	}
	l.updateLimit(now)
}

// Done returns the place.
func (t *Ticket) Done(now time.Time) {
	l := t.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.refused = max(0, l.refused-1)
	l.streamTime = streamTimeSmoothing*l.streamTime + (1-streamTimeSmoothing)*now.Sub(t.start).Seconds()
}

// updateLimit moves the limit towards the best one that the passes of the last seconds tell. Until there are enough of them
// it follows the longest pause.
func (l *Limiter) updateLimit(now time.Time) {
	if len(l.gaps) < minGapsPerDecision || now.Sub(l.lastDecision) < decisionInterval {
		return
	}
	l.closeWindow(now)
	target := l.bounds.GapTarget.Seconds()
	best, known := l.forecast.best(demand{streams: l.meanInFlight, arrivalRate: l.arrivalRate, streamTime: l.streamTime}, l.bounds)
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

// closeWindow closes the window since the last decision.
func (l *Limiter) closeWindow(now time.Time) {
	slices.Sort(l.gaps)
	l.peakGap = l.gaps[len(l.gaps)-1-len(l.gaps)/gapOutlierDivisor]
	l.gaps = l.gaps[:0]
	elapsed := now.Sub(l.lastDecision)
	if elapsed < demandResetAfter {
		l.arrivalRate = demandSmoothing*l.arrivalRate + (1-demandSmoothing)*float64(l.arrivals)/elapsed.Seconds()
		l.meanInFlight = demandSmoothing*l.meanInFlight + (1-demandSmoothing)*float64(l.inFlight)
	} else { // the first window, or one after an outage
		l.arrivalRate, l.meanInFlight = float64(l.inFlight)/l.streamTime, float64(l.inFlight)
	}
	l.arrivals, l.lastDecision = 0, now
	l.forecast.observe(window{gap: l.peakGap, duration: elapsed, streams: float64(l.inFlight)})
}

// State is the pacer's state for a dump.
type State struct {
	InFlight int           `json:"inFlight"`
	Limit    float64       `json:"limit"`
	PeakGap  time.Duration `json:"peakGap"`
}

// State returns the present state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{InFlight: l.inFlight, Limit: l.limit, PeakGap: time.Duration(l.peakGap * float64(time.Second))}
}
