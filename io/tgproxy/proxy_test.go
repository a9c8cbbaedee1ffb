package tgproxy_test

import (
	"io"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/platform/tgemulator"
)

const streamHeader = "Tanagergrade-Token-Usage: 100,10"

const wholeStream = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n"

// Guards against truncated or foreign answers, requests that run twice without being idempotent, and refusals that claim
// that a request has not run although it may have.
func TestAnswersUnderFaults(t *testing.T) {
	t.Parallel()
	const (
		hello  = "hello"
		once   = "/once/x"
		twice  = "/twice/x"
		stream = "/stream/x"
	)
	for name, c := range map[string]struct {
		body   string // prefix of the answer's body
		faults []tgemulator.Fault
		path   string
		runs   int
		status int
	}{
		"onceCrash":        {faults: f(tgemulator.FaultCrash), path: once, status: 502},
		"onceError":        {body: "error", faults: f(tgemulator.FaultError), path: once, runs: 1, status: 500},
		"onceFull":         {faults: f(tgemulator.FaultOverloaded, tgemulator.FaultOverloaded), path: once, status: 503},
		"onceFullThenOK":   {body: hello, faults: f(tgemulator.FaultOverloaded), path: once, runs: 1, status: 200},
		"onceGarbage":      {faults: f(tgemulator.FaultGarbage), path: once, runs: 1, status: 502},
		"onceHang":         {faults: f(tgemulator.FaultHang), path: once, runs: 1, status: 504},
		"onceLost":         {faults: f(tgemulator.FaultLostResponse), path: once, runs: 1, status: 502},
		"onceOK":           {body: hello, path: once, runs: 1, status: 200},
		"onceOther":        {body: hello, faults: f(tgemulator.FaultWrongAttempt), path: once, runs: 1, status: 200},
		"onceShort":        {faults: f(tgemulator.FaultTruncated), path: once, runs: 1, status: 502},
		"onceUnframed":     {body: hello, faults: f(tgemulator.FaultUnframed), path: once, runs: 1, status: 200},
		"onceUnsigned":     {faults: f(tgemulator.FaultUnsigned), path: once, runs: 1, status: 502},
		"streamBreak":      {body: wholeStream, faults: f(tgemulator.FaultBrokenStream), path: stream, runs: 2, status: 200},
		"streamFullThenOK": {body: wholeStream, faults: f(tgemulator.FaultOverloaded), path: stream, runs: 1, status: 200},
		"streamLost":       {body: wholeStream, faults: f(tgemulator.FaultLostResponse), path: stream, runs: 2, status: 200},
		"streamOK":         {body: wholeStream, path: stream, runs: 1, status: 200},
		"twiceCrash":       {body: hello, faults: f(tgemulator.FaultCrash), path: twice, runs: 1, status: 200},
		"twiceError":       {body: hello, faults: f(tgemulator.FaultError), path: twice, runs: 2, status: 200},
		"twiceErrors":      {body: "error", faults: f(tgemulator.FaultError, tgemulator.FaultError), path: twice, runs: 2, status: 500},
		"twiceErrorLost":   {body: "error", faults: f(tgemulator.FaultError, tgemulator.FaultLostResponse), path: twice, runs: 2, status: 500},
		"twiceExtra":       {body: hello, faults: f(tgemulator.FaultExtraResponse), path: twice, runs: 1, status: 200},
		"twiceGarbage":     {body: hello, faults: f(tgemulator.FaultGarbage), path: twice, runs: 2, status: 200},
		"twiceLost":        {body: hello, faults: f(tgemulator.FaultLostResponse), path: twice, runs: 2, status: 200},
		"twiceLostTwice":   {faults: f(tgemulator.FaultLostResponse, tgemulator.FaultLostResponse), path: twice, runs: 2, status: 502},
		"twiceShort":       {body: hello, faults: f(tgemulator.FaultTruncated), path: twice, runs: 2, status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestProxy(t, 2)
			// The faults hit the first attempts, whichever engines get them.
			shared := make(chan tgemulator.Fault, len(c.faults))
			for _, fault := range c.faults {
				shared <- fault
			}
			for _, e := range b.engines {
				e.SharedFaults = shared
			}
			client := b.dial(t)
			extra := []string{"Tanagergrade-Deadline-Ms: 1500"}
			if c.path == stream {
				extra = append(extra, streamHeader)
			}
			client.send(request("POST", c.path, "a1", "{}", extra...))
			r, body, complete := client.receive()
			assert.Equal(t, r.Status, c.status)
			assert.Equal(t, b.runs("a1"), c.runs)
			assert.Assert(t, complete)
			if c.status <= 500 {
				assert.Assert(t, strings.HasPrefix(body, c.body), body)
				assert.Assert(t, r.Header.Get("Tanagergrade-Response-Signature") != "")
			}
			if c.status >= 502 {
				assert.Equal(t, r.Header.Get("Tanagergrade-Response-Signature"), "")
			}
		})
	}
}

