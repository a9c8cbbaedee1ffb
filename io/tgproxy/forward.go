package tgproxy

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgpicker"
	"tanagergrade/core/tgquarantine"
	"tanagergrade/core/tgquota"
	"tanagergrade/core/tgstreamlimit"
	"tanagergrade/io/tghttp"
)

// responseState is the state of the response to a call.
type responseState struct {
	answer        *bufferedAnswer // of the last attempt; written when that has ended, as the caller may read it slowly
	caller        *callerConn
	begunAt       time.Time       // when this attempt forwarded its first event; zero before that
	contentType   string          // of the response, once its head was written
	ctx           context.Context //nolint:containedctx // lives as long as one call
	headWritten   bool            // the head was written to the caller
	keepAlive     bool            // the connection may carry another request
	lastEventAt   time.Time       // when this attempt last forwarded events; zero before that
	lastEventID   int64           // highest ID of the events that the caller has; noEventID if it has none
	limiter       *tgstreamlimit.Limiter
	proven        bool            // this attempt has gone on for tgquarantine.ProofTime since its first event
	resumes       bool            // this attempt resumes a stream
	upstreamError *bufferedAnswer // forwarded if no other upstream answers
}

// decideKeepAlive decides, when the head is written, whether the connection may carry another request: not while the
// server drains.
func (a *responseState) decideKeepAlive() bool {
	a.keepAlive = a.keepAlive && !a.caller.server.isDraining()
	return a.keepAlive
}

const (
	maxAnswerBytes    = 16 << 20              // bytes of an answer's body, unless it is streamed
	maxAnswerDivisor  = 4                     // an answer's body takes at most this part of the memory for all bodies
	maxUnsentAttempts = 3                     // attempts that do not reach an upstream before the request is refused
	minTimeToSend     = 20 * time.Millisecond // with less time left, no attempt is started
)

// forward admits the call and sends it to upstreams until it is answered.
func (k *callerConn) forward(a *responseState, c *call) {
	s := k.server
	upstreams := s.catalog.Upstreams(c.pool)
	if d := s.quarantine.Decide(c.promptParts, time.Now()); d.Verdict == tgquarantine.VerdictRefuse {
		k.endQuarantined(a, c, d)
		return
	}
	if !c.waits && !s.selectGroups(c, true) {
		k.endUnanswered(a, c, "pool outage: no upstream runs requests at present", s.outageRetryAfter(c))
		return
	}
	if !k.admit(a, c, upstreams) {
		return
	}
	defer c.releasePlace()
	k.tryUpstreams(a, c)
}

// tryUpstreams sends the call to one upstream after another until it is answered or no other may be tried.
func (k *callerConn) tryUpstreams(a *responseState, c *call) {
	s := k.server
	c.tried = map[string]bool{}
	defer c.endTrial()
	budget := s.retryBudget(c.pool)
	for unsent := 0; ; {
		if !k.passQuarantine(a, c) || !k.hasTime(a, c) {
			return
		}
		now := time.Now()
		candidates := s.candidates(c)
		choice, reason := s.picker.Pick(candidates, s.pickRequest(c), now)
		if choice == nil {
			wait := retryAfterNoUpstream
			if reason == tgpicker.ReasonPaused {
				wait = s.picker.PauseLeft(candidates, now)
			}
			k.endUnanswered(a, c, "no upstream: "+string(reason), wait)
			return
		}
		if c.attempts == 0 {
			budget.RecordRequest(now)
		} else if !budget.AllowRetry(now) {
			choice.Done(tgpicker.OutcomeCancelled, 0, now)
			k.endUnanswered(a, c, c.detail+"; retry budget is exhausted", s.outageRetryAfter(c))
			return
		}
		c.attempts++
		verdict := k.attempt(a, c, choice)
		if verdict == verdictDone {
			if a.answer != nil {
				k.writeAnswer(a, c, a.answer)
			}
			return
		}
		if verdict == verdictUnsent {
			c.attempts--
			if unsent++; unsent < maxUnsentAttempts {
				continue
			}
		}
		if !k.mayTryAgain(a, c, verdict) {
			return
		}
	}
}

