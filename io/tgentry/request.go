package tgentry

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
)

// Header fields of requests and answers between callers and the entry.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerOutcome        = "Tanagergrade-Outcome"
	headerRequestID      = "Tanagergrade-Request-Id"
)

// forwardedHeaders are the header fields of a request that are passed on to the upstream.
var forwardedHeaders = []string{
	fiber.HeaderAccept, fiber.HeaderAcceptLanguage, fiber.HeaderContentType, fiber.HeaderIfMatch, fiber.HeaderIfNoneMatch,
}

// newExecute authenticates a request and returns an execute frame with the fields that do not depend on its pool. It
// copies what it takes from c, whose memory fiber reuses.
func (e *Entry) newExecute(c fiber.Ctx, cfg *tgconfig.Config) (*tgframe.Execute, *tgcall.Failure) {
	if e.draining.Load() {
		return nil, tgcall.NotRunFailure(tgcall.CodeDraining, "this entry is stopping")
	}
	account, failure := e.authenticate(c, cfg)
	if failure != nil {
		return nil, failure
	}
	body := c.Request().Body() // not fiber's Body, which decompresses by Content-Encoding
	if len(body) > cfg.Settings.MaxRequestBytes {
		return nil, tgcall.NotRunFailure(tgcall.CodeRequestTooLarge,
			"request body has %d bytes, limit is %d", len(body), cfg.Settings.MaxRequestBytes)
	}
	x := &tgframe.Execute{
		Account:   account,
		Body:      append([]byte(nil), body...),
		Deadline:  time.Now().Add(cfg.Settings.RequestTimeout),
		Method:    strings.Clone(c.Method()),
		Path:      strings.Clone(c.OriginalURL()),
		Priority:  tgcall.Priority(cfg.Accounts[account].Priority),
		RequestID: requestID(c),
	}
	for _, name := range forwardedHeaders {
		if v := c.Get(name); v != "" {
			x.Headers = append(x.Headers, tgframe.Header{Name: name, Value: strings.Clone(v)})
		}
	}
	return x, nil
}

// requestID returns the ID of the request. The first call for a request creates the ID and puts it into the header of
// the answer.
func requestID(c fiber.Ctx) string {
	if id := string(c.Response().Header.Peek(headerRequestID)); id != "" {
		return id
	}
	id := uuid.NewString()
	c.Set(headerRequestID, id)
	return id
}
