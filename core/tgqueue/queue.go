// Package tgqueue implements the bounded queue of requests that wait for an upstream.
package tgqueue

import (
	"math/rand/v2"
	"sync"
	"time"

	"tanagergrade/core/tgcall"
)

// Request has the properties of a request that determine its place in the queue.
type Request struct {
	Account  string
	Deadline time.Time
	Priority tgcall.Priority
	Weight   int // fair-queueing weight of the account; less than 1 counts as 1
	Work     int // expected tokens; less than 1 counts as 1
}

// Queue orders requests by strict priority and within a priority by weighted fair queueing of the accounts: bulk work
// waits, up to its deadline, while live or standard work is queued. The state is bounded: the queue keeps the accounts
// with queued requests and, per priority, at most maxAheadAccounts others that have been served ahead of their share.
type Queue[T any] struct {
	capacity   int
	classes    [classCount]class[T] // by rank of the priority
	drop       func(v T, r Refusal) // called without holding mu
	lastPop    time.Time            // time of the last Pop; zero if it took no request
	length     int                  // queued requests in all classes
	mu         sync.Mutex
	now        func() time.Time
	poppedWork float64                           // work taken that servedWork does not include yet
	rand       func() float64                    // in [0,1)
	servedTime float64                           // seconds in which servedWork was taken
	servedWork float64                           // work taken; like servedTime, it decays with each Pop
	waitBounds map[tgcall.Priority]time.Duration // longest wait, in addition to the deadline
}

const (
	classCount      = 3 // one per priority
	minRetryAfter   = 500 * time.Millisecond
	maxRetryAfter   = 30 * time.Second
	maxExpectedWait = time.Hour // cap of the estimate, so that it cannot overflow
	rateDecay       = 0.95      // factor per Pop, so the rate depends on about the last twenty
)

// Option configures a Queue.
type Option func(*settings)

type settings struct {
	now        func() time.Time
	rand       func() float64
	waitBounds map[tgcall.Priority]time.Duration
}

// WithClock sets the clock; discrete-event benchmarks need it because testing/synctest has no benchmarks.
func WithClock(now func() time.Time) Option { return func(s *settings) { s.now = now } }

// WithRand sets the source of jitter, values in [0,1).
func WithRand(f func() float64) Option { return func(s *settings) { s.rand = f } }

// WithWaitBounds sets the longest wait of each priority, in addition to the deadline of the request.
func WithWaitBounds(bounds map[tgcall.Priority]time.Duration) Option {
	return func(s *settings) { s.waitBounds = bounds }
}

// NewQueue returns a queue for capacity requests. It calls drop, without holding its lock, for each request that was
// queued and will not be run.
func NewQueue[T any](capacity int, drop func(v T, r Refusal), options ...Option) *Queue[T] {
	s := settings{now: time.Now, rand: rand.Float64}
	for _, o := range options {
		o(&s)
	}
	q := &Queue[T]{capacity: capacity, drop: drop, now: s.now, rand: s.rand, waitBounds: s.waitBounds}
	for i := range q.classes {
		q.classes[i].flows = map[string]*flow[T]{}
		q.classes[i].finishTags = map[string]float64{}
	}
	return q
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}

// SetCapacity changes the number of requests that may be queued. Requests that are already queued stay.
func (q *Queue[T]) SetCapacity(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = n
}

// Work returns the expected tokens of the queued requests.
func (q *Queue[T]) Work() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0.0
	for i := range q.classes {
		n += q.classes[i].work
	}
	return int(n)
}

// Push queues a request, or refuses it if it would wait beyond its deadline or if the queue is full of requests that take
// precedence. A full queue drops the newest request of the account with the most queued work relative to its weight, in
// the lowest priority that has queued requests; that may be the new request itself.
func (q *Queue[T]) Push(r Request, v T) (*Ticket[T], *Refusal) {
	q.mu.Lock()
	now := q.now()
	t := q.newTicket(r, v, now)
	c := &q.classes[r.Priority.Rank()]
	wait := q.expectedWait(t)
	if !now.Add(wait).Before(t.deadline) {
		q.mu.Unlock()
		return nil, q.refusal(ReasonDeadline, wait)
	}
	var dropped []*Ticket[T]
	if q.length >= q.capacity {
		dropped = q.expire(now)
	}
	c.push(t)
	q.length++
	refused := false
	if q.length > q.capacity {
		victim := q.victim()
		q.remove(victim)
		if refused = victim == t; !refused {
			dropped = append(dropped, victim)
		}
	}
	q.mu.Unlock()
	for _, d := range dropped {
		q.drop(d.value, *q.refusal(d.reason, wait))
	}
	if refused {
		return nil, q.refusal(ReasonFull, wait)
	}
	return t, nil
}

