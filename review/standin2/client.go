package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a connection of a client.
type client struct {
	br   *bufio.Reader
	conn net.Conn
	d    *deployment
}

// answer is what a client saw of a request.
type answer struct {
	body      string
	complete  bool
	elapsed   time.Duration
	err       error
	signature string
	status    int // 0 without an answer
}

func (d *deployment) dial(addr string) (*client, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(d.ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &client{br: bufio.NewReader(conn), conn: conn, d: d}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// request is one attempt of a client.
type request struct {
	deadline time.Duration
	id       string
	method   string
	path     string
	usage    string // of a stream
}

// do sends a request and reads its answer to the end.
func (c *client) do(q request) answer {
	body := "a request of the review"
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nTanagergrade-Deadline-Ms: %d\r\nTanagergrade-Key: %s\r\n",
		q.method, q.path, routeHost, headerAttempt, q.id, q.deadline.Milliseconds(), key)
	if q.usage != "" {
		head += fmt.Sprintf("Tanagergrade-Model: m\r\n%s: %s\r\nTanagergrade-Prompt-Prefix: 5c1e07a2:40,%x:674\r\n", headerUsage, q.usage, q.id)
	}
	if q.method == http.MethodGet {
		body = ""
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	start := time.Now()
	c.d.rec.linef("client sends %s %s", q.id, q.path)
	a := answer{}
	defer func() {
		c.d.rec.linef("client got for %s after %.3f s: status %d, signature %q, %d bytes, complete %t, error %s",
			q.id, time.Since(start).Seconds(), a.status, a.signature, len(a.body), a.complete, describe(a.err))
	}()
	if a.err = c.conn.SetDeadline(start.Add(q.deadline)); a.err != nil {
		return a
	}
	if _, a.err = c.conn.Write([]byte(head + "\r\n" + body)); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.br, nil)
	if a.err = err; err != nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.signature = resp.StatusCode, resp.Header.Get(headerSignature)
	var b bytes.Buffer
	_, a.err = io.Copy(&b, resp.Body)
	a.body, a.complete, a.elapsed = b.String(), a.err == nil, time.Since(start)
	return a
}
