package tgentry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
)

// errorBody is OpenAI's error object.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    tgcall.Code    `json:"code"`
	Message string         `json:"message"`
	Outcome tgcall.Outcome `json:"outcome"`
	Type    string         `json:"type"`
}

func newErrorBody(f *tgcall.Failure) errorBody {
	kind := "server_error"
	if s := status(f); s >= 400 && s < 500 {
		kind = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{Code: f.Code, Message: f.Message, Outcome: f.Outcome, Type: kind}}
}

// status returns the HTTP status of a failure.
func status(f *tgcall.Failure) int {
	switch f.Code {
	case tgcall.CodeAccountUnknown:
		return fiber.StatusUnauthorized
	case tgcall.CodeIdempotencyKeyInvalid, tgcall.CodeIdempotencyKeyRequired, tgcall.CodeRequestInvalid:
		return fiber.StatusBadRequest
	case tgcall.CodeIdempotencyKeyReused:
		return fiber.StatusUnprocessableEntity
	case tgcall.CodeModelUnknown, tgcall.CodeRouteUnknown:
		return fiber.StatusNotFound
	case tgcall.CodeOverloaded:
		return fiber.StatusTooManyRequests
	case tgcall.CodeRequestTooLarge:
		return fiber.StatusRequestEntityTooLarge
	case tgcall.CodeDeadlineExceeded:
		return fiber.StatusGatewayTimeout
	case tgcall.CodeRequestUnresolved:
		return fiber.StatusConflict
	case tgcall.CodeAnswerIncomplete, tgcall.CodeUpstreamLost:
		return fiber.StatusBadGateway
	default:
		return fiber.StatusServiceUnavailable
	}
}

// fail answers the caller with a failure.
func (e *Entry) fail(c fiber.Ctx, f *tgcall.Failure) error {
	e.node.Log.WithFields(logrus.Fields{
		"code": f.Code, "outcome": f.Outcome, "reason": f.Message, "request": requestID(c),
	}).Info("request failed")
	c.Set(headerOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	return c.Status(status(f)).JSON(newErrorBody(f))
}

func (e *Entry) handleError(c fiber.Ctx, err error) error {
	var fe *fiber.Error
	if errors.As(err, &fe) && fe.Code == fiber.StatusRequestEntityTooLarge {
		return e.fail(c, tgcall.NotRunFailure(tgcall.CodeRequestTooLarge, "request body is too large"))
	}
	return e.fail(c, tgcall.UnknownFailure(tgcall.CodeInternal, "%v", err))
}

// serve runs the request and answers the caller.
func (e *Entry) serve(c fiber.Ctx, x *tgframe.Execute) error {
	ctx, cancel := context.WithDeadline(context.Background(), x.Deadline)
	call := e.newCall(ctx, cancel, x)
	first, failure := call.head()
	if failure != nil {
		cancel()
		return e.fail(c, failure)
	}
	c.Status(first.Status)
	for _, h := range first.Headers {
		c.Set(h.Name, h.Value)
	}
	if x.Stream && first.Status == fiber.StatusOK {
		return c.SendStreamWriter(func(w *bufio.Writer) {
			defer cancel()
			call.stream(w)
		})
	}
	defer cancel()
	body, failure := call.body()
	if failure != nil {
		return e.fail(c, failure)
	}
	return c.Send(body)
}

// stream passes the answer on event by event; a failure ends it with an error event and no end marker.
func (l *call) stream(w *bufio.Writer) {
	for {
		chunk, failure := l.next()
		switch {
		case failure != nil:
			data, err := json.Marshal(newErrorBody(failure))
			if err == nil {
				fmt.Fprintf(w, "data: %s\n\n", data)
			}
			_ = w.Flush()
			return
		case chunk == nil:
			return
		}
		if _, err := w.Write(chunk); err != nil {
			return
		}
		if err := w.Flush(); err != nil {
			return
		}
	}
}

// body returns the whole answer.
func (l *call) body() ([]byte, *tgcall.Failure) {
	var body []byte
	for {
		chunk, failure := l.next()
		if failure != nil || chunk == nil {
			return body, failure
		}
		body = append(body, chunk...)
	}
}
