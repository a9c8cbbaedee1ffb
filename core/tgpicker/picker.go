// Package tgpicker chooses the upstream of an attempt by the load from this process, or from all processes where that is
// known, by the results of earlier attempts, and by the request rate allowed for a cold upstream.
package tgpicker

import (
	"math/rand/v2"
	"sync"
	"time"

	"tanagergrade/core/tgcatalog"
)

const (
	avoidPenalty       = 1000 // load added to the score of an upstream that the request avoids
	minBackoff         = 500 * time.Millisecond
	maxBackoff         = 4 * time.Second
	failureSmoothing   = 0.8              // weight of the past in the smoothed failure rate
	maxFailureRate     = 0.3              // an upstream with a higher failure rate is ejected
	ejectAfterFailures = 2                // consecutive failures that eject an upstream at any failure rate
	replacedEjection   = 10 * time.Second // of an upstream whose address another incarnation has taken over; it will not return
	stateExpiry        = 30 * time.Second // state of an upstream that was no candidate for this time is dropped
	leavingExpiry      = 10 * time.Minute // like stateExpiry, of an upstream that leaves: its registration may lapse and return
	latencySmoothing   = 0.9              // weight of the past in the smoothed latency
	slowThreshold      = 1.5              // slowdown factor from which an upstream is avoided
	slowPenalty        = 4                // load added to the score of a slow upstream
	failurePenalty     = 4                // load added to the score of an ejected upstream with a failure rate of 1
	remotePenalty      = 0.35             // load added to the score of an upstream in another data centre
	latencyTolerance   = 3.0              // latency relative to the fastest upstream above which the score grows with it
)

// Outcome is the result of an attempt as far as it concerns the upstream.
type Outcome string

// Outcomes of attempts.
const (
	OutcomeAnswered  Outcome = "answered"
	OutcomeFailed    Outcome = "broken"    // answered with an error of its own, or with an invalid answer
	OutcomeCancelled Outcome = "cancelled" // says nothing about the upstream
	OutcomeFull      Outcome = "full"      // refused the attempt because it is full
	OutcomeReplaced  Outcome = "gone"      // another incarnation answered at its address
	OutcomeLost      Outcome = "lost"      // could not be reached, or the connection broke
)

// Reason is the reason why no upstream was chosen.
type Reason string

// Reasons for choosing no upstream.
const (
	ReasonCold      Reason = "cold"      // no candidate is left, at least one because of the rate limit of cold upstreams
	ReasonLeaving   Reason = "leaving"   // all remaining candidates have said that they leave
	ReasonNone      Reason = "none"      // no untried candidate is registered, ready and in a data centre that takes work
	ReasonPaused    Reason = "paused"    // no candidate is left, at least one because it has asked for a pause
	ReasonUnhealthy Reason = "unhealthy" // all remaining candidates are ejected, and none of them is reachable
)

// Request describes an attempt.
type Request struct {
	Avoid    map[string]bool                     // IDs of upstreams that are chosen only if no other is left
	ColdRate float64                             // requests per second of this process to one upstream; 0 if unbounded
	Load     LoadFunc                            // nil if only the load from this process is known
	OwnLoad  func(u *tgcatalog.Upstream) float64 // load from this process; nil for the sum of the Work of its attempts
	Slowdown func(u *tgcatalog.Upstream) float64 // time per pass of an upstream relative to the usual; nil if none is slow
	Tried    map[string]bool                     // IDs of upstreams that already had the request
	Work     float64                             // load that the request adds; 1 for an average request
}

// LoadFunc returns the streams of all processes on an upstream and when they were counted.
type LoadFunc func(u *tgcatalog.Upstream) (streams float64, counted time.Time, ok bool)

// Choice is the upstream chosen for an attempt; Done ends the attempt.
type Choice struct {
	Load     float64 // load of this process on the upstream before this attempt
	Upstream tgcatalog.Upstream

	picker *Picker
	sent   time.Time
	state  *state
	work   float64
}

