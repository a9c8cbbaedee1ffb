package tgproxy_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/io/tgproxy"
)

// newQueueingProxy returns a proxy with one engine that runs one stream at a time, for longer than half a second, and
// routes of streams that differ in priority.
func newQueueingProxy(t *testing.T, options ...proxyOption) *testProxy {
	t.Helper()
	b := newTestProxy(t, 1, append([]proxyOption{func(s *proxySetup) {
		routes := testRoutes()
		routes[1].Timeout = 8 * time.Second
		urgent := routes[1]
		routes[1].Priority = 1
		urgent.Name, urgent.PathPrefix = "urgent", "/stream/urgent/"
		cfg := tgcatalog.NewConfig(1, append(routes, urgent))
		cfg.Accounts, cfg.Limits, cfg.Pools = s.config.Accounts, s.config.Limits, s.config.Pools
		cfg.Pools["pool"] = tgcatalog.Pool{Engine: tgcatalog.Engine{Slots: 1}, MaxConnections: 100, Name: "pool"}
		s.config = cfg
	}}, options...)...)
	b.engines[0].EventInterval, b.engines[0].StreamEvents = 30*time.Millisecond, 20
	return b
}

func withAdmission(a tgproxy.Admission) proxyOption {
	return func(s *proxySetup) { s.options = append(s.options, tgproxy.WithAdmission(a)) }
}

// sendStream sends a request for a stream on a new connection.
func (b *testProxy) sendStream(t *testing.T, path, id string) *client {
	t.Helper()
	c := b.dial(t)
	c.send(request(http.MethodPost, path, id, "{}", streamHeader))
	return c
}

// waitForRun waits until an attempt runs.
func (b *testProxy) waitForRun(t *testing.T, id string) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); b.runs(id) == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
}

// waitForQueue waits until n streams wait for a place.
func (b *testProxy) waitForQueue(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); b.proxy.State().Queues["pool"].Waiting != n; {
		assert.Assert(t, time.Now().Before(end), "%+v", b.proxy.State().Queues)
		time.Sleep(time.Millisecond)
	}
}

// Guards against a stream that is refused although a place for it is expected in time, and against a queue where the
// configuration or the operator asks for none.
func TestStreamWaitsForPlace(t *testing.T) {
	for name, c := range map[string]struct {
		admission tgproxy.Admission
		status    int
	}{
		"auto":   {admission: tgproxy.AdmissionAuto, status: http.StatusOK},
		"queue":  {admission: tgproxy.AdmissionQueue, status: http.StatusOK},
		"refuse": {admission: tgproxy.AdmissionRefuse, status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			b := newQueueingProxy(t, withAdmission(c.admission))
			first := b.sendStream(t, "/stream/x", "first")
			b.waitForRun(t, "first")
			second := b.sendStream(t, "/stream/urgent/x", "second")
			r, _, _ := second.receive()
			assert.Equal(t, r.Status, c.status)
			r, _, complete := first.receive()
			assert.Assert(t, r.Status == http.StatusOK && complete)
		})
	}
}

// Guards against a stream that runs although its caller left while it waited, and against a place that is lost by it.
func TestCallerLeavesQueue(t *testing.T) {
	b := newQueueingProxy(t)
	first := b.sendStream(t, "/stream/x", "first")
	b.waitForRun(t, "first")
	leaving := b.sendStream(t, "/stream/urgent/x", "leaving")
	b.waitForQueue(t, 1)
	assert.NilError(t, leaving.Close())
	b.waitForQueue(t, 0)
	last := b.sendStream(t, "/stream/urgent/x", "last")
	for _, c := range []*client{first, last} {
		r, _, complete := c.receive()
		assert.Assert(t, r.Status == http.StatusOK && complete)
	}
	assert.Equal(t, b.runs("leaving"), 0)
	for end := time.Now().Add(5 * time.Second); b.proxy.Streams()["pool"] != 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "a place is not released")
	}
}

// Guards against streams that wait on, and then run, in a process that shuts down: other entries can take them.
func TestDrainEndsWait(t *testing.T) {
	b := newQueueingProxy(t)
	first := b.sendStream(t, "/stream/x", "first")
	b.waitForRun(t, "first")
	second := b.sendStream(t, "/stream/urgent/x", "second")
	b.waitForQueue(t, 1)
	b.stop()
	r, _, _ := second.receive()
	assert.Equal(t, r.Status, http.StatusServiceUnavailable)
	assert.Assert(t, r.Header.Get("Retry-After") != "")
	r, _, complete := first.receive()
	assert.Assert(t, r.Status == http.StatusOK && complete)
	assert.Equal(t, b.runs("second"), 0)
}
