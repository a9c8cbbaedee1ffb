package tgproxy

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/io/tghttp"
)

// pipeListener accepts one end of each pipe that dial returns.
type pipeListener struct {
	closed chan struct{}
	conns  chan net.Conn
	once   sync.Once // closes closed
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// emptyCatalog has routes and no upstreams; it counts how often upstreams are asked for, which only admitted requests do.
type emptyCatalog struct {
	admitted atomic.Int32
	config   *tgcatalog.Config
}

func (c *emptyCatalog) Config() (*tgcatalog.Config, bool)     { return c.config, true }
func (c *emptyCatalog) EntryCount() int                       { return 1 }
func (c *emptyCatalog) RemoteStreams(string) int              { return 0 }
func (c *emptyCatalog) Slowdown(*tgcatalog.Upstream) float64  { return 1 }
func (c *emptyCatalog) Upstreams(string) []tgcatalog.Upstream { c.admitted.Add(1); return nil }

type silentObserver struct{}

func (silentObserver) Attempt(Event) {}
func (silentObserver) Request(Event) {}

// Guards against a planned stop that takes a request which can't be complete before the process ends, and cuts it off then:
// a first request on a connection that was open before the stop may come seconds after it, and its answer may be longer than
// all those of the last half minute.
func TestStopTakesWhatItCanFinish(t *testing.T) {
	const grace, reserve = 8 * time.Second, 500 * time.Millisecond
	for _, tc := range []struct {
		name     string
		route    string
		sent     time.Duration // after the stop
		known    bool          // answers of the route have ended before
		admitted bool
	}{
		{"stream of unknown length", "stream", 3400 * time.Millisecond, false, false},
		{"stream of unknown length at once", "stream", 100 * time.Millisecond, false, false},
		{"stream after shorter ones on a new connection", "stream", 2500 * time.Millisecond, true, true},
		{"stream after shorter ones on an idle connection", "stream", 3400 * time.Millisecond, true, false},
		{"plain request with a short time limit", "plain", 3400 * time.Millisecond, false, true},
		{"plain request with a long time limit", "slow", 3400 * time.Millisecond, false, false},
		{"plain request after short ones on a new connection", "slow", 2500 * time.Millisecond, true, true},
		{"plain request after short ones on an idle connection", "slow", 3400 * time.Millisecond, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := []tgcatalog.Target{{Pool: "pool", Weight: 1}}
				route := func(name string, kind tgcatalog.RouteKind, timeout time.Duration) tgcatalog.Route {
					return tgcatalog.Route{
						Host: "h", Kind: kind, MaxAttempts: 1, Name: name, PathPrefix: "/" + name + "/", Targets: target, Timeout: timeout,
					}
				}
				catalog := &emptyCatalog{config: tgcatalog.NewConfig(1, []tgcatalog.Route{
					route("stream", tgcatalog.KindStreaming, 8*time.Second), route("plain", tgcatalog.KindNonIdempotent, time.Second),
					route("slow", tgcatalog.KindIdempotent, 8*time.Second),
				})}
				catalog.config.Limits = tgcatalog.Limits{
					BodyBytes: 1 << 10, HeaderBytes: 1 << 10, HeaderTimeout: time.Second, IdleTimeout: 15 * time.Second,
				}
				s := NewServer("dc", catalog, Headers{AttemptID: "Attempt"}, Limits{DrainGrace: grace, ShutdownReserve: reserve},
					silentObserver{}, new(expvar.Map).Init())
				l := &pipeListener{closed: make(chan struct{}), conns: make(chan net.Conn)}
				ctx, stop := context.WithCancel(t.Context())
				defer synctest.Wait() // the server has ended
				defer time.Sleep(grace)
				go func() { assert.Check(t, s.Serve(ctx, l)) }()
				conn := l.dial()
				defer func() { assert.Check(t, conn.Close()) }()
				if tc.known {
					recordAnswer(s, tc.route)
				}
				stop()
				time.Sleep(tc.sent)
				go func() { _, _ = fmt.Fprintf(conn, "GET /%s/x HTTP/1.1\r\nHost: h\r\nAttempt: a\r\n\r\n", tc.route) }()
				sent := time.Now()
				br := bufio.NewReader(conn)
				r, err := tghttp.ReadResponse(br, http.MethodGet)
				assert.NilError(t, err)
				assert.Equal(t, r.Status, http.StatusServiceUnavailable) // also for the admitted ones, as there are no upstreams
				assert.Equal(t, r.Header.Get("Connection"), "close")
				assert.Equal(t, time.Since(sent), time.Duration(0))
				assert.Equal(t, catalog.admitted.Load() > 0, tc.admitted)
				_, err = br.ReadByte()
				assert.ErrorIs(t, err, io.EOF)
			})
		})
	}
}

// recordAnswer records an answer of one second on a route: one with 11 events if the route has streams.
func recordAnswer(s *Server, route string) {
	f, now := s.forecast(route), time.Now()
	if route != "stream" {
		f.RecordEnd(time.Second, 0, 0, now)
		return
	}
	f.RecordGap(time.Second, 10, now)
	f.RecordEnd(100*time.Millisecond, 11, 0, now)
}
