package tgentry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
	"tanagergrade/io/tgstandin"
)

// serveHTTP serves the entry on loopback and returns its address.
func (s *system) serveHTTP(t *testing.T) string {
	t.Helper()
	var lc net.ListenConfig
	listener, err := lc.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go s.entry.app.Listener(smallBufferListener{listener}, fiber.ListenConfig{DisableStartupMessage: true}) //nolint:errcheck // it ends with the listener
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// smallBufferListener accepts connections with a small send buffer, so that a write blocks after a few kilobytes if the
// other side does not read.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		err = tcp.SetWriteBuffer(4 << 10)
	}
	return c, err
}

// sendHTTP sends a request as raw bytes and returns the answer.
func sendHTTP(t *testing.T, address, request string, skipBody bool) *fasthttp.Response {
	t.Helper()
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp4", address)
	assert.NilError(t, err)
	defer c.Close() //nolint:errcheck // end of the exchange
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = c.Write([]byte(request))
	assert.NilError(t, err)
	resp := &fasthttp.Response{SkipBody: skipBody}
	assert.NilError(t, resp.Read(bufio.NewReader(c)))
	return resp
}

func rawRequest(method, path, body string, headers ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%s\r\n\r\n%s",
		method, path, len(body), strings.Join(append(headers, "Authorization: Bearer "+testKey), "\r\n"), body)
}

// keyHeader returns an Idempotency-Key header whose key was made the given time ago.
func keyHeader(age time.Duration) string {
	id := uuid.Must(uuid.NewV7())
	ms := time.Now().Add(-age).UnixMilli()
	for i := range 6 {
		id[5-i] = byte(ms >> (8 * i))
	}
	return "Idempotency-Key: " + id.String()
}

// Guards against refusals without an error object or an outcome, and against invalid requests that reach an upstream.
func TestRefusals(t *testing.T) {
	chat := func(body string) string { return rawRequest("POST", "/v1/chat/completions", body) }
	huge := fmt.Sprintf("POST /q/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\nContent-Length: %d\r\n\r\n",
		testKey, keyHeader(0), maxBodyBytes+1)
	for name, row := range map[string]struct {
		request  string
		status   int
		code     tgcall.Code
		outcome  tgcall.Outcome // notRun if empty
		retry    bool
		stopping bool
	}{
		"account unknown":          {request: strings.Replace(chat(`{}`), testKey, "other", 1), status: 401, code: tgcall.CodeAccountUnknown},
		"body beyond the setting":  {request: chat(strings.Repeat(" ", 5<<20)), status: 413, code: tgcall.CodeRequestTooLarge},
		"body beyond the server":   {request: huge, status: 413, code: tgcall.CodeRequestTooLarge},
		"chat is an array":         {request: chat(`[]`), status: 400, code: tgcall.CodeRequestInvalid},
		"chat is not JSON":         {request: chat(`{"model":`), status: 400, code: tgcall.CodeRequestInvalid},
		"chat without messages":    {request: chat(`{"model":"m"}`), status: 400, code: tgcall.CodeRequestInvalid},
		"chat without model":       {request: chat(`{"messages":[{"role":"user"}]}`), status: 400, code: tgcall.CodeRequestInvalid},
		"chat without role":        {request: chat(`{"model":"m","messages":[{}]}`), status: 400, code: tgcall.CodeRequestInvalid},
		"draining":                 {request: chat(`{"model":"m","messages":[{"role":"user"}]}`), status: 503, code: tgcall.CodeDraining, retry: true, stopping: true},
		"key expired":              {request: rawRequest("POST", "/q/x", "", keyHeader(25*time.Hour)), status: 409, code: tgcall.CodeIdempotencyKeyExpired, outcome: tgcall.Unknown},
		"key from the future":      {request: rawRequest("POST", "/q/x", "", keyHeader(-6*time.Minute)), status: 400, code: tgcall.CodeIdempotencyKeyInvalid},
		"key missing":              {request: rawRequest("POST", "/q/x", ""), status: 400, code: tgcall.CodeIdempotencyKeyRequired},
		"key of another version":   {request: rawRequest("POST", "/q/x", "", "Idempotency-Key: "+uuid.NewString()), status: 400, code: tgcall.CodeIdempotencyKeyInvalid},
		"malformed":                {request: "POST\r\n\r\n", status: 400, code: tgcall.CodeRequestInvalid},
		"messages of a wrong type": {request: chat(`{"model":"m","messages":"hello"}`), status: 400, code: tgcall.CodeRequestInvalid},
		"method on a known path":   {request: rawRequest("DELETE", "/v1/models", ""), status: 405, code: tgcall.CodeMethodNotAllowed},
		"model unknown":            {request: chat(`{"model":"x","messages":[{"role":"user"}]}`), status: 404, code: tgcall.CodeModelUnknown},
		"no bearer key":            {request: "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n", status: 401, code: tgcall.CodeAccountUnknown},
		"route unknown":            {request: rawRequest("GET", "/other", ""), status: 404, code: tgcall.CodeRouteUnknown},
		"stream of a wrong type":   {request: chat(`{"model":"m","stream":"yes","messages":[{"role":"user"}]}`), status: 400, code: tgcall.CodeRequestInvalid},
		"token limit negative":     {request: chat(`{"model":"m","max_tokens":-1,"messages":[{"role":"user"}]}`), status: 400, code: tgcall.CodeRequestInvalid},
		"unknown method":           {request: rawRequest("BREW", "/q/x", "", keyHeader(0)), status: 405, code: tgcall.CodeMethodNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 1, tgstandin.NewLink(), &tgstandin.PipeEngine{NonStreaming: true})
			s.entry.draining.Store(row.stopping)
			resp := sendHTTP(t, s.serveHTTP(t), row.request, false)
			var body errorBody
			assert.NilError(t, json.Unmarshal(resp.Body(), &body), "%s", resp.Body())
			assert.Equal(t, resp.StatusCode(), row.status, "%s", resp.Body())
			assert.Equal(t, body.Error.Code, row.code)
			if row.outcome == "" {
				row.outcome = tgcall.NotRun
			}
			assert.Equal(t, body.Error.Outcome, row.outcome)
			assert.Equal(t, string(resp.Header.Peek(headerOutcome)), string(row.outcome))
			assert.Assert(t, len(resp.Header.Peek(headerRequestID)) > 0)
			assert.Equal(t, len(resp.Header.Peek("Retry-After")) > 0, row.retry)
			assert.Equal(t, s.executions(), 0)
		})
	}
}

