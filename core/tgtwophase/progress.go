package tgtwophase

import "time"

// Verdict is the assessment of a group by the progress of its ranks.
type Verdict string

// Verdicts about a group.
const (
	VerdictLost    Verdict = "lost"    // some ranks cannot be reached or hold the others back
	VerdictRunning Verdict = "running" // the ranks enter steps, or too little time has passed to tell
	VerdictStalled Verdict = "stalled" // no rank enters a step and none is behind the others
)

// StallDetector detects stalled and lost ranks by the steps that they report.
type StallDetector struct {
	ranks   []rankProgress
	timeout time.Duration
}

type rankProgress struct {
	lastAdvance time.Time // when next last changed
	lastRead    time.Time // when the rank's state was last read
	next        uint64    // step that the rank enters next
	observed    bool      // next is known
}

// NewStallDetector returns the detector for n ranks; a group without a step for longer than timeout has stalled.
func NewStallDetector(n int, timeout time.Duration) *StallDetector {
	p := &StallDetector{ranks: make([]rankProgress, n), timeout: timeout}
	p.Reset()
	return p
}

// Reset restarts the time-outs of all ranks, as after a formation.
func (p *StallDetector) Reset() {
	now := time.Now()
	for i := range p.ranks {
		p.ranks[i] = rankProgress{lastAdvance: now, lastRead: now}
	}
}

// Observe records the next step that rank i reported.
func (p *StallDetector) Observe(i int, next uint64) {
	r := &p.ranks[i]
	r.lastRead = time.Now()
	if !r.observed || next != r.next {
		r.lastAdvance, r.next, r.observed = r.lastRead, next, true
	}
}

// Unreachable returns the members whose state has not been read for longer than the time-out.
func (p *StallDetector) Unreachable(members uint64) uint64 {
	lost := uint64(0)
	for i, r := range p.ranks {
		if members&(1<<uint(i)) != 0 && time.Since(r.lastRead) > p.timeout {
			lost |= 1 << uint(i)
		}
	}
	return lost
}

// Verdict assesses the members and returns those that are lost. In lock-step one stalled rank stops all others one step
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
