package tgproxy

import (
	"context"
	"net/http"
	"time"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgpace"
	"tanagergrade/core/tgpick"
	"tanagergrade/core/tgquota"
	"tanagergrade/io/tghttp"
)

// answer is the answer to a call in progress.
type answer struct {
	caller  *caller
	ctx     context.Context //nolint:containedctx // lives as long as one call
	failure *failure        // of an upstream; passed on if no other one answers
	keep    bool            // the connection may carry another request
	lastGap time.Time       // when the last event was passed on
	last    int64           // event that the caller has; noEvent if it has none
	pacer   *tgpace.Limiter
	started bool // the head was written
}

// keepsOpen decides, as the head is written, whether the connection may carry another request.
func (a *answer) keepsOpen() bool {
	a.keep = a.keep && !a.caller.server.isDraining()
	return a.keep
}

const (
	maxAnswer     = 16 << 20
	maxUnsent     = 3 // upstreams that could not be reached before the request is refused
	minTimeToSend = 20 * time.Millisecond
)

// run passes the call on until it is answered.
func (k *caller) run(a *answer, c *call) {
	s := k.server
	upstreams := s.catalog.Upstreams(c.pool)
	outage := s.outage(c.pool)
	if now := time.Now(); !outage.Allow(now) {
		k.exhausted(a, c, "the pool runs nothing at present", outage.RetryAfter(now))
		return
	}
	if !k.admit(a, c, upstreams) {
		return
	}
	if c.ticket != nil {
		defer func() { c.ticket.Done(time.Now()) }()
	}
	k.try(a, c)
}

// try sends the call to one upstream after the other until it is answered or no other may have it.
func (k *caller) try(a *answer, c *call) {
	s := k.server
	c.tried = map[string]bool{}
	window := s.window(c.pool)
	for unsent := 0; ; {
		now := time.Now()
		if a.ctx.Err() != nil || c.ends.Sub(now) < minTimeToSend {
			k.giveUp(a, c)
			return
		}
		choice, reason := s.picker.Pick(s.catalog.Upstreams(c.pool), s.pickRequest(c), now)
		if choice == nil {
			k.exhausted(a, c, "no upstream: "+string(reason), retryNoUpstream)
			return
		}
		if c.attempts == 0 {
			window.RecordRequest(now)
		} else if !window.AllowRetry(now) {
			choice.Done(tgpick.OutcomeCancelled, 0, now)
			k.exhausted(a, c, c.detail+"; retry budget is used up", retryNoUpstream)
			return
		}
		c.attempts++
		verdict := k.attempt(a, c, choice)
		if verdict == verdictDone {
			return
		}
		if verdict == verdictUnsent {
			c.attempts--
			if unsent++; unsent < maxUnsent {
				continue
			}
		}
		if verdict == verdictOutage {
			k.exhausted(a, c, c.detail, s.outage(c.pool).RetryAfter(time.Now()))
			return
		}
		if c.attempts >= c.route.MaxAttempts || verdict != verdictRetry {
			k.exhausted(a, c, c.detail, retryFullBase+time.Duration(s.rand()*float64(retryFullSpread)))
			return
		}
	}
}

func (s *Server) pickRequest(c *call) tgpick.Request {
	rate := tgquota.ColdRate(c.config.Pools[c.pool].ColdRate, s.catalog.EntryCount())
	return tgpick.Request{ColdRate: rate, Slowdown: s.catalog.Slowdown, Tried: c.tried, Work: c.work}
}

// verdict says what follows an attempt.
type verdict string

const (
	verdictDone   verdict = "done"
	verdictOutage verdict = "outage" // no upstream of the pool runs anything
	verdictRetry  verdict = "retry"  // another upstream may have it
	verdictStop   verdict = "stop"   // no other upstream may have it
	verdictUnsent verdict = "unsent" // it did not reach the upstream
)

// attempt sends the call to one upstream and passes its answer on.
func (k *caller) attempt(a *answer, c *call, choice *tgpick.Choice) verdict {
	s := k.server
	u := choice.Upstream
	c.upstream = u.ID
	c.tried[u.ID] = true
	x := s.open(a.ctx, u, s.connections(c), c, c.head(u, a.last, time.Now()))
	defer x.finish()
	c.detail = x.detail
	if x.kind != answerUnsent && x.kind != answerNotRun {
		c.sent = true
	}
	outcome, v := tgpick.OutcomeAnswered, verdictDone
	switch x.kind {
	case answerOK:
		s.outage(c.pool).RecordSuccess()
		outcome, v = k.deliver(a, c, x)
	case answerFailed:
		outcome = tgpick.OutcomeFailed
		if v = verdictRetry; !k.mayRepeat(c) || a.started {
			v = k.deliverFailure(a, c, x)
		} else {
			a.keepFailure(x)
		}
	case answerNotRun:
		outcome, v = tgpick.OutcomeFull, verdictRetry
		if x.response.Status == statusMisdirected {
			outcome = tgpick.OutcomeReplaced
		} else if x.response.Header.Get(s.headers.FailedUpstream) != "" {
			s.outage(c.pool).RecordFailure(time.Now())
			v = verdictOutage
		}
	case answerUnsent:
		outcome, v = tgpick.OutcomeLost, verdictUnsent
	case answerCanceled:
		outcome, v = tgpick.OutcomeCancelled, verdictDone
		k.giveUp(a, c)
	case answerSpoilt, answerUnclear:
		outcome, v = tgpick.OutcomeLost, verdictStop
		if c.route.Repeatable() {
			v = verdictRetry
		}
	}
	now := time.Now()
	choice.Done(outcome, x.firstByte, now)
	if v != verdictDone {
		s.observer.Attempt(c.event(string(outcome), 0, now))
	}
	return v
}

