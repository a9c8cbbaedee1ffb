// Package tgexit defines the exit codes of the command line.
package tgexit

import "github.com/cockroachdb/errors"

// Exit codes. Scripts rely on them, so their meaning never changes.
const (
	OK             = 0
	Failed         = 1
	Usage          = 2
	Conflict       = 3 // another operator changed the same entities
	LogUnavailable = 4 // the log service is unavailable or the outcome of an append is not known
)

// Coder is an error with an exit code other than Failed.
type Coder interface {
	error
	ExitCode() int
}

// UsageError reports that a command was called with wrong flags or arguments.
type UsageError struct{ Err error }

// Error implements error.
func (e *UsageError) Error() string { return e.Err.Error() }

// ExitCode implements Coder.
func (e *UsageError) ExitCode() int { return Usage }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// Usagef returns a UsageError with a formatted message.
func Usagef(format string, args ...any) error {
	return &UsageError{Err: errors.Newf(format, args...)}
}

// Code returns the exit code for err.
func Code(err error) int {
	var coder Coder
	switch {
	case err == nil:
		return OK
	case errors.As(err, &coder):
		return coder.ExitCode()
	default:
		return Failed
	}
}
