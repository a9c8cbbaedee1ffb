package tgproxy_test

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/io/tghttp"
)

// cutEngine answers each request with the first bytes of an answer and closes the connection.
type cutEngine struct {
	addr     netip.AddrPort
	answer   func(r *tghttp.Request) string
	cut      atomic.Int64 // bytes of the answer that are sent
	received atomic.Int64 // requests
	reset    bool         // the connection is reset and not closed
}

func newCutEngine(t *testing.T, reset bool, answer func(r *tghttp.Request) string) *cutEngine {
	t.Helper()
	e := &cutEngine{answer: answer, reset: reset}
	e.addr = serveConns(t, e.serve)
	return e
}

func (e *cutEngine) serve(conn net.Conn) {
	br := bufio.NewReader(conn)
	r, err := tghttp.ReadRequest(br, 8<<10)
	if err != nil {
		return
	}
	if _, err := tghttp.NewBody(br, r.Framing, r.Length).ReadAll(1 << 10); err != nil {
		return
	}
	e.received.Add(1)
	answer := e.answer(r)
	_, _ = conn.Write([]byte(answer[:min(int(e.cut.Load()), len(answer))])) // the proxy may be gone
	if tcp, ok := conn.(*net.TCPConn); ok && e.reset {
		_ = tcp.SetLinger(0)
	}
}

// use makes the engine the only upstream of a proxy, under an ID that the proxy has no failures of yet.
func (e *cutEngine) use(b *testProxy, cut int) {
	e.cut.Store(int64(cut))
	e.received.Store(0)
	b.catalog.mu.Lock()
	defer b.catalog.mu.Unlock()
	b.catalog.upstreams = []tgcatalog.Upstream{{
		Address: e.addr, ID: fmt.Sprintf("cut%d", cut), Pool: "pool",
		Slots: 10, State: tgcatalog.StateReady,
	}}
}

// Guards against an engine that stops in the middle of its answer, in its head above all, whose callers get a success that
// looks whole.
func TestTruncatedAnswers(t *testing.T) {
	t.Parallel()
	const event = "id: 0\ndata: x\n\n"
	head := func(r *tghttp.Request, fields string) string {
		return "HTTP/1.1 200 OK\r\nTanagergrade-Attempt-Id: " + r.Header.Get("Tanagergrade-Attempt-Id") +
			"\r\nTanagergrade-Response-Signature: s\r\n" + fields + "\r\n"
	}
	for _, tc := range []struct {
		name string
		path string
		// unframed means that the end of the connection ends the body: only a reset or an unfinished event shows a cut there.
		unframed bool
		answer   func(r *tghttp.Request) string
	}{
		{"chunks", "/twice/x", false, func(r *tghttp.Request) string {
			return head(r, "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n0\r\n\r\n"
		}},
		{"early hints before the answer", "/once/x", false, func(r *tghttp.Request) string {
			return "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head(r, "Content-Length: 5\r\n") + "hello"
		}},
		{"length", "/once/x", false, func(r *tghttp.Request) string { return head(r, "Content-Length: 5\r\n") + "hello" }},
		{"no length", "/once/x", true, func(r *tghttp.Request) string { return head(r, "") + "hello" }},
		{"stream in chunks", "/stream/x", false, func(r *tghttp.Request) string {
			return head(r, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") +
				fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(event), event)
		}},
		{"stream without length", "/stream/x", true, func(r *tghttp.Request) string {
			return head(r, "Content-Type: text/event-stream\r\n") + event
		}},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%t", tc.name, reset), func(t *testing.T) {
				t.Parallel()
				b := newTestProxy(t, 0)
				e := newCutEngine(t, reset, tc.answer)
				id := "a000"
				whole := tc.answer(&tghttp.Request{Header: tghttp.Header{{Name: "Tanagergrade-Attempt-Id", Value: id}}})
				headEnd := strings.LastIndex(whole, "\r\n\r\n") + len("\r\n\r\n")
				if !tc.unframed {
					headEnd = len(whole)
				}
				for cut := range headEnd {
					e.use(b, cut)
					id = fmt.Sprintf("a%03d", cut)
					client := b.dial(t)
					client.send(request("POST", tc.path, id, "{}", streamHeader))
					r, body, complete := client.receive()
					assert.Assert(t, e.received.Load() > 0, "no request came")
					assert.Assert(t, r.Status >= 500 || !complete, "cut after %d bytes: status %d, body %q", cut, r.Status, body)
					_ = client.Close()
				}
			})
		}
	}
}
