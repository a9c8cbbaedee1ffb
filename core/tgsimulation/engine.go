package tgsimulation

import (
	"slices"
	"time"
)

// Parameters of the engine model.
const (
	engineSlots  = 16                    // attempts that a warm engine runs at full speed
	stepTime     = 20 * time.Millisecond // duration of a step of a batch within capacity: the time between tokens
	prefillSteps = 15                    // steps before the first token, on average: 300 ms
	coldFraction = 0.1                   // fraction of its slots that a cold engine runs at full speed
	tokensToWarm = 10_000                // tokens that an engine serves until it is warm
	collapseLoad = 2.0                   // load over capacity beyond which throughput falls and the engine does not warm up
	meanTokens   = 64                    // of an answer, on average
	stepNoise    = 0.03                  // largest relative deviation of a step's duration
	fullFraction = 0.95                  // fraction of a warm engine's capacity that counts as full
)

// engine models an engine with continuous batching: all its jobs advance by one step at a time.
type engine struct {
	jobs      []*job
	sim       *simulation
	slowdown  float64   // factor on the duration of its steps
	stalled   bool      // no step makes progress
	lastStart time.Time // when the last job began
	stepping  bool      // a step is scheduled
	tokens    int       // generated so far
	warmth    float64   // from 0 (cold) to 1 (warm)
}

// job is one attempt in the batch.
type job struct {
	lastToken   time.Time // zero until the first token
	prefillLeft int       // steps left before the first token
	startedAt   time.Time
	onToken     func(first, gap time.Duration) // first is 0 but for the first token, gap is 0 for it
	onEnd       func(ok bool)
	tokensLeft  int
}

func newEngine(s *simulation, warmth float64) *engine {
	return &engine{sim: s, slowdown: 1, warmth: warmth}
}

// capacity returns the number of jobs that the engine runs at full speed.
func (e *engine) capacity() float64 { return engineSlots * (coldFraction + (1-coldFraction)*e.warmth) }

func (e *engine) start(j *job) {
	j.startedAt, e.lastStart = e.sim.now(), e.sim.now()
	e.jobs = append(e.jobs, j)
	if !e.stepping {
		e.stepping = true
		e.schedule()
	}
}

// schedule adds the event of the next step. Beyond its capacity an engine's throughput is constant and each job slows
// down; beyond collapseLoad its throughput falls.
func (e *engine) schedule() {
	load := float64(len(e.jobs)) / e.capacity()
	factor := max(1, load)
	if load > collapseLoad {
		factor *= load / collapseLoad
	}
	noise := 1 + stepNoise*(2*e.sim.rand.Float64()-1)
	e.sim.after(time.Duration(factor*noise*e.slowdown*float64(stepTime)), e.step)
}

func (e *engine) step() {
	if len(e.jobs) == 0 {
		e.stepping = false
		return
	}
	if e.stalled {
		e.sim.after(time.Second, e.step)
		return
	}
	collapsed := float64(len(e.jobs)) > collapseLoad*e.capacity()
	now := e.sim.now()
	var ended []*job
	for _, j := range slices.Clone(e.jobs) {
		if j.prefillLeft > 0 {
			j.prefillLeft--
			continue
		}
		if j.lastToken.IsZero() {
			j.onToken(now.Sub(j.startedAt), 0)
		} else {
			j.onToken(0, now.Sub(j.lastToken))
		}
		j.lastToken = now
		j.tokensLeft--
		e.tokens++
		if !collapsed {
			e.warmth = min(1, e.warmth+1.0/tokensToWarm)
		}
		if j.tokensLeft == 0 {
			ended = append(ended, j)
		}
	}
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool { return j.tokensLeft == 0 })
	for _, j := range ended {
		j.onEnd(true)
	}
	e.schedule()
}

// crash ends all jobs with a failure and leaves the engine cold.
func (e *engine) crash() {
	jobs := e.jobs
	e.jobs, e.warmth = nil, 0
	for _, j := range jobs {
		j.onEnd(false)
	}
}

// fastestWarmup returns the time in which a cold engine becomes warm if it always runs as many jobs as its capacity.
func fastestWarmup(seed uint64) time.Duration {
	s := newSimulation(seed)
	e := newEngine(s, 0)
	for ; e.capacity() < fullFraction*engineSlots; s.runUntil(s.elapsed() + stepTime) {
		for float64(len(e.jobs)) < e.capacity() {
			e.start(&job{
				onEnd: func(bool) {}, prefillLeft: prefillSteps, onToken: func(_, _ time.Duration) {}, tokensLeft: meanTokens,
			})
		}
	}
	return s.elapsed()
}

// requestCapacity returns the requests per second that n warm engines serve.
func requestCapacity(n int) float64 {
	return float64(n) * engineSlots / (float64(prefillSteps+meanTokens) * stepTime.Seconds())
}
