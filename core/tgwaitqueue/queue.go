// Package tgwaitqueue decides which streams wait for a place in a pool, in which order they get one, and when those that
// cannot be served should return.
package tgwaitqueue

import (
	"math"
	"slices"
	"sync"
	"time"

	"tanagergrade/core/tgstreamlimit"
)

const (
	maxWaiting     = 1024                   // bound of the queue
	reopenTime     = 300 * time.Millisecond // time in which the limit opens after an outage, so that not all start in one pass
	hopelessFactor = 2                      // a wait expected to be this many times too long ends at once; the estimate varies
)

// Request is a stream that asks for a place.
type Request struct {
	Account    string
	Cost       float64   // load that it adds, relative to other streams; 1 if it is not positive and finite
	LastStart  time.Time // its caller leaves if it gets a place later
	OnTimeBy   time.Time // a place by then lets it be on time
	Probe      bool      // it tests a pool in an outage: it goes first
	Rank       Rank
	Returning  bool          // the caller was refused before and will not come back
	RetryAfter time.Duration // longest time to return that its caller follows
}

// Reason is why a stream is refused.
type Reason string

// Reasons for refusals.
const (
	ReasonDrain  Reason = "drain"  // the process shuts down
	ReasonFull   Reason = "full"   // the queue has no room
	ReasonOutage Reason = "outage" // the pool runs nothing at present
	ReasonWait   Reason = "wait"   // a place is not expected in time, or there was none in time
)

// Refusal states why a stream got no place.
type Refusal struct {
	Position   int // streams ahead of it when it was refused
	Places     tgstreamlimit.Places
	Reason     Reason
	RetryAfter time.Duration
	Wait       time.Duration // expected at the refusal
}

// Ticket is a stream in the queue.
type Ticket struct {
	arrived  time.Time
	decided  chan struct{} // closed with the decision
	expected forecast      // as of the last call of Queue.predict
	place    *tgstreamlimit.Ticket
	queue    *Queue
	refusal  *Refusal
	request  Request
	start    float64 // start tag; see rank
}

// Queue is the queue of one process for one pool. It is safe for concurrent use.
type Queue struct {
	limiter *tgstreamlimit.Limiter

	mu       sync.Mutex // guards the fields below; taken before the limiter's
	first    duration   // from a place to the first event
	rand     func() float64
	ranks    map[Rank]*rank
	reopened time.Time            // when the last outage ended
	returns  map[string]time.Time // by account: the latest time to return that a refused caller was given
	running  bool                 // the pool is not in an outage
	waiting  []*Ticket            // in the order of their arrival
}

// NewQueue returns an empty queue for the places of a limiter; random returns values in [0,1).
func NewQueue(limiter *tgstreamlimit.Limiter, random func() float64) *Queue {
	return &Queue{
		first: newDuration(initialFirstEvent), limiter: limiter, rand: random, ranks: map[Rank]*rank{},
		returns: map[string]time.Time{}, running: true,
	}
}

