package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"tanagergrade/io/tghttp"
)

var lastID atomic.Int64

// request is one client attempt.
type request struct {
	body     []byte
	deadline time.Duration
	headers  []string
	id       string
	method   string
	path     string
}

func newRequest(method, path string, body []byte) *request {
	return &request{
		body: body, deadline: 15 * time.Second, id: fmt.Sprintf("a%06d", lastID.Add(1)), method: method, path: path,
	}
}

func (q *request) text() []byte {
	lines := []string{
		q.method + " " + q.path + " HTTP/1.1", "Host: " + routeHost, "Tanagergrade-Attempt-Id: " + q.id,
		"Tanagergrade-Key: " + accountKey, fmt.Sprintf("Tanagergrade-Deadline-Ms: %d", q.deadline.Milliseconds()),
	}
	lines = append(lines, q.headers...)
	if q.body != nil {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(q.body)))
	}
	return append([]byte(strings.Join(lines, "\r\n")+"\r\n\r\n"), q.body...)
}

// answer is what a client got.
type answer struct {
	body     []byte
	complete bool
	ended    time.Time
	err      error
	header   tghttp.Header
	id       string
	sent     time.Time
	status   int // 0 if there was no answer
}

// send sends a request on a new connection and reads its answer.
func (f *fleet) send(addr string, q *request) answer {
	conn, err := f.dial(addr)
	if err != nil {
		return answer{err: err, sent: time.Now(), ended: time.Now()}
	}
	defer func() { _ = conn.Close() }()
	return exchange(conn, bufio.NewReader(conn), q)
}

func (f *fleet) dial(addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	return d.DialContext(f.ctx, "tcp", addr)
}

// exchange sends a request on a connection and reads its answer.
func exchange(conn net.Conn, br *bufio.Reader, q *request) (a answer) {
	a.sent = time.Now()
	defer func() { a.ended = time.Now() }()
	if a.err = conn.SetDeadline(time.Now().Add(q.deadline + time.Second)); a.err != nil {
		return a
	}
	if _, a.err = conn.Write(q.text()); a.err != nil {
		return a
	}
	r, err := tghttp.ReadResponse(br, q.method)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = r.Status, r.Header
	b := tghttp.NewBody(br, r.Framing, r.Length)
	a.body, a.err = io.ReadAll(b)
	a.complete = b.Complete()
	return a
}
