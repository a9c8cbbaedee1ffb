package tgpace

import (
	"sync"
	"time"
)

const (
	probeInterval       = 250 * time.Millisecond
	minOutageRetryAfter = 500 * time.Millisecond
	maxOutageRetryAfter = 3 * time.Second
)

// Breaker remembers that a whole pool cannot run anything, as a group does that has lost a rank. Meanwhile one request
// at a time finds out whether the pool is back, and all others are refused at once. It is safe for concurrent use.
type Breaker struct {
	mu        sync.Mutex
	nextProbe time.Time // when the next request may try
	rand      func() float64
	openSince time.Time // zero while the pool runs
}

// NewBreaker returns an outage that has not begun.
func NewBreaker(random func() float64) *Breaker { return &Breaker{rand: random} }

// RecordFailure notes that the pool could not run a request.
func (b *Breaker) RecordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openSince.IsZero() {
		b.openSince = now
	}
	b.nextProbe = now.Add(probeInterval)
}

// RecordSuccess notes that the pool ran a request.
func (b *Breaker) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.openSince = time.Time{}
}

// Allow reports whether a request may be sent.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openSince.IsZero() {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	b.nextProbe = now.Add(probeInterval)
	return true
}

// RetryAfter returns when a refused caller should come back: an outage is expected to last as long again as it has, and
// the callers are spread so that they do not return at the same moment.
func (b *Breaker) RetryAfter(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait := minOutageRetryAfter
	if !b.openSince.IsZero() {
		wait = max(wait, now.Sub(b.openSince))
	}
	wait = time.Duration(float64(wait) * (1 + b.rand()))
	return min(wait, maxOutageRetryAfter)
}
