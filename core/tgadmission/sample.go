package tgadmission

import "time"

// Sample has the measurements of one finished attempt. A Sample with a zero Total was never sent to the upstream and is
// ignored.
type Sample struct {
	Cancelled  bool          // the caller cancelled; the attempt says nothing about the upstream
	FirstToken time.Duration // from sending to the first chunk; zero if there was none
	OK         bool          // false if the upstream failed
	Observed   int           // tokens already reported through Observe
	Prompt     int           // tokens of the prompt, if known
	Tokens     int           // tokens of the answer
	Total      time.Duration // from sending to the end
	Work       int           // expected tokens, for answers that are not streamed
}

// Progress has the measurements of an attempt that still runs, for one chunk.
type Progress struct {
	FirstToken time.Duration // set with the first token only
	Gap        time.Duration // time since the previous chunk; zero with the first token
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
