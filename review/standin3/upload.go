package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"time"

	"tanagergrade/io/tghttp"
)

const (
	uploadBytes    = 400_000
	uploadDeadline = 12 * time.Second
	uploadRequests = 12
	uploadSteps    = 40
	uploadTime     = 4 * time.Second
	uploadTimeout  = 2500 * time.Millisecond // timeoutMs of the route
	answerSlack    = 500 * time.Millisecond  // after timeoutMs, by the rule
	minUnanswered  = 8                       // by the rule
)

// playUpload plays callers who send the head of a request at once and its body in uploadTime; without trouble, they send
// the body at once. The rule is CONFIG.
func playUpload(f *fleet, trouble bool) (broken bool, err error) {
	f.configure([]any{
		route("once", "non_idempotent", "plain", map[string]any{"timeoutMs": uploadTimeout.Milliseconds()}),
		route("any", "idempotent", "plain", nil),
	}, "plain")
	e, err := f.newEngine("i-one", "plain", time.Now().Add(-time.Hour))
	if err != nil {
		return false, err
	}
	p, err := f.newEntry(usualMemory)
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
			q.deadline = uploadDeadline
			a := f.upload(p.callers, q, trouble)
			a.id = q.id
			answers <- a
		}()
	}
	unanswered, never := 0, 0
	for range uploadRequests {
		a := <-answers
		f.record.linef("%s: status %d, ended %.3f s after it was begun, %v", a.id, a.status, a.ended.Sub(a.sent).Seconds(), a.err)
		if a.status == 0 || a.ended.Sub(a.sent) > uploadTimeout+answerSlack {
			unanswered++
		}
		if a.status == 0 {
			never++
		}
	}
	f.record.linef("%d requests, %d without an answer %v after timeoutMs, %d never answered; the engine ran %d", uploadRequests, unanswered,
		answerSlack, never, len(e.runs()))
	return never >= minUnanswered && 4*unanswered > uploadRequests, nil
}

// upload sends a request, its body slowly or at once, and reads the head of the answer.
func (f *fleet) upload(addr string, q *request, slowly bool) (a answer) {
	a.sent = time.Now()
	defer func() { a.ended = time.Now() }()
	conn, err := f.dial(addr)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	if a.err = conn.SetDeadline(time.Now().Add(q.deadline)); a.err != nil {
		return a
	}
	text := q.text()
	step := len(text)/uploadSteps + 1
	for len(text) > 0 {
		n := min(step, len(text))
		if _, err := conn.Write(text[:n]); err != nil { // an answer may have come before
			a.err = fmt.Errorf("%w, %d bytes of the request left", err, len(text))
			break
		}
		if text = text[n:]; slowly {
			time.Sleep(uploadTime / uploadSteps)
		}
	}
	r, err := tghttp.ReadResponse(bufio.NewReader(conn), q.method)
	if err != nil {
		a.err = errors.Join(a.err, err)
		return a
	}
	a.status = r.Status
	return a
}
