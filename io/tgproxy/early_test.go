package tgproxy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/platform/tgemulator"
)

const (
	earlyRuns      = 10 // of each case: which call gets the failure of a connection differs between runs
	earlyStallRuns = 3  // of a case in which the proxy's system has to find the failure, which takes it longer than a second

	// Longer than what the system takes from the proxy and keeps for an engine that does not read.
	longUploadBytes = 8 << 20
	maxUploadBytes  = 16 << 20
)

// earlyCase is an engine that responds without a length while the request's body is still being written.
type earlyCase struct {
	delay     time.Duration // from the response until the connection is reset
	fault     tgemulator.Fault
	readBytes int64 // of the body that the engine reads in that time
	status    string
}

func (c earlyCase) String() string {
	return fmt.Sprintf("%s %s after %v and %d bytes", c.status, c.fault, c.delay, c.readBytes)
}

func (c earlyCase) runs() int {
	if c.fault == tgemulator.FaultEarlyStall {
		return earlyStallRuns
	}
	return earlyRuns
}

// newEarlyProxy returns a proxy with the engine of the case as the only upstream.
func newEarlyProxy(t *testing.T, c earlyCase) *testProxy {
	t.Helper()
	b := newTestProxy(t, 1, withBodyBytes(maxUploadBytes), withTimeout(endTimeout))
	e := b.engines[0]
	e.EarlyDelay, e.EarlyReadBytes, e.EarlyStatus = c.delay, c.readBytes, c.status
	e.SetDefaultFault(c.fault)
	return b
}

// upload is what the caller of a long request got.
type upload struct {
	body      string
	complete  bool
	signature string
	status    int
}

// upload sends a long request on a connection of its own.
func (b *testProxy) upload(t *testing.T, path, id string, size int) upload {
	t.Helper()
	client := b.dial(t)
	var extra []string
	if strings.HasPrefix(path, "/stream/") {
		extra = append(extra, streamHeader)
	}
	client.send(request("POST", path, id, strings.Repeat("x", size), extra...))
	r, body, complete := client.receive()
	return upload{
		body: body, complete: complete, signature: r.Header.Get("Tanagergrade-Response-Signature"), status: r.Status,
	}
}

// Guards against a part of an answer that callers get as the whole one: the engine answers a long upload without a length
// before it has read it, and the connection fails while the upload is still being written. The write may be the only call
// that the system tells of the failure; the answer is then read to what looks like its end.
func TestEarlyAnswerCutOff(t *testing.T) {
	t.Parallel()
	const (
		fault  = tgemulator.FaultEarlyReset
		failed = "500 Internal Server Error"
		ok     = "200 OK"
	)
	for _, c := range []earlyCase{
		{fault: fault, status: ok},
		{delay: time.Millisecond, fault: fault, status: ok},
		{delay: 10 * time.Millisecond, fault: fault, status: ok},
		{delay: 50 * time.Millisecond, fault: fault, status: ok},
		{fault: fault, readBytes: 1 << 20, status: ok},
		{delay: time.Millisecond, fault: fault, status: failed},
		{fault: tgemulator.FaultEarlyStall, status: ok},
	} {
		for _, path := range []string{"/once/x", "/stream/x", "/twice/x"} {
			t.Run(path+" "+c.String(), func(t *testing.T) {
				t.Parallel()
				b := newEarlyProxy(t, c)
				broken := 0
				for i := range c.runs() {
					id := fmt.Sprintf("cut%d", i)
					got := b.upload(t, path, id, longUploadBytes)
					assert.Equal(t, b.runs(id), 1)
					if got.complete && got.signature != "" {
						broken++
					}
				}
				assert.Equal(t, broken, 0, "of %d callers got a part of an answer as the whole one", c.runs())
				if c.status == failed {
					return
				}
				details := b.events.failedAttempts()
				assert.Equal(t, len(details), c.runs())
				for _, detail := range details {
					assert.Assert(t, strings.Contains(detail, "truncated: "), "operators read %q", detail)
				}
			})
		}
	}
}

// Guards against a repeatable request that ends with such an answer although another engine would have answered it.
func TestEarlyAnswerCutOffIsRetried(t *testing.T) {
	t.Parallel()
	for path, want := range map[string]string{"/stream/x": wholeStream, "/twice/x": "hello from e"} {
		b := newTestProxy(t, 2, withBodyBytes(maxUploadBytes), withTimeout(endTimeout))
		faults := make(chan tgemulator.Fault, 1)
		for _, e := range b.engines {
			e.SharedFaults = faults
		}
		for i := range earlyRuns {
			faults <- tgemulator.FaultEarlyReset
			id := fmt.Sprintf("again%d", i)
			got := b.upload(t, path, id, longUploadBytes)
			assert.Equal(t, got.status, 200, path)
			assert.Assert(t, got.complete, path)
			assert.Assert(t, strings.HasPrefix(got.body, want), "%s: body %q", path, got.body)
			assert.Equal(t, b.runs(id), 2, path)
		}
	}
}

// Guards against a whole answer without a length that is refused because the upload was not written to its end, or because
// the connection was reset after the engine had ended its direction.
func TestWholeEarlyAnswer(t *testing.T) {
	t.Parallel()
	const fault = tgemulator.FaultEarlyEndReset
	for _, c := range []earlyCase{
		{fault: tgemulator.FaultEarlyEnd, status: "200 OK"},
		{fault: fault, status: "200 OK"},
		{delay: time.Millisecond, fault: fault, status: "200 OK"},
		{delay: 50 * time.Millisecond, fault: fault, status: "200 OK"},
	} {
		for path, want := range map[string]string{"/once/x": "hello from e0", "/stream/x": wholeStream, "/twice/x": "hello from e0"} {
			t.Run(path+" "+c.String(), func(t *testing.T) {
				t.Parallel()
				b := newEarlyProxy(t, c)
				for i := range earlyRuns {
					id := fmt.Sprintf("whole%d", i)
					got := b.upload(t, path, id, longUploadBytes)
					assert.Equal(t, got.status, 200)
					assert.Assert(t, got.complete)
					assert.Equal(t, got.body, want)
					assert.Equal(t, b.runs(id), 1)
				}
			})
		}
	}
}
