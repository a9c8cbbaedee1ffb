package tgproxy

import (
	"bufio"
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgpicker"
	"tanagergrade/core/tgquota"
	"tanagergrade/core/tgretry"
	"tanagergrade/core/tgstreamlimit"
)

// Server is the reverse proxy; it serves callers' connections.
type Server struct {
	catalog     Catalog
	conns       *connPool
	counters    *expvar.Map
	headers     Headers
	idleCloseAt atomic.Int64 // Unix nanoseconds from which idle connections close; 0 while not draining
	limits      atomic.Pointer[Limits]
	observer    Observer
	picker      *tgpicker.Picker
	rand        func() float64

	mu               sync.Mutex                        // guards the maps below
	breakers         map[string]*tgstreamlimit.Breaker // by pool
	callers          map[*callerConn]struct{}
	longestDeadlines map[string]time.Duration          // longest time limit of a request so far, by route
	retryBudgets     map[string]*tgretry.WindowBudget  // by pool
	streamLimiters   map[string]*tgstreamlimit.Limiter // by pool
}

const (
	// For how long a draining server accepts connections: the platform polls readiness once a second and sends no new
	// connections only after two failed polls.
	drainAcceptPeriod  = 2600 * time.Millisecond
	initialStreamLimit = 20.0 // concurrent streams of a pool at the start, until gaps between events show what it can serve
)

// NewServer returns a server for a process in the given data centre.
func NewServer(
	dataCentre string, catalog Catalog, headers Headers, limits Limits, observer Observer, counters *expvar.Map,
) *Server {
	s := &Server{
		callers: map[*callerConn]struct{}{}, catalog: catalog, conns: newConnPool(), counters: counters, headers: headers,
		breakers: map[string]*tgstreamlimit.Breaker{}, longestDeadlines: map[string]time.Duration{}, observer: observer,
		picker: tgpicker.NewPicker(dataCentre), rand: rand.Float64, retryBudgets: map[string]*tgretry.WindowBudget{},
		streamLimiters: map[string]*tgstreamlimit.Limiter{},
	}
	s.SetLimits(limits)
	return s
}

// SetLimits replaces the limits.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// Serve accepts connections until ctx ends; then it drains and returns.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	work, abort := context.WithCancel(context.WithoutCancel(ctx))
	defer abort()
	stopDrain := context.AfterFunc(ctx, func() { s.drain(listener, abort) })
	defer stopDrain()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) {
				time.Sleep(acceptRetryPause) // the process may be out of file descriptors for a moment
				continue
			}
			return errors.Wrap(err, "accept")
		}
		k := &callerConn{br: bufio.NewReaderSize(conn, callerBufferBytes), conn: conn, server: s}
		s.track(k)
		wg.Go(func() {
			defer s.untrack(k)
			k.serve(work)
		})
	}
}

const acceptRetryPause = 10 * time.Millisecond

// drain stops the server: it accepts connections for drainAcceptPeriod, then closes idle ones, and lets requests finish
// until only ShutdownReserve is left of the grace period.
func (s *Server) drain(listener net.Listener, abort context.CancelFunc) {
	start, limits := time.Now(), s.limits.Load()
	s.idleCloseAt.Store(start.Add(drainAcceptPeriod).UnixNano())
	time.Sleep(drainAcceptPeriod)
	_ = listener.Close() // ends the accept loop of Serve
	s.mu.Lock()
	for k := range s.callers {
		k.closeIdle()
	}
	s.mu.Unlock()
	time.Sleep(time.Until(start.Add(limits.DrainGrace - limits.ShutdownReserve)))
	abort()
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.callers {
		_ = k.conn.Close()
	}
}

func (s *Server) isDraining() bool { return s.idleCloseAt.Load() != 0 }

func (s *Server) shouldCloseIdle() bool {
	at := s.idleCloseAt.Load()
	return at != 0 && time.Now().UnixNano() >= at
}

func (s *Server) track(k *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers[k] = struct{}{}
}

func (s *Server) untrack(k *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, k)
}

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
	if e := pool.Engine; e.StepTimePerStream > 0 {
		bounds.FixedCost = share * float64(len(upstreams)) * float64(e.StepTime) / float64(e.StepTimePerStream)
	}
	l.SetBounds(bounds)
	return l
}

// breaker returns the circuit breaker of a pool.
func (s *Server) breaker(pool string) *tgstreamlimit.Breaker {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.breakers[pool]
	if !ok {
		b = tgstreamlimit.NewBreaker(s.rand)
		s.breakers[pool] = b
	}
	return b
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
