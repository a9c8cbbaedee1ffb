// Package tgcall has the types that describe a caller's request and its outcome.
package tgcall

// Outcome says what became of a request.
type Outcome string

// The three outcomes are never mixed.
const (
	Answered Outcome = "answered" // the caller got the whole answer
	NotRun   Outcome = "notRun"   // provably never handed to an upstream
	Unknown  Outcome = "unknown"  // may have run
)
