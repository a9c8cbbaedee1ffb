package tgstep

import "time"

// Verdict is what the progress of a group says about its ranks.
type Verdict string

// Verdicts.
const (
	VerdictLost    Verdict = "lost"    // some ranks cannot be reached or hold the others back
	VerdictRunning Verdict = "running" // steps are made, or not enough time has passed to tell
	VerdictStalled Verdict = "stalled" // no step is made and no single rank is behind
)

// StallDetector detects stalled and lost ranks from their steps.
type StallDetector struct {
	ranks   []rankProgress
	timeout time.Duration
}

type rankProgress struct {
	lastAdvance time.Time // last change of next
	lastRead    time.Time // last state read
	next        uint64
	observed    bool
}

// NewStallDetector returns the detector for n ranks; limit is the time without a step that counts as a stall.
func NewStallDetector(n int, timeout time.Duration) *StallDetector {
	p := &StallDetector{ranks: make([]rankProgress, n), timeout: timeout}
	p.Reset()
	return p
}

// Reset starts the time anew for all ranks, as after a formation.
func (p *StallDetector) Reset() {
	now := time.Now()
	for i := range p.ranks {
		p.ranks[i] = rankProgress{lastAdvance: now, lastRead: now}
	}
}

// Observe takes the next step of rank i.
func (p *StallDetector) Observe(i int, next uint64) {
	r := &p.ranks[i]
	r.lastRead = time.Now()
	if !r.observed || next != r.next {
		r.lastAdvance, r.next, r.observed = r.lastRead, next, true
	}
}

// Unreachable returns the members that have not been heard of for the limit.
func (p *StallDetector) Unreachable(members uint64) uint64 {
	lost := uint64(0)
	for i, r := range p.ranks {
		if members&(1<<uint(i)) != 0 && time.Since(r.lastRead) > p.timeout {
			lost |= 1 << uint(i)
		}
	}
	return lost
}

// Verdict judges the members and returns those that are lost. In lock-step one stalled rank stops all others one step
// later, so among stopped ranks those with the lowest step are the cause.
func (p *StallDetector) Verdict(members uint64) (verdict Verdict, lost uint64) {
	if lost = p.Unreachable(members); lost != 0 {
		return VerdictLost, lost
	}
	lowest, highest := ^uint64(0), uint64(0)
	for i, r := range p.ranks {
		if members&(1<<uint(i)) == 0 {
			continue
		}
		if time.Since(r.lastAdvance) <= p.timeout {
			return VerdictRunning, 0
		}
		lowest, highest = min(lowest, r.next), max(highest, r.next)
	}
	if lowest == highest {
		return VerdictStalled, 0
	}
	for i, r := range p.ranks {
		if members&(1<<uint(i)) != 0 && r.next == lowest {
			lost |= 1 << uint(i)
		}
	}
	return VerdictLost, lost
}
