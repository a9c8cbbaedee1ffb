package tgadmission

import "time"

// Option configures a Limiter.
type Option func(*Limiter)

// WithClock sets the clock; discrete-event benchmarks need it because testing/synctest has no benchmarks.
func WithClock(now func() time.Time) Option {
	return func(l *Limiter) { l.now = now }
}

// WithLockStep configures the limiter of a rank of a group. The slowest rank determines the time between tokens of all
// ranks, so a long time stops growth but does not show that this rank is cold. First tokens and the prefill rate do.
func WithLockStep() Option {
	return func(l *Limiter) { l.lockStep = true }
}

// WithWarmLatencies sets the latencies of the warm upstream, so that the limiter does not learn them.
func WithWarmLatencies(firstToken, gap time.Duration) Option {
	return func(l *Limiter) {
		l.firstToken = latencyBaseline{configured: true, warm: firstToken.Seconds()}
		l.gap = latencyBaseline{configured: true, warm: gap.Seconds()}
	}
}
