package tgcost

import (
	"math"
	"strconv"
	"strings"
)

// maxTokens bounds the token counts that callers declare, so that one malformed header does not shift sums.
const maxTokens = 1 << 20

// Request is what is known of a request before it runs.
type Request struct {
	Account   string
	Hint      float64 // caller's estimate of the tokens of the answer; 0 if there is none
	MaxOutput float64 // most tokens of the answer; 0 if not declared
	Prompt    float64 // tokens of the prompt; 0 if not declared
	Prior     float64 // mean tokens of an answer by the operator's configuration; 0 if not stated
	Route     string
}

// ParseTokens returns a declared number of tokens, or 0 if the text is not a finite number of at least 1: ratios to less
// than a token would be without bound. Higher numbers than maxTokens count as that many.
func ParseTokens(text string) float64 {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(n >= 1) || math.IsInf(n, 0) { // not a number compares false
		return 0
	}
	return min(n, maxTokens)
}

// ParseTokenCounts returns the tokens of the prompt and the most tokens of the answer from a text such as "1460,80"; a
// count that is missing or malformed is 0.
func ParseTokenCounts(text string) (prompt, maxOutput float64) {
	first, second, _ := strings.Cut(text, ",")
	return ParseTokens(first), ParseTokens(second)
}
