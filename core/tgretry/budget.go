// Package tgretry decides which attempts may follow the first one of a request.
package tgretry

import (
	"math/rand/v2"
	"sync"
	"time"

	"tanagergrade/core/tgcall"
)

// Verdict says what may follow a failed attempt.
type Verdict string

// Verdicts, sorted.
const (
	Redirect Verdict = "redirect" // try elsewhere at once; the refusal cost no upstream any work
	Retry    Verdict = "retry"    // try elsewhere after a backoff, paid from the budget
	Stop     Verdict = "stop"
)

// Budget bounds retries and hedges to a part of the requests, so that failures do not multiply the load. It is safe
// for concurrent use.
type Budget struct {
	balance float64
	mu      sync.Mutex
	rand    func() float64
	ratio   float64
}

const (
	// What the balance and the debt allow at once comes on top of the deposits, so a deposit is less than the ratio;
	// attempts stay under 1+ratio times the requests from about a thousand requests on.
	depositFraction     = 0.85
	initialBalance      = 5.0
	maxBalance          = 10.0
	failureReserve      = maxBalance / 4 // kept for failures; hedges and retries of overload may not use it
	maxDebt             = 50.0           // about the calls of an entry that a lost data centre breaks off at the design's size
	backoffBase         = 20 * time.Millisecond
	maxBackoff          = time.Second
	maxBackoffDoublings = 6 // beyond this the bound is reached anyway
)

// Option changes a Budget.
type Option func(*Budget)

// WithRand sets the source of jitter, values in [0,1).
func WithRand(f func() float64) Option { return func(b *Budget) { b.rand = f } }

// NewBudget returns a budget that allows ratio retries for each request.
func NewBudget(ratio float64, options ...Option) *Budget {
	b := &Budget{balance: initialBalance, rand: rand.Float64, ratio: ratio}
	for _, o := range options {
		o(b)
	}
	return b
}

// Deposit counts a new request; retries and hedges are not counted.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+depositFraction*b.ratio, maxBalance)
}

// SetRatio changes the ratio of later deposits.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// AfterFailure says what may follow f and pays for it. A request that may have run is only run again if it is
// idempotent. A retry may run the balance into debt if the caller has a part of the answer (begun), if the
// attempt was lost with its upstream, or if no upstream was reached: that load has left with the upstream.
func (b *Budget) AfterFailure(f *tgcall.Failure, idempotent, begun bool) Verdict {
	if f.Outcome != tgcall.NotRun && !idempotent {
		return Stop
	}
	switch f.Code {
	case tgcall.CodeDataCentreWithdrawn, tgcall.CodeDraining:
		return Redirect
	case tgcall.CodeAccountUnknown, tgcall.CodeCancelled, tgcall.CodeDeadlineExceeded, tgcall.CodeIdempotencyKeyExpired,
		tgcall.CodeIdempotencyKeyInvalid, tgcall.CodeIdempotencyKeyRequired, tgcall.CodeIdempotencyKeyReused,
		tgcall.CodeLogUnavailable, tgcall.CodeModelUnknown, tgcall.CodeRequestInvalid, tgcall.CodeRequestTooLarge,
		tgcall.CodeRequestUnresolved, tgcall.CodeRouteUnknown:
		return Stop // another upstream would answer the same
	default:
	}
	switch {
	case begun, f.Outcome == tgcall.Unknown, f.Code == tgcall.CodeUpstreamUnreachable:
		return b.withdraw(-maxDebt)
	case f.Code == tgcall.CodeOverloaded:
		return b.withdraw(failureReserve)
	default:
		return b.withdraw(0)
	}
}

// AllowHedge pays for a second attempt beside a slow first one; only idempotent requests may have one.
func (b *Budget) AllowHedge(idempotent bool) bool {
	return idempotent && b.withdraw(failureReserve) == Retry
}

func (b *Budget) withdraw(minBalance float64) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance-1 < minBalance {
		return Stop
	}
	b.balance--
	return Retry
}

// Backoff returns the wait before retry n, counted from 0: a random part of a doubling bound.
func (b *Budget) Backoff(n int) time.Duration {
	bound := min(backoffBase<<min(n, maxBackoffDoublings), maxBackoff)
	return time.Duration((0.5 + 0.5*b.rand()) * float64(bound))
}
