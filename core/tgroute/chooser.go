package tgroute

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"tanagergrade/core/tgframe"
)

const (
	hintExpiry     = 5 * time.Second        // not offered for so long: it may return cold, so its limit is not known any more
	upstreamExpiry = time.Hour              // not offered for so long: it left
	hintDecayTime  = 300 * time.Millisecond // time in which a hint gives way to the mean of the pool, to 1/e
	poolInterval   = 100 * time.Millisecond
	defaultLimit   = 1
)

// Router is the chooser of the entries.
type Router = Chooser[PowerOfChoices]

// Chooser chooses by the load that companions last reported plus what this process has sent since, and leaves out
// upstreams that are slow, stalled, silent or failing.
type Chooser[P Policy] struct {
	local     string // data centre of this process
	mu        sync.Mutex
	now       func() time.Time
	policy    P
	pools     map[string]*poolStats
	rand      *rand.Rand
	upstreams map[string]*upstream
	views     []View // reused
}

// upstream is what this process knows of one upstream.
type upstream struct {
	health
	hint        tgframe.Load
	hintAt      time.Time // zero if there is no hint
	lastOffered time.Time // when it was last a candidate
	sent        int       // attempts in flight from this process
	sentAtHint  int       // those that the hint may include
}

// Observation is what an entry saw of an attempt.
type Observation struct {
	Failed     bool          // the upstream or its companion could not be reached or broke off
	FirstToken time.Duration // set with the first token
	Gap        time.Duration // time since the last token, set with the later ones
}

// Option changes the settings of a Chooser.
type Option func(*settings)

type settings struct {
	now  func() time.Time
	rand *rand.Rand
}

// WithClock sets the clock; discrete-event benchmarks need it because testing/synctest has no benchmarks.
func WithClock(now func() time.Time) Option { return func(s *settings) { s.now = now } }

// WithRand sets the source of random choices.
func WithRand(r *rand.Rand) Option { return func(s *settings) { s.rand = r } }

// NewChooser returns a chooser with the given policy for a process in the data centre local.
func NewChooser[P Policy](local string, policy P, options ...Option) *Chooser[P] {
	s := settings{now: time.Now, rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))} //nolint:gosec // no secret
	for _, o := range options {
		o(&s)
	}
	return &Chooser[P]{local: local, now: s.now, policy: policy, rand: s.rand, upstreams: map[string]*upstream{},
		pools: map[string]*poolStats{}}
}

// NewRouter returns a router for a process in the data centre local.
func NewRouter(local string, options ...Option) *Router {
	return NewChooser(local, PowerOfChoices{}, options...)
}

// Choose returns the upstream of an attempt, which Done ends.
func (c *Chooser[P]) Choose(candidates []Candidate) (Candidate, bool) {
	return c.ChooseWithCacheGain(candidates, func(string) float64 { return 0 })
}

// ChooseWithCacheGain is Choose with the part of the request's work that a cached prefix saves at an upstream.
func (c *Chooser[P]) ChooseWithCacheGain(candidates []Candidate, gain func(name string) float64) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.updatePool(candidates[0].Pool, now)
	c.views = c.views[:0]
	usable := make([]Candidate, 0, len(candidates))
	for _, v := range candidates {
		u := c.noteCandidate(v, now)
		c.evaluate(u, now)
		switch {
		case u.excluded == "":
			usable = append(usable, v)
			c.views = append(c.views, c.view(u, v, gain(v.Name), now))
		case !u.probing && !now.Before(u.nextProbe):
			u.probing = true
			return c.send(v, now), true
		}
	}
	if len(usable) == 0 { // all are excluded: any is better than none
		for _, v := range candidates {
			c.views = append(c.views, c.view(c.upstreams[v.Name], v, gain(v.Name), now))
		}
		usable = candidates
	}
	return c.send(usable[c.policy.Pick(c.views, c.rand)], now), true
}

// Done ends an attempt that Choose started; begun says whether its first token was reported.
func (c *Chooser[P]) Done(name string, begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(name)
	u.sent--
	if begun {
		u.begun = max(0, u.begun-1)
	}
	if u.probing && u.sent == 0 { // a probe that ended without a good first token
		u.exclude(u.excluded, c.now(), c.rand)
	}
}

// RecordLoad takes a companion's load report.
func (c *Chooser[P]) RecordLoad(name string, l tgframe.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(name)
	u.hint, u.hintAt, u.sentAtHint = l, c.now(), u.sent
	u.lastFrame = u.hintAt
}

