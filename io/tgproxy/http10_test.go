package tgproxy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/platform/tgemulator"
)

// requestHTTP10 returns the bytes of a request of HTTP/1.0 for a stream. Its answer has no length and ends with the connection.
func requestHTTP10(id string) string {
	return strings.Replace(request("POST", "/stream/x", id, "{}", streamHeader), "HTTP/1.1", "HTTP/1.0", 1)
}

// Guards against a broken stream that looks complete to a caller of HTTP/1.0, since the end of the connection ends it.
func TestBrokenStreamOverHTTP10(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		fault tgemulator.Fault
		whole bool
	}{
		{tgemulator.FaultBrokenStream, false},
		{tgemulator.FaultCutEvent, false},
		{tgemulator.FaultNone, true},
	} {
		b := newTestProxy(t, 1)
		b.engines[0].SetDefaultFault(c.fault)
		for i := range 10 {
			client := b.dial(t)
			client.send(requestHTTP10(fmt.Sprintf("a%d", i)))
			r, body, complete := client.receive()
			assert.Equal(t, complete && r.Status == 200, c.whole, "%s: status %d, body %q", c.fault, r.Status, body)
			if c.whole {
				assert.Equal(t, body, wholeStream)
			}
		}
	}
}

// Guards against a stream that looks complete to such a caller although the end of a planned stop has cut it off.
func TestStoppedStreamOverHTTP10(t *testing.T) {
	t.Parallel()
	b := newTestProxy(t, 1, withDrainGrace(4*time.Second), withTimeout(endTimeout))
	b.engines[0].EventInterval, b.engines[0].StreamEvents = 100*time.Millisecond, 1000
	client := b.dial(t)
	client.send(requestHTTP10("a1"))
	waitFor(t, func() bool { return b.runs("a1") == 1 })
	b.stop()
	r, body, complete := client.receive()
	assert.Equal(t, r.Status, 200)
	assert.Assert(t, !complete, "%d bytes", len(body))
	<-b.done
}