// hasTime reports whether there is time for another attempt, and ends the call if not. It may have waited for the trial of a
// part of its prompt.
func (k *callerConn) hasTime(a *responseState, c *call) bool {
	switch {
	case a.ctx.Err() != nil || time.Until(c.expiresAt) < minTimeToSend:
		k.abandon(a, c)
		return false
	case !c.mayHaveRun && !k.server.canFinish(c):
		k.endUnanswered(a, c, detailStops, 0)
		return false
	}
	return true
}

// mayTryAgain reports whether another attempt may follow one that failed, and ends the call if not.
func (k *callerConn) mayTryAgain(a *responseState, c *call, v verdict) bool {
	s := k.server
	again := v == verdictRetry || v == verdictOutage
	switch {
	case again && !s.selectOtherGroup(c, v):
		return k.outlastOutage(a, c)
	case !again, c.attempts >= c.route.MaxAttempts:
		k.endUnanswered(a, c, c.detail, retryAfterFullBase+time.Duration(s.rand()*float64(retryAfterFullJitter)))
	default:
		return true
	}
	return false
}

func (s *Server) pickRequest(c *call) tgpicker.Request {
	rate := tgquota.ColdRate(c.config.Pools[c.pool].ColdRate, s.catalog.EntryCount())
	c.placedBy = ""
	r := tgpicker.Request{ColdRate: rate, Slowdown: s.catalog.Slowdown, Tried: c.tried, Work: c.cost}
	if s.sharesLoads(c) {
		r.Load = s.upstreamLoads()
		s.counters.Add("attemptsPlacedBySharedLoad", 1)
		c.placedBy = placedByShared
	}
	if s.placesByCost(c) {
		length := c.estimate.Mean()
		r.OwnLoad = func(u *tgcatalog.Upstream) float64 { return s.ledger.Load(u.ID, length).Units() }
		c.placedBy += placedByCost
		s.counters.Add("attemptsPlacedByCost", 1)
	}
	if c.trial != nil {
		r.Avoid = s.quarantine.TrialUpstreams(time.Now())
	}
	return r
}

// verdict is what follows an attempt.
type verdict string

const (
	verdictDone   verdict = "done"   // the call has ended
	verdictOutage verdict = "outage" // no upstream of the group can run requests at present
	verdictRetry  verdict = "retry"  // another upstream may be tried
	verdictStop   verdict = "stop"   // no other upstream may be tried
	verdictUnsent verdict = "unsent" // the request did not reach the upstream
)

// attempt sends the call to one upstream and forwards its answer.
func (k *callerConn) attempt(a *responseState, c *call, choice *tgpicker.Choice) (v verdict) {
	s := k.server
	u := choice.Upstream
	c.upstream, c.upstreamLoad = u.ID, choice.Load
	c.tried[u.ID] = true
	if c.trial != nil {
		c.trial.SetUpstream(u.ID)
	}
	s.startJob(c, u.ID)
	defer c.endJob()
	outcome, latency := tgpicker.OutcomeCancelled, time.Duration(0)
	defer func() { choice.Done(outcome, latency, time.Now()) }() // also after a panic
	x := s.startExchange(a.ctx, u, s.connectionShare(c), c, c.requestHead(u, a.lastEventID, time.Now()))
	defer x.finish()
	defer s.endProgress(c, x)
	defer s.unbegun.remove(x)
	latency = x.timeToFirstByte
	choice.Note(x.hints(&s.headers), time.Now())
	c.detail = x.detail
	if x.kind != answerUnsent && x.kind != answerNotExecuted {
		c.mayHaveRun = true
	}
	outcome, v = k.forwardAnswer(a, c, x)
	if x.withdrawn.Load() && v == verdictRetry {
		s.counters.Add("withdrawnAttempts", 1)
		c.detail = "withdrawn because a part of the prompt is suspected of crashing upstreams"
		outcome = tgpicker.OutcomeCancelled
	}
	k.recordCrash(a, c, x)
	c.endTrial()
	if v != verdictDone {
		e := c.newEvent(string(outcome), 0, time.Now())
		e.PromptParts = strings.Join(c.promptParts, ",")
		s.observer.Attempt(e)
	}
	return v
}

