package tgmeasure

import (
	"slices"
	"time"
)

// Figures of the modelled engines.
const (
	slots        = 16                    // attempts that a warm engine bears
	stepTime     = 20 * time.Millisecond // of a batch within capacity: the time between tokens
	prefillSteps = 15                    // steps before the first token, on average: 300 ms
	coldPart     = 0.1                   // of its slots that a cold engine bears
	warmTokens   = 10_000                // tokens served from cold to warm
	collapseAt   = 2.0                   // load over capacity beyond which throughput falls and nothing warms
	meanTokens   = 64                    // of an answer
	stepNoise    = 0.03
	fullPart     = 0.95 // of what a warm engine bears that counts as full
)

// engine is a model engine with continuous batching: all its jobs advance by one step at a time.
type engine struct {
	jobs     []*job
	sim      *simulation
	slow     float64 // factor of its step time
	stalled  bool
	started  time.Time // when the last job began
	stepping bool
	tokens   int
	warmth   float64 // from 0 to 1
}

// job is one attempt in the batch.
type job struct {
	last    time.Time // of the last token
	prefill int       // steps left before the first token
	begun   time.Time
	token   func(first, gap time.Duration)
	end     func(ok bool)
	tokens  int // left
}

func newEngine(s *simulation, warmth float64) *engine {
	return &engine{sim: s, slow: 1, warmth: warmth}
}

// capacity returns the jobs that the engine bears at full speed.
func (e *engine) capacity() float64 { return slots * (coldPart + (1-coldPart)*e.warmth) }

func (e *engine) start(j *job) {
	j.begun, e.started = e.sim.now(), e.sim.now()
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
	if load > collapseAt {
		factor *= load / collapseAt
	}
	noise := 1 + stepNoise*(2*e.sim.rand.Float64()-1)
	e.sim.after(time.Duration(factor*noise*e.slow*float64(stepTime)), e.step)
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
	collapsed := float64(len(e.jobs)) > collapseAt*e.capacity()
	now := e.sim.now()
	var ended []*job
	for _, j := range slices.Clone(e.jobs) {
		if j.prefill > 0 {
			j.prefill--
			continue
		}
		if j.last.IsZero() {
			j.token(now.Sub(j.begun), 0)
		} else {
			j.token(0, now.Sub(j.last))
		}
		j.last = now
		j.tokens--
		e.tokens++
		if !collapsed {
			e.warmth = min(1, e.warmth+1.0/warmTokens)
		}
		if j.tokens == 0 {
			ended = append(ended, j)
		}
	}
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool { return j.tokens == 0 })
	for _, j := range ended {
		j.end(true)
	}
	e.schedule()
}

// crash ends all jobs and leaves the engine cold.
func (e *engine) crash() {
	jobs := e.jobs
	e.jobs, e.warmth = nil, 0
	for _, j := range jobs {
		j.end(false)
	}
}

// bestRamp returns the time in which a cold engine becomes warm if it always has exactly the jobs that it bears.
func bestRamp(seed uint64) time.Duration {
	s := newSimulation(seed)
	e := newEngine(s, 0)
	for ; e.capacity() < fullPart*slots; s.runUntil(s.elapsed() + stepTime) {
		for float64(len(e.jobs)) < e.capacity() {
			e.start(&job{
				end: func(bool) {}, prefill: prefillSteps, token: func(_, _ time.Duration) {}, tokens: meanTokens,
			})
		}
	}
	return s.elapsed()
}

// capacityOf returns the requests per second that n warm engines bear.
func capacityOf(n int) float64 {
	return float64(n) * slots / (float64(prefillSteps+meanTokens) * stepTime.Seconds())
}
