package tgadmin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"tanagergrade/io/tghttp"
)

const clientTimeout = 3 * time.Second // bounds each request; the deadline of the context may be earlier

// ResponseError reports that a daemon answered a request with a status other than 200.
type ResponseError struct {
	Address netip.AddrPort
	Reason  string
	Status  int
}

// Error implements error.
func (e *ResponseError) Error() string {
	return errors.Newf("daemon at %s answered with status %d: %s", e.Address, e.Status, e.Reason).Error()
}

// Client sends requests to the admin interfaces of daemons.
type Client struct {
	http *fasthttp.Client
}

// NewClient returns a client that identifies itself with the certificate of tlsConfig.
func NewClient(tlsConfig *tls.Config) *Client {
	return &Client{http: tghttp.NewTLSClient(withHTTPProtocol(tlsConfig))}
}

// Dump returns the dump of the daemon at address: a JSON object with the state of each source.
func (c *Client) Dump(ctx context.Context, address netip.AddrPort) (json.RawMessage, error) {
	return c.do(ctx, address, fasthttp.MethodGet, "/v1/dump", nil)
}

// SendMark sends a volatile mark to the daemon at address.
func (c *Client) SendMark(ctx context.Context, address netip.AddrPort, m Mark) error {
	body, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode mark")
	}
	_, err = c.do(ctx, address, fasthttp.MethodPost, "/v1/marks", body)
	return err
}

// Status returns the status of the daemon at address.
func (c *Client) Status(ctx context.Context, address netip.AddrPort) (Status, error) {
	data, err := c.do(ctx, address, fasthttp.MethodGet, "/v1/status", nil)
	if err != nil {
		return Status{}, err
	}
	var s Status
	err = json.Unmarshal(data, &s)
	return s, errors.Wrapf(err, "decode status of %s", address)
}

func (c *Client) do(
	ctx context.Context, address netip.AddrPort, method, path string, body []byte,
) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("https://" + address.String() + path)
	req.SetBody(body)
	deadline := time.Now().Add(clientTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, errors.Wrapf(err, "call the admin interface of %s", address)
	}
	data := append([]byte(nil), resp.Body()...)
	if resp.StatusCode() != fasthttp.StatusOK {
		var reply struct {
			Error string `json:"error"`
		}
		_ = json.Unmarshal(data, &reply)
		return nil, &ResponseError{Address: address, Reason: reply.Error, Status: resp.StatusCode()}
	}
	return data, nil
}
