package tgupstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tanagergrade/core/tgframe"
	"tanagergrade/io/tgstandin"
	"tanagergrade/io/tgupstream"
)

// recorder is a sink that stores the answer.
type recorder struct {
	body string
	head tgframe.Head
}

func (r *recorder) Chunk(data []byte) error {
	r.body += string(data)
	return nil
}

func (r *recorder) Head(h tgframe.Head) error {
	r.head = h
	return nil
}

func request(method string) *tgframe.Execute {
	x := &tgframe.Execute{Idempotent: true, Method: method, Path: "/x?a=%2F", RequestID: "r1", Stream: true}
	if method != fasthttp.MethodGet {
		x.Body = []byte("body")
	}
	return x
}

func startFaultServer(t *testing.T, reply string, keepAlive bool) *tgstandin.FixedReplyServer {
	t.Helper()
	s, err := tgstandin.NewFixedReplyServer(reply, keepAlive)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return s
}

// Guards against a client that retries a request by itself, and against a truncated answer that counts as complete.
func TestRequestIsSentOnce(t *testing.T) {
	for name, row := range map[string]struct {
		reply    string
		body     string // if complete is set
		complete bool
	}{
		"chunks without end":      {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"},
		"closed after reply":      {reply: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", body: "ab", complete: true},
		"closed before reply":     {},
		"closed in body":          {reply: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"},
		"closed in chunk":         {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab"},
		"closed in head":          {reply: "HTTP/1.1 200 OK\r\nContent-Le"},
		"closed in status line":   {reply: "HTTP/1."},
		"closed in trailer":       {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"},
		"no content":              {reply: "HTTP/1.1 204 No Content\r\n\r\n", complete: true},
		"no length, no chunks":    {reply: "HTTP/1.1 200 OK\r\n\r\nab"},
		"HTTP/1.0 without length": {reply: "HTTP/1.0 200 OK\r\n\r\nab"},
		"whole chunks":            {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", body: "ab", complete: true},
	} {
		for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodPost, fasthttp.MethodPut} {
			t.Run(name+" "+method, func(t *testing.T) {
				s := startFaultServer(t, row.reply, false)
				var r recorder
				err := tgupstream.New(s.Address()).Do(t.Context(), request(method), &r)
				assert.Equal(t, s.Requests.Load(), int64(1))
				var notSent *tgupstream.NotSentError
				assert.Assert(t, !errors.As(err, &notSent), "reports a request that ran as not sent: %v", err)
				assert.Equal(t, err == nil, row.complete, "error %v", err)
				if row.complete {
					assert.Equal(t, r.body, row.body)
				}
			})
		}
	}
}

// Guards against an upstream that stops anywhere in the head of its answer, which then passes for a whole answer without a
// body.
func TestAnswerCutInHead(t *testing.T) {
	for name, reply := range map[string]string{
		"chunks":      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
		"continued":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
		"length":      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\n",
		"no length":   "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
		"zero length": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Type: text/plain\r\n\r",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(reply) + 1 {
				s := startFaultServer(t, reply[:cut], false)
				var r recorder
				err := tgupstream.New(s.Address()).Do(t.Context(), request(fasthttp.MethodPost), &r)
				assert.Equal(t, s.Requests.Load(), int64(1))
				assert.Assert(t, err != nil, "cut after %d bytes: status %d, body %q", cut, r.head.Status, r.body)
			}
		})
	}
}

// Guards against a request that is not reported as not sent although no connection was made.
func TestRefusedDialIsNotSent(t *testing.T) {
	s := startFaultServer(t, "", false)
	closed, err := tgstandin.NewFixedReplyServer("", false)
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, row := range map[string]struct {
		address netip.AddrPort
		ctx     context.Context //nolint:containedctx // a column of the table
	}{
		"cancelled before":   {address: s.Address(), ctx: cancelled},
		"connection refused": {address: closed.Address(), ctx: t.Context()},
	} {
		t.Run(name, func(t *testing.T) {
			var notSent *tgupstream.NotSentError
			err := tgupstream.New(row.address).Do(row.ctx, request(fasthttp.MethodPost), &recorder{})
			assert.Assert(t, errors.As(err, &notSent), "error %v", err)
			assert.Equal(t, s.Requests.Load(), int64(0))
		})
	}
}

// Guards against a request on an idle connection that the upstream has closed: whether it ran would be unknown.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	const reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
	kept, closing := startFaultServer(t, reply, true), startFaultServer(t, reply, false)
	for name, row := range map[string]struct {
		server *tgstandin.FixedReplyServer
		conns  int64
	}{
		"closed": {server: closing, conns: 3},
		"kept":   {server: kept, conns: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := tgupstream.New(row.server.Address())
			for i := range 3 {
				assert.NilError(t, c.Do(t.Context(), request(fasthttp.MethodPost), &recorder{}))
				assert.Equal(t, row.server.Requests.Load(), int64(i+1))
				time.Sleep(20 * time.Millisecond) // until the upstream's close has arrived
			}
			assert.Equal(t, row.server.Conns.Load(), row.conns)
		})
	}
}

