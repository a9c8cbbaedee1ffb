package tgqueue

import "time"

// Reason says why a request is not run.
type Reason string

// Reasons, sorted.
const (
	ReasonDeadline Reason = "deadline" // it would wait, or has waited, beyond its deadline or the bound of its priority
	ReasonFull     Reason = "full"     // the queue holds only requests that go before it
)

// Refusal says why a request is not run and when a retry makes sense.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // with jitter, so that refused callers do not return at once
}
