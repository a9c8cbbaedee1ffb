package main

import (
	"bufio"
	"bytes"
	"fmt"
	"time"

	"tanagergrade/io/tghttp"
)

const (
	uploadBytes    = 400_000
	uploadTime     = 4 * time.Second
	uploadRequests = 10
	uploadTimeout  = 6 * time.Second // timeoutMs of the route
	uploadSteps    = 40
)

// playUpload plays callers on slow links: the head of a request comes at once, and its body takes a while. The rule is CONFIG.
func playUpload(f *fleet, trouble bool) (broken bool, err error) {
	f.configure([]any{
		route("once", "non_idempotent", "plain", map[string]any{"timeoutMs": uploadTimeout.Milliseconds()}),
		route("any", "idempotent", "plain", nil),
	}, "plain")
	if _, err := f.newEngine("i-one", "plain", time.Now().Add(-time.Hour)); err != nil {
		return false, err
	}
	p, err := f.newEntry()
	if err != nil {
		return false, err
	}
	if err := f.awaitServing(p); err != nil {
		return false, err
	}
	time.Sleep(stableTime + time.Second)
	answers := make(chan answer, uploadRequests)
	for range uploadRequests {
		go func() {
			q := newRequest("POST", "/once/x", bytes.Repeat([]byte("x"), uploadBytes))
			q.deadline = 12 * time.Second
			a := f.upload(p.callers, q, trouble)
			a.id = q.id
			answers <- a
		}()
	}
	unanswered := 0
	for range uploadRequests {
		a := <-answers
		f.record.linef("%s: status %d after %.3f s, %v", a.id, a.status, a.ended.Sub(a.sent).Seconds(), a.err)
		if a.status == 0 {
			unanswered++
		}
	}
	return 2*unanswered > uploadRequests, nil
}

func (f *fleet) upload(addr string, q *request, slowly bool) (a answer) {
	a.sent = time.Now()
	defer func() { a.ended = time.Now() }()
	conn, err := f.dial(addr)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	text := q.text()
	step := len(text)/uploadSteps + 1
	for len(text) > 0 {
		n := min(step, len(text))
		if _, a.err = conn.Write(text[:n]); a.err != nil {
			a.err = fmt.Errorf("%w, %d bytes of the request left", a.err, len(text))
			return a
		}
		if text = text[n:]; slowly {
			time.Sleep(uploadTime / uploadSteps)
		}
	}
	r, err := tghttp.ReadResponse(bufio.NewReader(conn), q.method)
	if err != nil {
		a.err = err
		return a
	}
	a.status = r.Status
	return a
}
