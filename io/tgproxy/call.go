package tgproxy

import (
	"strconv"
	"strings"
	"time"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgpace"
	"tanagergrade/io/tghttp"
)

// call is one attempt of a caller.
type call struct {
	account        tgcatalog.Account
	attempts       int
	body           []byte
	callerDeadline time.Time // of the caller
	config         *tgcatalog.Config
	cost           float64
	detail         string // of the last attempt
	events         eventTimes
	expiresAt      time.Time // earlier one of the caller's deadline and the route's timeout
	headers        *Headers
	id             string
	isRetry        bool // the caller was refused before
	mayHaveRun     bool // an upstream may have run it
	pool           string
	receivedAt     time.Time
	request        *tghttp.Request
	route          *tgcatalog.Route
	ticket         *tgpace.Ticket
	tried          map[string]bool
	upstream       string
}

const (
	defaultDeadline     = 30 * time.Second // for a request without a deadline
	maxDeadline         = 10 * time.Minute
	retryDeadlineMargin = 50 * time.Millisecond // a deadline that is shorter than usual by more marks a caller who returns
	promptTokensPerUnit = 1000.0                // tokens that add as much load as a stream without a prompt
	maxPromptUnits      = 4.0
	lowestPriority      = 9 // that upstreams know
)

func (s *Server) newCall(r *tghttp.Request, body []byte, began time.Time) *call {
	c := &call{receivedAt: began, body: body, headers: &s.headers, id: r.Header.Get(s.headers.AttemptID), request: r, cost: 1}
	wait := defaultDeadline
	if ms, err := strconv.ParseFloat(r.Header.Get(s.headers.DeadlineMs), 64); err == nil && ms >= 0 {
		wait = min(time.Duration(ms*float64(time.Millisecond)), maxDeadline)
	}
	c.callerDeadline = began.Add(wait)
	c.expiresAt = c.callerDeadline
	return c
}

// applyRoute sets what follows from the route.
func (c *call) applyRoute(route *tgcatalog.Route) {
	c.route = route
	if end := c.receivedAt.Add(route.Timeout); route.Timeout > 0 && end.Before(c.expiresAt) {
		c.expiresAt = end
	}
	if route.Kind != tgcatalog.KindStreaming {
		return
	}
	prompt, _, _ := strings.Cut(c.request.Header.Get(c.headers.TokenCounts), ",")
	if n, err := strconv.ParseFloat(strings.TrimSpace(prompt), 64); err == nil {
		c.cost = 1 + min(max(n, 0)/promptTokensPerUnit, maxPromptUnits)
	}
}

// priority returns the priority of the client account, or else that of the route.
func (c *call) priority() int {
	if c.account.HasPriority {
		return c.account.Priority
	}
	return c.route.Priority
}

func (c *call) applicant() tgpace.Request {
	return tgpace.Request{Priority: c.priority(), Retry: c.isRetry}
}

// requestHead returns the requestHead of the request to an upstream; last is the last event that the caller got of this answer.
func (c *call) requestHead(u tgcatalog.Upstream, last int64, now time.Time) []byte {
	h := c.headers
	b := make([]byte, 0, 1<<10)
	b = tghttp.AppendRequestLine(b, c.request.Method, c.request.Target)
	for _, f := range c.request.Header {
		if c.request.Header.IsHopByHop(f.Name) || c.omitsHeader(f.Name, last != noEventID) {
			continue
		}
		b = tghttp.AppendField(b, f.Name, f.Value)
	}
	if last != noEventID {
		b = tghttp.AppendField(b, h.LastEventID, strconv.FormatInt(last, 10))
	}
	if c.account.Name != "" {
		b = tghttp.AppendField(b, h.Account, c.account.Name)
	}
	b = tghttp.AppendField(b, h.Priority, strconv.Itoa(min(max(c.priority(), 0), lowestPriority)))
	b = tghttp.AppendField(b, h.TargetID, u.ID)
	b = tghttp.AppendField(b, h.DeadlineMs, strconv.FormatInt(max(1, c.expiresAt.Sub(now).Milliseconds()), 10))
	if len(c.body) == 0 && c.request.Framing == tghttp.FramingNone && c.request.Header.Count("Content-Length") == 0 {
		return append(b, "\r\n"...)
	}
	return tghttp.AppendContentLength(b, len(c.body))
}

// omitsHeader reports whether the proxy sets a header itself or keeps it to itself.
func (c *call) omitsHeader(name string, resumes bool) bool {
	h := c.headers
	for _, own := range [...]string{h.Account, h.DeadlineMs, h.Key, h.Priority, h.TargetID} {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	return resumes && strings.EqualFold(name, h.LastEventID)
}

func (c *call) newEvent(outcome string, status int, now time.Time) Event {
	e := Event{
		Account: c.account.Name, Attempts: c.attempts, Detail: c.detail, Elapsed: now.Sub(c.receivedAt), ID: c.id,
		LongestPause: c.events.longestPause, Outcome: outcome, Pool: c.pool, Status: status,
		TimeToFirstEvent: c.events.first, Upstream: c.upstream,
	}
	if c.config != nil {
		e.ConfigVersion = c.config.Version
	}
	if c.route != nil {
		e.Route = c.route.Name
	}
	return e
}
