package tgproxy

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/io/tghttp"
)

// answerKind classifies the result of an attempt at an upstream.
type answerKind string

const (
	answerError         answerKind = "failed"   // the upstream ran the request and answered with an error
	answerNotExecuted   answerKind = "notRun"   // the upstream declares that it did not run the request
	answerOK            answerKind = "ok"       // a success with the upstream's signature; the body is still to be read
	answerInvalid       answerKind = "spoilt"   // the bytes read are not an answer to the request
	answerUnsent        answerKind = "unsent"   // the request never left this process
	answerIndeterminate answerKind = "unclear"  // the connection ended; the request may have run
	answerCanceled      answerKind = "canceled" // the caller disconnected or its time is over; the request may have run
)

// exchange is one attempt at one upstream.
type exchange struct {
	begun           bool // the first event of a stream was forwarded
	body            *tghttp.Body
	conn            *upstreamConn
	connEnded       bool   // the upstream ended the connection before the end of the answer
	detail          string // reason for kind, for the log
	group           string // of the target, once events count as its progress; see Server.recordProgress
	kind            answerKind
	pool            *connPool
	response        *tghttp.Response
	sentAt          time.Time   // when the attempt began
	spent           bool        // the connection is not used again: an answer to another attempt came, or from a stranger
	stopAbort       func() bool // detaches the connection from the cancellation; false if its abort has begun
	target          tgcatalog.Upstream
	timeToFirstByte time.Duration
	withdrawn       atomic.Bool // the connection was closed because a part of the prompt became suspect
	writeResult     chan error  // receives the result of writing the request
}

const (
	inlineWriteBytes     = 16 << 10 // bytes; a longer request is written while its answer is read
	maxStaleBytes        = 1 << 20  // bytes of the body of one of them
	maxStaleAnswers      = 3        // answers to earlier requests that are skipped before the connection is given up
	statusMisdirected    = 421
	statusUnavailable    = 503
	statusTooMany        = 429
	statusRequestTimeout = 408
)

// startExchange sends a request and reads the head of its answer; kind is set when it returns. The upstream has at most
// connLimit connections of this process.
func (s *Server) startExchange(ctx context.Context, u tgcatalog.Upstream, connLimit int, c *call, head []byte) *exchange {
	x := &exchange{pool: s.conns, sentAt: time.Now(), target: u, writeResult: make(chan error, 1)}
	conn, err := s.conns.get(ctx, u, c, connLimit)
	if err != nil {
		x.kind, x.detail = answerUnsent, err.Error()
		if ctx.Err() != nil {
			x.kind = answerCanceled
		}
		return x
	}
	x.conn = conn
	c.conns = append(c.conns, conn)
	x.stopAbort = context.AfterFunc(ctx, conn.abort) // makes reads and writes in progress fail
	s.unbegun.add(x, c)
	x.writeRequest(head, c.body)
	x.readHead(c)
	if x.kind == answerNotExecuted && x.response.Status == statusMisdirected {
		s.identify(x, c)
	}
	x.timeToFirstByte = time.Since(x.sentAt)
	if ctx.Err() != nil && x.kind != answerOK && x.kind != answerError && x.kind != answerNotExecuted {
		x.kind = answerCanceled
	}
	return x
}

func (x *exchange) writeRequest(head, body []byte) {
	if len(head)+len(body) <= inlineWriteBytes {
		_, err := x.conn.Write(append(head, body...))
		x.writeResult <- err
		return
	}
	go func() { x.writeResult <- x.conn.WriteBuffers(net.Buffers{head, body}) }()
}