// Guards against an event that reaches the caller twice, because an engine that resumes the stream of another may restart
// it from the first event. The answer must not look complete then.
func TestResumedStreamRestarts(t *testing.T) {
	b := newTestProxy(t, 2)
	shared := make(chan tgemulator.Fault, 2)
	shared <- tgemulator.FaultBrokenStream
	shared <- tgemulator.FaultRestartedStream
	for _, e := range b.engines {
		e.SharedFaults = shared
	}
	client := b.dial(t)
	client.send(request("POST", "/stream/x", "a1", "{}", streamHeader))
	_, body, complete := client.receive()
	assert.Equal(t, body, wholeStream[:len(wholeStream)/3])
	assert.Assert(t, !complete)
}

// Guards against a pool that is limited to one stream for each engine because its configuration does not state the
// engines' slots: the registrations state them, too.
func TestSlotsOfRegistrations(t *testing.T) {
	b := newTestProxy(t, 1)
	const slots = 4
	b.engines[0].EventInterval = 10 * time.Second // the streams outlast the test
	b.catalog.mu.Lock()
	b.catalog.upstreams[0].Slots = slots
	b.catalog.mu.Unlock()
	for i := range slots {
		id := "a" + strconv.Itoa(i)
		b.dial(t).send(request("POST", "/stream/x", id, "{}", streamHeader))
		waitFor(t, func() bool { return b.engines[0].Executions(id) == 1 })
	}
	client := b.dial(t)
	client.send(request("POST", "/stream/x", "last", "{}", streamHeader))
	r, _, _ := client.receive()
	assert.Equal(t, r.Status, 503)
	assert.Equal(t, b.engines[0].Executions("last"), 0)
}

func f(faults ...tgemulator.Fault) []tgemulator.Fault { return faults }

// Guards against an answer to an earlier request on a reused connection that reaches the next caller.
func TestStaleAnswerIsNotForwarded(t *testing.T) {
	b := newTestProxy(t, 1)
	b.engines[0].QueueFaults(tgemulator.FaultExtraResponse)
	client := b.dial(t)
	for i := range 5 {
		id := "a" + strconv.Itoa(i)
		client.send(request("GET", "/twice/x", id, ""))
		r, _, _ := client.receive()
		assert.Equal(t, r.Status, 200)
		assert.Equal(t, r.Header.Get("Tanagergrade-Attempt-Id"), id)
	}
}

