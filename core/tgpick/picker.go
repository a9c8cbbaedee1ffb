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
	minBackoff         = 500 * time.Millisecond
	maxBackoff         = 4 * time.Second
	failureSmoothing   = 0.8              // weight of the past in the share of failed attempts
	maxFailureRate     = 0.3              // an upstream that fails more of its attempts is left out for a while
	ejectAfterFailures = 2                // in a row, or the share above, before an upstream that answers is left out
	replacedEjection   = 10 * time.Second // an upstream whose address another one has does not return
	stateExpiry        = 30 * time.Second
	latencySmoothing   = 0.9  // weight of the past in the latency
	slowThreshold      = 1.5  // an upstream that takes so many times as long as usual is avoided
	slowPenalty        = 4    // load that counts on top for it
	failurePenalty     = 4    // load that counts on top for an upstream that failed all its attempts
	remotePenalty      = 0.35 // load by which an upstream in another data centre has to be lower
	latencyTolerance   = 3.0  // latency over that of the fastest upstream that counts fully
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
	backoff             time.Duration
	consecutiveFailures int       // failures without an answer between them
	ejectedUntil        time.Time // left out until then
	failureRate         float64   // share of the last attempts that failed
	lastUsed            time.Time
	latency             float64 // seconds, smoothed; 0 if not known
	load                float64
	pending             int
	reachable           bool    // it answered when it was left out last, with an error of its own
	tokens              float64 // that the upstream still bears in this second
	tokensAt            time.Time
}

// Picker chooses upstreams. It is safe for concurrent use.
type Picker struct {
	lastExpiry time.Time
	local      string
	mu         sync.Mutex
	rand       func() float64
	states     map[string]*state // by upstream ID
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
	p.expireStates(now)
	reason := ReasonNone
	fastest := p.fastest(candidates)
	best, bestScore := -1, 0.0
	fallback, fallbackScore := -1, 0.0 // of those that are left out
	for i := range candidates {
		u := &candidates[i]
		if r.Tried[u.ID] {
			continue
		}
		s := p.state(u.ID, now)
		ejected := now.Before(s.ejectedUntil)
		switch {
		case ejected && !s.reachable:
			if reason == ReasonNone {
				reason = ReasonUnhealthy
			}
			continue
		case !s.allowCold(r.ColdRate, now):
			reason = ReasonCold
			continue
		}
		score := p.score(u, s, r.Work, fastest)
		if r.Slowdown != nil {
			score = slowedScore(score, r.Slowdown(u))
		}
		if ejected {
			score += failurePenalty * s.failureRate
			if fallback < 0 || score < fallbackScore {
				fallback, fallbackScore = i, score
			}
			continue
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		best = fallback
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
		score *= max(1, s.latency/fastest/latencyTolerance)
	}
	if u.DataCentre != p.local {
		score += remotePenalty
	}
	return score + 0.1*p.rand()
}

// slowed returns the score of an upstream that is slow. All ranks of a group wait for its own part of each pass, so that it
// gets new work only when all others have far more.
func slowedScore(score, slowdown float64) float64 {
	if slowdown < slowThreshold {
		return score
	}
	return slowdown * (score + slowPenalty)
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
	s.lastUsed = now
	return s
}

// bears refills the bucket of an upstream and reports whether it holds a request.
func (s *state) allowCold(rate float64, now time.Time) bool {
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
func (p *Picker) expireStates(now time.Time) {
	if now.Sub(p.lastExpiry) < stateExpiry {
		return
	}
	p.lastExpiry = now
	for id, s := range p.states {
		if s.pending == 0 && now.Sub(s.lastUsed) > stateExpiry {
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
		s.failureRate *= failureSmoothing
		s.consecutiveFailures = 0
		s.backoff = 0
		if s.latency == 0 {
			s.latency = latency.Seconds()
		}
		s.latency = latencySmoothing*s.latency + (1-latencySmoothing)*latency.Seconds()
	case OutcomeFailed, OutcomeLost:
		s.failureRate = failureSmoothing*s.failureRate + 1 - failureSmoothing
		s.consecutiveFailures++
		if o == OutcomeLost && latency == 0 || s.consecutiveFailures >= ejectAfterFailures || s.failureRate > maxFailureRate {
			s.reachable = o == OutcomeFailed
			s.eject(now)
		}
	case OutcomeReplaced:
		s.reachable, s.ejectedUntil = false, now.Add(replacedEjection)
	case OutcomeCancelled, OutcomeFull:
	}
}

func (s *state) eject(now time.Time) {
	if now.Before(s.ejectedUntil) {
		return
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.ejectedUntil = now.Add(s.backoff)
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
	states := make([]UpstreamState, 0, len(p.states))
	for id, s := range p.states {
		states = append(states, UpstreamState{
			EjectedUntil: s.ejectedUntil, FailureRate: s.failureRate, ID: id, Latency: s.latency, Pending: s.pending,
		})
	}
	return states
}