// Guards against answers without a request ID, errors of an upstream that are passed on without an outcome, and HEAD
// requests that fail.
func TestAnswers(t *testing.T) {
	for name, row := range map[string]struct {
		request string
		engine  *tgstandin.PipeEngine
		head    bool
		status  int
		body    string
		outcome tgcall.Outcome
	}{
		"HEAD":                    {request: rawRequest("HEAD", "/v1/models", ""), head: true, status: 200},
		"idempotent":              {request: rawRequest("GET", "/q/x", ""), status: 200, body: "111"},
		"not idempotent":          {request: rawRequest("POST", "/q/x", "", keyHeader(time.Hour)), status: 200, body: "111"},
		"upstream's client error": {request: rawRequest("GET", "/q/x", ""), engine: &tgstandin.PipeEngine{NonStreaming: true, Status: 422, Tokens: 2}, status: 422, body: "11", outcome: tgcall.Answered},
		"upstream's server error": {request: rawRequest("POST", "/q/x", "", keyHeader(0)), engine: &tgstandin.PipeEngine{NonStreaming: true, Status: 500, Tokens: 2}, status: 500, body: "11", outcome: tgcall.Answered},
		"stream that is an error": {request: rawRequest("POST", "/v1/chat/completions", `{"model":"m","stream":true,"messages":[{"role":"user"}]}`), engine: &tgstandin.PipeEngine{NonStreaming: true, Status: 400, Tokens: 2}, status: 400, body: "11", outcome: tgcall.Answered},
		"stream":                  {request: rawRequest("POST", "/v1/chat/completions", `{"model":"m","stream":true,"messages":[{"role":"user"}]}`), engine: &tgstandin.PipeEngine{Tokens: 2}, status: 200, body: events(2)},
	} {
		t.Run(name, func(t *testing.T) {
			if row.engine == nil {
				row.engine = &tgstandin.PipeEngine{NonStreaming: true, Tokens: 3}
			}
			s := newSystem(t, 1, tgstandin.NewLink(), row.engine)
			resp := sendHTTP(t, s.serveHTTP(t), row.request, row.head)
			assert.Equal(t, resp.StatusCode(), row.status)
			assert.Equal(t, string(resp.Body()), row.body)
			assert.Equal(t, string(resp.Header.Peek(headerOutcome)), string(row.outcome))
			assert.Assert(t, len(resp.Header.Peek(headerRequestID)) > 0)
			assert.Equal(t, s.entry.counters.inFlight.Value(), int64(0))
			assert.Equal(t, s.entry.calls.Len(), 0)
		})
	}
}

