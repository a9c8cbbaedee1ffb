package tgadmin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/expvar"
)

const (
	httpProtocol    = "http/1.1"
	idleTimeout     = 30 * time.Second
	maxRequestBytes = 64 << 10
	shutdownTimeout = time.Second
)

// Server serves the admin interface of one daemon.
type Server struct {
	app      *fiber.App
	listener net.Listener
	registry *Registry
}

// Listen opens the admin address; only holders of a certificate of the authority can connect.
func Listen(ctx context.Context, address netip.AddrPort, tlsConfig *tls.Config, registry *Registry) (*Server, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on admin address %s", address)
	}
	s := &Server{listener: tls.NewListener(listener, withHTTPProtocol(tlsConfig)), registry: registry}
	s.app = fiber.New(fiber.Config{
		BodyLimit: maxRequestBytes, ErrorHandler: handleError, IdleTimeout: idleTimeout, ReadTimeout: idleTimeout,
	})
	s.app.Use(expvar.New())
	s.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/v1/dump", func(c fiber.Ctx) error { return c.JSON(s.registry.Dump()) })
	s.app.Get("/v1/status", func(c fiber.Ctx) error { return c.JSON(s.registry.currentStatus()) })
	s.app.Post("/v1/marks", s.handleMark)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	address, _ := s.listener.Addr().(*net.TCPAddr)
	return address.AddrPort()
}

// Run serves requests until ctx is cancelled, then waits up to shutdownTimeout for those in flight.
func (s *Server) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.app.Listener(s.listener, fiber.ListenConfig{DisableStartupMessage: true}) }()
	select {
	case err := <-done:
		return errors.Wrap(err, "serve the admin interface")
	case <-ctx.Done():
	}
	err := s.app.ShutdownWithTimeout(shutdownTimeout)
	return errors.Wrap(errors.CombineErrors(err, <-done), "shut down the admin interface")
}

func (s *Server) handleMark(c fiber.Ctx) error {
	var m Mark
	if err := json.Unmarshal(c.Body(), &m); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "mark is not valid JSON: "+err.Error())
	}
	if err := m.Validate(); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if err := s.registry.handleMark(c.Context(), m); err != nil {
		return fiber.NewError(fiber.StatusConflict, err.Error())
	}
	return c.JSON(m)
}

func handleError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var e *fiber.Error
	if errors.As(err, &e) {
		status = e.Code
	}
	return c.Status(status).JSON(map[string]string{"error": err.Error()})
}

// withHTTPProtocol returns a copy of tlsConfig that negotiates HTTP/1.1, also in the configurations that its
// GetConfigForClient returns.
func withHTTPProtocol(tlsConfig *tls.Config) *tls.Config {
	cfg := tlsConfig.Clone()
	cfg.NextProtos = []string{httpProtocol}
	if next := tlsConfig.GetConfigForClient; next != nil {
		cfg.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			c, err := next(hello)
			if err != nil || c == nil {
				return c, err
			}
			c = c.Clone()
			c.NextProtos = []string{httpProtocol}
			return c, nil
		}
	}
	return cfg
}
