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
	answerBytes  = 7_500_000 // more than the system keeps for a connection
	largeMemory  = 536       // MB, of an entry that may hold such answers
	readPause    = 4 * time.Second
	slowBuffer   = 64 << 10 // bytes that a caller's system keeps for it
	slowDeadline = 15 * time.Second
	slowRequests = 3
)

// playSlowReader plays callers that take a pause while they read the answer to a request that must not run twice, in front
// of an entry that gets SIGHUP. Without trouble, they read on at once. The rule is LOST.
func playSlowReader(f *fleet, trouble bool) (broken bool, err error) {
	f.configure([]any{route("once", "non_idempotent", "plain", nil), route("any", "idempotent", "plain", nil)}, "plain")
	e, err := f.newEngine("i-one", "plain", time.Now().Add(-time.Hour))
	if err != nil {
		return false, err
	}
	p, err := f.newEntry(largeMemory)
	if err != nil {
		return false, err
	}
	if err := f.awaitServing(p); err != nil {
		return false, err
	}
	e.setBody(bytes.Repeat([]byte("0123456789"), answerBytes/10))
	time.Sleep(stableTime + time.Second)
	p.signal(syscall.SIGHUP)
	f.record.linef("SIGHUP to %s", p.name)
	results := make(chan answer, slowRequests)
	for range slowRequests {
		go func() {
			q := newRequest("POST", "/once/x", []byte("body"))
			q.deadline = slowDeadline
			a := f.readSlowly(p.callers, q, trouble)
			a.id = q.id
			results <- a
		}()
	}
	for range slowRequests {
		a := <-results
		f.record.linef("%s: status %d, %d of %d bytes, complete %t, ended %.3f s after it was sent, %v", a.id, a.status, len(a.body),
			answerBytes, a.complete, a.ended.Sub(a.sent).Seconds(), a.err)
		broken = broken || a.status == statusOK && !a.complete
	}
	f.record.linef("the engine ran %d requests", len(e.runs()))
	return broken, nil
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
		_ = tcp.SetReadBuffer(slowBuffer) // without it, the system keeps more of the answer
	}
	if a.err = conn.SetDeadline(time.Now().Add(q.deadline + time.Second)); a.err != nil {
		return a
	}
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
