// Package tgpace limits the streams that run at once in a pool of engines whose passes slow down with each stream. The
// limit is found from the time between the events of the streams that run.
package tgpace

import (
	"slices"
	"sync"
	"time"
)

const (
	decisionInterval   = 150 * time.Millisecond
	gapsPerDecision    = 8           // fewer say too little
	gapsDropped        = 8           // one in so many is left out as the longest: packets are lost now and then
	gapsKept           = 512         // of one decision
	maxGapFraction     = 0.90        // part of the longest pause on time that a pause may reach, seen or predicted
	gapComfort         = 0.75        // part below which the limit grows
	growthFactor       = 1.06        // of the limit in one decision while it binds
	quickGrowth        = 1.25        // the same while passes are far shorter than they may be
	gapShort           = 0.50        // part of the longest pause on time below which the limit grows quickly
	firstStay          = 1.5         // seconds that a stream takes, until one has ended
	shrinkMin          = 0.80        // largest cut of the limit in one decision
	offerMemory        = 0.93        // weight of the past, for each decision, in the means of arrivals and load
	offerForgotten     = time.Second // without passes, after which these means start anew
	returnHeadroom     = 1.2         // callers who come back after a refusal may go this far beyond the limit
	shortestRetryAfter = 150 * time.Millisecond
	longestRetryAfter  = 2 * time.Second
	turnoverMemory     = 0.9 // weight of the past in the mean time that a stream takes
)

// Request is a stream that asks for a place.
type Request struct {
	Priority int  // 0 is the highest
	Retry    bool // the caller was refused before
}

// Ticket is a place of a stream; Done returns it.
type Ticket struct {
	pacer *Limiter
	start time.Time
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
	arrived  int  // since the last decision
	binding  bool // the limit refused a stream since the last decision
	bounds   Bounds
	decided  time.Time
	gapPeak  float64   // seconds, of the last decision
	gaps     []float64 // seconds, since the last decision
	history  forecast
	inFlight int
	limit    float64
	load     float64 // streams in flight, smoothed
	mu       sync.Mutex
	rand     func() float64
	rate     float64 // arrivals in a second, smoothed
	refused  int     // since the last place became free
	seen     priorities
	stay     float64 // seconds that a stream takes, smoothed
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
	return &Limiter{bounds: bounds, limit: limit, rand: random, seen: priorities{}, stay: firstStay}
}

// SetBounds changes the bounds.
func (p *Limiter) SetBounds(bounds Bounds) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bounds = bounds
	p.limit = max(p.limit, bounds.Min)
}

// Admit takes a place for a stream, or says when one is expected.
func (p *Limiter) Admit(a Request, now time.Time) (*Ticket, *Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrived++
	p.decide(now)
	limit, reason := p.limit, ReasonLimit
	if a.Retry {
		limit *= returnHeadroom
	}
	if p.bounds.FreeSlots > 0 && p.bounds.FreeSlots < limit {
		limit, reason = p.bounds.FreeSlots, ReasonSlots
	}
	leaves := p.seen.arrive(a.Priority, now) * p.limit
	if p.inFlight > 0 && float64(p.inFlight+1)+leaves > limit {
		p.binding = true
		p.refused++
		return nil, p.refusal(limit, reason)
	}
	p.inFlight++
	p.seen.admit(a.Priority)
	return &Ticket{pacer: p, start: now}, nil
}

// refusal spreads the callers refused since the last free place over the time in which as many places come free.
func (p *Limiter) refusal(limit float64, reason Reason) *Refusal {
	perPlace := p.stay / max(limit, 1)
	wait := time.Duration((float64(p.refused) + p.rand()) * perPlace * float64(time.Second))
	return &Refusal{
		InFlight: p.inFlight, Limit: limit, PeakGap: time.Duration(p.gapPeak * float64(time.Second)), Reason: reason,
		RetryAfter: min(max(wait, shortestRetryAfter), longestRetryAfter),
	}
}

// ObserveGap takes the time between two events of a stream.
func (p *Limiter) ObserveGap(d time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.gaps) < gapsKept {
		p.gaps = append(p.gaps, d.Seconds())
	}
	p.decide(now)
}

// Done returns the place.
func (t *Ticket) Done(now time.Time) {
	p := t.pacer
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	p.refused = max(0, p.refused-1)
	p.stay = turnoverMemory*p.stay + (1-turnoverMemory)*now.Sub(t.start).Seconds()
}

// decide moves the limit towards the best one that the passes of the last seconds tell. Until there are enough of them
// it follows the longest pause.
func (p *Limiter) decide(now time.Time) {
	if len(p.gaps) < gapsPerDecision || now.Sub(p.decided) < decisionInterval {
		return
	}
	p.observe(now)
	target := p.bounds.GapTarget.Seconds()
	best, known := p.history.best(offer{load: p.load, rate: p.rate, stay: p.stay}, p.bounds)
	switch {
	case known:
	case p.gapPeak > maxGapFraction*target:
		best = float64(p.inFlight+1) * maxGapFraction * target / p.gapPeak
	case p.gapPeak > gapComfort*target:
		best = p.limit
	default:
		best = p.bounds.Max
	}
	switch {
	case best < p.limit:
		p.limit = max(p.bounds.Min, best, shrinkMin*min(p.limit, float64(p.inFlight)+1))
	case p.binding || float64(p.inFlight) > 0.8*p.limit:
		factor := growthFactor
		if p.gapPeak < gapShort*target {
			factor = quickGrowth
		}
		p.limit = min(p.limit*factor+0.2, best)
	}
	p.binding = false
}

// observe closes the window since the last decision.
func (p *Limiter) observe(now time.Time) {
	slices.Sort(p.gaps)
	p.gapPeak = p.gaps[len(p.gaps)-1-len(p.gaps)/gapsDropped]
	p.gaps = p.gaps[:0]
	elapsed := now.Sub(p.decided)
	if elapsed < offerForgotten {
		p.rate = offerMemory*p.rate + (1-offerMemory)*float64(p.arrived)/elapsed.Seconds()
		p.load = offerMemory*p.load + (1-offerMemory)*float64(p.inFlight)
	} else { // the first window, or one after an outage
		p.rate, p.load = float64(p.inFlight)/p.stay, float64(p.inFlight)
	}
	p.arrived, p.decided = 0, now
	p.history.observe(window{gap: p.gapPeak, length: elapsed, load: float64(p.inFlight)})
}

// State is the pacer's state for a dump.
type State struct {
	InFlight int           `json:"inFlight"`
	Limit    float64       `json:"limit"`
	PeakGap  time.Duration `json:"peakGap"`
}

// State returns the present state.
func (p *Limiter) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return State{InFlight: p.inFlight, Limit: p.limit, PeakGap: time.Duration(p.gapPeak * float64(time.Second))}
}
