package tgroute

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"tanagergrade/core/tgframe"
)

const (
	// An upstream that was no candidate for reportExpiry may return cold, so its last load report is dropped.
	reportExpiry    = 5 * time.Second
	upstreamExpiry  = time.Hour              // an upstream that was no candidate for this time has left
	reportDecayTime = 300 * time.Millisecond // time in which a load report's weight against the pool's mean decays to 1/e
	poolInterval    = 100 * time.Millisecond // time between two computations of a pool's statistics
	defaultLimit    = 1                      // limit of an upstream without a load report, in attempts
)

// Router is the chooser that entries use.
type Router = Chooser[PowerOfChoices]

// Chooser chooses an upstream by the load that its companion last reported plus the attempts that this process has sent
// since. It excludes upstreams that are slow, stalled, silent or failing. It is safe for concurrent use.
type Chooser[P Policy] struct {
	local     string     // data centre of this process
	mu        sync.Mutex // guards all fields
	now       func() time.Time
	policy    P
	pools     map[string]*poolStats // by name
	rand      *rand.Rand
	upstreams map[string]*upstream // by name
	views     []View               // buffer reused by each choice
}

// upstream is what this process knows about one upstream.
type upstream struct {
	health
	lastOffered  time.Time    // last time it was a candidate
	report       tgframe.Load // last load report of its companion
	reportedAt   time.Time    // time of that report; zero if there is none
	sent         int          // attempts in flight from this process
	sentAtReport int          // value of sent at reportedAt; the report may include these attempts
}

// Observation is what an entry observed of an attempt.
type Observation struct {
	Failed     bool          // the upstream or its companion could not be reached, or the connection broke
	FirstToken time.Duration // time to the first token; set with the first token only
	Gap        time.Duration // time since the previous token; set with later tokens
}

// Option configures a Chooser.
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

// Choose returns the upstream of an attempt; Done ends the attempt.
func (c *Chooser[P]) Choose(candidates []Candidate) (Candidate, bool) {
	return c.ChooseWithCacheGain(candidates, func(string) float64 { return 0 })
}

// ChooseWithCacheGain is Choose with cache affinity: gain returns the part of the request's work, from 0 to 1, that a cached
// prefix is expected to save at an upstream.
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
	if len(usable) == 0 { // all are excluded, but an excluded upstream is better than none
		for _, v := range candidates {
			c.views = append(c.views, c.view(c.upstreams[v.Name], v, gain(v.Name), now))
		}
		usable = candidates
	}
	return c.send(usable[c.policy.Pick(c.views, c.rand)], now), true
}

// Done ends an attempt that Choose started; begun reports whether its first token was recorded.
func (c *Chooser[P]) Done(name string, begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(name)
	u.sent--
	if begun {
		u.begun = max(0, u.begun-1)
	}
	if u.probing && u.sent == 0 { // the probe ended without a first token that was fast enough
		u.exclude(u.excluded, c.now(), c.rand)
	}
}

// RecordLoad records a load report of an upstream's companion.
func (c *Chooser[P]) RecordLoad(name string, l tgframe.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(name)
	u.report, u.reportedAt, u.sentAtReport = l, c.now(), u.sent
	u.lastFrame = u.reportedAt
}

// RecordAttempt records an observation of an attempt at an upstream.
func (c *Chooser[P]) RecordAttempt(name string, o Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	u := c.upstream(name)
	if o.Failed {
		if u.excluded == "" || u.probing {
			u.exclude(Failed, now, c.rand)
		}
		return
	}
	u.lastFrame, u.lastToken = now, now
	if o.FirstToken > 0 {
		c.recordFirstToken(u, o.FirstToken, now)
	}
	if o.Gap > 0 {
		u.gap.add(o.Gap)
	}
	if u.excluded == Silent || u.excluded == Stalled {
		u.nextProbe = now // it responds, so a probe may test it at once
	}
}

// recordFirstToken records the time to a first token. It decides whether a probed upstream is readmitted, and whether the
// weight of a readmitted one grows.
func (c *Chooser[P]) recordFirstToken(u *upstream, d time.Duration, now time.Time) {
	if u.report.Queued == 0 || u.probing { // otherwise the time may include the wait in the companion's queue
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

// Excluded returns the reason why an upstream is excluded, or the empty reason if it is not.
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

// noteCandidate updates the state of an upstream that is a candidate, and drops its load report if it was absent for long.
func (c *Chooser[P]) noteCandidate(v Candidate, now time.Time) *upstream {
	u := c.upstream(v.Name)
	u.pool = c.pools[v.Pool]
	if now.Sub(u.lastOffered) > reportExpiry {
		u.reportedAt = time.Time{}
	}
	u.lastOffered = now
	return u
}

// send counts an attempt. The timeouts for silence and stalls start with the first attempt in flight.
func (c *Chooser[P]) send(v Candidate, now time.Time) Candidate {
	u := c.upstreams[v.Name]
	if u.sent == 0 {
		u.lastFrame, u.lastToken = now, now
	}
	u.sent++
	return v
}

// evaluate excludes an upstream that does not respond, or that is slow while enough others are not.
func (c *Chooser[P]) evaluate(u *upstream, now time.Time) {
	if u.sent > 0 && (u.excluded == "" || u.probing) {
		if reason := u.pool.unresponsiveReason(u, now); reason != "" {
			u.exclude(reason, now, c.rand)
			return
		}
	}
	if u.excluded == "" && u.pool.isSlow(&u.health) && (u.pool.slow+1)*slowExclusionDivisor <= u.pool.size {
		u.exclude(Slow, now, c.rand)
		u.pool.slow++
	}
}

// otherAttempts returns the attempts of other processes according to the load report.
func (u *upstream) otherAttempts() float64 {
	return float64(max(0, u.report.InFlight+u.report.Queued-u.sentAtReport))
}

// view returns the policy's view of an upstream. The attempts of other processes are those of the load report, which gives
// way to the pool's mean utilisation with age.
func (c *Chooser[P]) view(u *upstream, v Candidate, gain float64, now time.Time) View {
	limit, others := defaultLimit, 0.0
	if !u.reportedAt.IsZero() {
		limit = max(u.report.Limit, 1)
		reportWeight := math.Exp(-now.Sub(u.reportedAt).Seconds() / reportDecayTime.Seconds())
		others = reportWeight*u.otherAttempts() + (1-reportWeight)*u.pool.otherUtilisation*float64(limit)
	} else if u.sent == 0 {
		limit = max(limit, u.pool.limit) // let one attempt through to learn its state
	}
	return View{
		CacheGain: gain, InFlight: u.sent, Limit: max(1, u.weight*float64(limit)), Load: float64(u.sent) + others,
		Local: v.DataCentre == c.local,
	}
}

// updatePool computes the statistics of a pool every poolInterval and drops upstreams that have left.
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
		if !u.reportedAt.IsZero() {
			limits = append(limits, float64(u.report.Limit))
			others += u.otherAttempts()
			capacity += float64(max(u.report.Limit, 1))
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
