package tgpace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are all sent to a group that has lost a rank, where each waits for the stall and uses up
// the retry budget and what a cold upstream bears.
func TestOutageSendsProbesOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	o := NewBreaker(func() float64 { return 0 })
	assert.Assert(t, o.Allow(now))
	o.RecordFailure(now)
	sent := 0
	for i := range 400 { // 40 requests a second for 10 s
		at := now.Add(time.Duration(i) * 25 * time.Millisecond)
		if o.Allow(at) {
			sent++
			o.RecordFailure(at)
		}
	}
	assert.Assert(t, sent >= 30 && sent <= 41, "%d of 400 were sent", sent)
	o.RecordSuccess()
	assert.Assert(t, o.Allow(now))
}

// Guards against callers that are told to come back before the pool can be expected to run.
func TestOutageRetryAfterGrows(t *testing.T) {
	now := time.Unix(1000, 0)
	o := NewBreaker(func() float64 { return 0.5 })
	o.RecordFailure(now)
	assert.Equal(t, o.RetryAfter(now), 750*time.Millisecond)
	assert.Equal(t, o.RetryAfter(now.Add(time.Second)), 1500*time.Millisecond)
	assert.Equal(t, o.RetryAfter(now.Add(time.Minute)), maxOutageRetryAfter)
}