// Pop takes the next request to run. Requests past their deadline are dropped, never returned.
func (q *Queue[T]) Pop() (T, bool) {
	q.mu.Lock()
	now := q.now()
	var dropped []*Ticket[T]
	var next *Ticket[T]
	for i := range q.classes {
		c := &q.classes[i]
		for next == nil && len(c.heap) > 0 {
			t := c.heap[0].queued[0]
			if now.Before(t.deadline) {
				c.take(t)
				next = t
			} else {
				c.remove(t)
				dropped = append(dropped, t)
			}
			q.length--
		}
	}
	q.updateRate(now, next)
	q.mu.Unlock()
	for _, d := range dropped {
		q.drop(d.value, *q.refusal(ReasonDeadline, 0))
	}
	if next == nil {
		var zero T
		return zero, false
	}
	return next.value, true
}

// Remove removes a request without running it. It reports false if the request is not queued any more.
func (q *Queue[T]) Remove(t *Ticket[T]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !t.queued {
		return false
	}
	q.remove(t)
	return true
}

func (q *Queue[T]) newTicket(r Request, v T, now time.Time) *Ticket[T] {
	t := &Ticket[T]{
		account: r.Account, deadline: r.Deadline, rank: r.Priority.Rank(), value: v,
		weight: float64(max(r.Weight, 1)), work: float64(max(r.Work, 1)),
	}
	if bound, ok := q.waitBounds[r.Priority]; ok && now.Add(bound).Before(t.deadline) {
		t.deadline = now.Add(bound)
	}
	return t
}

func (q *Queue[T]) remove(t *Ticket[T]) {
	q.classes[t.rank].remove(t)
	q.length--
}

// expire removes all requests past their deadline.
func (q *Queue[T]) expire(now time.Time) []*Ticket[T] {
	var expired []*Ticket[T]
	for i := range q.classes {
		for _, f := range q.classes[i].heap {
			for _, t := range f.queued {
				if !now.Before(t.deadline) {
					t.reason = ReasonDeadline
					expired = append(expired, t)
				}
			}
		}
	}
	for _, t := range expired {
		q.remove(t)
	}
	return expired
}

// victim returns the request to drop from a queue that exceeds its capacity.
func (q *Queue[T]) victim() *Ticket[T] {
	for rank := classCount - 1; ; rank-- {
		if c := &q.classes[rank]; len(c.heap) > 0 {
			t := c.newestOfLargestBacklog()
			t.reason = ReasonFull
			return t
		}
	}
}

// expectedWait returns the time until t would be taken at the recent rate, or 0 if the rate is unknown.
func (q *Queue[T]) expectedWait(t *Ticket[T]) time.Duration {
	if q.servedWork <= 0 {
		return 0
	}
	seconds := q.servedTime
	if !q.lastPop.IsZero() {
		seconds += q.now().Sub(q.lastPop).Seconds() // so that the wait grows if the upstream has stopped taking work
	}
	ahead := 0.0
	for rank := range t.rank {
		ahead += q.classes[rank].work
	}
	ahead += q.classes[t.rank].queuedWorkAhead(t)
	return time.Duration(min(ahead/q.servedWork*seconds, maxExpectedWait.Seconds()) * float64(time.Second))
}

// updateRate updates the rate at which work is taken. Intervals in which the queue was empty do not count, since they
// show demand, not capacity.
func (q *Queue[T]) updateRate(now time.Time, taken *Ticket[T]) {
	if taken == nil {
		q.lastPop, q.poppedWork = time.Time{}, 0
		return
	}
	if d := now.Sub(q.lastPop).Seconds(); !q.lastPop.IsZero() && d > 0 {
		q.servedWork = rateDecay*q.servedWork + q.poppedWork
		q.servedTime = rateDecay*q.servedTime + d
		q.poppedWork = 0
	}
	q.poppedWork += taken.work
	q.lastPop = now
}

// refusal returns a refusal whose RetryAfter is 0.5 to 1.5 times the wait, clamped to minRetryAfter and maxRetryAfter
// before the jitter.
func (q *Queue[T]) refusal(reason Reason, wait time.Duration) *Refusal {
	base := min(max(wait, minRetryAfter), maxRetryAfter)
	return &Refusal{Reason: reason, RetryAfter: base/2 + time.Duration(q.rand()*float64(base))}
}
