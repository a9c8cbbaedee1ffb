// Package tgcontrol is the HTTP client for control calls to engines. Their answers have no ID: only the connection on which
// an answer comes tells what it belongs to.
package tgcontrol

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/io/tghttp"
)

const (
	idleTimeout    = 20 * time.Second
	maxAnswerBytes = 1 << 20
	readBufBytes   = 4 << 10
	sweepInterval  = time.Second // between removals of connections that were idle for too long
)

// Call is a call to an engine.
type Call struct {
	Body    []byte // JSON; nil for a GET
	Target  string // path and query
	Timeout time.Duration
}

// Client calls engines. It sends no call twice, and a connection on which anything came beside the answers is closed. It
// keeps one connection to each engine, so a copy of an answer that comes late is a copy of the last one. It is safe for
// concurrent use.
type Client struct {
	dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

	mu        sync.Mutex // guards the fields below
	idle      map[netip.AddrPort]*conn
	lastSweep time.Time
}

// conn is a connection to an engine.
type conn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time
}

// New returns a client that connects with dial.
func New(dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)) *Client {
	return &Client{dial: dial, idle: map[netip.AddrPort]*conn{}}
}

// Do sends a call on the connection that was kept or on a new one. A late copy of the answer before may come first on a kept
// one, so the answer is only a hint.
func (c *Client) Do(addr netip.AddrPort, call Call) (status int, body []byte, err error) {
	return c.do(addr, call, c.take(addr))
}

// DoCertain sends a call on a connection of its own: the answer is the one to the call.
func (c *Client) DoCertain(addr netip.AddrPort, call Call) (status int, body []byte, err error) {
	return c.do(addr, call, nil)
}

func (c *Client) do(addr netip.AddrPort, call Call, n *conn) (status int, body []byte, err error) {
	end := time.Now().Add(call.Timeout)
	if n == nil {
		ctx, cancel := context.WithDeadline(context.Background(), end)
		defer cancel()
		s, err := c.dial(ctx, addr)
		if err != nil {
			return 0, nil, err
		}
		n = &conn{Conn: s, br: bufio.NewReaderSize(s, readBufBytes)}
	}
	status, body, reusable, err := n.exchange(addr, call, end)
	if err != nil || !reusable || !c.keep(addr, n) {
		_ = n.Close() // the error does not matter, as the connection is not used again
	}
	return status, body, err
}

// take removes and returns the kept connection to an engine, or nil if there is none that can be used.
func (c *Client) take(addr netip.AddrPort) *conn {
	c.mu.Lock()
	n := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	if n != nil && (time.Since(n.idleSince) > idleTimeout || !tghttp.IsQuiet(n.Conn, n.br)) {
		_ = n.Close()
		return nil
	}
	return n
}

// keep keeps a connection unless there is another one, and closes those that were idle for too long.
func (c *Client) keep(addr netip.AddrPort, n *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.idleSince = time.Now()
	if n.idleSince.Sub(c.lastSweep) > sweepInterval {
		c.lastSweep = n.idleSince
		for a, i := range c.idle {
			if n.idleSince.Sub(i.idleSince) > idleTimeout {
				_ = i.Close()
				delete(c.idle, a)
			}
		}
	}
	if c.idle[addr] != nil {
		return false
	}
	c.idle[addr] = n
	return true
}

// exchange sends a call and reads its answer; the connection is reusable if nothing is left of it.
func (n *conn) exchange(addr netip.AddrPort, call Call, end time.Time) (status int, body []byte, reusable bool, err error) {
	if err := n.SetDeadline(end); err != nil {
		return 0, nil, false, errors.Wrap(err, "set deadline")
	}
	method := http.MethodGet
	if call.Body != nil {
		method = http.MethodPost
	}
	b := tghttp.AppendRequestLine(nil, method, call.Target)
	b = tghttp.AppendField(b, "Host", addr.String())
	if call.Body != nil {
		b = tghttp.AppendField(b, "Content-Type", "application/json")
		b = append(tghttp.AppendContentLength(b, len(call.Body)), call.Body...)
	} else {
		b = append(b, "\r\n"...)
	}
	if _, err := n.Write(b); err != nil {
		return 0, nil, false, errors.Wrap(err, "send the call")
	}
	r, err := tghttp.ReadResponse(n.br, method)
	if err != nil {
		return 0, nil, false, errors.Wrap(err, "read the answer")
	}
	a := tghttp.NewBody(n.br, r.Framing, r.Length)
	if body, err = a.ReadAll(maxAnswerBytes); err != nil {
		return 0, nil, false, errors.Wrap(err, "read the answer")
	}
	return r.Status, body, r.KeepAlive && a.Complete() && n.br.Buffered() == 0, nil
}
