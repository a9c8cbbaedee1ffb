package tgqueue

import "time"

// Reason is the reason why a request is not run.
type Reason string

// Reasons for not running a request.
const (
	ReasonDeadline Reason = "deadline" // it would wait, or has waited, beyond its deadline or the bound of its priority
	ReasonFull     Reason = "full"     // the queue is full and all other requests in it take precedence
)

// Refusal states why a request is not run and when the caller should retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // with jitter, so that refused callers do not all return at the same time
}
