package tgproxy

import "tanagergrade/io/tghttp"

// upstreamError is an upstream's own upstreamError.
type upstreamError struct {
	body     []byte
	response *tghttp.Response
}

// bufferUpstreamError keeps a failure whose body is here already, so that no attempt waits for it.
func (a *responseState) bufferUpstreamError(x *exchange) {
	r := x.response
	here := r.Framing == tghttp.FramingNone || r.Framing == tghttp.FramingLength && r.Length <= int64(x.conn.br.Buffered())
	if impliesNotExecuted(r.Status) || !here {
		return
	}
	if body, err := x.body.ReadAll(maxAnswerBytes); err == nil {
		a.upstreamError = &upstreamError{body: body, response: r}
	}
}

// impliesNotExecuted reports whether a status would promise that the request has not run. Where the upstream did not say so,
// the status is not passed on.
func impliesNotExecuted(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirected, statusTooMany, statusUnavailable:
		return true
	default:
		return false
	}
}
