package tgproxy_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tghttp"
	"tanagergrade/io/tgstandin"
)

// signedReply returns the reply of an engine to a request.
func signedReply(r *tghttp.Request, reply string) string {
	const status = "HTTP/1.1 200 OK\r\n"
	return strings.Replace(reply, status, fmt.Sprintf("%sTanagergrade-Attempt-Id: %s\r\nTanagergrade-Response-Signature: s\r\n",
		status, r.Header.Get("Tanagergrade-Attempt-Id")), 1)
}

// Guards against an engine's answer with a malformed field name in its head or trailer which callers get as a whole one, and
// against a check that refuses others.
func TestInvalidFieldName(t *testing.T) {
	t.Parallel()
	b := newTestProxy(t, 0)
	const event = "id: 1\ndata: x\n\n"
	n := 0
	call := func(path, reply string) (r *tghttp.Response, body string, complete bool) {
		n++
		e := newCutEngine(t, false, func(r *tghttp.Request) string { return signedReply(r, reply) })
		e.use(b, 1<<10+n)
		client := b.dial(t)
		defer func() { _ = client.Close() }()
		client.send(request("POST", path, fmt.Sprintf("f%04d", n), "{}", streamHeader))
		r, body, complete = client.receive()
		assert.Equal(t, e.received.Load(), int64(1))
		return r, body, complete
	}
	for path, body := range map[string]string{"/once/x": "body", "/stream/x": event, "/twice/x": "body"} {
		for _, reply := range tgstandin.RepliesWithInvalidField(body) {
			r, got, complete := call(path, reply)
			assert.Assert(t, r.Status == 502 || !complete, "%q on %s brought status %d and %q", reply, path, r.Status, got)
		}
		for _, reply := range tgstandin.RepliesWithFieldLine("X: 1", body) {
			r, got, complete := call(path, reply)
			assert.Equal(t, r.Status, 200, "%q on %s", reply, path)
			assert.Assert(t, complete)
			assert.Equal(t, got, body)
		}
	}
}
