package tgcall

import (
	"fmt"
	"time"
)

// Code is the machine-readable reason of a failure.
type Code string

// Codes of failures, sorted.
const (
	CodeAccountUnknown         Code = "accountUnknown"
	CodeAnswerIncomplete       Code = "answerIncomplete"
	CodeAttemptUnknown         Code = "attemptUnknown"
	CodeCancelled              Code = "cancelled"
	CodeConfigurationMissing   Code = "configurationMissing"
	CodeCutOff                 Code = "cutOff"
	CodeDataCentreWithdrawn    Code = "dataCentreWithdrawn"
	CodeDeadlineExceeded       Code = "deadlineExceeded"
	CodeDraining               Code = "draining"
	CodeIdempotencyKeyExpired  Code = "idempotencyKeyExpired"
	CodeIdempotencyKeyInvalid  Code = "idempotencyKeyInvalid"
	CodeIdempotencyKeyRequired Code = "idempotencyKeyRequired"
	CodeIdempotencyKeyReused   Code = "idempotencyKeyReused"
	CodeInternal               Code = "internal"
	CodeLogUnavailable         Code = "logUnavailable"
	CodeMethodNotAllowed       Code = "methodNotAllowed"
	CodeModelUnknown           Code = "modelUnknown"
	CodeNoUpstream             Code = "noUpstream"
	CodeOverloaded             Code = "overloaded"
	CodeRequestInvalid         Code = "requestInvalid"
	CodeRequestTooLarge        Code = "requestTooLarge"
	CodeRequestUnresolved      Code = "requestUnresolved"
	CodeRouteUnknown           Code = "routeUnknown"
	CodeUpstreamFailed         Code = "upstreamFailed"
	CodeUpstreamLost           Code = "upstreamLost"
	CodeUpstreamUnreachable    Code = "upstreamUnreachable"
)

// Failure describes why a request has no answer and whether it may have run.
type Failure struct {
	Code       Code          `cbor:"code"`
	Message    string        `cbor:"message"`
	Outcome    Outcome       `cbor:"outcome"`
	RetryAfter time.Duration `cbor:"retryAfter,omitempty"` // after which a retry may succeed; zero if none is advised
}

// NotRunFailure returns a failure of a request that was never sent to an upstream.
func NotRunFailure(code Code, format string, args ...any) *Failure {
	return &Failure{Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun}
}

// UnknownFailure returns a failure of a request that may have run.
func UnknownFailure(code Code, format string, args ...any) *Failure {
	return &Failure{Code: code, Message: fmt.Sprintf(format, args...), Outcome: Unknown}
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Code, f.Outcome, f.Message)
}

// WithRetryAfter sets the time after which the caller may retry, and returns f.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	f.RetryAfter = d
	return f
}
