package tgstreamlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
	b.RecordSuccess()
	assert.Assert(t, b.Allow(now))
}

// Guards against a Retry-After that ends before the pool can be expected to recover.
func TestOutageRetryAfterGrows(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBreaker(func() float64 { return 0.5 })
	b.RecordFailure(now)
	assert.Equal(t, b.RetryAfter(now), 750*time.Millisecond)
	assert.Equal(t, b.RetryAfter(now.Add(time.Second)), 1500*time.Millisecond)
	assert.Equal(t, b.RetryAfter(now.Add(time.Minute)), maxOutageRetryAfter)
}
