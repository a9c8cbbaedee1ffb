package tgadmit

import "time"

// Option changes a Limiter.
type Option func(*Limiter)

// WithClock sets the clock; discrete-event benchmarks need it because testing/synctest has no benchmarks.
func WithClock(now func() time.Time) Option {
	return func(l *Limiter) { l.now = now }
}

// WithLockStep is for a rank of a group: the slowest rank sets the time between tokens of all, so the time stops
// growth but is no evidence that this rank is cold. First tokens and the prefill rate remain evidence.
func WithLockStep() Option {
	return func(l *Limiter) { l.lockStep = true }
}

// WithWarmLatencies sets the latencies of the warm upstream instead of learning them.
func WithWarmLatencies(firstToken, gap time.Duration) Option {
	return func(l *Limiter) {
		l.firstToken = latencyBaseline{configured: true, warm: firstToken.Seconds()}
		l.gap = latencyBaseline{configured: true, warm: gap.Seconds()}
	}
}
