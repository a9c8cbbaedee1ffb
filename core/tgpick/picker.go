// Package tgpick chooses the upstream of an attempt by the load that this process put on each, by what its answers
// showed, and by the rate that a cold upstream bears.
package tgpick

import (
	"math/rand/v2"
	"sync"
	"time"

	"tanagergrade/core/tgcatalog"
)

const (
	shortestBackoff = 500 * time.Millisecond
	longestBackoff  = 4 * time.Second
	failureMemory   = 0.8              // weight of the past in the share of failed attempts
	failureShareMax = 0.3              // an upstream that fails more of its attempts is left out for a while
	failuresMin     = 2                // in a row, or the share above, before an upstream that answers is left out
	goneFor         = 10 * time.Second // an upstream whose address another one has does not return
	forgetAfter     = 30 * time.Second
	latencyMemory   = 0.9  // weight of the past in the latency
	slowPace        = 1.5  // an upstream that takes so many times as long as usual is avoided
	slowHandicap    = 4    // load that counts on top for it
	failureHandicap = 4    // load that counts on top for an upstream that failed all its attempts
	localGain       = 0.35 // load by which an upstream in another data centre has to be lower
	slowShare       = 3.0  // latency over that of the fastest upstream that counts fully
)

// Outcome is what an attempt showed of its upstream.
type Outcome string

// Outcomes of attempts.
const (
	OutcomeAnswered  Outcome = "answered"
	OutcomeFailed    Outcome = "broken"    // answered with an error of its own, or the answer was spoilt
	OutcomeCancelled Outcome = "cancelled" // nothing is known
	OutcomeFull      Outcome = "full"      // it refused because it is full
	OutcomeReplaced  Outcome = "gone"      // another incarnation has its address
	OutcomeLost      Outcome = "lost"      // it could not be reached or broke off
)

// Reason says why no upstream was chosen.
type Reason string

// Reasons.
const (
	ReasonCold      Reason = "cold"      // all that are left had what a cold upstream bears
	ReasonNone      Reason = "none"      // none is registered, ready and in a data centre that takes work
	ReasonUnhealthy Reason = "unhealthy" // all that are left failed lately
)

// Request describes an attempt.
type Request struct {
	ColdRate float64                             // requests per second that this process may send to one upstream; 0 if not bounded
	Slowdown func(u *tgcatalog.Upstream) float64 // times as long as usual that an upstream takes; nil if none is slow
	Tried    map[string]bool                     // upstreams that had the request before
	Work     float64                             // load that the request adds; 1 for an average one
}

// Choice is an upstream that was chosen; Done ends it.
type Choice struct {
	Load     float64 // on the upstream, before this attempt
	Upstream tgcatalog.Upstream

	picker *Picker
	sent   time.Time
	state  *state
	work   float64
}

type state struct {
	backoff  time.Duration
	failures float64 // share of the last attempts that failed
	answers  bool    // it answered when it was left out last, with an error of its own
	inRow    int     // failures without an answer between them
	latency  float64 // seconds, smoothed; 0 if not known
	load     float64
	out      time.Time // left out until then
	pending  int
	tokens   float64 // that the upstream still bears in this second
	tokensAt time.Time
	used     time.Time
}

// Picker chooses upstreams. It is safe for concurrent use.
type Picker struct {
	local  string
	mu     sync.Mutex
	rand   func() float64
	states map[string]*state // by upstream ID
	swept  time.Time
}

// Option changes a Picker.
type Option func(*Picker)

// WithRand sets the source of random numbers in [0,1).
func WithRand(f func() float64) Option { return func(p *Picker) { p.rand = f } }

// NewPicker returns a picker for a process in the data centre local.
func NewPicker(local string, options ...Option) *Picker {
	p := &Picker{local: local, rand: rand.Float64, states: map[string]*state{}}
	for _, o := range options {
		o(p)
	}
	return p
}

