package tgproxy

import (
	"strconv"
	"strings"
	"time"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgcost"
	"tanagergrade/core/tgdrain"
	"tanagergrade/core/tgmemory"
	"tanagergrade/core/tgquarantine"
	"tanagergrade/core/tgstreamlimit"
	"tanagergrade/core/tgworkload"
	"tanagergrade/io/tghttp"
)

// call is one request of a caller, with its state while it is forwarded. A retry by the caller is another call.
type call struct {
	account        tgcatalog.Account
	atCrash        bool // an earlier attempt was at an upstream that crashed
	attempts       int  // number of attempts, not counting those that did not reach an upstream
	body           []byte
	buffers        *tgmemory.Lease
	callerDeadline time.Time // as the caller declared it, or the default
	config         *tgcatalog.Config
	conns          []*upstreamConn // that carried an earlier try; a late copy of its answer has the same ID
	cost           float64         // load on an upstream, in streams without a prompt
	costRequest    tgcost.Request  // what is known of a stream's cost
	detail         string          // why the last attempt failed, for the log
	estimate       tgcost.Estimate // of a stream; the zero value if it was not estimated
	events         eventTimes
	expiresAt      time.Time         // earlier of the caller's deadline and the end of the route's timeout
	forecast       *tgdrain.Forecast // of the route's answers
	groups         callGroups
	headers        *Headers
	id             string          // of the attempt, set by the caller
	isRetry        bool            // the caller was presumably refused before; see Server.isRetry
	job            *tgworkload.Job // of the present attempt at a stream; nil without one
	mayHaveRun     bool            // an upstream may have run it, so no refusal may claim that it has not run
	placedAt       time.Time       // when it got its place
	placedBy       string          // beside the streams of this process, what the present attempt's upstream was chosen by
	pool           string
	produced       float64    // tokens of the answer so far, of a stream
	promptParts    []string   // IDs of the parts of the prompt that other requests may share
	queue          *waitQueue // from which it got its place; nil if it did not come by a queue
	readAt         time.Time  // when the whole request had been read
	receivedAt     time.Time  // when its first byte had come
	request        *tghttp.Request
	route          *tgcatalog.Route
	stop           *tgdrain.Decision // the last one on it while the server drained; nil without one
	ticket         *tgstreamlimit.Ticket
	trial          *tgquarantine.Trial // of the present attempt; nil if no part of its prompt is suspect
	tried          map[string]bool     // IDs of the upstreams of earlier attempts
	upstream       string
	upstreamLoad   float64       // of this process on the upstream, before the present attempt
	waited         time.Duration // for a place
	waits          bool          // it waits for a place if there is none
}

const (
	defaultDeadline     = 30 * time.Second      // for a request that declares no deadline
	maxDeadline         = 10 * time.Minute      // longer deadlines are shortened to it
	retryDeadlineMargin = 50 * time.Millisecond // a deadline shorter than the route's longest by more than this marks a retry
	promptTokensPerUnit = 1000.0                // prompt tokens that add as much load as a stream without a prompt
	maxPromptUnits      = 4.0                   // a longer prompt counts as this many units
	lowestPriority      = 9                     // highest number that upstreams accept; 0 is admitted first
)

func (s *Server) newCall(r *tghttp.Request, body []byte, buffers *tgmemory.Lease, receivedAt time.Time) *call {
	c := &call{
		body: body, buffers: buffers, cost: 1, headers: &s.headers, id: r.Header.Get(s.headers.AttemptID),
		promptParts: sharedParts(promptHeader(r.Header, s.headers.PromptParts)),
		readAt:      time.Now(), receivedAt: receivedAt, request: r,
	}
	wait := defaultDeadline
	if ms, err := strconv.ParseFloat(r.Header.Get(s.headers.DeadlineMs), 64); err == nil && ms >= 0 {
		// A float beyond the range of a time.Duration converts to a negative one on some processors.
		wait = time.Duration(min(ms*float64(time.Millisecond), float64(maxDeadline)))
	}
	c.callerDeadline = receivedAt.Add(wait)
	c.expiresAt = c.callerDeadline
	return c
}

