package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"syscall"
	"time"

	"tanagergrade/io/tghttp"
)

const (
	answerBytes  = 4 << 20
	readPause    = 4 * time.Second
	slowDeadline = 15 * time.Second
	slowRequests = 2
)

// playSlowReader plays callers that take a pause while they read the answer to a request that must not run twice, in front
// of an entry that gets SIGHUP.
func playSlowReader(f *fleet, trouble bool) (broken bool, err error) {
	f.configure([]any{route("once", "non_idempotent", "plain", nil), route("any", "idempotent", "plain", nil)}, "plain")
	e, err := f.newEngine("i-one", "plain", time.Now().Add(-time.Hour))
	if err != nil {
		return false, err
	}
	e.body = bytes.Repeat([]byte("0123456789abcdef"), answerBytes/16)
	p, err := f.newEntry()
	if err != nil {
		return false, err
	}
	if err := f.awaitServing(p); err != nil {
		return false, err
	}
	time.Sleep(stableTime + time.Second)
	p.signal(syscall.SIGHUP)
	f.record.linef("SIGHUP to %s", p.name)
	lost := 0
	results := make(chan answer, slowRequests)
	for range slowRequests {
		go func() {
			q := newRequest("POST", "/once/x", []byte("body"))
			q.deadline = slowDeadline
			results <- f.readSlowly(p.callers, q, trouble)
		}()
	}
	for range slowRequests {
		a := <-results
		f.record.linef("status %d, %d of %d bytes, complete %t after %.3f s, %v", a.status, len(a.body), answerBytes, a.complete,
			a.ended.Sub(a.sent).Seconds(), a.err)
		if a.status == statusOK && !a.complete {
			lost++
		}
	}
	return lost > 0, nil
}

// readSlowly sends a request and reads the head of the answer, pauses, and reads the rest.
func (f *fleet) readSlowly(addr string, q *request, pause bool) (a answer) {
	a.sent = time.Now()
	defer func() { a.ended = time.Now() }()
	conn, err := f.dial(addr)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(16 << 10)
	}
	_ = conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, a.err = conn.Write(q.text()); a.err != nil {
		return a
	}
	br := bufio.NewReader(conn)
	r, err := tghttp.ReadResponse(br, q.method)
	if err != nil {
		a.err = err
		return a
	}
	a.status = r.Status
	if pause {
		time.Sleep(readPause)
	}
	b := tghttp.NewBody(br, r.Framing, r.Length)
	a.body, a.err = io.ReadAll(b)
	a.complete = b.Complete()
	return a
}
