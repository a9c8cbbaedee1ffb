package tgretry

import (
	"sync"
	"time"
)

const (
	// MaxOutageWait is the longest time after which a caller who is refused in an outage is to come back.
	MaxOutageWait = 3 * time.Second
	// MinOutageWait is the shortest such time: an outage rarely ends within a second, and most callers come back only once.
	MinOutageWait = time.Second
)

// OutageWait returns the time after which a caller should come back who is refused in an outage that has lasted for elapsed:
// it is expected to last as long again. The jitter, from 0 to 1, keeps callers from returning at the same moment. The result
// may exceed MaxOutageWait.
func OutageWait(elapsed time.Duration, jitter float64) time.Duration {
	return time.Duration(float64(max(MinOutageWait, elapsed)) * (1 + jitter))
}

// Outage tells callers when to come back who are refused for a cause that nothing but time ends, such as a configuration
// that is not known yet. It is safe for concurrent use.
type Outage struct {
	mu    sync.Mutex
	rand  func() float64 // in [0,1)
	since time.Time      // of the first refusal; zero while there is no outage
}

// NewOutage returns an outage that has not begun; random returns values in [0,1).
func NewOutage(random func() float64) *Outage { return &Outage{rand: random} }

// RetryAfter returns the time after which a caller who is refused now should retry.
func (o *Outage) RetryAfter(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		o.since = now
	}
	return min(OutageWait(now.Sub(o.since), o.rand()), MaxOutageWait)
}

// End ends the outage: the cause is gone.
func (o *Outage) End() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since = time.Time{}
}
