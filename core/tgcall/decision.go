package tgcall

import (
	"sync"
	"time"
)

const maxDecisions = 128 // kept for the state dump

// Decision is what a daemon did with a request, and why.
type Decision struct {
	Code     Code      `json:"code,omitempty"`
	Outcome  Outcome   `json:"outcome"`
	Reason   string    `json:"reason,omitempty"`
	Request  string    `json:"request"`
	Time     time.Time `json:"time"`
	Upstream string    `json:"upstream,omitempty"`
}

// Decisions keeps the last decisions of a daemon.
type Decisions struct {
	mu   sync.Mutex
	next int
	ring []Decision
}

// Add keeps d with the current time; failure may be nil.
func (r *Decisions) Add(d Decision, failure *Failure) {
	d.Time = time.Now()
	if failure != nil {
		d.Code, d.Outcome, d.Reason = failure.Code, failure.Outcome, failure.Message
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < maxDecisions {
		r.ring = append(r.ring, d)
		return
	}
	r.ring[r.next] = d
	r.next = (r.next + 1) % maxDecisions
}

// Recent returns the kept decisions, oldest first.
func (r *Decisions) Recent() []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(append([]Decision{}, r.ring[r.next:]...), r.ring[:r.next]...)
}
