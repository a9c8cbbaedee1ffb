package tgsimulation

import (
	"time"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgretry"
	"tanagergrade/core/tgroute"
)

const (
	heartbeatInterval = time.Second     // interval of the load reports of running attempts
	lostTimeout       = 7 * time.Second // 3 s without heartbeats, then two attempts to reconnect that fail after 2 s each
	maxAttempts       = 4
	moveTimeout       = 5 * time.Second // time without progress at a stalled engine, as in the daemon
	oneWayDelay       = 500 * time.Microsecond
	retryRatio        = 0.1
)

// chooser has the methods of tgroute.Chooser that the entries use, for any policy.
type chooser interface {
	Choose(candidates []tgroute.Candidate) (tgroute.Candidate, bool)
	Done(name string, begun bool)
	Excluded(name string) tgroute.Reason
	RecordLoad(name string, l tgframe.Load)
	RecordAttempt(name string, e tgroute.Observation)
}

// entry routes requests with the daemon's policies.
type entry struct {
	budget     *tgretry.Budget
	candidates []tgroute.Candidate // according to the configuration that this entry has
	cluster    *Cluster
	router     chooser
}

// request is one request of a caller, with all its attempts.
type request struct {
	account    string
	arrived    time.Time
	deadline   time.Time
	delivered  int // tokens that the caller has received
	executions int // times that an engine began it
	idempotent bool
	lastToken  time.Time
	prefill    int // steps before the first token
	priority   tgcall.Priority
	share      int // of its account
	tokens     int // of the whole answer
	tried      map[string]bool
	upstreams  []string // in the order of the attempts
}

// attempt is one attempt to run a request at one companion.
type attempt struct {
	admitted     bool
	companion    *companion
	ended        bool
	entry        *entry
	hasToken     bool
	lastProgress time.Time // of the last token; before the first one, when it was sent or last reported as queued
	request      *request
	sent         time.Time // or the last heartbeat that reported it as queued
}

// dispatch sends r to a companion that it has not tried yet.
func (e *entry) dispatch(r *request) {
	c, ok := e.router.Choose(tgroute.Untried(e.candidates, r.tried))
	if !ok {
		e.cluster.recordRefused(r)
		return
	}
	r.tried[c.Name] = true
	r.upstreams = append(r.upstreams, c.Name)
	a := &attempt{companion: e.cluster.companions[c.Name], entry: e, request: r, sent: e.cluster.sim.now(),
		lastProgress: e.cluster.sim.now()}
	e.cluster.Attempts++
	e.cluster.sim.after(oneWayDelay, func() { a.companion.execute(a) })
	e.cluster.sim.after(heartbeatInterval, a.heartbeat)
}

// heartbeat models the companion's heartbeat, which carries its load, and checks whether the attempt must move or is lost.
func (a *attempt) heartbeat() {
	switch {
	case a.ended, a.companion.dead:
		return
	case a.companion.unresponsive:
		a.entry.cluster.sim.after(lostTimeout-heartbeatInterval, a.lost)
		return
	}
	a.entry.router.RecordLoad(a.companion.Name, a.companion.load())
	now := a.entry.cluster.sim.now()
	if !a.admitted {
		a.sent, a.lastProgress = now, now
	}
	if a.request.idempotent && now.Sub(a.lastProgress) > moveTimeout &&
		a.entry.router.Excluded(a.companion.Name) == tgroute.Stalled {
		a.lost() // the job stays in the stalled engine, as if the cancellation were lost
		return
	}
	a.entry.cluster.sim.after(heartbeatInterval, a.heartbeat)
}

func (a *attempt) token(first, gap time.Duration) {
	if a.ended {
		return
	}
	now := a.entry.cluster.sim.now()
	a.lastProgress = now
	if first > 0 {
		a.hasToken = true
		a.entry.router.RecordAttempt(a.companion.Name, tgroute.Observation{FirstToken: now.Sub(a.sent)})
	} else {
		a.entry.router.RecordAttempt(a.companion.Name, tgroute.Observation{Gap: gap})
	}
	a.entry.cluster.recordToken(a.request)
}

func (a *attempt) end(ok bool) {
	if a.ended {
		return
	}
	if !ok {
		a.entry.cluster.sim.after(lostTimeout-heartbeatInterval, a.lost)
		return
	}
	a.ended = true
	a.entry.router.RecordLoad(a.companion.Name, a.companion.load())
	a.entry.router.Done(a.companion.Name, a.hasToken)
	a.entry.cluster.recordAnswered(a.request)
}

// lost ends an attempt whose companion no longer answers.
func (a *attempt) lost() {
	a.fail(tgcall.UnknownFailure(tgcall.CodeUpstreamLost, ""))
}

func (a *attempt) refuse(f *tgcall.Failure) {
	if a.companion.unresponsive {
		return
	}
	a.entry.cluster.sim.after(oneWayDelay, func() {
		if !a.companion.dead {
			a.entry.router.RecordLoad(a.companion.Name, a.companion.load())
		}
		a.fail(f)
	})
}

// fail ends an attempt and redirects or retries its request, if the budget, the deadline and the attempts permit.
func (a *attempt) fail(f *tgcall.Failure) {
	if a.ended {
		return
	}
	a.ended = true
	e, r := a.entry, a.request
	e.router.Done(a.companion.Name, a.hasToken)
	if f.Code == tgcall.CodeUpstreamLost || f.Code == tgcall.CodeUpstreamUnreachable {
		e.router.RecordAttempt(a.companion.Name, tgroute.Observation{Failed: true})
	}
	verdict := tgretry.Stop
	if len(r.tried) < maxAttempts && e.cluster.sim.now().Before(r.deadline) {
		verdict = e.budget.AfterFailure(f, r.idempotent, r.delivered > 0)
	}
	switch {
	case verdict == tgretry.Redirect:
		e.dispatch(r)
	case verdict == tgretry.Retry:
		e.cluster.sim.after(e.budget.Backoff(len(r.tried)-1), func() { e.dispatch(r) })
	case r.executions > 0:
		e.cluster.recordLost(r)
	default:
		e.cluster.recordRefused(r)
	}
}
