package tgstreamlimit

import (
	"sync"
	"time"

	"tanagergrade/core/tgretry"
)

const (
	probeInterval = 250 * time.Millisecond
	outagesKept   = 4                      // that tell how long one lasts; engines come back after similar times
	returnMargin  = 500 * time.Millisecond // from the end of an outage until all entries know of it and new callers are in
	returnSpread  = time.Second            // callers come back spread over this time, since the pool can't take all at once
	// After this many upstreams in a row that were replaced by others, all are taken to have restarted without being
	// registered again yet.
	maxReplacedInRow = 4
)

// Breaker is the circuit breaker of a pool with one rank group, or of one group of a pool, for failures that stop all of
// its work, such as the loss of a rank. While it is open, one request per probeInterval tests the pool or group. Others are
// not sent there. It is safe for concurrent use.
type Breaker struct {
	mu        sync.Mutex
	nextProbe time.Time       // earliest time of the next probe while open
	openSince time.Time       // when the first failure was recorded; zero while closed
	outages   []time.Duration // from the first failure to the first success, the last outagesKept of them
	rand      func() float64
	replaced  int // upstreams in a row that were replaced by others; the pool ran no request since
}

// NewBreaker returns a closed breaker; random returns values in [0,1).
func NewBreaker(random func() float64) *Breaker { return &Breaker{rand: random} }

// RecordFailure opens the breaker, or delays the next probe if it is open: the pool could not run a request.
func (b *Breaker) RecordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openSince.IsZero() {
		b.openSince = now
	}
	b.nextProbe = now.Add(probeInterval)
}

// RecordReplaced notes that another incarnation answered at an upstream's address, and reports whether that opened the
// breaker: after a loss of all upstreams, each request would otherwise meet one former upstream after another.
func (b *Breaker) RecordReplaced(now time.Time) (opened bool) {
	b.mu.Lock()
	b.replaced++
	opened = b.replaced >= maxReplacedInRow
	b.mu.Unlock()
	if opened {
		b.RecordFailure(now)
	}
	return opened
}

// RecordSuccess closes the breaker: the pool ran a request.
func (b *Breaker) RecordSuccess(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replaced = 0
	if b.openSince.IsZero() {
		return
	}
	b.outages = append(b.outages, now.Sub(b.openSince))
	b.outages = b.outages[max(0, len(b.outages)-outagesKept):]
	b.openSince = time.Time{}
}

// IsOpen reports whether the pool is taken to run nothing at present.
func (b *Breaker) IsOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.openSince.IsZero()
}

// Allow reports whether a request may be sent. While the breaker is open, it allows one probe per probeInterval.
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

// RetryAfter returns the time after which a refused caller should retry: see tgretry.OutageWait. An outage is expected to last
// at least as long as the longest of those before.
func (b *Breaker) RetryAfter(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := time.Duration(0)
	if !b.openSince.IsZero() {
		elapsed = now.Sub(b.openSince)
	}
	jitter := b.rand()
	wait := tgretry.OutageWait(elapsed, jitter)
	for _, d := range b.outages {
		if left := d - elapsed; left > 0 {
			wait = max(wait, left+returnMargin+time.Duration(jitter*float64(returnSpread)))
		}
	}
	return min(wait, tgretry.MaxOutageWait)
}
