package tggroupview

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against new streams that are sent to a group whose pass is held, because the leader froze while it changed the map:
// its engines neither answer nor refuse until the hold ends. And against a group that is given up although it runs: one of
// its streams is silent, or this process was stopped and has seen no events of any group.
func TestStalledGroup(t *testing.T) {
	const stallAfter = 300 * time.Millisecond
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		events  func(p *Progress) // after three streams began at 0, two of them in group a
		stalled bool              // group a
	}{
		"nothing":       {events: func(*Progress) {}},
		"otherGoesOn":   {events: func(p *Progress) { p.Event("b", at(350)) }, stalled: true},
		"otherAtFirst":  {events: func(p *Progress) { p.Event("b", at(250)) }},
		"oneGoesOn":     {events: func(p *Progress) { p.Event("a", at(300)); p.Event("b", at(350)) }},
		"resumes":       {events: func(p *Progress) { p.Event("b", at(900)); p.Event("a", at(950)) }},
		"oneLeft":       {events: func(p *Progress) { p.End("a"); p.Event("b", at(900)) }},
		"noneLeft":      {events: func(p *Progress) { p.End("a"); p.End("a"); p.Event("b", at(900)) }},
		"begunMeantime": {events: func(p *Progress) { p.Event("b", at(300)); p.Begin("a", stallAfter, at(320)); p.Event("b", at(400)) }},
		"stopped":       {events: func(p *Progress) { p.Event("a", at(5000)); p.Event("b", at(5001)) }},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewProgress()
			p.Begin("a", stallAfter, at(0))
			p.Begin("a", stallAfter, at(0))
			p.Begin("b", stallAfter, at(0))
			c.events(p)
			assert.Equal(t, p.Stalled("a"), c.stalled)
			assert.Assert(t, !p.Stalled("b"))
		})
	}
}

// Guards against a limit of concurrent streams that falls after a stall, since the pauses that it caused look like too
// much load.
func TestPausesOfStall(t *testing.T) {
	p := NewProgress()
	for range 2 {
		p.Begin("a", 300*time.Millisecond, epoch)
	}
	p.Begin("b", 300*time.Millisecond, epoch)
	assert.Assert(t, !p.StalledSince("a", epoch))
	p.Event("b", epoch.Add(time.Second))
	assert.Assert(t, p.StalledSince("a", epoch))
	p.Event("a", epoch.Add(1100*time.Millisecond))
	assert.Assert(t, p.StalledSince("a", epoch), "the other stream had its last event before the stall")
	assert.Assert(t, !p.StalledSince("a", epoch.Add(1200*time.Millisecond)))
	assert.Assert(t, !p.StalledSince("b", epoch))
}
