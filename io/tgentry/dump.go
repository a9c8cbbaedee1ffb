package tgentry

import (
	"slices"
	"strings"
	"time"

	"tanagergrade/core/tgcall"
)

// State is the entry's part of the state dump.
type State struct {
	Calls     []CallState       `json:"calls"`
	Decisions []tgcall.Decision `json:"decisions"` // oldest first
	Draining  bool              `json:"draining"`
}

// CallState describes a call in flight in the state dump.
type CallState struct {
	Account    string        `json:"account"`
	Age        time.Duration `json:"age"`
	Attempts   int32         `json:"attempts"`  // started so far
	Delivered  uint64        `json:"delivered"` // chunks passed on to the caller
	Idempotent bool          `json:"idempotent"`
	Pool       string        `json:"pool"`
	Request    string        `json:"request"`  // ID
	Upstream   string        `json:"upstream"` // of the last attempt; empty before the first
}

// Dump returns the entry's state as a value that encoding/json can encode.
func (e *Entry) Dump() any {
	s := State{Calls: []CallState{}, Decisions: e.decisions.Recent(), Draining: e.stopping.Load()}
	e.calls.Range(func(_ string, l *call) bool {
		v := CallState{
			Account: l.execute.Account, Age: time.Since(l.started), Attempts: l.attempts.Load(),
			Delivered: l.delivered.Load(), Idempotent: l.execute.Idempotent, Pool: l.execute.Pool, Request: l.execute.RequestID,
		}
		if u := l.upstream.Load(); u != nil {
			v.Upstream = *u
		}
		s.Calls = append(s.Calls, v)
		return true
	})
	slices.SortFunc(s.Calls, func(a, b CallState) int { return strings.Compare(a.Request, b.Request) })
	return s
}
