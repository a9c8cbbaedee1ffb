package tgproxy

import "tanagergrade/io/tghttp"

// bufferedAnswer is a complete answer of an upstream.
type bufferedAnswer struct {
	body     []byte
	outcome  string
	response *tghttp.Response
}

// bufferUpstreamError keeps an error answer in case no later attempt succeeds. It does so only if the body has arrived
// already, so that the next attempt does not wait for it.
func (a *responseState) bufferUpstreamError(c *call, x *exchange) {
	r := x.response
	arrived := r.Framing == tghttp.FramingNone || r.Framing == tghttp.FramingLength && r.Length <= int64(x.conn.br.Buffered())
	if impliesNotExecuted(r.Status) || !arrived {
		return
	}
	if body, err := x.body.ReadAllReserved(c.answerLimit(), c.buffers); err == nil {
		a.upstreamError = &bufferedAnswer{body: body, outcome: outcomeFailed, response: r}
	}
}

// impliesNotExecuted reports whether callers understand a status as a promise that the request has not run. Such a
// status is not forwarded where the upstream did not declare that.
func impliesNotExecuted(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirected, statusTooMany, statusUnavailable:
		return true
	default:
		return false
	}
}
