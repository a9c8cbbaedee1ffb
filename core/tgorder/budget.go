package tgorder

import (
	"slices"
	"sync"
	"time"
)

// Grant permits a transfer of Bytes from the weight store until Expires.
type Grant struct {
	Bytes   int64     `json:"bytes"`
	Expires time.Time `json:"expires"`
	Group   string    `json:"group"`
	ID      uint64    `json:"id"`
}

// Budget is a token bucket that divides the weight store's rate among all groups and upstreams. Its holder has the lease
// of the budget. A new holder grants nothing before the grants of its predecessor have expired, so that both together
// keep to the rate. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	available  float64 // bytes; at most burst, negative while a larger transfer is paid off
	burst      float64
	grantsFrom time.Time // no grant is issued before
	lifetime   time.Duration
	nextID     uint64
	rate       float64 // bytes/s
	updated    time.Time
	waiting    []request
}

type request struct {
	bytes  int64
	group  string
	grant  chan Grant
	id     uint64
	urgent bool
}

// NewBudget returns the budget of a new holder for a store of the given rate in bytes/s. Grants last for lifetime.
func NewBudget(rate float64, lifetime time.Duration) *Budget {
	grantsFrom := time.Now().Add(lifetime)
	return &Budget{burst: rate, grantsFrom: grantsFrom, lifetime: lifetime, rate: rate, updated: grantsFrom}
}

// Request queues a transfer: an urgent one behind the other urgent ones, any other behind all. The grant arrives on the
// channel; cancel withdraws a request that has none yet.
func (b *Budget) Request(group string, bytes int64, urgent bool) (grant <-chan Grant, cancel func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextID++
	r := request{bytes: bytes, grant: make(chan Grant, 1), group: group, id: b.nextID, urgent: urgent}
	at := len(b.waiting)
	if urgent {
		at = slices.IndexFunc(b.waiting, func(w request) bool { return !w.urgent })
		if at < 0 {
			at = len(b.waiting)
		}
	}
	b.waiting = slices.Insert(b.waiting, at, r)
	return r.grant, func() { b.cancel(r.id) }
}

func (b *Budget) cancel(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(r request) bool { return r.id == id })
}

// Issue issues the grants that the rate allows now and returns the time until the next one, or false if no request
// waits. A transfer larger than the burst is granted when the bucket is full and paid off afterwards.
func (b *Budget) Issue() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Before(b.grantsFrom) {
		return b.grantsFrom.Sub(now), len(b.waiting) > 0
	}
	b.available = min(b.burst, b.available+now.Sub(b.updated).Seconds()*b.rate)
	b.updated = now
	for len(b.waiting) > 0 {
		r := b.waiting[0]
		if missing := min(float64(r.bytes), b.burst) - b.available; missing > 0 {
			return time.Duration(missing/b.rate*float64(time.Second)) + 1, true
		}
		b.available -= float64(r.bytes)
		b.waiting = b.waiting[1:]
		r.grant <- Grant{Bytes: r.bytes, Expires: now.Add(b.lifetime), Group: r.group, ID: r.id}
	}
	return 0, false
}