// forwardAnswer forwards the answer to an attempt, if it may be forwarded, and returns what the attempt says of the
// upstream and what follows it.
func (k *callerConn) forwardAnswer(a *responseState, c *call, x *exchange) (tgpicker.Outcome, verdict) {
	s := k.server
	switch x.kind {
	case answerOK:
		s.groupBreaker(c, &x.target).RecordSuccess(time.Now())
		return k.deliver(a, c, x)
	case answerError:
		if !k.canRetry(c) || a.headWritten {
			return tgpicker.OutcomeFailed, k.deliverUpstreamError(a, c, x)
		}
		a.bufferUpstreamError(c, x)
		return tgpicker.OutcomeFailed, verdictRetry
	case answerNotExecuted:
		if x.response.Status == statusMisdirected {
			if c.request.Header.Get(s.headers.WeightVersion) != "" { // the upstream may only have other weights
				return tgpicker.OutcomeCancelled, verdictRetry
			}
			if s.groupBreaker(c, &x.target).RecordReplaced(time.Now()) {
				return tgpicker.OutcomeReplaced, verdictOutage
			}
			return tgpicker.OutcomeReplaced, verdictRetry
		}
		if x.response.Header.Get(s.headers.FailedUpstream) != "" {
			s.groupBreaker(c, &x.target).RecordFailure(time.Now())
			return tgpicker.OutcomeFull, verdictOutage
		}
		return tgpicker.OutcomeFull, verdictRetry
	case answerUnsent:
		return tgpicker.OutcomeLost, verdictUnsent
	case answerCanceled:
		k.abandon(a, c)
		return tgpicker.OutcomeCancelled, verdictDone
	case answerInvalid, answerIndeterminate:
		if c.route.Repeatable() {
			return tgpicker.OutcomeLost, verdictRetry
		}
	}
	return tgpicker.OutcomeLost, verdictStop
}

// answerLimit returns the longest body of an answer that is not streamed.
func (c *call) answerLimit() int64 {
	if c.buffers.Limit() == 0 {
		return maxAnswerBytes
	}
	return min(maxAnswerBytes, c.buffers.Limit()/maxAnswerDivisor)
}

// canRetry reports whether another attempt may follow one that the upstream has run.
func (k *callerConn) canRetry(c *call) bool {
	return c.route.Repeatable() && c.attempts < c.route.MaxAttempts
}

// connectionShare returns this process's share of the connections that an upstream of the call's pool may have.
func (s *Server) connectionShare(c *call) int {
	return tgquota.MaxConnections(c.config.Pools[c.pool].MaxConnections, s.catalog.EntryCount())
}

// deliver forwards a successful answer.
func (k *callerConn) deliver(a *responseState, c *call, x *exchange) (tgpicker.Outcome, verdict) {
	if c.route.Kind == tgcatalog.KindStreaming {
		return k.deliverStream(a, c, x)
	}
	held := c.buffers.Held()
	body, err := x.body.ReadAllReserved(c.answerLimit(), c.buffers)
	if err != nil {
		c.buffers.ReleaseTo(held)
		x.connEnded = isConnectionEnd(err)
		c.detail = "answer truncated: " + err.Error()
		if a.ctx.Err() != nil {
			k.abandon(a, c)
			return tgpicker.OutcomeCancelled, verdictDone
		}
		if c.route.Repeatable() {
			return tgpicker.OutcomeFailed, verdictRetry
		}
		return tgpicker.OutcomeFailed, verdictStop
	}
	k.server.recordAnswer(c, x)
	now := time.Now()
	c.forecast.RecordEnd(now.Sub(c.receivedAt), 0, 0, now)
	a.answer = &bufferedAnswer{body: body, outcome: outcomeAnswered, response: x.response}
	return tgpicker.OutcomeAnswered, verdictDone
}