// Submit queues a stream. The ticket is decided at once if there is a place for it, or if none is expected in time.
func (q *Queue) Submit(r Request, now time.Time) *Ticket {
	if !(r.Cost > 0 && r.Cost < math.Inf(1)) {
		r.Cost = 1
	}
	q.limiter.RecordArrival(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &Ticket{arrived: now, decided: make(chan struct{}), queue: q, request: r}
	q.rank(r.Rank, now).arrive(t, now)
	q.waiting = append(q.waiting, t)
	if r.Probe && !q.running {
		q.grant(t, now)
	}
	q.grantPlaces(now)
	if t.isDecided() {
		return t
	}
	left := r.LastStart.Sub(now)
	if r.Returning { // a refusal loses the request
		left *= hopelessFactor
	}
	q.predict(now)
	switch wait := q.expectedWait(t, now); {
	case !q.running && !r.Returning:
		q.refuse(t, ReasonOutage, wait, now)
	case len(q.waiting) > maxWaiting:
		q.refuse(t, ReasonFull, wait, now)
	case wait > left:
		q.refuse(t, ReasonWait, wait, now)
	}
	return t
}

// SetRunning tells the queue whether the pool runs streams. While it does not, callers who returned wait.
func (q *Queue) SetRunning(running bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if running && !q.running {
		q.reopened = now
	}
	q.running = running
}

// Grant gives the free places to those who wait.
func (q *Queue) Grant(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grantPlaces(now)
}

// Update gives the free places to those who wait, and refuses those who can no longer be served in time. It reports how
// many wait still.
func (q *Queue) Update(now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grantPlaces(now)
	q.predict(now)
	for _, t := range slices.Clone(q.waiting) {
		left := t.request.LastStart.Sub(now)
		if left > 0 && t.request.Returning {
			continue
		}
		if wait := q.expectedWait(t, now); wait >= hopelessFactor*left {
			q.refuse(t, ReasonWait, wait, now)
		}
	}
	return len(q.waiting)
}

// Probe gives a place to the first who waits although the pool is in an outage: it shows whether the pool runs again.
func (q *Queue) Probe(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t := q.next(now, false); t != nil {
		q.grant(t, now)
	}
}

// Drain ends all waits, as the process shuts down: callers who returned get a place if there is any, also one beyond the
// limit, and others are refused.
func (q *Queue) Drain(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.predict(now)
	for _, t := range slices.Clone(q.waiting) {
		if t.request.Returning && q.running && q.grant(t, now) {
			continue
		}
		q.refuse(t, ReasonDrain, q.expectedWait(t, now), now)
	}
}

// RecordFirstEvent records the time from a place to the first event of a stream, or to its end if no event has come: such
// a time only shows that the first event takes longer.
func (q *Queue) RecordFirstEvent(d time.Duration, hasCome bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if hasCome || d > q.first.mean {
		q.first.record(d)
	}
}

// FirstEvent returns the usual and the longest time to expect from a place to the first event.
func (q *Queue) FirstEvent() (usual, longest time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.first.mean, q.first.high()
}

// Decided is closed once the stream has a place or is refused.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Outcome returns the place of a decided ticket or its refusal.
func (t *Ticket) Outcome() (*tgstreamlimit.Ticket, *Refusal) {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	return t.place, t.refusal
}

// Leave takes a stream whose caller has left out of the queue, and releases the place that it got meanwhile.
func (t *Ticket) Leave(now time.Time) {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case t.place != nil:
		t.place.Done(now)
		q.grantPlaces(now)
	case t.refusal == nil:
		q.remove(t)
		t.refusal = &Refusal{}
		close(t.decided)
	}
}

func (t *Ticket) isDecided() bool { return t.place != nil || t.refusal != nil }

// grantPlaces gives the free places to those who wait.
func (q *Queue) grantPlaces(now time.Time) {
	if !q.running {
		return
	}
	for _, onlyReturning := range [...]bool{false, true} {
		for t := q.next(now, onlyReturning); t != nil && q.isPaced(now) && q.grant(t, now); {
			t = q.next(now, onlyReturning)
		}
	}
}

// isPaced reports whether the part of the limit that is open after an outage has room.
func (q *Queue) isPaced(now time.Time) bool {
	open := float64(now.Sub(q.reopened)) / float64(reopenTime)
	if open >= 1 {
		return true
	}
	p := q.limiter.Places()
	return float64(p.InFlight) < max(1, open*p.Limit)
}

// grant gives a place to t, if there is one, and reports whether it did.
func (q *Queue) grant(t *Ticket, now time.Time) bool {
	place := q.limiter.TryAdmit(t.request.Returning, now)
	if place == nil {
		return false
	}
	t.place = place
	q.recordGrant(t, now)
	q.take(t)
	close(t.decided)
	return true
}

// refuse refuses t, which expects the given wait by the last call of predict.
func (q *Queue) refuse(t *Ticket, reason Reason, wait time.Duration, now time.Time) {
	position := q.ahead(t)
	q.remove(t)
	t.refusal = &Refusal{
		Places: q.limiter.Places(), Position: position, Reason: reason, RetryAfter: q.returnTime(t, wait, now), Wait: wait,
	}
	close(t.decided)
}

// take removes t, which has got a place for which it uses the lowest tag of its account. Those of its account that arrived
// before t move up by one tag.
func (q *Queue) take(t *Ticket) {
	i := slices.Index(q.waiting, t)
	for _, o := range slices.Backward(q.waiting[:i]) {
		if o.request.Account == t.request.Account && o.request.Rank == t.request.Rank {
			t.start, o.start = o.start, t.start
		}
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.ranks[t.request.Rank].take(t)
}

// remove removes t, which has got no place. The account's later requests move up, since t did not use any of its share.
func (q *Queue) remove(t *Ticket) {
	i := slices.Index(q.waiting, t)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	for _, later := range q.waiting[i:] {
		if later.request.Account == t.request.Account && later.request.Rank == t.request.Rank {
			later.start -= t.request.Cost
		}
	}
	q.ranks[t.request.Rank].remove(t)
}
