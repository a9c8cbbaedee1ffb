package tgproxy_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tghttp"
	"tanagergrade/io/tgstandin"
)

// Guards against callers who get an engine's answer with a status that HTTP does not have: 600 to 999 were passed on as
// errors of the engine, and as a promise that the request had not run where the header said so.
func TestInvalidStatus(t *testing.T) {
	t.Parallel()
	b := newTestProxy(t, 0)
	n := 0
	for _, code := range tgstandin.InvalidStatuses {
		for _, fields := range []string{
			"Tanagergrade-Response-Signature: s\r\nContent-Length: 1\r\n\r\nx",
			"Tanagergrade-Not-Executed: 1\r\nContent-Length: 1\r\n\r\nx",
			"Tanagergrade-Response-Signature: s\r\nContent-Type: text/event-stream\r\n\r\nid: 0\ndata: x\n\n",
		} {
			e := newCutEngine(t, false, func(r *tghttp.Request) string {
				return fmt.Sprintf("HTTP/1.1 %s OK\r\nTanagergrade-Attempt-Id: %s\r\n%s",
					code, r.Header.Get("Tanagergrade-Attempt-Id"), fields)
			})
			for _, path := range []string{"/once/x", "/twice/x", "/stream/x"} {
				n++
				e.use(b, 1<<10+n)
				client := b.dial(t)
				client.send(request("POST", path, fmt.Sprintf("a%04d", n), "{}", streamHeader))
				r, body, _ := client.receive()
				assert.Equal(t, r.Status, http.StatusBadGateway, "status %q on %s", code, path)
				assert.Equal(t, r.Header.Get("Tanagergrade-Response-Signature"), "")
				assert.Assert(t, body != "x")
				assert.Equal(t, e.received.Load(), int64(1))
			}
		}
	}
}

// Guards against an engine with such a status that costs the callers of repeatable requests the answer of a sound one.
func TestInvalidStatusIsRetried(t *testing.T) {
	t.Parallel()
	b := newTestProxy(t, 1)
	sound := b.catalog.upstreams[0]
	for i, code := range tgstandin.InvalidStatuses {
		faulty := newCutEngine(t, false, func(r *tghttp.Request) string {
			return fmt.Sprintf("HTTP/1.1 %s OK\r\nTanagergrade-Attempt-Id: %s\r\nTanagergrade-Response-Signature: s\r\n"+
				"Content-Length: 1\r\n\r\nx", code, r.Header.Get("Tanagergrade-Attempt-Id"))
		})
		for j := range 4 { // some of them meet the faulty one first
			faulty.use(b, 1<<10+i)
			b.catalog.mu.Lock()
			b.catalog.upstreams = append(b.catalog.upstreams, sound)
			b.catalog.mu.Unlock()
			client := b.dial(t)
			client.send(request("POST", "/twice/x", fmt.Sprintf("b%02d%02d", i, j), "{}"))
			r, _, complete := client.receive()
			assert.Equal(t, r.Status, http.StatusOK, "after status %q", code)
			assert.Assert(t, complete)
		}
	}
}

// Guards against an engine's redirect that becomes 502 although the request has run: its status, body and signature belong to
// the caller.
func TestRedirectIsPassedOn(t *testing.T) {
	t.Parallel()
	b := newTestProxy(t, 0)
	n := 0
	for _, code := range []int{301, 302, 303, 307, 308} {
		e := newCutEngine(t, false, func(r *tghttp.Request) string {
			return fmt.Sprintf("HTTP/1.1 %d Elsewhere\r\nTanagergrade-Attempt-Id: %s\r\nTanagergrade-Response-Signature: s\r\n"+
				"Location: /elsewhere\r\nContent-Length: 1\r\n\r\nx", code, r.Header.Get("Tanagergrade-Attempt-Id"))
		})
		for _, path := range []string{"/once/x", "/twice/x", "/stream/x"} {
			n++
			e.use(b, 1<<10+n)
			client := b.dial(t)
			client.send(request("POST", path, fmt.Sprintf("r%04d", n), "{}", streamHeader))
			r, body, complete := client.receive()
			assert.Equal(t, r.Status, code, path)
			assert.Equal(t, r.Header.Get("Tanagergrade-Response-Signature"), "s")
			assert.Equal(t, r.Header.Get("Location"), "/elsewhere")
			assert.Assert(t, complete)
			assert.Equal(t, body, "x")
			assert.Equal(t, e.received.Load(), int64(1))
		}
	}
}
