package tgsimulation

import (
	"time"

	"tanagergrade/core/tgadmission"
	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgqueue"
	"tanagergrade/core/tgroute"
)

const (
	queueCapacity = 64
	coldLimit     = 2
)

// Admission is the policy by which the companions of a run admit work.
type Admission string

// Admission policies; all but AdmitAdaptive are baselines.
const (
	AdmitAdaptive  Admission = "evidence"    // concurrency limit of tgadmission
	AdmitAll       Admission = "noAdmission" // no concurrency limit
	AdmitWarmLimit Admission = "noRamp"      // the limit of a warm engine, also for a cold one
)

var maxWaits = map[tgcall.Priority]time.Duration{
	tgcall.Bulk: 15 * time.Second, tgcall.Live: time.Second, tgcall.Standard: 4 * time.Second,
}

// companion admits the attempts of one engine with the policies of the daemon.
type companion struct {
	tgroute.Candidate
	admission    Admission
	engine       *engine
	limiter      *tgadmission.Limiter
	queue        *tgqueue.Queue[*attempt]
	sim          *simulation
	dead         bool // connections are refused
	unresponsive bool // connections stay open without answers or heartbeats
	withdrawn    bool
	lastStart    time.Duration // time after the start of the run at which the engine last began work
}

func newCompanion(s *simulation, c tgroute.Candidate, admission Admission, warmth float64) *companion {
	m := &companion{Candidate: c, admission: admission, engine: newEngine(s, warmth), sim: s}
	m.restart(warmth)
	return m
}

// restart resets the limit and the queue. Warmth 1 sets the limit that an upstream reaches after it has long been warm.
func (m *companion) restart(warmth float64) {
	limit := coldLimit
	if m.admission == AdmitWarmLimit || m.admission == AdmitAdaptive && warmth == 1 {
		limit = engineSlots
	}
	m.limiter = tgadmission.NewLimiter(limit, engineSlots, tgadmission.WithClock(m.sim.now))
	m.limiter.Configure(coldLimit, engineSlots, false)
	m.queue = tgqueue.NewQueue(queueCapacity, func(a *attempt, r tgqueue.Refusal) {
		a.refuse(tgcall.NotRunFailure(tgcall.CodeOverloaded, "").WithRetryAfter(r.RetryAfter))
	}, tgqueue.WithClock(m.sim.now), tgqueue.WithRand(m.sim.rand.Float64), tgqueue.WithWaitBounds(maxWaits))
}

// execute admits, queues or refuses an attempt.
func (m *companion) execute(a *attempt) {
	switch {
	case m.dead:
		a.refuse(tgcall.NotRunFailure(tgcall.CodeUpstreamUnreachable, ""))
		return
	case m.withdrawn:
		a.refuse(tgcall.NotRunFailure(tgcall.CodeDataCentreWithdrawn, ""))
		return
	case m.admission == AdmitAll:
		m.run(a)
		return
	}
	r := a.request
	priority := r.priority
	if r.delivered > 0 { // a resumed answer gets the highest priority, as in the daemon
		priority = tgcall.Live
	}
	ticket, refusal := m.queue.Push(tgqueue.Request{
		Account: r.account, Deadline: r.deadline, Priority: priority, Weight: r.share, Work: r.tokens,
	}, a)
	if refusal != nil {
		a.refuse(tgcall.NotRunFailure(tgcall.CodeOverloaded, "").WithRetryAfter(refusal.RetryAfter))
		return
	}
	m.sim.after(ticket.Deadline().Sub(m.sim.now()), func() {
		if m.queue.Remove(ticket) {
			a.refuse(tgcall.NotRunFailure(tgcall.CodeOverloaded, ""))
		}
	})
	m.advance()
}

// advance runs queued attempts while the limit permits, as the daemon does.
func (m *companion) advance() {
	for m.queue.Len() > 0 && m.limiter.TryAcquire() {
		a, ok := m.queue.Pop()
		if !ok {
			m.limiter.Release(tgadmission.Sample{})
			return
		}
		m.run(a)
	}
}

func (m *companion) run(a *attempt) {
	m.lastStart = m.sim.elapsed()
	a.admitted = true
	r := a.request
	r.executions++
	limiter, start, tokens := m.limiter, m.sim.now(), 0
	adaptive := m.admission == AdmitAdaptive
	m.engine.start(&job{
		prefillLeft: r.prefill,
		tokensLeft:  r.tokens - r.delivered,
		onToken: func(first, gap time.Duration) {
			tokens++
			if adaptive {
				limiter.Observe(tgadmission.Progress{FirstToken: first, Gap: gap, Tokens: 1})
				m.advance()
			}
			if !m.unresponsive {
				a.token(first, gap)
			}
		},
		onEnd: func(ok bool) {
			switch {
			case adaptive:
				limiter.Release(tgadmission.Sample{Observed: tokens, OK: ok, Tokens: tokens, Total: m.sim.now().Sub(start)})
			case m.admission == AdmitWarmLimit:
				limiter.Release(tgadmission.Sample{})
			default:
			}
			m.advance()
			if !m.unresponsive {
				a.end(ok)
			}
		},
	})
}

func (m *companion) load() tgframe.Load {
	l := tgframe.Load{InFlight: len(m.engine.jobs), Limit: m.limiter.Limit(), Queued: m.queue.Len()}
	if m.admission == AdmitAll {
		l.Limit = engineSlots
	}
	return l
}
