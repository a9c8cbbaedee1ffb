package tgproxy

import (
	"context"
	"net/http"
	"time"

	"tanagergrade/core/tgmemory"
	"tanagergrade/io/tghttp"
)

const (
	retryAfterUnconfirmed     = 500 * time.Millisecond // while the configuration may be outdated
	retryAfterNoUpstream      = 700 * time.Millisecond
	retryAfterFullBase        = 100 * time.Millisecond // short, because a full upstream soon has a free slot
	retryAfterFullJitter      = 300 * time.Millisecond
	retryAfterDeadlineDivisor = 3 // callers ignore a Retry-After longer than their remaining time divided by this
)

// handle routes a request, answers it and reports whether the connection may carry another.
func (k *callerConn) handle(
	ctx context.Context, r *tghttp.Request, body []byte, buffers *tgmemory.Lease, receivedAt time.Time,
) bool {
	s := k.server
	c := s.newCall(r, body, buffers, receivedAt)
	if status, outcome := s.resolve(c); status != 0 {
		wait := time.Duration(0)
		switch {
		case c.config == nil:
			wait = s.configOutage.RetryAfter(receivedAt)
		case status == http.StatusServiceUnavailable:
			wait = retryAfterUnconfirmed
		}
		return k.refuse(c, status, outcome, wait, r.KeepAlive)
	}
	s.estimate(c)
	if !s.canFinish(c) {
		c.detail = detailStops
		return k.refuse(c, http.StatusServiceUnavailable, outcomeRefused, 0, false)
	}
	ctx, cancel := context.WithDeadline(ctx, c.expiresAt)
	defer cancel()
	stop := k.cancelOnDisconnect(cancel)
	a := &responseState{caller: k, ctx: ctx, keepAlive: r.KeepAlive, lastEventID: noEventID}
	k.forward(a, c)
	stop()
	return a.keepAlive // as the head announced, even if the server has started to drain since
}

// resolve sets the route, the client account and the pool of a call; status is that of a refusal, or 0.
func (s *Server) resolve(c *call) (status int, outcome string) {
	cfg, current := s.catalog.Config()
	if cfg == nil {
		return http.StatusServiceUnavailable, "noConfiguration"
	}
	s.configOutage.End()
	c.config = cfg
	refuseUnknown := func(status int, outcome string) (int, string) {
		if !current { // a newer configuration may have the route or key
			return http.StatusServiceUnavailable, outcome + "Unconfirmed"
		}
		return status, outcome
	}
	route, ok := cfg.Route(c.request.Host, c.request.Path())
	if !ok {
		return refuseUnknown(http.StatusNotFound, "routeUnknown")
	}
	if c.id == "" {
		return http.StatusBadRequest, "attemptIDMissing"
	}
	c.applyRoute(route)
	c.forecast = s.forecast(route.Name)
	if cfg.KeyRequired && !route.Anonymous {
		a, ok := cfg.Accounts[c.request.Header.Get(s.headers.Key)]
		if !ok {
			return refuseUnknown(http.StatusUnauthorized, "keyUnknown")
		}
		c.account = a
	}
	c.pool = route.ChoosePool(s.rand())
	c.isRetry = s.isRetry(route.Name, c.callerDeadline.Sub(c.receivedAt)) || c.resumes()
	c.waits = s.mayWait(c)
	return 0, ""
}

// refuse answers with a status of the proxy's own and reports whether the connection may carry another request.
func (k *callerConn) refuse(c *call, status int, outcome string, retryAfter time.Duration, keepAlive bool) bool {
	s := k.server
	now := time.Now()
	if retryAfter > 0 {
		retryAfter = min(retryAfter, max(0, c.callerDeadline.Sub(now)/retryAfterDeadlineDivisor))
	}
	e := c.newEvent(outcome, status, now)
	e.RetryAfter = retryAfter
	s.observer.Request(e)
	keepAlive = keepAlive && !s.isDraining()
	return k.write(refusalBytes(status, c.id, retryAfter, keepAlive, &s.headers)) == nil && keepAlive
}
