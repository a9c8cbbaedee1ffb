package tgentry

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgcall"
)

// errorBody is the body of an error answer, in the format of OpenAI's error object.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    tgcall.Code    `json:"code"`
	Message string         `json:"message"`
	Outcome tgcall.Outcome `json:"outcome"`
	Param   *string        `json:"param"` // always null; OpenAI's clients expect the field
	Type    string         `json:"type"`
}

func newErrorBody(f *tgcall.Failure) errorBody {
	errorType := "server_error"
	if s := httpStatus(f); s >= 400 && s < 500 {
		errorType = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{Code: f.Code, Message: f.Message, Outcome: f.Outcome, Type: errorType}}
}

// httpStatus returns the HTTP status of the answer to a failed request.
func httpStatus(f *tgcall.Failure) int {
	switch f.Code {
	case tgcall.CodeAccountUnknown:
		return fiber.StatusUnauthorized
	case tgcall.CodeIdempotencyKeyInvalid, tgcall.CodeIdempotencyKeyRequired, tgcall.CodeRequestInvalid:
		return fiber.StatusBadRequest
	case tgcall.CodeIdempotencyKeyReused:
		return fiber.StatusUnprocessableEntity
	case tgcall.CodeModelUnknown, tgcall.CodeRouteUnknown:
		return fiber.StatusNotFound
	case tgcall.CodeMethodNotAllowed:
		return fiber.StatusMethodNotAllowed
	case tgcall.CodeOverloaded:
		return fiber.StatusTooManyRequests
	case tgcall.CodeRequestTooLarge:
		return fiber.StatusRequestEntityTooLarge
	case tgcall.CodeDeadlineExceeded:
		return fiber.StatusGatewayTimeout
	case tgcall.CodeIdempotencyKeyExpired, tgcall.CodeRequestUnresolved:
		return fiber.StatusConflict
	case tgcall.CodeAnswerIncomplete, tgcall.CodeUpstreamFailed, tgcall.CodeUpstreamLost:
		return fiber.StatusBadGateway
	case tgcall.CodeInternal:
		return fiber.StatusInternalServerError
	default:
		return fiber.StatusServiceUnavailable
	}
}

const defaultRetryAfter = time.Second // for statuses 429 and 503 without a time of their own

// retryAfterSeconds returns the value of the Retry-After header, or 0 if a retry makes no sense. The value is random
// between once and twice the failure's time, so that callers that were refused together do not retry together.
func retryAfterSeconds(f *tgcall.Failure) int {
	d := f.RetryAfter
	if s := httpStatus(f); d == 0 && (s == fiber.StatusServiceUnavailable || s == fiber.StatusTooManyRequests) {
		d = defaultRetryAfter
	}
	if d == 0 {
		return 0
	}
	seconds := d.Seconds() * (1 + rand.Float64()) //nolint:gosec // spreads retries, no secret
	return max(1, int(math.Floor(seconds+rand.Float64())))
}

// fail records a failed request and answers the caller with its error.
func (e *Entry) fail(c fiber.Ctx, f *tgcall.Failure) error {
	id := requestID(c)
	e.recordResult(requestResult{failure: f, requestID: id})
	writeFailure(c.Response(), f)
	return nil
}

func writeFailure(resp *fasthttp.Response, f *tgcall.Failure) {
	resp.Header.Set(headerOutcome, string(f.Outcome))
	if s := retryAfterSeconds(f); s > 0 {
		resp.Header.Set(fiber.HeaderRetryAfter, strconv.Itoa(s))
	}
	resp.SetStatusCode(httpStatus(f))
	resp.Header.SetContentType(fiber.MIMEApplicationJSON)
	data, err := json.Marshal(newErrorBody(f))
	if err != nil {
		panic(err) // cannot happen: strings and a null always encode
	}
	resp.SetBody(data)
}

// rejectUnknownMethods answers requests whose method fiber does not know; fiber would not pass them to any handler.
func (e *Entry) rejectUnknownMethods(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if slices.Contains(fiber.DefaultMethods, string(ctx.Method())) {
			next(ctx)
			return
		}
		f := tgcall.NotRunFailure(tgcall.CodeMethodNotAllowed, "%s is not allowed", ctx.Method())
		id := uuid.NewString()
		ctx.Response.Header.Set(headerRequestID, id)
		e.recordResult(requestResult{failure: f, requestID: id})
		writeFailure(&ctx.Response, f)
	}
}

// handleError answers requests that fiber rejected before it called a handler, and requests whose handler returned an
// error.
func (e *Entry) handleError(c fiber.Ctx, err error) error {
	var fe *fiber.Error
	switch {
	case !errors.As(err, &fe):
		return e.fail(c, tgcall.UnknownFailure(tgcall.CodeInternal, "%v", err))
	case fe.Code == fiber.StatusRequestEntityTooLarge:
		return e.fail(c, tgcall.NotRunFailure(tgcall.CodeRequestTooLarge, "request body is too large"))
	default:
		return e.fail(c, tgcall.NotRunFailure(tgcall.CodeRequestInvalid, "%s", fe.Message))
	}
}

// handleMethodNotAllowed answers requests whose path is served with another method only.
func (e *Entry) handleMethodNotAllowed(c fiber.Ctx) error {
	return e.fail(c, tgcall.NotRunFailure(tgcall.CodeMethodNotAllowed, "%s is not allowed on %s", c.Method(), c.Path()))
}
