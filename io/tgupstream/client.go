// Package tgupstream implements the HTTP client for upstreams: model engines and plain services.
package tgupstream

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgframe"
)

const (
	readBufferBytes = 16 << 10

	// Bounds the wait for the first byte of a streamed answer to an idempotent request. The prefill of a long prompt and
	// the engine's own queue delay it; 10 s is six times the target for the time to the first token.
	firstByteTimeout = 10 * time.Second
	// Bounds the time without a byte in the body of an answer to an idempotent request; more than 100 times the
	// inter-token latency target of 26 ms.
	idleTimeout = 3 * time.Second
)

// ErrUnframed reports that an answer has neither Content-Length nor chunked encoding, so that a complete body cannot be
// told from a truncated one.
var ErrUnframed = errors.New("answer has neither a length nor chunks")

// Client sends each request to its upstream at most once. It manages its own connections, because fasthttp's client does
// not report whether any byte was sent and cannot abort a call. It is safe for concurrent use.
type Client struct {
	address netip.AddrPort
	pool    pool
}

// Option configures a client.
type Option func(*Client)

// WithDial replaces the function that opens connections to the upstream.
func WithDial(dial func(ctx context.Context) (net.Conn, error)) Option {
	return func(c *Client) { c.pool.dial = dial }
}

// New returns a client of the upstream at address.
func New(address netip.AddrPort, options ...Option) *Client {
	c := &Client{address: address}
	c.pool.dial = func(ctx context.Context) (net.Conn, error) {
		d := net.Dialer{KeepAliveConfig: keepAlive}
		return d.DialContext(ctx, "tcp", address.String())
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Sink receives the parts of an answer as they arrive.
type Sink interface {
	// Chunk receives a part of the body; it must not keep data.
	Chunk(data []byte) error
	// Head receives the status and headers, before any chunk.
	Head(h tgframe.Head) error
}

// NotSentError reports that no byte of the request was sent to the upstream.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "request was not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Do sends the request once and passes the answer to sink. When ctx is cancelled, Do returns and closes the connection.
// Only a NotSentError proves that the upstream has received nothing of the request.
func (c *Client) Do(ctx context.Context, e *tgframe.Execute, sink Sink) error {
	if err := ctx.Err(); err != nil {
		return &NotSentError{Err: err}
	}
	uc, err := c.pool.acquire(ctx, !e.Idempotent)
	if err != nil {
		return &NotSentError{Err: err}
	}
	stop := context.AfterFunc(ctx, uc.abort)
	reusable, err := c.exchange(uc, e, sink)
	if !stop() {
		reusable = false
	}
	if reusable {
		c.pool.release(uc)
	} else {
		_ = uc.Close()
	}
	if err != nil && uc.writtenBytes == 0 {
		return &NotSentError{Err: err}
	}
	return err
}

// exchange sends the request over uc and reads the answer; uc can be reused if the whole answer was read.
func (c *Client) exchange(uc *conn, e *tgframe.Execute, sink Sink) (reusable bool, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, e)
	if err := req.Write(uc.bw); err != nil {
		return false, errors.Wrap(err, "send the request")
	}
	if err := uc.bw.Flush(); err != nil {
		return false, errors.Wrap(err, "send the request")
	}
	uc.readTimeout = 0
	if e.Stream && e.Idempotent {
		uc.readTimeout = firstByteTimeout
	} else if err := uc.SetReadDeadline(time.Time{}); err != nil {
		return false, errors.Wrap(err, "reset read deadline")
	}
	if uc.aborted.Load() { // the reset above may have removed the deadline that abort set
		return false, context.Canceled
	}
	resp.StreamBody = true
	resp.SkipBody = req.Header.IsHead()
	if err := resp.ReadLimitBody(uc.br, 0); err != nil {
		return false, errors.Wrap(uc.cause(err), "read the head of the upstream's answer")
	}
	if e.Idempotent {
		uc.readTimeout = idleTimeout
	}
	if err := sink.Head(head(resp)); err != nil {
		return false, err
	}
	if body := resp.BodyStream(); body != nil {
		defer resp.CloseBodyStream()
		if err := copyBody(body, sink); err != nil {
			return false, uc.cause(err)
		}
		if resp.Header.ContentLength() < -1 {
			return false, ErrUnframed
		}
	}
	return !resp.ConnectionClose(), nil
}

func (c *Client) fill(req *fasthttp.Request, e *tgframe.Execute) {
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(e.Method)
	req.URI().DisablePathNormalizing = true
	req.SetRequestURI("http://" + c.address.String() + e.Path)
	for _, h := range e.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	req.Header.Set("X-Request-Id", e.RequestID)
	if e.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", e.IdempotencyKey)
	}
	if e.DeliveredEvents > 0 {
		req.Header.Set("X-Resume-From", strconv.Itoa(e.DeliveredEvents))
	}
	req.SetBodyRaw(e.Body)
}

// passedHeaders are the header fields of an upstream's answer that are passed on to the caller.
var passedHeaders = []string{
	"Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Type", "ETag",
	"Last-Modified", "Location", "Retry-After",
}

func head(resp *fasthttp.Response) tgframe.Head {
	h := tgframe.Head{Status: resp.StatusCode()}
	for _, name := range passedHeaders {
		if v := resp.Header.Peek(name); len(v) > 0 {
			h.Headers = append(h.Headers, tgframe.Header{Name: name, Value: string(v)})
		}
	}
	return h
}

var bodyBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

func copyBody(body io.Reader, sink Sink) error {
	buf, _ := bodyBuffers.Get().(*[readBufferBytes]byte)
	defer bodyBuffers.Put(buf)
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			if err := sink.Chunk(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read the upstream's answer")
		}
	}
}
