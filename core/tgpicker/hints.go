package tgpicker

import (
	"time"

	"tanagergrade/core/tgcatalog"
)

// maxPause bounds the pause that an upstream may ask for, so that a faulty one is not lost for ever.
const maxPause = time.Hour

// Hints are what an upstream says of itself in an answer.
type Hints struct {
	Leaving bool          // it takes no new work until it has started again
	Pause   time.Duration // for which it takes no work from this process; 0 if it asks for none
}

// Note records the hints of the answer to an attempt. It is called as soon as they are known, before Done.
func (c *Choice) Note(h Hints, now time.Time) {
	c.picker.mu.Lock()
	defer c.picker.mu.Unlock()
	c.state.leaving = c.state.leaving || h.Leaving
	if until := now.Add(min(h.Pause, maxPause)); h.Pause > 0 && until.After(c.state.pausedUntil) {
		c.state.pausedUntil = until
	}
}

// startIncarnation drops what an earlier incarnation of the upstream has said of itself, and how fast it was.
func (s *state) startIncarnation(started time.Time) {
	if started.After(s.started) {
		s.latency, s.leaving, s.pausedUntil, s.started = 0, false, time.Time{}, started
	}
}

// PauseLeft returns the time until the first of the candidates wants work again.
func (p *Picker) PauseLeft(candidates []tgcatalog.Upstream, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := maxPause
	for i := range candidates {
		s, ok := p.states[candidates[i].ID]
		if ok && !s.leaving && s.pausedUntil.After(now) {
			left = min(left, s.pausedUntil.Sub(now))
		}
	}
	return left
}