// state is what this process knows about one upstream.
type state struct {
	backoff             time.Duration // of the last ejection; zero after a success
	consecutiveFailures int           // failures since the last success
	ejectedUntil        time.Time     // zero if it was never ejected
	events              []loadEvent   // of the last loadHistory, in order
	failureRate         float64       // share of failed attempts, smoothed
	lastOffered         time.Time     // last time it was a candidate
	latency             float64       // time to the first byte in seconds, smoothed; 0 if unknown
	leaving             bool          // it has said that it leaves
	load                float64       // sum of the Work of attempts in flight
	pausedUntil         time.Time     // end of the pause that it has asked for
	pending             int           // attempts in flight
	reachable           bool          // it was last ejected for errors in its answers, not because it could not be reached
	started             time.Time     // of the incarnation that leaving and pausedUntil are about
	tokens              float64       // in the token bucket of the cold rate
	tokensAt            time.Time     // last refill; zero before the first
}

// Picker chooses upstreams. It is safe for concurrent use.
type Picker struct {
	lastExpiry time.Time
	local      string     // data centre of this process
	meanWork   float64    // of a request, smoothed
	mu         sync.Mutex // guards all fields except local and rand
	rand       func() float64
	states     map[string]*state // by upstream ID
}

// Option configures a Picker.
type Option func(*Picker)

// WithRand sets the source of random numbers in [0,1).
func WithRand(f func() float64) Option { return func(p *Picker) { p.rand = f } }

// NewPicker returns a picker for a process in the data centre local.
func NewPicker(local string, options ...Option) *Picker {
	p := &Picker{local: local, meanWork: 1, rand: rand.Float64, states: map[string]*state{}}
	for _, o := range options {
		o(p)
	}
	return p
}

