// Package tgentry is the daemon that takes callers' requests.
package tgentry

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgroute"
	"tanagergrade/io/tgnode"
)

// Entry serves callers over HTTP.
type Entry struct {
	app     *fiber.App
	node    *tgnode.Node
	router  *tgroute.Router
	routing *routing
}

// New returns an entry that does not run yet.
func New(node *tgnode.Node) *Entry {
	e := &Entry{node: node, router: tgroute.NewRouter(node.Settings.DataCentre), routing: newRouting()}
	e.app = fiber.New(fiber.Config{BodyLimit: maxBodyBytes, ErrorHandler: e.handleError})
	e.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	e.app.Get("/readyz", e.handleReady)
	e.app.Get("/v1/models", e.handleModels)
	e.app.Post("/v1/chat/completions", e.handleChat)
	e.app.Use(e.handlePlain)
	return e
}

const (
	maxBodyBytes   = 64 << 20 // the configured limit is lower and checked in the handler
	shutdownMargin = 5 * time.Second
)

// Run serves callers on listener until ctx ends and all calls have finished.
func (e *Entry) Run(ctx context.Context, listener net.Listener) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	nodeCtx, stopNode := context.WithCancel(context.WithoutCancel(ctx))
	defer stopNode()
	wg.Go(func() { e.node.Run(nodeCtx) })
	done := make(chan error, 1)
	wg.Go(func() {
		done <- e.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	select {
	case err := <-done:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	drain := e.node.Config().Settings.DrainTimeout + shutdownMargin
	return errors.Wrap(e.app.ShutdownWithTimeout(drain), "shut down")
}

func (e *Entry) handleReady(c fiber.Ctx) error {
	if e.node.Applied() == 0 {
		return c.Status(fiber.StatusServiceUnavailable).SendString("configuration is missing\n")
	}
	return c.SendString("ready\n")
}