// Guards against callers' headers that reach an engine in place of the proxy's own, and against requests that are altered
// on the way.
func TestForwardedRequest(t *testing.T) {
	b := newTestProxy(t, 1)
	client := b.dial(t)
	client.send(request("POST", "/once/A%2fb?q=%20&Q", "a1", "body", "Tanagergrade-Tenant: forged", "X-Odd: Va lue",
		"Tanagergrade-Target-Instance: forged", "Tanagergrade-Deadline-Ms: 1500", "Connection: X-Hop", "X-Hop: 1"))
	r, _, _ := client.receive()
	assert.Equal(t, r.Status, 200)
	h := b.engines[0].RequestHeaders()[0]
	for name, want := range map[string]string{
		"Tanagergrade-Attempt-Id": "a1", "Tanagergrade-Key": "", "Tanagergrade-Target-Instance": "e0",
		"Tanagergrade-Tenant": "account", "X-Hop": "", "X-Odd": "Va lue",
	} {
		assert.Equal(t, h.Get(name), want, name)
	}
	assert.Equal(t, h.Count("Tanagergrade-Tenant"), 1)
	left, err := strconv.Atoi(h.Get("Tanagergrade-Deadline-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, left > 1000 && left <= 1500, "%d", left)
}

// Guards against engines that admit callers in another order than the operator configured, and against callers that raise
// their own priority. The client account's priority takes precedence over the route's.
func TestPriorityForEngines(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		account tgcatalog.Account
		route   int
		want    string
	}{
		"account":      {account: tgcatalog.Account{Name: "account", Priority: 3, HasPriority: true}, route: 1, want: "3"},
		"accountFirst": {account: tgcatalog.Account{Name: "account", HasPriority: true}, route: 4, want: "0"},
		"beyondLowest": {account: tgcatalog.Account{Name: "account"}, route: 40, want: "9"},
		"route":        {account: tgcatalog.Account{Name: "account", Priority: 3}, route: 1, want: "1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestProxy(t, 1)
			routes := testRoutes()
			for i := range routes {
				routes[i].Priority = c.route
			}
			cfg := tgcatalog.NewConfig(2, routes)
			cfg.KeyRequired, cfg.Limits, cfg.Pools = true, b.catalog.config.Limits, b.catalog.config.Pools
			cfg.Accounts[accountKey] = c.account
			b.catalog.mu.Lock()
			b.catalog.config = cfg
			b.catalog.mu.Unlock()
			client := b.dial(t)
			client.send(request("GET", "/twice/x", "a1", "", "Tanagergrade-Request-Priority: 0"))
			r, _, _ := client.receive()
			assert.Equal(t, r.Status, 200)
			h := b.engines[0].RequestHeaders()[0]
			assert.Equal(t, h.Get("Tanagergrade-Request-Priority"), c.want)
			assert.Equal(t, h.Count("Tanagergrade-Request-Priority"), 1)
		})
	}
}

// Guards against a final refusal of what a newer configuration allows: a process that may lack the newest one must answer
// 503.
func TestUnknownRouteAndKey(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change func(*testCatalog)
		key    string
		path   string
		status int
	}{
		"key":             {change: func(*testCatalog) {}, key: "other", path: "/twice/x", status: 401},
		"keyNotCurrent":   {change: func(c *testCatalog) { c.current = false }, key: "other", path: "/twice/x", status: 503},
		"noConfiguration": {change: func(c *testCatalog) { c.config = nil }, key: accountKey, path: "/twice/x", status: 503},
		"noUpstream":      {change: func(c *testCatalog) { c.upstreams = nil }, key: accountKey, path: "/twice/x", status: 503},
		"route":           {change: func(*testCatalog) {}, key: accountKey, path: "/none/x", status: 404},
		"routeNotCurrent": {change: func(c *testCatalog) { c.current = false }, key: accountKey, path: "/none/x", status: 503},
		"knownNotCurrent": {change: func(c *testCatalog) { c.current = false }, key: accountKey, path: "/twice/x", status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestProxy(t, 1)
			b.catalog.mu.Lock()
			c.change(b.catalog)
			b.catalog.mu.Unlock()
			client := b.dial(t)
			text := strings.ReplaceAll(request("GET", c.path, "a1", ""), accountKey, c.key)
			client.send(text)
			r, _, _ := client.receive()
			assert.Equal(t, r.Status, c.status)
			if c.status == 503 {
				assert.Assert(t, r.Header.Get("Retry-After") != "")
			}
		})
	}
}

