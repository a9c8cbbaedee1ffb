package tgproxy_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a planned stop that cuts off requests in progress or requests that arrive on open connections.
func TestDrain(t *testing.T) {
	b := newTestProxy(t, 1)
	b.engines[0].EventInterval = 300 * time.Millisecond
	streaming, idle := b.dial(t), b.dial(t)
	streaming.send(request("POST", "/stream/x", "a1", "{}", streamHeader))
	idle.send(request("GET", "/twice/x", "a2", ""))
	_, _, complete := idle.receive()
	assert.Assert(t, complete)
	waitFor(t, func() bool { return b.engines[0].Executions("a1") == 1 })
	b.stop()
	waitFor(t, func() bool { return b.proxy.State().Draining })
	idle.send(request("GET", "/twice/x", "a3", ""))
	r, _, complete := idle.receive()
	assert.Assert(t, complete && r.Status == 200)
	assert.Equal(t, r.Header.Get("Connection"), "close")
	late := b.dial(t) // the platform may not have noticed the drain yet
	late.send(request("GET", "/twice/x", "a4", ""))
	r, _, _ = late.receive()
	assert.Equal(t, r.Status, 200)
	_, body, complete := streaming.receive()
	assert.Assert(t, complete)
	assert.Equal(t, body, wholeStream)
	select {
	case <-b.done:
	case <-time.After(6 * time.Second):
		t.Fatal("the server did not stop")
	}
}

// Guards against a stop that closes a connection although an answer written before the stop announced that it stays
// open: the caller's next request on it must be answered, too.
func TestStopJustAfterAnswer(t *testing.T) {
	b := newTestProxy(t, 1)
	draining := func() bool { return b.proxy.State().Draining }
	b.events.onNext = func() { // the answer is written, the connection not yet ready for the next request
		b.stop()
		waitFor(t, draining)
	}
	client := b.dial(t)
	client.send(request("GET", "/twice/x", "a1", ""))
	r, _, complete := client.receive()
	assert.Assert(t, complete)
	assert.Equal(t, r.Header.Get("Connection"), "")
	waitFor(t, draining)
	client.send(request("GET", "/twice/x", "a2", ""))
	r, _, complete = client.receive()
	assert.Assert(t, complete && r.Status == 200)
	assert.Equal(t, r.Header.Get("Connection"), "close")
}

// Guards against an answer that announces a persistent connection although the stop began while the engine was working.
func TestStopWhileEngineWorks(t *testing.T) {
	b := newTestProxy(t, 1)
	b.engines[0].ProcessingTime = 1500 * time.Millisecond
	client := b.dial(t)
	client.send(request("GET", "/twice/x", "a1", ""))
	waitFor(t, func() bool { return b.engines[0].Executions("a1") == 1 })
	b.stop()
	waitFor(t, func() bool { return b.proxy.State().Draining })
	r, _, complete := client.receive()
	assert.Assert(t, complete && r.Status == 200)
	assert.Equal(t, r.Header.Get("Connection"), "close")
}
