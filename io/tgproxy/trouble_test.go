package tgproxy_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/io/tgproxy"
	"tanagergrade/platform/tgemulator"
)

// Guards against a request that must not repeat and runs twice: a second copy of an earlier refusal comes late, on a
// connection that is in use again, and does not tell which attempt it answers.
func TestLateCopyOfRefusal(t *testing.T) {
	b := newTestProxy(t, 1)
	client := b.dial(t)
	client.send(request("POST", "/once/x", "first", "{}")) // leaves an idle connection to the engine
	r, _, _ := client.receive()
	assert.Equal(t, r.Status, 200)
	b.engines[0].QueueFaults(tgemulator.FaultLateRefusal)
	client.send(request("POST", "/once/x", "second", "{}"))
	r, _, _ = client.receive()
	assert.Equal(t, r.Status, 502, "the request has run")
	assert.Equal(t, b.runs("second"), 1)
}

// Guards against callers that are told "not run, try again" for a request that has run, or that get no answer, because a
// faulty engine sends an earlier refusal once more on a kept connection.
func TestRepeatedRefusal(t *testing.T) {
	for name, faults := range map[string][]tgemulator.Fault{
		"afterNextRequest":  {tgemulator.FaultOverloaded, tgemulator.FaultRepeatedRefusal},
		"beforeNextRequest": {tgemulator.FaultRefusedTwice},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestProxy(t, 1)
			b.engines[0].QueueFaults(faults...)
			client := b.dial(t)
			client.send(request("POST", "/once/x", "first", "{}"))
			r, _, _ := client.receive()
			assert.Equal(t, r.Status, 503)
			client.send(request("POST", "/once/x", "second", "{}"))
			r, _, _ = client.receive()
			assert.Equal(t, r.Status, 200)
			assert.Equal(t, b.runs("first"), 0)
			assert.Equal(t, b.runs("second"), 1)
		})
	}
}

// Guards against the text of an error in the middle of a stream, and against a stream that looks complete before its last
// event, when the stream broke off and the next engine answers with an error.
func TestErrorAfterBrokenStream(t *testing.T) {
	for _, fault := range []tgemulator.Fault{
		tgemulator.FaultEmptyStream, tgemulator.FaultError, tgemulator.FaultErrorAsSuccess, tgemulator.FaultOverloaded,
	} {
		t.Run(string(fault), func(t *testing.T) {
			b := newTestProxy(t, 2)
			shared := make(chan tgemulator.Fault, 2)
			shared <- tgemulator.FaultBrokenStream
			shared <- fault
			for _, e := range b.engines {
				e.SharedFaults = shared
			}
			client := b.dial(t)
			client.send(request("POST", "/stream/x", "a1", "{}", streamHeader))
			_, body, complete := client.receive()
			assert.Assert(t, !complete)
			assert.Equal(t, body, "id: 1\ndata: event 1\n\n")
		})
	}
}

// Guards against a stream without length or chunks that loses its events, or that looks complete although its connection
// ended inside an event, before the first event or with a reset.
func TestUnframedStream(t *testing.T) {
	for name, faults := range map[string][]tgemulator.Fault{
		"cut":   {tgemulator.FaultCutEvent},
		"empty": {tgemulator.FaultEmptyStream},
		"reset": {tgemulator.FaultBrokenStream},
		"whole": nil,
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestProxy(t, 2)
			shared := make(chan tgemulator.Fault, len(faults))
			for _, f := range faults {
				shared <- f
			}
			for _, e := range b.engines {
				e.SharedFaults, e.Unframed = shared, true
			}
			client := b.dial(t)
			client.send(request("POST", "/stream/x", "a1", "{}", streamHeader))
			_, body, complete := client.receive()
			assert.Assert(t, complete)
			assert.Equal(t, body, wholeStream) // resumed at the other engine
			assert.Equal(t, b.runs("a1"), 1+len(faults))
		})
	}
}

// Guards against stalled streams that last as long as the route allows because a byte comes now and then, and against slow
// streams that are cut although each event is a new one.
func TestStalledStream(t *testing.T) {
	t.Parallel()
	t.Run("stalled", func(t *testing.T) {
		t.Parallel()
		b := newTestProxy(t, 2, withPatientStreams)
		shared := make(chan tgemulator.Fault, 1)
		shared <- tgemulator.FaultStalledStream
		for _, e := range b.engines {
			e.SharedFaults = shared
		}
		client := b.dial(t)
		start := time.Now()
		client.send(request("POST", "/stream/x", "a1", "{}", streamHeader))
		_, body, complete := client.receive()
		assert.Assert(t, complete)
		assert.Equal(t, strings.ReplaceAll(body, ":\n\n", ""), wholeStream) // resumed at the other engine
		assert.Assert(t, time.Since(start) < 10*time.Second)
	})
	t.Run("slow", func(t *testing.T) {
		t.Parallel()
		b := newTestProxy(t, 1, withPatientStreams)
		b.engines[0].EventInterval = 2 * time.Second
		client := b.dial(t)
		client.send(request("POST", "/stream/x", "a1", "{}", streamHeader))
		_, body, complete := client.receive()
		assert.Assert(t, complete)
		assert.Equal(t, body, wholeStream)
	})
}

