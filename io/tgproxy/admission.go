package tgproxy

import (
	"net/http"
	"sync"
	"time"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgstreamlimit"
	"tanagergrade/core/tgwaitqueue"
)

// Admission is what becomes of a stream for which the concurrency limit of its pool has no room.
type Admission string

// Kinds of admission.
const (
	AdmissionAuto   Admission = "auto"   // AdmissionQueue for pools whose streams have more than one priority, else AdmissionRefuse
	AdmissionQueue  Admission = "queue"  // it waits if a place is expected in time
	AdmissionRefuse Admission = "refuse" // it is refused at once
)

// Admissions are the valid values of Admission.
func Admissions() []Admission { return []Admission{AdmissionAuto, AdmissionQueue, AdmissionRefuse} }

// WithAdmission sets the admission of streams; the default is AdmissionAuto.
func WithAdmission(a Admission) Option { return func(s *Server) { s.admission.kind = a } }

const queueUpdateInterval = 25 * time.Millisecond

// admission has the queues of streams that wait for a place.
type admission struct {
	kind Admission

	mu     sync.Mutex            // guards queues
	queues map[string]*waitQueue // by pool
}

// waitQueue is the queue of a pool. A goroutine updates it while streams wait.
type waitQueue struct {
	*tgwaitqueue.Queue

	mu       sync.Mutex // guards updating
	updating bool
}

// isQueued reports whether the streams of a pool wait for a place.
func (a *admission) isQueued(cfg *tgcatalog.Config, pool string) bool {
	return a.kind == AdmissionQueue || a.kind != AdmissionRefuse && cfg.RanksStreams(pool)
}

// queue returns the queue of a pool.
func (a *admission) queue(pool string, limiter *tgstreamlimit.Limiter, random func() float64) *waitQueue {
	a.mu.Lock()
	defer a.mu.Unlock()
	q, ok := a.queues[pool]
	if !ok {
		q = &waitQueue{Queue: tgwaitqueue.NewQueue(limiter, random)}
		if a.queues == nil {
			a.queues = map[string]*waitQueue{}
		}
		a.queues[pool] = q
	}
	return q
}

// states returns the states of the queues by pool.
func (a *admission) states(now time.Time) map[string]tgwaitqueue.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	states := make(map[string]tgwaitqueue.State, len(a.queues))
	for pool, q := range a.queues {
		states[pool] = q.State(now)
	}
	return states
}

// isLimited reports whether the concurrency limit of its pool applies to the call: it does to streams with a target for the
// time between events.
func (c *call) isLimited() bool {
	return c.route.Kind == tgcatalog.KindStreaming && c.route.EventGapTarget > 0
}

// mayWait reports whether a call waits for a place.
func (s *Server) mayWait(c *call) bool {
	return c.isLimited() && s.admission.isQueued(c.config, c.pool)
}

// admit reports whether the concurrency limit of the pool leaves room for a stream, and refuses the call if not.
// Requests of other kinds are always admitted.
func (k *callerConn) admit(a *responseState, c *call, upstreams []tgcatalog.Upstream) bool {
	if !c.isLimited() {
		return true
	}
	s := k.server
	limiter := s.streamLimiter(c.config.Pools[c.pool], upstreams, c.route)
	if c.waits {
		return k.awaitPlace(a, c, limiter)
	}
	ticket, refusal := limiter.Admit(c.applicant(), time.Now())
	if refusal == nil {
		c.ticket = ticket
		a.limiter = limiter
		return true
	}
	c.detail = string(refusal.Reason)
	e := c.newEvent(outcomeRefused, http.StatusServiceUnavailable, time.Now())
	e.InFlight, e.Limit, e.PeakGap, e.RetryAfter = refusal.InFlight, refusal.Limit, refusal.PeakGap, refusal.RetryAfter
	k.refuseStream(a, c, e)
	return false
}

// refuseStream answers a stream that was not admitted.
func (k *callerConn) refuseStream(a *responseState, c *call, e Event) {
	s := k.server
	s.observer.Request(e)
	keepAlive := a.decideKeepAlive()
	a.keepAlive = k.write(refusalBytes(e.Status, c.id, e.RetryAfter, keepAlive, &s.headers)) == nil && keepAlive
}

