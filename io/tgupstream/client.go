// Package tgupstream is the HTTP client of model engines and plain services.
package tgupstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgframe"
)

const (
	dialTimeout = time.Second
	readSize    = 16 << 10
)

// Client sends each request to its upstream at most once.
type Client struct {
	address netip.AddrPort
	http    *fasthttp.Client
}

// New returns a client of the upstream at address.
func New(address netip.AddrPort) *Client {
	return &Client{
		address: address,
		http: &fasthttp.Client{
			Dial:                      func(a string) (net.Conn, error) { return fasthttp.DialTimeout(a, dialTimeout) },
			MaxConnsPerHost:           4096,
			MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader:  true,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			StreamResponseBody:        true,
		},
	}
}

// Sink takes the parts of an answer as they arrive.
type Sink interface {
	Chunk(data []byte) error
	Head(h tgframe.Head) error
}

// NotSentError says that the request was not sent to the upstream.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "request was not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Do sends the request once and passes the answer to sink.
func (c *Client) Do(ctx context.Context, e *tgframe.Execute, sink Sink) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(e.Method)
	req.SetRequestURI("http://" + c.address.String() + e.Path)
	for _, h := range e.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	req.Header.Set("X-Request-Id", e.Request)
	if e.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", e.IdempotencyKey)
	}
	if e.Delivered > 0 {
		req.Header.Set("X-Resume-From", strconv.Itoa(e.Delivered))
	}
	req.SetBody(e.Body)
	if err := c.http.DoDeadline(req, resp, e.Deadline); err != nil {
		if errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) || isDialError(err) {
			return &NotSentError{Err: err}
		}
		return errors.Wrap(err, "call the upstream")
	}
	defer resp.CloseBodyStream()
	if err := sink.Head(head(resp)); err != nil {
		return err
	}
	return copyBody(ctx, resp, sink)
}

func head(resp *fasthttp.Response) tgframe.Head {
	h := tgframe.Head{Status: resp.StatusCode()}
	for _, name := range []string{"Content-Type"} {
		if v := resp.Header.Peek(name); len(v) > 0 {
			h.Headers = append(h.Headers, tgframe.Header{Name: name, Value: string(v)})
		}
	}
	return h
}

func copyBody(ctx context.Context, resp *fasthttp.Response, sink Sink) error {
	body := resp.BodyStream()
	if body == nil {
		body = bytes.NewReader(resp.Body())
	}
	buf := make([]byte, readSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := sink.Chunk(append([]byte(nil), buf[:n]...)); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read the upstream's answer")
		}
		if err := ctx.Err(); err != nil {
			return errors.Wrap(err, "attempt cancelled")
		}
	}
}
