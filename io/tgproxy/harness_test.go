package tgproxy_test

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/io/tghttp"
	"tanagergrade/io/tgproxy"
	"tanagergrade/io/tgstandin"
	tgplatform "tanagergrade/platform"
	"tanagergrade/platform/tgemulator"
)

// testCatalog is a catalog that tests change.
type testCatalog struct {
	config    *tgcatalog.Config
	current   bool
	entries   int
	mu        sync.Mutex
	upstreams []tgcatalog.Upstream
}

// Config implements tgproxy.Catalog.
func (c *testCatalog) Config() (*tgcatalog.Config, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config, c.current
}

// EntryCount implements tgproxy.Catalog.
func (c *testCatalog) EntryCount() int { return c.entries }

// Slowdown implements tgproxy.Catalog.
func (c *testCatalog) Slowdown(*tgcatalog.Upstream) float64 { return 1 }

// RemoteStreams implements tgproxy.Catalog.
func (c *testCatalog) RemoteStreams(string) int { return 0 }

// Upstreams implements tgproxy.Catalog.
func (c *testCatalog) Upstreams(string) []tgcatalog.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstreams
}

// events records the outcomes of a proxy's requests and of their failed attempts.
type events struct {
	mu       sync.Mutex // guards the fields below
	attempts []tgproxy.Event
	list     []tgproxy.Event
	onNext   func() // called once, by the next event of a request
}

// Attempt implements tgproxy.Observer.
func (o *events) Attempt(e tgproxy.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts = append(o.attempts, e)
}

// failedAttempts returns the details of the attempts that have failed.
func (o *events) failedAttempts() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	details := make([]string, len(o.attempts))
	for i := range o.attempts {
		details[i] = o.attempts[i].Detail
	}
	return details
}

// Request implements tgproxy.Observer.
func (o *events) Request(e tgproxy.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, e)
	if f := o.onNext; f != nil {
		o.onNext = nil
		f()
	}
}

// testProxy is a proxy with emulated engines as upstreams.
type testProxy struct {
	addr    string
	catalog *testCatalog
	engines []*tgemulator.Engine
	events  *events
	proxy   *tgproxy.Server
	stop    context.CancelFunc
	done    chan struct{}
}

const (
	accountKey = "key-of-account"
	routeHost  = "test.example"
)

// testRoutes returns a route of each kind: requests on once are not idempotent, and those on twice are.
func testRoutes() []tgcatalog.Route {
	target := []tgcatalog.Target{{Pool: "pool", Weight: 1}}
	route := tgcatalog.Route{
		Host: routeHost, FirstByteTarget: 100 * time.Millisecond, MaxAttempts: 2, Targets: target, Timeout: 2 * time.Second,
	}
	once, stream, twice := route, route, route
	once.Kind, once.Name, once.PathPrefix = tgcatalog.KindNonIdempotent, "once", "/once/"
	twice.Kind, twice.Name, twice.PathPrefix = tgcatalog.KindIdempotent, "twice", "/twice/"
	stream.Kind, stream.Name, stream.PathPrefix = tgcatalog.KindStreaming, "stream", "/stream/"
	stream.EventGapTarget, stream.Resumable = 500*time.Millisecond, true
	return []tgcatalog.Route{once, stream, twice}
}

// proxySetup is what a proxyOption may change.
type proxySetup struct {
	config      *tgcatalog.Config
	limits      tgproxy.Limits
	options     []tgproxy.Option
	wrapCatalog func(tgproxy.Catalog) tgproxy.Catalog
}

// proxyOption changes the set-up of a testProxy.
type proxyOption func(*proxySetup)

// withBodyBytes sets the size of the longest request body.
func withBodyBytes(n int64) proxyOption { return func(s *proxySetup) { s.config.Limits.BodyBytes = n } }

func withBufferBytes(n int64) proxyOption { return func(s *proxySetup) { s.limits.BufferBytes = n } }

func withDrainGrace(d time.Duration) proxyOption {
	return func(s *proxySetup) { s.limits.DrainGrace = d }
}

// withTimeout sets the timeout of all routes.
func withTimeout(d time.Duration) proxyOption {
	return func(s *proxySetup) {
		routes := testRoutes()
		for i := range routes {
			routes[i].Timeout = d
		}
		former := s.config
		s.config = tgcatalog.NewConfig(former.Version, routes)
		s.config.Accounts, s.config.KeyRequired = former.Accounts, former.KeyRequired
		s.config.Limits, s.config.Pools = former.Limits, former.Pools
	}
}

