package tgretry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcall"
)

// Guards against retrying a request that may have run and is not idempotent.
func TestAfterFailure(t *testing.T) {
	notRun, unknown := tgcall.NotRunFailure, tgcall.UnknownFailure
	rows := []struct {
		name       string
		failure    *tgcall.Failure
		idempotent bool
		want       Verdict
	}{
		{"drained", notRun(tgcall.CodeDraining, ""), false, Redirect},
		{"incomplete, idempotent", unknown(tgcall.CodeAnswerIncomplete, ""), true, Retry},
		{"incomplete, not idempotent", unknown(tgcall.CodeAnswerIncomplete, ""), false, Stop},
		{"key reused", notRun(tgcall.CodeIdempotencyKeyReused, ""), false, Stop},
		{"lost, not idempotent", unknown(tgcall.CodeUpstreamLost, ""), false, Stop},
		{"overloaded", notRun(tgcall.CodeOverloaded, ""), false, Retry},
		{"unreachable", notRun(tgcall.CodeUpstreamUnreachable, ""), false, Retry},
		{"unreachable, not idempotent", notRun(tgcall.CodeUpstreamUnreachable, ""), false, Retry},
		{"withdrawn, may have run", unknown(tgcall.CodeDataCentreWithdrawn, ""), false, Stop},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			assert.Equal(t, NewBudget(0.1).AfterFailure(row.failure, row.idempotent, false), row.want)
		})
	}
	assert.Assert(t, !NewBudget(0.1).AllowHedge(false))
}

// Guards against a retry storm when every attempt fails, and against overload using up the budget for failures.
func TestAmplification(t *testing.T) {
	for _, n := range []int{1000, 100_000} {
		b := NewBudget(0.1)
		retries := 0
		for range n {
			b.Deposit()
			for b.AfterFailure(tgcall.NotRunFailure(tgcall.CodeOverloaded, ""), true, false) == Retry || b.AllowHedge(true) {
				retries++
			}
		}
		assert.Assert(t, float64(retries) <= 0.1*float64(n), retries)
		overload := retries
		for b.AfterFailure(tgcall.NotRunFailure(tgcall.CodeUpstreamUnreachable, ""), true, false) == Retry {
			retries++
		}
		assert.Assert(t, float64(retries-overload) >= maxDebt && float64(retries-overload) <= maxDebt+failureReserve, retries)
	}
}

// Guards against synchronised retries and against an unbounded backoff.
func TestBackoff(t *testing.T) {
	b := NewBudget(0.1)
	seen := map[time.Duration]bool{}
	for n := range 100 {
		d := b.Backoff(n)
		assert.Assert(t, d >= backoffBase/2 && d <= maxBackoff)
		seen[d] = true
	}
	assert.Assert(t, len(seen) > 90)
}
