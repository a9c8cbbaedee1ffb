package tgswitch

import "time"

// HandleResult takes the result of an order.
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
		p.done = r != ResultRefused // the late order may have armed the rank meanwhile
		return
	}
	if s.phase != PhasePreparing {
		return
	}
	switch r {
	case ResultDone:
		p.done = true
	case ResultRefused:
		// After an order without an answer it may mean that the rank has the map already; its report tells.
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
		s.step = 0 // the pass has begun, or an earlier hold is in force
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
		// It may be an earlier order of this change that took effect: the report tells when it comes.
	}
}

func (s *Switch) handleDisarm(p *rankProgress, r Result) {
	// A rank refuses only to disarm the map in use, and the pass is held.
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
