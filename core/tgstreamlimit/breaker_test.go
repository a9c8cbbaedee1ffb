package tgstreamlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgretry"
)

// Guards against sending all requests to a group that has lost a rank: each would wait for the stall to be detected and
// use up the retry budget and the request rate of cold upstreams.
func TestOpenBreakerSendsProbesOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBreaker(func() float64 { return 0 })
	assert.Assert(t, b.Allow(now))
	b.RecordFailure(now)
	sent := 0
	for i := range 400 { // 40 requests a second for 10 s
		at := now.Add(time.Duration(i) * 25 * time.Millisecond)
		if b.Allow(at) {
			sent++
			b.RecordFailure(at)
		}
	}
	assert.Assert(t, sent >= 30 && sent <= 41, "%d of 400 were sent", sent)
	b.RecordSuccess(now)
	assert.Assert(t, b.Allow(now))
}

// Guards against callers that are lost in a short outage, such as the restart of all VMs: those who were refused early came
// back before its end, were refused again and gave up.
func TestNoReturnInShortOutage(t *testing.T) {
	const outage = time.Second
	start := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(1, 2))
	b := NewBreaker(r.Float64)
	b.RecordFailure(start)
	lost := 0
	for at := time.Duration(0); at < outage; at += 10 * time.Millisecond {
		if returns := at + b.RetryAfter(start.Add(at)); returns < outage {
			lost++
		}
	}
	assert.Equal(t, lost, 0)
}

// Guards against callers that are lost in an outage that lasts as long as an earlier one: the loss of a rank stops a group for
// more than two seconds each time, and those who were refused early came back before its end and were refused again.
func TestNoReturnInOutageOfKnownLength(t *testing.T) {
	const outage = 2200 * time.Millisecond
	start := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(1, 2))
	b := NewBreaker(r.Float64)
	b.RecordFailure(start)
	b.RecordSuccess(start.Add(outage))
	b.RecordFailure(start.Add(time.Minute)) // a short one hides nothing
	b.RecordSuccess(start.Add(time.Minute + time.Second))
	start = start.Add(2 * time.Minute)
	b.RecordFailure(start)
	early, latest := 0, time.Duration(0)
	for at := time.Duration(0); at < outage; at += 10 * time.Millisecond {
		wait := b.RetryAfter(start.Add(at))
		if at+wait < outage {
			early++
		}
		latest = max(latest, wait)
	}
	assert.Equal(t, early, 0)
	assert.Assert(t, latest <= tgretry.MaxOutageWait, "%s", latest)
}

// Guards against a Retry-After that ends before the pool can be expected to recover.
func TestOutageRetryAfterGrows(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBreaker(func() float64 { return 0.5 })
	b.RecordFailure(now)
	assert.Equal(t, b.RetryAfter(now), tgretry.MinOutageWait*3/2)
	assert.Equal(t, b.RetryAfter(now.Add(1500*time.Millisecond)), 2250*time.Millisecond)
	assert.Equal(t, b.RetryAfter(now.Add(time.Minute)), tgretry.MaxOutageWait)
}

// Guards against requests that meet one former upstream after another once all of them have started again, until the
// retries are used up: 211 callers were refused in two seconds (kuehlhof-oberland-grown trouble-2), most of them twice.
// Single upstreams that are replaced must not stop a pool.
func TestReplacedUpstreamsOpenBreaker(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBreaker(func() float64 { return 0 })
	for range 10 {
		for range maxReplacedInRow - 1 {
			assert.Assert(t, !b.RecordReplaced(now))
		}
		assert.Assert(t, b.Allow(now))
		b.RecordSuccess(now)
	}
	for range maxReplacedInRow - 1 {
		b.RecordReplaced(now)
	}
	assert.Assert(t, b.RecordReplaced(now))
	assert.Assert(t, !b.Allow(now))
	assert.Assert(t, b.Allow(now.Add(probeInterval)))
	b.RecordSuccess(now.Add(probeInterval))
	assert.Assert(t, b.Allow(now.Add(probeInterval)))
}
