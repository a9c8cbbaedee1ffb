package tgmeasure

import (
	"time"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgretry"
	"tanagergrade/core/tgroute"
)

const (
	heartbeat   = time.Second     // load reports of running attempts
	lostAfter   = 7 * time.Second // 3 s of silence, then two openings that fail after 2 s each
	maxAttempts = 4
	moveAfter   = 5 * time.Second // as in the daemon
	oneWay      = 500 * time.Microsecond
	retryRatio  = 0.1
)

// chooser is what the entries use of tgroute.Chooser, for any policy.
type chooser interface {
	Choose(candidates []tgroute.Candidate) (tgroute.Candidate, bool)
	Done(name string, begun bool)
	Excluded(name string) tgroute.Reason
	RecordLoad(name string, l tgframe.Load)
	RecordAttempt(name string, e tgroute.Observation)
}

// entry routes requests with the policies of the daemon.
type entry struct {
	budget     *tgretry.Budget
	candidates []tgroute.Candidate // as this entry's configuration has them
	cluster    *Cluster
	router     chooser
}

// request is one request of a caller, over all its attempts.
type request struct {
	account    string
	arrived    time.Time
	deadline   time.Time
	delivered  int
	idempotent bool
	last       time.Time // of the last token
	prefill    int
	priority   tgcall.Priority
	runs       int // times that an engine began it
	share      int
	tokens     int
	tried      map[string]bool
	upstreams  []string
}

// attempt is a request at one companion.
type attempt struct {
	begun     bool // has shown a token
	companion *companion
	last      time.Time // of the last token, or as sent
	entry     *entry
	over      bool
	request   *request
	running   bool      // admitted
	sent      time.Time // or the last heartbeat that said it still waits
}

func (e *entry) next(r *request) {
	c, ok := e.router.Choose(tgroute.Untried(e.candidates, r.tried))
	if !ok {
		e.cluster.refused(r)
		return
	}
	r.tried[c.Name] = true
	r.upstreams = append(r.upstreams, c.Name)
	a := &attempt{companion: e.cluster.companions[c.Name], entry: e, request: r, sent: e.cluster.sim.now(),
		last: e.cluster.sim.now()}
	e.cluster.Attempts++
	e.cluster.sim.after(oneWay, func() { a.companion.execute(a) })
	e.cluster.sim.after(heartbeat, a.beat)
}

// beat is the heartbeat of the companion, which carries its load.
func (a *attempt) beat() {
	switch {
	case a.over, a.companion.dead:
		return
	case a.companion.silent:
		a.entry.cluster.sim.after(lostAfter-heartbeat, a.lost)
		return
	}
	a.entry.router.RecordLoad(a.companion.Name, a.companion.load())
	now := a.entry.cluster.sim.now()
	if !a.running {
		a.sent, a.last = now, now
	}
	if a.request.idempotent && now.Sub(a.last) > moveAfter &&
		a.entry.router.Excluded(a.companion.Name) == tgroute.Stalled {
		a.lost() // the job stays in the stalled engine, as if the cancellation were lost
		return
	}
	a.entry.cluster.sim.after(heartbeat, a.beat)
}

func (a *attempt) token(first, gap time.Duration) {
	if a.over {
		return
	}
	now := a.entry.cluster.sim.now()
	a.last = now
	if first > 0 {
		a.begun = true
		a.entry.router.RecordAttempt(a.companion.Name, tgroute.Observation{FirstToken: now.Sub(a.sent)})
	} else {
		a.entry.router.RecordAttempt(a.companion.Name, tgroute.Observation{Gap: gap})
	}
	a.entry.cluster.token(a.request)
}

func (a *attempt) end(ok bool) {
	if a.over {
		return
	}
	if !ok {
		a.entry.cluster.sim.after(lostAfter-heartbeat, a.lost)
		return
	}
	a.over = true
	a.entry.router.RecordLoad(a.companion.Name, a.companion.load())
	a.entry.router.Done(a.companion.Name, a.begun)
	a.entry.cluster.answered(a.request)
}

// lost ends an attempt whose companion shows nothing any more.
func (a *attempt) lost() {
	a.fail(tgcall.UnknownFailure(tgcall.CodeUpstreamLost, ""))
}

func (a *attempt) refuse(f *tgcall.Failure) {
	if a.companion.silent {
		return
	}
	a.entry.cluster.sim.after(oneWay, func() {
		if !a.companion.dead {
			a.entry.router.RecordLoad(a.companion.Name, a.companion.load())
		}
		a.fail(f)
	})
}

func (a *attempt) fail(f *tgcall.Failure) {
	if a.over {
		return
	}
	a.over = true
	e, r := a.entry, a.request
	e.router.Done(a.companion.Name, a.begun)
	if f.Code == tgcall.CodeUpstreamLost || f.Code == tgcall.CodeUpstreamUnreachable {
		e.router.RecordAttempt(a.companion.Name, tgroute.Observation{Failed: true})
	}
	verdict := tgretry.Stop
	if len(r.tried) < maxAttempts && e.cluster.sim.now().Before(r.deadline) {
		verdict = e.budget.AfterFailure(f, r.idempotent, r.delivered > 0)
	}
	switch {
	case verdict == tgretry.Redirect:
		e.next(r)
	case verdict == tgretry.Retry:
		e.cluster.sim.after(e.budget.Backoff(len(r.tried)-1), func() { e.next(r) })
	case r.runs > 0:
		e.cluster.lost(r)
	default:
		e.cluster.refused(r)
	}
}
