package tgcontrol

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tghttp"
	"tanagergrade/io/tgstandin"
)

// engine numbers the calls that it gets and answers each with its number.
type engine struct {
	addr  netip.AddrPort
	after bool // sends each answer twice at once
	late  bool // sends the last answer on a connection once more when the next call on it has come
	close bool // ends the connection after the answer

	mu    sync.Mutex // guards the fields below
	calls int
	conns int
}

func startEngine(t *testing.T, e *engine) *Client {
	t.Helper()
	s, err := tgstandin.ServeConns(e.serve)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	e.addr = s.Address()
	return newTestClient()
}

func newTestClient() *Client {
	return New(func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr.String())
	})
}

func (e *engine) serve(conn net.Conn) {
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
		e.mu.Lock()
		e.calls++
		body := strconv.Itoa(e.calls)
		e.mu.Unlock()
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		text := answer
		switch {
		case e.after:
			text += answer
		case e.late:
			text = last + answer
		}
		if _, err := conn.Write([]byte(text)); err != nil || e.close {
			return
		}
		last = answer
	}
}

// Guards against an order that counts as accepted because of a copy of the answer to an earlier call (review, case 1). A copy
// that has come before the call is never taken for its answer; one that comes later is, on a kept connection, but only
// once; a call on a connection of its own gets its own answer.
func TestCopiesOfAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		certain bool
		conns   int
		engine  *engine
		want    []string
	}{
		"after":       {conns: 4, engine: &engine{after: true}, want: []string{"1", "2", "3", "4"}},
		"afterClosed": {conns: 4, engine: &engine{after: true, close: true}, want: []string{"1", "2", "3", "4"}},
		"closed":      {conns: 4, engine: &engine{close: true}, want: []string{"1", "2", "3", "4"}},
		"late":        {conns: 2, engine: &engine{late: true}, want: []string{"1", "1", "3", "3"}},
		"lateCertain": {certain: true, conns: 4, engine: &engine{late: true}, want: []string{"1", "2", "3", "4"}},
		"none":        {conns: 1, engine: &engine{}, want: []string{"1", "2", "3", "4"}},
	} {
		t.Run(name, func(t *testing.T) {
			client := startEngine(t, c.engine)
			call := Call{Target: "/v1/report", Timeout: time.Second}
			for _, want := range c.want {
				do := client.Do
				if c.certain {
					call.Body, do = []byte("{}"), client.DoCertain
				}
				status, body, err := do(c.engine.addr, call)
				assert.NilError(t, err)
				assert.Equal(t, status, 200)
				assert.Equal(t, string(body), want)
				time.Sleep(20 * time.Millisecond) // a copy has come
			}
			c.engine.mu.Lock()
			defer c.engine.mu.Unlock()
			assert.Equal(t, c.engine.conns, c.conns)
		})
	}
}
