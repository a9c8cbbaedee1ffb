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
	"tanagergrade/core/tgshardmap"
	"tanagergrade/core/tgstreamlimit"
	"tanagergrade/core/tgworkload"
)

// Server is the reverse proxy; it serves callers' connections.
type Server struct {
	admission      admission
	buffers        tgmemory.Budget
	catalog        Catalog
	closingIdle    atomic.Bool     // the listener is closed and connections end when they are idle
	configOutage   *tgretry.Outage // while no configuration is known
	conns          *connPool
	costs          *tgcost.Estimator
	counters       *expvar.Map
	crashes        crashChecker
	forecasts      *tgshardmap.Map[*tgdrain.Forecast] // of answers, by route
	groups         *tggroupview.View
	headers        Headers
	ledger         *tgworkload.Ledger
	limits         atomic.Pointer[Limits]
	observer       Observer
	picker         *tgpicker.Picker
	placement      Placement
	poolBreakers   *tgshardmap.Map[*tgstreamlimit.Breakers] // by pool
	poolProgress   *tgshardmap.Map[*tggroupview.Progress]   // by pool
	quarantine     *tgquarantine.Table
	rand           func() float64
	retryBudgets   *tgshardmap.Map[*tgretry.WindowBudget]  // by pool
	stop           atomic.Pointer[tgdrain.Stop]            // nil unless the server drains
	streamLimiters *tgshardmap.Map[*tgstreamlimit.Limiter] // by pool
	unbegun        unbegunExchanges
	unevenSpread   float64 // see WithUnevenSpread

	mu               sync.Mutex // guards the maps below
	callers          map[*callerConn]struct{}
	longestDeadlines map[string]time.Duration // longest time limit of a request so far, by route
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
		crashes:   crashChecker{checks: map[netip.AddrPort]*crashCheck{}},
		forecasts: tgshardmap.NewMap[*tgdrain.Forecast](), headers: headers, ledger: tgworkload.NewLedger(),
		longestDeadlines: map[string]time.Duration{}, observer: observer, picker: tgpicker.NewPicker(dataCentre),
		poolBreakers: tgshardmap.NewMap[*tgstreamlimit.Breakers](),
		poolProgress: tgshardmap.NewMap[*tggroupview.Progress](), rand: rand.Float64,
		retryBudgets:   tgshardmap.NewMap[*tgretry.WindowBudget](),
		streamLimiters: tgshardmap.NewMap[*tgstreamlimit.Limiter](), unbegun: unbegunExchanges{m: map[*exchange]*call{}},
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
	w := s.retryBudgets.GetOrCreate(pool, func() *tgretry.WindowBudget {
		return tgretry.NewWindowBudget(limits.RetryRatio, burst, limits.RetryWindow)
	})
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
	l := s.streamLimiters.GetOrCreate(pool.Name, func() *tgstreamlimit.Limiter {
		return tgstreamlimit.NewLimiter(min(max(initialStreamLimit, bounds.Min), bounds.Max), bounds, s.rand)
	})
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
	return s.poolBreakers.GetOrCreate(pool, func() *tgstreamlimit.Breakers { return tgstreamlimit.NewBreakers(s.rand) })
}

// forecast returns the forecast of a route's answers.
func (s *Server) forecast(route string) *tgdrain.Forecast {
	return s.forecasts.GetOrCreate(route, tgdrain.NewForecast)
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