// Pick chooses the upstream with the lowest score among the candidates that may take the request. If all of them are
// ejected, it falls back to one that answers, although with errors, which is better than a refusal.
func (p *Picker) Pick(candidates []tgcatalog.Upstream, r Request, now time.Time) (*Choice, Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireStates(now)
	reason := ReasonNone
	fastest := p.fastest(candidates)
	shared := p.sharedLoads(candidates, r, now)
	best, bestScore := -1, 0.0
	fallback, fallbackScore := -1, 0.0 // the best ejected candidate
	var free []scored                  // those without a penalty, if the load of all processes is known
	for i := range candidates {
		u := &candidates[i]
		if r.Tried[u.ID] {
			continue
		}
		s := p.state(u.ID, now)
		s.startIncarnation(u.Started)
		if why := s.unavailable(r.ColdRate, now); why != "" {
			reason = reason.combine(why)
			continue
		}
		ejected := now.Before(s.ejectedUntil)
		load := r.ownLoad(u, s)
		if shared != nil {
			load = shared[i]
		}
		score, penalised := r.penalise(u, p.score(u, s, load+r.Work, fastest))
		if ejected {
			score += failurePenalty * s.failureRate
			if fallback < 0 || score < fallbackScore {
				fallback, fallbackScore = i, score
			}
			continue
		}
		if shared != nil && !penalised {
			free = append(free, scored{index: i, pending: s.pending, score: score})
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if len(free) > 0 {
		best = p.chooseByChance(free)
	}
	if best < 0 {
		best = fallback
	}
	if best < 0 {
		return nil, reason
	}
	return p.take(candidates[best], r, now), ""
}

// unavailable returns why an upstream may not take a request, or an empty reason if it may.
func (s *state) unavailable(coldRate float64, now time.Time) Reason {
	switch {
	case s.leaving:
		return ReasonLeaving
	case now.Before(s.pausedUntil):
		return ReasonPaused
	case now.Before(s.ejectedUntil) && !s.reachable:
		return ReasonUnhealthy
	case !s.allowCold(coldRate, now):
		return ReasonCold
	default:
		return ""
	}
}

// combine returns the reason for candidates of which some are unavailable for one reason and one for another: the one
// that ends first.
func (r Reason) combine(other Reason) Reason {
	for _, first := range []Reason{ReasonCold, ReasonPaused, ReasonUnhealthy, ReasonLeaving} {
		if r == first || other == first {
			return first
		}
	}
	return r
}

// take starts an attempt at an upstream whose state is known.
func (p *Picker) take(u tgcatalog.Upstream, r Request, now time.Time) *Choice {
	s := p.states[u.ID]
	c := &Choice{Load: s.load, Upstream: u, picker: p, sent: now, state: s, work: r.Work}
	s.load += r.Work
	s.record(1, now)
	if r.Load != nil {
		p.meanWork = workSmoothing*p.meanWork + (1-workSmoothing)*r.Work
	}
	if r.ColdRate > 0 {
		s.tokens--
	}
	return c
}

// score is the load of an upstream including the request, raised if its latency is high or it is in another data centre.
// Random noise of up to 0.1 breaks ties.
func (p *Picker) score(u *tgcatalog.Upstream, s *state, load, fastest float64) float64 {
	score := load
	if s.latency > 0 && fastest > 0 {
		score *= max(1, s.latency/fastest/latencyTolerance)
	}
	if u.DataCentre != p.local {
		score += remotePenalty
	}
	return score + 0.1*p.rand()
}

// penalise raises the score of an upstream that is slow or that the request avoids.
func (r *Request) penalise(u *tgcatalog.Upstream, score float64) (raised float64, penalised bool) {
	if r.Slowdown != nil {
		slowdown := r.Slowdown(u)
		score, penalised = slowedScore(score, slowdown), slowdown >= slowThreshold
	}
	if r.Avoid[u.ID] {
		return score + avoidPenalty, true
	}
	return score, penalised
}

// slowedScore raises the score of a slow upstream. All ranks of a group wait for the slowest one in each pass, so a slow
// upstream gets new work only if all others have far more load.
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
	s.lastOffered = now
	return s
}

// allowCold refills the token bucket of an upstream and reports whether it holds a token. A full bucket holds the tokens
// of a quarter of a second, at least one.
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

// expireStates drops the state of upstreams without attempts in flight that are no candidates any more.
func (p *Picker) expireStates(now time.Time) {
	if now.Sub(p.lastExpiry) < stateExpiry {
		return
	}
	p.lastExpiry = now
	for id, s := range p.states {
		expiry := stateExpiry
		if s.leaving {
			expiry = leavingExpiry
		}
		if s.pending == 0 && now.Sub(s.lastOffered) > expiry && !now.Before(s.pausedUntil) {
			delete(p.states, id)
		}
	}
}

// Done ends the attempt and records its outcome. The latency is the time to the first byte of an answer; it is zero if
// there was none, and OutcomeLost without a first byte ejects the upstream at once.
func (c *Choice) Done(o Outcome, latency time.Duration, now time.Time) {
	p, s := c.picker, c.state
	p.mu.Lock()
	defer p.mu.Unlock()
	s.load = max(0, s.load-c.work)
	s.record(-1, now)
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

// eject excludes the upstream, unless it is excluded already, for a backoff that doubles with each ejection until an
// attempt succeeds.
func (s *state) eject(now time.Time) {
	if now.Before(s.ejectedUntil) {
		return
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.ejectedUntil = now.Add(s.backoff)
	s.latency = 0
}

// UpstreamState is the state of one upstream as shown in a dump.
type UpstreamState struct {
	FailureRate  float64   `json:"failures"` // share of failed attempts, smoothed
	ID           string    `json:"id"`
	Latency      float64   `json:"latencySeconds"`
	Leaving      bool      `json:"leaving,omitempty"`
	EjectedUntil time.Time `json:"outUntil"`
	PausedUntil  time.Time `json:"pausedUntil,omitzero"`
	Pending      int       `json:"pending"`
}

// States returns the state of all upstreams that were candidates within stateExpiry or have attempts in flight.
func (p *Picker) States() []UpstreamState {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make([]UpstreamState, 0, len(p.states))
	for id, s := range p.states {
		states = append(states, UpstreamState{
			EjectedUntil: s.ejectedUntil, FailureRate: s.failureRate, ID: id, Latency: s.latency, Leaving: s.leaving,
			PausedUntil: s.pausedUntil, Pending: s.pending,
		})
	}
	return states
}
