package tgsimulation

import (
	"time"

	"tanagergrade/core/tgcall"
)

// Results are the figures of the requests that arrived since the last reset, except for Attempts and Tokens.
type Results struct {
	Arrived             int
	Attempts            int // sent to companions, of all requests
	ByPriority          map[tgcall.Priority]*PriorityResults
	DuplicateExecutions int             // requests that are not idempotent and were begun more than once
	FaultyEngine        string          // name of the engine that has a fault; empty for none
	Incomplete          int             // ended in the middle, or answered with too few or too many tokens
	LostIdempotent      int             // lost although they could have run again
	Tokens              int             // delivered to callers, of all requests
	TokensByAccount     map[string]int  // tokens of answered requests by account
	Unaffected          PriorityResults // requests that were never sent to FaultyEngine; only latencies and gaps
}

// PriorityResults are the figures of one priority.
type PriorityResults struct {
	Answered, Lost, Refused        int
	FirstTokenLatencies, TokenGaps []time.Duration // from arrival to the first token; between two tokens
}

func newResults() Results {
	return Results{
		ByPriority: map[tgcall.Priority]*PriorityResults{}, TokensByAccount: map[string]int{},
	}
}

func (r *Results) forPriority(p tgcall.Priority) *PriorityResults {
	if r.ByPriority[p] == nil {
		r.ByPriority[p] = &PriorityResults{}
	}
	return r.ByPriority[p]
}

// Unfinished returns the number of requests that were not answered, lost or refused yet.
func (r *Results) Unfinished() int {
	t := r.Total()
	return r.Arrived - t.Answered - t.Lost - t.Refused
}

// Total returns the sum over all priorities.
func (r *Results) Total() PriorityResults {
	var t PriorityResults
	for _, p := range r.ByPriority {
		t.Answered, t.Lost, t.Refused = t.Answered+p.Answered, t.Lost+p.Lost, t.Refused+p.Refused
		t.FirstTokenLatencies = append(t.FirstTokenLatencies, p.FirstTokenLatencies...)
		t.TokenGaps = append(t.TokenGaps, p.TokenGaps...)
	}
	return t
}
