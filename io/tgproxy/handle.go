package tgproxy

import (
	"context"
	"net/http"
	"time"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/io/tghttp"
)

const (
	retryUnready     = 500 * time.Millisecond // until a configuration is known
	retryNoUpstream  = 700 * time.Millisecond
	retryFullBase    = 100 * time.Millisecond // an upstream that is full has a place soon
	retryFullSpread  = 300 * time.Millisecond
	retryUnlikelyFor = 3 // a caller honours at most this part of the time it has left
)

// handle decides about a request, answers it and reports whether the connection may carry another.
func (k *caller) handle(ctx context.Context, r *tghttp.Request, body []byte, began time.Time) bool {
	s := k.server
	c := s.newCall(r, body, began)
	if status, outcome := s.resolve(c); status != 0 {
		wait := time.Duration(0)
		if status == http.StatusServiceUnavailable {
			wait = retryUnready
		}
		return k.refuse(c, status, outcome, wait, r.KeepAlive)
	}
	ctx, cancel := context.WithDeadline(ctx, c.ends)
	defer cancel()
	stop := k.watch(cancel)
	a := &answer{caller: k, ctx: ctx, keep: r.KeepAlive, last: noEvent}
	k.run(a, c)
	stop()
	return a.keep // as the caller was told, even if the server drains since
}

// resolve finds the route and the account; status is that of a refusal, or 0.
func (s *Server) resolve(c *call) (status int, outcome string) {
	cfg, current := s.catalog.Config()
	if cfg == nil {
		return http.StatusServiceUnavailable, "noConfiguration"
	}
	c.config = cfg
	unknown := func(status int, outcome string) (int, string) {
		if !current { // a newer configuration may allow it
			return http.StatusServiceUnavailable, outcome + "Unconfirmed"
		}
		return status, outcome
	}
	route, ok := cfg.Route(c.request.Host, c.request.Path())
	if !ok {
		return unknown(http.StatusNotFound, "routeUnknown")
	}
	if c.id == "" {
		return http.StatusBadRequest, "attemptIDMissing"
	}
	c.bind(route)
	if cfg.KeyRequired && !route.Anonymous {
		a, ok := cfg.Accounts[c.request.Header.Get(s.headers.Key)]
		if !ok {
			return unknown(http.StatusUnauthorized, "keyUnknown")
		}
		c.account = a
	}
	c.pool = route.ChoosePool(s.rand())
	c.returns = s.returning(route.Name, c.deadline.Sub(c.began))
	return 0, ""
}

// refuse answers with a status of the proxy's own and reports whether the connection may carry another request.
func (k *caller) refuse(c *call, status int, outcome string, retryAfter time.Duration, keep bool) bool {
	s := k.server
	now := time.Now()
	if retryAfter > 0 {
		retryAfter = min(retryAfter, max(0, c.deadline.Sub(now)/retryUnlikelyFor))
	}
	e := c.event(outcome, status, now)
	e.RetryAfter = retryAfter
	s.observer.Request(e)
	keep = keep && !s.isDraining()
	return k.write(refusalBytes(status, c.id, retryAfter, keep, &s.headers)) == nil && keep
}

// admit takes a place for a stream, or refuses it.
func (k *caller) admit(a *answer, c *call, upstreams []tgcatalog.Upstream) bool {
	if c.route.Kind != tgcatalog.KindStreaming || c.route.EventGapTarget <= 0 {
		return true
	}
	s := k.server
	pacer := s.pacer(c.config.Pools[c.pool], upstreams, c.route)
	ticket, refusal := pacer.Admit(c.applicant(), time.Now())
	if refusal == nil {
		c.ticket = ticket
		a.pacer = pacer
		return true
	}
	c.detail = string(refusal.Reason)
	now := time.Now()
	e := c.event(outcomeRefused, http.StatusServiceUnavailable, now)
	e.InFlight, e.Limit, e.PeakGap, e.RetryAfter = refusal.InFlight, refusal.Limit, refusal.PeakGap, refusal.RetryAfter
	s.observer.Request(e)
	keep := a.keepsOpen()
	a.keep = k.write(refusalBytes(e.Status, c.id, e.RetryAfter, keep, &s.headers)) == nil && keep
	return false
}
