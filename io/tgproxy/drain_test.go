package tgproxy_test

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tghttp"
	"tanagergrade/platform/tgemulator"
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

// Guards against a planned stop that cuts off requests without an answer: an engine may need longer than any answer before.
// A caller whose request must not run twice could then only guess whether it has run.
func TestStopAnswersRequestsInProgress(t *testing.T) {
	t.Parallel()
	const workTime = 10 * time.Second // of the engine
	for _, tc := range []struct {
		name  string
		path  string
		fault tgemulator.Fault
	}{
		{"idempotent", "/twice/x", tgemulator.FaultNone},
		{"not idempotent", "/once/x", tgemulator.FaultNone},
		{"not idempotent without an answer", "/once/x", tgemulator.FaultHang},
		{"stream before its first event", "/stream/x", tgemulator.FaultNone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			b := newTestProxy(t, 1, withDrainGrace(3500*time.Millisecond), withTimeout(workTime))
			b.engines[0].ProcessingTime = workTime
			b.engines[0].QueueFaults(tc.fault)
			client := b.dial(t)
			client.send(request("POST", tc.path, "a1", "{}", streamHeader))
			waitFor(t, func() bool { return b.engines[0].Executions("a1") == 1 })
			b.stop()
			r, _, complete := client.receive()
			assert.Assert(t, complete)
			assert.Equal(t, r.Status, 502)
			assert.Equal(t, r.Header.Get("Connection"), "close")
			<-b.done
		})
	}
}

const (
	stopCallers = 20 // callers that send without a pause while a proxy stops
	stopProxies = 8  // stopped at the same time
)

// Guards against a planned stop under load that cuts off a request which was just accepted: one whose connection waits in
// the listener's queue, or whose bytes wait in the socket of a connection that counts as idle.
func TestStopUnderLoad(t *testing.T) {
	for _, tc := range []struct {
		name  string
		reuse bool // callers keep their connections
	}{
		{"kept connections", true},
		{"new connections", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var sent, lost atomic.Int64
			var wg sync.WaitGroup
			for range stopProxies {
				b := newTestProxy(t, 1)
				stopped := make(chan struct{})
				for i := range stopCallers {
					wg.Go(func() { callUntilStopped(t, b.addr, i, tc.reuse, stopped, &sent, &lost) })
				}
				wg.Go(func() {
					time.Sleep(200 * time.Millisecond)
					b.stop()
					<-b.done
					close(stopped)
				})
			}
			wg.Wait()
			t.Logf("%d requests, %d without an answer", sent.Load(), lost.Load())
			assert.Assert(t, sent.Load() > 0)
			assert.Equal(t, lost.Load(), int64(0))
		})
	}
}

// callUntilStopped sends requests one after the other until the proxy refuses a connection, and counts those that were
// sent and those without an answer.
func callUntilStopped(
	t *testing.T, addr string, caller int, reuse bool, stopped <-chan struct{}, sent, lost *atomic.Int64,
) {
	t.Helper()
	var conn net.Conn
	var br *bufio.Reader
	served := 0 // requests on conn
	for n := 0; ; n++ {
		select {
		case <-stopped:
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", addr); err != nil { //nolint:noctx // bounded by the end of the proxy
				return // the listener is closed
			}
			br, served = bufio.NewReader(conn), 0
		}
		keep, err := callOnce(conn, br, fmt.Sprintf("c%d-%d", caller, n))
		sent.Add(1)
		if err != nil {
			t.Logf("request %d of a connection: %v", served, err)
			lost.Add(1)
		}
		served++
		if err != nil || !keep || !reuse {
			_ = conn.Close()
			conn = nil
		}
	}
}

// callOnce sends a request and reads its answer; keep reports whether the connection may carry another one.
func callOnce(conn net.Conn, br *bufio.Reader, id string) (keep bool, err error) {
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return false, err
	}
	if _, err := conn.Write([]byte(request("GET", "/twice/x", id, ""))); err != nil {
		return false, err
	}
	r, err := tghttp.ReadResponse(br, "GET")
	if err != nil {
		return false, err
	}
	_, err = tghttp.NewBody(br, r.Framing, r.Length).ReadAll(1 << 20)
	return r.KeepAlive, err
}