// readHead reads the answer's head and classifies it. An answer that echoes another attempt's ID belongs to an earlier
// request on the connection and is skipped. All tries of an attempt have the same ID, but connections of their own.
func (x *exchange) readHead(c *call) {
	for range maxStaleAnswers {
		r, err := tghttp.ReadResponse(x.conn.br, c.request.Method)
		if err != nil {
			x.kind, x.detail, x.connEnded = answerIndeterminate, err.Error(), isConnectionEnd(err)
			var syntax *tghttp.SyntaxError
			if errors.As(err, &syntax) {
				x.kind = answerInvalid
			}
			return
		}
		body := tghttp.NewBody(x.conn.br, r.Framing, r.Length)
		if id := r.Header.Get(c.headers.AttemptID); id != "" && id != c.id {
			x.spent, x.detail = true, "answer belongs to attempt "+id
			if err := body.Discard(maxStaleBytes); err != nil || !r.KeepAlive {
				x.kind = answerInvalid
				return
			}
			continue
		}
		x.response, x.body = r, body
		x.classify(c)
		return
	}
	x.kind = answerInvalid
}

// classify derives the kind of an answer from its status and headers. Upstreams echo the attempt's ID in each answer: bytes
// without it may be anything, also the first ones on a new connection, and promise nothing.
func (x *exchange) classify(c *call) {
	r := x.response
	echoed := r.Header.Get(c.headers.AttemptID) == c.id
	signed := r.Header.Get(c.headers.Signature) != ""
	notRun := r.Header.Get(c.headers.NotExecuted) != ""
	switch {
	case !echoed:
		x.kind, x.detail = answerInvalid, "answer without the attempt ID"
	case r.Status == statusMisdirected, notRun && (r.Status >= 400):
		x.kind = answerNotExecuted
		x.detail = "status " + strconv.Itoa(r.Status)
		if failed := r.Header.Get(c.headers.FailedUpstream); failed != "" {
			x.detail += ", caused by a failure of " + failed
		}
	case r.Header.Get("Content-Encoding") != "":
		x.kind, x.detail = answerInvalid, "answer has a Content-Encoding header"
	case r.Status >= 200 && r.Status < 300 && signed:
		x.kind = answerOK
	case r.Status >= 200 && r.Status < 300:
		x.kind, x.detail = answerInvalid, "success status without a signature"
	default: // also a redirect, which the upstream has run the request for
		x.kind, x.detail = answerError, "status "+strconv.Itoa(r.Status)
	}
}

// identify makes the connection that of the upstream which said that it is not the target, if it names itself and is listed
// at the address. Otherwise it is not known whose connection it is, and it is not used again.
func (s *Server) identify(x *exchange, c *call) {
	id := x.response.Header.Get(c.headers.FailedUpstream)
	for _, u := range s.catalog.Upstreams(c.pool) {
		if u.ID == id && u.Address == x.target.Address {
			x.conn.upstreamID, x.conn.started = u.ID, u.Started
			return
		}
	}
	x.spent = true
}

// finish returns the connection to the pool if it can carry another request, or else closes it.
func (x *exchange) finish() {
	if x.conn == nil {
		return
	}
	stopped := x.stopAbort()
	if !stopped || x.response == nil || !x.response.KeepAlive || x.body == nil || !x.body.Complete() ||
		x.spent || x.conn.br.Buffered() > 0 || !x.fullyWritten() {
		x.pool.discard(x.target.Address, x.conn)
		return
	}
	if x.conn.SetReadDeadline(time.Time{}) != nil {
		x.pool.discard(x.target.Address, x.conn)
		return
	}
	x.pool.put(x.target.Address, x.conn, idleTimeout(x.response))
}

// fullyWritten reports whether the whole request was written; an upstream may answer before it has read all of it.
func (x *exchange) fullyWritten() bool {
	select {
	case err := <-x.writeResult:
		return err == nil
	default:
		return false
	}
}

// idleTimeout returns how long the upstream keeps an idle connection, as its Keep-Alive header announces.
func idleTimeout(r *tghttp.Response) time.Duration {
	for part := range strings.SplitSeq(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(n) * time.Second
		}
	}
	return defaultUpstreamIdleTimeout
}