// withPatientStreams lets streams take longer than their stall timeout.
func withPatientStreams(s *proxySetup) {
	route, _ := s.config.Route(routeHost, "/stream/x")
	route.EventGapTarget, route.Timeout = 100*time.Millisecond, 20*time.Second
}

// panickingCatalog panics at the first look at the upstreams.
type panickingCatalog struct {
	tgproxy.Catalog
	panicked atomic.Bool
}

// Upstreams implements tgproxy.Catalog.
func (c *panickingCatalog) Upstreams(pool string) []tgcatalog.Upstream {
	if !c.panicked.Swap(true) {
		panic("unexpected")
	}
	return c.Catalog.Upstreams(pool)
}

// panickingCount panics at one of the calls of EntryCount.
type panickingCount struct {
	tgproxy.Catalog
	calls, panicAt atomic.Int32
}

// EntryCount implements tgproxy.Catalog.
func (c *panickingCount) EntryCount() int {
	if c.calls.Add(1) == c.panicAt.Load() {
		panic("unexpected")
	}
	return c.Catalog.EntryCount()
}

// Guards against callers who read long answers slowly and so keep connections to an upstream from other callers.
func TestSlowCallersHoldNoUpstream(t *testing.T) {
	const connections = 2
	b := newTestProxy(t, 1, withMaxConnections(connections))
	b.engines[0].ResponseBody = strings.Repeat("x", 8<<20) // more than the buffers of a connection hold
	for i := range 2 * connections {
		slow := b.dial(t)
		slow.send(request("GET", "/twice/x", fmt.Sprintf("slow%d", i), ""))
		waitFor(t, func() bool { return b.runs(fmt.Sprintf("slow%d", i)) == 1 })
		_, err := slow.br.Peek(1) // the answer is there
		assert.NilError(t, err)
	}
}

// Guards against one caller who asks for weights that no engine has, and whose 421 answers make the proxy avoid all engines
// for ten seconds: other callers would be refused.
func TestUnknownWeightVersion(t *testing.T) {
	b := newTestProxy(t, 3)
	for i := range 6 {
		c := b.dial(t)
		c.send(request("GET", "/twice/x", fmt.Sprintf("odd%d", i), "", "Tanagergrade-Expected-Version: 9"))
		r, _, complete := c.receive()
		assert.Assert(t, complete)
		assert.Equal(t, r.Status, 503)
	}
	for i := range 6 {
		c := b.dial(t)
		c.send(request("GET", "/twice/x", fmt.Sprintf("a%d", i), ""))
		r, _, complete := c.receive()
		assert.Assert(t, complete)
		assert.Equal(t, r.Status, 200)
	}
	assert.Assert(t, b.engines[0].Executions("odd0")+b.engines[1].Executions("odd0") == 0)
}

// Guards against an upstream that counts as loaded for ever after an unexpected fault in a request that it was chosen for.
func TestPanicReleasesUpstream(t *testing.T) {
	count := &panickingCount{}
	b := newTestProxy(t, 1, func(s *proxySetup) {
		s.wrapCatalog = func(c tgproxy.Catalog) tgproxy.Catalog { count.Catalog = c; return count }
	})
	for at := int32(1); ; at++ {
		count.calls.Store(0)
		count.panicAt.Store(at)
		c := b.dial(t)
		c.send(request("GET", "/twice/x", fmt.Sprintf("a%d", at), ""))
		if c.waitForEnd() == nil {
			assert.Assert(t, at > 1, "no call panicked")
			break // a request needs fewer calls
		}
	}
	pending := func() (n int) {
		for _, u := range b.proxy.State().Upstreams {
			n += u.Pending
		}
		return n
	}
	for range 100 { // an attempt ends just after its answer was sent
		if pending() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d attempts are pending", pending())
}

// Guards against an unexpected fault in one request that takes other requests or the process with it.
func TestPanicInRequest(t *testing.T) {
	b := newTestProxy(t, 1, func(s *proxySetup) {
		s.wrapCatalog = func(c tgproxy.Catalog) tgproxy.Catalog { return &panickingCatalog{Catalog: c} }
	})
	first := b.dial(t)
	first.send(request("GET", "/twice/x", "a1", ""))
	assert.Assert(t, first.waitForEnd() != nil)
	second := b.dial(t)
	second.send(request("GET", "/twice/x", "a2", ""))
	r, _, complete := second.receive()
	assert.Assert(t, complete && r.Status == 200)
	b.events.mu.Lock()
	defer b.events.mu.Unlock()
	assert.Equal(t, b.events.list[0].Outcome, "broken")
	b.stop() // conc raises a panic again when Serve waits for its goroutines
}
