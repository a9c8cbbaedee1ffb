package tgcompanion

import (
	"slices"
	"strings"
	"time"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
)

// State is the companion's part of the state dump.
type State struct {
	Attempts  []AttemptState    `json:"attempts"`
	Decisions []tgcall.Decision `json:"decisions"` // oldest first
	Claims    any               `json:"claims,omitempty"`
	Draining  bool              `json:"draining"`
	Group     *GroupState       `json:"group,omitempty"`
	Load      tgframe.Load      `json:"load"`
	Upstream  string            `json:"upstream"`
}

// AttemptState describes an attempt that is running or whose output is still kept.
type AttemptState struct {
	Account    string        `json:"account"`
	Age        time.Duration `json:"age"`
	Attempt    string        `json:"attempt"` // ID
	Bytes      int           `json:"bytes"`   // of the output that is kept
	Idempotent bool          `json:"idempotent"`
	Next       uint64        `json:"next"`    // sequence number of the next chunk to be produced
	Readers    int           `json:"readers"` // exchanges that the answer is being sent over
	Request    string        `json:"request"` // ID
	Running    bool          `json:"running"`
}

// Dump returns the companion's state as a value that encoding/json can encode.
func (c *Companion) Dump() any {
	s := State{
		Attempts: []AttemptState{}, Claims: c.claims.dump(), Decisions: c.decisions.Recent(), Draining: c.draining.Load(),
		Group: c.membership.dump(), Load: c.load(),
		Upstream: c.upstream,
	}
	c.attempts.each(func(a *attempt) {
		s.Attempts = append(s.Attempts, AttemptState{
			Account: a.execute.Account, Age: time.Since(a.started), Attempt: a.execute.Attempt.String(),
			Bytes: a.buffer.Bytes(), Idempotent: a.execute.Idempotent, Next: a.buffer.NextSequence(), Readers: a.readers,
			Request: a.execute.RequestID, Running: a.endedAt.IsZero(),
		})
	})
	slices.SortFunc(s.Attempts, func(a, b AttemptState) int { return strings.Compare(a.Attempt, b.Attempt) })
	return s
}
