package tgreport_test

import (
	"bytes"
	"io"
	"regexp"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"tanagergrade/core/tgdrain"
	"tanagergrade/core/tgview"
	"tanagergrade/io/tgproxy"
	"tanagergrade/io/tgreport"
)

var streamEvent = tgproxy.Event{
	Account: "account", Attempts: 2, ConfigVersion: 7, Elapsed: 2 * time.Second, TimeToFirstEvent: 190 * time.Millisecond,
	ID: "9c41d07be2a35f68", LongestPause: 130 * time.Millisecond, Outcome: "answered", Pool: "pool", Route: "route",
	Status: 200, Upstream: "i-1",
}

// Guards against log lines that lack a field which operators search for, and against lines that cannot be split into
// key-value pairs.
func TestLines(t *testing.T) {
	var out bytes.Buffer
	r := tgreport.NewReporter("vm-1", &out)
	r.Line("start", tgreport.Fields{"role": "entry"})
	r.Request(streamEvent)
	r.Request(tgproxy.Event{
		Detail: "limit", ID: "a2", InFlight: 12, Limit: 10.6, Outcome: "refused", PeakGap: 80 * time.Millisecond,
		RetryAfter: 300 * time.Millisecond, Status: 503,
	})
	r.Request(tgproxy.Event{
		Detail: "queue: wait", ExpectedWait: 2 * time.Second, ID: "a4", Outcome: "refused", Position: 12, Returning: true,
		Status: 503, Waited: 150 * time.Millisecond,
	})
	r.Request(tgproxy.Event{
		Detail: "the server stops", ID: "a5", Outcome: "refused", Status: 503,
		Stop: tgdrain.Decision{Basis: tgdrain.BasisForecast, Forecast: 5 * time.Second, Left: 4 * time.Second},
	})
	r.Attempt(tgproxy.Event{Attempts: 1, Detail: "read: connection reset by peer", ID: "a3", Outcome: "lost", Upstream: "i-2"})
	r.ViewChange("store", "operator", tgview.Change{Key: "config", Offset: 5, Outcome: "accepted", Version: 7})
	r.ViewChange("peer vm-2", "operator", tgview.Change{Err: errors.New("line 1\nline 2"), Key: "config", Offset: 6, Outcome: "rejected"})
	r.Dependency("store", "lost", errors.New("refused"))
	assert.NilError(t, r.Close())
	text := regexp.MustCompile(`time="[^"]*"`).ReplaceAllString(out.String(), `time=""`)
	golden.Assert(t, text, "lines.golden")
}

// Guards against counters and latencies that differ from the logged events.
func TestCounters(t *testing.T) {
	r := tgreport.NewReporter("vm-1", io.Discard)
	for range 3 {
		r.Request(streamEvent)
	}
	r.Attempt(tgproxy.Event{Outcome: "lost"})
	r.Dependency("store", "lost", nil)
	assert.NilError(t, r.Close())
	golden.Assert(t, r.Counters.String()+"\n", "counters.golden")
}

// BenchmarkRequestLine measures the time that the log line and the counters of a request take in its goroutine.
func BenchmarkRequestLine(b *testing.B) {
	r := tgreport.NewReporter("edge-vm-1", io.Discard)
	for b.Loop() {
		r.Request(streamEvent)
	}
	assert.NilError(b, r.Close())
}
