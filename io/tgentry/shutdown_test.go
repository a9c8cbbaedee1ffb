package tgentry

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tgcompanion"
	"tanagergrade/io/tgkey"
	"tanagergrade/io/tglink"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgnode"
	"tanagergrade/io/tgstandin"
	"tanagergrade/io/tgupstream"
)

// daemons are an entry, companions and a log service that talk over QUIC and HTTP on loopback.
type daemons struct {
	address string // of the entry
	logAddr netip.AddrPort
	stop    map[string]func() // by daemon; ends it and waits for its end
	tls     *tls.Config
}

func (d *daemons) newNode(tb testing.TB, name string) *tgnode.Node {
	tb.Helper()
	transport, err := tglink.Listen(netip.MustParseAddrPort("127.0.0.1:0"), d.tls)
	assert.NilError(tb, err)
	tb.Cleanup(func() { assert.NilError(tb, transport.Close()) })
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.WarnLevel)
	settings := tgnode.Settings{DataCentre: "a", LinkAddress: transport.Address(), LogAddress: d.logAddr, Name: name}
	return tgnode.New(settings, transport, logger)
}

func (d *daemons) run(tb testing.TB, name string, run func(ctx context.Context) error) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := run(ctx); err != nil {
			tb.Errorf("%s: %v", name, err)
		}
	})
	d.stop[name] = func() {
		cancel()
		wg.Wait()
	}
	tb.Cleanup(d.stop[name])
}

// startDaemons starts two engines and the daemons in front of them.
func startDaemons(tb testing.TB, interval time.Duration) *daemons {
	tb.Helper()
	addresses := make([]netip.AddrPort, 0, 2)
	for _, name := range upstreamNames[:2] {
		server, err := tgstandin.Serve(tgstandin.NewEngine(name, interval).Handle)
		assert.NilError(tb, err)
		tb.Cleanup(func() { _ = server.Close() })
		addresses = append(addresses, server.Address())
	}
	return startDaemonsAt(tb, addresses)
}

// startDaemonsAt starts a companion for each engine address and an entry.
func startDaemonsAt(tb testing.TB, engines []netip.AddrPort) *daemons {
	tb.Helper()
	d := &daemons{stop: map[string]func(){}}
	var err error
	d.tls, err = tgkey.NewMemoryConfig()
	assert.NilError(tb, err)
	logServer, err := tgstandin.Serve(tgstandin.NewLog(time.Hour).Handle)
	assert.NilError(tb, err)
	d.logAddr = logServer.Address()
	cfg := &tgconfig.Config{
		Accounts:    map[string]tgconfig.Account{"acc": {KeyHash: testKeyHash, Share: 1, Priority: "live"}},
		DataCentres: map[string]tgconfig.DataCentre{"a": {Region: "r", State: tgconfig.Active}},
		Pools:       map[string]tgconfig.Pool{"p": {Kind: tgconfig.ModelPool, Models: []string{"m"}}},
		Settings:    tgconfig.DefaultSettings(),
		Upstreams:   map[string]tgconfig.Upstream{},
	}
	for i, address := range engines {
		name := upstreamNames[i]
		node := d.newNode(tb, "companion-"+name)
		cfg.Upstreams[name] = tgconfig.Upstream{
			Address: address, Companion: node.Settings.LinkAddress, DataCentre: "a", Pool: "p", State: tgconfig.Active,
		}
		d.run(tb, name, tgcompanion.New(node, name, tgupstream.New(address)).Run)
	}
	change, err := tgconfig.Diff(tgconfig.NewState().Config(), cfg)
	assert.NilError(tb, err)
	record, err := tgrecord.New(tgrecord.KindConfigChange, "test", 0, change)
	assert.NilError(tb, err)
	_, err = tglogclient.New(d.logAddr).Append(tb.Context(), tgnode.ConfigStream, []tgrecord.Record{record})
	assert.NilError(tb, err)
	var lc net.ListenConfig
	listener, err := lc.Listen(tb.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(tb, err)
	d.address = listener.Addr().String()
	entry := New(d.newNode(tb, "entry"))
	d.run(tb, "entry", func(ctx context.Context) error { return entry.Run(ctx, listener) })
	for deadline := time.Now().Add(10 * time.Second); d.readinessStatus() != fasthttp.StatusOK; time.Sleep(10 * time.Millisecond) {
		assert.Assert(tb, time.Now().Before(deadline), "entry did not become ready")
	}
	return d
}

// readinessStatus returns the HTTP status of the entry's /readyz, or 0 if it did not answer.
func (d *daemons) readinessStatus() int {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+d.address+"/readyz", time.Second)
	if err != nil {
		return 0
	}
	return status
}

// requestStream sends one request for a stream and returns the status and body; status 0 means that connecting failed.
func (d *daemons) requestStream(tokens int) (int, string, error) {
	c, err := net.DialTimeout("tcp4", d.address, time.Second) //nolint:noctx // bounded by its timeout
	if err != nil {
		return 0, "", nil
	}
	defer c.Close() //nolint:errcheck // end of the exchange
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, tokens)
	if _, err := io.WriteString(c, rawRequest("POST", "/v1/chat/completions", body)); err != nil {
		return 0, "", err
	}
	resp := &fasthttp.Response{}
	err = resp.Read(bufio.NewReader(c))
	return resp.StatusCode(), string(resp.Body()), err
}

// Guards against a planned stop of one daemon that truncates an answer, or that refuses a request which the remaining
// daemons could serve.
func TestStopUnderStreamingLoad(t *testing.T) {
	for name, refusals := range map[string]bool{"entry": true, upstreamNames[0]: false} {
		t.Run(name, func(t *testing.T) {
			d := startDaemons(t, 5*time.Millisecond)
			const tokens = 60
			var whole, refused atomic.Int64
			var wg sync.WaitGroup
			stopped := make(chan struct{})
			for range 2 { // the cold limit of one companion, so that the remaining one can serve both clients
				wg.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stopped:
							if n > 2 {
								return
							}
						default:
						}
						status, body, err := d.requestStream(tokens)
						switch {
						case err != nil:
							t.Errorf("answer was cut: %v", err)
						case status == fasthttp.StatusOK && strings.Count(body, "data: ") == tokens+1 && strings.HasSuffix(body, "data: [DONE]\n\n"):
							whole.Add(1)
						case refusals && (status == 0 || status == fasthttp.StatusServiceUnavailable && strings.Contains(body, `"notRun"`)):
							refused.Add(1)
							return
						default:
							t.Errorf("status %d: %s", status, body)
							return
						}
					}
				})
			}
			time.Sleep(500 * time.Millisecond)
			notReady := make(chan int, 1)
			time.AfterFunc(200*time.Millisecond, func() { notReady <- d.readinessStatus() })
			d.stop[name]()
			close(stopped)
			wg.Wait()
			assert.Assert(t, whole.Load() > 2)
			want := fasthttp.StatusOK
			if refusals {
				want = fasthttp.StatusServiceUnavailable
				assert.Equal(t, refused.Load(), int64(2))
			}
			assert.Equal(t, <-notReady, want, "readiness during the stop")
		})
	}
}
