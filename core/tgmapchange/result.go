package tgmapchange

import "time"

// HandleResult records the result of an order. Results that arrive after the change has ended, or for other changes,
// are ignored.
func (s *Switch) HandleResult(o Order, r Result, now time.Time) {
	if s.Ended() || o.Version != s.version && o.Version != s.RollbackVersion() {
		return
	}
	p := &s.ranks[o.Rank]
	p.pending, p.sentAt = false, now
	if r == ResultFenced {
		s.fail("fenced", PhaseLost)
		return
	}
	s.sawUnknownResult = s.sawUnknownResult || r == ResultUnknown
	switch o.Operation {
	case Prepare:
		s.handlePrepare(p, o, r)
	case Hold:
		s.handleHold(o, r)
	case Arm: // the next report of the rank shows it, also if an earlier order has taken effect
		p.done = r == ResultDone && s.phase == PhaseArming
	case Disarm: // a rank refuses to disarm only the map in use, and the pass that would use this one is held
		p.done = r != ResultUnknown && s.phase == PhaseAborting
	case Release:
		p.done = r != ResultUnknown && s.phase == PhaseReleasing
	}
}

func (s *Switch) handlePrepare(p *rankProgress, o Order, r Result) {
	if o.Version == s.RollbackVersion() {
		p.replaced = r == ResultDone
		p.done = p.done && r != ResultRefused // the late order may have armed the rank: it is disarmed again
		return
	}
	if s.phase != PhasePreparing {
		return
	}
	switch r {
	case ResultDone:
		p.done = true
	case ResultRefused:
		// After an order without an answer, the rank may refuse because it has the map already; its report shows it.
		if !p.prepareUnknown {
			s.fail("prepareRefused", PhaseFailed)
		}
	case ResultUnknown:
		p.prepareUnknown = true
	case ResultFenced:
	}
}

func (s *Switch) handleHold(o Order, r Result) {
	switch {
	case s.phase != PhaseHolding || o.Step != s.step:
	case r == ResultDone:
		s.ranks[o.Rank].done = true
	case r == ResultRefused:
		s.step = 0 // the pass has begun or an earlier hold still applies; hold selects another pass
	}
}
