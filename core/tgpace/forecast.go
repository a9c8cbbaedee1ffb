package tgpace

import (
	"math"
	"time"
)

const (
	// Demand for experts that changes every few seconds makes passes long for a moment each time. Several such changes
	// have to be remembered for the limit to allow for the next one.
	forecastHorizon = 10 * time.Second
	minForecastTime = time.Second            // of passes, before they say how often long ones come
	maxWindow       = 400 * time.Millisecond // a longer time without passes tells nothing of the load
	// Engines that are slow make most passes long, and for longer than a change of the demand does.
	recentWindows         = 8
	minSlowWindows        = 6
	lateStreamValue       = 0.25 // of a stream with a pause that is too long, where one on time is worth 1
	limitStepFactor       = 1.05 // between the limits that are compared
	maxStreamTimeFraction = 0.5  // of the time that a stream has; a stream that takes longer may not end at all
)

// window is a short time in which passes were observed.
type window struct {
	gap      float64 // seconds, longest pause between events
	duration time.Duration
	streams  float64 // streams of this process
}

// demand is the load that callers offer to this process.
type demand struct {
	streams     float64 // streams while streamTime was observed
	arrivalRate float64 // streams that arrive in a second, refused ones included
	streamTime  float64 // seconds that a stream takes
}

// forecast predicts how streams would fare under another limit: it replays the pauses of the last seconds, scaled to
// that limit.
type forecast struct {
	windows []window // oldest first
}

// observe takes a window and forgets those that are too old. The memory does not fade while nothing runs: the load that
// comes back after an outage meets the same changes of the demand.
func (f *forecast) observe(w window) {
	w.duration = min(w.duration, maxWindow)
	f.windows = append(f.windows, w)
	known := time.Duration(0)
	for i := len(f.windows) - 1; i >= 0; i-- {
		if known += f.windows[i].duration; known > forecastHorizon {
			f.windows = f.windows[i+1:]
			return
		}
	}
}

// best returns the limit that the windows speak for; ok is false if there are too few. While the engines are slow for
// long, the latest windows may speak for a lower limit than all of them.
func (f *forecast) best(d demand, b Bounds) (limit float64, ok bool) {
	length := time.Duration(0)
	for _, w := range f.windows {
		length += w.duration
	}
	if length < minForecastTime {
		return 0, false
	}
	limit = bestLimit(f.windows, d, b)
	recent := f.windows[max(0, len(f.windows)-recentWindows):]
	slow := 0
	for _, w := range recent {
		if w.gap > maxGapFraction*b.GapTarget.Seconds() {
			slow++
		}
	}
	if slow >= minSlowWindows {
		limit = min(limit, bestLimit(recent, d, b))
	}
	return limit, true
}

// bestLimit returns the limit under which the streams served in a second are worth most; of equal ones it is the
// highest.
func bestLimit(windows []window, d demand, b Bounds) float64 {
	best, bestValue := b.Min, 0.0
	for limit := max(b.Min, 1); limit < b.Max*limitStepFactor; limit *= limitStepFactor {
		if v := goodput(windows, min(limit, b.Max), d, b); v >= bestValue {
			best, bestValue = min(limit, b.Max), v
		}
	}
	return best
}

// goodput returns the worth of the streams served in a second under a limit.
func goodput(windows []window, limit float64, d demand, b Bounds) float64 {
	streamTime := d.streamTime * passTimeRatio(min(limit, d.unlimitedStreams(b)), d.streams, b)
	if b.MaxStreamTime > 0 && streamTime > maxStreamTimeFraction*b.MaxStreamTime.Seconds() {
		return 0
	}
	served := d.arrivalRate * (1 - blockingProbability(d.arrivalRate*streamTime, limit))
	load := served * streamTime
	return served * (1 - (1-lateStreamValue)*lateFraction(windows, load, streamTime, b))
}

// blockingProbability returns the part of the streams that meet a full limit when they arrive at random (the Erlang B formula):
// a limit just above the mean load refuses many, although it would hold them if they arrived evenly.
func blockingProbability(offeredLoad, limit float64) float64 {
	refused := 1.0
	for n := 1.0; n <= limit; n++ {
		refused = offeredLoad * refused / (n + offeredLoad*refused)
	}
	return refused
}

// unlimitedStreams returns how many streams would run at once without a limit.
func (d demand) unlimitedStreams(b Bounds) float64 {
	growth := d.arrivalRate * d.streamTime / (b.fixedCost() + d.streams)
	if growth >= 1 {
		return math.Inf(1)
	}
	return growth * b.fixedCost() / (1 - growth)
}

// fixedCost returns Fixed, at least one stream: a configuration may not tell the engines' times.
func (b Bounds) fixedCost() float64 { return max(b.FixedCost, 1) }

// passTimeRatio returns how many times as long a pass takes with one load as with another.
func passTimeRatio(load, observed float64, b Bounds) float64 {
	return (b.fixedCost() + load) / (b.fixedCost() + observed)
}

// lateFraction returns the part of the streams that would see a pause that is too long: those that begin less than their
// streamTime before such a pause ends.
func lateFraction(windows []window, load, streamTime float64, b Bounds) float64 {
	bound := maxGapFraction * b.GapTarget.Seconds()
	at, late, covered := 0.0, 0.0, 0.0
	for _, w := range windows {
		begin := at
		at += w.duration.Seconds()
		if w.gap*passTimeRatio(load, w.streams, b) <= bound {
			continue
		}
		late += at - max(covered, begin-streamTime)
		covered = at
	}
	return late / at
}
