package tgproxy

import (
	"net/http"
	"strconv"
	"time"

	"tanagergrade/io/tghttp"
)

// Outcomes of requests as they appear in logs and in names of counters.
const (
	outcomeAnswered      = "answered"
	outcomeBroken        = "broken" // the response had begun and was aborted
	outcomeCancelled     = "cancelled"
	outcomeDeadline      = "deadline"
	outcomeFailed        = "failed" // an upstream's error was forwarded
	outcomeRefused       = "refused"
	outcomeIndeterminate = "unclear" // the request may have run, and there is no answer
)

// refusalBytes returns a response of the proxy itself, without a body. An empty id and a retryAfter of 0 are left out.
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
