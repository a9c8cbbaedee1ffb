package tgstreamlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// admitAll admits streams until there is no room, at most 100.
func (l *Limiter) admitAll(beyond bool, now time.Time) (tickets []*Ticket) {
	for len(tickets) < 100 {
		t := l.TryAdmit(beyond, now)
		if t == nil {
			break
		}
		tickets = append(tickets, t)
	}
	return tickets
}

// Guards against returning callers who keep all new ones out of the limit, and against streams without an engine slot.
func TestPlacesBeyondLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimiter(10, Bounds{FreeSlots: 18, GapTarget: 100 * time.Millisecond, Max: 40, Min: 4, Spare: 5}, nil)
	assert.Equal(t, len(l.admitAll(false, now)), 10)
	beyond := l.admitAll(true, now)
	assert.Equal(t, len(beyond), 5)
	assert.Equal(t, l.Places().Room, 0.0)
	l.SetBounds(Bounds{FreeSlots: 12, GapTarget: 100 * time.Millisecond, Max: 40, Min: 4, Spare: 50})
	assert.Equal(t, l.Places().Room, -3.0)
	assert.Equal(t, len(l.admitAll(true, now)), 0)
	for _, ticket := range beyond {
		ticket.Done(now)
	}
	assert.Equal(t, len(l.admitAll(true, now)), 2)
}

// Guards against streams that start in one moment, before the limit has seen that they make the passes too long.
func TestPlacesKeepPassesOnTime(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimiter(10, Bounds{FixedCost: 10, GapTarget: 100 * time.Millisecond, Max: 80, Min: 4, Spare: 50}, nil)
	tickets := l.admitAll(false, now)
	for range minGapsPerDecision {
		l.ObserveGap(60*time.Millisecond, now)
	}
	// Passes of 60 ms with a fixed cost of 10 and 10 streams: 90 ms with 20 streams.
	assert.Equal(t, len(tickets)+len(l.admitAll(true, now)), 20)
}