// mayRepeat reports whether another attempt could follow one that ran.
func (k *caller) mayRepeat(c *call) bool {
	return c.route.Repeatable() && c.attempts < c.route.MaxAttempts
}

// connections returns this process's share of the connections of an upstream.
func (s *Server) connections(c *call) int {
	return tgquota.MaxConnections(c.config.Pools[c.pool].MaxConnections, s.catalog.EntryCount())
}

// deliver passes a success on.
func (k *caller) deliver(a *answer, c *call, x *exchange) (tgpick.Outcome, verdict) {
	if c.route.Kind == tgcatalog.KindStreaming {
		return k.deliverStream(a, c, x)
	}
	body, err := x.body.ReadAll(maxAnswer)
	if err != nil {
		c.detail = "answer ends early: " + err.Error()
		if a.ctx.Err() != nil {
			k.giveUp(a, c)
			return tgpick.OutcomeCancelled, verdictDone
		}
		if c.route.Repeatable() {
			return tgpick.OutcomeFailed, verdictRetry
		}
		return tgpick.OutcomeFailed, verdictStop
	}
	k.writePlain(a, c, x.response, body, outcomeAnswered)
	return tgpick.OutcomeAnswered, verdictDone
}

// deliverFailure passes an upstream's own failure on.
func (k *caller) deliverFailure(a *answer, c *call, x *exchange) verdict {
	if promisesNotRun(x.response.Status) {
		return verdictStop
	}
	body, err := x.body.ReadAll(maxAnswer)
	if err != nil || a.started {
		return verdictStop
	}
	k.writePlain(a, c, x.response, body, outcomeFailed)
	return verdictDone
}

func (k *caller) writePlain(a *answer, c *call, r *tghttp.Response, body []byte, outcome string) {
	b := responseHead(r, a.keepsOpen())
	b = tghttp.AppendContentLength(b, len(body))
	err := k.write(append(b, body...))
	a.keep = a.keep && err == nil
	k.server.observer.Request(c.event(outcome, r.Status, time.Now()))
}

// responseHead returns the head of an upstream's answer without its framing.
func responseHead(r *tghttp.Response, keep bool) []byte {
	b := tghttp.AppendStatusLine(make([]byte, 0, 1<<10), r.Status, r.Reason)
	for _, f := range r.Header {
		if !r.Header.IsHopByHop(f.Name) {
			b = tghttp.AppendField(b, f.Name, f.Value)
		}
	}
	if !keep {
		b = tghttp.AppendField(b, "Connection", "close")
	}
	return b
}

// exhausted answers a call that no upstream will answer.
func (k *caller) exhausted(a *answer, c *call, detail string, retryAfter time.Duration) {
	c.detail = detail
	switch {
	case a.started:
		k.breakOff(a, c, outcomeBroken)
	case a.failure != nil:
		k.writePlain(a, c, a.failure.response, a.failure.body, outcomeFailed)
	case c.sent:
		a.keep = k.refuse(c, http.StatusBadGateway, outcomeUnclear, 0, a.keep)
	default:
		a.keep = k.refuse(c, http.StatusServiceUnavailable, outcomeRefused, retryAfter, a.keep)
	}
}

// giveUp ends a call whose time is over or whose caller has left.
func (k *caller) giveUp(a *answer, c *call) {
	now := time.Now()
	left := now.Before(c.ends.Add(-minTimeToSend)) && a.ctx.Err() != nil
	switch {
	case left:
		c.detail = "the caller left"
	case c.sent:
		c.detail = "the time is over while the upstream is at work"
	default:
		c.detail = "the time is over before an upstream could be tried: " + c.detail
	}
	switch {
	case left:
		k.breakOff(a, c, outcomeCancelled)
	case a.started:
		k.breakOff(a, c, outcomeDeadline)
	case c.sent:
		a.keep = k.refuse(c, http.StatusGatewayTimeout, outcomeDeadline, 0, a.keep)
	default:
		a.keep = k.refuse(c, http.StatusServiceUnavailable, outcomeDeadline, 0, a.keep)
	}
}

// breakOff closes the caller's connection, so that an answer that has begun does not look complete.
func (k *caller) breakOff(a *answer, c *call, outcome string) {
	a.keep = false
	k.server.observer.Request(c.event(outcome, 0, time.Now()))
}
