package tgstreamlimit

import (
	"math"
	"time"
)

const (
	// When the demand for experts shifts, passes are long for a moment, and it may shift every few seconds. The horizon
	// covers several such shifts, so that the limit allows for the next one.
	forecastHorizon = 10 * time.Second
	minForecastTime = time.Second            // time that the windows must cover before they show how often long passes occur
	maxWindow       = 400 * time.Millisecond // cap of one window: a longer time without passes says nothing about the load
	// Slow engines make most passes long, and for longer than a shift of demand does: at least minSlowWindows of the last
	// recentWindows exceed the gap target.
	recentWindows         = 8
	minSlowWindows        = 6
	lateStreamValue       = 0.25 // value of a stream with a late event, relative to 1 for one on time
	limitStepFactor       = 1.05 // ratio of successive candidate limits
	maxStreamTimeFraction = 0.5  // of MaxStreamTime; streams expected to take longer may not finish at all
)

// window is a short interval in which passes were observed.
type window struct {
	gap      float64 // peak gap between events, in seconds
	duration time.Duration
	streams  float64 // streams of this process in flight
}

// demand is the load that callers offer to this process.
type demand struct {
	arrivalRate float64 // arrivals per second, refused ones included
	streams     float64 // mean streams in flight while streamTime was observed
	streamTime  float64 // duration of a stream in seconds
}

// forecast predicts how many streams would be served on time under another limit: it replays the gaps observed within
// forecastHorizon, scaled to the load under that limit.
type forecast struct {
	windows []window // oldest first
}

// observe adds a window and drops those beyond forecastHorizon. Time without passes counts for at most maxWindow, so an
// outage does not expire older windows: the load that returns afterwards meets the same shifts of demand.
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

// best returns the limit with the highest predicted goodput; ok is false if the windows cover less than minForecastTime.
// While engines stay slow, the limit is also bounded by the prediction from the recent windows alone.
func (f *forecast) best(d demand, b Bounds) (limit float64, ok bool) {
	covered := time.Duration(0)
	for _, w := range f.windows {
		covered += w.duration
	}
	if covered < minForecastTime {
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

// bestLimit returns the limit with the highest predicted goodput, and the highest of them in a tie.
func bestLimit(windows []window, d demand, b Bounds) float64 {
	best, bestValue := b.Min, 0.0
	for limit := max(b.Min, 1); limit < b.Max*limitStepFactor; limit *= limitStepFactor {
		if v := goodput(windows, min(limit, b.Max), d, b); v >= bestValue {
			best, bestValue = min(limit, b.Max), v
		}
	}
	return best
}

// goodput returns the predicted value of the streams served per second under limit: 1 for a stream on time and
// lateStreamValue for a late one.
func goodput(windows []window, limit float64, d demand, b Bounds) float64 {
	streamTime := d.streamTime * passTimeRatio(min(limit, d.unlimitedStreams(b)), d.streams, b)
	if b.MaxStreamTime > 0 && streamTime > maxStreamTimeFraction*b.MaxStreamTime.Seconds() {
		return 0
	}
	served := d.arrivalRate * (1 - blockingProbability(d.arrivalRate*streamTime, limit))
	load := served * streamTime
	return served * (1 - (1-lateStreamValue)*lateFraction(windows, load, streamTime, b))
}

// blockingProbability returns the share of streams that arrive while the limit is reached, for random arrivals (the
// Erlang B formula). A limit just above the mean load refuses many streams, although it would admit all of them if they
// arrived evenly.
func blockingProbability(offeredLoad, limit float64) float64 {
	refused := 1.0
	for n := 1.0; n <= limit; n++ {
		refused = offeredLoad * refused / (n + offeredLoad*refused)
	}
	return refused
}

// unlimitedStreams returns the mean number of concurrent streams without a limit; it is infinite if arrivals outpace
// the engines at any load.
func (d demand) unlimitedStreams(b Bounds) float64 {
	growth := d.arrivalRate * d.streamTime / (b.fixedCost() + d.streams) // streams in flight per unit of pass time
	if growth >= 1 {
		return math.Inf(1)
	}
	return growth * b.fixedCost() / (1 - growth)
}

// fixedCost returns FixedCost, at least one stream, since the configuration may not state the engines' pass times.
func (b Bounds) fixedCost() float64 { return max(b.FixedCost, 1) }

// passTimeRatio returns the time of a pass under load relative to its time under the observed load.
func passTimeRatio(load, observed float64, b Bounds) float64 {
	return (b.fixedCost() + load) / (b.fixedCost() + observed)
}

// lateFraction returns the share of streams that would see a gap beyond the target: those that begin less than
// streamTime before the start of such a gap, or during it.
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
