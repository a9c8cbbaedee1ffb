// Package tgadmit decides how much work an upstream bears.
package tgadmit

import (
	"sync"
	"time"
)

// Sample is the evidence of one finished attempt.
type Sample struct {
	FirstToken time.Duration // from hand-over to the first chunk; zero if there was none
	OK         bool
	Tokens     int
	Total      time.Duration
}

// Limiter admits attempts up to a limit that grows on evidence.
type Limiter struct {
	mu       sync.Mutex
	cold     int
	inFlight int // never above limit at the time of admission
	limit    int // between cold and warm
	streak   int // successes since the limit last changed
	warm     int
}

// NewLimiter returns a limiter that starts at the cold limit.
func NewLimiter(cold, warm int) *Limiter {
	return &Limiter{cold: cold, limit: cold, warm: warm}
}

// TryAcquire admits one attempt if the limit allows it.
func (l *Limiter) TryAcquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= l.limit {
		return false
	}
	l.inFlight++
	return true
}

// Release ends an admitted attempt and takes its evidence.
func (l *Limiter) Release(s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if !s.OK {
		l.streak = 0
		l.limit = max(l.cold, l.limit/2)
		return
	}
	l.streak++
	if l.streak >= l.limit && l.limit < l.warm {
		l.streak = 0
		l.limit = min(l.warm, l.limit*2)
	}
}

// InFlight returns the number of admitted attempts.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// Limit returns the number of attempts allowed now.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit
}
