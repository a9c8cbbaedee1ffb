// Package tgcall has the types that describe a caller's request: its priority, its outcome and its failure.
package tgcall

// Outcome is the result of a request, as reported to the caller.
type Outcome string

// Outcomes. Each request has exactly one; a request that may have run must never be reported as NotRun.
const (
	Answered Outcome = "answered" // the caller received the whole answer
	NotRun   Outcome = "notRun"   // provably never sent to an upstream, so a retry is safe
	Unknown  Outcome = "unknown"  // may have run
)
