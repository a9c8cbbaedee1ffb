package tgproxy

import (
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/io/tghttp"
)

// answerKind says what an attempt's answer means.
type answerKind string

const (
	answerFailed   answerKind = "failed"   // the engine ran the request and answered with an error of its own
	answerNotRun   answerKind = "notRun"   // the engine says that it did not run the request
	answerOK       answerKind = "ok"       // a success with the engine's signature; the body is still to be read
	answerSpoilt   answerKind = "spoilt"   // bytes that are not an answer to the request
	answerUnsent   answerKind = "unsent"   // the request never left this process
	answerUnclear  answerKind = "unclear"  // the connection ended; the request may have run
	answerCanceled answerKind = "canceled" // the caller left or its time is over; the request may have run
)

// exchange is one attempt at one upstream.
type exchange struct {
	body      *tghttp.Body
	conn      *upstreamConn
	detail    string
	firstByte time.Duration
	kind      answerKind
	pool      *connPool
	response  *tghttp.Response
	stop      func() bool
	target    tgcatalog.Upstream
	written   chan error // holds the result of writing the request
}

const (
	smallRequest      = 16 << 10 // a request up to this size is written at once
	staleAnswers      = 3        // answers to earlier requests that are skipped on a connection
	statusMisdirected = 421
	statusFull        = 503
	statusTooMany     = 429
	timeoutCause      = 408
)

// open sends a request and reads the head of its answer.
func (s *Server) open(ctx context.Context, u tgcatalog.Upstream, most int, c *call, head []byte) *exchange {
	x := &exchange{pool: s.conns, target: u, written: make(chan error, 1)}
	start := time.Now()
	conn, err := s.conns.get(ctx, u.Address, most)
	if err != nil {
		x.kind, x.detail = answerUnsent, err.Error()
		if ctx.Err() != nil {
			x.kind = answerCanceled
		}
		return x
	}
	x.conn = conn
	x.stop = context.AfterFunc(ctx, conn.abort) // ends reads and writes in progress
	x.send(head, c.body)
	x.readHead(c)
	x.firstByte = time.Since(start)
	if ctx.Err() != nil && x.kind != answerOK && x.kind != answerFailed && x.kind != answerNotRun {
		x.kind = answerCanceled
	}
	return x
}

func (x *exchange) send(head, body []byte) {
	if len(head)+len(body) <= smallRequest {
		_, err := x.conn.Write(append(head, body...))
		x.written <- err
		return
	}
	go func() {
		bufs := net.Buffers{head, body}
		_, err := bufs.WriteTo(x.conn.Conn)
		x.written <- err
	}()
}

// readHead reads the answer's head and judges it. An answer that echoes another attempt's ID belongs to an earlier
// request on the connection and is skipped.
func (x *exchange) readHead(c *call) {
	for range staleAnswers {
		r, err := tghttp.ReadResponse(x.conn.br, c.request.Method)
		if err != nil {
			x.kind, x.detail = answerUnclear, err.Error()
			var syntax *tghttp.SyntaxError
			if errors.As(err, &syntax) {
				x.kind = answerSpoilt
			}
			return
		}
		body := tghttp.NewBody(x.conn.br, r.Framing, r.Length)
		if id := r.Header.Get(c.headers.AttemptID); id != "" && id != c.id {
			x.detail = "answer to attempt " + id
			if _, err := body.ReadAll(maxAnswer); err != nil || !r.KeepAlive {
				x.kind = answerSpoilt
				return
			}
			continue
		}
		x.response, x.body = r, body
		x.judge(c)
		return
	}
	x.kind = answerSpoilt
}

func (x *exchange) judge(c *call) {
	r := x.response
	echoed := r.Header.Get(c.headers.AttemptID) == c.id
	signed := r.Header.Get(c.headers.Signature) != ""
	notRun := r.Header.Get(c.headers.NotExecuted) != ""
	switch {
	case r.Status == statusMisdirected, notRun && (r.Status >= 400):
		x.kind = answerNotRun
		x.detail = "status " + strconv.Itoa(r.Status)
		if at := r.Header.Get(c.headers.FailedUpstream); at != "" {
			x.detail += ", fault of " + at
		}
	case r.Header.Get("Content-Encoding") != "":
		x.kind, x.detail = answerSpoilt, "answer has a content encoding"
	case r.Status >= 200 && r.Status < 300 && signed && echoed:
		x.kind = answerOK
	case r.Status >= 200 && r.Status < 300:
		x.kind, x.detail = answerSpoilt, "success without signature or attempt ID"
	case r.Status < 400:
		x.kind, x.detail = answerSpoilt, "status "+strconv.Itoa(r.Status)
	default:
		x.kind, x.detail = answerFailed, "status "+strconv.Itoa(r.Status)
	}
}

// finish gives the connection back if it can serve another request, else closes it.
func (x *exchange) finish() {
	if x.conn == nil {
		return
	}
	stopped := x.stop()
	if !stopped || x.response == nil || !x.response.KeepAlive || x.body == nil || !x.body.Complete() ||
		x.conn.br.Buffered() > 0 || !x.wasWritten() {
		x.pool.discard(x.target.Address, x.conn)
		return
	}
	x.pool.put(x.target.Address, x.conn, idleTimeout(x.response))
}

// wasWritten reports whether the whole request was written; an engine may answer before it has read all of it.
func (x *exchange) wasWritten() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// idleTimeout returns how long the upstream keeps an idle connection.
func idleTimeout(r *tghttp.Response) time.Duration {
	for part := range strings.SplitSeq(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(n) * time.Second
		}
	}
	return defaultIdle
}
