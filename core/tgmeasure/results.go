package tgmeasure

import (
	"time"

	"tanagergrade/core/tgcall"
)

// Results are the figures of the requests that count.
type Results struct {
	Arrived        int
	Attempts       int        // sent to companions
	CutOff         int        // ended in the middle, or answered with too few or too many tokens
	LostIdempotent int        // lost although they could have run again
	Others         ByPriority // requests that were never sent to Suspect; only First and Gaps
	Priority       map[tgcall.Priority]*ByPriority
	RunTwice       int    // not idempotent and begun twice
	Suspect        string // name of an engine that is not healthy
	Tokens         int
	Work           map[string]int // tokens of answered requests by account
}

// ByPriority are the figures of one priority.
type ByPriority struct {
	Answered, Lost, Refused int
	First, Gaps             []time.Duration
}

func newResults() Results {
	return Results{
		Priority: map[tgcall.Priority]*ByPriority{}, Work: map[string]int{},
	}
}

func (r *Results) of(p tgcall.Priority) *ByPriority {
	if r.Priority[p] == nil {
		r.Priority[p] = &ByPriority{}
	}
	return r.Priority[p]
}

// Unfinished returns the requests that neither ended nor failed.
func (r *Results) Unfinished() int {
	t := r.Total()
	return r.Arrived - t.Answered - t.Lost - t.Refused
}

// Total returns the sum over all priorities.
func (r *Results) Total() ByPriority {
	var t ByPriority
	for _, p := range r.Priority {
		t.Answered, t.Lost, t.Refused = t.Answered+p.Answered, t.Lost+p.Lost, t.Refused+p.Refused
		t.First, t.Gaps = append(t.First, p.First...), append(t.Gaps, p.Gaps...)
	}
	return t
}
