package tgpace

import (
	"math"
	"time"
)

const (
	// Demand for experts that changes every few seconds makes passes long for a moment each time. Several such changes
	// have to be remembered for the limit to allow for the next one.
	forecastMemory = 10 * time.Second
	forecastLeast  = time.Second            // of passes, before they say how often long ones come
	longestWindow  = 400 * time.Millisecond // a longer time without passes tells nothing of the load
	// Engines that are slow make most passes long, and for longer than a change of the demand does.
	slowWindows      = 8
	slowWindowsLeast = 6
	lateValue        = 0.25 // of a stream with a pause that is too long, where one on time is worth 1
	limitStep        = 1.05 // between the limits that are compared
	longestStayPart  = 0.5  // of the time that a stream has; a stream that takes longer may not end at all
)

// window is a short time in which passes were observed.
type window struct {
	gap    float64 // seconds, longest pause between events
	length time.Duration
	load   float64 // streams of this process
}

// offer is the load that callers offer to this process.
type offer struct {
	load float64 // streams while stay was observed
	rate float64 // streams that arrive in a second, refused ones included
	stay float64 // seconds that a stream takes
}

// forecast predicts how streams would fare under another limit: it replays the pauses of the last seconds, scaled to
// that limit.
type forecast struct {
	windows []window // oldest first
}

// observe takes a window and forgets those that are too old. The memory does not fade while nothing runs: the load that
// comes back after an outage meets the same changes of the demand.
func (f *forecast) observe(w window) {
	w.length = min(w.length, longestWindow)
	f.windows = append(f.windows, w)
	known := time.Duration(0)
	for i := len(f.windows) - 1; i >= 0; i-- {
		if known += f.windows[i].length; known > forecastMemory {
			f.windows = f.windows[i+1:]
			return
		}
	}
}

// best returns the limit that the windows speak for; ok is false if there are too few. While the engines are slow for
// long, the latest windows may speak for a lower limit than all of them.
func (f *forecast) best(o offer, b Bounds) (limit float64, ok bool) {
	length := time.Duration(0)
	for _, w := range f.windows {
		length += w.length
	}
	if length < forecastLeast {
		return 0, false
	}
	limit = bestLimit(f.windows, o, b)
	recent := f.windows[max(0, len(f.windows)-slowWindows):]
	long := 0
	for _, w := range recent {
		if w.gap > maxGapFraction*b.GapTarget.Seconds() {
			long++
		}
	}
	if long >= slowWindowsLeast {
		limit = min(limit, bestLimit(recent, o, b))
	}
	return limit, true
}

// bestLimit returns the limit under which the streams served in a second are worth most; of equal ones it is the
// highest.
func bestLimit(windows []window, o offer, b Bounds) float64 {
	best, bestValue := b.Min, 0.0
	for limit := max(b.Min, 1); limit < b.Max*limitStep; limit *= limitStep {
		if v := value(windows, min(limit, b.Max), o, b); v >= bestValue {
			best, bestValue = min(limit, b.Max), v
		}
	}
	return best
}

// value returns the worth of the streams served in a second under a limit.
func value(windows []window, limit float64, o offer, b Bounds) float64 {
	stay := o.stay * scale(min(limit, o.natural(b)), o.load, b)
	if b.MaxStreamTime > 0 && stay > longestStayPart*b.MaxStreamTime.Seconds() {
		return 0
	}
	served := o.rate * (1 - refusedShare(o.rate*stay, limit))
	load := served * stay
	return served * (1 - (1-lateValue)*lateShare(windows, load, stay, b))
}

// refusedShare returns the part of the streams that meet a full limit when they arrive at random (the Erlang B formula):
// a limit just above the mean load refuses many, although it would hold them if they arrived evenly.
func refusedShare(offered, limit float64) float64 {
	refused := 1.0
	for n := 1.0; n <= limit; n++ {
		refused = offered * refused / (n + offered*refused)
	}
	return refused
}

// natural returns how many streams would run at once without a limit.
func (o offer) natural(b Bounds) float64 {
	perStream := o.rate * o.stay / (b.fixed() + o.load)
	if perStream >= 1 {
		return math.Inf(1)
	}
	return perStream * b.fixed() / (1 - perStream)
}

// fixed returns Fixed, at least one stream: a configuration may not tell the engines' times.
func (b Bounds) fixed() float64 { return max(b.FixedCost, 1) }

// scale returns how many times as long a pass takes with one load as with another.
func scale(load, observed float64, b Bounds) float64 {
	return (b.fixed() + load) / (b.fixed() + observed)
}

// lateShare returns the part of the streams that would see a pause that is too long: those that begin less than their
// stay before such a pause ends.
func lateShare(windows []window, load, stay float64, b Bounds) float64 {
	bound := maxGapFraction * b.GapTarget.Seconds()
	at, late, covered := 0.0, 0.0, 0.0
	for _, w := range windows {
		begin := at
		at += w.length.Seconds()
		if w.gap*scale(load, w.load, b) <= bound {
			continue
		}
		late += at - max(covered, begin-stay)
		covered = at
	}
	return late / at
}
