package tgcall

import (
	"sync"
	"time"
)

const maxDecisions = 128 // bounds the decisions that the state dump shows

// Decision is how a daemon handled one request, and why.
type Decision struct {
	Code     Code      `json:"code,omitempty"`
	Outcome  Outcome   `json:"outcome"`
	Reason   string    `json:"reason,omitempty"`
	Request  string    `json:"request"`
	Time     time.Time `json:"time"`
	Upstream string    `json:"upstream,omitempty"`
}

// Decisions is a ring buffer of the last decisions of a daemon. It is safe for concurrent use.
type Decisions struct {
	mu   sync.Mutex // guards the fields below
	next int        // index of the oldest decision once the ring is full; 0 before
	ring []Decision
}

// Add records d with the current time and with the code, outcome and message of failure, which may be nil.
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