// Guards against requests that two readers could frame differently (request smuggling), and against heads and bodies of
// unbounded size.
func TestMalformedRequests(t *testing.T) {
	t.Parallel()
	head := "POST /once/x HTTP/1.1\r\nHost: " + routeHost + "\r\n"
	for name, c := range map[string]struct {
		status int
		text   string
	}{
		"bareLF":          {400, "POST /once/x HTTP/1.1\nHost: a\n\n"},
		"bothFramings":    {400, head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		"chunkSize":       {400, head + "Transfer-Encoding: chunked\r\n\r\nx\r\n"},
		"foldedHeader":    {400, head + "X: a\r\n b\r\n\r\n"},
		"headerTooLarge":  {431, head + "X: " + strings.Repeat("a", 9<<10) + "\r\n\r\n"},
		"lengthNegative":  {400, head + "Content-Length: -1\r\n\r\n"},
		"lengthTwice":     {400, head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
		"noHost":          {400, "POST /once/x HTTP/1.1\r\n\r\n"},
		"spaceInName":     {400, head + "X : a\r\n\r\n"},
		"targetAbsolute":  {400, "POST http://a/ HTTP/1.1\r\nHost: a\r\n\r\n"},
		"tooLongBody":     {413, head + "Content-Length: 9999999\r\n\r\n"},
		"transferUnknown": {501, head + "Transfer-Encoding: gzip\r\n\r\n"},
		"twoHosts":        {400, "POST /once/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
		"version":         {400, "POST /once/x HTTP/2.0\r\nHost: a\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestProxy(t, 1)
			client := b.dial(t)
			client.send(c.text)
			r, _, _ := client.receive()
			assert.Equal(t, r.Status, c.status)
			_, err := client.br.ReadByte()
			assert.Equal(t, err, io.EOF)
			assert.Equal(t, len(b.engines[0].AllExecutions()), 0)
		})
	}
}

// Guards against attempts that go on at an engine after their caller has disconnected.
func TestCallerDisconnectCancels(t *testing.T) {
	b := newTestProxy(t, 1)
	b.engines[0].ProcessingTime = 5 * time.Second
	client := b.dial(t)
	client.send(request("GET", "/twice/x", "a1", ""))
	waitFor(t, func() bool { return b.engines[0].Executions("a1") == 1 })
	assert.NilError(t, client.Close())
	waitFor(t, func() bool {
		b.events.mu.Lock()
		defer b.events.mu.Unlock()
		return len(b.events.list) == 1 && b.events.list[0].Outcome == "cancelled"
	})
}

// Guards against a caller that waits longer than the timeout of the route, which the operator sets.
func TestRouteTimeout(t *testing.T) {
	b := newTestProxy(t, 1)
	routes := testRoutes()
	for i := range routes {
		routes[i].Timeout = 200 * time.Millisecond
	}
	cfg := tgcatalog.NewConfig(2, routes)
	cfg.Limits = b.catalog.config.Limits
	b.catalog.mu.Lock()
	b.catalog.config = cfg
	b.catalog.mu.Unlock()
	b.engines[0].SetDefaultFault(tgemulator.FaultHang)
	client := b.dial(t)
	start := time.Now()
	client.send(request("GET", "/twice/x", "a1", ""))
	r, _, _ := client.receive()
	assert.Equal(t, r.Status, 504)
	assert.Assert(t, time.Since(start) < time.Second)
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met within 5 s")
}

// Guards against a request that reaches an engine after its caller has disconnected: data that is still in transit when an
// attempt is cancelled must be dropped, so the connection is reset rather than closed. Seen (as GONE) with engines that
// were cut off from the network for some seconds.
func TestCancelledAttemptIsReset(t *testing.T) {
	b := newTestProxy(t, 0)
	l := listen(t)
	ended := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		_, err = io.Copy(io.Discard, conn)
		ended <- err
	}()
	b.catalog.mu.Lock()
	b.catalog.upstreams = []tgcatalog.Upstream{{
		Address: netip.MustParseAddrPort(l.Addr().String()), ID: "e0", Pool: "pool", State: tgcatalog.StateReady,
	}}
	b.catalog.mu.Unlock()
	client := b.dial(t)
	client.send(request("GET", "/twice/x", "a1", ""))
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, client.Close())
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	case <-time.After(5 * time.Second):
		t.Fatal("the connection was not closed")
	}
}
