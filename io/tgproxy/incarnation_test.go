package tgproxy_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/io/tghttp"
	"tanagergrade/platform/tgemulator"
)

// repeatingEngine sends its last answer on a connection once more when the next request on it has come.
type repeatingEngine struct {
	addr netip.AddrPort

	mu    sync.Mutex // guards the fields below
	conns int        // accepted
	id    string
	on421 func() // called before a request for another ID is refused
	runs  map[string]int
}

func newRepeatingEngine(t *testing.T, id string) *repeatingEngine {
	t.Helper()
	e := &repeatingEngine{id: id, runs: map[string]int{}}
	e.addr = serveConns(t, e.serve)
	return e
}

func (e *repeatingEngine) serve(conn net.Conn) {
	e.mu.Lock()
	e.conns++
	e.mu.Unlock()
	br := bufio.NewReader(conn)
	for last := ""; ; {
		r, err := tghttp.ReadRequest(br, 64<<10)
		if err != nil {
			return
		}
		if _, err := tghttp.NewBody(br, r.Framing, r.Length).ReadAll(1 << 20); err != nil {
			return
		}
		next := e.answer(r)
		if _, err := conn.Write([]byte(last + next)); err != nil {
			return
		}
		last = next
	}
}

func (e *repeatingEngine) answer(r *tghttp.Request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get("Tanagergrade-Attempt-Id")
	if r.Header.Get("Tanagergrade-Target-Instance") != e.id {
		e.on421()
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nTanagergrade-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	}
	e.runs[id]++
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTanagergrade-Attempt-Id: %s\r\nTanagergrade-Response-Signature: s\r\n"+
		"Content-Length: 5\r\n\r\nrun %d", id, e.runs[id])
}

func (e *repeatingEngine) counts(attempt string) (conns, runs int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns, e.runs[attempt]
}

func (c *testCatalog) set(upstreams ...tgcatalog.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstreams = upstreams
}

// Guards against callers that are told "not run" for a request that has run: an upstream that restarted is listed at its
// address under its old and its new ID, and a late copy of the refusal meant for the old one comes before the answer of the
// new one, with the ID of the same attempt.
func TestLateRefusalOfFormerIncarnation(t *testing.T) {
	e := newRepeatingEngine(t, "new")
	b := newTestProxy(t, 1)
	former := tgcatalog.Upstream{Address: e.addr, ID: "old", Slots: 4, State: tgcatalog.StateReady}
	present := former
	present.ID = "new"
	e.on421 = func() { b.catalog.set(former, present) }
	b.catalog.set(former)
	client := b.dial(t)
	client.send(request(http.MethodPost, "/once/x", "a1", "{}"))
	r, _, _ := client.receive()
	_, runs := e.counts("a1")
	assert.Equal(t, runs, 1)
	assert.Equal(t, r.Status, http.StatusOK)
}

// Guards against a late copy of the answer of one incarnation that is taken for the answer of the next, because the
// connection was kept when the upstream started again at its address, and against the answer to an earlier request with
// the same ID. An upstream that did not restart keeps its connection, but for one request after a late copy.
func TestConnectionEndsWithIncarnation(t *testing.T) {
	started := time.UnixMilli(1000)
	for name, c := range map[string]struct {
		conns   int // in the end
		id      string
		attempt string // ID of the second attempt
		start   time.Time
	}{
		"newID":       {conns: 2, id: "new", attempt: "a2", start: started},
		"newStart":    {conns: 2, id: "old", attempt: "a2", start: started.Add(time.Second)},
		"sameAttempt": {conns: 2, id: "old", attempt: "a1", start: started},
		"unchanged":   {conns: 1, id: "old", attempt: "a2", start: started},
	} {
		t.Run(name, func(t *testing.T) {
			e := newRepeatingEngine(t, "old")
			b := newTestProxy(t, 1)
			u := tgcatalog.Upstream{Address: e.addr, ID: "old", Slots: 4, Started: started, State: tgcatalog.StateReady}
			b.catalog.set(u)
			client := b.dial(t)
			client.send(request(http.MethodPost, "/once/x", "a1", "{}"))
			r, _, _ := client.receive()
			assert.Equal(t, r.Status, http.StatusOK)
			e.mu.Lock()
			e.id = c.id
			e.mu.Unlock()
			u.ID, u.Started = c.id, c.start
			b.catalog.set(u)
			client.send(request(http.MethodPost, "/once/x", c.attempt, "{}"))
			r, body, _ := client.receive()
			conns, runs := e.counts(c.attempt)
			assert.Equal(t, r.Status, http.StatusOK)
			assert.Equal(t, body, fmt.Sprintf("run %d", runs))
			assert.Equal(t, conns, c.conns)
			client.send(request(http.MethodPost, "/once/x", "a3", "{}"))
			r, _, _ = client.receive()
			assert.Equal(t, r.Status, http.StatusOK)
			conns, _ = e.counts("a3")
			assert.Equal(t, conns, 2, "a connection on which a late copy came is used again")
		})
	}
}

// Guards against a request that runs again, or whose caller is told that it has not run, because a refusal that does not
// tell which attempt it answers comes first on a new connection (soak, seeds 770011 and 880050).
func TestRefusalWithoutIDOnNewConnection(t *testing.T) {
	b := newTestProxy(t, 1)
	b.engines[0].QueueFaults(tgemulator.FaultLateRefusal)
	client := b.dial(t)
	client.send(request(http.MethodPost, "/once/x", "a1", "{}"))
	r, _, _ := client.receive()
	assert.Equal(t, b.runs("a1"), 1)
	assert.Equal(t, r.Status, http.StatusBadGateway, "the request has run")
}
