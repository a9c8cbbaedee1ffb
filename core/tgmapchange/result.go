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
	case Arm:
		s.handleArm(p, r)
	case Disarm:
		s.handleDisarm(p, r)
	case Release:
		s.handleRelease(o, r, now)
	}
}

func (s *Switch) handlePrepare(p *rankProgress, o Order, r Result) {
	if s.phase == PhaseAborting && o.Version == s.RollbackVersion() {
		p.replaced = r == ResultDone
		p.done = r != ResultRefused // a refusal may mean that the late order has armed the rank: it is disarmed again
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

func (s *Switch) handleArm(p *rankProgress, r Result) {
	switch {
	case r == ResultUnknown:
		p.armUnknown = true
	case s.phase != PhaseArming:
	case r == ResultDone:
		p.done = true
	case r == ResultRefused:
		// An earlier order of this change may have taken effect; the next report of the rank shows it.
	}
}

func (s *Switch) handleDisarm(p *rankProgress, r Result) {
	// A rank refuses to disarm only the map in use, and the pass that would use this one is held.
	p.done = r == ResultDone || r == ResultRefused
}

func (s *Switch) handleRelease(o Order, r Result, now time.Time) {
	if s.phase != PhaseReleasing || o.Rank != s.holder || r == ResultUnknown {
		return
	}
	s.phase, s.releasedAt = PhaseSettling, now
	if s.failed {
		s.phase = PhaseFailed
	}
}
