package tgpace

import (
	"sync"
	"time"
)

const (
	probeInterval      = 250 * time.Millisecond
	outageRetryFirst   = 500 * time.Millisecond
	outageRetryLongest = 3 * time.Second
)

// Breaker remembers that a whole pool cannot run anything, as a group does that has lost a rank. Meanwhile one request
// at a time finds out whether the pool is back, and all others are refused at once. It is safe for concurrent use.
type Breaker struct {
	mu    sync.Mutex
	probe time.Time // when the next request may try
	rand  func() float64
	since time.Time // zero while the pool runs
}

// NewBreaker returns an outage that has not begun.
func NewBreaker(random func() float64) *Breaker { return &Breaker{rand: random} }

// RecordFailure notes that the pool could not run a request.
func (o *Breaker) RecordFailure(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		o.since = now
	}
	o.probe = now.Add(probeInterval)
}

// RecordSuccess notes that the pool ran a request.
func (o *Breaker) RecordSuccess() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since = time.Time{}
}

// Allow reports whether a request may be sent.
func (o *Breaker) Allow(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		return true
	}
	if now.Before(o.probe) {
		return false
	}
	o.probe = now.Add(probeInterval)
	return true
}

// RetryAfter returns when a refused caller should come back: an outage is expected to last as long again as it has, and
// the callers are spread so that they do not return at the same moment.
func (o *Breaker) RetryAfter(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	wait := outageRetryFirst
	if !o.since.IsZero() {
		wait = max(wait, now.Sub(o.since))
	}
	wait = time.Duration(float64(wait) * (1 + o.rand()))
	return min(wait, outageRetryLongest)
}
