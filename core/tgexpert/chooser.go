package tgexpert

// Candidate is a rank that may serve a request.
type Candidate[K comparable] struct {
	CachedTokens   int // leading tokens of the request's prompt whose KV cache the rank holds
	FreeKVTokens   int // tokens for which the rank's KV cache has room
	Key            K
	PendingPrefill int // prompt tokens that are admitted but not computed yet
	Running        int // sequences that decode one token in each step
}

// Request has the properties of a request that the choice depends on.
type Request struct {
	ExpectedTokens int // of the answer, estimated
	PromptTokens   int
}

// Chooser selects the rank for a request by the projected tokens per step.
type Chooser struct {
	PrefillPerStep int // prompt tokens that a rank computes in one step
}

// Choose returns the candidate with the lowest cost for the request, or false if none has room in its KV cache. A
// candidate with a cached prefix is preferred while the prefill saved exceeds the step time that the group loses to skew.
func Choose[K comparable](c Chooser, candidates []Candidate[K], req Request) (Candidate[K], bool) {
	var best Candidate[K]
	bestCost, found := 0.0, false
	for i, cand := range candidates {
		if cand.FreeKVTokens < req.PromptTokens-cand.CachedTokens+req.ExpectedTokens {
			continue
		}
		others := 0
		for j, other := range candidates {
			if j != i {
				others = max(others, other.tokens(c.PrefillPerStep))
			}
		}
		if cost := cand.cost(c.PrefillPerStep, others, req); !found || cost < bestCost {
			best, bestCost, found = cand, cost, true
		}
	}
	return best, found
}

// tokens returns the number of tokens in the candidate's next step.
func (c Candidate[K]) tokens(prefillPerStep int) int {
	return c.Running + min(c.PendingPrefill, prefillPerStep)
}

// cost returns, in tokens, the prefill that the request waits for, plus the excess of this rank over the most loaded other
// one in the steps that the request adds.
func (c Candidate[K]) cost(prefillPerStep, others int, req Request) float64 {
	prefill := max(0, req.PromptTokens-c.CachedTokens)
	pending := c.PendingPrefill + prefill
	prefillSteps := float64(prefill) / float64(max(1, prefillPerStep))
	prefillExcess := max(0, c.Running+min(pending, prefillPerStep)-others)
	decodeExcess := max(0, c.Running+1-others)
	return float64(pending) + prefillSteps*float64(prefillExcess) + float64(decodeExcess*req.ExpectedTokens)
}