// awaitPlace waits for a place in the pool and reports whether the call has got one; if not, it answers the call.
func (k *callerConn) awaitPlace(a *responseState, c *call, limiter *tgstreamlimit.Limiter) bool {
	s := k.server
	q := s.admission.queue(c.pool, limiter, s.rand)
	t := s.submit(q, c)
	claimed := false
	defer func() { // also after a panic
		if !claimed {
			t.Leave(time.Now())
		}
	}()
	begin := time.Now()
	select {
	case <-t.Decided():
	default:
		s.counters.Add("queuedStreams", 1)
		s.updateWhileWaiting(q, c)
		select {
		case <-t.Decided():
		case <-a.ctx.Done():
		}
		c.waited += time.Since(begin)
	}
	place, refusal := t.Outcome()
	switch {
	case refusal != nil:
		k.refuseQueued(a, c, refusal)
		return false
	case a.ctx.Err() != nil:
		k.abandon(a, c)
		return false
	}
	if place.IsBeyondLimit() {
		s.counters.Add("queueBeyondLimit", 1)
	}
	if c.waited > 0 {
		s.counters.Add("queueAdmitted", 1)
	}
	if now := time.Now(); s.poolRuns(c.pool, now) {
		s.selectGroups(c, true)
	} else { // it tests the pool, and its answer concerns the group of its upstream
		c.groups.all = s.poolGroups(c.pool, now)
	}
	claimed = true
	c.ticket, c.queue, c.placedAt, a.limiter = place, q, time.Now(), limiter
	return true
}

// submit queues a call, or lets it test a pool in an outage.
func (s *Server) submit(q *waitQueue, c *call) *tgwaitqueue.Ticket {
	now := time.Now()
	usual, longest := q.FirstEvent()
	end := c.receivedAt.Add(c.route.Patience())
	if c.expiresAt.Before(end) {
		end = c.expiresAt
	}
	running := s.poolRuns(c.pool, now)
	q.SetRunning(running, now)
	return q.Submit(tgwaitqueue.Request{
		Account: c.account.Name, Cost: c.cost, LastStart: end.Add(-longest),
		OnTimeBy: c.receivedAt.Add(c.route.FirstByteTarget - usual), Probe: !running && s.selectGroups(c, true),
		Rank: tgwaitqueue.Rank{Priority: c.priority(), RoutePriority: c.route.Priority}, Returning: c.isRetry,
		RetryAfter: c.callerDeadline.Sub(now) / retryAfterDeadlineDivisor,
	}, now)
}

// updateWhileWaiting updates a queue until no stream waits in it. The bounds of the limit are those of the call's route.
func (s *Server) updateWhileWaiting(q *waitQueue, c *call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.updating {
		return
	}
	q.updating = true
	cfg, pool, route := c.config, c.pool, c.route
	go func() {
		for s.updateQueue(q, cfg.Pools[pool], route) {
			time.Sleep(queueUpdateInterval)
		}
	}()
}

// updateQueue updates a queue and reports whether streams wait in it.
func (s *Server) updateQueue(q *waitQueue, pool tgcatalog.Pool, route *tgcatalog.Route) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	s.streamLimiter(pool, s.catalog.Upstreams(pool.Name), route)
	running := s.poolRuns(pool.Name, now)
	q.SetRunning(running, now)
	if !running && s.mayProbe(pool.Name, now) {
		q.Probe(now)
	}
	if s.isDraining() {
		q.Drain(now)
	}
	q.updating = q.Update(now) > 0
	return q.updating
}

// refuseQueued answers a call that has got no place.
func (k *callerConn) refuseQueued(a *responseState, c *call, r *tgwaitqueue.Refusal) {
	s := k.server
	now := time.Now()
	c.detail = "queue: " + string(r.Reason)
	e := c.newEvent(outcomeRefused, http.StatusServiceUnavailable, now)
	e.ExpectedWait, e.Position, e.RetryAfter = r.Wait, r.Position, r.RetryAfter
	e.InFlight, e.Limit, e.PeakGap = r.Places.InFlight, r.Places.Limit, r.Places.PeakGap
	if r.Reason == tgwaitqueue.ReasonOutage {
		e.RetryAfter = s.outageRetryAfter(c)
	}
	e.RetryAfter = min(e.RetryAfter, max(0, c.callerDeadline.Sub(now)/retryAfterDeadlineDivisor))
	if c.waited > 0 {
		s.counters.Add("queueDropped", 1)
	} else {
		s.counters.Add("queueRefused", 1)
	}
	k.refuseStream(a, c, e)
}

// releasePlace releases the place of a call, if it has one.
func (c *call) releasePlace() {
	if c.ticket == nil {
		return
	}
	now := time.Now()
	c.ticket.Done(now)
	c.ticket = nil
	if c.queue == nil {
		return
	}
	if c.events.first > 0 {
		c.queue.RecordFirstEvent(c.events.first-c.placedAt.Sub(c.receivedAt), true)
	} else {
		c.queue.RecordFirstEvent(now.Sub(c.placedAt), false)
	}
	c.queue.Grant(now)
}

// outlastOutage makes a call that found its pool in an outage wait for the end of it, and reports whether the call has got a
// place again; if not, it has ended. Only callers who have returned wait, as they would not come back another time; others
// are refused.
func (k *callerConn) outlastOutage(a *responseState, c *call) bool {
	if c.queue == nil || !c.isRetry || c.mayHaveRun || a.headWritten || c.attempts >= c.route.MaxAttempts {
		k.endUnanswered(a, c, c.detail, k.server.outageRetryAfter(c))
		return false
	}
	c.releasePlace()
	return k.awaitPlace(a, c, a.limiter)
}
