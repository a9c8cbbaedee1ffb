// Package tgentry has the entry: the daemon that accepts callers' HTTP requests, chooses an upstream for each and passes
// the answer back.
package tgentry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgmemory"
	"tanagergrade/core/tgroute"
	"tanagergrade/core/tgshardmap"
	"tanagergrade/io/tgnode"
)

// Entry serves callers over HTTP.
type Entry struct {
	accounts     accountIndex
	answers      tgmemory.Budget // memory for answers that are not streamed
	answersLimit int64           // of answers, in bytes
	app          *fiber.App
	calls        *tgshardmap.Map[*call] // in flight, by request ID
	callsCtx     context.Context        //nolint:containedctx // ends the calls that are left after the drain timeout
	cancelFrames sync.WaitGroup         // cancel frames being sent
	counters     counters
	decisions    tgcall.Decisions
	draining     atomic.Bool // set during a shutdown after lameDuckPeriod; new requests are refused
	node         *tgnode.Node
	router       *tgroute.Router
	routing      *routing
	stopCalls    context.CancelCauseFunc // cancels callsCtx
	stopping     atomic.Bool             // set at the start of a shutdown; /readyz reports not ready
}

const (
	cancelTimeout     = 2 * time.Second       // bound for sending the last cancel frames of a shutdown
	drainPollInterval = 20 * time.Millisecond // between checks for calls in flight
	idleTimeout       = 75 * time.Second      // of a caller's connection between requests
	lameDuckPeriod    = time.Second           // new requests are accepted for this time after /readyz reports not ready
	maxBodyBytes      = 64 << 20              // limit of the HTTP server; handlers check the configured limit, which is lower
	readTimeout       = 30 * time.Second      // for reading a whole request
	shutdownMargin    = 5 * time.Second       // beyond the drain timeout, for ending the calls that are left
)

// New returns an entry that serves callers once Run is called.
func New(node *tgnode.Node) *Entry {
	e := &Entry{
		answersLimit: maxAnswersBytes, calls: tgshardmap.NewMap[*call](), node: node, router: tgroute.NewRouter(node.Settings.DataCentre),
		routing: newRouting(),
	}
	e.callsCtx, e.stopCalls = context.WithCancelCause(context.Background())
	e.app = fiber.New(fiber.Config{
		BodyLimit: maxBodyBytes, ErrorHandler: e.handleError, IdleTimeout: idleTimeout, ReadTimeout: readTimeout,
	})
	reads := []string{fiber.MethodGet, fiber.MethodHead}
	e.app.Add(reads, "/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	e.app.Add(reads, "/readyz", e.handleReady)
	e.app.Add(reads, "/v1/models", e.handleModels)
	e.app.Post("/v1/chat/completions", e.handleChat)
	for _, path := range []string{"/healthz", "/readyz", "/v1/models", "/v1/chat/completions"} {
		e.app.All(path, e.handleMethodNotAllowed)
	}
	// All and not Use: after a malformed or oversized request fiber still runs the handlers registered with Use, which
	// would pass the request on without its body.
	e.app.All("/*", e.handlePlain)
	server := e.app.Server()
	server.Handler = e.rejectUnknownMethods(server.Handler)
	return e
}

// Run serves callers on listener until ctx ends and all calls have finished.
func (e *Entry) Run(ctx context.Context, listener net.Listener) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	nodeCtx, stopNode := context.WithCancel(context.WithoutCancel(ctx))
	defer stopNode()
	wg.Go(func() { e.node.Run(nodeCtx) })
	wg.Go(func() {
		if err := e.node.Serve(nodeCtx); err != nil {
			e.node.Log.WithError(err).Error("serving control frames of other daemons failed")
		}
	})
	wg.Go(func() { e.watchCallers(nodeCtx) })
	done := make(chan error, 1)
	wg.Go(func() {
		done <- e.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	select {
	case err := <-done:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	return e.shutDown()
}

// shutDown makes /readyz report not ready, refuses new requests after lameDuckPeriod and waits for the calls in flight.
// Calls that are left at the drain timeout end with an explicit failure.
func (e *Entry) shutDown() error {
	e.stopping.Store(true)
	time.Sleep(lameDuckPeriod)
	e.draining.Store(true)
	timeout := e.node.Config().Settings.DrainTimeout
	done := make(chan error, 1)
	go func() { done <- e.app.ShutdownWithTimeout(timeout + shutdownMargin) }()
	deadline := time.Now().Add(timeout)
	for e.counters.inFlight.Value() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	e.stopCalls(errStopping)
	err := <-done
	sent := make(chan struct{})
	go func() {
		e.cancelFrames.Wait()
		close(sent)
	}()
	select {
	case <-sent:
	case <-time.After(cancelTimeout):
	}
	return errors.Wrap(err, "shut down")
}

func (e *Entry) handleReady(c fiber.Ctx) error {
	if e.stopping.Load() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("stopping\n")
	}
	if err := e.node.Ready(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}
