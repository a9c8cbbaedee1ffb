package tgretry

import (
	"sync"
	"time"
)

const (
	// An outage rarely ends within a second, and most callers come back only once.
	minOutageWait = time.Second
	maxOutageWait = 3 * time.Second
)

// Outage tells callers when to come back who are refused for a cause that nothing but time ends, such as a configuration
// that is not known yet. It is safe for concurrent use.
type Outage struct {
	mu    sync.Mutex
	rand  func() float64 // in [0,1)
	since time.Time      // of the first refusal; zero while there is no outage
}

// NewOutage returns an outage that has not begun; random returns values in [0,1).
func NewOutage(random func() float64) *Outage { return &Outage{rand: random} }

// RetryAfter returns the time after which a caller who is refused now should retry. An outage is expected to last as long
// again as it has lasted, and random jitter keeps callers from returning at the same moment.
func (o *Outage) RetryAfter(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		o.since = now
	}
	wait := max(minOutageWait, now.Sub(o.since))
	return min(time.Duration(float64(wait)*(1+o.rand())), maxOutageWait)
}

// End ends the outage: the cause is gone.
func (o *Outage) End() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since = time.Time{}
}
