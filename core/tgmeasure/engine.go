package tgmeasure

import (
	"slices"
	"time"
)

// Figures of the modelled engines.
const (
	engineSlots  = 16                    // attempts that a warm engine bears
	stepTime     = 20 * time.Millisecond // of a batch within capacity: the time between tokens
	prefillSteps = 15                    // steps before the first token, on average: 300 ms
	coldFraction = 0.1                   // of its slots that a cold engine bears
	tokensToWarm = 10_000                // tokens served from cold to warm
	collapseLoad = 2.0                   // load over capacity beyond which throughput falls and nothing warms
	meanTokens   = 64                    // of an answer
	stepNoise    = 0.03
	fullFraction = 0.95 // of what a warm engine bears that counts as full
)

// engine is a model engine with continuous batching: all its jobs advance by one step at a time.
type engine struct {
	jobs      []*job
	sim       *simulation
	slowdown  float64 // factor of its step time
	stalled   bool
	lastStart time.Time // when the last job began
	stepping  bool
	tokens    int
	warmth    float64 // from 0 to 1
}

// job is one attempt in the batch.
type job struct {
	lastToken   time.Time // of the last token
	prefillLeft int       // steps left before the first token
	startedAt   time.Time
	onToken     func(first, gap time.Duration)
	onEnd       func(ok bool)
	tokensLeft  int // left
}

func newEngine(s *simulation, warmth float64) *engine {
	return &engine{sim: s, slowdown: 1, warmth: warmth}
}

// capacity returns the jobs that the engine bears at full speed.
func (e *engine) capacity() float64 { return engineSlots * (coldFraction + (1-coldFraction)*e.warmth) }

func (e *engine) start(j *job) {
	j.startedAt, e.lastStart = e.sim.now(), e.sim.now()
	e.jobs = append(e.jobs, j)
	if !e.stepping {
		e.stepping = true
		e.schedule()
	}
}

// schedule plans the next step. Beyond its capacity an engine shares its speed; far beyond, its throughput falls.
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

// crash ends all jobs and leaves the engine cold.
func (e *engine) crash() {
	jobs := e.jobs
	e.jobs, e.warmth = nil, 0
	for _, j := range jobs {
		j.onEnd(false)
	}
}

// fastestWarmup returns the time in which a cold engine becomes warm if it always has exactly the jobs that it bears.
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

// requestCapacity returns the requests per second that n warm engines bear.
func requestCapacity(n int) float64 {
	return float64(n) * engineSlots / (float64(prefillSteps+meanTokens) * stepTime.Seconds())
}
