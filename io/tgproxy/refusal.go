package tgproxy

import (
	"net/http"
	"strconv"
	"time"

	"tanagergrade/io/tghttp"
)

// Outcomes of requests as they stand in logs and counters.
const (
	outcomeAnswered      = "answered"
	outcomeBroken        = "broken" // a stream was broken off
	outcomeCancelled     = "cancelled"
	outcomeDeadline      = "deadline"
	outcomeFailed        = "failed" // the upstream's own failure was passed on
	outcomeRefused       = "refused"
	outcomeIndeterminate = "unclear" // may have run
)

// refusalBytes returns an answer of the proxy's own.
func refusalBytes(status int, id string, retryAfter time.Duration, keepAlive bool, h *Headers) []byte {
	b := tghttp.AppendStatusLine(make([]byte, 0, 256), status, http.StatusText(status))
	if id != "" {
		b = tghttp.AppendField(b, h.AttemptID, id)
	}
	if retryAfter > 0 {
		b = tghttp.AppendField(b, "Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if !keepAlive {
		b = tghttp.AppendField(b, "Connection", "close")
	}
	return tghttp.AppendContentLength(b, 0)
}
