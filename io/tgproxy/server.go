package tgproxy

import (
	"expvar"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgcost"
	"tanagergrade/core/tgdrain"
	"tanagergrade/core/tggroupview"
	"tanagergrade/core/tgmemory"
	"tanagergrade/core/tgpicker"
	"tanagergrade/core/tgquarantine"
	"tanagergrade/core/tgquota"
	"tanagergrade/core/tgretry"
	"tanagergrade/core/tgstreamlimit"
	"tanagergrade/core/tgworkload"
)

// Server is the reverse proxy; it serves callers' connections.
type Server struct {
	admission    admission
	buffers      tgmemory.Budget
	catalog      Catalog
	closingIdle  atomic.Bool     // the listener is closed and connections end when they are idle
	configOutage *tgretry.Outage // while no configuration is known
	conns        *connPool
	costs        *tgcost.Estimator
	counters     *expvar.Map
	crashes      crashChecker
	drainEnd     atomic.Pointer[time.Time] // of the requests in progress; nil unless the server drains
	groups       *tggroupview.View
	headers      Headers
	ledger       *tgworkload.Ledger
	limits       atomic.Pointer[Limits]
	observer     Observer
	picker       *tgpicker.Picker
	placement    Placement
	quarantine   *tgquarantine.Table
	rand         func() float64
	unbegun      unbegunExchanges
	unevenSpread float64 // see WithUnevenSpread

	mu               sync.Mutex // guards the maps below
	callers          map[*callerConn]struct{}
	forecasts        map[string]*tgdrain.Forecast       // of answers, by route
	longestDeadlines map[string]time.Duration           // longest time limit of a request so far, by route
	poolBreakers     map[string]*tgstreamlimit.Breakers // by pool
	poolProgress     map[string]*tggroupview.Progress   // by pool
	retryBudgets     map[string]*tgretry.WindowBudget   // by pool
	streamLimiters   map[string]*tgstreamlimit.Limiter  // by pool
}

// initialStreamLimit is the number of concurrent streams of a pool at the start, until gaps between events show what it
// can serve.
const initialStreamLimit = 20.0

// Option configures a Server.
type Option func(*Server)

// WithQuarantine sets the table of suspect parts of prompts, which the entries share.
func WithQuarantine(t *tgquarantine.Table) Option { return func(s *Server) { s.quarantine = t } }

// NewServer returns a server for a process in the given data centre.
func NewServer(
	dataCentre string, catalog Catalog, headers Headers, limits Limits, observer Observer, counters *expvar.Map,
	options ...Option,
) *Server {
	s := &Server{
		callers: map[*callerConn]struct{}{}, catalog: catalog,
		conns: newConnPool(), costs: tgcost.NewEstimator(), counters: counters,
		crashes: crashChecker{checks: map[netip.AddrPort]*crashCheck{}}, forecasts: map[string]*tgdrain.Forecast{},
		headers: headers, ledger: tgworkload.NewLedger(), longestDeadlines: map[string]time.Duration{}, observer: observer,
		poolBreakers: map[string]*tgstreamlimit.Breakers{}, poolProgress: map[string]*tggroupview.Progress{},
		picker: tgpicker.NewPicker(dataCentre), rand: rand.Float64, retryBudgets: map[string]*tgretry.WindowBudget{},
		streamLimiters: map[string]*tgstreamlimit.Limiter{},
		unbegun:        unbegunExchanges{m: map[*exchange]*call{}},
	}
	s.configOutage = tgretry.NewOutage(s.rand)
	for _, o := range options {
		o(s)
	}
	if s.groups == nil {
		s.groups = tggroupview.NewView()
	}
	if s.quarantine == nil {
		s.quarantine = tgquarantine.NewTable("")
	}
	s.SetLimits(limits)
	return s
}

// SetLimits replaces the limits.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// retryBudget returns the retry budget of a pool, updated to the present limits and number of entries.
func (s *Server) retryBudget(pool string) *tgretry.WindowBudget {
	limits := s.limits.Load()
	burst := tgquota.RetryBurst(limits.RetryBurst, s.catalog.EntryCount())
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.retryBudgets[pool]
	if !ok {
		w = tgretry.NewWindowBudget(limits.RetryRatio, burst, limits.RetryWindow)
		s.retryBudgets[pool] = w
	}
	w.SetLimits(limits.RetryRatio, burst)
	return w
}

// streamLimiter returns the concurrency limiter of a pool's streams with its bounds updated.
func (s *Server) streamLimiter(
	pool tgcatalog.Pool, upstreams []tgcatalog.Upstream, route *tgcatalog.Route,
) *tgstreamlimit.Limiter {
	entries, others := s.catalog.EntryCount(), s.catalog.RemoteStreams(pool.Name)
	slots := max(1, pool.Slots(upstreams))
	bounds := tgstreamlimit.Bounds{
		GapTarget: route.EventGapTarget, Max: float64(slots), MaxStreamTime: route.Timeout,
		Min: tgquota.MinStreams(slots, entries),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.streamLimiters[pool.Name]
	if !ok {
		l = tgstreamlimit.NewLimiter(min(max(initialStreamLimit, bounds.Min), bounds.Max), bounds, s.rand)
		s.streamLimiters[pool.Name] = l
	}
	share := tgquota.PoolShare(l.State().InFlight, others, entries)
	bounds.FreeSlots = max(bounds.Min, float64(slots-others))
	bounds.Spare = tgquota.SpareStreams(slots, l.State().InFlight+others, entries)
	if e := pool.Engine; e.StepTimePerStream > 0 {
		bounds.FixedCost = share * float64(len(upstreams)) * float64(e.StepTime) / float64(e.StepTimePerStream)
	}
	l.SetBounds(bounds)
	return l
}

// breakers returns the circuit breakers of a pool.
func (s *Server) breakers(pool string) *tgstreamlimit.Breakers {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.poolBreakers[pool]
	if !ok {
		b = tgstreamlimit.NewBreakers(s.rand)
		s.poolBreakers[pool] = b
	}
	return b
}

// forecast returns the forecast of a route's answers.
func (s *Server) forecast(route string) *tgdrain.Forecast {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.forecasts[route]
	if !ok {
		f = tgdrain.NewForecast()
		s.forecasts[route] = f
	}
	return f
}

// isRetry reports whether a request with the given time limit is presumably the retry of a refused one: the limit is
// shorter than that of first attempts on the route.
func (s *Server) isRetry(route string, wait time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := s.longestDeadlines[route]
	if wait > longest {
		s.longestDeadlines[route] = wait
		return false
	}
	return wait < longest-retryDeadlineMargin
}
