package tgpublisher

import (
	"fmt"
	"strings"

	"github.com/google/uuid"

	"tanagergrade/core/tgconfig"
	"tanagergrade/io/tgexit"
)

// ConflictError reports that a change was rejected because other changes of the same entities were accepted after it
// was made. The configuration is unchanged.
type ConflictError struct {
	Entities []tgconfig.Entity // empty if the change was too old to be checked for conflicts
	ID       uuid.UUID
}

// Error implements error.
func (e *ConflictError) Error() string {
	if len(e.Entities) == 0 {
		return fmt.Sprintf("change %s is too old to be judged; nothing was changed, run the command again", e.ID)
	}
	names := make([]string, len(e.Entities))
	for i, entity := range e.Entities {
		names[i] = FormatEntity(entity)
	}
	return fmt.Sprintf("change %s is in conflict: %s changed after it was made; nothing was changed, run the command again",
		e.ID, strings.Join(names, ", "))
}

// ExitCode implements tgexit.Coder.
func (e *ConflictError) ExitCode() int { return tgexit.Conflict }

// InvalidError reports that a change would make the configuration invalid. The configuration is unchanged.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "change is invalid: " + e.Reason }

// LogError reports that the configuration could not be read from the log. Nothing was appended.
type LogError struct{ Err error }

// Error implements error.
func (e *LogError) Error() string {
	return "configuration cannot be read from the log, nothing was changed: " + e.Err.Error()
}

// ExitCode implements tgexit.Coder.
func (e *LogError) ExitCode() int { return tgexit.LogUnavailable }

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Err }

// UnresolvedError reports that a change was sent but its verdict is unknown; the change may still take effect.
type UnresolvedError struct {
	Err error // last error of the append, or of the read if the append has none
	ID  uuid.UUID
}

// Error implements error.
func (e *UnresolvedError) Error() string {
	text := fmt.Sprintf("change %s was sent but not read back, it may still take effect; look for it with \"config history\"", e.ID)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// ExitCode implements tgexit.Coder.
func (e *UnresolvedError) ExitCode() int { return tgexit.LogUnavailable }

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Err }

// FormatEntity returns the kind and name of e for use in messages.
func FormatEntity(e tgconfig.Entity) string {
	switch {
	case e.Name == "":
		return string(e.Kind)
	case e.Kind == tgconfig.EntityDataCentre:
		return "data centre " + e.Name
	default:
		return string(e.Kind) + " " + e.Name
	}
}