// Pick chooses the upstream with the least load among the candidates that may take the request. If all of them are left
// out, one that answers, although with errors, is better than a refusal.
func (p *Picker) Pick(candidates []tgcatalog.Upstream, r Request, now time.Time) (*Choice, Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	reason := ReasonNone
	fastest := p.fastest(candidates)
	best, bestScore := -1, 0.0
	last, lastScore := -1, 0.0 // of those that are left out
	for i := range candidates {
		u := &candidates[i]
		if r.Tried[u.ID] {
			continue
		}
		s := p.state(u.ID, now)
		out := now.Before(s.out)
		switch {
		case out && !s.answers:
			if reason == ReasonNone {
				reason = ReasonUnhealthy
			}
			continue
		case !s.bears(r.ColdRate, now):
			reason = ReasonCold
			continue
		}
		score := p.score(u, s, r.Work, fastest)
		if r.Slowdown != nil {
			score = slowed(score, r.Slowdown(u))
		}
		if out {
			score += failureHandicap * s.failures
			if last < 0 || score < lastScore {
				last, lastScore = i, score
			}
			continue
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		best = last
	}
	if best < 0 {
		return nil, reason
	}
	u := candidates[best]
	s := p.states[u.ID]
	c := &Choice{Load: s.load, Upstream: u, picker: p, sent: now, state: s, work: r.Work}
	s.load += r.Work
	s.pending++
	s.tokens--
	return c, ""
}

// score is the load of an upstream after the request, longer for one that is slow or in another data centre.
func (p *Picker) score(u *tgcatalog.Upstream, s *state, work, fastest float64) float64 {
	score := s.load + work
	if s.latency > 0 && fastest > 0 {
		score *= max(1, s.latency/fastest/slowShare)
	}
	if u.DataCentre != p.local {
		score += localGain
	}
	return score + 0.1*p.rand()
}

// slowed returns the score of an upstream that is slow. All ranks of a group wait for its own part of each pass, so that it
// gets new work only when all others have far more.
func slowed(score, pace float64) float64 {
	if pace < slowPace {
		return score
	}
	return pace * (score + slowHandicap)
}

func (p *Picker) fastest(candidates []tgcatalog.Upstream) float64 {
	fastest := 0.0
	for i := range candidates {
		s, ok := p.states[candidates[i].ID]
		if ok && s.latency > 0 && (fastest == 0 || s.latency < fastest) {
			fastest = s.latency
		}
	}
	return fastest
}

func (p *Picker) state(id string, now time.Time) *state {
	s, ok := p.states[id]
	if !ok {
		s = &state{}
		p.states[id] = s
	}
	s.used = now
	return s
}

// bears refills the bucket of an upstream and reports whether it holds a request.
func (s *state) bears(rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	if s.tokensAt.IsZero() {
		s.tokens = max(1, rate/4)
	} else {
		s.tokens = min(s.tokens+rate*now.Sub(s.tokensAt).Seconds(), max(1, rate/4))
	}
	s.tokensAt = now
	return s.tokens >= 1
}

// sweep forgets upstreams that are not offered any more.
func (p *Picker) sweep(now time.Time) {
	if now.Sub(p.swept) < forgetAfter {
		return
	}
	p.swept = now
	for id, s := range p.states {
		if s.pending == 0 && now.Sub(s.used) > forgetAfter {
			delete(p.states, id)
		}
	}
}

// Done ends the attempt with what it showed; latency is the time to the first byte of an answer.
func (c *Choice) Done(o Outcome, latency time.Duration, now time.Time) {
	p, s := c.picker, c.state
	p.mu.Lock()
	defer p.mu.Unlock()
	s.load = max(0, s.load-c.work)
	s.pending--
	switch o {
	case OutcomeAnswered:
		s.failures *= failureMemory
		s.inRow = 0
		s.backoff = 0
		if s.latency == 0 {
			s.latency = latency.Seconds()
		}
		s.latency = latencyMemory*s.latency + (1-latencyMemory)*latency.Seconds()
	case OutcomeFailed, OutcomeLost:
		s.failures = failureMemory*s.failures + 1 - failureMemory
		s.inRow++
		if o == OutcomeLost && latency == 0 || s.inRow >= failuresMin || s.failures > failureShareMax {
			s.answers = o == OutcomeFailed
			s.leaveOut(now)
		}
	case OutcomeReplaced:
		s.answers, s.out = false, now.Add(goneFor)
	case OutcomeCancelled, OutcomeFull:
	}
}

func (s *state) leaveOut(now time.Time) {
	if now.Before(s.out) {
		return
	}
	s.backoff = min(max(2*s.backoff, shortestBackoff), longestBackoff)
	s.out = now.Add(s.backoff)
	s.latency = 0
}

// UpstreamState is what this process has on one upstream.
type UpstreamState struct {
	FailureRate  float64   `json:"failures"` // share of the last attempts
	ID           string    `json:"id"`
	Latency      float64   `json:"latencySeconds"`
	EjectedUntil time.Time `json:"outUntil"`
	Pending      int       `json:"pending"`
}

// States returns the state of all upstreams that were offered lately.
func (p *Picker) States() []UpstreamState {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make([]UpstreamState, 0, len(p.states))
	for id, s := range p.states {
		loads = append(loads, UpstreamState{
			EjectedUntil: s.out, FailureRate: s.failures, ID: id, Latency: s.latency, Pending: s.pending,
		})
	}
	return loads
}