// deliverUpstreamError forwards an upstream's error, unless its status would promise that the request has not run.
func (k *callerConn) deliverUpstreamError(a *responseState, c *call, x *exchange) verdict {
	if impliesNotExecuted(x.response.Status) {
		return verdictStop
	}
	body, err := x.body.ReadAllReserved(c.answerLimit(), c.buffers)
	if err != nil || a.headWritten {
		return verdictStop
	}
	a.answer = &bufferedAnswer{body: body, outcome: outcomeFailed, response: x.response}
	return verdictDone
}

func (k *callerConn) writeAnswer(a *responseState, c *call, answer *bufferedAnswer) {
	b := responseHead(answer.response, a.decideKeepAlive())
	b = tghttp.AppendContentLength(b, len(answer.body))
	err := k.writeWithBody(b, answer.body, c.callerDeadline)
	a.keepAlive = a.keepAlive && err == nil
	k.server.observer.Request(c.newEvent(answer.outcome, answer.response.Status, time.Now()))
}

// responseHead returns the head of an upstream's answer without framing headers and the final empty line.
func responseHead(r *tghttp.Response, keepAlive bool) []byte {
	b := tghttp.AppendStatusLine(make([]byte, 0, 1<<10), r.Status, r.Reason)
	for _, f := range r.Header {
		if !r.Header.IsHopByHop(f.Name) {
			b = tghttp.AppendField(b, f.Name, f.Value)
		}
	}
	if !keepAlive {
		b = tghttp.AppendField(b, "Connection", "close")
	}
	return b
}

// endUnanswered ends a call that no upstream has answered in full: it aborts a response that has begun, forwards an
// upstream's error, or refuses the call with a status that depends on whether it may have run.
func (k *callerConn) endUnanswered(a *responseState, c *call, detail string, retryAfter time.Duration) {
	c.detail = detail
	switch {
	case a.headWritten:
		k.abortResponse(a, c, outcomeBroken)
	case a.upstreamError != nil:
		k.writeAnswer(a, c, a.upstreamError)
	case c.mayHaveRun:
		a.keepAlive = k.refuse(c, http.StatusBadGateway, outcomeIndeterminate, 0, a.keepAlive)
	default:
		a.keepAlive = k.refuse(c, http.StatusServiceUnavailable, outcomeRefused, retryAfter, a.keepAlive)
	}
}

// abandon ends a call whose time is over, whose caller has disconnected or which the server can't finish before it ends.
func (k *callerConn) abandon(a *responseState, c *call) {
	if errors.Is(context.Cause(a.ctx), errServerStops) {
		k.endUnanswered(a, c, errServerStops.Error(), 0)
		return
	}
	now := time.Now()
	disconnected := now.Before(c.expiresAt.Add(-minTimeToSend)) && a.ctx.Err() != nil
	switch {
	case disconnected:
		c.detail = "caller disconnected"
	case c.mayHaveRun:
		c.detail = "deadline exceeded while an upstream may be running the request"
	default:
		c.detail = "deadline exceeded before an upstream ran the request: " + c.detail
	}
	switch {
	case disconnected:
		k.abortResponse(a, c, outcomeCancelled)
	case a.headWritten:
		k.abortResponse(a, c, outcomeDeadline)
	case c.mayHaveRun:
		a.keepAlive = k.refuse(c, http.StatusGatewayTimeout, outcomeDeadline, 0, a.keepAlive)
	default:
		a.keepAlive = k.refuse(c, http.StatusServiceUnavailable, outcomeDeadline, 0, a.keepAlive)
	}
}

// abortResponse makes the caller's connection close, so that a response that has begun does not look complete.
func (k *callerConn) abortResponse(a *responseState, c *call, outcome string) {
	a.keepAlive = false
	k.server.observer.Request(c.newEvent(outcome, 0, time.Now()))
}
