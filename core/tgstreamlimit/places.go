package tgstreamlimit

import (
	"math"
	"time"
)

// Places is what a limiter has room for, now and soon.
type Places struct {
	InFlight  int // streams of this process
	Limit     float64
	PeakGap   time.Duration
	PerSecond float64 // rate at which places become free: streams end, and the limit grows or falls
	Room      float64 // free places, negative if the limit has fallen below the streams in flight
}

// Places returns what the limiter has room for.
func (l *Limiter) Places() Places {
	l.mu.Lock()
	defer l.mu.Unlock()
	room := min(l.limit-float64(l.inFlight-l.beyond), l.onTimeStreams()-float64(l.inFlight))
	if l.bounds.FreeSlots > 0 {
		room = min(room, l.bounds.FreeSlots-float64(l.inFlight))
	}
	streams := l.limit // of a pool that is busy, as it is when streams wait
	if l.bounds.FreeSlots > 0 {
		streams = min(streams, l.bounds.FreeSlots)
	}
	ending := max(1, streams, float64(l.inFlight)) / max(l.streamTime, minStreamTime)
	return Places{
		InFlight: l.inFlight, Limit: l.limit, PeakGap: time.Duration(l.peakGap * float64(time.Second)),
		PerSecond: max(minEndingFraction*ending, ending+l.growth), Room: room,
	}
}

const (
	minEndingFraction = 0.25 // of the streams that end, leave a place even while the limit falls
	minStreamTime     = 0.01 // seconds; keeps the rate of places finite
)

// RecordArrival counts a stream that TryAdmit may admit later, and moves the limit if it is time to.
func (l *Limiter) RecordArrival(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals++
	l.updateLimit(now)
}

// TryAdmit admits a stream for which RecordArrival was called, or returns nil if there is no room for it. Its user
// decides who goes first, so nothing is reserved for higher priorities. With beyond set, a stream may use one of the
// Spare places beyond the limit as long as passes are on time: the limit also allows for longer ones to come. Such streams
// leave the limit to the others, so that they cannot keep new ones out.
func (l *Limiter) TryAdmit(beyond bool, now time.Time) *Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &Ticket{limiter: l, start: now}
	switch n := float64(l.inFlight + 1); {
	case l.inFlight == 0:
	case l.bounds.FreeSlots > 0 && n > l.bounds.FreeSlots:
		l.limitReached = true
		return nil
	case n > l.onTimeStreams():
		return nil
	case n-float64(l.beyond) > l.limit:
		l.limitReached = true
		if !beyond || float64(l.beyond+1) > l.bounds.Spare {
			return nil
		}
		t.beyond = true
		l.beyond++
	}
	l.inFlight++
	return t
}

// onTimeStreams returns the streams with which passes are on time, by the last decision and the cost model. The limit
// follows the passes with a delay, in which many streams that wait would start.
func (l *Limiter) onTimeStreams() float64 {
	if l.peakGap <= 0 {
		return math.Inf(1)
	}
	fixed := l.bounds.fixedCost()
	longest := maxGapFraction * l.bounds.GapTarget.Seconds()
	return max(l.bounds.Min, (fixed+l.observed)*longest/l.peakGap-fixed)
}

// IsBeyondLimit reports whether the stream uses a place beyond the limit.
func (t *Ticket) IsBeyondLimit() bool { return t.beyond }