// Guards against a request that must not run twice whose answer is a late copy of the answer to an earlier request: the copy
// comes only when the connection carries the next request.
func TestLateCopyOfAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
	var requests atomic.Int64
	dial := tgupstream.WithDial(func(context.Context) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			br := bufio.NewReader(far)
			for last := ""; ; {
				var req fasthttp.Request
				if req.Read(br) != nil {
					return
				}
				next := answer + strconv.FormatInt(requests.Add(1), 10)
				_, _ = io.WriteString(far, last+next) // the copy comes first; a closed connection ends the loop
				last = next
			}
		}()
		return near, nil
	})
	client := tgupstream.New(netip.AddrPort{}, dial)
	for _, want := range []string{"1", "2", "3"} {
		e := request(fasthttp.MethodPost)
		e.Idempotent = want == "1"
		var r recorder
		assert.NilError(t, client.Do(t.Context(), e, &r))
		assert.Equal(t, r.body, want)
	}
}

// pipeDial returns a dial option for an upstream that runs script after the request, and a channel that is closed once the
// client has closed the connection.
func pipeDial(script func(c net.Conn)) (tgupstream.Option, <-chan struct{}) {
	closed := make(chan struct{})
	return tgupstream.WithDial(func(context.Context) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			r := bufio.NewReader(server)
			var req fasthttp.Request
			_ = req.Read(r)
			script(server)
			_, _ = io.Copy(io.Discard, r)
			close(closed)
		}()
		return client, nil
	}), closed
}

// Guards against an idempotent attempt that waits until its deadline for an upstream that stops sending, at any point of its
// answer, and against a read timeout where none applies: of requests that cannot be retried and before the head of an
// answer that is not streamed.
func TestReadTimeout(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, row := range map[string]struct {
		sent       string
		idempotent bool
		stream     bool
		err        error
		after      time.Duration
	}{
		"idempotent, in body":   {sent: head + "2\r\nab\r\n", idempotent: true, err: tgupstream.ErrReadTimeout, after: 3 * time.Second},
		"not idempotent":        {sent: head, err: context.Canceled, after: time.Minute},
		"not streamed, no head": {idempotent: true, err: context.Canceled, after: time.Minute},
		"streamed, in body":     {sent: head + "9\r\nab", idempotent: true, stream: true, err: tgupstream.ErrReadTimeout, after: 3 * time.Second},
		"streamed, no head":     {idempotent: true, stream: true, err: tgupstream.ErrReadTimeout, after: 10 * time.Second},
		"streamed, within head": {sent: head[:9], idempotent: true, stream: true, err: tgupstream.ErrReadTimeout, after: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial, closed := pipeDial(func(c net.Conn) { _, _ = io.WriteString(c, row.sent) })
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				x := request(fasthttp.MethodPost)
				x.Idempotent, x.Stream = row.idempotent, row.stream
				started := time.Now()
				err := tgupstream.New(netip.AddrPort{}, dial).Do(ctx, x, &recorder{})
				assert.ErrorIs(t, err, row.err)
				assert.Equal(t, time.Since(started), row.after)
				<-closed
			})
		})
	}
}

// Guards against a cancelled attempt that keeps its connection open, so that the upstream continues to generate.
func TestCancelClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial, closed := pipeDial(func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab")
		})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		started := time.Now()
		err := tgupstream.New(netip.AddrPort{}, dial).Do(ctx, request(fasthttp.MethodPost), &recorder{})
		assert.ErrorIs(t, err, context.Canceled)
		<-closed
		assert.Equal(t, time.Since(started), time.Second)
	})
}

// Guards against the same fault as TestCancelClosesConnection over a real TCP connection.
func TestCancelReachesSocket(t *testing.T) {
	e := tgstandin.NewEngine("e", 5*time.Millisecond)
	s, err := tgstandin.Serve(e.Handle)
	assert.NilError(t, err)
	defer s.Close() //nolint:errcheck // end of the test
	ctx, cancel := context.WithCancel(t.Context())
	x := request(fasthttp.MethodPost)
	x.Path, x.Body = "/v1/chat/completions", []byte(`{"model":"m","stream":true,"max_tokens":100000,"messages":[{"content":"a"}]}`)
	done := make(chan error, 1)
	go func() { done <- tgupstream.New(s.Address()).Do(ctx, x, &recorder{}) }()
	inFlight := func(n int64) poll.Check {
		return func(poll.LogT) poll.Result {
			if e.InFlight() == n {
				return poll.Success()
			}
			return poll.Continue("%d answers in flight, not %d", e.InFlight(), n)
		}
	}
	poll.WaitOn(t, inFlight(1))
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
	poll.WaitOn(t, inFlight(0))
}
