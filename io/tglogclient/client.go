// Package tglogclient is the client of the platform's log service.
package tglogclient

import (
	"context"
	"encoding/json"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tghttp"
)

const (
	maxReadRecords = 1000
	replyMargin    = 500 * time.Millisecond // added to the wait and the time-out of a long poll until it counts as lost
)

// ErrTruncated means that the requested offset is older than the log's retention; the page has the first offset that is
// retained.
var ErrTruncated = errors.New("offset is before the first record kept by the log")

// Entry is the records of one append to a stream.
type Entry struct {
	Offset  uint64
	Records []tgrecord.Record
	Time    time.Time // when the log service received the append, by its clock
}

// Page is the reply to a read.
type Page struct {
	Entries []Entry
	First   uint64 // oldest retained offset
	Next    uint64 // offset of the next append
}

// Client calls the HTTP API of the log service. It sends each call once.
type Client struct {
	address netip.AddrPort
	http    *fasthttp.Client
	timeout time.Duration // of a call, in addition to the wait of a long poll
}

// New returns a client of the log service at address.
func New(address netip.AddrPort) *Client {
	return &Client{address: address, http: tghttp.NewClient(), timeout: 2 * time.Second}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, records []tgrecord.Record) (uint64, error) {
	data, err := tgrecord.EncodeBatch(records)
	if err != nil {
		return 0, err
	}
	body, status, err := c.do(ctx, fasthttp.MethodPost, c.url(stream), data, c.timeout)
	if err != nil {
		return 0, err
	}
	if status != fasthttp.StatusOK {
		return 0, errors.Newf("log service answered an append with status %d", status)
	}
	var reply struct {
		Offset uint64 `json:"offset"`
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		return 0, errors.Wrap(err, "decode reply to an append")
	}
	return reply.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error) {
	url := c.url(stream) + "?from=" + strconv.FormatUint(from, 10) +
		"&max=" + strconv.Itoa(maxReadRecords) + "&waitMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	body, status, err := c.do(ctx, fasthttp.MethodGet, url, nil, wait+c.timeout+replyMargin)
	if err != nil {
		return Page{}, err
	}
	switch status {
	case fasthttp.StatusOK:
		return decodePage(body)
	case fasthttp.StatusGone:
		page, err := decodePage(body)
		return page, errors.CombineErrors(ErrTruncated, err)
	default:
		return Page{}, errors.Newf("log service answered a read with status %d", status)
	}
}

func decodePage(body []byte) (Page, error) {
	var reply struct {
		First   uint64 `json:"first"`
		Next    uint64 `json:"next"`
		Records []struct {
			Data   []byte    `json:"data"`
			Offset uint64    `json:"offset"`
			Time   time.Time `json:"time"`
		} `json:"records"`
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		return Page{}, errors.Wrap(err, "decode reply to a read")
	}
	page := Page{First: reply.First, Next: reply.Next}
	for _, r := range reply.Records {
		records, err := tgrecord.DecodeBatch(r.Data)
		if err != nil {
			// A record of another system is passed over, but its offset counts as read.
			records = nil
		}
		page.Entries = append(page.Entries, Entry{Offset: r.Offset, Records: records, Time: r.Time})
	}
	return page, nil
}

func (c *Client) url(stream string) string {
	return "http://" + c.address.String() + "/v1/streams/" + stream + "/records"
}

func (c *Client) do(ctx context.Context, method, url string, body []byte, timeout time.Duration) ([]byte, int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	req.SetBody(body)
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, 0, errors.Wrap(err, "call the log service")
	}
	return append([]byte(nil), resp.Body()...), resp.StatusCode(), nil
}
