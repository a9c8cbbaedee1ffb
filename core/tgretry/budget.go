// Package tgretry decides which attempts may follow the first one of a request.
package tgretry

import (
	"math/rand/v2"
	"sync"
	"time"

	"tanagergrade/core/tgcall"
)

// Verdict is the decision on what follows a failed attempt.
type Verdict string

// The possible verdicts.
const (
	Redirect Verdict = "redirect" // try another upstream at once, at no cost: the refusal used no upstream's capacity
	Retry    Verdict = "retry"    // try another upstream after a backoff; one retry has been deducted from the budget
	Stop     Verdict = "stop"     // no further attempt
)

// Budget bounds retries and hedges to a ratio of the requests, so that failures do not multiply the load. It is a token
// bucket filled by requests, safe for concurrent use.
type Budget struct {
	balance float64 // retries that are available; negative in debt, down to -maxDebt
	mu      sync.Mutex
	rand    func() float64 // in [0,1)
	ratio   float64        // retries allowed per request
}

const (
	// A deposit is this part of the ratio, because the initial balance and the debt allow retries on top of the deposits.
	// So attempts stay below 1+ratio times the requests from about a thousand requests on.
	depositFraction     = 0.85
	initialBalance      = 5.0
	maxBalance          = 10.0
	failureReserve      = maxBalance / 4 // reserved for retries of failures; hedges and retries after overload may not use it
	maxDebt             = 50.0           // about the calls that one entry loses with a data centre, at the size in the design
	backoffBase         = 20 * time.Millisecond
	maxBackoff          = time.Second
	maxBackoffDoublings = 6 // more doublings would exceed maxBackoff anyway
)

// Option configures a Budget.
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

// Deposit credits the budget for a new request; it is not called for retries and hedges.
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

// AfterFailure decides what follows the failure f and deducts a retry from the budget. A request that may have run is only
// run again if it is idempotent. A retry may put the balance into debt if the caller already has a part of the answer
// (begun), if the attempt was lost with its upstream, or if no upstream was reached: the load of such an attempt has left
// with its upstream.
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
		return Stop // another upstream would give the same answer
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

// AllowHedge reports whether a second attempt may run in parallel with a slow first one, and deducts it from the budget.
// Only idempotent requests may be hedged.
func (b *Budget) AllowHedge(idempotent bool) bool {
	return idempotent && b.withdraw(failureReserve) == Retry
}

// withdraw deducts one retry if at least minBalance is left after it; otherwise it returns Stop.
func (b *Budget) withdraw(minBalance float64) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance-1 < minBalance {
		return Stop
	}
	b.balance--
	return Retry
}

// Backoff returns the wait before retry n, counted from 0: a random part, at least half, of a bound that doubles with n.
func (b *Budget) Backoff(n int) time.Duration {
	bound := min(backoffBase<<min(n, maxBackoffDoublings), maxBackoff)
	return time.Duration((0.5 + 0.5*b.rand()) * float64(bound))
}
