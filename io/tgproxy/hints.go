package tgproxy

import (
	"math"
	"strconv"
	"time"

	"tanagergrade/core/tgpicker"
	"tanagergrade/io/tghttp"
)

// hints returns what the upstream says of itself in the answer to an attempt.
func (x *exchange) hints(h *Headers) tgpicker.Hints {
	switch {
	case x.kind != answerOK && x.kind != answerError && x.kind != answerNotExecuted:
		return tgpicker.Hints{}
	case x.response.Status == statusMisdirected: // it comes from another upstream at the address
		return tgpicker.Hints{}
	}
	value := x.response.Header.Get(h.Leaving)
	hints := tgpicker.Hints{Leaving: value != "" && value != "0"}
	if x.response.Status == statusUnavailable {
		hints.Pause = retryAfter(x.response)
	}
	return hints
}

// retryAfter returns the seconds of a Retry-After header, or 0 if there are none.
func retryAfter(r *tghttp.Response) time.Duration {
	s, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	if err != nil || !(s > 0) { // not a number compares false
		return 0
	}
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/2))
}