// Guards against a call that keeps running after its caller has closed the connection. While the call waits for its
// answer nothing is written, so the HTTP server does not notice.
func TestClosedConnectionCancels(t *testing.T) {
	engine := &tgstandin.PipeEngine{Interval: 50 * time.Millisecond, NonStreaming: true, Tokens: 1000}
	s := newSystem(t, 1, tgstandin.NewLink(), engine)
	address := s.serveHTTP(t)
	go s.entry.watchCallers(t.Context())
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp4", address)
	assert.NilError(t, err)
	_, err = c.Write([]byte(rawRequest("GET", "/q/x", "")))
	assert.NilError(t, err)
	awaitCondition(t, func() bool { return engine.Executions.Load() == 1 })
	assert.NilError(t, c.Close())
	awaitCondition(t, func() bool { return engine.Aborted.Load() == 1 })
	awaitCondition(t, func() bool { return s.entry.counters.inFlight.Value() == 0 })
	assert.Equal(t, s.entry.counters.requests.Get("unknown.cancelled").String(), "1")
}

// Guards against a caller that does not read its answer: the blocked write would keep the call beyond its deadline.
func TestBlockedCallerIsDisconnected(t *testing.T) {
	engine := &tgstandin.PipeEngine{Tokens: 1 << 20}
	s := newSystem(t, 1, tgstandin.NewLink(), engine)
	s.cfg.Settings.RequestTimeout = time.Second
	s.entry.node = s.newNode(t)
	address := s.serveHTTP(t)
	go s.entry.watchCallers(t.Context())
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp4", address)
	assert.NilError(t, err)
	defer c.Close() //nolint:errcheck // end of the test
	tcp, ok := c.(*net.TCPConn)
	assert.Assert(t, ok)
	assert.NilError(t, tcp.SetReadBuffer(4<<10))
	_, err = c.Write([]byte(rawRequest("POST", "/v1/chat/completions", `{"model":"m","stream":true,"messages":[{"role":"user"}]}`)))
	assert.NilError(t, err)
	awaitCondition(t, func() bool { return s.entry.counters.inFlight.Value() == 1 })
	awaitCondition(t, func() bool { return s.entry.counters.inFlight.Value() == 0 })
	awaitCondition(t, func() bool { return engine.Aborted.Load() == 1 })
}

func awaitCondition(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "condition was not met in time")
	}
}

// Guards against callers that were refused together and all retry in the same second.
func TestRetryAfterIsSpread(t *testing.T) {
	seen := map[int]int{}
	for range 1000 {
		seen[retryAfterSeconds(tgcall.NotRunFailure(tgcall.CodeOverloaded, "").WithRetryAfter(4*time.Second))]++
	}
	for s, n := range seen {
		assert.Assert(t, s >= 4 && s <= 9 && n < 500, "%d answers with %d s", n, s)
	}
	assert.Assert(t, len(seen) >= 4)
}

// Guards against an account index that is still used after its configuration has been replaced, also if the new map of
// accounts has the address of the old one.
func TestAccountIndexFollowsConfiguration(t *testing.T) {
	s := newSystem(t, 1, tgstandin.NewLink(), &tgstandin.PipeEngine{})
	var x accountIndex
	hash, ok := decodeHash(testKeyHash)
	assert.Assert(t, ok)
	name, ok := x.lookup(s.cfg.Accounts, hash)
	assert.Assert(t, ok)
	assert.Equal(t, name, "acc")
	for i := range 100 {
		accounts := map[string]tgconfig.Account{strconv.Itoa(i): {KeyHash: testKeyHash}}
		name, ok = x.lookup(accounts, hash)
		assert.Assert(t, ok)
		assert.Equal(t, name, strconv.Itoa(i))
	}
	_, ok = x.lookup(map[string]tgconfig.Account{}, hash)
	assert.Assert(t, !ok)
}

// Guards against a state dump without the calls in flight or without the reasons of refusals.
func TestDump(t *testing.T) {
	s := newSystem(t, 1, tgstandin.NewLink(), &tgstandin.PipeEngine{})
	address := s.serveHTTP(t)
	sendHTTP(t, address, rawRequest("GET", "/other", ""), false)
	l := s.entry.newCall(newRequest(true, true), nil)
	defer l.close(nil)
	data, err := json.Marshal(s.entry.Dump())
	assert.NilError(t, err)
	for _, part := range []string{`"request":"r1"`, `"code":"routeUnknown"`, `"reason":"no pool serves /other"`} {
		assert.Assert(t, bytes.Contains(data, []byte(part)), "%s", data)
	}
	assert.Assert(t, strings.Contains(s.entry.Vars().String(), `"notRun.routeUnknown": 1`), "%s", s.entry.Vars())
}
