// Package tgdrain decides which requests a process that stops may still take: those that it can finish before it must end.
package tgdrain

import (
	"sync"
	"time"
)

const (
	retention    = 30 * time.Second // of observations: long enough that a route has had some of its longest answers
	paceWindow   = 2 * time.Second  // about a stream: the pace is a mean, as single pauses say nothing of a whole answer
	minEvents    = 20               // of a window that shows the pace before it is over
	maxDuration  = time.Hour        // a longer forecast counts as this long; far longer ones overflow a time.Duration
	safetyFactor = 1.2              // a new answer may be longer or slower than those seen by this factor
)

// Work is a request that asks a process that stops to take it.
type Work struct {
	ExpiresAt time.Time // when its caller or its route ends it
	Likely    float64   // events that hardly any answer to such a request exceeds; 0 if only the longest ones count
	ReadAt    time.Time // when the whole request had been read
	Tokens    float64   // most tokens of its answer; 0 if unknown
}

// Stop is the planned stop of a process.
type Stop struct {
	AcceptUntil time.Time // end of the time in which callers may still open connections
	End         time.Time // when the process ends the requests that are left
}

// Basis is what a decision on a request rests on.
type Basis string

// What a Decision may rest on.
const (
	BasisForecast  Basis = "forecast"  // the length and the pace of earlier answers
	BasisTimeLimit Basis = "timeLimit" // the time limit of the request
)

// Decision tells whether a process that stops takes a request, and why.
type Decision struct {
	Admitted bool
	Basis    Basis
	Forecast time.Duration // how long the answer is expected to take; 0 if that is unknown or did not matter
	Left     time.Duration // until the process ends
}

// Forecast predicts how long answers of one route take, from the length and the pace of those before. It is safe for
// concurrent use.
type Forecast struct {
	events     peak // of one answer
	firstEvent peak // time from the request to the first event, or to an answer without events, in seconds
	mu         sync.Mutex
	pace       gapWindow
	perToken   peak      // events of an answer per token that its request allowed
	previous   gapWindow // the one before pace
}

// gapWindow is the times between events since start.
type gapWindow struct {
	events  int
	seconds float64 // sum of the times
	start   time.Time
}

// mean returns the mean time between events, in seconds; 0 if the window has too few or is too old to tell.
func (w *gapWindow) mean(least int, now time.Time) float64 {
	if w.events < least || now.Sub(w.start) >= retention {
		return 0
	}
	return w.seconds / float64(w.events)
}

// NewForecast returns a forecast for a route without answers so far.
func NewForecast() *Forecast {
	return &Forecast{events: newPeak(), firstEvent: newPeak(), perToken: newPeak()}
}

// RecordGap records that a stream had the given number of events within d after an earlier one.
func (f *Forecast) RecordGap(d time.Duration, events int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.pace.start) >= paceWindow {
		f.previous, f.pace = f.pace, gapWindow{start: now}
	}
	f.pace.events += events
	f.pace.seconds += d.Seconds()
}

// RecordEnd records a complete answer: the time to its first event, the number of its events and the tokens that its
// request allowed. An answer that is not streamed has no events, and first is its whole time.
func (f *Forecast) RecordEnd(first time.Duration, events int, tokens float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.firstEvent.observe(first.Seconds(), now)
	f.events.observe(float64(events), now)
	if tokens > 0 {
		f.perToken.observe(float64(events)/tokens, now)
	}
}

// Decide decides on a request that asks a process that stops to take it. While callers still open connections, others are
// harder to reach and the request is taken if it is expected to end in time. One that comes later, on a connection that was
// idle, is taken only if its time limit ends it: earlier answers are no bound for the length and the pace of the next one,
// and its caller can go elsewhere at once.
func (f *Forecast) Decide(w Work, stop Stop, now time.Time) Decision {
	d := Decision{Basis: BasisTimeLimit, Left: stop.End.Sub(now)}
	if !w.ExpiresAt.After(stop.End) {
		d.Admitted = true
		return d
	}
	if w.ReadAt.After(stop.AcceptUntil) {
		return d
	}
	d.Basis = BasisForecast
	var known bool
	d.Forecast, known = f.duration(w, now)
	d.Admitted = known && d.Forecast <= d.Left
	return d
}

// duration returns how long an answer may take. It is unknown until an answer has ended, or while its events have no pace.
func (f *Forecast) duration(w Work, now time.Time) (d time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first, known := f.firstEvent.value(now)
	if !known {
		return 0, false
	}
	events, _ := f.events.value(now)
	if ratio, ok := f.perToken.value(now); ok && w.Tokens > 0 {
		events = ratio * w.Tokens
	}
	if w.Likely > 0 {
		events = min(events, w.Likely)
	}
	gap := max(f.pace.mean(minEvents, now), f.previous.mean(1, now))
	if gap == 0 {
		gap = f.pace.mean(1, now)
	}
	if events > 1 && gap == 0 {
		return 0, false
	}
	seconds := min(safetyFactor*(first+max(0, events-1)*gap), maxDuration.Seconds())
	return time.Duration(seconds * float64(time.Second)), true
}

// noValue is that of a time in which a peak had none; observed ones are not negative.
const noValue = -1.0

// peak is the highest of the values observed within retention, or within a part of it that is half of it at least.
type peak struct {
	current  float64 // highest value since start
	previous float64 // highest value in the half of retention before start
	start    time.Time
}

func newPeak() peak { return peak{current: noValue, previous: noValue} }

func (p *peak) observe(v float64, now time.Time) {
	p.expire(now)
	p.current = max(p.current, v)
}

// value returns the highest value; ok is false if there is none.
func (p *peak) value(now time.Time) (v float64, ok bool) {
	p.expire(now)
	v = max(p.current, p.previous)
	return v, v != noValue
}

func (p *peak) expire(now time.Time) {
	switch age := now.Sub(p.start); {
	case age >= retention:
		p.previous, p.current, p.start = noValue, noValue, now
	case age >= retention/2:
		p.previous, p.current, p.start = p.current, noValue, p.start.Add(retention/2)
	}
}