// RecordAttempt takes what an attempt showed of its upstream.
func (c *Chooser[P]) RecordAttempt(name string, e Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	u := c.upstream(name)
	if e.Failed {
		if u.excluded == "" || u.probing {
			u.exclude(Failed, now, c.rand)
		}
		return
	}
	u.lastFrame, u.lastToken = now, now
	if e.FirstToken > 0 {
		c.recordFirstToken(u, e.FirstToken, now)
	}
	if e.Gap > 0 {
		u.gap.add(e.Gap)
	}
	if u.excluded == Silent || u.excluded == Stalled {
		u.nextProbe = now // it is alive; a probe may test it at once
	}
}

// recordFirstToken takes a first token, which decides on an upstream that is probed or was lately let back.
func (c *Chooser[P]) recordFirstToken(u *upstream, d time.Duration, now time.Time) {
	if u.hint.Queued == 0 || u.probing { // otherwise it may be the wait in the queue
		u.first.add(d)
	}
	u.begun++
	slow := u.pool.first > 0 && d.Seconds() > slowRatio*u.pool.first
	switch {
	case u.probing && slow:
		u.exclude(u.excluded, now, c.rand)
	case u.probing, u.excluded == "" && u.weight < 1 && !slow:
		u.readmit()
	}
}

// Excluded returns why an upstream is left out; the empty reason if it is not.
func (c *Chooser[P]) Excluded(name string) Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstream(name).excluded
}

func (c *Chooser[P]) upstream(name string) *upstream {
	u, ok := c.upstreams[name]
	if !ok {
		u = &upstream{health: health{pool: &poolStats{}, weight: 1}, lastOffered: c.now()}
		c.upstreams[name] = u
	}
	return u
}

func (c *Chooser[P]) noteCandidate(v Candidate, now time.Time) *upstream {
	u := c.upstream(v.Name)
	u.pool = c.pools[v.Pool]
	if now.Sub(u.lastOffered) > hintExpiry {
		u.hintAt = time.Time{}
	}
	u.lastOffered = now
	return u
}

func (c *Chooser[P]) send(v Candidate, now time.Time) Candidate {
	u := c.upstreams[v.Name]
	if u.sent == 0 {
		u.lastFrame, u.lastToken = now, now
	}
	u.sent++
	return v
}

// judge excludes an upstream on evidence.
func (c *Chooser[P]) evaluate(u *upstream, now time.Time) {
	if u.sent > 0 && (u.excluded == "" || u.probing) {
		if reason := u.pool.deadReason(u, now); reason != "" {
			u.exclude(reason, now, c.rand)
			return
		}
	}
	if u.excluded == "" && u.pool.isSlow(&u.health) && (u.pool.slow+1)*slowExclusionDivisor <= u.pool.size {
		u.exclude(Slow, now, c.rand)
		u.pool.slow++
	}
}

// others returns the attempts of other processes in the hint.
func (u *upstream) otherAttempts() float64 {
	return float64(max(0, u.hint.InFlight+u.hint.Queued-u.sentAtHint))
}

func (c *Chooser[P]) view(u *upstream, v Candidate, gain float64, now time.Time) View {
	limit, others := defaultLimit, 0.0
	if !u.hintAt.IsZero() {
		limit = max(u.hint.Limit, 1)
		hintWeight := math.Exp(-now.Sub(u.hintAt).Seconds() / hintDecayTime.Seconds())
		others = hintWeight*u.otherAttempts() + (1-hintWeight)*u.pool.otherUtilisation*float64(limit)
	} else if u.sent == 0 {
		limit = max(limit, u.pool.limit) // one request finds out
	}
	return View{
		CacheGain: gain, InFlight: u.sent, Limit: max(1, u.weight*float64(limit)), Load: float64(u.sent) + others,
		Local: v.DataCentre == c.local,
	}
}

// updatePool computes what is usual in a pool and forgets upstreams that left it.
func (c *Chooser[P]) updatePool(name string, now time.Time) {
	p, ok := c.pools[name]
	if !ok {
		p = &poolStats{}
		c.pools[name] = p
	}
	if now.Sub(p.updated) < poolInterval {
		return
	}
	*p = poolStats{updated: now}
	var firsts, gaps, limits []float64
	others, capacity := 0.0, 0.0
	for name, u := range c.upstreams {
		if u.sent == 0 && now.Sub(u.lastOffered) > upstreamExpiry {
			delete(c.upstreams, name)
			continue
		}
		if u.pool != p {
			continue
		}
		p.size++
		if u.excluded == Slow {
			p.slow++
		}
		if !u.hintAt.IsZero() {
			limits = append(limits, float64(u.hint.Limit))
			others += u.otherAttempts()
			capacity += float64(max(u.hint.Limit, 1))
		}
		if u.first.n >= minSamples {
			firsts = append(firsts, u.first.value)
		}
		if u.gap.n >= minSamples {
			gaps = append(gaps, u.gap.value)
		}
	}
	if capacity > 0 {
		p.otherUtilisation = others / capacity
	}
	p.first, p.gap, p.limit = median(firsts), median(gaps), int(median(limits))
}