func withMaxConnections(n int) proxyOption {
	return func(s *proxySetup) { s.config.Pools["pool"] = tgcatalog.Pool{MaxConnections: n, Name: "pool"} }
}

func newTestProxy(t *testing.T, engines int, options ...proxyOption) *testProxy {
	t.Helper()
	cfg := tgcatalog.NewConfig(1, testRoutes())
	cfg.KeyRequired = true
	cfg.Accounts[accountKey] = tgcatalog.Account{Name: "account"}
	cfg.Limits = tgcatalog.Limits{
		BodyBytes: 1 << 20, HeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second,
	}
	cfg.Pools = map[string]tgcatalog.Pool{"pool": {MaxConnections: 100, Name: "pool"}}
	setup := &proxySetup{config: cfg, wrapCatalog: func(c tgproxy.Catalog) tgproxy.Catalog { return c }}
	setup.limits = tgproxy.Limits{
		DrainGrace: 5 * time.Second, RetryBurst: 1000, RetryRatio: 0.2, RetryWindow: 10 * time.Second,
		ShutdownReserve: 500 * time.Millisecond,
	}
	for _, o := range options {
		o(setup)
	}
	b := &testProxy{catalog: &testCatalog{config: setup.config, current: true, entries: 1}, events: &events{}, done: make(chan struct{})}
	for i := range engines {
		e := tgemulator.NewEngine(fmt.Sprintf("e%d", i))
		l := listen(t)
		go func() { _ = e.Serve(l) }() // ends with the listener
		b.engines = append(b.engines, e)
		b.catalog.upstreams = append(b.catalog.upstreams, tgcatalog.Upstream{
			Address: netip.MustParseAddrPort(l.Addr().String()), ID: e.ID, Pool: "pool", State: tgcatalog.StateReady,
		})
	}
	b.proxy = tgproxy.NewServer("dc", setup.wrapCatalog(b.catalog), tgplatform.Headers(), setup.limits, b.events, new(expvar.Map).Init(),
		setup.options...)
	l := listen(t)
	b.addr = l.Addr().String()
	ctx, stop := context.WithCancel(t.Context())
	b.stop = stop
	go func() {
		defer close(b.done)
		assert.Check(t, b.proxy.Serve(ctx, l))
	}()
	return b
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	lc := tgproxy.NewListenConfig()
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// serveConns starts a server that passes each connection to handle until the end of the test, and returns its address.
func serveConns(t *testing.T, handle func(conn net.Conn)) netip.AddrPort {
	t.Helper()
	s, err := tgstandin.ServeConns(handle)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return s.Address()
}

// runs returns how often an attempt was run by the engines in total.
func (b *testProxy) runs(id string) int {
	n := 0
	for _, e := range b.engines {
		n += e.Executions(id)
	}
	return n
}

// client is a connection of a caller.
type client struct {
	net.Conn
	br *bufio.Reader
	t  *testing.T
}

func (b *testProxy) dial(t *testing.T) *client {
	t.Helper()
	var d net.Dialer
	conn, err := d.DialContext(t.Context(), "tcp", b.addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &client{Conn: conn, br: bufio.NewReader(conn), t: t}
}

// request returns the bytes of a request; extra are header lines.
func request(method, path, id, body string, extra ...string) string {
	lines := append([]string{
		method + " " + path + " HTTP/1.1", "Host: " + routeHost, "Tanagergrade-Attempt-Id: " + id,
		"Tanagergrade-Key: " + accountKey,
	}, extra...)
	if body != "" {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := c.Write([]byte(text))
	assert.NilError(c.t, err)
}

// receive reads an answer; complete reports whether its body was read to the end.
func (c *client) receive() (r *tghttp.Response, body string, complete bool) {
	c.t.Helper()
	assert.NilError(c.t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	r, err := tghttp.ReadResponse(c.br, "GET")
	assert.NilError(c.t, err)
	b := tghttp.NewBody(c.br, r.Framing, r.Length)
	data, _ := b.ReadAll(1 << 20) // complete shows whether it failed
	return r, string(data), b.Complete()
}

// endTimeout ends a test that hangs, also on a machine that is busy with much else.
const endTimeout = time.Minute

// waitForEnd reads until the answer or the connection ends.
func (c *client) waitForEnd() error {
	if err := c.SetReadDeadline(time.Now().Add(endTimeout)); err != nil {
		return err
	}
	r, err := tghttp.ReadResponse(c.br, "GET")
	if err != nil {
		return err
	}
	_ = tghttp.NewBody(c.br, r.Framing, r.Length).Discard(1 << 30) // a broken stream ends early
	return nil
}