// applyRoute sets the route and what depends on it: the time limit and, for a stream, the cost.
func (c *call) applyRoute(route *tgcatalog.Route) {
	c.route = route
	if end := c.receivedAt.Add(route.Timeout); route.Timeout > 0 && end.Before(c.expiresAt) {
		c.expiresAt = end
	}
	if route.Kind != tgcatalog.KindStreaming {
		return
	}
	prompt, maxOutput := tgcost.ParseTokenCounts(c.request.Header.Get(c.headers.TokenCounts))
	c.cost = 1 + min(prompt/promptTokensPerUnit, maxPromptUnits)
	c.costRequest = tgcost.Request{
		Hint:      tgcost.ParseTokens(c.request.Header.Get(c.headers.LengthHint)),
		MaxOutput: maxOutput, Prompt: prompt, Route: route.Name,
	}
}

// resumes reports whether the caller asks for the rest of a stream that was broken off. After a restart, the time limits of
// requests do not tell yet which ones are retries.
func (c *call) resumes() bool { return c.request.Header.Get(c.headers.LastEventID) != "" }

// priority returns the priority of the client account, or that of the route if the account has none of its own.
func (c *call) priority() int {
	if c.account.HasPriority {
		return c.account.Priority
	}
	return c.route.Priority
}

func (c *call) applicant() tgstreamlimit.Request {
	return tgstreamlimit.Request{Priority: c.priority(), Retry: c.isRetry}
}

// work returns what is known of the length of the answer, by the longest answers on the route and, if likely is true, by the
// estimate for the request.
func (c *call) work(likely bool) tgdrain.Work {
	w := tgdrain.Work{ExpiresAt: c.expiresAt, ReadAt: c.readAt, Tokens: c.costRequest.MaxOutput}
	if b := c.estimate.Basis; likely && (b == tgcost.BasisHint || b == tgcost.BasisRoute) {
		w.Likely = c.estimate.P90 / c.tokensPerEvent()
	}
	return w
}

// requestHead returns the head of the request to an upstream. lastEventID is that of the last event that the caller has
// received of this response, or noEventID.
func (c *call) requestHead(u tgcatalog.Upstream, lastEventID int64, now time.Time) []byte {
	h := c.headers
	b := make([]byte, 0, 1<<10)
	b = tghttp.AppendRequestLine(b, c.request.Method, c.request.Target)
	for _, f := range c.request.Header {
		if c.request.Header.IsHopByHop(f.Name) || c.omitsHeader(f.Name, lastEventID != noEventID) {
			continue
		}
		b = tghttp.AppendField(b, f.Name, f.Value)
	}
	if lastEventID != noEventID {
		b = tghttp.AppendField(b, h.LastEventID, strconv.FormatInt(lastEventID, 10))
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

// omitsHeader reports whether a caller's header is not forwarded, because the proxy sets it or because only the proxy
// may see it; resumes is true if the request resumes a stream.
func (c *call) omitsHeader(name string, resumes bool) bool {
	h := c.headers
	for _, omitted := range [...]string{h.Account, h.DeadlineMs, h.Key, h.Priority, h.TargetID} {
		if strings.EqualFold(name, omitted) {
			return true
		}
	}
	return resumes && strings.EqualFold(name, h.LastEventID)
}

// newEvent returns the log event of the call with its present state.
func (c *call) newEvent(outcome string, status int, now time.Time) Event {
	e := Event{
		Account: c.account.Name, Attempts: c.attempts, Detail: c.detail, Elapsed: now.Sub(c.receivedAt), ID: c.id,
		LongestPause: c.events.longestPause, Outcome: outcome, Pool: c.pool, Returning: c.isRetry && c.waits, Status: status,
		TimeToFirstEvent: c.events.first, Upstream: c.upstream, Waited: c.waited,
	}
	if c.estimate.Basis != "" {
		e.ExpectedBasis, e.ExpectedTokens, e.LikelyTokens = string(c.estimate.Basis), c.estimate.Median, c.estimate.P90
		e.PromptTokens, e.Tokens = c.costRequest.Prompt, c.produced
		e.PlacedBy, e.UpstreamLoad = c.placedBy, c.upstreamLoad
	}
	if c.stop != nil {
		e.Stop = *c.stop
	}
	if c.config != nil {
		e.ConfigVersion = c.config.Version
	}
	if c.route != nil {
		e.Route = c.route.Name
	}
	return e
}
