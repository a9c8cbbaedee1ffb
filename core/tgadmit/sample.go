package tgadmit

import "time"

// Sample is the evidence of one finished attempt. A Sample with a zero Total was never handed to the upstream and is
// no evidence.
type Sample struct {
	Cancelled  bool          // the caller gave up; the attempt says nothing about the upstream
	FirstToken time.Duration // from hand-over to the first chunk; zero if there was none
	OK         bool
	Observed   int // tokens already reported through Observe
	Prompt     int // tokens of the prompt, if known
	Tokens     int
	Total      time.Duration
	Work       int // expected tokens, for answers that come in one piece
}

// Progress is the evidence of an attempt that still runs.
type Progress struct {
	FirstToken time.Duration // set with the first token only
	Gap        time.Duration // time since the last token, zero with the first
	Prompt     int           // tokens of the prompt, if known
	Tokens     int           // tokens in this chunk
}

// gap returns the mean time between tokens.
func (s Sample) gap() time.Duration {
	if s.Tokens < 2 || s.FirstToken <= 0 {
		return 0
	}
	return (s.Total - s.FirstToken) / time.Duration(s.Tokens-1)
}
